//! Faults that can be injected into a stand-in.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Body of `POST /admin/faults`, which replaces all faults; `{}` clears them.
///
/// A stand-in ignores the faults that do not apply to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Condition under which all faults except `die`, `pause` and `freeze` are active.
    pub when: When,
    /// Terminates immediately: the program exits with 137, a stand-in inside a test aborts its
    /// connections.
    pub die: bool,
    /// Sends no responses and writes to no streams until cleared, then continues where it stopped.
    pub pause: bool,
    /// Delay before each call and each token, in milliseconds.
    pub slow: u64,
    /// Rejects calls.
    pub reject: Option<Reject>,
    /// Sends no response to calls.
    pub lose: Option<Lose>,
    /// Closes the connection in the middle of a stream.
    pub cut: Option<After>,
    /// Stops writing in the middle of a stream and keeps the connection open.
    pub stall: Option<After>,
    /// Ends a stream with a valid end of the HTTP body, but without `finish` and `[DONE]`.
    pub end: Option<After>,
    /// Omits the next token.
    pub skip: Option<After>,
    /// Writes the next token twice.
    pub repeat: Option<After>,
    /// Writes bytes that are not a valid event, once per stream.
    pub garbage: Option<After>,
    /// Offset added to the attempt number in event ids.
    pub shift: u32,
    /// Makes the tokens depend on the attempt number and on the prefix in the request.
    pub differs: bool,
    /// Omits every second cache event from load reports.
    pub gaps: bool,
    /// Accepts orders with any fencing token.
    pub unfenced: bool,
    /// Serves the instance list or load reports as they were when this was set.
    pub freeze: bool,
}

/// Condition under which faults are active, such as those of a bad version; by default always.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct When {
    /// Active while this version is loaded; any version if empty.
    pub version: CompactString,
    /// Active while at least this many generations or calls are running.
    pub running: u32,
    /// Active once this many generations or calls have started.
    pub calls: u64,
}

/// Position in a stream at which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct After {
    /// Tokens that the stream writes before the fault.
    pub tokens: u32,
    /// Whether only the first stream that reaches the position is affected; otherwise every stream.
    #[serde(default)]
    pub once: bool,
}

/// Rejection of calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reject {
    /// HTTP status.
    pub status: u16,
    /// Value of `Retry-After`, in seconds.
    #[serde(default)]
    pub retry: Option<u32>,
    /// Path prefix of the affected calls; all if empty.
    #[serde(default)]
    pub path: CompactString,
    /// Whether only the next call is affected; otherwise every call.
    #[serde(default)]
    pub once: bool,
}

/// Loss of responses.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lose {
    /// Whether the call is executed before its response is lost.
    pub effect: bool,
    /// Whether the connection is kept open indefinitely; otherwise it is closed.
    #[serde(default)]
    pub hang: bool,
    /// Path prefix of the affected calls; all if empty.
    #[serde(default)]
    pub path: CompactString,
    /// Whether only the next call is affected; otherwise every call.
    #[serde(default)]
    pub once: bool,
}

impl When {
    /// Returns whether the condition is met.
    pub fn is_met(&self, activity: &Activity) -> bool {
        (self.version.is_empty() || self.version == activity.version)
            && self.running <= activity.running
            && self.calls <= activity.calls
    }
}

/// Activity of a stand-in, on which the condition of its faults depends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// Loaded version.
    pub version: CompactString,
    /// Generations or calls that are running.
    pub running: u32,
    /// Generations or calls that have started.
    pub calls: u64,
}

/// A fault that may apply to a single call or stream.
pub trait OneShot {
    /// Whether the fault is cleared after it was injected once.
    fn is_one_shot(&self) -> bool;
}

impl OneShot for After {
    fn is_one_shot(&self) -> bool {
        self.once
    }
}

impl OneShot for Reject {
    fn is_one_shot(&self) -> bool {
        self.once
    }
}

impl OneShot for Lose {
    fn is_one_shot(&self) -> bool {
        self.once
    }
}

//! Input events of the core.

use {
    crate::{
        catalog::CatalogDoc,
        id::{AccountKey, EntryKey, Revision, RunnerKey, Ticket},
    },
    bilberryfront_wire::{instance::InstanceList, runner::LoadReport},
    compact_str::CompactString,
    std::{sync::Arc, time::Duration},
};

/// Something that happened. Every event comes with its time, see [`crate::Core::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A catalogue; ignored unless its revision is higher than the one in force.
    ///
    /// It comes as a document and gets its keys here. Were it resolved elsewhere, against a catalogue
    /// that is no longer in force, one key could name two entries, and requests under way would go
    /// to the wrong one.
    Catalog {
        /// Its number.
        revision: Revision,
        /// What operators wrote; must have been checked.
        doc: Arc<CatalogDoc>,
    },
    /// The platform's instance list; ignored when its revision is lower than the one known.
    Instances(InstanceList),
    /// A runner reported its load.
    Load {
        /// Whose report it is.
        runner: RunnerKey,
        /// Report.
        report: LoadReport,
    },
    /// A runner's load report could not be had.
    LoadMissing {
        /// The runner that was asked.
        runner: RunnerKey,
    },
    /// A request wants a runner.
    Request(RunnerRequest),
    /// A request no longer wants a runner: its caller left while it waited, or between two runners.
    /// A granted request is not forgotten but done.
    Cancel(Ticket),
    /// The first token, or the answer's head, of a granted request came. It ends the suspicion of
    /// the runner at once, where the request may go on for minutes.
    Started(Ticket),
    /// A granted request ended at its runner.
    Done(Done),
    /// How many other nodes take traffic, and what they use of the limits.
    Peers(PeerUse),
    /// Time has passed. Send one at least every [`crate::core::TICK`].
    Tick,
}

/// A request that wants a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerRequest {
    /// Name of this request for a runner; an [`Purpose::Retry`] has the ticket of the [`Done`] that
    /// it follows.
    pub ticket: Ticket,
    /// Entry that must serve it.
    pub entry: EntryKey,
    /// Account that pays for it.
    pub account: AccountKey,
    /// XXH64 of the prompt's prefix; `None` where there is no prompt.
    pub prefix: Option<u64>,
    /// The only version that may serve it: set for every attempt but the first.
    pub pin: Option<CompactString>,
    /// Runner that has just failed this request.
    pub avoid: Option<RunnerKey>,
    /// Why it is asked.
    pub purpose: Purpose,
}

/// Why a runner is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The request's first runner: admitted against limits, may wait in the queue.
    First,
    /// Another runner after one failed: already admitted, draws on the retry budget, and goes
    /// before all first requests.
    Retry,
    /// The caller's own resume after a cut: admitted again, but no first token is to be made.
    Resume,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// The request.
    pub ticket: Ticket,
    /// What came of it.
    pub verdict: Verdict,
    /// Time from the grant to the first token or the answer's head, if there was one.
    pub first: Option<Duration>,
    /// Tokens taken from this runner.
    pub tokens: u32,
    /// Whether another runner will be asked for; the request then keeps its admission.
    pub will_retry: bool,
}

impl Done {
    /// The end of a request whose caller left before anything came back.
    pub fn cancelled(ticket: Ticket) -> Done {
        Done { ticket, verdict: Verdict::Cancelled, first: None, tokens: 0, will_retry: false }
    }
}

/// What came of a granted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Complete.
    Ok,
    /// The connection could not be made or broke.
    Broken,
    /// Silence longer than the bound.
    Stalled,
    /// Error status.
    Rejected,
    /// The runner's stream broke its rules: a skipped index, an end without a finish.
    Garbled,
    /// The caller left.
    Cancelled,
}

/// What the other nodes use of the limits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerUse {
    /// Other nodes taking traffic.
    pub nodes: u32,
    /// Requests running at them, by entry and account.
    pub running: Vec<(EntryKey, AccountKey, u32)>,
}

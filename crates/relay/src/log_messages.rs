//! Log messages that the `explain` command parses.

/// Request rejected by this node; followed by the reason.
pub const REJECTED: &str = "rejected: ";
/// Request sent to a runner, with the registration by which it was selected; logged at level `debug`.
pub const REQUEST_SENT: &str = "request sent";
/// Request not sent to the selected runner, since that belongs to another service.
pub const WRONG_SERVICE: &str = "not sent: the runner belongs to another service";
/// First event of a run received.
pub const RUN_STARTED: &str = "run started";
/// Run without events for too long; it is kept until another run starts.
pub const RUN_SILENT: &str = "run silent";
/// Attempt sent while a silent run of the same stream is open.
pub const SENT_BESIDE: &str = "attempt sent beside a silent run";
/// Silent run continued before another one started.
pub const RUN_CONTINUED: &str = "silent run continued";
/// Run lost; followed by the reason.
pub const RUN_LOST: &str = "run lost: ";
/// Attempt suspected to be lost before its first event; followed by the reason.
pub const ATTEMPT_SUSPECT: &str = "attempt suspect: ";
/// Last event of a stream forwarded.
pub const STREAM_COMPLETED: &str = "stream completed";
/// Last event of a stream forwarded, as far as is known: its run has ended with the connection of a runner that is up.
pub const STREAM_UNCONFIRMED: &str = "stream ended with the connection of its runner";
/// Stream aborted before its end.
pub const STREAM_ABORTED: &str = "stream aborted";
/// Response lost; followed by the reason.
pub const RESPONSE_LOST: &str = "response lost: ";
/// Response to a call ended with its connection, since it stated no other end.
pub const ENDED_BY_CLOSE: &str = "response ended with its connection";
/// Retry refused by the budget of a service.
pub const NO_RETRY: &str = "no retry left in the budget";
/// Request rejected by a runner without being run.
pub const REJECTED_BY_RUNNER: &str = "request rejected by the runner";
/// Error response received from a runner.
pub const RUNNER_ERROR: &str = "error response from the runner";
/// Error response returned to the caller.
pub const ERROR_RETURNED: &str = "error response returned to the caller";
/// Catalogue applied.
pub const CATALOG_APPLIED: &str = "catalogue applied";
/// Process ready to accept connections.
pub const SERVING: &str = "serving";
/// Call rejected by the store; followed by the reason.
pub const STORE_UNAVAILABLE: &str = "the store is unavailable: ";
/// No response from the store; followed by the reason.
pub const STORE_RESPONSE_LOST: &str = "the store's response was lost: ";
/// Store available again after an outage.
pub const STORE_RECOVERED: &str = "store available again";
/// Store restored from a backup.
pub const STORE_RESTORED: &str = "the store was restored from a backup";
/// Registration of a runner removed.
pub const RUNNER_REMOVED: &str = "runner removed";

/// Runner advertises a new or changed rate limit.
pub const RATE_LIMITED: &str = "the runner limits its rate of requests";
/// Runner no longer advertises a rate limit.
pub const RATE_UNLIMITED: &str = "the runner no longer limits its rate of requests";

/// Runner announces in a response that it is draining.
pub const RUNNER_DRAINING: &str = "the runner announces that it leaves";

/// A runner has crashed while it ran a request.
pub const RUNNER_CRASHED: &str = "runner crashed while running a request";
/// A response was lost, and its runner is not found to have crashed; followed by the reason.
pub const NO_CRASH: &str = "the runner of a lost response has not crashed: ";
/// What has become of a runner that fell silent while it held requests; followed by its fate.
pub const SILENT_RUNNER: &str = "silent runner: ";
/// Request quarantined, since it has crashed several runners.
pub const QUARANTINED: &str = "request quarantined: it crashes runners";
/// Run of a suspect or quarantined request completed.
pub const QUARANTINE_ENDED: &str = "request no longer suspected of crashing runners";

/// Prompts quarantined, since something that they have in common has crashed several runners.
pub const PROMPTS_QUARANTINED: &str = "prompts quarantined: a part of them crashes runners";
/// A runner has processed a prompt that was quarantined.
pub const PROMPTS_CLEARED: &str = "prompts no longer suspected of crashing runners";

/// This node cannot reach any runner of a service.
pub const PARTITIONED: &str = "partitioned from the runners of a service";
/// The runners of a service can be reached again.
pub const PARTITION_ENDED: &str = "no longer partitioned from the runners of a service";

/// Stream waits for a runner with room.
pub const QUEUED: &str = "queued until a runner has room";
/// Stream has waited for a runner with room and starts.
pub const ADMITTED: &str = "admitted from the queue";
/// Stream is not admitted, since no runner will have room for it in time, or since this node drains.
pub const NOT_ADMITTED: &str = "not admitted: no runner has room in time";

/// Request rejected because of a limit of an operator.
pub const THROTTLED: &str = "beyond the share of an operator's limit";

/// Calls to a plain runner take much longer than those to others of its service.
pub const RUNNER_SLOW: &str = "slow runner: it gets fewer calls";
/// Calls to a runner that was slow are as fast as others, or it was not called for some time.
pub const RUNNER_NOT_SLOW: &str = "the runner is no longer known to be slow";

/// Runner states that it bears few rejections.
pub const BRITTLE: &str = "the runner bears few rejections";
/// Runner no longer states that it bears few rejections.
pub const BRITTLE_ENDED: &str = "the runner no longer bears only few rejections";

/// All messages, for a test that the operators' page documents them.
pub const ALL: [&str; 44] = [
    REJECTED,
    REQUEST_SENT,
    WRONG_SERVICE,
    RUN_STARTED,
    RUN_SILENT,
    SENT_BESIDE,
    RUN_CONTINUED,
    RUN_LOST,
    ATTEMPT_SUSPECT,
    STREAM_COMPLETED,
    STREAM_UNCONFIRMED,
    STREAM_ABORTED,
    RESPONSE_LOST,
    ENDED_BY_CLOSE,
    REJECTED_BY_RUNNER,
    RUNNER_ERROR,
    ERROR_RETURNED,
    CATALOG_APPLIED,
    SERVING,
    STORE_UNAVAILABLE,
    STORE_RESPONSE_LOST,
    STORE_RECOVERED,
    STORE_RESTORED,
    RUNNER_REMOVED,
    RATE_LIMITED,
    RATE_UNLIMITED,
    RUNNER_DRAINING,
    RUNNER_CRASHED,
    NO_CRASH,
    SILENT_RUNNER,
    QUARANTINED,
    QUARANTINE_ENDED,
    PROMPTS_QUARANTINED,
    PROMPTS_CLEARED,
    PARTITIONED,
    PARTITION_ENDED,
    QUEUED,
    ADMITTED,
    NOT_ADMITTED,
    THROTTLED,
    RUNNER_SLOW,
    RUNNER_NOT_SLOW,
    BRITTLE,
    BRITTLE_ENDED,
];

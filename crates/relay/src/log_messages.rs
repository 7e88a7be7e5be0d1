//! Log messages that the `explain` command parses.

/// Request rejected by this node; followed by the reason.
pub const REFUSED: &str = "rejected: ";
/// First event of a run received.
pub const RUN_BEGUN: &str = "run started";
/// Run lost; followed by the reason.
pub const RUN_LOST: &str = "run lost: ";
/// Last event of a stream forwarded.
pub const STREAM_ENDED: &str = "stream completed";
/// Stream aborted before its end.
pub const STREAM_BROKEN: &str = "stream aborted";
/// Response lost; followed by the reason.
pub const ANSWER_LOST: &str = "response lost: ";
/// Request rejected by a runner without being run.
pub const NOT_RUN: &str = "request rejected by the runner";
/// Error response received from a runner.
pub const RUN_FAILED: &str = "error response from the runner";
/// Error response returned to the caller.
pub const FAILURE_PASSED: &str = "error response returned to the caller";
/// Catalogue applied.
pub const IN_FORCE: &str = "catalogue applied";
/// Process ready to accept connections.
pub const SERVES: &str = "serving";
/// Store available again after an outage.
pub const STORE_BACK: &str = "store available again";
/// Registration of a runner removed.
pub const RUNNER_GONE: &str = "runner removed";

/// Runner advertises a new or changed rate limit.
pub const RATE_LIMITED: &str = "the runner limits its rate of requests";
/// Runner no longer advertises a rate limit.
pub const RATE_UNLIMITED: &str = "the runner no longer limits its rate of requests";

/// Runner announces in a response that it is draining.
pub const RUNNER_DRAINING: &str = "the runner announces that it leaves";

/// All messages, for a test that the operators' page documents them.
pub const ALL: [&str; 16] = [
    REFUSED,
    RUN_BEGUN,
    RUN_LOST,
    STREAM_ENDED,
    STREAM_BROKEN,
    ANSWER_LOST,
    NOT_RUN,
    RUN_FAILED,
    FAILURE_PASSED,
    IN_FORCE,
    SERVES,
    STORE_BACK,
    RUNNER_GONE,
    RATE_LIMITED,
    RATE_UNLIMITED,
    RUNNER_DRAINING,
];

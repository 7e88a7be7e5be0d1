//! Texts of the log lines that `explain` looks for, so that writer and reader can't drift apart.

/// This node's own final answer; the refusal follows.
pub const REFUSED: &str = "refused: ";
/// The first event of a run came.
pub const RUN_BEGUN: &str = "a run has begun";
/// A run's events stopped; the reason follows.
pub const RUN_LOST: &str = "a run is lost: ";
/// The last event was passed on.
pub const STREAM_ENDED: &str = "a stream has ended";
/// The caller has a part only.
pub const STREAM_BROKEN: &str = "a stream is broken off";
/// A runner may have a request, and its answer didn't come; the reason follows.
pub const ANSWER_LOST: &str = "an answer is lost: ";
/// A runner vouched that it didn't run a request.
pub const NOT_RUN: &str = "a runner didn't run a request";
/// A runner ran a request and answered with a failure; another runner may be tried.
pub const RUN_FAILED: &str = "a runner answered with a failure";
/// No further runner is tried, and the last one's failure is this node's answer.
pub const FAILURE_PASSED: &str = "a runner's failure is passed on";
/// A catalogue counts from now on.
pub const IN_FORCE: &str = "a catalogue is in force";
/// The process listens.
pub const SERVES: &str = "the instance serves";
/// A dependency is back.
pub const STORE_BACK: &str = "the store answers again";
/// A runner's entry was removed.
pub const RUNNER_GONE: &str = "a runner is gone";

/// All of them, for the check that the operators' page tells of each.
pub const ALL: [&str; 13] = [
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
];

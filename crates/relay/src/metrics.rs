//! Metrics of a node in OpenMetrics text format.

mod admission;
mod pace;
mod responses;
mod retries;
mod trials;
mod volume;

pub use self::{
    responses::ResponseEnd,
    volume::{Part, PollOutcome},
};

use {
    self::{
        admission::Admission, pace::Pace, responses::Responses, retries::Retries, trials::Trials,
        volume::Volume,
    },
    crate::{catalog::Kind, fleet::PaceCounts, framing::Framing, rejection::Rejection},
    bilberryfront_decide::{admission::throttle::Subject, member::PeerMessage, mover::Response},
    compact_str::CompactString,
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::{sync::Arc, time::Duration},
};

/// Upper bounds of the latency histograms' buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.7, 1.0, 2.0, 4.5, 10.0, 25.0];

/// Route kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum KindLabel {
    Idempotent,
    Once,
    Resumable,
    StreamOnce,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum Outcome {
    /// Successful response of a runner.
    Served,
    /// Error response of a runner.
    Failed,
    /// Rejected by this node.
    Refused,
    /// Stream aborted after its first event.
    Aborted,
}

/// Reason of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum Cause {
    Malformed,
    NoRoute,
    NoKey,
    BodySize,
    NotRun,
    Quarantined,
    Throttled,
    Lost,
    Timeout,
}

/// How a lost stream was resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum Resume {
    /// From a replica of its KV cache.
    Replica,
    /// From its prompt.
    Anew,
}

/// How the silence of a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum Silence {
    /// The run continued.
    Continued,
    /// Another run has started, or the deadline has passed.
    Replaced,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SilenceLabels {
    end: Silence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RequestLabels {
    kind: KindLabel,
    outcome: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct KindLabels {
    kind: KindLabel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CauseLabels {
    cause: Cause,
}

/// Whether a send is the first one of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum Send {
    First,
    Repeat,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SendLabels {
    send: Send,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ResumeLabels {
    from: Resume,
}

/// All metrics. Clones share their values.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    ended: Family<RequestLabels, Counter>,
    latency: Family<KindLabels, Histogram>,
    refused: Family<CauseLabels, Counter>,
    resumed: Family<ResumeLabels, Counter>,
    silences: Family<SilenceLabels, Counter>,
    limited: Family<SendLabels, Counter>,
    pause: Family<ResumeLabels, Histogram>,
    store: Counter,
    volume: Volume,
    admission: Admission,
    pace: Pace,
    responses: Responses,
    retries: Retries,
    trials: Trials,
    version: Gauge,
    era: Gauge,
    shards: Gauge,
    nodes: Gauge,
    runners: Gauge,
    quarantined: Gauge,
    open: Gauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut metrics = Metrics {
            registry: Arc::default(),
            ended: Family::default(),
            latency: Family::new_with_constructor(histogram),
            refused: Family::default(),
            resumed: Family::default(),
            silences: Family::default(),
            limited: Family::default(),
            pause: Family::new_with_constructor(histogram),
            store: Counter::default(),
            volume: Volume::default(),
            admission: Admission::default(),
            pace: Pace::default(),
            responses: Responses::default(),
            retries: Retries::default(),
            trials: Trials::default(),
            version: Gauge::default(),
            era: Gauge::default(),
            shards: Gauge::default(),
            nodes: Gauge::default(),
            runners: Gauge::default(),
            quarantined: Gauge::default(),
            open: Gauge::default(),
        };
        let mut registry = Registry::with_prefix("bilberryfront");
        let m = &metrics;
        registry.register("requests", "Requests by how they ended", m.ended.clone());
        registry.register(
            "latency_seconds",
            "Time to an answer, for streams to their first event",
            m.latency.clone(),
        );
        registry.register("refusals", "Refusals by cause", m.refused.clone());
        registry.register("resumes", "Lost runs that went on at another runner", m.resumed.clone());
        registry.register("silences", "Silent runs by how the silence ended", m.silences.clone());
        registry.register(
            "limited_sends",
            "Requests sent to runners that limit their rate",
            m.limited.clone(),
        );
        registry.register(
            "resume_seconds",
            "Time from a lost run to the next event",
            m.pause.clone(),
        );
        registry.register(
            "store_failures",
            "Times that the store stopped answering",
            m.store.clone(),
        );
        m.volume.register(&mut registry);
        m.admission.register(&mut registry);
        m.pace.register(&mut registry);
        m.responses.register(&mut registry);
        m.retries.register(&mut registry);
        m.trials.register(&mut registry);
        registry.register("catalogue_version", "Version in force", m.version.clone());
        registry.register(
            "shards",
            "Number of shards of the service with most runners",
            m.shards.clone(),
        );
        registry.register("store_era", "Restorations of the store", m.era.clone());
        registry.register("nodes", "Nodes in the address answers", m.nodes.clone());
        registry.register("runners", "Runners registered", m.runners.clone());
        registry.register(
            "quarantined",
            "Requests that are rejected because they crash runners",
            m.quarantined.clone(),
        );
        registry.register("open", "Requests and streams under way", m.open.clone());
        metrics.registry = Arc::new(registry);
        metrics
    }
}

fn histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

impl Metrics {
    /// Counts a finished request; `latency` is the time to the response or to the first event.
    pub fn count_request(&self, kind: Kind, outcome: Outcome, latency: Option<Duration>) {
        let kind = label(kind);
        self.ended.get_or_create(&RequestLabels { kind, outcome }).inc();
        if let Some(latency) = latency {
            self.latency.get_or_create(&KindLabels { kind }).observe(latency.as_secs_f64());
        }
    }

    /// Counts a rejection.
    pub fn count_rejection(&self, rejection: Rejection) {
        let cause = match rejection {
            Rejection::Malformed => Cause::Malformed,
            Rejection::NoRoute => Cause::NoRoute,
            Rejection::NoKey => Cause::NoKey,
            Rejection::BodySize => Cause::BodySize,
            Rejection::NotRun { .. } => Cause::NotRun,
            Rejection::Quarantined { .. } => Cause::Quarantined,
            Rejection::Throttled { .. } => Cause::Throttled,
            Rejection::Lost => Cause::Lost,
            Rejection::Timeout => Cause::Timeout,
        };
        self.refused.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a send to a runner that limits its rate; `earlier` is the number of earlier sends of
    /// the same request.
    pub fn count_limited_send(&self, earlier: u32) {
        let send = if earlier == 0 { Send::First } else { Send::Repeat };
        self.limited.get_or_create(&SendLabels { send }).inc();
    }

    /// Counts a lost stream that was resumed; `pause` is the time without events.
    pub fn count_resume(&self, from: Resume, pause: Duration) {
        self.resumed.get_or_create(&ResumeLabels { from }).inc();
        self.pause.get_or_create(&ResumeLabels { from }).observe(pause.as_secs_f64());
    }

    /// Counts a stream that begins to wait for a runner with room.
    pub fn add_waiting(&self, level: u8) {
        self.admission.add_waiting(level, 1);
    }

    /// Counts a stream that no longer waits.
    pub fn remove_waiting(&self, level: u8) {
        self.admission.add_waiting(level, -1);
    }

    /// Records the wait of a stream that starts; `expected` is the forecast when it arrived.
    pub fn count_admission(&self, level: u8, waited: Duration, expected: Option<Duration>) {
        self.admission.count_start(level, waited, expected);
    }

    /// Counts a stream that cannot be served in time.
    pub fn count_admission_rejection(&self, level: u8) {
        self.admission.count_rejection(level);
    }

    /// Counts a request that a limit of an operator rejects.
    pub fn count_throttled(&self, subject: &Subject) {
        self.admission.count_throttled(subject);
    }

    /// Counts a run without a replica, because no runner has room for it.
    pub fn count_withheld_replica(&self, level: u8) {
        self.admission.count_withheld_replica(level);
    }

    /// Counts a silent run.
    pub fn count_silence(&self, end: Silence) {
        self.silences.get_or_create(&SilenceLabels { end }).inc();
    }

    /// Counts a retry that the budget of a service has allowed or not.
    pub fn count_retry(&self, service: &str, is_taken: bool) {
        self.retries.count_decision(service, is_taken);
    }

    /// Counts a request that is sent to a runner.
    pub fn count_send(&self, service: &str, is_repeat: bool) {
        self.retries.count_send(service, is_repeat);
    }

    /// Counts the end of a response of a runner.
    pub fn count_response_end(&self, service: &str, framing: Framing, end: ResponseEnd) {
        self.responses.count_end(service, framing, end);
    }

    /// Counts the end of a first attempt during a rollout; `response` is what it says about its version.
    pub fn count_trial(&self, service: &str, is_new: bool, response: Option<Response>) {
        self.trials.count_end(service, is_new, response);
    }

    /// Counts a store outage.
    pub fn count_store_failure(&self) {
        self.store.inc();
    }

    /// Counts bytes exchanged with a runner.
    pub fn count_runner_bytes(&self, part: Part, border: bool, bytes: usize) {
        self.volume.count_runner_bytes(part, border, bytes);
    }

    /// Counts bytes sent to peers.
    pub fn count_peer_bytes(&self, message: &PeerMessage, bytes: usize) {
        self.volume.count_peer_bytes(message, bytes);
    }

    /// Counts a poll of the store.
    pub fn count_store_poll(&self, table: &str, outcome: PollOutcome) {
        self.volume.count_store_poll(table, outcome);
    }

    /// Sets the gauges of the current view.
    pub fn set_view(&self, version: u64, nodes: usize, runners: usize) {
        self.version.set(version as i64);
        self.nodes.set(nodes as i64);
        self.runners.set(runners as i64);
    }

    /// Sets the number of restorations of the store, as known to this node.
    pub fn set_store_era(&self, era: u64) {
        self.era.set(era as i64);
    }

    /// Sets the number of shards into which the largest service is divided.
    pub fn set_shards(&self, count: u32) {
        self.shards.set(count.into());
    }

    /// Sets the numbers of runners of known speed of each service.
    pub fn set_paces(&self, services: &[(CompactString, PaceCounts)]) {
        self.pace.set(services);
    }

    /// Sets the number of quarantined requests.
    pub fn set_quarantined(&self, count: usize) {
        self.quarantined.set(count as i64);
    }

    /// Encodes all metrics as text; `open` is the number of requests in flight.
    pub fn encode(&self, open: usize) -> String {
        self.open.set(open as i64);
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string doesn't fail");
        text
    }
}

fn label(kind: Kind) -> KindLabel {
    match kind {
        Kind::Idempotent => KindLabel::Idempotent,
        Kind::Once => KindLabel::Once,
        Kind::Resumable => KindLabel::Resumable,
        Kind::StreamOnce => KindLabel::StreamOnce,
    }
}

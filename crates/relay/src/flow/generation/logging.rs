//! Log messages about a stream.

use {
    super::{
        ActiveRun, Generation,
        run::{Run, RunEnd},
    },
    crate::{
        dialect::Dialect,
        log_messages::{
            RUN_CONTINUED, RUN_LOST, RUN_SILENT, RUN_STARTED, STREAM_ABORTED, STREAM_COMPLETED,
            STREAM_UNCONFIRMED,
        },
        metrics::Outcome,
        network::Network,
    },
    compact_str::{CompactString, format_compact},
};

impl<D: Dialect, N: Network> Generation<D, N> {
    pub(super) fn log_started(&self, run: &Run, from_replica: bool) {
        let waited = self.call.start.elapsed().as_millis() as u64;
        let registered =
            self.traffic.client.fleet.registered(run.endpoint().key).unwrap_or_default();
        log::info!(request = self.call.head.id.as_str(), runner = run.endpoint().id.as_str(),
            service = self.call.service.as_str(), registered = registered.service.as_str(),
            version = registered.version.as_str(), assumed = registered.assumed,
            replica = run.replica().map_or("", |b| b.holder().id.as_str()), sends = self.sends,
            position = self.position.unwrap_or_default(), from_replica, waited,
            prompt = self.call.head.prompt.unwrap_or_default();
            "{RUN_STARTED}");
    }

    pub(super) fn log_silent(&self, run: &Run) {
        log::warn!(request = self.call.head.id.as_str(), runner = run.endpoint().id.as_str(),
            position = self.position.unwrap_or_default(),
            holder = run.replica().map_or("", |b| b.holder().id.as_str());
            "{RUN_SILENT}");
    }

    /// Logs that a silent run has continued, and for how long attempts were under way beside it.
    pub(super) fn log_continued(&self, active: &ActiveRun) {
        let beside = active.beside.map(|at| at.elapsed().as_millis() as u64);
        let level = if beside.is_some() { log::Level::Warn } else { log::Level::Info };
        log::log!(level, request = self.call.head.id.as_str(),
            runner = active.run.endpoint().id.as_str(),
            position = self.position.unwrap_or_default(), beside;
            "{RUN_CONTINUED}");
    }

    pub(super) fn log_lost(&self, active: &ActiveRun, reason: RunEnd) {
        let run = &active.run;
        log::warn!(request = self.call.head.id.as_str(), runner = run.endpoint().id.as_str(),
            position = self.position.unwrap_or_default(),
            beside = active.beside.map(|at| at.elapsed().as_millis() as u64),
            framing:? = run.framing(), events = run.event_count(), tunneled = run.is_tunneled(),
            holder = run.replica().map_or("", |b| b.holder().id.as_str());
            "{RUN_LOST}{reason:?}");
    }

    pub(super) fn log_ended(&self, run: &Run) {
        let took = self.call.start.elapsed().as_millis() as u64;
        log::info!(request = self.call.head.id.as_str(), runner = run.endpoint().id.as_str(),
            sends = self.sends, position = self.position.unwrap_or_default(), took,
            framing:? = run.framing(), events = run.event_count(), tunneled = run.is_tunneled();
            "{STREAM_COMPLETED}");
    }

    /// Logs that a stream ends with the connection of its last run, without a confirmation.
    pub(super) fn log_unconfirmed(&self) {
        let took = self.call.start.elapsed().as_millis() as u64;
        log::info!(request = self.call.head.id.as_str(), sends = self.sends, runs = self.runs,
            position = self.position.unwrap_or_default(), took, reason = self.reason().as_str();
            "{STREAM_UNCONFIRMED}");
    }

    pub(super) fn log_broken(&self) {
        self.traffic.metrics.count_request(self.call.route.kind, Outcome::Aborted, None);
        log::warn!(request = self.call.head.id.as_str(), sends = self.sends, runs = self.runs,
            position = self.position.unwrap_or_default(), reason = self.reason().as_str();
            "{STREAM_ABORTED}: no runner can resume it");
    }

    /// Logs that no run has started.
    pub(super) fn log_not_started(&self) {
        log::info!(request = self.call.head.id.as_str(), sends = self.sends, runs = self.runs,
            reason = self.reason().as_str(); "no other attempt to start the stream");
    }

    fn reason(&self) -> CompactString {
        self.no_attempt.map_or_else(CompactString::default, |reason| format_compact!("{reason:?}"))
    }
}

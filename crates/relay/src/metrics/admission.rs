//! Metrics of the admission control.

use {
    super::histogram,
    bilberryfront_decide::admission::throttle::Subject,
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::time::Duration,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct LevelLabels {
    level: u32,
}

/// What a limit of an operator applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum SubjectKind {
    Route,
    Account,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SubjectLabels {
    subject: SubjectKind,
}

/// Requests by level, the position of their priority among those of their service.
#[derive(Clone)]
pub(super) struct Admission {
    waiting: Family<LevelLabels, Gauge>,
    waits: Family<LevelLabels, Histogram>,
    rejected: Family<LevelLabels, Counter>,
    withheld: Family<LevelLabels, Counter>,
    throttled: Family<SubjectLabels, Counter>,
    forecast_errors: Histogram,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            waiting: Family::default(),
            waits: Family::new_with_constructor(histogram),
            rejected: Family::default(),
            withheld: Family::default(),
            throttled: Family::default(),
            forecast_errors: histogram(),
        }
    }
}

impl Admission {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "admission_waiting",
            "Streams that wait at this instance for a runner with room",
            self.waiting.clone(),
        );
        registry.register(
            "admission_wait_seconds",
            "Time for which streams waited for a runner with room",
            self.waits.clone(),
        );
        registry.register(
            "admission_rejections",
            "Streams that were rejected because no runner would have room in time",
            self.rejected.clone(),
        );
        registry.register(
            "withheld_replicas",
            "Runs that started without a replica because no runner had room for it",
            self.withheld.clone(),
        );
        registry.register(
            "throttled_requests",
            "Requests that were rejected because of a limit of an operator",
            self.throttled.clone(),
        );
        registry.register(
            "forecast_error_seconds",
            "Difference between the expected and the actual wait of streams",
            self.forecast_errors.clone(),
        );
    }

    pub(super) fn add_waiting(&self, level: u8, count: i64) {
        self.waiting.get_or_create(&labels(level)).inc_by(count);
    }

    pub(super) fn count_start(&self, level: u8, waited: Duration, expected: Option<Duration>) {
        self.waits.get_or_create(&labels(level)).observe(waited.as_secs_f64());
        if let Some(expected) = expected {
            self.forecast_errors.observe(waited.abs_diff(expected).as_secs_f64());
        }
    }

    pub(super) fn count_rejection(&self, level: u8) {
        self.rejected.get_or_create(&labels(level)).inc();
    }

    pub(super) fn count_throttled(&self, subject: &Subject) {
        let subject = match subject {
            Subject::Route(_) => SubjectKind::Route,
            Subject::Account(_) => SubjectKind::Account,
        };
        self.throttled.get_or_create(&SubjectLabels { subject }).inc();
    }

    pub(super) fn count_withheld_replica(&self, level: u8) {
        self.withheld.get_or_create(&labels(level)).inc();
    }
}

fn labels(level: u8) -> LevelLabels {
    LevelLabels { level: level.into() }
}

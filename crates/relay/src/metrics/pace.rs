//! Metrics of the speeds of runners.

use {
    crate::fleet::PaceCounts,
    compact_str::CompactString,
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue},
        metrics::{family::Family, gauge::Gauge},
        registry::Registry,
    },
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum Speed {
    Fast,
    Median,
    Slow,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SpeedLabels {
    service: String,
    speed: Speed,
}

/// Runners by speed relative to the median of their service.
#[derive(Clone, Default)]
pub(super) struct Pace {
    known: Family<SpeedLabels, Gauge>,
}

impl Pace {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "runner_speeds",
            "Runners of known speed, by speed relative to the median of their service",
            self.known.clone(),
        );
    }

    pub(super) fn set(&self, services: &[(CompactString, PaceCounts)]) {
        self.known.clear();
        for (service, counts) in services {
            let PaceCounts { fast, median, slow } = *counts;
            for (speed, count) in
                [(Speed::Fast, fast), (Speed::Median, median), (Speed::Slow, slow)]
            {
                let labels = SpeedLabels { service: service.to_string(), speed };
                self.known.get_or_create(&labels).set(count as i64);
            }
        }
    }
}

//! Metrics of the first attempts of requests during rollouts.

use {
    bilberryfront_decide::mover::Response,
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue},
        metrics::{counter::Counter, family::Family},
        registry::Registry,
    },
};

/// Version that a request was assigned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum Version {
    Old,
    New,
}

/// What an attempt says about its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum Evidence {
    Success,
    Failure,
    Lost,
    /// Nothing: it has not run, or its caller has left.
    None,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct TrialLabels {
    service: String,
    version: Version,
    evidence: Evidence,
}

/// First attempts that have ended, by what they say about their versions.
#[derive(Clone, Default)]
pub(super) struct Trials {
    ends: Family<TrialLabels, Counter>,
}

impl Trials {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "rollout_attempts",
            "First attempts of requests during a rollout, by version and by what they say about it",
            self.ends.clone(),
        );
    }

    pub(super) fn count_end(&self, service: &str, is_new: bool, response: Option<Response>) {
        let version = if is_new { Version::New } else { Version::Old };
        let evidence = match response {
            Some(Response::Success) => Evidence::Success,
            Some(Response::Failure) => Evidence::Failure,
            Some(Response::Lost) => Evidence::Lost,
            None => Evidence::None,
        };
        let labels = TrialLabels { service: service.into(), version, evidence };
        self.ends.get_or_create(&labels).inc();
    }
}

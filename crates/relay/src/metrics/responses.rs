//! Metrics of the ends of runners' responses.

use {
    crate::framing::Framing,
    prometheus_client::{
        encoding::{EncodeLabelSet, EncodeLabelValue},
        metrics::{counter::Counter, family::Family},
        registry::Registry,
    },
};

/// How a response was seen to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub enum ResponseEnd {
    /// Regularly: the final chunk, the whole length, or the end of the connection without an error.
    Regular,
    /// Connection error, or an end within the stated body.
    Cut,
    /// Nothing more until the deadline, or a run that was left because it was silent.
    Silent,
    /// Content that is not allowed: a missing event, or one that is too long.
    Disorder,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct EndLabels {
    service: String,
    framing: Framing,
    end: ResponseEnd,
}

/// Ends of responses whose head was accepted.
#[derive(Clone, Default)]
pub(super) struct Responses {
    ends: Family<EndLabels, Counter>,
}

impl Responses {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "response_ends",
            "Responses of the runners of a service by their framing and how they ended",
            self.ends.clone(),
        );
    }

    pub(super) fn count_end(&self, service: &str, framing: Framing, end: ResponseEnd) {
        self.ends.get_or_create(&EndLabels { service: service.into(), framing, end }).inc();
    }
}

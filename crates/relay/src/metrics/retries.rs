//! Metrics of sends and of the retry budgets.

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Whether the retry budget has allowed a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum Decision {
    Taken,
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
enum Send {
    First,
    Repeat,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RetryLabels {
    service: String,
    decision: Decision,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SendLabels {
    service: String,
    send: Send,
}

/// Sends to runners, and retries that were taken from the budgets.
#[derive(Clone, Default)]
pub(super) struct Retries {
    decisions: Family<RetryLabels, Counter>,
    sends: Family<SendLabels, Counter>,
}

impl Retries {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "retries",
            "Retries that the budget of a service has allowed or not",
            self.decisions.clone(),
        );
        registry.register(
            "sends",
            "Requests sent to the runners of a service, for the first time or again",
            self.sends.clone(),
        );
    }

    pub(super) fn count_decision(&self, service: &str, is_taken: bool) {
        let decision = if is_taken { Decision::Taken } else { Decision::Refused };
        let labels = RetryLabels { service: service.into(), decision };
        self.decisions.get_or_create(&labels).inc();
    }

    pub(super) fn count_send(&self, service: &str, is_repeat: bool) {
        let send = if is_repeat { Send::Repeat } else { Send::First };
        self.sends.get_or_create(&SendLabels { service: service.into(), send }).inc();
    }
}

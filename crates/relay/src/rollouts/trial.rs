//! First attempts of requests during a rollout, as the traffic thread reports them.

use {
    crate::metrics::Metrics,
    bilberryfront_decide::mover::{Choice, Response},
    compact_str::CompactString,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// Report on the first attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TrialReport {
    /// Service.
    pub service: CompactString,
    /// Number that identifies the attempt on this node.
    pub number: u64,
    /// What happened.
    pub event: TrialEvent,
}

/// What happened to the first attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum TrialEvent {
    /// It is sent to a runner.
    Started(TrialStart),
    /// The first event or the response has arrived, this long after the request.
    Responded(Duration),
    /// A failure has arrived, whose time says nothing about the version.
    Failing,
    /// It has ended.
    Ended {
        /// Response.
        response: Response,
        /// Mean time between events.
        pace: Option<Duration>,
    },
    /// It has ended without a result, as it has not run or the caller has left.
    Dropped,
}

/// Start of the first attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TrialStart {
    /// Route.
    pub route: CompactString,
    /// Version assignment.
    pub choice: Choice,
    /// Number that identifies the runner on this node.
    pub runner: u64,
    /// Arrival of the request.
    pub at: Instant,
}

/// Sends reports to the control thread. Clones share the numbers.
#[derive(Clone)]
pub struct TrialReporter {
    sender: mpsc::UnboundedSender<TrialReport>,
    metrics: Metrics,
    next: Rc<Cell<u64>>,
}

impl TrialReporter {
    /// Creates a reporter.
    pub fn new(sender: mpsc::UnboundedSender<TrialReport>, metrics: &Metrics) -> TrialReporter {
        TrialReporter { sender, metrics: metrics.clone(), next: Rc::default() }
    }

    /// Reports the start of an attempt.
    pub fn start(&self, service: &CompactString, start: TrialStart) -> Trial {
        let number = self.next.get();
        self.next.set(number + 1);
        let (service, sender, metrics) =
            (service.clone(), self.sender.clone(), self.metrics.clone());
        let is_new = start.choice.new;
        let trial = Trial { service, number, is_new, sender, metrics, is_over: Cell::new(false) };
        trial.report(TrialEvent::Started(start));
        trial
    }
}

/// The first attempt of a request, while it is under way. Reported as dropped if it is not ended.
pub struct Trial {
    service: CompactString,
    number: u64,
    /// Whether the request was assigned to the new version.
    is_new: bool,
    sender: mpsc::UnboundedSender<TrialReport>,
    metrics: Metrics,
    is_over: Cell<bool>,
}

impl Trial {
    /// Reports the first event or the response, `latency` after the request.
    pub fn respond(&self, latency: Duration) {
        self.report(TrialEvent::Responded(latency));
    }

    /// Reports that the response is a failure, whose end is not known yet.
    pub fn fail(&self) {
        self.report(TrialEvent::Failing);
    }

    /// Reports the end; no other report may follow.
    pub fn end(&self, response: Response, pace: Option<Duration>) {
        self.is_over.set(true);
        self.metrics.count_trial(&self.service, self.is_new, Some(response));
        self.report(TrialEvent::Ended { response, pace });
    }

    fn report(&self, event: TrialEvent) {
        let (service, number) = (self.service.clone(), self.number);
        // The receiver exists as long as the process.
        _ = self.sender.send(TrialReport { service, number, event });
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.is_over.get() {
            self.metrics.count_trial(&self.service, self.is_new, None);
            self.report(TrialEvent::Dropped);
        }
    }
}

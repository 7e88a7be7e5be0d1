//! State of a race: what is under way, and what has failed.

use {
    crate::{
        events::Event,
        fleet::{Endpoint, RunnerKey},
        flow::generation::{
            ActiveRun,
            attempt::{Plan, Suspicion},
        },
        runner_client::LossSign,
    },
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::Instant},
};

/// Interval at which a hedge is considered again while none is possible.
const HEDGE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of runners that do not respond, or reject the request, from which the next hedge is delayed:
/// most of them may be in that state.
const MAX_FAILURES: usize = 2;
/// Time for which a silent run is kept after its replica was sent for, in case that is rejected. Both runners
/// may work for 400 ms; the rest is for late timers.
const HANDOVER_GRACE: Duration = Duration::from_millis(100);
/// The same if the retry budget is exhausted, as a rejection would cut the stream after that.
const MAX_HANDOVER_GRACE: Duration = Duration::from_millis(300);
/// Time for which a silent run is waited for after its runner has responded to a probe.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);
/// Time of a silence from which the last attempt of the route is used for a hedge as well.
const RESERVE_TIME: Duration = Duration::from_secs(2);
/// Time after the send of another attempt at which one whose events are missing is cancelled: its runner
/// would work on the request beside the other one.
const LOST_GRACE: Duration = Duration::from_millis(300);
/// Maximum number of attempts under way at the same time.
const MAX_ATTEMPTS: usize = 3;

/// State of a race.
pub(in crate::flow::generation) struct Race {
    /// Run that fell silent.
    pub(in crate::flow::generation) silent: Option<Box<ActiveRun>>,
    /// Event of the silent run that is not forwarded yet, and the time of its receipt.
    pub(super) held: Option<(Event, Instant)>,
    /// Attempts under way.
    pub(in crate::flow::generation) pending: Vec<Pending>,
    /// Notified when an attempt is sent.
    pub(super) sends: Rc<Notify>,
    /// Time of the first send beside the silent run, of those that have ended.
    first_send: Option<Instant>,
    /// Runners that have not responded to a probe since the last delay.
    pub(in crate::flow::generation) unresponsive: Vec<RunnerKey>,
    /// Number of hedges that were sent and ended without a run.
    rejections: usize,
    /// Whether the runner of the silent run has responded to a probe.
    is_responsive: bool,
    /// Time before which no other hedge is considered.
    pub(super) retry_at: Instant,
    start: Instant,
}

/// An attempt under way.
#[derive(Clone)]
pub(in crate::flow::generation) struct Pending {
    pub(super) plan: Plan,
    /// Since when and why the attempt is suspect; `None` if it is not.
    suspect: Option<(Instant, LossSign)>,
    /// Time at which the request was sent; until then, the runner is only probed.
    pub(super) sent: Rc<Cell<Option<Instant>>>,
    /// Time at which there was a connection for the request; it may run from then on.
    pub(super) connected: Rc<Cell<Option<Instant>>>,
    /// Cancels the attempt.
    pub(super) cancelled: Rc<Notify>,
}

impl Pending {
    fn new(plan: Plan) -> Pending {
        let (sent, connected, cancelled) = Default::default();
        Pending { plan, suspect: None, sent, connected, cancelled }
    }

    pub(super) fn is_fresh(&self) -> bool {
        self.plan.from_replica.is_none()
    }

    pub(super) fn is_sent(&self) -> bool {
        self.sent.get().is_some()
    }

    fn is_lost(&self) -> bool {
        matches!(self.suspect, Some((_, LossSign::EventsMissing)))
    }
}

impl Race {
    pub(super) fn new(silent: Option<Box<ActiveRun>>) -> Race {
        let (pending, unresponsive, now) = (Vec::new(), Vec::new(), Instant::now());
        let (rejections, is_responsive, sends) = (0, false, Rc::default());
        Race {
            silent,
            held: None,
            pending,
            sends,
            first_send: None,
            unresponsive,
            rejections,
            is_responsive,
            retry_at: now,
            start: now,
        }
    }

    /// Takes the silent run, with the time for which it was waited for.
    pub(super) fn take_silent(&mut self) -> Option<Box<ActiveRun>> {
        self.held = None;
        let mut active = self.silent.take()?;
        active.silent += self.start.elapsed();
        active.beside = self.first_send();
        Some(active)
    }

    /// Returns whether nothing is under way.
    pub(in crate::flow::generation) fn is_empty(&self) -> bool {
        self.silent.is_none() && self.pending.is_empty()
    }

    /// Returns whether another attempt is needed: each one under way is suspect.
    pub(super) fn needs_attempt(&self) -> bool {
        self.held.is_none()
            && self.pending.len() < MAX_ATTEMPTS
            && self.pending.iter().all(|p| p.suspect.is_some())
    }

    /// Returns whether another attempt is considered now.
    pub(super) fn is_due(&self) -> bool {
        self.needs_attempt() && (self.is_empty() || Instant::now() >= self.retry_at)
    }

    pub(super) fn delay(&mut self) {
        self.retry_at = Instant::now() + HEDGE_INTERVAL;
    }

    /// Returns whether an attempt has been sent.
    pub(super) fn has_sent(&self) -> bool {
        self.pending.iter().any(|p| p.is_sent())
    }

    /// Returns the time of the first send beside the silent run.
    fn first_send(&self) -> Option<Instant> {
        self.pending.iter().filter_map(|p| p.connected.get()).chain(self.first_send).min()
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove(&mut self, number: u32) {
        self.first_send = self.first_send();
        self.pending.retain(|p| p.plan.number != number);
    }

    /// Returns whether an attempt that is not sent yet is to resume from a replica.
    pub(super) fn has_unsent_replica(&self) -> bool {
        self.pending.iter().any(|p| !p.is_fresh() && !p.is_sent())
    }

    pub(super) fn add_unresponsive(&mut self, key: RunnerKey) {
        self.unresponsive.push(key);
        if self.unresponsive.len() >= MAX_FAILURES {
            self.delay();
        }
    }

    /// Counts a hedge that was sent and ended without a run.
    pub(super) fn count_rejection(&mut self) {
        self.rejections += 1;
        if self.rejections >= MAX_FAILURES {
            self.delay();
        }
    }

    /// Returns the number of runs from the prompt that may start.
    pub(in crate::flow::generation) fn fresh_count(&self) -> u32 {
        self.pending.iter().filter(|p| p.is_fresh()).count() as u32
    }

    /// Returns the runners of the attempts under way.
    pub(in crate::flow::generation) fn runners(&self) -> impl Iterator<Item = RunnerKey> {
        self.pending.iter().map(|p| p.plan.endpoint.key)
    }

    /// Returns the runners that another attempt must not use.
    pub(in crate::flow::generation) fn excluded(&self) -> Vec<RunnerKey> {
        let silent = self.silent.iter().map(|active| active.run.endpoint().key);
        silent.chain(self.runners()).chain(self.unresponsive.iter().copied()).collect()
    }

    /// Returns whether the silent run's replica has been sent for, so that the stream may go on there.
    pub(super) fn is_handed_over(&self) -> bool {
        self.silent.is_some() && self.handover().is_some()
    }

    /// Returns the time at which the silent run and the earlier attempts end because its replica has been sent
    /// for. `has_retry` states whether the retry budget allows another attempt.
    pub(super) fn handover_end(&self, has_retry: bool) -> Option<Instant> {
        let (sent_at, number) = self.handover()?;
        let has_former = self.silent.is_some() || self.former(number).next().is_some();
        let grace = if has_retry { HANDOVER_GRACE } else { MAX_HANDOVER_GRACE };
        has_former.then_some(sent_at + grace)
    }

    /// Returns the time and the number of the first send of a replica that is under way.
    fn handover(&self) -> Option<(Instant, u32)> {
        let resumes = self.pending.iter().filter(|p| !p.is_fresh());
        resumes.filter_map(|p| Some((p.connected.get()?, p.plan.number))).min()
    }

    /// Returns the attempts that were sent before the one with this number.
    fn former(&self, number: u32) -> impl Iterator<Item = &Pending> {
        self.pending.iter().filter(move |p| p.plan.number < number && p.is_sent())
    }

    /// Cancels the attempts that were sent before a replica, and returns their runners.
    pub(super) fn cancel_former(&self) -> impl Iterator<Item = RunnerKey> {
        let former = self.handover().into_iter().flat_map(|(_, number)| self.former(number));
        former.inspect(|p| p.cancelled.notify_one()).map(|p| p.plan.endpoint.key)
    }

    /// Returns whether there was a connection for the request of an attempt.
    pub(super) fn is_connected(&self, number: u32) -> bool {
        let attempt = self.pending.iter().find(|p| p.plan.number == number);
        attempt.is_some_and(|p| p.connected.get().is_some())
    }

    /// Returns the runners of the silent run and of the attempts that continue if these respond again.
    pub(super) fn suspects(&self) -> Vec<Endpoint> {
        let silent = self.silent.iter().filter(|_| !self.is_responsive);
        let silent = silent.map(|active| active.run.endpoint().clone());
        let is_unresponsive = |p: &&Pending| matches!(p.suspect, Some((_, LossSign::Unresponsive)));
        let pending = self.pending.iter().filter(is_unresponsive);
        silent.chain(pending.map(|p| p.plan.endpoint.clone())).collect()
    }

    /// Returns whether the last attempt of the route is left for a failure of the silent run.
    pub(in crate::flow::generation) fn reserves_attempt(&self) -> bool {
        self.silent.is_some() && self.start.elapsed() < RESERVE_TIME
    }

    /// Clears the suspicion of an attempt whose runner responds, or waits for the silent run once.
    pub(super) fn record_responsive(&mut self, key: RunnerKey) {
        match self.pending.iter_mut().find(|p| p.plan.endpoint.key == key) {
            Some(attempt) => attempt.suspect = None,
            None => {
                self.is_responsive = true;
                self.retry_at = Instant::now() + RESPONSE_GRACE;
            }
        }
    }

    /// Returns the time at which the attempts whose events are missing are cancelled; `None` if no other
    /// attempt that may start has been sent.
    pub(super) fn lost_end(&self) -> Option<Instant> {
        let lost_at = self.pending.iter().filter(|p| p.is_lost());
        let lost_at = lost_at.filter_map(|p| Some(p.suspect.as_ref()?.0)).max()?;
        let others = self.pending.iter().filter(|p| p.suspect.is_none());
        let sent_at = others.filter_map(|p| p.sent.get()).min()?;
        Some(lost_at.max(sent_at) + LOST_GRACE)
    }

    /// Cancels the attempts whose events are missing, and returns their runners.
    pub(super) fn cancel_lost(&self) -> impl Iterator<Item = RunnerKey> {
        let lost = self.pending.iter().filter(|p| p.is_lost());
        lost.inspect(|p| p.cancelled.notify_one()).map(|p| p.plan.endpoint.key)
    }

    /// Adds an attempt and returns it.
    pub(super) fn add(&mut self, plan: Plan) -> Pending {
        self.pending.push(Pending::new(plan));
        self.pending[self.pending.len() - 1].clone()
    }

    /// Records that an attempt became suspect, or that its runner reports it again.
    pub(super) fn suspect(&mut self, suspicion: &Suspicion) {
        let number = suspicion.number;
        let Some(index) = self.pending.iter().position(|p| p.plan.number == number) else { return };
        if let Some(sign) = suspicion.sign {
            self.pending[index].suspect = Some((Instant::now(), sign));
        } else if let Some((suspect_at, _)) = self.pending[index].suspect.take() {
            let work = suspect_at - self.pending[index].plan.sent_at;
            self.cancel_rival(index, work);
        }
    }

    /// Cancels one of two attempts whose runners respond: the one that has worked for less time. The
    /// attempt at `index` has worked for `work` and was silent since.
    fn cancel_rival(&self, index: usize, work: Duration) {
        let is_rival = |p: &&Pending| p.suspect.is_none() && p.is_sent();
        let others = self.pending.iter().enumerate().filter(|(other, _)| *other != index);
        let Some(rival) = others.map(|(_, p)| p).find(is_rival) else { return };
        match rival.plan.sent_at.elapsed() < work {
            true => rival.cancelled.notify_one(),
            false => self.pending[index].cancelled.notify_one(),
        }
    }
}

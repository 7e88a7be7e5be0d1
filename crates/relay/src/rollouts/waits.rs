//! Waits of first attempts for their first events or responses, which are judged as soon as possible.

use {
    super::trial::{TrialEvent, TrialStart},
    bilberryfront_decide::mover::{
        Sample,
        evidence::{Collector, Counts, Wait},
    },
    compact_str::CompactString,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Maximum number of waits that are kept until they can be judged.
const MAX_UNJUDGED: usize = 256;

/// First attempts of one rollout that have not ended, and waits that are over but not judged.
#[derive(Default)]
pub(super) struct Waits {
    /// First attempts that have not ended, by number.
    trials: BTreeMap<u64, Trial>,
    /// Waits that ended before there were enough latencies to judge them, with their times.
    unjudged: Vec<(TrialStart, Duration)>,
}

/// A first attempt that has not ended.
struct Trial {
    start: TrialStart,
    state: State,
}

/// State of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The attempt waits.
    Waiting,
    /// It has waited too long.
    Late,
    /// It has waited, but not too long as far as is known, or for a failure.
    Over,
}

impl Waits {
    /// Applies what happened to the first attempt with this number. `pooled` is the evidence of all nodes.
    pub(super) fn observe(
        &mut self,
        number: u64,
        event: &TrialEvent,
        collector: &mut Collector,
        pooled: &BTreeMap<CompactString, Counts>,
    ) {
        match event {
            TrialEvent::Started(start) => {
                self.trials.insert(number, Trial { start: start.clone(), state: State::Waiting });
            }
            TrialEvent::Responded(latency) => self.respond(number, *latency, collector, pooled),
            TrialEvent::Failing => {
                let trial = self.trials.get_mut(&number);
                let waiting = trial.filter(|trial| trial.state == State::Waiting);
                waiting.into_iter().for_each(|trial| trial.state = State::Over);
            }
            TrialEvent::Ended { response, pace } => {
                let Some(Trial { start, state }) = self.trials.remove(&number) else { return };
                let sample = Sample {
                    choice: start.choice,
                    route: &start.route,
                    response: *response,
                    first: None,
                    pace: *pace,
                    runner: start.runner,
                    account: 0,
                };
                collector.observe_end(&sample, state == State::Late, pooled);
            }
            TrialEvent::Dropped => _ = self.trials.remove(&number),
        }
    }

    /// Judges the waits that could not be judged before, and those that are not over.
    pub(super) fn judge(
        &mut self,
        now: Instant,
        collector: &mut Collector,
        pooled: &BTreeMap<CompactString, Counts>,
    ) {
        self.unjudged.retain(|(start, time)| {
            collector.judge_wait(&wait_of(start, *time, true), pooled).is_none()
        });
        for trial in self.trials.values_mut().filter(|trial| trial.state == State::Waiting) {
            let time = now.saturating_duration_since(trial.start.at);
            if collector.judge_wait(&wait_of(&trial.start, time, false), pooled).is_some() {
                trial.state = State::Late;
            }
        }
    }

    /// Returns the number of attempts under way at the new version that wait, or have waited too long.
    pub(super) fn waiting(&self) -> usize {
        let is_waiting = |trial: &&Trial| trial.start.choice.new && trial.state != State::Over;
        self.trials.values().filter(is_waiting).count()
    }

    /// Records the first event or the response of a first attempt.
    fn respond(
        &mut self,
        number: u64,
        latency: Duration,
        collector: &mut Collector,
        pooled: &BTreeMap<CompactString, Counts>,
    ) {
        let Some(trial) = self.trials.get_mut(&number) else { return };
        let wait = wait_of(&trial.start, latency, true);
        if trial.state == State::Waiting {
            let is_late = collector.judge_wait(&wait, pooled);
            trial.state = if is_late == Some(true) { State::Late } else { State::Over };
            if is_late.is_none() && self.unjudged.len() < MAX_UNJUDGED {
                self.unjudged.push((trial.start.clone(), latency));
            }
        }
        collector.observe_wait(&wait);
    }
}

fn wait_of(start: &TrialStart, time: Duration, is_over: bool) -> Wait<'_> {
    let &TrialStart { choice, ref route, runner, .. } = start;
    Wait { choice, route, runner, time, is_over }
}

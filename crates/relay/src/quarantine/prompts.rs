//! Quarantine of prompts with a part that crashes runners, exchanged with peers.

use {
    super::{
        Quarantine, RunnerCrash, age_ms,
        evidence::{Evidence, Judgement, Lost, SOUND_TIME},
        fingerprint::{account_hash, prompt_of},
        instant_of,
        patterns::Patterns,
    },
    crate::{
        call::Call,
        log_messages::{PROMPTS_CLEARED, PROMPTS_QUARANTINED},
    },
    bilberryfront_decide::member::message::{
        PatternReport, Prompt, PromptCrash, PromptPattern, PromptReport, SoundPart,
    },
    rand::Rng,
    std::time::Duration,
    tokio::time::Instant,
};

/// Range of the random delay of reports that other nodes may make as well, so that most of them are
/// superseded by the first one.
const REPORT_JITTER: Duration = Duration::from_millis(100);
/// Maximum entries of each kind per report.
const MAX_REPORTED: usize = 64;

/// State of the quarantine of prompts.
#[derive(Default)]
pub(super) struct Prompts {
    evidence: Evidence,
    patterns: Patterns,
    /// Time of the next judgement.
    judge_at: Option<Instant>,
    /// Sound runs to report unless a peer does, by part and start.
    refutations: Vec<(u64, Instant)>,
    /// Time at which [`Self::refutations`] are reported.
    report_at: Option<Instant>,
    /// Report for peers.
    report: PromptReport,
    /// Changes of quarantined patterns by this node that the store does not have yet.
    stored: Vec<PatternReport>,
}

impl Prompts {
    pub(super) fn time_left(&self, call: &Call, expiry: Duration) -> Option<Duration> {
        self.patterns.time_left(|| account_hash(call), &call.head.prefix, expiry)
    }

    pub(super) fn len(&self, expiry: Duration) -> usize {
        self.patterns.len(expiry)
    }

    /// Returns when a runner crashed, if this node or a peer has reported that.
    pub(super) fn crash_time(&self, runner: u64) -> Option<Instant> {
        self.evidence.crash_time(runner)
    }

    /// Records a request that was lost in a crash; returns whether it was not known.
    fn record_lost(&mut self, lost: &Lost<'_>, expiry: Duration) -> bool {
        if !self.add_lost(lost, expiry) {
            return false;
        }
        let &Lost { runner, sent_at, at, prompt, begun } = lost;
        let sound = prompt.parts.iter().filter_map(|id| {
            let start = self.evidence.last_sound(*id, at)?;
            Some(SoundPart { id: *id, age_ms: age_ms(start, at) })
        });
        let (sound, prompt, sent_ms) = (sound.collect(), prompt.clone(), age_ms(sent_at, at));
        let age_ms = age_ms(at, Instant::now());
        let crash = PromptCrash { runner, sent_ms, age_ms, prompt, begun, sound };
        self.report.crashes.push(crash);
        true
    }

    fn add_lost(&mut self, lost: &Lost<'_>, expiry: Duration) -> bool {
        let is_new = self.evidence.add_lost(lost);
        if is_new {
            let known = self.patterns.find_known(lost.prompt).filter(|_| lost.begun);
            if let Some(pattern) = known.cloned() {
                self.quarantine(pattern, lost.at, lost.at, expiry);
            }
            self.judge_at.get_or_insert_with(Instant::now);
        }
        is_new
    }

    /// Records a sound run; returns whether there is something to report.
    fn record_sound(&mut self, prompt: &Prompt, start: Instant) -> bool {
        for pattern in self.patterns.clear(prompt, start) {
            log::info!(pattern = display(&pattern).as_str(); "{PROMPTS_CLEARED}");
            let report = PatternReport { pattern, since_ms: 0, age_ms: 0, cleared: true };
            self.report.patterns.push(report.clone());
            self.stored.push(report);
        }
        for id in &prompt.parts {
            if self.evidence.add_sound(*id, start) {
                self.refutations.push((*id, start));
                let jitter = REPORT_JITTER.mul_f64(rand::rng().random());
                self.report_at.get_or_insert_with(|| Instant::now() + jitter);
            }
        }
        !self.report.patterns.is_empty() || self.report_at.is_some()
    }

    /// Judges the evidence; returns whether a pattern was quarantined.
    fn judge(&mut self, expiry: Duration) -> bool {
        let mut is_changed = false;
        loop {
            match self.evidence.judge(&self.patterns, Instant::now()) {
                Judgement::Quarantine { pattern, since, last } => {
                    self.quarantine(pattern, since, last, expiry);
                    is_changed = true;
                }
                Judgement::Open(at) => {
                    let jitter = REPORT_JITTER.mul_f64(rand::rng().random());
                    self.judge_at = at.map(|at| at + jitter);
                    return is_changed;
                }
            }
        }
    }

    fn quarantine(
        &mut self,
        pattern: PromptPattern,
        since: Instant,
        last: Instant,
        expiry: Duration,
    ) {
        if !self.patterns.add(pattern.clone(), since, last, expiry) {
            return;
        }
        log::warn!(pattern = display(&pattern).as_str(); "{PROMPTS_QUARANTINED}");
        let now = Instant::now();
        let (since_ms, age_ms) = (age_ms(since, now), age_ms(last, now));
        let report = PatternReport { pattern, since_ms, age_ms, cleared: false };
        self.report.patterns.push(report.clone());
        self.stored.push(report);
    }

    /// Applies a report of a peer; returns whether a pattern was quarantined.
    fn apply(&mut self, report: &PromptReport, expiry: Duration) -> bool {
        let now = Instant::now();
        for PromptCrash { runner, sent_ms, age_ms, prompt, begun, sound } in &report.crashes {
            self.apply_sound(sound, now);
            if let Some(at) = instant_of(*age_ms, now) {
                let sent_at = instant_of(*sent_ms, at).unwrap_or(at);
                let lost = Lost { runner: *runner, sent_at, at, prompt, begun: *begun };
                self.add_lost(&lost, expiry);
            }
        }
        self.apply_sound(&report.sound, now);
        let mut is_changed = false;
        for pattern in &report.patterns {
            is_changed |= self.apply_pattern(pattern, expiry, now);
        }
        is_changed
    }

    fn apply_sound(&mut self, sound: &[SoundPart], now: Instant) {
        for SoundPart { id, age_ms } in sound {
            let Some(start) = instant_of(*age_ms, now) else { continue };
            self.evidence.add_sound(*id, start);
            self.refutations.retain(|(part, own)| part != id || *own > start);
        }
    }

    fn apply_pattern(&mut self, report: &PatternReport, expiry: Duration, now: Instant) -> bool {
        let PatternReport { pattern, since_ms, age_ms, cleared } = report;
        if *cleared {
            if self.patterns.remove(pattern) {
                log::info!(pattern = display(pattern).as_str(); "{PROMPTS_CLEARED}, reported by a peer");
            }
            return false;
        }
        // Without a part, it would match all requests of an account.
        let Some(last) = instant_of(*age_ms, now).filter(|_| !pattern.parts.is_empty()) else {
            return false;
        };
        let since = instant_of(*since_ms, now).unwrap_or(last);
        let is_added = self.patterns.add(pattern.clone(), since, last, expiry);
        if is_added {
            log::warn!(pattern = display(pattern).as_str(); "{PROMPTS_QUARANTINED}, reported by a peer");
        }
        is_added
    }

    /// Moves the refutations that are due to the report.
    fn report_refutations(&mut self) {
        let now = Instant::now();
        if self.report_at.is_none_or(|at| at > now) {
            return;
        }
        self.report_at = None;
        let sound = self.refutations.drain(..);
        let sound = sound.map(|(id, start)| SoundPart { id, age_ms: age_ms(start, now) });
        self.report.sound.extend(sound);
    }
}

impl Quarantine {
    /// Records the crash of a runner while it held a request.
    pub fn record_prompt_crash(&self, call: &Call, crash: &RunnerCrash) {
        let &RunnerCrash { runner, sent_at, at, age } = crash;
        if age.is_some_and(|age| age > SOUND_TIME) || call.head.prefix.is_empty() {
            return;
        }
        let inner = &mut *self.inner.borrow_mut();
        let prompt = &prompt_of(call);
        let lost = Lost { runner, sent_at, at, prompt, begun: age.is_some() };
        if inner.prompts.record_lost(&lost, inner.expiry) {
            self.changed.notify_one();
        }
    }

    /// Records that a runner has responded to a request since `start` without crashing, from the
    /// beginning of the response.
    pub fn record_sound_run(&self, call: &Call, start: Instant) {
        if call.head.prefix.is_empty() {
            return;
        }
        if self.inner.borrow_mut().prompts.record_sound(&prompt_of(call), start) {
            self.changed.notify_one();
        }
    }

    /// Returns the next time at which [`Self::judge`] has something to do.
    pub fn next_judgement(&self) -> Option<Instant> {
        let prompts = &self.inner.borrow().prompts;
        [prompts.judge_at, prompts.report_at].into_iter().flatten().min()
    }

    /// Judges the evidence on prompts, and makes reports that are due ready for
    /// [`Self::take_prompt_update`].
    pub fn judge(&self) {
        let inner = &mut *self.inner.borrow_mut();
        let is_due = inner.prompts.judge_at.is_some_and(|at| at <= Instant::now());
        if is_due && inner.prompts.judge(inner.expiry) {
            self.quarantined.notify_waiters();
        }
        inner.prompts.report_refutations();
    }

    /// Takes the evidence and the changed patterns since the last call, for peers.
    pub fn take_prompt_update(&self) -> PromptReport {
        let mut report = std::mem::take(&mut self.inner.borrow_mut().prompts.report);
        report.crashes.truncate(MAX_REPORTED);
        report.sound.truncate(MAX_REPORTED);
        report.patterns.truncate(MAX_REPORTED);
        report
    }

    /// Takes the changed patterns that the store does not have yet.
    pub fn take_stored_patterns(&self) -> Vec<PatternReport> {
        std::mem::take(&mut self.inner.borrow_mut().prompts.stored)
    }

    /// Returns the quarantined patterns, for peers that have started or missed an update.
    pub fn pattern_snapshot(&self) -> PromptReport {
        let inner = self.inner.borrow();
        PromptReport {
            patterns: inner.prompts.patterns.reports(inner.expiry),
            ..Default::default()
        }
    }

    /// Applies evidence and patterns of a peer.
    pub fn apply_prompts(&self, report: &PromptReport) {
        let inner = &mut *self.inner.borrow_mut();
        if inner.prompts.apply(report, inner.expiry) {
            self.quarantined.notify_waiters();
        }
    }
}

/// Returns a pattern for logs.
fn display(pattern: &PromptPattern) -> String {
    let account = pattern.account.iter().map(|account| format!("account:{account:016x}"));
    let parts = pattern.parts.iter().map(|id| format!("{id:x}"));
    account.chain(parts).collect::<Vec<String>>().join(",")
}

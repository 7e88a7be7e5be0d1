//! Evidence on prompts that crash the runners that begin to respond to them.
//!
//! Any part of a prompt may be the cause, and streams that have just begun beside such a prompt crash
//! with it. A part is therefore judged by all crashes and by its sound runs, and what is quarantined is
//! the pattern that all crashed prompts with the part have in common.

use {
    super::patterns::Patterns,
    bilberryfront_decide::member::message::{Prompt, PromptPattern},
    rustc_hash::FxHashMap,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Time for which a run must generate events to be sound. Crashes of runs that were older are no
/// evidence on their prompts.
pub const SOUND_TIME: Duration = Duration::from_secs(1);
/// Crashes from which a part without earlier sound runs is judged.
pub const MIN_CRASHES: usize = 4;
/// Crashes from which a part with earlier sound runs is judged.
const MIN_CRASHES_KNOWN: usize = MIN_CRASHES + 1;
/// As [`MIN_CRASHES_KNOWN`], if parts without sound runs may be the cause; enough to judge two of them
/// first.
const MIN_CRASHES_BESIDE_UNKNOWN: usize = 2 * MIN_CRASHES;
/// Crashes that no quarantined pattern explains from which a part is judged.
const MIN_UNEXPLAINED: usize = 2;
/// Distinct requests among the crashes from which a part is judged.
const MIN_REQUESTS: usize = 2;
/// Time after the first crash from which a part without earlier sound runs is judged; a sound run that
/// starts after the crash would have refuted it by then.
const JUDGE_DELAY: Duration = SOUND_TIME.saturating_add(Duration::from_millis(500));
/// As [`JUDGE_DELAY`], for a part with earlier sound runs.
const JUDGE_DELAY_KNOWN: Duration = SOUND_TIME.saturating_mul(3);
/// Time after a crash within which other nodes report their prompts.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Crashes within this time of each other count once, since they may have a common cause.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Time for which crashes and sound runs are remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of remembered crashes.
const MAX_CRASHES: usize = 64;
/// Maximum number of prompts per crash.
const MAX_PROMPTS: usize = 32;
/// Maximum number of parts whose sound runs are remembered.
const MAX_SOUND: usize = 4_096;

/// Crashes and sound runs.
#[derive(Default)]
pub(super) struct Evidence {
    /// Crashes, the last one reported last.
    crashes: VecDeque<Crash>,
    /// Start of the last sound run by part.
    sound: FxHashMap<u64, Instant>,
}

/// A crash of a runner.
struct Crash {
    runner: u64,
    at: Instant,
    /// Prompts to which the runner had just begun to respond.
    begun: Vec<Prompt>,
    /// Prompts that waited at the runner, or whose response had not arrived yet.
    waiting: Vec<Prompt>,
}

/// A request that a runner held when it crashed.
pub(super) struct Lost<'a> {
    /// Hash of the runner's incarnation.
    pub(super) runner: u64,
    /// Time at which the request was sent to the runner.
    pub(super) sent_at: Instant,
    /// Time of the crash.
    pub(super) at: Instant,
    /// Prompt of the request.
    pub(super) prompt: &'a Prompt,
    /// Whether the response had begun.
    pub(super) begun: bool,
}

/// A pattern that probably crashes runners.
struct Suspicion {
    pattern: PromptPattern,
    /// First crash.
    since: Instant,
    /// Last crash.
    last: Instant,
    /// Time from which the evidence is conclusive.
    judged_at: Instant,
    /// Crashes with the part that no quarantined pattern explains.
    unexplained: Vec<u64>,
    /// Crashes that the pattern explains.
    explained: Vec<u64>,
}

impl Suspicion {
    /// Returns whether more specific patterns explain at least half of the crashes, so that they are to
    /// be quarantined first. For the others, the prompt that is the cause may not be known.
    fn is_refined_by(&self, others: &[Suspicion]) -> bool {
        let is_finer = |other: &&Suspicion| {
            other.pattern != self.pattern && self.pattern.generalizes(&other.pattern)
        };
        let finer: Vec<&Suspicion> = others.iter().filter(is_finer).collect();
        let is_left = |runner: &&u64| !finer.iter().any(|other| other.explained.contains(runner));
        let left = self.unexplained.iter().filter(is_left).count();
        left < MIN_UNEXPLAINED || 2 * left <= self.unexplained.len()
    }
}

/// Result of [`Evidence::judge`].
#[derive(Debug, PartialEq)]
pub(super) enum Judgement {
    /// A pattern crashes runners.
    Quarantine {
        pattern: PromptPattern,
        /// First crash.
        since: Instant,
        /// Last crash.
        last: Instant,
    },
    /// The evidence is not conclusive; it may be at this time without further crashes.
    Open(Option<Instant>),
}

impl Evidence {
    /// Adds a request that was lost in a crash; returns whether it was not known. A runner that had
    /// crashed before the request was sent is no evidence.
    pub(super) fn add_lost(&mut self, lost: &Lost<'_>) -> bool {
        let Lost { runner, sent_at, at, prompt, begun } = *lost;
        self.crashes.retain(|crash| at.saturating_duration_since(crash.at) < RETENTION);
        let known = self.crashes.iter().position(|crash| crash.runner == runner);
        let crash = match known {
            Some(index) if sent_at > self.crashes[index].at => return false,
            Some(index) => &mut self.crashes[index],
            None => {
                if self.crashes.len() >= MAX_CRASHES {
                    self.crashes.pop_front();
                }
                self.crashes.push_back(Crash::new(runner, at));
                self.crashes.back_mut().expect("the crash was added")
            }
        };
        let prompts = if begun { &mut crash.begun } else { &mut crash.waiting };
        let is_new = !prompts.contains(prompt) && prompts.len() < MAX_PROMPTS;
        if is_new {
            prompts.push(prompt.clone());
        }
        is_new
    }

    /// Returns when a runner crashed.
    pub(super) fn crash_time(&self, runner: u64) -> Option<Instant> {
        Some(self.crashes.iter().find(|crash| crash.runner == runner)?.at)
    }

    /// Records a sound run of a part that started at `start`; returns whether it refutes a crash.
    pub(super) fn add_sound(&mut self, part: u64, start: Instant) -> bool {
        if self.sound.len() >= MAX_SOUND && !self.sound.contains_key(&part) {
            self.forget_older_half();
        }
        let before = self.sound.get(&part).copied();
        if before.is_some_and(|before| before >= start) {
            return false;
        }
        self.sound.insert(part, start);
        let is_refuted =
            |crash: &&Crash| crash.at <= start && before.is_none_or(|before| crash.at > before);
        self.crashes.iter().filter(is_refuted).any(|crash| crash.has_part(part))
    }

    /// Returns the start of the last sound run of a part, if it is remembered.
    pub(super) fn last_sound(&self, part: u64, now: Instant) -> Option<Instant> {
        self.sound.get(&part).copied().filter(|start| now < *start + RETENTION)
    }

    /// Returns the pattern that explains most crashes, if the evidence for one that `patterns` does not
    /// contain is conclusive.
    pub(super) fn judge(&self, patterns: &Patterns, now: Instant) -> Judgement {
        let crashes: Vec<&Crash> =
            self.crashes.iter().filter(|crash| !crash.is_explained(patterns)).collect();
        let prompts = crashes.iter().flat_map(|crash| &crash.begun);
        let mut parts: Vec<u64> = prompts.flat_map(|prompt| &prompt.parts).copied().collect();
        parts.sort_unstable();
        parts.dedup();
        let suspicions: Vec<Suspicion> = parts
            .into_iter()
            .filter_map(|part| self.suspect(part, &crashes, patterns, now))
            .collect();
        let is_due = |suspicion: &&Suspicion| {
            suspicion.judged_at <= now && !suspicion.is_refined_by(&suspicions)
        };
        let rank = |suspicion: &&Suspicion| (suspicion.unexplained.len(), suspicion.pattern.len());
        if let Some(suspicion) = suspicions.iter().filter(is_due).max_by_key(rank) {
            let Suspicion { pattern, since, last, .. } = suspicion;
            return Judgement::Quarantine { pattern: pattern.clone(), since: *since, last: *last };
        }
        let settled = crashes.iter().map(|crash| crash.at + SETTLE_TIME);
        let times = settled.chain(suspicions.iter().map(|suspicion| suspicion.judged_at));
        Judgement::Open(times.filter(|at| *at > now).min())
    }

    /// Returns the pattern of the crashes with a part, if they are enough evidence against it. A part that
    /// mostly waited is not the cause.
    fn suspect(
        &self,
        part: u64,
        unexplained: &[&Crash],
        patterns: &Patterns,
        now: Instant,
    ) -> Option<Suspicion> {
        let sound = self.last_sound(part, now);
        let is_evidence = |crash: &&Crash| {
            crash.at + SETTLE_TIME <= now
                && sound.is_none_or(|start| crash.at > start)
                && crash.has_part(part)
        };
        let crashes: Vec<&Crash> = self.crashes.iter().filter(is_evidence).collect();
        let unexplained: Vec<&Crash> = unexplained.iter().copied().filter(is_evidence).collect();
        let (min_crashes, delay) = match sound {
            Some(_) if self.has_unknown_parts(&crashes, part, now) => {
                (MIN_CRASHES_BESIDE_UNKNOWN, JUDGE_DELAY_KNOWN)
            }
            Some(_) => (MIN_CRASHES_KNOWN, JUDGE_DELAY_KNOWN),
            None => (MIN_CRASHES, JUDGE_DELAY),
        };
        let is_enough = count_bursts(&crashes) >= min_crashes
            && unexplained.len() >= MIN_UNEXPLAINED
            && count_requests(&crashes, part) >= MIN_REQUESTS
            && 2 * crashes.iter().filter(|crash| crash.has_begun(part)).count() >= crashes.len();
        if !is_enough {
            return None;
        }
        let pattern = common_pattern(&crashes, unexplained.last()?, part)?;
        // Requests that are cancelled by a new quarantine may still crash their runners.
        let is_later = |crash: &&&Crash| {
            let quarantined_at = patterns.quarantined_at(&pattern);
            quarantined_at.is_none_or(|at| crash.at > at + SOUND_TIME)
        };
        if unexplained.iter().filter(is_later).count() < MIN_UNEXPLAINED {
            return None;
        }
        let times = || crashes.iter().map(|crash| crash.at);
        let (since, last) = (times().min()?, times().max()?);
        let explained = self.crashes.iter().filter(|crash| crash.is_explained_by(&pattern));
        Some(Suspicion {
            since,
            last,
            judged_at: since + delay,
            unexplained: unexplained.iter().map(|crash| crash.runner).collect(),
            explained: explained.map(|crash| crash.runner).collect(),
            pattern,
        })
    }

    /// Returns whether each crash lost a prompt with `part` and another part that has no sound run.
    fn has_unknown_parts(&self, crashes: &[&Crash], part: u64, now: Instant) -> bool {
        let is_unknown = |id: &u64| *id != part && self.last_sound(*id, now).is_none();
        let has_unknown = |prompt: &Prompt| prompt.parts.iter().any(is_unknown);
        crashes.iter().all(|crash| crash.prompts_with(part).any(has_unknown))
    }

    fn forget_older_half(&mut self) {
        let mut starts: Vec<Instant> = self.sound.values().copied().collect();
        let middle = starts.len() / 2;
        let (_, median, _) = starts.select_nth_unstable(middle);
        let median = *median;
        self.sound.retain(|_, start| *start > median);
    }
}

impl Crash {
    fn new(runner: u64, at: Instant) -> Crash {
        Crash { runner, at, begun: Vec::new(), waiting: Vec::new() }
    }

    /// Returns whether the response to a prompt with this part had begun.
    fn has_begun(&self, part: u64) -> bool {
        self.begun.iter().any(|prompt| has_part(prompt, part))
    }

    /// Returns whether the runner held a prompt with this part.
    fn has_part(&self, part: u64) -> bool {
        self.prompts_with(part).next().is_some()
    }

    fn prompts(&self) -> impl Iterator<Item = &Prompt> {
        self.begun.iter().chain(&self.waiting)
    }

    fn prompts_with(&self, part: u64) -> impl Iterator<Item = &Prompt> {
        self.prompts().filter(move |prompt| has_part(prompt, part))
    }

    fn is_explained(&self, patterns: &Patterns) -> bool {
        self.prompts().any(|prompt| patterns.find_known(prompt).is_some())
    }

    fn is_explained_by(&self, pattern: &PromptPattern) -> bool {
        let has_all = |prompt: &Prompt| pattern.matches(prompt.account, |id| has_part(prompt, id));
        self.prompts().any(has_all)
    }
}

fn has_part(prompt: &Prompt, part: u64) -> bool {
    prompt.parts.binary_search(&part).is_ok()
}

/// Counts crashes, those of a burst once.
fn count_bursts(crashes: &[&Crash]) -> usize {
    let mut times: Vec<Instant> = crashes.iter().map(|crash| crash.at).collect();
    times.sort_unstable();
    let mut end = None;
    let is_next = |at: &Instant| {
        let is_next = end.is_none_or(|end| *at >= end);
        if is_next {
            end = Some(*at + BURST_TIME);
        }
        is_next
    };
    times.into_iter().filter(is_next).count()
}

/// Counts the distinct requests with a part.
fn count_requests(crashes: &[&Crash], part: u64) -> usize {
    let prompts = crashes.iter().flat_map(|crash| crash.prompts_with(part));
    let mut requests: Vec<u64> = prompts.map(|prompt| prompt.request).collect();
    requests.sort_unstable();
    requests.dedup();
    requests.len()
}

/// Returns what one prompt with `part` of each crash has in common, starting with those of `start`.
fn common_pattern(crashes: &[&Crash], start: &Crash, part: u64) -> Option<PromptPattern> {
    let narrow = |pattern: PromptPattern, crash: &&Crash| {
        let prompts = crash.prompts_with(part).map(|prompt| pattern.intersect(prompt));
        prompts.max_by_key(PromptPattern::len).unwrap_or(pattern)
    };
    let patterns = start.prompts_with(part);
    let patterns = patterns.map(|prompt| crashes.iter().fold(PromptPattern::of(prompt), narrow));
    patterns.max_by_key(PromptPattern::len)
}

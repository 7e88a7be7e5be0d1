//! Quarantined patterns of prompts.

use {
    super::MIN_RENEWAL,
    bilberryfront_decide::member::message::{PatternReport, Prompt, PromptPattern},
    std::time::Duration,
    tokio::time::Instant,
};

/// Maximum number of quarantined patterns.
const MAX_PATTERNS: usize = 64;

/// Quarantined patterns, and those whose quarantine has expired recently.
#[derive(Default)]
pub(super) struct Patterns {
    known: Vec<Quarantined>,
}

/// A pattern of prompts that crash runners.
struct Quarantined {
    pattern: PromptPattern,
    /// First crash.
    since: Instant,
    /// Last crash.
    last: Instant,
    /// Time at which this node learned of the quarantine.
    added: Instant,
}

impl Patterns {
    /// Returns the time for which a prompt is still quarantined, if it is. `prefix` holds the ids of its
    /// shared parts in any order.
    pub(super) fn time_left(
        &self,
        account: impl Fn() -> u64,
        prefix: &[u64],
        expiry: Duration,
    ) -> Option<Duration> {
        if self.known.is_empty() {
            return None;
        }
        let (account, now) = (account(), Instant::now());
        let matching = self.known.iter().filter(|known| known.matches(account, prefix));
        let left = matching.map(|known| (known.last + expiry).saturating_duration_since(now));
        left.max().filter(|left| !left.is_zero())
    }

    /// Returns the known pattern that a prompt matches, quarantined or expired.
    pub(super) fn find_known(&self, prompt: &Prompt) -> Option<&PromptPattern> {
        let mut known = self.known.iter();
        Some(&known.find(|known| known.matches(prompt.account, &prompt.parts))?.pattern)
    }

    /// Returns when the last of the patterns that a pattern generalizes was quarantined.
    pub(super) fn quarantined_at(&self, pattern: &PromptPattern) -> Option<Instant> {
        let finer = self.known.iter().filter(|known| pattern.generalizes(&known.pattern));
        finer.map(|known| known.added).max()
    }

    /// Adds a pattern or renews its quarantine, and removes those that it generalizes; returns whether
    /// it was not quarantined.
    pub(super) fn add(
        &mut self,
        pattern: PromptPattern,
        since: Instant,
        last: Instant,
        expiry: Duration,
    ) -> bool {
        let now = Instant::now();
        let found = self.known.iter_mut().find(|known| known.pattern == pattern);
        if let Some(known) = found {
            let was_quarantined = now < known.last + expiry;
            if last > known.last + MIN_RENEWAL {
                known.last = last;
            }
            return !was_quarantined && now < known.last + expiry;
        }
        self.known.retain(|known| !pattern.generalizes(&known.pattern));
        // Longer than the quarantine, so that a crash in the trial after it renews the quarantine.
        self.known.retain(|known| now < known.last + expiry * 2);
        if self.known.len() >= MAX_PATTERNS {
            let oldest = self.known.iter().enumerate().min_by_key(|(_, known)| known.last);
            let oldest = oldest.map(|(index, _)| index);
            oldest.into_iter().for_each(|index| _ = self.known.swap_remove(index));
        }
        self.known.push(Quarantined { pattern, since, last, added: now });
        now < last + expiry
    }

    /// Removes the patterns that the prompt of a sound run matches, if the run started at `start` after
    /// their first crash; returns them.
    pub(super) fn clear(&mut self, prompt: &Prompt, start: Instant) -> Vec<PromptPattern> {
        let is_refuted = |known: &mut Quarantined| {
            start > known.since && known.matches(prompt.account, &prompt.parts)
        };
        self.known.extract_if(.., is_refuted).map(|known| known.pattern).collect()
    }

    /// Removes a pattern; returns whether it was known.
    pub(super) fn remove(&mut self, pattern: &PromptPattern) -> bool {
        let before = self.known.len();
        self.known.retain(|known| known.pattern != *pattern);
        self.known.len() < before
    }

    /// Returns the quarantined patterns.
    pub(super) fn reports(&self, expiry: Duration) -> Vec<PatternReport> {
        let now = Instant::now();
        let quarantined = self.known.iter().filter(|known| now < known.last + expiry);
        quarantined.map(|known| known.report(now)).collect()
    }

    /// Returns the number of quarantined patterns.
    pub(super) fn len(&self, expiry: Duration) -> usize {
        let now = Instant::now();
        self.known.iter().filter(|known| now < known.last + expiry).count()
    }
}

impl Quarantined {
    fn matches(&self, account: u64, parts: &[u64]) -> bool {
        self.pattern.matches(account, |id| parts.contains(&id))
    }

    fn report(&self, now: Instant) -> PatternReport {
        PatternReport {
            pattern: self.pattern.clone(),
            since_ms: super::age_ms(self.since, now),
            age_ms: super::age_ms(self.last, now),
            cleared: false,
        }
    }
}

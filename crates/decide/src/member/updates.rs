//! News on its way through the nodes.

use {
    super::message::{Hint, News},
    compact_str::CompactString,
    std::{cmp::Reverse, collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Most items in one heartbeat; with names of 12 bytes they fill one datagram.
pub(super) const PER_HEARTBEAT: usize = 32;
/// Rounds for which an item is sent, each time to every target. With three or more targets and one
/// heartbeat lost in ten, all copies of one sender are lost once in 10^9 times.
const REPEATS: u8 = 3;
/// Most items that wait; past it the oldest goes, and the regular exchange of tables makes up.
const CAPACITY: usize = 512;
/// How long a runner hint that comes again isn't news.
const HINT_AGE: Duration = Duration::from_secs(5);

/// Items to pass on, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    items: VecDeque<(News, u8)>,
    hints: VecDeque<(Hint, Instant)>,
}

impl Queue {
    /// Takes an item in place of an older one of the same subject.
    pub(super) fn push(&mut self, news: News) {
        self.items.retain(|(n, _)| subject(n) != subject(&news));
        if self.items.len() == CAPACITY {
            self.items.pop_front();
        }
        self.items.push_back((news, REPEATS));
    }

    /// Takes a hint; says whether it is new.
    pub(super) fn hint(&mut self, now: Instant, hint: &Hint) -> bool {
        self.hints.retain(|(_, at)| now < *at + HINT_AGE);
        if self.hints.len() == CAPACITY || self.hints.iter().any(|(h, _)| h == hint) {
            return false;
        }
        self.hints.push_back((hint.clone(), now));
        self.push(News::Runner(hint.clone()));
        true
    }

    /// The items of the next heartbeat: those sent least often first, so that repeats don't hold up
    /// what nobody has heard yet when a whole domain is lost at once.
    pub(super) fn next(&mut self) -> Vec<News> {
        self.items.make_contiguous().sort_by_key(|(_, left)| Reverse(*left));
        let count = self.items.len().min(PER_HEARTBEAT);
        let batch: Vec<(News, u8)> = self.items.drain(..count).collect();
        let again = batch.iter().filter(|(_, left)| *left > 1);
        self.items.extend(again.map(|(news, left)| (news.clone(), left - 1)));
        batch.into_iter().map(|(news, _)| news).collect()
    }
}

fn subject(news: &News) -> (bool, &CompactString) {
    match news {
        News::Node(claim) => (true, &claim.name),
        News::Runner(hint) => (false, &hint.runner),
    }
}

//! Requests of one service that wait at this node.

use {
    crate::member::message::QueueReport,
    compact_str::CompactString,
    rustc_hash::FxHashMap,
    std::{
        cmp::{Ordering, Reverse},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Age at which the report of a peer expires; peers with waiting requests repeat theirs every 300 ms. No
/// request starts in the place of one that waited at a node which has ended.
pub const REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Position of its priority among those of the service; 0 is the highest.
    pub level: u8,
    /// Hash of the account.
    pub account: u64,
    /// Whether it has been sent to a runner before.
    pub resumed: bool,
    /// Time at which the request arrived.
    pub since: Instant,
}

/// Queue of a service at one node.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<Item>,
    last_ticket: u64,
    /// Number of running requests of this node by account.
    running: FxHashMap<u64, u32>,
    peers: FxHashMap<CompactString, PeerQueue>,
}

/// A request in the queue.
#[derive(Clone, Debug)]
struct Item {
    ticket: Ticket,
    waiting: Waiting,
    /// Number of starts of higher levels while it waits, since the promotion of an older request.
    passed: u32,
}

/// Sort key of a request: the promoted one first, then by level, resumed ones first, the account with the
/// fewest running requests first, then by arrival.
type Order = (Reverse<bool>, u8, Reverse<bool>, u32, Instant, Ticket);

/// A request of a lower level that is treated as one of the highest level.
#[derive(Clone, Copy, Debug)]
struct Promoted {
    ticket: Ticket,
    /// Highest level with waiting requests at this node.
    level: u8,
}

/// Latest report of a peer.
#[derive(Clone, Debug)]
struct PeerQueue {
    at: Instant,
    levels: Vec<PeerLevel>,
}

/// Requests of one level that wait at a peer.
#[derive(Clone, Copy, Debug)]
struct PeerLevel {
    level: u8,
    count: u32,
    /// Arrival of the oldest one.
    oldest: Instant,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.waiting.push(Item { ticket, waiting, passed: 0 });
        ticket
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let index = self.waiting.iter().position(|item| item.ticket == ticket)?;
        Some(self.waiting.swap_remove(index).waiting)
    }

    /// Removes a request that starts. `share` is the number of starts of higher levels after which one
    /// of a lower level starts; see [`Queue::is_promoted`].
    pub fn start(&mut self, ticket: Ticket, share: u32) -> Option<Waiting> {
        let is_promoted = self.is_promoted(ticket, share);
        let started = self.remove(ticket)?;
        for item in &mut self.waiting {
            match is_promoted {
                true if item.age_order() > (started.since, ticket) => item.passed = 0,
                false if item.waiting.level > started.level => item.passed += 1,
                _ => {}
            }
        }
        Some(started)
    }

    /// Counts a running request of an account.
    pub fn add_running(&mut self, account: u64) {
        *self.running.entry(account).or_default() += 1;
    }

    /// Counts the end of a running request of an account.
    pub fn remove_running(&mut self, account: u64) {
        if let Some(count) = self.running.get_mut(&account) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&account);
            }
        }
    }

    /// Returns whether a request starts next, as one of the highest level: it is the oldest one of the
    /// lower levels, and `share` requests of higher levels have started since it waits and since the last
    /// promotion of an older one. Lower levels thus do not starve.
    pub fn is_promoted(&self, ticket: Ticket, share: u32) -> bool {
        self.promoted(share).is_some_and(|promoted| promoted.ticket == ticket)
    }

    /// Returns the request that starts next at this node.
    pub fn head(&self, share: u32) -> Option<Ticket> {
        let promoted = self.promoted(share);
        let first = self.waiting.iter().min_by_key(|item| self.order(item, promoted));
        first.map(|item| item.ticket)
    }

    /// Returns the number of requests that start before this one, at this node and at its peers. Those of
    /// a peer's level are assumed to have arrived evenly since the oldest one.
    pub fn ahead(&self, ticket: Ticket, share: u32, now: Instant) -> u32 {
        let ahead = self.ahead_in_order(ticket, share, now);
        ahead.min(self.ahead_by_share(ticket, share, now))
    }

    /// The same without the share of lower levels.
    pub fn ahead_in_order(&self, ticket: Ticket, share: u32, now: Instant) -> u32 {
        self.count_ahead(ticket, share, now, |level, since| level.older(since, now))
    }

    /// Returns the number of requests after which this one is promoted, if all nodes with waiting requests
    /// start equally many.
    fn ahead_by_share(&self, ticket: Ticket, share: u32, now: Instant) -> u32 {
        let highest = self.waiting.iter().map(|item| item.waiting.level).min();
        let mut lower = self.waiting.iter().filter(|item| Some(item.waiting.level) > highest);
        let Some(own) = lower.clone().find(|item| item.ticket == ticket) else { return u32::MAX };
        let older = lower.by_ref().filter(|item| item.age_order() < own.age_order()).count();
        let nodes = 1 + self.peers.values().filter(|peer| now < peer.at + REPORT_TTL).count();
        let turns = u32::try_from(older * nodes + nodes).unwrap_or(u32::MAX);
        turns.saturating_mul(share.saturating_add(1)).saturating_sub(1)
    }

    /// Returns the number of places that others may claim before this request. All requests of a peer's
    /// level count if its oldest one is older: nodes with the same reports claim no place twice.
    pub fn claimed(&self, ticket: Ticket, share: u32, now: Instant) -> u32 {
        let older = |level: &PeerLevel, since| if level.oldest < since { level.count } else { 0 };
        self.count_ahead(ticket, share, now, older)
    }

    /// Returns the number of requests ahead of this one; `older` counts those of a peer's level that are
    /// ahead of one of the same level which arrived at a time.
    fn count_ahead(
        &self,
        ticket: Ticket,
        share: u32,
        now: Instant,
        older: impl Fn(&PeerLevel, Instant) -> u32,
    ) -> u32 {
        let Some(item) = self.waiting.iter().find(|item| item.ticket == ticket) else { return 0 };
        let promoted = self.promoted(share);
        let own_order = self.order(item, promoted);
        let local = self.waiting.iter().filter(|i| self.order(i, promoted) < own_order).count();
        let level = item.level(promoted);
        let since = self.global_since(level, &own_order, promoted);
        let peers = self.peers.values().filter(|peer| now < peer.at + REPORT_TTL);
        let remote = peers.flat_map(|peer| &peer.levels).map(|peer| match peer.level.cmp(&level) {
            Ordering::Less => peer.count,
            Ordering::Equal => older(peer, since),
            Ordering::Greater => 0,
        });
        remote.fold(u32::try_from(local).unwrap_or(u32::MAX), u32::saturating_add)
    }

    /// Returns the numbers of waiting requests and the age of the oldest one by level.
    pub fn levels(&self, now: Instant) -> Vec<(u8, u32, Duration)> {
        let mut levels: Vec<(u8, u32, Duration)> = Vec::new();
        for Item { waiting, .. } in &self.waiting {
            let age = now.saturating_duration_since(waiting.since);
            match levels.iter_mut().find(|(level, ..)| *level == waiting.level) {
                Some((_, count, oldest)) => (*count, *oldest) = (*count + 1, age.max(*oldest)),
                None => levels.push((waiting.level, 1, age)),
            }
        }
        levels.sort_unstable();
        levels
    }

    /// Applies the report of a peer on this service, which replaces its earlier one.
    pub fn apply(&mut self, from: &CompactString, reports: &[&QueueReport], now: Instant) {
        self.peers.retain(|_, peer| now < peer.at + REPORT_TTL);
        let levels: Vec<PeerLevel> = reports.iter().map(|r| PeerLevel::of(r, now)).collect();
        match levels.is_empty() {
            true => _ = self.peers.remove(from),
            false => _ = self.peers.insert(from.clone(), PeerQueue { at: now, levels }),
        }
    }

    /// Returns whether no request waits at this node.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the request that is promoted; see [`Queue::is_promoted`].
    fn promoted(&self, share: u32) -> Option<Promoted> {
        let highest = self.waiting.iter().map(|item| item.waiting.level).min()?;
        let lower = self.waiting.iter().filter(|item| item.waiting.level > highest);
        let oldest = lower.min_by_key(|item| item.age_order())?;
        (oldest.passed >= share).then_some(Promoted { ticket: oldest.ticket, level: highest })
    }

    /// Returns the arrival time by which the request with this order is compared with those of peers: the
    /// earliest of its level for the first one here, and so on. Peers know the levels and times of arrival
    /// only; if they compared others than this node, nodes might wait for each other.
    fn global_since(&self, level: u8, order: &Order, promoted: Option<Promoted>) -> Instant {
        let reported = self.waiting.iter().filter(|item| item.waiting.level == level);
        let mut since: Vec<Instant> = reported.map(|item| item.waiting.since).collect();
        let same = self.waiting.iter().filter(|item| item.level(promoted) == level);
        let before = same.filter(|item| self.order(item, promoted) < *order).count();
        let last = since.len() - 1;
        *since.select_nth_unstable(before.min(last)).1
    }

    fn order(&self, item: &Item, promoted: Option<Promoted>) -> Order {
        let &Item { ticket, waiting: Waiting { account, resumed, since, .. }, .. } = item;
        let running = self.running.get(&account).copied().unwrap_or_default();
        let is_promoted = promoted.is_some_and(|promoted| promoted.ticket == ticket);
        let level = item.level(promoted);
        (Reverse(is_promoted), level, Reverse(resumed), running, since, ticket)
    }
}

impl Item {
    /// Returns the level, in view of promotions.
    fn level(&self, promoted: Option<Promoted>) -> u8 {
        let promoted = promoted.filter(|promoted| promoted.ticket == self.ticket);
        promoted.map_or(self.waiting.level, |promoted| promoted.level)
    }

    fn age_order(&self) -> (Instant, Ticket) {
        (self.waiting.since, self.ticket)
    }
}

impl PeerLevel {
    fn of(report: &QueueReport, now: Instant) -> PeerLevel {
        let age = Duration::from_millis(report.oldest_ms.into());
        PeerLevel {
            level: report.level,
            count: report.waiting,
            oldest: now.checked_sub(age).unwrap_or(now),
        }
    }

    /// Returns how many of these requests arrived before `since`.
    fn older(&self, since: Instant, now: Instant) -> u32 {
        let age = now.saturating_duration_since(self.oldest).as_secs_f64();
        let other_age = now.saturating_duration_since(since).as_secs_f64();
        if age <= other_age {
            return 0;
        }
        (f64::from(self.count) * (1.0 - other_age / age)).ceil() as u32
    }
}

//! Periodic work: heartbeats, timeouts, probes and anti-entropy.

use {
    super::{
        MESH_INTERVAL, Members, Output, REFUTE_TIMEOUT, RING_INTERVAL, SILENCE_TIMEOUT, Target,
        message::{Heartbeat, NodeState, PeerMessage, Update},
        record::{NodeEvent, Overdue, Record},
        ring::{MAX_MESH, Neighbour, Ring},
    },
    compact_str::CompactString,
    rand::{Rng, seq::IteratorRandom},
    std::time::Duration,
    tokio::time::Instant,
};

/// Gap between ticks that indicates a suspended process.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Minimum heartbeat interval.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of probes of dead nodes, which allow partitions to heal.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Anti-entropy interval.
const MAX_SYNC_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum usage entries per heartbeat in a full mesh.
const MESH_USAGE_LINES: usize = 64;
/// Maximum usage entries per heartbeat on rings.
const RING_USAGE_LINES: usize = 4;
/// Number of initial heartbeats that include the location; after them, every n-th one does.
const LOCATION_EVERY: u64 = 8;

impl Members {
    /// Performs due work; called at least every [`crate::core::TICK`].
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.discount_pause(now);
        if now >= self.sweep_at {
            self.sweep(now, out);
        }
        self.repeat_pull(now, out);
        if now < self.heartbeat_at {
            return;
        }
        self.end_unheard(now, out);
        if std::mem::take(&mut self.ring_is_stale) {
            self.rebuild_ring(now);
        }
        let mut to = self.targets();
        to.extend(self.probe(now, out));
        let message = PeerMessage::Heartbeat(self.heartbeat());
        out.push(Output::Send { to, message });
        self.ping_silent(now, out);
        self.synchronize(now, out);
        self.last_sent = now;
        self.heartbeat_at = now + self.interval().mul_f64(self.rng.random_range(0.9..1.1));
    }

    /// Discounts the time for which this process was suspended, which would otherwise look like
    /// silence of all nodes.
    fn discount_pause(&mut self, now: Instant) {
        if now > self.last_tick + PAUSE_THRESHOLD {
            self.records.values_mut().for_each(|r| r.restart_timeout(now));
        }
        self.last_tick = now;
    }

    /// Handles expired timeouts and computes the next one.
    fn sweep(&mut self, now: Instant, out: &mut Vec<Output>) {
        let overdue = |(name, record): (&CompactString, &Record)| {
            let (at, overdue) = record.deadline()?;
            (now >= at).then(|| (name.clone(), overdue))
        };
        let due: Vec<(CompactString, Overdue)> = self.records.iter().filter_map(overdue).collect();
        for (name, overdue) in due {
            match overdue {
                Overdue::Suspect => self.suspect(now, &name, out),
                Overdue::Publish => self.gossip_suspicion(&name),
                Overdue::Gone => self.apply_event(now, &name, NodeEvent::Ended, out),
                Overdue::Forget => {
                    self.apply_event(now, &name, NodeEvent::Unlisted, out);
                    self.records.remove(&name);
                }
            }
        }
        let deadlines = self.records.values().filter_map(Record::deadline).map(|(at, _)| at);
        self.sweep_at = deadlines.fold(now + SILENCE_TIMEOUT, Instant::min);
    }

    /// Considers registered nodes dead of which nothing was heard, if they are so many that most
    /// heartbeats go to them. They are asked for a heartbeat, since they may just have other targets.
    fn end_unheard(&mut self, now: Instant, out: &mut Vec<Output>) {
        let unheard = self.records.iter().filter(|(_, record)| record.is_unheard(now));
        let unheard: Vec<CompactString> = unheard.map(|(name, _)| name.clone()).collect();
        if unheard.is_empty() || 2 * unheard.len() < self.topology_size() {
            return;
        }
        let to = unheard.iter().take(MAX_MESH).filter_map(|name| self.target(name)).collect();
        let message = PeerMessage::Claims(vec![self.own_claim()]);
        out.push(Output::Send { to, message });
        unheard.iter().for_each(|name| self.apply_event(now, name, NodeEvent::Ended, out));
    }

    /// Marks a node as suspect and notifies its other watchers. The link may have failed in one
    /// direction only, so the suspicion is gossiped only after the watchers had time to refute it.
    pub(super) fn suspect(&mut self, now: Instant, name: &CompactString, out: &mut Vec<Output>) {
        self.apply_event(now, name, NodeEvent::Silent, out);
        let to = self.watchers(name);
        let Some(record) = self.records.get_mut(name) else { return };
        record.awaits_refutation = true;
        self.sweep_at = self.sweep_at.min(now + REFUTE_TIMEOUT);
        let message = PeerMessage::Claims(vec![record.claim(name, false)]);
        out.push(Output::Send { to, message });
    }

    fn gossip_suspicion(&mut self, name: &CompactString) {
        if let Some(record) = self.records.get_mut(name) {
            record.awaits_refutation = false;
            self.updates.push(Update::Node(record.claim(name, false)));
        }
    }

    /// Applies an event to a node's record and reports a change of its state.
    fn apply_event(
        &mut self,
        now: Instant,
        name: &CompactString,
        event: NodeEvent,
        out: &mut Vec<Output>,
    ) {
        let Some(record) = self.records.get_mut(name) else { return };
        let (from, was_in_topology) = (record.state, record.is_in_topology());
        if record.apply(now, event) {
            out.push(Output::Changed { name: name.clone(), from, to: record.state });
        }
        self.ring_is_stale |= was_in_topology != record.is_in_topology();
    }

    /// Returns the nodes that should receive heartbeats of `name`.
    fn watchers(&self, name: &CompactString) -> Vec<Target> {
        let Some(location) = self.records.get(name).and_then(|r| r.location.as_ref()) else {
            return Vec::new();
        };
        let me = Neighbour { name: &self.me.name, domain: &self.me.location.domain };
        let others: Vec<Neighbour<'_>> =
            self.neighbours().chain([me]).filter(|n| n.name != name).collect();
        let ring = Ring::new(name, &location.domain, &others);
        ring.targets.iter().filter_map(|n| self.target(n)).collect()
    }

    fn neighbours(&self) -> impl Iterator<Item = Neighbour<'_>> {
        self.records.iter().filter(|(_, r)| r.is_in_topology()).filter_map(|(name, record)| {
            Some(Neighbour { name, domain: &record.location.as_ref()?.domain })
        })
    }

    fn rebuild_ring(&mut self, now: Instant) {
        let others: Vec<Neighbour<'_>> = self.neighbours().collect();
        let ring = Ring::new(&self.me.name, &self.me.location.domain, &others);
        for (name, record) in &mut self.records {
            let watched = ring.watched.contains(name);
            record.watched_since = watched.then(|| record.watched_since.unwrap_or(now));
        }
        self.ring = ring;
        self.sweep_at = self.sweep_at.min(now + SILENCE_TIMEOUT);
    }

    /// Probes a random dead node with a claim, and returns it as an additional heartbeat target.
    /// The two sides of a healed partition would otherwise continue to consider each other dead.
    fn probe(&mut self, now: Instant, out: &mut Vec<Output>) -> Option<Target> {
        if now < self.probe_at {
            return None;
        }
        self.probe_at = now + PROBE_INTERVAL;
        let gone = self.records.iter().filter(|(_, r)| r.state == NodeState::Gone);
        let (name, record) = gone.choose(&mut self.rng)?;
        let message = PeerMessage::Claims(vec![record.claim(name, false)]);
        self.send(name, message, out);
        self.target(name)
    }

    /// Requests a heartbeat of each watched node that has been silent for a while.
    fn ping_silent(&mut self, now: Instant, out: &mut Vec<Output>) {
        let silent = self.records.iter().filter(|(_, record)| record.is_silent(now));
        let to: Vec<Target> = silent.filter_map(|(name, _)| self.target(name)).collect();
        if !to.is_empty() {
            out.push(Output::Send { to, message: PeerMessage::Claims(vec![self.own_claim()]) });
        }
    }

    /// Requests another node's membership table, if due.
    fn synchronize(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.sync_at {
            return;
        }
        // Jitter spreads the exchanges of nodes that were started together.
        self.sync_at = now + self.sync_interval.mul_f64(self.rng.random_range(0.75..1.25));
        self.sync_interval = (self.sync_interval * 2).min(MAX_SYNC_INTERVAL);
        if let Some(name) = self.ring.targets.iter().choose(&mut self.rng).cloned() {
            self.send(&name, PeerMessage::MembersPull, out);
        }
    }

    /// Schedules the next heartbeat early.
    pub(super) fn schedule_early_heartbeat(&mut self, now: Instant) {
        self.heartbeat_at = self.heartbeat_at.min(now.max(self.last_sent + MIN_INTERVAL));
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.beat += 1;
        let with_location = self.beat <= LOCATION_EVERY || self.beat.is_multiple_of(LOCATION_EVERY);
        let lines = if self.is_mesh() { MESH_USAGE_LINES } else { RING_USAGE_LINES };
        Heartbeat {
            moment: self.moment(),
            state: self.state,
            location: with_location.then(|| self.me.location.clone()),
            revision: self.revision,
            usage: self.usage.iter().take(lines).cloned().collect(),
            updates: self.updates.next(self.ring.targets.len()),
        }
    }

    /// Returns a heartbeat without gossip, which answers a request.
    pub(super) fn heartbeat_reply(&self) -> Heartbeat {
        Heartbeat {
            moment: self.moment(),
            state: self.state,
            location: Some(self.me.location.clone()),
            revision: self.revision,
            usage: Vec::new(),
            updates: Vec::new(),
        }
    }

    fn is_mesh(&self) -> bool {
        self.ring.targets.len() < MAX_MESH && self.ring.targets.len() + 1 >= self.topology_size()
    }

    fn interval(&self) -> Duration {
        if self.is_mesh() { MESH_INTERVAL } else { RING_INTERVAL }
    }
}

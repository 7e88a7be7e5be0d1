//! Periodic work: heartbeats, timeouts, probes and anti-entropy.

use {
    super::{
        ANSWER, MESH_INTERVAL, Members, Output, RING_INTERVAL, SILENCE, Target,
        message::{Heartbeat, NodeState, PeerMessage, Update},
        record::{NodeEvent, Overdue, Record},
        ring::{MESH, Neighbour, Ring},
    },
    compact_str::CompactString,
    rand::{Rng, seq::IteratorRandom},
    std::time::Duration,
    tokio::time::Instant,
};

/// Gap between ticks that indicates a suspended process.
const PAUSE: Duration = Duration::from_millis(500);
/// Minimum heartbeat interval.
const LEAST_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of probes to dead nodes, which heal partitions.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Anti-entropy interval.
const SYNC_INTERVAL: Duration = Duration::from_secs(60);
/// Usage lines per heartbeat in a full mesh.
const MESH_USAGE: usize = 64;
/// Usage lines per heartbeat on rings.
const RING_USAGE: usize = 4;
/// Addresses are in the first heartbeats and in every n-th one after that.
const PLACE_EVERY: u64 = 8;

impl Members {
    /// Performs due work; called at least every [`crate::core::TICK`].
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.forgive_pause(now);
        if now >= self.sweep {
            self.sweep(now, out);
        }
        if now < self.due {
            return;
        }
        if std::mem::take(&mut self.stale_ring) {
            self.renew_ring(now);
        }
        let mut to = self.targets();
        to.extend(self.probe(now, out));
        let message = PeerMessage::Heartbeat(self.heartbeat());
        out.push(Output::Send { to, message });
        self.synchronize(now, out);
        self.beaten = now;
        self.due = now + self.interval().mul_f64(self.rng.random_range(0.9..1.1));
    }

    /// Discounts the time for which this process was suspended, which would otherwise look like
    /// silence of all nodes.
    fn forgive_pause(&mut self, now: Instant) {
        if now > self.last + PAUSE {
            self.records.values_mut().for_each(|r| r.forgive(now));
        }
        self.last = now;
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
                Overdue::Publish => self.publish(&name),
                Overdue::Gone => self.follow(now, &name, NodeEvent::Ended, out),
                Overdue::Forget => {
                    self.follow(now, &name, NodeEvent::Unlisted, out);
                    self.records.remove(&name);
                }
            }
        }
        let deadlines = self.records.values().filter_map(Record::deadline).map(|(at, _)| at);
        self.sweep = deadlines.fold(now + SILENCE, Instant::min);
    }

    /// Suspects a node and asks its other watchers. The link may be broken in one direction only,
    /// so the suspicion is gossiped after they had time to refute it.
    pub(super) fn suspect(&mut self, now: Instant, name: &CompactString, out: &mut Vec<Output>) {
        self.follow(now, name, NodeEvent::Silent, out);
        let to = self.watchers(name);
        let Some(record) = self.records.get_mut(name) else { return };
        record.asked = true;
        self.sweep = self.sweep.min(now + ANSWER);
        let message = PeerMessage::Claims(vec![record.claim(name, false)]);
        out.push(Output::Send { to, message });
    }

    fn publish(&mut self, name: &CompactString) {
        if let Some(record) = self.records.get_mut(name) {
            record.asked = false;
            self.updates.push(Update::Node(record.claim(name, false)));
        }
    }

    fn follow(
        &mut self,
        now: Instant,
        name: &CompactString,
        event: NodeEvent,
        out: &mut Vec<Output>,
    ) {
        let Some(record) = self.records.get_mut(name) else { return };
        let (from, counted) = (record.state, record.counts());
        if record.take(now, event) {
            out.push(Output::Changed { name: name.clone(), from, to: record.state });
        }
        self.stale_ring |= counted != record.counts();
    }

    /// Nodes that should receive heartbeats of `name`.
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
        self.records.iter().filter(|(_, r)| r.counts()).filter_map(|(name, record)| {
            Some(Neighbour { name, domain: &record.location.as_ref()?.domain })
        })
    }

    fn renew_ring(&mut self, now: Instant) {
        let others: Vec<Neighbour<'_>> = self.neighbours().collect();
        let ring = Ring::new(&self.me.name, &self.me.location.domain, &others);
        for (name, record) in &mut self.records {
            let watched = ring.watched.contains(name);
            record.watched = watched.then(|| record.watched.unwrap_or(now));
        }
        self.ring = ring;
        self.sweep = self.sweep.min(now + SILENCE);
    }

    /// Probes a dead node with a heartbeat and a claim; both sides of a healed partition would
    /// otherwise consider each other dead.
    fn probe(&mut self, now: Instant, out: &mut Vec<Output>) -> Option<Target> {
        if now < self.probe {
            return None;
        }
        self.probe = now + PROBE_INTERVAL;
        let gone = self.records.iter().filter(|(_, r)| r.state == NodeState::Gone);
        let (name, record) = gone.choose(&mut self.rng)?;
        let message = PeerMessage::Claims(vec![record.claim(name, false)]);
        self.send(name, message, out);
        self.target(name)
    }

    fn synchronize(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.sync {
            return;
        }
        // Jitter, so that nodes started together spread out.
        self.sync = now + self.pace.mul_f64(self.rng.random_range(0.75..1.25));
        self.pace = (self.pace * 2).min(SYNC_INTERVAL);
        if let Some(name) = self.ring.targets.iter().choose(&mut self.rng).cloned() {
            self.send(&name, PeerMessage::MembersPull, out);
        }
    }

    /// Schedules the next heartbeat early.
    pub(super) fn hurry(&mut self, now: Instant) {
        self.due = self.due.min(now.max(self.beaten + LEAST_INTERVAL));
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.beat += 1;
        let placed = self.beat <= PLACE_EVERY || self.beat.is_multiple_of(PLACE_EVERY);
        let lines = if self.mesh() { MESH_USAGE } else { RING_USAGE };
        Heartbeat {
            moment: self.moment(),
            state: self.state,
            location: placed.then(|| self.me.location.clone()),
            revision: self.revision,
            usage: self.usage.iter().take(lines).cloned().collect(),
            updates: self.updates.next(self.ring.targets.len()),
        }
    }

    fn mesh(&self) -> bool {
        self.ring.targets.len() < MESH && self.ring.targets.len() + 1 >= self.counting()
    }

    fn interval(&self) -> Duration {
        if self.mesh() { MESH_INTERVAL } else { RING_INTERVAL }
    }
}

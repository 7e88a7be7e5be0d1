//! Membership and failure detection.
//!
//! Inputs are the platform's lagging instance list, heartbeats, connection errors, leave messages
//! and gossip. Direct heartbeats take precedence over the list. The state of each node follows
//! `charts/node.json`; see `docs/design/membership.md`.

pub mod drain;
pub mod message;
mod merge;
mod updates;
mod record;
mod ring;
mod rounds;
mod table;

pub use self::{
    drain::{Drain, DrainState},
    message::PeerMessage,
    table::{Address, Node, PeerUsage},
};

use {
    self::{
        merge::Gossip,
        message::{
            Claim, Heartbeat, Hint, Moment, NodeIncarnation, NodeLocation, NodeState, Update, Usage,
        },
        record::Record,
        ring::Ring,
        updates::UpdateQueue,
    },
    crate::id::Revision,
    bilberryfront_wire::instance::{InstanceKind, InstanceList, InstanceState},
    compact_str::CompactString,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Heartbeat interval in a full mesh.
pub const MESH_INTERVAL: Duration = Duration::from_millis(400);
/// Heartbeat interval on rings.
pub const RING_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a watched node becomes suspect.
pub const SILENCE: Duration = Duration::from_secs(2);
/// Time after which a suspect that is not refuted is removed from address responses.
pub const CONFIRM: Duration = Duration::from_millis(1_000);
/// Time for which a suspicion is checked with others before it is gossiped.
pub const ANSWER: Duration = Duration::from_millis(300);
/// Retention of unlisted dead nodes, so that stale gossip cannot revive them.
pub const TOMBSTONE: Duration = Duration::from_secs(600);
/// Maximum number of known nodes.
pub const MAX_MEMBERS: usize = 2_048;

/// Timeout of a catalogue pull.
const PULL_RETRY: Duration = Duration::from_secs(1);
/// Initial interval of anti-entropy; doubles up to the regular interval while little is learned.
const SYNC_HURRY: Duration = Duration::from_secs(5);
/// Changes per exchange that reset the interval.
const SYNC_MUCH: usize = 4;

/// Identity of this node.
#[derive(Clone, Debug)]
pub struct Me {
    /// Name, as in the instance list and the certificate.
    pub name: CompactString,
    /// Incarnation: start time in milliseconds and a random number.
    pub life: NodeIncarnation,
    /// Addresses.
    pub location: NodeLocation,
}

/// A message target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Node name; must match its certificate.
    pub name: CompactString,
    /// Peer address, `IP:PORT`.
    pub address: CompactString,
}

/// A side effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Targets.
        to: Vec<Target>,
        /// Message.
        message: PeerMessage,
    },
    /// Send the current catalogue as [`PeerMessage::CatalogPush`].
    PushCatalog(Target),
    /// A node's state changed.
    Changed {
        /// Node.
        name: CompactString,
        /// Old state.
        from: NodeState,
        /// New state.
        to: NodeState,
    },
    /// A peer's hint about a runner.
    Hint(Hint),
}

/// Membership state.
#[derive(Clone, Debug)]
pub struct Members {
    me: Me,
    state: NodeState,
    beat: u64,
    revision: Revision,
    usage: Vec<Usage>,
    records: BTreeMap<CompactString, Record>,
    ring: Ring,
    stale_ring: bool,
    updates: UpdateQueue,
    list: u64,
    last: Instant,
    sweep: Instant,
    due: Instant,
    probe: Instant,
    sync: Instant,
    pace: Duration,
    beaten: Instant,
    pull: Option<(Revision, Instant)>,
    rng: SmallRng,
}

impl Members {
    /// A new node without members; equal seeds behave equally.
    pub fn new(seed: u64, now: Instant, me: Me) -> Members {
        let mut rng = SmallRng::seed_from_u64(seed);
        let due = now + RING_INTERVAL.mul_f64(rng.random());
        Members {
            me,
            state: NodeState::Starting,
            beat: 0,
            revision: 0,
            usage: Vec::new(),
            records: BTreeMap::new(),
            ring: Ring::default(),
            stale_ring: false,
            updates: UpdateQueue::default(),
            list: 0,
            last: now,
            sweep: now,
            due,
            probe: now,
            sync: now,
            pace: SYNC_HURRY,
            beaten: now,
            pull: None,
            rng,
        }
    }

    /// Handles a message from an authenticated node. [`PeerMessage::CatalogPush`] is handled by the
    /// catalogue's owner, who then calls [`Members::set_revision`].
    pub fn receive(
        &mut self,
        now: Instant,
        from: &str,
        message: &PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat, out),
            PeerMessage::Revision(revision) => self.newer(now, from, *revision, out),
            PeerMessage::CatalogPull(after) if self.revision > *after => {
                out.extend(self.target(from).map(Output::PushCatalog));
            }
            PeerMessage::CatalogPull(_)
            | PeerMessage::CatalogPush(_)
            | PeerMessage::Move(_)
            | PeerMessage::Load(_)
            | PeerMessage::RelayedLoad(_)
            | PeerMessage::Table(_)
            | PeerMessage::TablePull(_)
            | PeerMessage::StoreReport(_) => {}
            PeerMessage::MembersPull => {
                let table = self.claims();
                self.send(from, PeerMessage::MembersPush(table), out);
            }
            PeerMessage::MembersPush(claims) => {
                let before = out.len();
                claims.iter().for_each(|c| _ = self.merge(now, c, Gossip::No, out));
                if out.len() - before >= SYNC_MUCH {
                    self.pace = SYNC_HURRY;
                    self.sync = self.sync.min(now + SYNC_HURRY);
                }
            }
            PeerMessage::Claims(claims) => self.check(now, from, claims, out),
            PeerMessage::Leave(moment) => {
                let (moment, state) = (*moment, NodeState::Gone);
                let claim = Claim { name: from.into(), moment, state, location: None };
                self.merge(now, &claim, Gossip::Yes, out);
            }
        }
    }

    /// Handles a heartbeat received directly from its node.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        from: &str,
        heartbeat: &Heartbeat,
        out: &mut Vec<Output>,
    ) {
        if from == self.me.name {
            return;
        }
        let name = CompactString::from(from);
        let Some(record) = self.record(now, &name) else { return };
        if heartbeat.moment.life < record.moment.life {
            // An older incarnation, or a restart with a clock that was set back: the reply makes
            // the node raise its epoch, otherwise it would be ignored for good.
            let claim = record.claim(&name, false);
            self.send(from, PeerMessage::Claims(vec![claim]), out);
            return;
        }
        record.last_heartbeat = Some(now);
        record.usage.clone_from(&heartbeat.usage);
        record.revision = heartbeat.revision;
        let lost = matches!(record.state, NodeState::Unknown | NodeState::Gone);
        let (moment, state, location) =
            (heartbeat.moment, heartbeat.state, heartbeat.location.clone());
        self.merge(now, &Claim { name, moment, state, location }, Gossip::Yes, out);
        if lost && now >= self.sync {
            self.sync = now + SYNC_HURRY;
            self.send(from, PeerMessage::MembersPull, out);
        }
        self.newer(now, from, heartbeat.revision, out);
        let claims = heartbeat.updates.iter().filter_map(|updates| match updates {
            Update::Node(claim) => Some(claim),
            Update::Runner(_) => None,
        });
        self.check(now, from, claims, out);
        for updates in &heartbeat.updates {
            if let Update::Runner(hint) = updates
                && self.updates.hint(now, hint)
            {
                out.push(Output::Hint(hint.clone()));
            }
        }
    }

    /// Applies the platform's list unless it is outdated. Unlisted nodes with heartbeats are kept;
    /// listed nodes without heartbeats are not in address responses.
    pub fn apply_list(&mut self, now: Instant, list: &InstanceList) {
        if list.revision < self.list {
            return;
        }
        self.list = list.revision;
        self.stale_ring = true;
        self.records.values_mut().for_each(|r| r.listed = false);
        for node in list.instances.iter().filter(|i| i.kind == InstanceKind::Node) {
            let Some(peer) = node.peer.clone() else { continue };
            let Some(record) = self.record(now, &node.name) else { continue };
            record.listed = true;
            record.leaving = node.state == InstanceState::Leaving;
            let location =
                NodeLocation { domain: node.domain.clone(), url: node.url.clone(), peer };
            if record.location.is_none() || record.state == NodeState::Unknown {
                record.location = Some(location);
            }
        }
        self.records.retain(|_, r| r.listed || r.state != NodeState::Unknown);
    }

    /// Handles a failed connection to a node.
    pub fn connection_failed(&mut self, now: Instant, name: &str, out: &mut Vec<Output>) {
        let Some((name, record)) = self.records.get_key_value(name) else { return };
        if record.running() {
            self.suspect(now, &name.clone(), out);
        }
    }

    /// Marks this node as ready.
    pub fn ready(&mut self) {
        if self.state == NodeState::Starting {
            self.state = NodeState::Ready;
        }
    }

    /// Marks this node as draining and announces it.
    pub fn drain(&mut self, now: Instant) {
        self.state = NodeState::Draining;
        self.hurry(now);
    }

    /// Announces the exit of this process.
    pub fn send_leave(&mut self, out: &mut Vec<Output>) {
        self.beat += 1;
        let message = PeerMessage::Leave(self.moment());
        out.push(Output::Send { to: self.targets(), message });
    }

    /// Sets the current catalogue revision and announces it.
    pub fn set_revision(&mut self, revision: Revision, out: &mut Vec<Output>) {
        if revision > self.revision {
            self.revision = revision;
            let message = PeerMessage::Revision(revision);
            out.push(Output::Send { to: self.targets(), message });
        }
    }

    /// Sets this node's usage of limits.
    pub fn set_usage(&mut self, mut usage: Vec<Usage>) {
        usage.sort_by_key(|u| std::cmp::Reverse(u.running));
        self.usage = usage;
    }

    /// Gossips a hint about a runner.
    pub fn hint(&mut self, now: Instant, hint: &Hint) {
        self.updates.hint(now, hint);
    }

    fn newer(&mut self, now: Instant, from: &str, revision: Revision, out: &mut Vec<Output>) {
        let asked = self.pull.is_some_and(|(r, at)| r >= revision && now < at + PULL_RETRY);
        if revision > self.revision && !asked {
            self.pull = Some((revision, now));
            self.send(from, PeerMessage::CatalogPull(self.revision), out);
        }
    }

    fn send(&self, to: &str, message: PeerMessage, out: &mut Vec<Output>) {
        if let Some(target) = self.target(to) {
            out.push(Output::Send { to: vec![target], message });
        }
    }

    /// Address of a node.
    pub fn target(&self, name: &str) -> Option<Target> {
        let location = self.records.get(name)?.location.as_ref()?;
        Some(Target { name: name.into(), address: location.peer.clone() })
    }

    /// Heartbeat targets of this node; all others in a full mesh.
    pub fn targets(&self) -> Vec<Target> {
        self.ring.targets.iter().filter_map(|n| self.target(n)).collect()
    }

    fn moment(&self) -> Moment {
        Moment { life: self.me.life, beat: self.beat }
    }

    fn record(&mut self, now: Instant, name: &CompactString) -> Option<&mut Record> {
        if !self.records.contains_key(name) {
            if self.records.len() >= MAX_MEMBERS || *name == self.me.name {
                return None;
            }
            self.records.insert(name.clone(), Record::new(now));
        }
        self.records.get_mut(name)
    }
}

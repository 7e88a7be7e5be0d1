//! Membership and failure detection.
//!
//! Inputs are the platform's instance list, which lags behind, heartbeats, connection errors, leave
//! messages and gossip. Direct heartbeats take precedence over the list. The state of each node
//! follows `charts/node.json`; see `docs/design/membership.md`.

pub mod drain;
mod merge;
pub mod message;
mod pull;
mod record;
mod ring;
mod rounds;
mod table;
mod updates;

pub use self::{
    drain::{Drain, DrainState},
    message::PeerMessage,
    table::{Address, Node, PeerUsage},
    updates::MAX_UPDATES,
};

use {
    self::{
        merge::Gossip,
        message::{
            Claim, Heartbeat, Hint, Moment, NodeIncarnation, NodeLocation, NodeState, Update, Usage,
        },
        pull::Pull,
        record::Record,
        ring::Ring,
        updates::UpdateQueue,
    },
    crate::id::{CatalogRevision, StoreRevision},
    bilberryfront_wire::instance::{Instance, InstanceKind, InstanceList, InstanceState},
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
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence after which a watched node is asked for a heartbeat. Its view of the rings may differ, so
/// that it sends its heartbeats to other nodes.
pub const PING_DELAY: Duration = Duration::from_millis(900);
/// Time after which a suspect is removed from address responses, unless the suspicion is refuted.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which a registered node of which nothing was heard may be considered dead.
pub const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which other nodes may refute a suspicion before it is gossiped.
pub const REFUTE_TIMEOUT: Duration = Duration::from_millis(300);
/// Retention of unlisted dead nodes, so that stale gossip cannot revive them.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of known nodes.
pub const MAX_MEMBERS: usize = 2_048;

/// First interval of anti-entropy after the start, when nodes that start at the same time do not get
/// each other's gossip yet; doubles up to the regular interval.
const FIRST_SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of anti-entropy after an exchange that brought many changes; doubles up to the regular
/// interval.
const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Changes per exchange that reset the interval.
const SYNC_MIN_CHANGES: usize = 4;

/// Identity of the local node.
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
    /// Start of the drain of this node.
    draining_since: Option<Instant>,
    beat: u64,
    revision: CatalogRevision,
    usage: Vec<Usage>,
    records: BTreeMap<CompactString, Record>,
    ring: Ring,
    ring_is_stale: bool,
    updates: UpdateQueue,
    list_revision: StoreRevision,
    last_tick: Instant,
    /// Next check for expired timeouts.
    sweep_at: Instant,
    /// Next heartbeat.
    heartbeat_at: Instant,
    /// Next probe of a dead node.
    probe_at: Instant,
    /// Next anti-entropy exchange.
    sync_at: Instant,
    sync_interval: Duration,
    /// Time of the last heartbeat.
    last_sent: Instant,
    /// Last catalogue pull.
    pull: Option<Pull>,
    rng: SmallRng,
}

impl Members {
    /// Creates a node without members; deterministic for a given seed.
    pub fn new(seed: u64, now: Instant, me: Me) -> Members {
        let mut rng = SmallRng::seed_from_u64(seed);
        let heartbeat_at = now + RING_INTERVAL.mul_f64(rng.random());
        Members {
            me,
            state: NodeState::Starting,
            draining_since: None,
            beat: 0,
            revision: CatalogRevision::default(),
            usage: Vec::new(),
            records: BTreeMap::new(),
            ring: Ring::default(),
            ring_is_stale: false,
            updates: UpdateQueue::default(),
            list_revision: StoreRevision::default(),
            last_tick: now,
            sweep_at: now,
            heartbeat_at,
            probe_at: now,
            sync_at: now,
            sync_interval: FIRST_SYNC_INTERVAL,
            last_sent: now,
            pull: None,
            rng,
        }
    }

    /// Handles a message from an authenticated node. [`PeerMessage::CatalogPush`] is handled by the
    /// owner of the catalogue, which then calls [`Members::set_revision`].
    pub fn receive(
        &mut self,
        now: Instant,
        from: &str,
        message: &PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat, out),
            PeerMessage::Revision(revision) => self.pull_if_newer(now, from, *revision, out),
            PeerMessage::CatalogPull(known) if self.revision.supersedes(*known) => {
                out.extend(self.target(from).map(Output::PushCatalog));
            }
            PeerMessage::CatalogPull(_)
            | PeerMessage::CatalogPush(_)
            | PeerMessage::Move(_)
            | PeerMessage::MoveQuery(_)
            | PeerMessage::MoveEvidence(_)
            | PeerMessage::Load(_)
            | PeerMessage::RelayedLoad(_)
            | PeerMessage::Table(_)
            | PeerMessage::TablePull(_)
            | PeerMessage::StoreReport(_)
            | PeerMessage::Notice(_) => {}
            PeerMessage::MembersPull => {
                let table = self.claims();
                self.send(from, PeerMessage::MembersPush(table), out);
            }
            PeerMessage::MembersPush(claims) => {
                let before = out.len();
                claims.iter().for_each(|c| _ = self.merge(now, c, Gossip::No, out));
                if out.len() - before >= SYNC_MIN_CHANGES {
                    self.sync_interval = self.sync_interval.min(MIN_SYNC_INTERVAL);
                    self.sync_at = self.sync_at.min(now + MIN_SYNC_INTERVAL);
                }
            }
            PeerMessage::Claims(claims) => {
                self.merge_claims(now, from, claims, out);
                if claims.iter().any(|claim| claim.name == from) {
                    self.send(from, PeerMessage::Heartbeat(self.heartbeat_reply()), out);
                }
            }
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
            // An older incarnation, or a restart with a clock that was set back. In the latter
            // case, the reply makes the node raise its epoch; without it, the node would be ignored
            // permanently.
            let claim = record.claim(&name, false);
            self.send(from, PeerMessage::Claims(vec![claim]), out);
            return;
        }
        record.last_heartbeat = Some(now);
        record.usage.clone_from(&heartbeat.usage);
        record.revision = heartbeat.revision;
        let was_lost = matches!(record.state, NodeState::Unknown | NodeState::Gone);
        let (moment, state, location) =
            (heartbeat.moment, heartbeat.state, heartbeat.location.clone());
        self.merge(now, &Claim { name, moment, state, location }, Gossip::Yes, out);
        if was_lost && now >= self.sync_at {
            self.sync_at = now + MIN_SYNC_INTERVAL;
            self.send(from, PeerMessage::MembersPull, out);
        }
        self.pull_if_newer(now, from, heartbeat.revision, out);
        let claims = heartbeat.updates.iter().filter_map(|update| match update {
            Update::Node(claim) => Some(claim),
            Update::Runner(_) => None,
        });
        self.merge_claims(now, from, claims, out);
        for update in &heartbeat.updates {
            if let Update::Runner(hint) = update
                && self.updates.hint(now, hint)
            {
                out.push(Output::Hint(hint.clone()));
            }
        }
    }

    /// Applies the platform's list unless it is outdated. Unlisted nodes that send heartbeats are
    /// kept; listed nodes that don't are not in address responses.
    pub fn apply_list(&mut self, now: Instant, list: &InstanceList) {
        self.apply_instances(now, StoreRevision::new(0, list.revision), &list.instances);
    }

    /// Applies a list that was read from the store at a revision, unless it is outdated.
    pub fn apply_instances(
        &mut self,
        now: Instant,
        revision: StoreRevision,
        instances: &[Instance],
    ) {
        if revision < self.list_revision {
            return;
        }
        self.list_revision = revision;
        self.ring_is_stale = true;
        self.records.values_mut().for_each(|r| r.listed = false);
        for node in instances.iter().filter(|i| i.kind == InstanceKind::Node) {
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
        if record.is_running() {
            self.suspect(now, &name.clone(), out);
        }
    }

    /// Marks this node as ready; returns whether it was not before.
    pub fn ready(&mut self) -> bool {
        let is_starting = self.state == NodeState::Starting;
        if is_starting {
            self.state = NodeState::Ready;
        }
        is_starting
    }

    /// Marks this node as draining and announces it.
    pub fn drain(&mut self, now: Instant) {
        self.state = NodeState::Draining;
        self.draining_since.get_or_insert(now);
        self.schedule_early_heartbeat(now);
    }

    /// Announces the exit of this process.
    pub fn send_leave(&mut self, out: &mut Vec<Output>) {
        self.beat += 1;
        let message = PeerMessage::Leave(self.moment());
        out.push(Output::Send { to: self.targets(), message });
    }

    /// Sets the current catalogue revision and announces it.
    pub fn set_revision(&mut self, revision: CatalogRevision, out: &mut Vec<Output>) {
        if revision.supersedes(self.revision) {
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

    fn send(&self, to: &str, message: PeerMessage, out: &mut Vec<Output>) {
        if let Some(target) = self.target(to) {
            out.push(Output::Send { to: vec![target], message });
        }
    }

    /// Returns the address of a node.
    pub fn target(&self, name: &str) -> Option<Target> {
        let location = self.records.get(name)?.location.as_ref()?;
        Some(Target { name: name.into(), address: location.peer.clone() })
    }

    /// Returns the heartbeat targets of this node; all other nodes in a full mesh.
    pub fn targets(&self) -> Vec<Target> {
        self.ring.targets.iter().filter_map(|n| self.target(n)).collect()
    }

    fn moment(&self) -> Moment {
        Moment { life: self.me.life, beat: self.beat }
    }

    /// Returns the record of another node; adds it unless [`MAX_MEMBERS`] is reached.
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

//! Membership: who the other nodes are and which of them take requests.
//!
//! Evidence is the platform's lagging list, heartbeats, broken connections, goodbyes, and what
//! other nodes pass on. Heard from a node itself goes before the list. The state of each node
//! follows `charts/node.json`; nothing here sends or waits, see `docs/design/membership.md`.

pub mod drain;
pub mod message;
mod learn;
mod news;
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
        learn::Spread,
        message::{Claim, Heartbeat, Hint, Life, Moment, News, NodeState, Place, Usage},
        news::Queue,
        record::Record,
        ring::Ring,
    },
    crate::id::Revision,
    bilberryfront_wire::instance::{InstanceKind, InstanceList, InstanceState},
    compact_str::CompactString,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// Time between heartbeats while every node sends to every other.
pub const MESH_INTERVAL: Duration = Duration::from_millis(400);
/// Time between heartbeats of more nodes.
pub const RING_INTERVAL: Duration = Duration::from_millis(500);
/// Silence of a watched node after which it is suspect: four heartbeats of the slower interval.
pub const SILENCE: Duration = Duration::from_secs(2);
/// Time that a suspect has to be heard of before callers are no longer sent to it.
pub const CONFIRM: Duration = Duration::from_millis(1_000);
/// Time that others have to contradict this node's suspicion before it is told to all.
pub const ANSWER: Duration = Duration::from_millis(300);
/// How long a node that is gone and not listed is remembered, so that stale news can't revive it.
pub const TOMBSTONE: Duration = Duration::from_secs(600);
/// Most other nodes remembered; bounds memory against made-up names.
pub const MAX_MEMBERS: usize = 2_048;

/// When to ask the next node for a catalogue that didn't come.
const PULL_RETRY: Duration = Duration::from_secs(1);
/// Time between two requests for whole tables while each still teaches much, after a start or a
/// partition; it doubles with each up to the regular time.
const SYNC_HURRY: Duration = Duration::from_secs(5);
/// Changes learned from one table that are much.
const SYNC_MUCH: usize = 4;

/// This node, as the others see it.
#[derive(Clone, Debug)]
pub struct Me {
    /// Name, as in the instance list and in the certificate.
    pub name: CompactString,
    /// This life: the wall clock in milliseconds at start and a random number.
    pub life: Life,
    /// Where it is reached.
    pub place: Place,
}

/// A node to send to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name, which its certificate must show.
    pub name: CompactString,
    /// Its peer face, `IP:PORT`.
    pub address: CompactString,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to each of these.
    Send {
        /// To whom.
        to: Vec<Target>,
        /// What.
        message: PeerMessage,
    },
    /// Send the catalogue in force, as [`PeerMessage::CatalogPush`].
    PushCatalog(Target),
    /// A node's state changed; worth a log line.
    Changed {
        /// The node.
        name: CompactString,
        /// State before.
        from: NodeState,
        /// State now.
        to: NodeState,
    },
    /// Another node saw something of a runner.
    Hint(Hint),
}

/// All that this node knows of the others.
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
    news: Queue,
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
    /// A node that has just started and knows nobody. Equal seeds act equally.
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
            news: Queue::default(),
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

    /// Takes a message of `from`, whose certificate has been checked. A
    /// [`PeerMessage::CatalogPush`] is for the catalogue's owner, who then calls
    /// [`Members::set_revision`].
    pub fn receive(
        &mut self,
        now: Instant,
        from: &str,
        message: &PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.heard(now, from, heartbeat, out),
            PeerMessage::Revision(revision) => self.newer(now, from, *revision, out),
            PeerMessage::CatalogPull(after) if self.revision > *after => {
                out.extend(self.target(from).map(Output::PushCatalog));
            }
            PeerMessage::CatalogPull(_)
            | PeerMessage::CatalogPush(_)
            | PeerMessage::Move(_)
            | PeerMessage::Load(_)
            | PeerMessage::Relayed(_) => {}
            PeerMessage::MembersPull => {
                let table = self.claims();
                self.send(from, PeerMessage::MembersPush(table), out);
            }
            PeerMessage::MembersPush(claims) => {
                let before = out.len();
                claims.iter().for_each(|c| _ = self.learn(now, c, Spread::No, out));
                if out.len() - before >= SYNC_MUCH {
                    self.pace = SYNC_HURRY;
                    self.sync = self.sync.min(now + SYNC_HURRY);
                }
            }
            PeerMessage::Claims(claims) => self.check(now, from, claims, out),
            PeerMessage::Goodbye(moment) => {
                let (moment, state) = (*moment, NodeState::Gone);
                let claim = Claim { name: from.into(), moment, state, place: None };
                self.learn(now, &claim, Spread::Yes, out);
            }
        }
    }

    /// Takes a heartbeat that came from the node itself.
    pub fn heard(
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
            // An older life, or a restarted node whose clock was set back: tell it, so that it
            // raises its epoch; otherwise everyone would ignore it until it is restarted again.
            let claim = record.claim(&name, false);
            self.send(from, PeerMessage::Claims(vec![claim]), out);
            return;
        }
        record.heard = Some(now);
        record.usage.clone_from(&heartbeat.usage);
        record.revision = heartbeat.revision;
        let lost = matches!(record.state, NodeState::Unknown | NodeState::Gone);
        let (moment, state, place) = (heartbeat.moment, heartbeat.state, heartbeat.place.clone());
        self.learn(now, &Claim { name, moment, state, place }, Spread::Yes, out);
        if lost && now >= self.sync {
            self.sync = now + SYNC_HURRY;
            self.send(from, PeerMessage::MembersPull, out);
        }
        self.newer(now, from, heartbeat.revision, out);
        let claims = heartbeat.news.iter().filter_map(|news| match news {
            News::Node(claim) => Some(claim),
            News::Runner(_) => None,
        });
        self.check(now, from, claims, out);
        for news in &heartbeat.news {
            if let News::Runner(hint) = news
                && self.news.hint(now, hint)
            {
                out.push(Output::Hint(hint.clone()));
            }
        }
    }

    /// Takes the platform's list; one that is older than the last is ignored. A node that is absent
    /// from it but heard of stays; a node that is listed but never heard of isn't in the addresses.
    pub fn list(&mut self, now: Instant, list: &InstanceList) {
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
            let place = Place { domain: node.domain.clone(), url: node.url.clone(), peer };
            if record.place.is_none() || record.state == NodeState::Unknown {
                record.place = Some(place);
            }
        }
        self.records.retain(|_, r| r.listed || r.state != NodeState::Unknown);
    }

    /// Takes the news that the connection to a node broke or can't be made.
    pub fn broken(&mut self, now: Instant, name: &str, out: &mut Vec<Output>) {
        let Some((name, record)) = self.records.get_key_value(name) else { return };
        if record.running() {
            self.suspect(now, &name.clone(), out);
        }
    }

    /// Says that this node has a catalogue and takes requests.
    pub fn ready(&mut self) {
        if self.state == NodeState::Starting {
            self.state = NodeState::Ready;
        }
    }

    /// Says that this node is leaving; tells the others at once.
    pub fn drain(&mut self, now: Instant) {
        self.state = NodeState::Draining;
        self.hurry(now);
    }

    /// Says that the process exits now.
    pub fn goodbye(&mut self, out: &mut Vec<Output>) {
        self.beat += 1;
        let message = PeerMessage::Goodbye(self.moment());
        out.push(Output::Send { to: self.targets(), message });
    }

    /// Puts a catalogue revision in force here and tells the targets at once.
    pub fn set_revision(&mut self, revision: Revision, out: &mut Vec<Output>) {
        if revision > self.revision {
            self.revision = revision;
            let message = PeerMessage::Revision(revision);
            out.push(Output::Send { to: self.targets(), message });
        }
    }

    /// Replaces what this node says of its use of limits.
    pub fn set_usage(&mut self, mut usage: Vec<Usage>) {
        usage.sort_by_key(|u| std::cmp::Reverse(u.running));
        self.usage = usage;
    }

    /// Tells the others what was seen of a runner.
    pub fn hint(&mut self, now: Instant, hint: &Hint) {
        self.news.hint(now, hint);
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

    fn target(&self, name: &str) -> Option<Target> {
        let place = self.records.get(name)?.place.as_ref()?;
        Some(Target { name: name.into(), address: place.peer.clone() })
    }

    /// The nodes that get this one's heartbeats: all others while they are few.
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

//! Measures membership by simulation: all members run in one process and exchange messages by
//! function calls, in steps of 50 ms of virtual time. Prints the seconds until all nodes know all
//! others, have a new catalogue revision, and have removed one lost node and a lost failure domain
//! (a ninth of the nodes); the bytes sent and received; and the CPU time.
//!
//! `cargo run --release -p bilberryfront-decide --example gossip`

use {
    bilberryfront_decide::{
        core::TICK,
        id::Incarnation,
        member::{
            Me, Members, Output, PeerMessage,
            message::{CatalogPush, NodeIncarnation, NodeLocation, Usage},
        },
    },
    bilberryfront_wire::instance::{Instance, InstanceList},
    compact_str::format_compact,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
    tokio::time::Instant,
};

/// Bytes per message in addition to its postcard encoding: 13 for version, class and the sender's
/// name, 40 for QUIC, 28 for UDP and IP, and 63 for the acknowledgement in a separate datagram.
const OVERHEAD_BYTES: usize = 13 + 40 + 28 + 63;

/// Prefix of node names, followed by the index.
const PREFIX: &str = "entry-";

/// A simulated network of members.
struct Bench {
    now: Instant,
    members: Vec<Option<Members>>,
    inbox: Vec<(usize, usize, PeerMessage)>,
    bytes: usize,
    cpu: Duration,
    loss: f64,
    rng: SmallRng,
}

impl Bench {
    fn new(n: usize, loss: f64) -> Bench {
        let now = Instant::now();
        let list = InstanceList { revision: 1, instances: (0..n).map(instance).collect() };
        let start = |(i, node): (usize, &Instance)| {
            let life = NodeIncarnation {
                epoch: 1_764_720_000_000,
                incarnation: Incarnation(i as u64 + 1),
            };
            let peer = node.peer.clone().unwrap_or_default();
            let location =
                NodeLocation { domain: node.domain.clone(), url: node.url.clone(), peer };
            let me = Me { name: node.name.clone(), life, location };
            let mut members = Members::new(i as u64, now, me);
            members.apply_list(now, &list);
            members.ready();
            members.set_usage((0..8).map(usage).collect());
            Some(members)
        };
        let members = list.instances.iter().enumerate().map(start).collect();
        let (inbox, rng) = (Vec::new(), SmallRng::seed_from_u64(7));
        Bench { now, members, inbox, bytes: 0, cpu: Duration::ZERO, loss, rng }
    }

    /// Advances the time by one tick.
    fn step(&mut self) {
        self.now += TICK;
        for (from, to, message) in std::mem::take(&mut self.inbox) {
            let name = format_compact!("{PREFIX}{from:04}");
            self.run(to, |m, now, out| match &message {
                PeerMessage::CatalogPush(push) => m.set_revision(push.revision, out),
                message => m.receive(now, &name, message, out),
            });
        }
        for i in 0..self.members.len() {
            self.run(i, |m, now, out| m.tick(now, out));
        }
    }

    /// Runs a function on one member and handles its outputs.
    fn run(&mut self, i: usize, act: impl FnOnce(&mut Members, Instant, &mut Vec<Output>)) {
        let Some(member) = &mut self.members[i] else { return };
        let mut out = Vec::new();
        let start = Instant::now();
        act(member, self.now, &mut out);
        self.cpu += start.elapsed();
        for output in out {
            match output {
                Output::Send { to, message } => {
                    to.iter().for_each(|t| self.post(i, &t.name, &message));
                }
                Output::PushCatalog(to) => self.post(i, &to.name, &push()),
                _ => {}
            }
        }
    }

    /// Sends a message. Only heartbeats can be lost: they are sent as datagrams, while all others
    /// are sent on streams, which retransmit.
    fn post(&mut self, from: usize, to: &str, message: &PeerMessage) {
        self.bytes +=
            OVERHEAD_BYTES + postcard::to_stdvec(message).expect("messages can be encoded").len();
        if !(matches!(message, PeerMessage::Heartbeat(_)) && self.rng.random_bool(self.loss)) {
            let to = to[PREFIX.len()..].parse().expect("names end in the index");
            self.inbox.push((from, to, message.clone()));
        }
    }

    /// Runs until `done` is true for all members; returns the seconds, or NaN after two minutes.
    fn run_until(&mut self, done: impl Fn(&Members) -> bool) -> f64 {
        let start = self.now;
        while !self.members.iter().flatten().all(&done) {
            self.step();
            if self.now > start + Duration::from_secs(120) {
                return f64::NAN;
            }
        }
        (self.now - start).as_secs_f64()
    }
}

fn instance(i: usize) -> Instance {
    let (high, low) = (i / 250, i % 250);
    let json = format!(
        r#"{{"name": "{PREFIX}{i:04}", "kind": "node", "url": "http://10.1.{high}.{low}:8080",
            "domain": "east-mids-{}", "state": "live", "peer": "10.1.{high}.{low}:7000"}}"#,
        i % 9
    );
    serde_json::from_str(&json).expect("the instance is valid")
}

fn push() -> PeerMessage {
    PeerMessage::CatalogPush(CatalogPush { revision: 2.into(), doc: String::new() })
}

fn usage(i: u32) -> Usage {
    Usage { entry: "verify-llm".into(), account: format_compact!("desk-{i:03}"), running: 8 - i }
}

fn main() {
    println!("nodes loss start_s revision_s one_lost_s domain_lost_s B/s/node ns/s/node");
    for (n, loss) in [6, 100, 300, 1_100].into_iter().flat_map(|n| [(n, 0.0), (n, 0.1)]) {
        let mut bench = Bench::new(n, loss);
        let start = bench.run_until(|m| m.addresses().len() == n);
        (0..400).for_each(|_| bench.step());
        (bench.bytes, bench.cpu) = (0, Duration::ZERO);
        (0..1_200).for_each(|_| bench.step());
        let node_seconds = n as f64 * 60.0;
        let (bytes, cpu) =
            (2.0 * bench.bytes as f64 / node_seconds, bench.cpu.as_nanos() as f64 / node_seconds);
        bench.run(0, |m, _, out| m.set_revision(2.into(), out));
        let revision = bench.run_until(|m| m.revision() == 2.into());
        bench.members[1] = None;
        let one = bench.run_until(|m| m.addresses().len() == n - 1);
        (0..n).filter(|i| i % 9 == 2).for_each(|i| bench.members[i] = None);
        let remaining = bench.members.iter().flatten().count();
        let domain = bench.run_until(|m| m.addresses().len() == remaining);
        print!("{n:5} {loss:4.1} {start:7.2} {revision:10.2} {one:10.2} {domain:13.2}");
        println!(" {bytes:8.0} {cpu:9.0}");
    }
}

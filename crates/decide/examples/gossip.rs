//! Measures membership through its pure core: members in one process, messages handed over by
//! function calls at each step of 50 ms of a virtual clock. Prints the seconds until all list all,
//! have a new catalogue, and have dropped a lost node and a lost ninth; bytes in and out; CPU time.
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

/// What a message costs besides its postcard form, in bytes: 13 for version, class and the sender's
/// name, 40 of QUIC, 28 of UDP and IP, and 63 for the acknowledgement in a datagram of its own.
const OVERHEAD: usize = 13 + 40 + 28 + 63;

/// Names are this and the index.
const PREFIX: &str = "entry-";
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

    /// Only heartbeats, which go by datagram, are lost; streams repeat what was lost.
    fn post(&mut self, from: usize, to: &str, message: &PeerMessage) {
        self.bytes += OVERHEAD + postcard::to_stdvec(message).expect("messages encode").len();
        if !(matches!(message, PeerMessage::Heartbeat(_)) && self.rng.random_bool(self.loss)) {
            let to = to[PREFIX.len()..].parse().expect("names end in the index");
            self.inbox.push((from, to, message.clone()));
        }
    }

    /// Steps until `done` holds for all; the seconds that took, not a number after two minutes.
    fn until(&mut self, done: impl Fn(&Members) -> bool) -> f64 {
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
    serde_json::from_str(&json).expect("the form of the list's entries")
}

fn push() -> PeerMessage {
    PeerMessage::CatalogPush(CatalogPush { revision: 2, doc: String::new() })
}

fn usage(i: u32) -> Usage {
    Usage { entry: "verify-llm".into(), account: format_compact!("desk-{i:03}"), running: 8 - i }
}

fn main() {
    println!("nodes loss start_s revision_s one_lost_s domain_lost_s B/s/node ns/s/node");
    for (n, loss) in [6, 100, 300, 1_100].into_iter().flat_map(|n| [(n, 0.0), (n, 0.1)]) {
        let mut bench = Bench::new(n, loss);
        let start = bench.until(|m| m.addresses().len() == n);
        (0..400).for_each(|_| bench.step());
        (bench.bytes, bench.cpu) = (0, Duration::ZERO);
        (0..1_200).for_each(|_| bench.step());
        let share = n as f64 * 60.0;
        let (bytes, cpu) = (2.0 * bench.bytes as f64 / share, bench.cpu.as_nanos() as f64 / share);
        bench.run(0, |m, _, out| m.set_revision(2, out));
        let revision = bench.until(|m| m.revision() == 2);
        bench.members[1] = None;
        let one = bench.until(|m| m.addresses().len() == n - 1);
        (0..n).filter(|i| i % 9 == 2).for_each(|i| bench.members[i] = None);
        let left = bench.members.iter().flatten().count();
        let domain = bench.until(|m| m.addresses().len() == left);
        print!("{n:5} {loss:4.1} {start:7.2} {revision:10.2} {one:10.2} {domain:13.2}");
        println!(" {bytes:8.0} {cpu:9.0}");
    }
}

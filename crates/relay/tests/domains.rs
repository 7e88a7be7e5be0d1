//! Traffic between failure domains: calls, streams and load reports.

use {
    bilberryfront_relay::{
        fleet::{Criteria, Endpoint, Fleet, Load},
        view::{Registration, State},
    },
    std::net::SocketAddr,
};

/// What one kind of engine is like.
#[derive(Clone, Copy)]
struct Engine {
    /// Of them in each failure domain.
    count: u8,
    /// Requests that one runs at once.
    slots: u32,
    /// Memory of one, in tokens.
    memory: u32,
    /// Tokens of a prompt of its callers.
    prompt: u32,
}

/// Few large engines, and many small ones whose callers' prompts are shorter.
const FLEETS: [Engine; 2] = [
    Engine { count: 2, slots: 64, memory: 400_000, prompt: 20_000 },
    Engine { count: 30, slots: 8, memory: 30_000, prompt: 1_000 },
];

/// A node in domain `a` that knows `count` runners in each of three domains.
fn fleet(count: u8, slots: u32) -> Fleet {
    let fleet = Fleet::seeded(7);
    fleet.set_domain(&"a".into());
    let runner = |domain: u8, index: u8| Registration {
        id: format!("{domain}-{index}").into(),
        born: 1,
        service: "service".into(),
        address: SocketAddr::from(([10, domain, 0, index], 80)),
        domain: ["a", "b", "c"][usize::from(domain)].into(),
        version: "v1".into(),
        slots,
        state: State::Ready,
        assumed: false,
    };
    let all: Vec<_> = (0..3).flat_map(|d| (0..count).map(move |i| runner(d, i))).collect();
    fleet.update(&all);
    fleet
}

fn criteria(memory: u32) -> Criteria<'static> {
    Criteria {
        service: "service",
        except: &[],
        prompt: None,
        memory,
        avoid_domain: None,
        version: None,
        stable: false,
    }
}

/// Load: many short calls. Guards against calls that cross a border while the local runner has free
/// slots, and against queues there while others are free.
#[tokio::test(start_paused = true)]
async fn calls_stay_in_their_domain_while_half_of_its_slots_are_free() {
    for slots in [6, 48] {
        let fleet = fleet(1, slots);
        let call = || fleet.lease_call(fleet.choose(&criteria(0)).unwrap());
        let calls: Vec<_> = (0..slots).map(|_| call()).collect();
        let near = calls.iter().filter(|c| c.endpoint.domain == "a").count() as u32;
        assert!((slots / 2..=slots * 3 / 4).contains(&near), "{near} of {slots}");
        drop(calls);
        assert_eq!(call().endpoint.domain, "a", "ended calls don't count");
    }
}

/// Load: hundreds of short calls. Guards against load reports that are outdated on arrival.
#[tokio::test(start_paused = true)]
async fn calls_are_not_told_to_other_nodes() {
    let fleet = fleet(1, 6);
    let place: Endpoint = fleet.choose(&criteria(0)).unwrap();
    let call = fleet.lease_call(place.clone());
    assert!(fleet.take_update().is_empty() && fleet.snapshot().is_empty());
    drop(call);
    assert!(fleet.take_update().is_empty());
    let work = Load { running: 1, memory: 5_600, unread: 5_000 };
    let lease = fleet.lease(place, work);
    assert_eq!(fleet.take_update().runners.len(), 1);
    assert_eq!(fleet.snapshot().runners.len(), 1);
    drop(lease);
    assert_eq!(fleet.take_update().runners[0].running, 0);
}

/// Load: streams begin while some engines are idle. Guards against events that cross a border for
/// nothing, and against a busy local engine while another one is idle.
#[tokio::test(start_paused = true)]
async fn a_stream_leaves_its_domain_only_for_an_engine_with_fewer_streams() {
    for engine in FLEETS {
        let fleet = fleet(engine.count, engine.slots);
        let stream = Load { running: 1, memory: engine.prompt * 6 / 5, unread: 0 };
        let mut leases = Vec::new();
        for place in 0..3 * engine.count {
            let chosen = fleet.choose(&criteria(engine.memory)).unwrap();
            assert_eq!(chosen.domain == "a", place < engine.count, "{place} of {}", engine.count);
            leases.push(fleet.lease(chosen, stream));
        }
        assert_eq!(fleet.choose(&criteria(engine.memory)).unwrap().domain, "a", "a second each");
    }
}

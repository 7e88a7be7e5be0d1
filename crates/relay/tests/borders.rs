//! What crosses the borders between failure domains: calls, streams, and words about them.

use {
    bilberryfront_relay::{
        fleet::{Fleet, Load, Place, Wanted},
        view::{Registration, State},
    },
    std::net::SocketAddr,
};

/// A node that knows `count` runners in each of three domains.
fn fleet(count: u8, slots: u32) -> Fleet {
    let fleet = Fleet::seeded(7);
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

fn wanted(memory: u32) -> Wanted<'static> {
    Wanted {
        service: "service",
        except: &[],
        prompt: None,
        memory,
        away: None,
        version: None,
        steady: false,
    }
}

/// Load: short calls come by the hundred. Their word to every node was most of what nodes said to each
/// other, and it was out of date when it came. Only what is under way at engines is told.
#[tokio::test(start_paused = true)]
async fn calls_are_not_told_to_other_nodes() {
    let fleet = fleet(1, 6);
    let place: Place = fleet.choose(&wanted(0)).unwrap();
    let call = fleet.call(place.clone());
    assert!(fleet.news().is_empty() && fleet.loads().is_empty());
    drop(call);
    assert!(fleet.news().is_empty());
    let work = Load { running: 1, memory: 5_600, unread: 5_000 };
    let lease = fleet.lease(place, work);
    assert_eq!(fleet.news().runners.len(), 1);
    assert_eq!(fleet.loads().len(), 1);
    drop(lease);
    assert_eq!(fleet.news().runners[0].running, 0);
}

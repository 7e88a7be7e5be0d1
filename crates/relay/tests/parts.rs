//! Event parsing, routes and draining.

use {
    bilberryfront_relay::{
        catalog::{Account, Catalog, Denied, Kind, Level, Limits, Priority, Route, Target},
        drain::Drain,
        events::{Event, Splitter},
    },
    quickcheck::{Gen, QuickCheck},
    std::time::Duration,
    tokio::time::{Instant, advance},
};

const SEED: u64 = 7;

/// Checks a property on cases from a fixed seed.
fn check<A: quickcheck::Testable>(property: A) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, SEED)).quickcheck(property);
}

/// For any input in any fragmentation, the events contain the received bytes in order, and each of
/// them ends with an empty line.
#[test]
fn events_contain_the_received_bytes() {
    #[expect(clippy::needless_pass_by_value, reason = "the property's signature is the library's")]
    fn property(choices: Vec<u8>, cuts: Vec<u8>) -> bool {
        let fragments = [b"\n".as_slice(), b"\r\n", b"id: 1", b"data: x", b"\n\n", b":"];
        let text: Vec<u8> = choices
            .iter()
            .flat_map(|w| fragments[usize::from(*w) % fragments.len()].to_vec())
            .collect();
        let mut splitter = Splitter::default();
        let mut rest = &text[..];
        let mut events = Vec::new();
        for isolated in cuts.iter().map(|c| usize::from(*c) % 5).chain([usize::MAX]) {
            let (part, left) = rest.split_at(isolated.min(rest.len()));
            splitter.push(part);
            rest = left;
            while let Ok(Some(Event { bytes, .. })) = splitter.take() {
                assert!(bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n"));
                events.extend_from_slice(&bytes);
            }
        }
        text.starts_with(&events) && splitter.is_partial() == (events.len() < text.len())
    }
    check(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

/// The id is parsed at any position of its field; events without a valid id are accepted.
#[test]
fn event_ids_are_parsed() {
    let mut splitter = Splitter::default();
    splitter.push(b"weights: 2\nid: 41\ndata: a\n\ndata: b\n\nid: x\n\nid");
    let ids: Vec<Option<u64>> =
        std::iter::from_fn(|| splitter.take().unwrap()).map(|e| e.id).collect();
    assert_eq!(ids, [Some(41), None, None]);
    assert!(splitter.is_partial());
}

/// Guards against unbounded memory use by a runner that never ends an event.
#[test]
fn too_long_event_is_an_error() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; (1 << 20) + 1]);
    assert!(splitter.take().is_err());
}

fn route(prefix: &str, public: bool, targets: &[(&str, u32)]) -> Route {
    let target =
        |(service, weight): &(&str, u32)| Target { service: (*service).into(), weight: *weight };
    Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        targets: targets.iter().map(target).collect(),
        kind: Kind::Once,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        gap: None,
        attempts: 1,
        priority: 0,
        public,
    }
}

/// The route with the longest prefix is selected, by whole path segments since prefixes end with a
/// slash. A key is required except on public routes.
#[test]
fn requests_are_admitted_by_prefix_and_key() {
    let routes = vec![
        route("/", true, &[("s", 1)]),
        route("/a/", false, &[("s", 1)]),
        route("/a/b/", false, &[("s", 1)]),
    ];
    let account = Account { name: "desk".into(), priority: None };
    let accounts = vec![(account, vec!["k1".into(), "k2".into()])];
    let catalog = Catalog::new(1, routes, Vec::new(), Some(accounts), Limits::default());
    let admit = |path: &str, key| {
        let (route, account) = catalog.admit("h", path, key)?;
        Ok((route.name.to_string(), account.map(|a| a.name.to_string())))
    };
    assert_eq!(admit("/a/b/c", Some("k2")), Ok(("/a/b/".into(), Some("desk".into()))));
    assert_eq!(admit("/a/bc", Some("k1")), Ok(("/a/".into(), Some("desk".into()))));
    assert_eq!(admit("/ab", None), Ok(("/".into(), None)));
    assert_eq!(admit("/a/x", Some("gone")), Err(Denied::Key));
    assert_eq!(admit("/a/x", None), Err(Denied::Key));
    assert_eq!(catalog.admit("other", "/", None).unwrap_err(), Denied::Route);
}

/// Each target gets the share of the drawn values that its weight defines.
#[test]
fn targets_are_selected_by_weight() {
    let route = route("/", true, &[("a", 90), ("b", 10), ("c", 0)]);
    let count =
        |name: &str| (0..1_000).filter(|i| route.target(f64::from(*i) / 1_000.0) == name).count();
    assert_eq!((count("a"), count("b"), count("c")), (900, 100, 0));
}

/// Returns the catalogue of these routes to one service and of these accounts.
fn priority_catalog(routes: &[(u8, bool)], accounts: Option<&[Option<u8>]>) -> Catalog {
    let route = |(index, (priority, public)): (usize, &(u8, bool))| Route {
        priority: *priority,
        ..route(&format!("/{index}/"), *public, &[("s", 1)])
    };
    let account = |(index, priority): (usize, &Option<u8>)| {
        let name = format!("a{index}");
        (Account { name: name.as_str().into(), priority: *priority }, vec![name.into()])
    };
    let accounts = accounts.map(|accounts| accounts.iter().enumerate().map(account).collect());
    let routes = routes.iter().enumerate().map(route).collect();
    Catalog::new(1, routes, Vec::new(), accounts, Limits::default())
}

/// Guards against routes whose priorities are ignored: without accounts, or since only one route is
/// public.
#[test]
fn priorities_of_routes_define_the_levels() {
    let level = |catalog: &Catalog, account, route| {
        let level = catalog.level("s", Priority { account, route });
        level.map(|Level { order, headroom }| (order, headroom))
    };
    for public in [false, true] {
        let catalog = priority_catalog(&[(0, public), (2, public), (5, public)], None);
        let levels = [0, 2, 5].map(|priority| level(&catalog, priority, priority));
        assert_eq!(levels, [Some((0, 0)), Some((1, 1)), Some((2, 2))], "public: {public}");
    }
    let catalog = priority_catalog(&[(0, true), (2, false)], Some(&[None]));
    assert_eq!(level(&catalog, 2, 2), Some((1, 1)));
    let catalog = priority_catalog(&[(3, false), (3, true)], Some(&[None, Some(3)]));
    assert_eq!(level(&catalog, 3, 3), None, "all requests have the same priority");
    assert_eq!(catalog.level("other", Priority { account: 3, route: 3 }), None);
}

/// Guards against a route whose priority precedes that of the account, and against headroom for requests
/// that only one of both makes less urgent.
#[test]
fn priority_of_the_account_precedes_that_of_the_route() {
    let catalog = priority_catalog(&[(0, false), (2, false)], Some(&[None, Some(1)]));
    let known = [(0, 0), (1, 0), (1, 2), (2, 2)];
    let known = known.map(|(account, route)| Priority { account, route });
    assert_eq!(catalog.priorities("s"), known);
    let levels = known.map(|priority| catalog.level("s", priority));
    let levels = levels.map(|level| level.map(|level| (level.order, level.headroom)));
    assert_eq!(levels, [Some((0, 0)), Some((1, 0)), Some((2, 1)), Some((3, 1))]);
}

/// The drain is started twice: the grace period runs from the first start. Streams that may outlast
/// it are rejected once a quarter of it has passed.
#[tokio::test(start_paused = true)]
async fn draining_node_rejects_streams_that_outlast_the_grace_period() {
    let drain = Drain::new(Duration::from_secs(8));
    let long = Duration::from_secs(20);
    assert!(!drain.outlives_grace(Instant::now() + long));
    drain.start();
    let at = drain.started().await;
    assert!(
        !drain.outlives_grace(Instant::now() + long),
        "callers may still use older address responses"
    );
    advance(Duration::from_secs(3)).await;
    drain.start();
    assert_eq!(drain.started().await, at);
    assert!(drain.outlives_grace(Instant::now() + long));
    assert!(!drain.outlives_grace(Instant::now() + Duration::from_secs(1)));
    assert!(drain.kill_deadline(at) < at + Duration::from_secs(8));
}

//! The registry of runners.

use {
    bilberryfront_decide::member::message::Restart,
    bilberryfront_relay::{
        catalog::Catalog,
        control::registry::RunnerRegistry,
        records::{BadRecord, Records},
        rollouts::{RolloutOrder, RolloutStatus},
        store::Row,
        view::{Registration, State},
    },
    bytes::Bytes,
    compact_str::CompactString,
    std::time::Duration,
    tokio::time::{Instant, advance},
};

/// Entries spelled `ADDRESS BORN STATE`.
#[derive(Clone)]
struct Spelled;

impl Records for Spelled {
    const ORDERS: &'static str = "orders";
    const CATALOG: &'static str = "catalog";
    const RUNNERS: &'static str = "runners";
    const STATUS: &'static str = "status";

    fn parse_catalog(&self, _: &[u8]) -> Result<Catalog, BadRecord> {
        Err(BadRecord("no catalogue here".into()))
    }

    fn parse_registration(&self, id: &str, value: &[u8]) -> Result<Registration, BadRecord> {
        let text = str::from_utf8(value).map_err(|_| BadRecord("not UTF-8".into()))?;
        let [address, born, state] = text.split(' ').collect::<Vec<_>>()[..] else {
            return Err(BadRecord("not three words".into()));
        };
        Ok(Registration {
            id: id.into(),
            born: born.parse().unwrap(),
            service: "llm".into(),
            address: address.parse().unwrap(),
            domain: "a".into(),
            version: "v1".into(),
            slots: 8,
            state: if state == "ready" { State::Ready } else { State::Draining },
            assumed: false,
        })
    }

    fn parse_order(&self, _: &str, _: &[u8]) -> Option<Result<RolloutOrder, BadRecord>> {
        None
    }

    fn parse_status(&self, _: &str, _: &[u8]) -> Option<Result<RolloutStatus, BadRecord>> {
        None
    }

    fn encode_status(&self, record: &RolloutStatus) -> (CompactString, Bytes) {
        (record.service.clone(), Bytes::new())
    }
}

fn row(id: &str, value: &str) -> Row {
    let value = (!value.is_empty()).then(|| value.to_owned().into());
    Row { key: id.into(), value, revision: 1 }
}

fn ids(registry: &RunnerRegistry) -> Vec<String> {
    registry.runners().iter().map(|r| r.id.to_string()).collect()
}

/// Time for which runners may return after an outage.
const GRACE: Duration = Duration::from_millis(2_500);

fn registry(rows: &[Row]) -> RunnerRegistry {
    let mut registry = RunnerRegistry::default();
    assert!(update(&mut registry, rows, Duration::ZERO));
    registry
}

fn update(registry: &mut RunnerRegistry, rows: &[Row], grace: Duration) -> bool {
    registry.update(Instant::now(), rows, grace, &Spelled)
}

/// Guards against sends to the expired id of a runner that restarted at its address.
#[tokio::test(start_paused = true)]
async fn a_later_incarnation_takes_over_the_address() {
    let mut registry =
        registry(&[row("old", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")]);
    assert!(update(&mut registry, &[row("new", "10.0.0.1:80 9 ready")], Duration::ZERO));
    assert_eq!(ids(&registry), ["b", "new"]);
    assert!(!update(&mut registry, &[row("old", "10.0.0.1:80 5 ready")], Duration::ZERO));
    assert_eq!(ids(&registry), ["b", "new"]);
}

/// Guards against dropping live runners whose registrations expired during an outage of the store.
#[tokio::test(start_paused = true)]
async fn registrations_that_expired_in_an_outage_are_kept_for_a_while() {
    let all = [row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")];
    let mut registry = registry(&all);
    update(&mut registry, &[row("a", ""), row("b", "")], GRACE);
    assert_eq!(ids(&registry), ["a", "b"]);
    advance(Duration::from_millis(500)).await;
    update(&mut registry, &all[..1], GRACE);
    advance(Duration::from_secs(1)).await;
    assert!(!registry.remove_expired(Instant::now(), false));
    advance(Duration::from_secs(1)).await;
    assert!(registry.remove_expired(Instant::now(), true));
    assert_eq!(ids(&registry), ["a"]);
}

/// Guards against losing engines that restart under new ids while the store cannot report them.
#[tokio::test(start_paused = true)]
async fn a_runner_that_restarts_in_an_outage_is_adopted_until_it_registers() {
    let restart = |id: &str| Restart { former: "a".into(), id: Some(id.into()) };
    let all = [row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")];
    let mut registry = registry(&all);
    assert!(!registry.adopt_restarts(&[restart("a2")], true), "the store is available");
    assert!(registry.adopt_restarts(&[restart("a2")], false));
    assert_eq!(ids(&registry), ["a2", "b"]);
    assert_eq!(registry.runners()[0].address, "10.0.0.1:80".parse().unwrap());
    assert!(!registry.adopt_restarts(&[restart("a2")], false), "repeated");
    assert!(!update(&mut registry, &all[..1], Duration::ZERO), "a late row of the former one");
    advance(Duration::from_secs(5)).await;
    assert!(!registry.remove_expired(Instant::now(), false), "the outage lasts");
    update(&mut registry, &[row("a", "")], GRACE);
    assert!(!registry.remove_expired(Instant::now(), true));
    assert_eq!(ids(&registry), ["a2", "b"], "it has time to register");
    advance(Duration::from_secs(3)).await;
    assert!(registry.remove_expired(Instant::now(), true));
    assert_eq!(ids(&registry), ["b"]);
}

/// Load: engines restart and drain while the store is silent. Guards against nodes that each try them
/// again and use up the retry budget, so that streams lost in the next crash are not resumed.
#[tokio::test(start_paused = true)]
async fn a_runner_that_restarts_and_drains_in_an_outage_is_removed() {
    let gone = Restart { former: "a".into(), id: None };
    let mut registry =
        registry(&[row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")]);
    assert!(!registry.adopt_restarts(std::slice::from_ref(&gone), true), "the store is available");
    assert!(registry.adopt_restarts(std::slice::from_ref(&gone), false));
    assert_eq!(ids(&registry), ["b"]);
    assert!(!registry.adopt_restarts(&[gone], false), "repeated");
}

/// Guards against requests to a runner that has left.
#[tokio::test(start_paused = true)]
async fn a_removed_registration_counts_at_once() {
    let mut registry =
        registry(&[row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")]);
    assert!(update(&mut registry, &[row("a", "")], Duration::ZERO));
    assert_eq!(ids(&registry), ["b"]);
}

/// Guards against one undecodable row hiding the others.
#[tokio::test(start_paused = true)]
async fn an_undecodable_row_affects_no_other() {
    let rows = [row("a", "10.0.0.1:80 5 ready"), row("b", "\u{1}"), row("c", "x")];
    let mut registry = registry(&rows);
    assert_eq!(ids(&registry), ["a"]);
    assert!(update(&mut registry, &[row("a", "nonsense")], Duration::ZERO));
    assert!(ids(&registry).is_empty());
}

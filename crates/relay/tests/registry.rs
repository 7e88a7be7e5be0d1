//! Registry of runners.

use {
    bilberryfront_decide::member::message::Restart,
    bilberryfront_relay::{
        catalog::Catalog,
        control::registry::RunnerRegistry,
        records::{BadRecord, Records},
        rollouts::{RolloutOrder, RolloutStatus},
        store::{Revision, Row},
        view::{Registration, State},
    },
    bytes::Bytes,
    compact_str::CompactString,
    std::time::Duration,
    tokio::time::{Instant, advance},
};

/// Decoder of registrations in the text format `ADDRESS BORN STATE`.
#[derive(Clone)]
struct TextRecords;

impl Records for TextRecords {
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

    fn registered_service(_: &str, _: &[u8]) -> Option<CompactString> {
        Some("llm".into())
    }

    fn parse_order(&self, _: &str, _: &[u8]) -> Option<Result<RolloutOrder, BadRecord>> {
        None
    }

    fn parse_status(&self, _: &str, _: &[u8]) -> Option<Result<RolloutStatus, BadRecord>> {
        None
    }

    fn status_service(&self, _: &str) -> Option<CompactString> {
        None
    }

    fn encode_status(&self, record: &RolloutStatus) -> (CompactString, Bytes) {
        (record.service.clone(), Bytes::new())
    }
}

fn row(id: &str, value: &str) -> Row {
    let value = (!value.is_empty()).then(|| value.to_owned().into());
    Row { key: id.into(), value, revision: Revision::new(0, 1) }
}

/// Returns a row of a store that was restored from a backup.
fn restored(id: &str, value: &str) -> Row {
    Row { revision: Revision::new(1, 1), ..row(id, value) }
}

fn ids(registry: &RunnerRegistry) -> Vec<String> {
    registry.runners().iter().map(|r| r.id.to_string()).collect()
}

/// Time after an outage for which missing runners are kept.
const GRACE: Duration = Duration::from_millis(2_500);

fn registry(rows: &[Row]) -> RunnerRegistry {
    let mut registry = RunnerRegistry::default();
    assert!(update(&mut registry, rows, Duration::ZERO));
    registry
}

fn update(registry: &mut RunnerRegistry, rows: &[Row], grace: Duration) -> bool {
    registry.update(Instant::now(), rows, grace, &TextRecords)
}

/// Guards against requests to the former id of a runner that has restarted at its address.
#[tokio::test(start_paused = true)]
async fn newer_registration_replaces_an_older_one_at_its_address() {
    let mut registry =
        registry(&[row("old", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")]);
    assert!(update(&mut registry, &[row("new", "10.0.0.1:80 9 ready")], Duration::ZERO));
    assert_eq!(ids(&registry), ["b", "new"]);
    assert!(!update(&mut registry, &[row("old", "10.0.0.1:80 5 ready")], Duration::ZERO));
    assert_eq!(ids(&registry), ["b", "new"]);
}

/// Guards against removing running runners whose registrations expired during an outage of the
/// store.
#[tokio::test(start_paused = true)]
async fn registrations_expired_in_an_outage_are_kept_for_the_grace_period() {
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

/// Guards against losing engines that restart with new ids while the store cannot report them.
#[tokio::test(start_paused = true)]
async fn runner_restarted_in_an_outage_is_adopted_until_it_registers() {
    let restart = |id: &str| Restart { former: "a".into(), id: Some(id.into()) };
    let all = [row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")];
    let mut registry = registry(&all);
    assert!(!registry.adopt_restarts(&[restart("a2")], true), "the store is available");
    assert!(registry.adopt_restarts(&[restart("a2")], false));
    assert_eq!(ids(&registry), ["a2", "b"]);
    assert_eq!(registry.runners()[0].address, "10.0.0.1:80".parse().unwrap());
    assert!(!registry.adopt_restarts(&[restart("a2")], false), "repeated");
    assert!(
        !update(&mut registry, &all[..1], Duration::ZERO),
        "a late row of the former incarnation"
    );
    advance(Duration::from_secs(5)).await;
    assert!(!registry.remove_expired(Instant::now(), false), "the outage lasts");
    update(&mut registry, &[row("a", "")], GRACE);
    assert!(!registry.remove_expired(Instant::now(), true));
    assert_eq!(ids(&registry), ["a2", "b"], "the runner has time to register");
    advance(Duration::from_secs(3)).await;
    assert!(registry.remove_expired(Instant::now(), true));
    assert_eq!(ids(&registry), ["b"]);
}

/// Load: engines restart and drain while the store does not respond. Guards against nodes that each
/// send requests to them again and exhaust the retry budget, so that streams lost in the next crash
/// are not resumed.
#[tokio::test(start_paused = true)]
async fn runner_restarted_and_draining_in_an_outage_is_removed() {
    let unusable = Restart { former: "a".into(), id: None };
    let mut registry =
        registry(&[row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")]);
    assert!(
        !registry.adopt_restarts(std::slice::from_ref(&unusable), true),
        "the store is available"
    );
    assert!(registry.adopt_restarts(std::slice::from_ref(&unusable), false));
    assert_eq!(ids(&registry), ["b"]);
    assert!(!registry.adopt_restarts(&[unusable], false), "repeated");
}

/// Guards against requests to a runner that has exited.
#[tokio::test(start_paused = true)]
async fn removed_registration_takes_effect_at_once() {
    let mut registry =
        registry(&[row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")]);
    assert!(update(&mut registry, &[row("a", "")], Duration::ZERO));
    assert_eq!(ids(&registry), ["b"]);
}

/// Guards against requests to a draining runner whose registration in a backup is still ready.
#[tokio::test(start_paused = true)]
async fn draining_is_final_for_an_incarnation() {
    let mut registry = registry(&[row("a", "10.0.0.1:80 5 draining")]);
    assert!(!update(&mut registry, &[restored("a", "10.0.0.1:80 5 ready")], GRACE));
    assert_eq!(registry.runners()[0].state, State::Draining);
    assert!(update(&mut registry, &[restored("a", "10.0.0.1:80 9 ready")], GRACE));
    assert_eq!(registry.runners()[0].state, State::Ready, "another incarnation");
}

/// Guards against requests to a runner that has left and whose registration is in a backup. The store
/// removes it again unless the runner is running.
#[tokio::test(start_paused = true)]
async fn removed_runner_is_not_used_because_of_a_backup() {
    let all = [row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")];
    let mut registry = registry(&all);
    update(&mut registry, &[row("a", "")], Duration::ZERO);
    assert!(!update(&mut registry, &[restored("a", "10.0.0.1:80 5 ready")], GRACE));
    assert_eq!(ids(&registry), ["b"]);
    update(&mut registry, &[restored("a", "")], Duration::ZERO);
    advance(Duration::from_secs(10)).await;
    assert!(!registry.remove_expired(Instant::now(), true));
    assert_eq!(ids(&registry), ["b"]);
}

/// Guards against losing a runner for good that had lost its registration for other reasons before
/// the store was restored.
#[tokio::test(start_paused = true)]
async fn removed_runner_that_stays_registered_is_used_again() {
    let value = "10.0.0.1:80 5 ready";
    let mut registry = registry(&[row("a", value), row("b", "10.0.0.2:80 5 ready")]);
    update(&mut registry, &[row("a", "")], Duration::ZERO);
    update(&mut registry, &[restored("a", value)], GRACE);
    advance(Duration::from_secs(6)).await;
    assert!(registry.remove_expired(Instant::now(), true));
    assert_eq!(ids(&registry), ["a", "b"]);
    update(&mut registry, &[restored("a", "")], Duration::ZERO);
    assert!(update(&mut registry, &[restored("a", value)], Duration::ZERO), "registered again");
    assert_eq!(ids(&registry), ["a", "b"]);
}

/// Guards against ignoring valid rows because of an invalid one.
#[tokio::test(start_paused = true)]
async fn invalid_row_affects_no_other_row() {
    let rows = [row("a", "10.0.0.1:80 5 ready"), row("b", "\u{1}"), row("c", "x")];
    let mut registry = registry(&rows);
    assert_eq!(ids(&registry), ["a"]);
    assert!(update(&mut registry, &[row("a", "nonsense")], Duration::ZERO));
    assert!(ids(&registry).is_empty());
}

//! Which runners count, by their entries in the store.

use {
    bilberryfront_decide::member::message::Restart,
    bilberryfront_relay::{
        catalog::Catalog,
        control::registry::RunnerRegistry,
        records::{BadRecord, Records},
        rollouts::{Record, RolloutOrder},
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

    fn catalog(&self, _: &[u8]) -> Result<Catalog, BadRecord> {
        Err(BadRecord("no catalogue here".into()))
    }

    fn registration(&self, id: &str, value: &[u8]) -> Result<Registration, BadRecord> {
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

    fn order(&self, _: &str, _: &[u8]) -> Option<Result<RolloutOrder, BadRecord>> {
        None
    }

    fn parse_status(&self, _: &str, _: &[u8]) -> Option<Result<Record, BadRecord>> {
        None
    }

    fn encode_status(&self, record: &Record) -> (CompactString, Bytes) {
        (record.service.clone(), Bytes::new())
    }
}

fn row(id: &str, value: &str) -> Row {
    let value = (!value.is_empty()).then(|| value.to_owned().into());
    Row { table: "runners".into(), key: id.into(), value, revision: 1 }
}

fn ids(registry: &RunnerRegistry) -> Vec<String> {
    registry.runners().iter().map(|r| r.id.to_string()).collect()
}

fn registry(rows: &[Row]) -> RunnerRegistry {
    let mut registry = RunnerRegistry::default();
    assert!(registry.replace(Instant::now(), rows, &Spelled));
    registry
}

/// A runner dies and its process starts anew at the same address under a new id, while the old entry
/// stays for seconds. Were both used, every send to the old id would be refused, and a copy of a
/// running request's memory, which goes to the address, couldn't be found again.
#[tokio::test(start_paused = true)]
async fn a_runner_born_later_takes_over_the_address() {
    let mut registry =
        registry(&[row("old", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")]);
    let now = Instant::now();
    assert!(registry.update(now, &[row("new", "10.0.0.1:80 9 ready")], &Spelled));
    assert_eq!(ids(&registry), ["b", "new"]);
    // A late report of the old life changes nothing.
    assert!(!registry.update(now, &[row("old", "10.0.0.1:80 5 ready")], &Spelled));
    assert_eq!(ids(&registry), ["b", "new"]);
}

/// The store is away, and entries lapse because runners can't report. Its first answer lacks them,
/// though they are well: they stay for as long as a living runner takes to report, and no longer.
#[tokio::test(start_paused = true)]
async fn entries_that_lapsed_in_an_outage_are_kept_until_runners_could_report() {
    let all = [row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")];
    let mut registry = registry(&all);
    registry.down();
    advance(Duration::from_secs(5)).await;
    registry.up(Instant::now());
    registry.replace(Instant::now(), &[], &Spelled);
    assert_eq!(ids(&registry), ["a", "b"]);
    advance(Duration::from_millis(500)).await;
    registry.update(Instant::now(), &all[..1], &Spelled);
    advance(Duration::from_secs(1)).await;
    assert!(!registry.settle(Instant::now()));
    advance(Duration::from_secs(1)).await;
    assert!(registry.settle(Instant::now()));
    assert_eq!(ids(&registry), ["a"], "who stayed away is gone");
}

/// The store is away, and engines crash and start anew under ids that only the store would tell. What a
/// node finds out by itself counts meanwhile, before what the former life reported; after the store's return
/// the engine must register like any other. While the store is there, it alone tells.
#[tokio::test(start_paused = true)]
async fn a_runner_that_restarts_in_an_outage_keeps_its_place() {
    let restart = |id: &str| Restart { former: "a".into(), id: id.into() };
    let all = [row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")];
    let mut registry = registry(&all);
    assert!(!registry.adopt_restarts(&[restart("a2")]), "the store is there");
    registry.down();
    assert!(registry.adopt_restarts(&[restart("a2")]));
    assert_eq!(ids(&registry), ["a2", "b"]);
    assert_eq!(registry.runners()[0].address, "10.0.0.1:80".parse().unwrap());
    assert!(!registry.adopt_restarts(&[restart("a2")]), "told twice");
    assert!(
        !registry.update(Instant::now(), &all[..1], &Spelled),
        "a late report of the former life"
    );
    registry.up(Instant::now());
    registry.replace(Instant::now(), &all[1..], &Spelled);
    assert_eq!(ids(&registry), ["a2", "b"], "it has time to register");
    advance(Duration::from_secs(3)).await;
    assert!(registry.settle(Instant::now()));
    assert_eq!(ids(&registry), ["b"]);
}

/// Without an outage an entry's removal is a runner's leaving: it gets nothing new from then on.
#[tokio::test(start_paused = true)]
async fn a_removed_entry_counts_at_once() {
    let mut registry =
        registry(&[row("a", "10.0.0.1:80 5 ready"), row("b", "10.0.0.2:80 5 ready")]);
    assert!(registry.update(Instant::now(), &[row("a", "")], &Spelled));
    assert_eq!(ids(&registry), ["b"]);
}

/// Somebody else than a runner writes an entry that can't be read: it names no runner, and the others
/// hold.
#[tokio::test(start_paused = true)]
async fn an_unreadable_entry_hurts_no_other() {
    let rows = [row("a", "10.0.0.1:80 5 ready"), row("b", "\u{1}"), row("c", "x")];
    let mut registry = registry(&rows);
    assert_eq!(ids(&registry), ["a"]);
    assert!(registry.update(Instant::now(), &[row("a", "nonsense")], &Spelled));
    assert!(ids(&registry).is_empty());
}

//! The catalogue in a table service that loses replies, is down, or takes another's commit first.

#[expect(dead_code, reason = "other tests of the catalogue use the rest")]
#[path = "support/table.rs"]
mod table;

use {
    bilberryfront::catalogue::store::{CatalogueRevision, Change, Outcome, Store, StoreError},
    bilberryfront_decide::catalog::{Account, CatalogDoc},
    bilberryfront_wire::table::Commit,
    table::{FakeTable, Fault},
};

fn doc(name: &str) -> CatalogDoc {
    let account = Account { name: name.into(), keys: vec![] };
    CatalogDoc { accounts: vec![account], entries: vec![] }
}

fn change(apply: &str) -> Change {
    Change {
        apply: apply.into(),
        who: "key 2c26b46b".into(),
        when: "2026-12-03T00:00:00Z".parse().unwrap(),
        comment: format!("comment of {apply}"),
    }
}

fn store() -> (FakeTable, Store<FakeTable>) {
    let table = FakeTable::default();
    (table.clone(), Store::new(table))
}

/// The commit that `apply` of another operator would send to an empty table.
async fn first_commit(name: &str) -> Commit {
    let (table, store) = store();
    store.apply(&doc(name), 0, &change(name)).await.unwrap();
    table.commits().remove(0)
}

#[tokio::test(start_paused = true)]
async fn an_empty_table_holds_revision_0() {
    let (_, store) = store();
    assert_eq!(store.get().await, Ok(CatalogueRevision::default()));
    assert_eq!(store.history(10).await, Ok(vec![]));
}

#[tokio::test(start_paused = true)]
async fn revisions_grow_and_keep_who_when_and_why() {
    let (_, store) = store();
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, Ok(Outcome::Applied(1)));
    assert_eq!(store.apply(&doc("b"), 1, &change("two")).await, Ok(Outcome::Applied(2)));
    assert_eq!(store.get().await, Ok(CatalogueRevision { revision: 2, catalogue: doc("b") }));
    assert_eq!(store.revision(1).await.unwrap().catalogue, doc("a"));
    let past = store.history(10).await.unwrap();
    assert_eq!(past.iter().map(|p| p.revision).collect::<Vec<_>>(), [2, 1]);
    assert_eq!(past[0].change, change("two"));
    assert_eq!(store.history(1).await.unwrap(), past[..1]);
}

/// Two operators edit revision 0. The first's change is in force when the second's arrives. Taking
/// the second would silently undo the first, so the second is told of the conflict.
#[tokio::test(start_paused = true)]
async fn a_change_to_an_older_revision_is_a_conflict() {
    let (_, store) = store();
    store.apply(&doc("a"), 0, &change("one")).await.unwrap();
    assert_eq!(store.apply(&doc("b"), 0, &change("two")).await, Ok(Outcome::Conflict(1)));
    assert_eq!(store.apply(&doc("b"), 7, &change("two")).await, Ok(Outcome::Conflict(1)));
    assert_eq!(store.get().await.unwrap().catalogue, doc("a"));
}

/// Two operators apply at two nodes at the same moment. Both nodes read revision 0; the other's
/// commit takes effect between this one's read and its commit, so this one is told of the conflict.
#[tokio::test(start_paused = true)]
async fn of_two_racing_changes_one_is_told_of_the_conflict() {
    let (table, store) = store();
    table.inject_faults([Fault::Race(first_commit("other").await)]);
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, Ok(Outcome::Conflict(1)));
    assert_eq!(store.get().await.unwrap().catalogue, doc("other"));
    assert!(table.commits().iter().all(|commit| commit.atomic));
}

/// The commit takes effect and its reply is lost. The operator must not be told of a failure or a
/// conflict with the own change: the commit is sent again, conflicts, and the log shows its id.
#[tokio::test(start_paused = true)]
async fn a_lost_reply_after_the_effect_is_no_failure() {
    for lost in 1..4 {
        let (table, store) = store();
        let lost_commits = (1..lost).map(|_| Fault::LoseCommit);
        table.inject_faults(lost_commits.chain([Fault::LoseReply]));
        assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, Ok(Outcome::Applied(1)));
        assert_eq!(store.history(10).await.unwrap().len(), 1);
    }
}

/// The commit is lost on its way, and another's takes effect before it is sent again. The log shows
/// the other's id, so this change is a conflict and not accepted.
#[tokio::test(start_paused = true)]
async fn a_lost_commit_overtaken_by_another_is_a_conflict() {
    let (table, store) = store();
    table.inject_faults([Fault::LoseCommit, Fault::Race(first_commit("other").await)]);
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, Ok(Outcome::Conflict(1)));
}

/// The operator's client lost the node's answer and sends the same proposal again, when a third
/// operator has already made the next revision. The change is in the log as accepted, so it is told
/// as accepted and isn't made twice.
#[tokio::test(start_paused = true)]
async fn the_same_change_sent_again_is_told_its_first_outcome() {
    let (table, store) = store();
    store.apply(&doc("a"), 0, &change("one")).await.unwrap();
    store.apply(&doc("b"), 1, &change("two")).await.unwrap();
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, Ok(Outcome::Applied(1)));
    assert_eq!(store.get().await.unwrap().catalogue, doc("b"));
    assert_eq!(table.commits().len(), 2);
}

/// Every reply is lost. Whether the change took effect can't be known, so the operator is told just
/// that and not a failure; the number of sends is bounded.
#[tokio::test(start_paused = true)]
async fn replies_lost_for_good_leave_the_outcome_unknown() {
    let (table, store) = store();
    table.inject_faults([const { Fault::LoseCommit }; 8]);
    let unknown = Err(StoreError::Unknown { apply: "one".into() });
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, unknown);
    assert_eq!(table.commits().len(), 4);
}

/// A reply is lost and then the service goes down. That it is down now says nothing of the first
/// send, so the outcome is unknown and never "nothing was done".
#[tokio::test(start_paused = true)]
async fn an_outage_after_a_lost_reply_leaves_the_outcome_unknown() {
    let (table, store) = store();
    table.inject_faults([Fault::LoseReply, Fault::Down, Fault::Down, Fault::Down]);
    let unknown = Err(StoreError::Unknown { apply: "one".into() });
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, unknown);
    assert_eq!(store.head().await, Ok(1));
}

/// The service is down from the start. Nothing was done, and the operator is told so.
#[tokio::test(start_paused = true)]
async fn an_outage_is_told_and_changes_nothing() {
    let (table, store) = store();
    table.inject_faults([Fault::Down]);
    let outcome = store.apply(&doc("a"), 0, &change("one")).await;
    assert!(matches!(outcome, Err(StoreError::Down(_))), "{outcome:?}");
    table.set_down(true);
    assert!(matches!(store.get().await, Err(StoreError::Down(_))));
    table.set_down(false);
    assert_eq!(store.head().await, Ok(0));
}

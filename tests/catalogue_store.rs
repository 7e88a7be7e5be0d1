//! The catalogue in a table service that loses replies, is down, or applies another commit first.

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

/// Returns the commit that `apply` of another operator would send to an empty table.
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

/// Guards against a change that silently undoes another one. Two operators edit revision 0, and the
/// change of the first is in force when that of the second arrives: the second is a conflict.
#[tokio::test(start_paused = true)]
async fn a_change_to_an_older_revision_is_a_conflict() {
    let (_, store) = store();
    store.apply(&doc("a"), 0, &change("one")).await.unwrap();
    assert_eq!(store.apply(&doc("b"), 0, &change("two")).await, Ok(Outcome::Conflict(1)));
    assert_eq!(store.apply(&doc("b"), 7, &change("two")).await, Ok(Outcome::Conflict(1)));
    assert_eq!(store.get().await.unwrap().catalogue, doc("a"));
}

/// Guards against a lost conflict between two nodes. Both nodes read revision 0, and the commit of
/// the other takes effect between the read and the commit of this one.
#[tokio::test(start_paused = true)]
async fn one_of_two_racing_changes_is_a_conflict() {
    let (table, store) = store();
    table.inject_faults([Fault::Race(first_commit("other").await)]);
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, Ok(Outcome::Conflict(1)));
    assert_eq!(store.get().await.unwrap().catalogue, doc("other"));
    assert!(table.commits().iter().all(|commit| commit.atomic));
}

/// Guards against a change that is reported as failed, or as a conflict with itself, when its
/// commit takes effect and the reply is lost. The commit is sent again, conflicts, and the log
/// contains its apply id.
#[tokio::test(start_paused = true)]
async fn a_lost_reply_after_the_commit_is_not_a_failure() {
    for lost in 1..4 {
        let (table, store) = store();
        let lost_commits = (1..lost).map(|_| Fault::LoseCommit);
        table.inject_faults(lost_commits.chain([Fault::LoseReply]));
        assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, Ok(Outcome::Applied(1)));
        assert_eq!(store.history(10).await.unwrap().len(), 1);
    }
}

/// Guards against a lost commit that is reported as accepted. Another commit takes effect before it
/// is sent again, and the log contains the other apply id, so the change is a conflict.
#[tokio::test(start_paused = true)]
async fn a_lost_commit_after_another_one_is_a_conflict() {
    let (table, store) = store();
    table.inject_faults([Fault::LoseCommit, Fault::Race(first_commit("other").await)]);
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, Ok(Outcome::Conflict(1)));
}

/// Guards against a change that is made twice, or reported as a conflict, when the operator's
/// client lost the response and sends the same proposal again after a third operator has made the
/// next revision. The log contains the change, so it is reported as accepted.
#[tokio::test(start_paused = true)]
async fn a_repeated_change_gets_its_first_outcome() {
    let (table, store) = store();
    store.apply(&doc("a"), 0, &change("one")).await.unwrap();
    store.apply(&doc("b"), 1, &change("two")).await.unwrap();
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, Ok(Outcome::Applied(1)));
    assert_eq!(store.get().await.unwrap().catalogue, doc("b"));
    assert_eq!(table.commits().len(), 2);
}

/// Guards against a failure that is reported while the outcome cannot be known because every reply
/// is lost; the number of attempts is bounded.
#[tokio::test(start_paused = true)]
async fn the_outcome_is_unknown_when_all_replies_are_lost() {
    let (table, store) = store();
    table.inject_faults([const { Fault::LoseCommit }; 8]);
    let unknown = Err(StoreError::Unknown { apply: "one".into() });
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, unknown);
    assert_eq!(table.commits().len(), 4);
}

/// Guards against a wrong "nothing was done" when a reply is lost and the service goes down
/// afterwards: the first attempt may have taken effect, so the outcome is unknown.
#[tokio::test(start_paused = true)]
async fn the_outcome_is_unknown_when_an_outage_follows_a_lost_reply() {
    let (table, store) = store();
    table.inject_faults([Fault::LoseReply, Fault::Down, Fault::Down, Fault::Down]);
    let unknown = Err(StoreError::Unknown { apply: "one".into() });
    assert_eq!(store.apply(&doc("a"), 0, &change("one")).await, unknown);
    assert_eq!(store.head().await, Ok(1));
}

/// Guards against an unknown outcome when the service is down from the start: nothing was done.
#[tokio::test(start_paused = true)]
async fn an_outage_is_reported_and_changes_nothing() {
    let (table, store) = store();
    table.inject_faults([Fault::Down]);
    let outcome = store.apply(&doc("a"), 0, &change("one")).await;
    assert!(matches!(outcome, Err(StoreError::Down(_))), "{outcome:?}");
    table.set_down(true);
    assert!(matches!(store.get().await, Err(StoreError::Down(_))));
    table.set_down(false);
    assert_eq!(store.head().await, Ok(0));
}

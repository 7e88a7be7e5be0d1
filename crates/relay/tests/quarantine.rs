//! Exchange of quarantined requests between nodes.

use {
    bilberryfront_decide::member::message::{CrashReport, RequestId},
    bilberryfront_relay::quarantine::{MAX_CRASHES, MAX_ENTRIES, QUARANTINE_TIME, Quarantine},
    std::time::Duration,
    tokio::time::advance,
};

fn report(request: u128, runners: &[u64]) -> CrashReport {
    CrashReport { id: RequestId { account: 1, request }, runners: runners.to_vec(), age_ms: 0 }
}

/// Guards against counting one crash several times because several nodes report it, and against
/// crashes at several nodes that are not added up.
#[tokio::test(start_paused = true)]
async fn crashes_are_added_up_over_all_nodes_once_each() {
    let quarantine = Quarantine::default();
    for _ in 0..MAX_CRASHES {
        quarantine.apply(&[report(1, &[7])]);
    }
    assert!(quarantine.is_empty());
    quarantine.apply(&[report(1, &[8, 7]), report(2, &[9])]);
    assert!(quarantine.is_empty());
    quarantine.apply(&[report(1, &[9])]);
    assert_eq!(quarantine.len(), 1);
    assert_eq!(quarantine.snapshot()[0].runners, [7, 8, 9]);
}

/// Guards against nodes that send the same report to each other for ever, and against crashes that only
/// one of them knows.
#[tokio::test(start_paused = true)]
async fn only_crashes_that_peers_do_not_know_are_reported() {
    let quarantine = Quarantine::default();
    quarantine.apply(&[report(1, &[7]), report(2, &[7, 8, 9])]);
    assert_eq!(quarantine.take_update(), []);
    quarantine.apply(&[report(1, &[8])]);
    assert_eq!(quarantine.take_update(), [report(1, &[7, 8])]);
    quarantine.apply(&[report(1, &[7, 8])]);
    assert_eq!(quarantine.take_update(), []);
    quarantine.apply(&[report(2, &[])]);
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.take_update(), []);
}

/// Guards against callers that fill the memory of a node, or evict quarantined requests, by varying
/// their requests.
#[tokio::test(start_paused = true)]
async fn number_of_entries_is_bounded_and_quarantined_requests_stay() {
    let quarantine = Quarantine::default();
    quarantine.apply(&[report(0, &[7, 8, 9])]);
    for request in 1..=4 * MAX_ENTRIES as u128 {
        quarantine.apply(&[report(request, &[7, 8])]);
    }
    assert!(quarantine.take_update().len() <= MAX_ENTRIES);
    assert_eq!(quarantine.snapshot(), [report(0, &[7, 8, 9])]);
    for request in 1..=4 * MAX_ENTRIES as u128 {
        quarantine.apply(&[report(request, &[7, 8, 9])]);
    }
    assert_eq!(quarantine.len(), MAX_ENTRIES);
}

/// Guards against a quarantine that a late report of old crashes renews, and against one that a new
/// crash after its end does not renew.
#[tokio::test(start_paused = true)]
async fn only_new_crashes_renew_a_quarantine() {
    let quarantine = Quarantine::default();
    quarantine.apply(&[report(1, &[7, 8, 9])]);
    advance(QUARANTINE_TIME.mul_f64(1.25)).await;
    assert!(quarantine.is_empty());
    let age = QUARANTINE_TIME.mul_f64(1.25) + Duration::from_secs(1);
    let late = CrashReport { age_ms: age.as_millis() as u32, ..report(1, &[5, 6]) };
    quarantine.apply(&[late]);
    assert!(quarantine.is_empty());
    quarantine.apply(&[report(1, &[10])]);
    assert_eq!(quarantine.len(), 1);
}

/// Guards against a quarantine that never ends, and reports without end, because nodes that know different
/// crashes of a request renew it with each other's reports.
#[tokio::test(start_paused = true)]
async fn reports_of_known_crashes_do_not_renew_a_quarantine() {
    let nodes = [Quarantine::default(), Quarantine::default()];
    nodes[0].apply(&[report(1, &[6, 7, 8])]);
    nodes[1].apply(&[report(1, &[7, 8, 9])]);
    for _ in 0..60 {
        let snapshots = nodes.each_ref().map(Quarantine::snapshot);
        // Time that the reports take.
        advance(Duration::from_millis(20)).await;
        nodes[0].apply(&snapshots[1]);
        nodes[1].apply(&snapshots[0]);
        advance(Duration::from_secs(1)).await;
    }
    for node in &nodes {
        assert_eq!(node.take_update(), []);
        let age = node.snapshot()[0].age_ms;
        assert!(age > 60_000, "{age} ms since the last crash");
    }
}

//! End-to-end tests of the relay program while the store is restored from a backup: it loses its last
//! transactions and assigns their revisions again.

#[path = "relay/process.rs"]
#[allow(dead_code, reason = "shared with other tests")]
mod process;
#[path = "relay/support.rs"]
#[allow(dead_code, reason = "shared with the in-memory tests")]
mod support;

use {
    bilberryfront_standins::feed_store::Backup,
    process::{Instance, Platform, wait_until},
    std::time::Duration,
    support::{ms, run_local},
    tokio::time::sleep,
};

/// Time within which an accepted catalogue must be in force at all instances.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Instances that have applied catalogue 7, of which the backup has only version 5.
struct Deployment {
    platform: Platform,
    instances: [Instance; 2],
    backup: Backup,
}

impl Deployment {
    async fn new() -> Deployment {
        let platform = Platform::new().await;
        platform.put_catalog(5, &["k1", "k2"]);
        let backup = platform.store.back_up();
        let instances = [platform.start("n1"), platform.start("n2")];
        wait_until("both are ready", async || {
            instances[0].ready().await && instances[1].ready().await
        })
        .await;
        platform.put_catalog(6, &["k1", "k2", "k6"]);
        platform.put_catalog(7, &["k1", "k2", "k7"]);
        let deployment = Deployment { platform, instances, backup };
        deployment.wait_until_status("version 7 is in force", "k7", 200).await;
        deployment
    }

    /// Restores the store and repeats the lost write of the operators.
    fn restore_store(&self) {
        self.platform.store.restore(&self.backup);
        self.platform.put_catalog(7, &["k1", "k2", "k7"]);
    }

    /// Waits until all instances respond with a status to a call with a key.
    async fn wait_until_status(&self, what: &str, key: &str, status: u16) -> Duration {
        wait_until(what, async || {
            let mut all = true;
            for instance in &self.instances {
                all &= instance.post("/lodge/1", key).await.unwrap().status == status;
            }
            all
        })
        .await
    }
}

/// Guards against a catalogue that is read seconds late: the poll of its table began before the
/// restoration and gets no response, while polls of other tables show that the store was restored.
#[tokio::test]
async fn a_key_is_revoked_although_a_poll_from_before_the_restoration_is_pending() {
    run_local(async {
        let deployment = Deployment::new().await;
        deployment.platform.store.restore_silently(&deployment.backup);
        deployment.platform.put_catalog(8, &["k1", "k7"]);
        let elapsed = deployment.wait_until_status("k2 is revoked", "k2", 401).await;
        assert!(elapsed < APPLY_TIME, "revoked after {elapsed:?}");
    })
    .await;
}

/// Table of the instances' registrations and their certificate authority.
const NODES: &str = "bilberryfront";

/// Guards against instances that cannot find or trust each other: the backup is older than their
/// registrations and their certificate authority.
#[tokio::test]
async fn registrations_and_authority_are_written_again() {
    run_local(async {
        let platform = Platform::new().await;
        let backup = platform.store.back_up();
        let instances = [platform.start("n1"), platform.start("n2")];
        wait_until("both resolve both", async || {
            instances[0].resolve().await.len() == 2 && instances[1].resolve().await.len() == 2
        })
        .await;
        let keys = ["authority", "node/n1", "node/n2"];
        let rows = || keys.map(|key| platform.store.value(NODES, key));
        let before = rows();
        assert!(before.iter().all(Option::is_some), "{before:?}");
        platform.store.restore(&backup);
        assert_eq!(rows(), [const { None }; 3]);
        let late = platform.start("n3");
        wait_until("the rows are back", async || rows() == before).await;
        wait_until("a new instance joins", async || late.resolve().await.len() == 3).await;
    })
    .await;
}

/// Load: the store loses the rows of all instances of a failure domain. Two calls write them again.
#[tokio::test]
async fn missing_rows_are_written_with_few_calls() {
    /// Longer than the time after which the second reader checks the rows.
    const CHECK_TIME: Duration = Duration::from_secs(5);
    run_local(async {
        let platform = Platform::new().await;
        let backup = platform.store.back_up();
        let instances: Vec<Instance> =
            (0..8).map(|index| platform.start(&format!("n{index}"))).collect();
        wait_until("each instance resolves all", async || {
            let mut all = true;
            for instance in &instances {
                all &= instance.resolve().await.len() == instances.len();
            }
            all
        })
        .await;
        sleep(ms(2_500)).await;
        let before = platform.store.transaction_count();
        platform.store.restore(&backup);
        sleep(CHECK_TIME).await;
        assert_eq!(platform.store.transaction_count() - before, 2, "transactions");
        assert!(platform.store.value(NODES, "node/n7").is_some());
    })
    .await;
}

/// Guards against a split of the system: an instance that starts after a restoration has created another
/// certificate authority.
#[tokio::test]
async fn older_authority_replaces_a_newer_one() {
    run_local(async {
        let platform = Platform::new().await;
        let backup = platform.store.back_up();
        let instance = platform.start("n1");
        wait_until("the instance is ready", async || instance.ready().await).await;
        let authority = platform.store.value(NODES, "authority");
        let other = Platform::new().await;
        let newer = other.start("n2");
        wait_until("the other instance is ready", async || newer.ready().await).await;
        platform.store.restore(&backup);
        platform.store.put(NODES, "authority", other.store.value(NODES, "authority"));
        wait_until("the authority is back", async || {
            platform.store.value(NODES, "authority") == authority
        })
        .await;
    })
    .await;
}

/// Guards against a revoked key that stays valid: the catalogue that revokes it has a revision that
/// the store assigned to another catalogue before it was restored.
#[tokio::test]
async fn a_key_is_revoked_at_a_revision_that_was_assigned_before_the_restoration() {
    run_local(async {
        let deployment = Deployment::new().await;
        deployment.restore_store();
        // The instances poll the restored store and read the whole table.
        sleep(ms(1_500)).await;
        deployment.platform.put_catalog(8, &["k1", "k7"]);
        let elapsed = deployment.wait_until_status("k2 is revoked", "k2", 401).await;
        assert!(elapsed < APPLY_TIME, "revoked after {elapsed:?}");
    })
    .await;
}

/// Guards against a catalogue that is never read: other writes have raised the revision of the
/// restored store above the one from which the instances continue, so that no poll fails.
#[tokio::test]
async fn a_key_is_revoked_although_the_restored_store_has_caught_up() {
    run_local(async {
        let deployment = Deployment::new().await;
        deployment.platform.reject_store_requests(true);
        deployment.restore_store();
        deployment.platform.put_catalog(8, &["k1", "k7"]);
        for index in 0..9 {
            deployment.platform.put("other", &index.to_string(), &index.into());
        }
        // The instances notice the outage.
        sleep(ms(500)).await;
        deployment.platform.reject_store_requests(false);
        let elapsed = deployment.wait_until_status("k2 is revoked", "k2", 401).await;
        assert!(elapsed < APPLY_TIME, "revoked after {elapsed:?}");
    })
    .await;
}

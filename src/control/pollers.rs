//! Tasks on the control thread that poll the platform and the runners.

use {
    super::Control,
    crate::{
        catalogue::store::{self, CatalogueRevision, Store},
        platform::{http::Service, instances, table::Table},
    },
    bilberryfront_decide::{Event, id::RunnerKey},
    bilberryfront_wire::{
        instance::{Instance, InstanceList},
        runner::LoadReport,
    },
    compact_str::CompactString,
    futures_util::{StreamExt, stream},
    rand::Rng,
    rustc_hash::FxHashMap,
    std::{cmp::Ordering, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Interval between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between two reads of the catalogue's latest revision number.
const CATALOG_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause between two polls of all load reports.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time to wait for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of concurrent requests for load reports.
const LOAD_CONCURRENCY: usize = 16;
/// Maximum size of a load report, in bytes. Without it runners with endless responses, of which 16
/// are read concurrently, would exhaust the process's memory.
const MAX_LOAD_BYTES: usize = 1 << 20;

/// Polls the instance list continuously and sends it to the core and the membership.
pub async fn poll_instances(
    control: Control,
    lists: watch::Sender<Option<InstanceList>>,
    service: Service,
) {
    loop {
        if let Ok(list) = instances::read(&service).await {
            control.send(Event::Instances(list.clone()));
            lists.send_replace(Some(list));
        }
        sleep(jittered(LIST_INTERVAL)).await;
    }
}

/// Polls the catalogue's revision number continuously. Reads the catalogue when it increased, and
/// writes it again when it decreased.
pub async fn poll_catalog<T: Table>(control: Control, store: Store<T>) {
    loop {
        // While the table service does not respond, the catalogue stays as it is.
        _ = follow_catalog(&control, &store).await;
        sleep(jittered(CATALOG_INTERVAL)).await;
    }
}

async fn follow_catalog<T: Table>(control: &Control, store: &Store<T>) -> store::Result<()> {
    let head = store.head().await?;
    let catalog = control.view().catalog.clone();
    match head.cmp(&catalog.revision) {
        Ordering::Greater => control.apply_catalog(store.revision(head).await?),
        Ordering::Equal => {}
        Ordering::Less => {
            log::warn!(
                "the table service has lost catalogue revision {}: writing it again",
                catalog.revision
            );
            let catalogue = catalog.doc();
            let lost = CatalogueRevision { revision: catalog.revision, catalogue };
            store.write_again(&lost).await?;
        }
    }
    Ok(())
}

/// Polls the load report of every runner continuously.
pub async fn poll_loads(control: Control) {
    let mut clients = FxHashMap::default();
    loop {
        clients = update_clients(clients, &control.view().runners);
        stream::iter(&clients)
            .for_each_concurrent(LOAD_CONCURRENCY, |(key, runner)| {
                poll_load(&control, *key, runner)
            })
            .await;
        sleep(jittered(LOAD_INTERVAL)).await;
    }
}

/// Client for the load reports of a runner. It is kept between polls with its connection: creating
/// both again costs three times as much as the report.
struct LoadClient {
    url: CompactString,
    service: Service,
}

/// Returns clients for the given runners; existing clients are reused with their connections.
fn update_clients(
    mut old: FxHashMap<RunnerKey, LoadClient>,
    runners: &[(RunnerKey, Instance)],
) -> FxHashMap<RunnerKey, LoadClient> {
    let client = |(key, instance): &(RunnerKey, Instance)| {
        let kept = old.remove(key).filter(|c| c.url == instance.url);
        let url = &instance.url;
        let new = || LoadClient {
            url: url.clone(),
            service: Service::new(url.clone(), LOAD_TIMEOUT).with_response_limit(MAX_LOAD_BYTES),
        };
        (*key, kept.unwrap_or_else(new))
    };
    runners.iter().map(client).collect()
}

async fn poll_load(control: &Control, runner: RunnerKey, client: &LoadClient) {
    let event = match client.service.get::<LoadReport>("/load").await {
        Ok(report) => Event::Load { runner, report },
        Err(_) => Event::LoadMissing { runner },
    };
    control.send(event);
}

/// Returns 0.8 to 1.2 times the interval at random, so that nodes that started together don't all
/// poll the platform at the same time.
fn jittered(every: Duration) -> Duration {
    every.mul_f64(rand::rng().random_range(0.8..1.2))
}

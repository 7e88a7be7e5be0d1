//! Tasks on the control thread that read the platform and the runners at intervals.

use {
    super::Control,
    crate::{
        catalogue::store::{CatalogueRevision, Store},
        platform::{http::Service, instances, table::Table},
    },
    bilberryfront_decide::{
        Event,
        id::{Revision, RunnerKey},
    },
    bilberryfront_wire::{
        instance::{Instance, InstanceList},
        runner::LoadReport,
    },
    compact_str::CompactString,
    futures_util::{StreamExt, stream},
    rand::Rng,
    rustc_hash::FxHashMap,
    std::time::Duration,
    tokio::{sync::watch, time::sleep},
};

/// Time between two reads of the instance list.
const LIST_EVERY: Duration = Duration::from_millis(1_000);
/// Time between two reads of the catalogue's head.
const CATALOG_EVERY: Duration = Duration::from_millis(1_000);
/// Time between two rounds of load reports.
const LOAD_EVERY: Duration = Duration::from_millis(500);
/// Longest wait for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Load reports asked for at the same time.
const LOAD_PARALLEL: usize = 16;
/// Most bytes of a load report. A runner that answers without end would fill the control thread's
/// memory, sixteen of them at a time.
const LOAD_BYTES: usize = 1 << 20;

/// Reads the instance list for ever, for the core and for the membership.
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
        sleep(jittered(LIST_EVERY)).await;
    }
}

/// Reads the catalogue's number for ever, and the catalogue when it has grown.
pub async fn poll_catalog<T: Table>(control: Control, store: Store<T>) {
    loop {
        let known = control.view().catalog.revision;
        if let Some(numbered) = newer(&store, known).await {
            control.apply_catalog(numbered);
        }
        sleep(jittered(CATALOG_EVERY)).await;
    }
}

/// Asks every runner for its load, for ever.
pub async fn poll_loads(control: Control) {
    let mut polled = FxHashMap::default();
    loop {
        polled = renew(polled, &control.view().runners);
        stream::iter(&polled)
            .for_each_concurrent(LOAD_PARALLEL, |(key, runner)| report(&control, *key, runner))
            .await;
        sleep(jittered(LOAD_EVERY)).await;
    }
}

/// A runner's face for load reports. It is kept from round to round with its connection: making
/// both anew costs three times the report.
struct Polled {
    url: CompactString,
    service: Service,
}

/// Faces of the runners now watched; those that stay keep their connections.
fn renew(
    mut old: FxHashMap<RunnerKey, Polled>,
    runners: &[(RunnerKey, Instance)],
) -> FxHashMap<RunnerKey, Polled> {
    let polled = |(key, instance): &(RunnerKey, Instance)| {
        let kept = old.remove(key).filter(|p| p.url == instance.url);
        let url = &instance.url;
        let new = || Polled {
            url: url.clone(),
            service: Service::new(url.clone(), LOAD_TIMEOUT).with_response_limit(LOAD_BYTES),
        };
        (*key, kept.unwrap_or_else(new))
    };
    runners.iter().map(polled).collect()
}

async fn report(control: &Control, runner: RunnerKey, polled: &Polled) {
    let event = match polled.service.get::<LoadReport>("/load").await {
        Ok(report) => Event::Load { runner, report },
        Err(_) => Event::Silent { runner },
    };
    control.send(event);
}

async fn newer<T: Table>(store: &Store<T>, known: Revision) -> Option<CatalogueRevision> {
    let head = store.head().await.ok()?;
    if head <= known {
        return None;
    }
    store.revision(head).await.ok()
}

/// Spreads nodes that started together, which would otherwise all read the platform at once.
fn jittered(every: Duration) -> Duration {
    every.mul_f64(rand::rng().random_range(0.8..1.2))
}

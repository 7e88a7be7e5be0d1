//! The platform's instance list, which readers see with a delay.

use {
    crate::{
        fault_injector::FaultInjector,
        lagged::Lagged,
        server::{Handle, json, parse_json, with_faults},
    },
    bilberryfront_wire::instance::{Instance, InstanceList, InstanceState},
    bytes::Bytes,
    http::StatusCode,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::Instant,
    volo_http::{
        response::Response,
        server::{
            IntoResponse,
            param::PathParams,
            route::{Router, get, post},
        },
        utils::Extension,
    },
};

/// A stand-in for the instance list.
pub struct List {
    faults: Arc<FaultInjector>,
    instances: Mutex<Lagged<InstanceList>>,
}

/// A change of the list.
enum Change {
    Upsert(Instance),
    Leave,
    Remove,
}

impl List {
    /// Starts an empty list that readers see with a delay of `lag`.
    pub async fn start(listen: SocketAddr, lag: Duration) -> io::Result<Handle> {
        let faults = Arc::new(FaultInjector::default());
        let empty = InstanceList { revision: 0, instances: Vec::new() };
        let instances = Mutex::new(Lagged::new(lag, Instant::now(), empty));
        let list = Arc::new(List { faults: Arc::clone(&faults), instances });
        let router = Router::new()
            .route("/instances", get(show))
            .route("/instances/{name}", post(upsert).delete(remove))
            .route("/instances/{name}/leave", post(leave))
            .layer(Extension(list));
        Handle::start(listen, router, faults)
    }

    fn visible(&self) -> InstanceList {
        self.lock().visible(self.faults.clock()).clone()
    }

    fn change(&self, name: &str, change: Change) -> Response {
        let mut lagged = self.lock();
        let mut list = lagged.newest().clone();
        let Some(instances) = apply(list.instances, name, change) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        list.instances = instances;
        list.revision += 1;
        lagged.set(self.faults.clock(), list);
        StatusCode::NO_CONTENT.into_response()
    }

    fn lock(&self) -> MutexGuard<'_, Lagged<InstanceList>> {
        self.instances.lock().expect("no holder of this lock panics")
    }
}

/// Returns the instances after a change; `None` if there is no instance of this name to change.
fn apply(mut instances: Vec<Instance>, name: &str, change: Change) -> Option<Vec<Instance>> {
    let position = instances.iter().position(|instance| instance.name == name);
    match (change, position) {
        (Change::Upsert(instance), Some(at)) => instances[at] = instance,
        (Change::Upsert(instance), None) => instances.push(instance),
        (Change::Leave, Some(at)) => instances[at].state = InstanceState::Leaving,
        (Change::Remove, Some(at)) => drop(instances.remove(at)),
        (Change::Leave | Change::Remove, None) => return None,
    }
    Some(instances)
}

async fn show(Extension(list): Extension<Arc<List>>) -> Response {
    with_faults(&list.faults, "/instances", || json(&list.visible())).await
}

async fn upsert(
    Extension(list): Extension<Arc<List>>,
    PathParams(name): PathParams<String>,
    body: Bytes,
) -> Response {
    parse_json(&body, |instance: Instance| match instance.name == name {
        true => list.change(&name, Change::Upsert(instance)),
        false => (StatusCode::BAD_REQUEST, "the names differ").into_response(),
    })
}

async fn remove(
    Extension(list): Extension<Arc<List>>,
    PathParams(name): PathParams<String>,
) -> Response {
    list.change(&name, Change::Remove)
}

async fn leave(
    Extension(list): Extension<Arc<List>>,
    PathParams(name): PathParams<String>,
) -> Response {
    list.change(&name, Change::Leave)
}

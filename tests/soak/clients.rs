//! Clients that keep connections, some of which retry at once.

use {
    super::{record::Attempt, runner::text, world::World},
    bytes::Bytes,
    http::Request,
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        net::TcpStream,
        time::{Instant, sleep, timeout, timeout_at},
    },
};

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A stream that may be resumed.
    Resumable,
    /// A stream that runs once at most.
    Stream,
    /// A call that runs once at most.
    Call,
    /// A call that may run more than once.
    Lookup,
}

impl Kind {
    /// Returns whether a request may run once at most.
    pub(crate) fn runs_once(self) -> bool {
        matches!(self, Kind::Stream | Kind::Call)
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Kind::Resumable | Kind::Stream)
    }
}

/// A route, with the requests that clients send on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    /// Requests per second.
    rate: f64,
    /// Runners to which an attempt may be sent.
    attempts: usize,
}

pub(crate) const ROUTES: [Route; 6] = [
    Route { name: "stream", kind: Kind::Resumable, rate: 5.0, attempts: 5 },
    Route { name: "report", kind: Kind::Resumable, rate: 4.0, attempts: 5 },
    Route { name: "fixed", kind: Kind::Stream, rate: 1.0, attempts: 1 },
    Route { name: "lodge", kind: Kind::Call, rate: 12.0, attempts: 1 },
    Route { name: "pay", kind: Kind::Call, rate: 6.0, attempts: 1 },
    Route { name: "look", kind: Kind::Lookup, rate: 17.0, attempts: 2 },
];

impl Route {
    /// Returns the bytes by which a request is longer: one in three requests of two routes is a long upload, and a few
    /// of these exceed the kernel's buffers.
    fn padding(&self, id: &str) -> usize {
        let number = usize::from_str_radix(&id[1..], 16).expect("the id of a request");
        match matches!(self.name, "report" | "pay") {
            true if number.is_multiple_of(24) => 6_000_000,
            true if number.is_multiple_of(3) => 110_000 + number * 7_919 % 890_000,
            _ => 0,
        }
    }

    pub(crate) fn prefix(&self) -> String {
        format!("/{}/", self.name)
    }

    /// Returns the most runners to which an attempt may be sent.
    pub(crate) fn attempts(&self) -> usize {
        self.attempts
    }

    /// Returns its entry of the catalogue, without its services.
    pub(crate) fn entry(&self) -> serde_json::Value {
        let (kind, timeout, objective) = match self.kind {
            Kind::Resumable | Kind::Stream => ("streaming", 25_000, 4_500),
            Kind::Call => ("non_idempotent", 1_200, 150),
            Kind::Lookup => ("idempotent", 1_200, 150),
        };
        serde_json::json!({"name": self.name, "host": HOST, "prefix": self.prefix(), "kind": kind,
            "timeout_ms": timeout, "target_latency_ms": objective, "target_gap_ms": 700,
            "priority": 1, "max_attempts": self.attempts(), "sticky": self.kind.is_stream(),
            "resumable": self.kind == Kind::Resumable})
    }
}

const HOST: &str = "desk.example";
/// Share of the requests that are sent on a kept connection if there is one.
const KEPT_SHARE: f64 = 0.8;
/// Share of the clients that retry at once, and more often.
const HASTY_SHARE: f64 = 0.2;
const HASTY_RETRIES: usize = 4;
/// Share of the requests with a key that no catalogue holds.
const UNKNOWN_KEY_SHARE: f64 = 0.02;

type Sender = SendRequest<Full<Bytes>>;

/// All clients.
pub(crate) struct Clients {
    world: Rc<World>,
    /// Kept connections, with the position of their instance.
    idle: RefCell<Vec<(usize, Sender)>>,
    rng: RefCell<SmallRng>,
}

impl Clients {
    pub(crate) fn new(world: Rc<World>, seed: u64) -> Rc<Clients> {
        let rng = RefCell::new(SmallRng::seed_from_u64(seed));
        Rc::new(Clients { world, idle: RefCell::default(), rng })
    }

    /// Sends the requests of a route at its rate.
    pub(crate) async fn load(self: Rc<Clients>, route: Route) {
        loop {
            let pause = -self.random(|rng| rng.random::<f64>()).max(1e-9).ln() / route.rate;
            sleep(Duration::from_secs_f64(pause)).await;
            tokio::task::spawn_local(self.clone().request(route));
        }
    }

    fn random<T>(&self, pick: impl FnOnce(&mut SmallRng) -> T) -> T {
        pick(&mut self.rng.borrow_mut())
    }

    /// Sends a request and its retries.
    async fn request(self: Rc<Clients>, route: Route) {
        let is_hasty = self.random(|rng| rng.random_bool(HASTY_SHARE));
        let key = match self.random(|rng| rng.random_bool(UNKNOWN_KEY_SHARE)) {
            true => "never-1".to_owned(),
            false => self.random(|rng| self.world.keys.borrow().choose(rng).unwrap().clone()),
        };
        let time = if route.kind.is_stream() { 25_000 } else { 2_500 };
        let deadline = Instant::now() + Duration::from_millis(time);
        let mut after = 0;
        for retry in 0..if is_hasty { HASTY_RETRIES } else { 2 } {
            let id = self.world.registry.record.next_id("q");
            let wait = self.attempt(&id, route, &key, after, deadline, retry > 0).await;
            match self.world.registry.record.next_position(&id) {
                Some(None) => return,
                Some(Some(position)) => after = position,
                // No instance has accepted a connection.
                None => {}
            }
            let wait = if is_hasty { Duration::ZERO } else { wait };
            if Instant::now() + wait >= deadline {
                return;
            }
            sleep(wait).await;
        }
    }

    /// Sends one attempt and reads its response; returns `Retry-After`.
    async fn attempt(
        &self,
        id: &str,
        route: Route,
        key: &str,
        after: u64,
        deadline: Instant,
        is_retry: bool,
    ) -> Duration {
        let wait = Duration::from_millis(100);
        let Some((index, mut sender)) = self.connect(is_retry).await else { return wait };
        let path = format!("/{}/{id}", route.name);
        let padding = " ".repeat(route.padding(id));
        let body = Bytes::from(format!("{{\"n\":\"{id}\"}}{padding}"));
        let record = &self.world.registry.record;
        let attempt = Attempt {
            route,
            path: path.clone(),
            body: body.clone(),
            key: key.to_owned(),
            instance: self.world.instances[index].name.clone(),
            after,
            at: Instant::now(),
            left: deadline - Instant::now(),
            end: None,
            status: None,
            text: String::new(),
            complete: false,
            closes: false,
            stamp: None,
        };
        record.attempts.borrow_mut().insert(id.to_owned(), attempt);
        let left = record.attempts.borrow()[id].left;
        let request = Request::post(path)
            .header("host", HOST)
            .header("x-bilberryfront-attempt-id", id)
            .header("x-bilberryfront-deadline-ms", left.as_millis().to_string())
            .header("authorization", format!("Bearer {key}"));
        let request = match route.kind.is_stream() {
            true => request
                .header("x-bilberryfront-model", "m")
                .header("x-bilberryfront-token-counts", "5200,650")
                .header("x-bilberryfront-prompt-prefix", format!("a1:200,{}:5000", &id[1..])),
            false => request,
        };
        let request = match after {
            0 => request,
            after => request.header("last-event-id", after),
        };
        let change = |change: &mut dyn FnMut(&mut Attempt)| {
            change(record.attempts.borrow_mut().get_mut(id).expect("it was added"));
        };
        let request = request.body(Full::from(body)).expect("a valid request");
        let mut retry_after = wait;
        let exchange = async {
            let response = match sender.send_request(request).await {
                Ok(response) => response,
                Err(error) => {
                    change(&mut |attempt| attempt.status = error.is_parse().then_some(0));
                    return false;
                }
            };
            let (parts, mut body) = response.into_parts();
            if let Some(seconds) = text(&parts.headers, "retry-after").and_then(|v| v.parse().ok())
            {
                retry_after = Duration::from_secs_f64(seconds);
            }
            let framing = ["content-length", "transfer-encoding"];
            change(&mut |attempt| {
                attempt.status = Some(parts.status.as_u16());
                attempt.closes = !framing.iter().any(|name| parts.headers.contains_key(*name));
                attempt.stamp = text(&parts.headers, "x-bilberryfront-server-stamp");
            });
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else { return false };
                let data = frame.into_data().unwrap_or_default();
                change(&mut |attempt| attempt.text.push_str(&String::from_utf8_lossy(&data)));
            }
            true
        };
        let complete = timeout_at(deadline, exchange).await.unwrap_or(false);
        change(&mut |attempt| {
            attempt.complete = complete;
            attempt.end = Some(Instant::now());
        });
        if complete {
            self.idle.borrow_mut().push((index, sender));
        }
        retry_after
    }

    /// Takes a kept connection, also to an instance that stops, or opens one; retries always open one.
    async fn connect(&self, is_retry: bool) -> Option<(usize, Sender)> {
        let is_kept = !is_retry && self.random(|rng| rng.random_bool(KEPT_SHARE));
        while let Some((index, mut sender)) = self.take_idle().filter(|_| is_kept) {
            if sender.ready().await.is_ok() {
                return Some((index, sender));
            }
        }
        let listed = self.world.listed.borrow().clone();
        for _ in 0..3 {
            let index = *self.random(|rng| listed.choose(rng).copied()).as_ref()?;
            let address = self.world.instances[index].listen.callers;
            let connect = timeout(Duration::from_secs(1), TcpStream::connect(address));
            let Ok(Ok(stream)) = connect.await else { continue };
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::task::spawn_local(connection);
            return Some((index, sender));
        }
        None
    }

    fn take_idle(&self) -> Option<(usize, Sender)> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(_, sender)| !sender.is_closed());
        let count = idle.len();
        (count > 0).then(|| idle.swap_remove(self.random(|rng| rng.random_range(0..count))))
    }
}

//! Runners that corrupt their first response, or those to control requests.

use {
    super::{
        case::{Case, End, Request, SOUND, SOUND_STREAM, field},
        process::{Platform, wait_until},
        support::ms,
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    bilberryfront_standins::feed_store::FeedStore,
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        io,
        net::SocketAddr,
        ops::Range,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Failure domains of the runners.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Longest wait of a runner to be asked for its state.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Time between the events of a stream whose runner waits to be asked for a replica.
const EVENT_GAP: Duration = ms(50);
/// Handle in corrupted responses to control requests.
pub(crate) const CORRUPTED_HANDLE: &str = "corrupted";
/// Body of a sound response to a call.
const CALL_BODY: &str = "the first part of the response, and the second part";
/// Events of a whole stream.
const LAST_EVENT: u64 = 150;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    Idempotent,
    Once,
    Resumable,
    OnceStream,
}

pub(crate) const KINDS: [Kind; 4] =
    [Kind::Idempotent, Kind::Once, Kind::Resumable, Kind::OnceStream];

impl Kind {
    /// Returns the kind of a request on one of the routes.
    fn of(path: &str) -> Kind {
        KINDS.into_iter().find(|kind| path[1..].starts_with(kind.route().0)).unwrap()
    }

    /// Returns the beginning of the routes' names, the kind that they state, and whether their streams may be
    /// resumed.
    pub(crate) fn route(self) -> (&'static str, &'static str, bool) {
        match self {
            Kind::Idempotent => ("look", "idempotent", false),
            Kind::Once => ("lodge", "non_idempotent", false),
            Kind::Resumable => ("stream", "streaming", true),
            Kind::OnceStream => ("fixed", "streaming", false),
        }
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Kind::Resumable | Kind::OnceStream)
    }

    /// Returns whether the request may run twice.
    pub(crate) fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Resumable)
    }

    /// Returns the body of the whole response, after an event of a stream.
    pub(crate) fn body(self, after: u64) -> String {
        if self.is_stream() { events(after + 1..LAST_EVENT + 1) } else { CALL_BODY.into() }
    }

    /// Returns the part of the body that the first runner sends.
    fn part(self, after: u64) -> String {
        if self.is_stream() { events(after + 1..after + 3) } else { CALL_BODY[..18].into() }
    }
}

fn events(ids: Range<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect()
}

/// Registration of a runner.
struct Registration {
    service: String,
    domain: &'static str,
    address: SocketAddr,
}

impl Registration {
    fn put(&self, store: &FeedStore, state: &str) {
        let Registration { service, domain, address } = self;
        let text = json!({"service": service, "address": address, "zone": domain, "version": "v1",
            "slots": 8, "state": state, "seq": 1, "born": 1});
        let value = STANDARD.encode(text.to_string());
        store.put("servers", &format!("{service}-{domain}"), Some(value));
    }
}

/// The runners of a service. The first one that gets a request corrupts its response, the others do not.
pub(crate) struct Runners {
    /// Response to the first request.
    first: Case,
    /// Response to control requests; sound if there is none.
    control: Option<Case>,
    store: FeedStore,
    registrations: Vec<Registration>,
    /// Heads of the requests received, without control requests.
    pub(crate) received: RefCell<Vec<String>>,
    /// Paths of the control requests.
    pub(crate) controls: RefCell<BTreeSet<String>>,
    /// Whether a request has followed a corrupted response on its connection.
    pub(crate) is_reused: Cell<bool>,
}

impl Runners {
    pub(crate) async fn start(
        platform: &Platform,
        service: &str,
        first: Case,
        control: Option<Case>,
    ) -> Rc<Runners> {
        let mut listeners = Vec::new();
        // The third one becomes the holder of a replica.
        let count = if control.is_some() { 3 } else { 2 };
        for &domain in &DOMAINS[..count] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (service, address) = (service.to_owned(), listener.local_addr().unwrap());
            listeners.push((listener, Registration { service, domain, address }));
        }
        let (listeners, registrations): (Vec<_>, Vec<_>) = listeners.into_iter().unzip();
        registrations.iter().for_each(|registration| registration.put(&platform.store, "ready"));
        let (store, received) = (platform.store.clone(), RefCell::default());
        let (controls, is_reused) = (RefCell::default(), Cell::default());
        let runners = Rc::new(Runners {
            first,
            control,
            store,
            registrations,
            received,
            controls,
            is_reused,
        });
        for listener in listeners {
            let runners = runners.clone();
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let runners = runners.clone();
                    // Ends with the connection.
                    tokio::task::spawn_local(async move { runners.serve(stream).await });
                }
            });
        }
        runners
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        while let Some(request) = Request::read(&mut stream).await {
            let (case, goes_on) = match request.path().starts_with("/api/") {
                true => self.respond_to_control(&request, &mut stream).await?,
                false => self.respond(&request, &mut stream).await?,
            };
            if !goes_on {
                break;
            }
            self.is_reused.set(self.is_reused.get() || case.end != End::Keep);
        }
        Ok(())
    }

    /// Sends the response to a control request, and returns its case and whether the connection goes on.
    async fn respond_to_control(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<(Case, bool)> {
        request.read_body(stream).await?;
        let path = request.path().split('?').next().unwrap();
        self.controls.borrow_mut().insert(path.to_owned());
        let case = self.control.unwrap_or(SOUND);
        let handle = if self.control.is_some() { CORRUPTED_HANDLE } else { "h1" };
        let body = case.body(control_body(path, handle));
        Ok((case, case.send(stream, &case.response("", &body)).await?))
    }

    /// Sends the response to a request, and returns its case and whether the connection goes on.
    async fn respond(&self, request: &Request, stream: &mut TcpStream) -> io::Result<(Case, bool)> {
        self.received.borrow_mut().push(request.head.clone());
        let count = self.received.borrow().len();
        let (kind, after) = (Kind::of(request.path()), request.position());
        let id = field(&request.head, "x-bilberryfront-attempt-id").unwrap();
        let head = format!(
            "x-bilberryfront-attempt-id: {id}\r\nx-bilberryfront-server-stamp: s{count}\r\n"
        );
        let (case, body) = match count {
            1 if self.first.is_empty() => (self.first, String::new()),
            1 => (self.first, kind.part(after)),
            _ if kind.is_stream() => (SOUND_STREAM, kind.body(after)),
            _ => (SOUND, kind.body(after)),
        };
        if !case.is_upload() {
            request.read_body(stream).await?;
        }
        if self.control.is_some() && count == 1 {
            stream.write_all(&case.response(&head, "")).await?;
            self.send_slowly(request, stream).await?;
            return Ok((case, case.send(stream, b"9\r\nid: 1").await?));
        }
        Ok((case, case.send(stream, &case.response(&head, &body)).await?))
    }

    /// Sends the first event of a stream when its runner was asked for its state, and further ones, while the
    /// holder of its replica leaves, until the runner was asked for another replica.
    async fn send_slowly(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let is_asked = |path| self.controls.borrow().contains(path);
        _ = timeout(MAX_DELAY, wait_until("the state", async || is_asked("/api/report"))).await;
        let holder = field(&request.head, "x-bilberryfront-kv-backup");
        let holder = self.registrations.iter().find(|r| Some(&*r.address.to_string()) == holder);
        holder.into_iter().for_each(|holder| holder.put(&self.store, "draining"));
        let after = request.position();
        for id in after + 1..LAST_EVENT {
            let event = events(id..id + 1);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
            if is_asked("/api/kv-move") {
                break;
            }
            sleep(EVENT_GAP).await;
        }
        Ok(())
    }
}

/// Returns the body of the response to a control request, with the handle of a replica.
fn control_body(path: &str, handle: &str) -> String {
    match path {
        "/api/report" => json!({"stage": "both", "models": [{"name": "m", "version": 1}], "born": 1,
            "waiting": 0, "kv_total": 55_000, "running": 1, "runs": []}),
        _ => json!({"handle": handle, "created": 2, "epoch": 1, "next": 1, "lost": false, "events": []}),
    }
    .to_string()
}

//! Requests that must not run twice, through an instance that runs as a process, at runners that break
//! their connections in all ways.

#[path = "relay/process.rs"]
#[allow(dead_code, reason = "shared with the other tests of the program")]
mod process;
#[path = "relay/support.rs"]
#[allow(dead_code, reason = "shared with the in-memory tests")]
mod support;

use {
    futures_util::future::join_all,
    process::{Platform, post_attempt, wait_until},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        io,
        rc::Rc,
        time::Duration,
    },
    support::{ENGINES, PLAIN, ms, run_local},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

const RUNNER_COUNT: usize = 6;
const CALLER_COUNT: usize = 24;
/// Number of requests of each caller.
const REQUEST_COUNT: usize = 40;
/// Size of the larger bodies, below the limit of the catalogue.
const BODY_BYTES: usize = 60_000;
/// Time after the last response in which a request may still reach a runner.
const SETTLE_TIME: Duration = ms(1_500);

/// What a runner does on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Respond,
    RespondAndClose,
    /// Responds after a delay, which may be longer than the caller waits.
    RespondLate,
    /// Responds twice.
    Repeat,
    /// Responds, and closes the connection a moment later, while the next request may be on its way.
    CloseIdle,
    /// Closes the connection before it reads.
    Close,
    /// Resets the connection before it reads.
    Reset,
    /// Sends the end of its stream, and then reads a request.
    HalfClose,
    /// Reads the head and a part of the body.
    CloseInBody,
    /// Reads the request and closes the connection.
    CloseRead,
    /// Reads the request and resets the connection.
    ResetRead,
    /// Sends a part of the response.
    Cut,
    Reject,
    RejectAndClose,
    /// Rejects the request before it reads the body.
    RejectEarly,
}

const FAULTS: [Behavior; 14] = [
    Behavior::RespondAndClose,
    Behavior::RespondLate,
    Behavior::Repeat,
    Behavior::CloseIdle,
    Behavior::Close,
    Behavior::Reset,
    Behavior::HalfClose,
    Behavior::CloseInBody,
    Behavior::CloseRead,
    Behavior::ResetRead,
    Behavior::Cut,
    Behavior::Reject,
    Behavior::RejectAndClose,
    Behavior::RejectEarly,
];

/// A kind of requests that must not run twice.
#[derive(Clone, Copy, Debug)]
struct Kind {
    path: &'static str,
    service: &'static str,
    body: &'static str,
}

const CALL: Kind = Kind { path: "/lodge/1", service: PLAIN, body: "lodged" };
const STREAM: Kind =
    Kind { path: "/fixed/1", service: ENGINES, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" };

/// Runners that record which requests reached them.
struct Runners {
    kind: Kind,
    rng: RefCell<SmallRng>,
    /// Share of the requests with a fault.
    faults: Cell<f64>,
    /// Behaviour for each request that was not rejected and of whose head all bytes arrived, by attempt id.
    received: RefCell<BTreeMap<String, Vec<Behavior>>>,
    counts: RefCell<BTreeMap<String, u32>>,
}

impl Runners {
    async fn start(platform: &Platform, kind: Kind, seed: u64) -> Rc<Runners> {
        let runners = Rc::new(Runners {
            kind,
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            faults: Cell::new(0.0),
            received: RefCell::default(),
            counts: RefCell::default(),
        });
        for index in 0..RUNNER_COUNT {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let id = format!("q{index}");
            let registration = json!({"service": kind.service, "address": address, "zone": "a", "version": "v1",
                "slots": 64, "state": "ready", "seq": 1, "born": 1});
            platform.put("servers", &id, &registration);
            let serving = runners.clone();
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (runners, id) = (serving.clone(), id.clone());
                    tokio::task::spawn_local(async move {
                        // Errors are what the instance is tested with.
                        _ = runners.serve(stream, &id).await;
                    });
                }
            });
        }
        runners
    }

    fn random(&self, low: u64, high: u64) -> u64 {
        self.rng.borrow_mut().random_range(low..high)
    }

    fn choose(&self) -> Behavior {
        let mut rng = self.rng.borrow_mut();
        match rng.random_bool(self.faults.get()) {
            true => FAULTS[rng.random_range(0..FAULTS.len())],
            false => Behavior::Respond,
        }
    }

    async fn serve(&self, mut stream: TcpStream, id: &str) -> io::Result<()> {
        loop {
            let behavior = self.choose();
            *self.counts.borrow_mut().entry(format!("{behavior:?}")).or_default() += 1;
            match behavior {
                Behavior::Close => return Ok(()),
                Behavior::Reset => return reset(&stream),
                Behavior::HalfClose => stream.shutdown().await?,
                _ => {}
            }
            let head = read_head(&mut stream).await?;
            let attempt = header(&head, "x-bilberryfront-attempt-id").to_owned();
            let is_rejected = matches!(
                behavior,
                Behavior::Reject | Behavior::RejectAndClose | Behavior::RejectEarly
            );
            // Health checks and control requests bear no id.
            if !is_rejected && !attempt.is_empty() {
                let mut received = self.received.borrow_mut();
                received.entry(attempt.clone()).or_default().push(behavior);
            }
            let length = header(&head, "content-length").parse().unwrap_or(0);
            let rejection = response(503, "x-bilberryfront-not-executed: 1", &attempt, "");
            if behavior == Behavior::RejectEarly {
                stream.write_all(rejection.as_bytes()).await?;
            }
            let mut body = vec![0; length];
            if behavior == Behavior::CloseInBody {
                return stream.read_exact(&mut body[..length / 2]).await.map(|_| ());
            }
            stream.read_exact(&mut body).await?;
            sleep(ms(self.random(0, 8))).await;
            let stamp = format!("x-bilberryfront-server-stamp: {id}");
            let answer = response(200, &stamp, &attempt, self.kind.body);
            let answer = answer.as_bytes();
            match behavior {
                Behavior::CloseRead | Behavior::HalfClose => return Ok(()),
                Behavior::ResetRead => return reset(&stream),
                Behavior::Cut => return stream.write_all(&answer[..answer.len() - 2]).await,
                Behavior::RejectEarly => {}
                Behavior::Reject => stream.write_all(rejection.as_bytes()).await?,
                Behavior::RejectAndClose => return stream.write_all(rejection.as_bytes()).await,
                Behavior::RespondAndClose => return stream.write_all(answer).await,
                Behavior::Repeat => stream.write_all(&answer.repeat(2)).await?,
                Behavior::CloseIdle => {
                    stream.write_all(answer).await?;
                    sleep(ms(self.random(0, 20))).await;
                    return Ok(());
                }
                _ => {
                    if behavior == Behavior::RespondLate {
                        sleep(ms(self.random(100, 2_500))).await;
                    }
                    stream.write_all(answer).await?;
                }
            }
        }
    }
}

fn reset(stream: &TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}

async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8(head).unwrap())
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(found, _)| *found == name).map_or("", |(_, value)| value)
}

fn response(status: u16, line: &str, attempt: &str, body: &str) -> String {
    let length = body.len();
    let id = match attempt {
        "" => String::new(),
        id => format!("x-bilberryfront-attempt-id: {id}\r\n"),
    };
    format!("HTTP/1.1 {status} X\r\n{id}{line}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Sends requests through an instance that is suspended now and then, and checks where they ran.
async fn check(kind: Kind, seed: u64) {
    let platform = Platform::new().await;
    platform.runners.iter().for_each(|runner| runner.crash());
    let runners = Runners::start(&platform, kind, seed).await;
    let instance = platform.start("n1");
    wait_until("the instance serves", async || {
        instance.post(kind.path, "k1").await.is_some_and(|r| r.status == 200)
    })
    .await;
    runners.received.borrow_mut().clear();
    runners.faults.set(0.25);
    let callers = instance.callers;
    let large = "x".repeat(BODY_BYTES);
    let call = async |caller: usize| {
        let mut statuses = Vec::new();
        for number in 0..REQUEST_COUNT {
            let id = format!("{caller:x}a{number:x}");
            let body = if number % 3 == 0 { large.as_str() } else { "{}" };
            let sent = post_attempt(callers, kind.path, "k1", body, "a1:200,b7:4800", &id);
            // Some callers leave before they have a response.
            let limit = ms(if number % 7 == 0 { 20 } else { 10_000 });
            let status = timeout(limit, sent).await.ok().flatten().map(|r| r.status);
            statuses.push((id, status));
        }
        statuses
    };
    let suspend = async {
        loop {
            sleep(ms(runners.random(200, 900))).await;
            instance.process.freeze();
            sleep(ms(runners.random(20, 1_500))).await;
            instance.process.thaw();
        }
    };
    let results = tokio::select! {
        results = join_all((0..CALLER_COUNT).map(call)) => results,
        () = suspend => unreachable!("the loop does not end"),
    };
    sleep(SETTLE_TIME).await;
    let received = runners.received.borrow();
    let mut by_status = BTreeMap::<Option<u16>, u32>::new();
    for (id, status) in results.into_iter().flatten() {
        *by_status.entry(status).or_default() += 1;
        let runs = received.get(&id).map_or(&[][..], Vec::as_slice);
        assert!(runs.len() <= 1, "seed {seed}: {id} got {status:?} and ran: {runs:?}");
        if matches!(status, Some(408 | 421 | 429 | 503)) {
            assert!(runs.is_empty(), "seed {seed}: {id} got {status:?} and ran: {runs:?}");
        }
    }
    let counts = runners.counts.borrow();
    println!("{} {seed}: responses {by_status:?}, runners {counts:?}", kind.path);
    assert!(by_status.get(&Some(200)).is_some_and(|count| *count > 0));
}

/// Returns the seeds, of which a run by hand may take more.
fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("BILBERRYFRONT_SEEDS").ok().and_then(|count| count.parse().ok());
    0..count.unwrap_or(2)
}

/// Guards against a call that is sent again although a runner has read it, and against one that is reported
/// as not run, whatever the runners do to their connections and while the instance is suspended.
#[tokio::test]
async fn calls_run_once_whatever_happens_to_their_connections() {
    for seed in seeds() {
        run_local(check(CALL, seed)).await;
    }
}

/// Guards against the same of a stream that may not be resumed.
#[tokio::test]
async fn streams_run_once_whatever_happens_to_their_connections() {
    for seed in seeds() {
        run_local(check(STREAM, seed)).await;
    }
}

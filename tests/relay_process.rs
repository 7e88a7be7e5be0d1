//! End-to-end tests of the relay program, which runs as a process, with stand-ins for the store, the
//! runners and the callers over loopback.

#[path = "relay/support.rs"]
#[allow(dead_code, reason = "shared with the in-memory tests")]
mod support;

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    bilberryfront_harness::process::Process,
    bilberryfront_standins::{
        faults::{Faults, Reject},
        feed_store::FeedStore,
        server::Handle,
    },
    bytes::Bytes,
    http::{HeaderMap, Request},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::{
        fs,
        io::{BufRead, BufReader},
        net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        rc::Rc,
        sync::atomic::{AtomicU8, Ordering},
        thread,
        time::Duration,
    },
    support::{ENGINES, PLAIN, Runner, Script, StreamEnd, ms, run_local},
    tempfile::TempDir,
    tokio::{
        net::TcpStream,
        time::{Instant, sleep},
    },
};

/// Longest wait for conditions that take a few hundred milliseconds on an idle machine.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Grace period in the instances' settings.
const GRACE: Duration = Duration::from_secs(4);
const EVENTS: Script =
    Script::Events { last: 30, gap: Duration::from_millis(30), end: StreamEnd::Complete };

struct Platform {
    store: FeedStore,
    handle: Handle,
    runners: Vec<Rc<Runner>>,
    folder: TempDir,
}

struct Instance {
    process: Process,
    callers: SocketAddr,
    health: SocketAddr,
    addresses: SocketAddr,
    metrics: SocketAddr,
}

/// Addresses on which an instance listens.
struct Listen {
    callers: SocketAddr,
    health: SocketAddr,
    addresses: SocketAddr,
    metrics: SocketAddr,
}

struct Received {
    status: u16,
    headers: HeaderMap,
    text: String,
}

fn free_tcp_address() -> SocketAddr {
    TcpListener::bind((loopback(), 0)).unwrap().local_addr().unwrap()
}

fn free_udp_address() -> SocketAddr {
    UdpSocket::bind((loopback(), 0)).unwrap().local_addr().unwrap()
}

/// Returns a new loopback address for each listener: outgoing connections use ports of 127.0.0.1,
/// and could occupy the port of a listener before its process binds it.
fn loopback() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high & 63, low, COUNT.fetch_add(1, Ordering::Relaxed))
}

impl Platform {
    async fn new() -> Platform {
        let store = FeedStore::default();
        let handle = store.start("127.0.0.1:0".parse().unwrap()).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let mut platform = Platform { store, handle, runners: Vec::new(), folder };
        platform.put_catalog(1, &["k1", "k2"]);
        for (id, service, domain, script) in [
            ("e1", ENGINES, "a", EVENTS),
            ("e2", ENGINES, "b", EVENTS),
            ("p1", PLAIN, "a", Script::Respond(200, "lodged")),
        ] {
            platform.start_runner(id, service, domain, script).await;
        }
        platform
    }

    /// Puts a catalogue into the store in which one account has these keys.
    fn put_catalog(&self, version: u64, keys: &[&str]) {
        let route = |name: &str, kind: &str, service: &str, resumable: bool| {
            json!({"name": name, "host": "desk.example", "prefix": format!("/{name}/"),
                "kind": kind, "timeout_ms": 20_000, "target_latency_ms": 4_000,
                "target_gap_ms": 700, "priority": 1, "service": service, "max_attempts": 5,
                "resumable": resumable})
        };
        let config = json!({
            "version": version,
            "routes": [route("stream", "streaming", ENGINES, true),
                route("lodge", "non_idempotent", PLAIN, false)],
            "services": [
                {"name": ENGINES, "max_conns": 50, "engine": {"slots": 8, "kv_tokens": 55_000,
                    "backups": true, "handle_s": 4.0}},
                {"name": PLAIN, "max_conns": 50}],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
            "tenants": [{"name": "desk", "api_keys": keys}],
        });
        self.put("op", "config", &config);
    }

    fn put(&self, table: &str, key: &str, value: &Value) {
        self.store.put(table, key, Some(STANDARD.encode(value.to_string())));
    }

    async fn start_runner(
        &mut self,
        id: &str,
        service: &'static str,
        domain: &'static str,
        script: Script,
    ) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let runner = Rc::new(Runner::new(id, address, service, domain, script));
        let registration = json!({"service": service, "address": address, "zone": domain, "version": "v1",
            "slots": 8, "state": "ready", "seq": 1, "born": 1});
        self.put("servers", id, &registration);
        self.runners.push(runner.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !runner.is_crashed.get() {
                    support::serve(runner.clone(), stream);
                }
            }
        });
    }

    fn start(&self, name: &str) -> Instance {
        let (path, listen) = self.settings(name);
        let mut command = Command::new(env!("CARGO_BIN_EXE_bilberryfront"));
        command.arg("relay").arg("--settings").arg(path);
        let process = Process::start(&mut command).unwrap();
        let Listen { callers, health, addresses, metrics } = listen;
        Instance { process, callers, health, addresses, metrics }
    }

    /// Writes the settings of an instance; returns the path of the file and the addresses on which
    /// the instance will listen.
    fn settings(&self, name: &str) -> (PathBuf, Listen) {
        let listen = Listen {
            callers: free_tcp_address(),
            health: free_tcp_address(),
            addresses: free_tcp_address(),
            metrics: free_tcp_address(),
        };
        let settings = json!({
            "name": name, "domain": "a",
            "listen": {"callers": listen.callers, "health": listen.health,
                "addresses": listen.addresses, "peers": free_udp_address(),
                "metrics": listen.metrics},
            "store": self.handle.addr,
            "bounds": {"grace": GRACE.as_secs(), "keep": 5, "ratio": 0.8, "slack": 50, "window": 10},
        });
        let path = self.folder.path().join(format!("{name}.jsonc"));
        fs::write(&path, format!("// an instance\n{settings}")).unwrap();
        (path, listen)
    }

    /// Sets whether the store rejects every request.
    fn reject_store_requests(&self, enabled: bool) {
        let reject = Reject { status: 503, retry: None, path: "".into(), once: false };
        let reject = enabled.then_some(reject);
        self.handle.faults.set(Faults { reject, ..Faults::default() });
    }
}

impl Instance {
    async fn ready(&self) -> bool {
        get(self.health, "/api/readyz").await.is_some_and(|r| r.status == 200)
    }

    async fn resolve(&self) -> Vec<String> {
        let answer = get(self.addresses, "/api/resolve?name=desk.example&region=r&zone=a").await;
        let Some(answer) = answer.filter(|a| a.status == 200) else { return Vec::new() };
        let answer: Value = serde_json::from_str(&answer.text).unwrap();
        let all = answer["addresses"].as_array().unwrap().iter();
        all.map(|a| a.as_str().unwrap().to_owned()).collect()
    }

    async fn post(&self, path: &str, key: &str) -> Option<Received> {
        post(self.callers, path, key).await
    }
}

async fn post(callers: SocketAddr, path: &str, key: &str) -> Option<Received> {
    let request = Request::post(path)
        .header("host", "desk.example")
        .header("x-bilberryfront-attempt-id", "a1")
        .header("x-bilberryfront-deadline-ms", "20000")
        .header("x-bilberryfront-token-counts", "5000,100")
        .header("x-bilberryfront-prompt-prefix", "a1:200,b7:4800")
        .header("authorization", format!("Bearer {key}"));
    send(callers, request.body(Full::from("{}")).unwrap()).await
}

async fn get(address: SocketAddr, path: &str) -> Option<Received> {
    let request = Request::get(path).header("host", address.to_string());
    send(address, request.body(Full::default()).unwrap()).await
}

/// Sends a request on a new connection; returns `None` if there is no complete response.
async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Received> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move {
        _ = connection.await;
    });
    let (parts, body) = sender.send_request(request).await.ok()?.into_parts();
    let text = String::from_utf8(body.collect().await.ok()?.to_bytes().to_vec()).unwrap();
    Some(Received { status: parts.status.as_u16(), headers: parts.headers, text })
}

/// Polls until the condition is met; returns the time that it took.
async fn wait_until(what: &str, mut is_met: impl AsyncFnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !is_met().await {
        assert!(start.elapsed() < TIMEOUT, "{what}: condition not met within {TIMEOUT:?}");
        sleep(ms(20)).await;
    }
    start.elapsed()
}

/// Guards against failed requests while parts of the system fail. Two instances find each other
/// through the store; a stream continues after its runner crashes; a revoked key is soon rejected,
/// also when the store becomes unavailable afterwards; an instance that is terminated drains
/// without cutting a stream and is removed from the address lists; an instance that starts while
/// the store is unavailable serves requests once the store is back.
#[tokio::test]
async fn requests_succeed_while_parts_of_the_system_fail() {
    run_local(async {
        let platform = Platform::new().await;
        let mut first = platform.start("n1");
        let second = platform.start("n2");
        wait_until("both are ready", async || first.ready().await && second.ready().await).await;
        wait_until("each instance resolves both", async || {
            first.resolve().await.len() == 2 && second.resolve().await.len() == 2
        })
        .await;

        let response = first.post("/lodge/1", "k1").await.unwrap();
        assert_eq!((response.status, response.text.as_str()), (200, "lodged"));
        assert_eq!(platform.runners[2].header("x-bilberryfront-tenant").as_deref(), Some("desk"));

        let crash = async {
            wait_until("the stream has started", async || {
                platform.runners[..2].iter().any(|r| r.request_count() > 0)
            })
            .await;
            sleep(ms(300)).await;
            platform.runners[..2].iter().find(|r| r.request_count() > 0).unwrap().crash();
        };
        let (streamed, ()) = tokio::join!(second.post("/stream/1", "k1"), crash);
        assert_eq!(ids(&streamed.unwrap().text), (1..=30).collect::<Vec<u64>>());

        platform.put_catalog(5, &["k1"]);
        wait_until("the revoked key is rejected", async || {
            let refused =
                async |i: &Instance| i.post("/lodge/2", "k2").await.unwrap().status == 401;
            refused(&first).await && refused(&second).await
        })
        .await;
        platform.reject_store_requests(true);
        sleep(ms(500)).await;
        assert_eq!(
            second.post("/lodge/3", "k2").await.unwrap().status,
            401,
            "a revoked key must stay rejected"
        );
        assert_eq!(second.post("/lodge/4", "k1").await.unwrap().status, 200);

        let late = platform.start("n3");
        wait_until("the instance responds", async || {
            get(late.health, "/api/readyz").await.is_some()
        })
        .await;
        sleep(ms(500)).await;
        let refused = late.post("/lodge/5", "k1").await.unwrap();
        assert_eq!(refused.status, 503);
        assert_eq!(refused.headers["retry-after"], "2.000");
        platform.reject_store_requests(false);
        wait_until("the instance serves", async || {
            late.post("/lodge/6", "k1").await.unwrap().status == 200
        })
        .await;

        let leave = async {
            sleep(ms(200)).await;
            first.process.terminate();
            wait_until("the instance is not ready", async || {
                !matches!(get(first.health, "/api/readyz").await, Some(r) if r.status == 200)
            })
            .await;
            let left = first.callers.to_string();
            wait_until("the instance is unlisted", async || {
                !second.resolve().await.contains(&left)
            })
            .await;
        };
        let (streamed, ()) = tokio::join!(first.post("/stream/2", "k1"), leave);
        assert_eq!(ids(&streamed.unwrap().text).len(), 30, "events received while draining");
        let start = Instant::now();
        let status = first.process.wait().unwrap();
        assert!(status.success() && start.elapsed() < GRACE);

        let metrics = get(second.metrics, "/metrics").await.unwrap().text;
        for name in [
            "bilberryfront_requests_total{kind=\"Once\",outcome=\"Served\"}",
            "bilberryfront_refusals_total{cause=\"NoKey\"}",
            "bilberryfront_catalogue_version 5",
            "bilberryfront_runner_bytes_total{part=\"Events\",border=",
            "bilberryfront_peer_bytes_total{kind=\"Heartbeat\"}",
            "bilberryfront_store_polls_total{table=",
        ] {
            assert!(metrics.contains(name), "{name} is not in:\n{metrics}");
        }
    })
    .await;
}

/// Guards against log output that delays responses. Nothing reads the log of the instance while
/// thousands of requests with an unknown path are rejected: when the pipe is full, log lines must
/// be dropped instead of delaying callers. When the log is read, the number of lines per second
/// must stay bounded.
#[tokio::test]
async fn an_unread_log_delays_no_response() {
    /// Far more log lines than a pipe buffers.
    const REQUESTS: usize = 4_000;
    /// Longest wait for a response; each takes a fraction of a millisecond.
    const LIMIT: Duration = Duration::from_secs(1);
    run_local(async {
        let platform = Platform::new().await;
        for is_log_read in [false, true] {
            let (path, listen) = platform.settings(if is_log_read { "n2" } else { "n1" });
            let mut child = Command::new(env!("CARGO_BIN_EXE_bilberryfront"))
                .arg("relay")
                .arg("--settings")
                .arg(path)
                .stdout(Stdio::piped())
                .spawn()
                .unwrap();
            let stdout = child.stdout.take().unwrap();
            let (line_count, unread_stdout) = match is_log_read {
                true => (Some(thread::spawn(|| BufReader::new(stdout).lines().count())), None),
                false => (None, Some(stdout)),
            };
            let mut child = ChildGuard(child);
            wait_until("the instance is ready", async || {
                matches!(get(listen.health, "/api/readyz").await, Some(r) if r.status == 200)
            })
            .await;
            let start = Instant::now();
            let slowest = send_unroutable_requests(listen.callers, REQUESTS).await;
            let seconds = start.elapsed().as_secs() as usize + 1;
            assert!(slowest < LIMIT, "slowest response after {slowest:?}");
            child.kill();
            if let Some(line_count) = line_count {
                let lines = line_count.join().unwrap();
                // The log limits the rate to 100 lines per second below level `warn` and 200 at or
                // above it. The rest allows for reports of dropped lines and for the startup.
                assert!(lines < 200 + seconds * 310, "{lines} lines in {seconds} s");
            }
            drop(unread_stdout);
        }
    })
    .await;
}

/// `explain` must report the cause of a failure from the instance's log and the request id; the test
/// fails if the log lacks the cause. Three kinds of failure: a stream pauses because its engine
/// crashes and the engine that should hold a replica of its KV cache has none; a call that must not
/// be retried loses its response; an instance that started while the store rejects all requests
/// rejects a call.
#[tokio::test]
async fn explain_reports_the_cause_of_three_kinds_of_failure() {
    run_local(async {
        let platform = Platform::new().await;
        let [with_paused_stream, with_lost_response] =
            [platform.start_logged("n1"), platform.start_logged("n2")];
        wait_until("both are ready", async || {
            with_paused_stream.ready().await && with_lost_response.ready().await
        })
        .await;

        for engine in &platform.runners[..2] {
            *engine.script.borrow_mut() =
                Script::Events { last: 12, gap: ms(30), end: StreamEnd::Complete };
            *engine.resume_script.borrow_mut() = Some(Script::NotRun);
        }
        let crash = async {
            wait_until("the stream has started", async || {
                platform.runners[..2].iter().any(|r| r.request_count() > 0)
            })
            .await;
            sleep(ms(300)).await;
            let (ran, rest): (Vec<_>, Vec<_>) =
                platform.runners[..2].iter().partition(|r| r.request_count() > 0);
            // As long as the prefill of a prompt, and shorter than the stall timeout after which the
            // relay abandons the runner.
            *rest[0].script.borrow_mut() =
                Script::Events { last: 12, gap: ms(380), end: StreamEnd::Complete };
            ran[0].crash();
        };
        let (streamed, ()) = tokio::join!(with_paused_stream.post("/stream/1", "k1"), crash);
        assert_eq!(ids(&streamed.unwrap().text), (1..=12).collect::<Vec<u64>>());

        *platform.runners[2].script.borrow_mut() = Script::Close;
        assert_eq!(with_lost_response.post("/lodge/1", "k1").await.unwrap().status, 502);

        platform.reject_store_requests(true);
        let without_catalog = platform.start_logged("n3");
        wait_until("the instance responds", async || {
            get(without_catalog.health, "/api/readyz").await.is_some()
        })
        .await;
        sleep(ms(500)).await;
        assert_eq!(without_catalog.post("/lodge/2", "k1").await.unwrap().status, 503);

        for (instance, cause) in [
            (&with_paused_stream, "the holder had no replica, so the prompt was prefilled again"),
            (&with_lost_response, "p1 had the request, and its connection failed"),
            // The store answered with status 503; `explain` reports this in the same words.
            (&without_catalog, "the instance had no catalogue, since the store did not respond"),
        ] {
            let what = format!("the log of {} explains: {cause}", instance.log.display());
            wait_until(&what, async || explain(&instance.log).contains(cause)).await;
        }
    })
    .await;
}

/// An instance that writes its log to a file.
struct LoggedInstance {
    callers: SocketAddr,
    health: SocketAddr,
    log: PathBuf,
    /// Kills the process on drop.
    _child: ChildGuard,
}

impl Platform {
    fn start_logged(&self, name: &str) -> LoggedInstance {
        let (path, Listen { callers, health, .. }) = self.settings(name);
        let log = self.folder.path().join(format!("{name}.log"));
        let child = Command::new(env!("CARGO_BIN_EXE_bilberryfront"))
            .arg("relay")
            .arg("--settings")
            .arg(path)
            .stdout(fs::File::create(&log).unwrap())
            .spawn()
            .unwrap();
        LoggedInstance { callers, health, log, _child: ChildGuard(child) }
    }
}

impl LoggedInstance {
    async fn ready(&self) -> bool {
        get(self.health, "/api/readyz").await.is_some_and(|r| r.status == 200)
    }

    async fn post(&self, path: &str, key: &str) -> Option<Received> {
        post(self.callers, path, key).await
    }
}

/// Returns the output of `explain` for request `a1` and one log, which may not be complete yet.
fn explain(log: &Path) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_bilberryfront"))
        .args(["explain", "a1"])
        .arg(log)
        .output()
        .unwrap();
    String::from_utf8(output.stdout).unwrap()
}

/// Sends this many requests without a route on one connection; returns the longest response time.
async fn send_unroutable_requests(address: SocketAddr, count: usize) -> Duration {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::task::spawn_local(async move {
        _ = connection.await;
    });
    let mut slowest = Duration::ZERO;
    for _ in 0..count {
        let request = Request::get("/nothing/1")
            .header("host", "desk.example")
            .header("x-bilberryfront-attempt-id", "a1")
            .body(Full::<Bytes>::default())
            .unwrap();
        let start = Instant::now();
        sender.ready().await.unwrap();
        let response = sender.send_request(request).await.unwrap();
        assert_eq!(response.status(), 404);
        response.into_body().collect().await.unwrap();
        slowest = slowest.max(start.elapsed());
    }
    slowest
}

/// A child process that is killed on drop.
struct ChildGuard(Child);

impl ChildGuard {
    fn kill(&mut self) {
        // The process may have exited already.
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

impl Drop for ChildGuard {
    fn drop(&mut self) {
        self.kill();
    }
}

fn ids(text: &str) -> Vec<u64> {
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// `check` and `relay` must reject invalid settings with exit status 1, report every invalid value, and
/// name the line of the empty `domain`.
#[test]
fn invalid_settings_are_reported() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bad.jsonc");
    let text = r#"{
        "name": "n1",
        "domain": "",
        "listen": {"callers": "127.0.0.1:1", "health": "127.0.0.1:2", "addresses": "127.0.0.1:3",
            "peers": "127.0.0.1:4"},
        "store": "127.0.0.1:5",
        "bounds": {"grace": 0},
    }"#;
    fs::write(&path, text).unwrap();
    for command in [vec!["check"], vec!["relay", "--settings"]] {
        let output = Command::new(env!("CARGO_BIN_EXE_bilberryfront"))
            .args(&command)
            .arg(&path)
            .env_remove("BILBERRYFRONT_CONFIG")
            .output()
            .unwrap();
        let shown = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{command:?}: {shown}");
        assert!(shown.contains("`domain` is empty") && shown.contains("`grace` is out of range"));
        assert!(shown.contains(":3:"), "{shown}");
    }
}

//! End-to-end tests of the relay program, which runs as a process, with stand-ins for the store, the
//! runners and the callers over loopback.

#[path = "relay/process.rs"]
mod process;
#[path = "relay/support.rs"]
#[allow(dead_code, reason = "shared with the in-memory tests")]
mod support;

use {
    bytes::Bytes,
    futures_util::future::join_all,
    http::Request,
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    process::{GRACE, Instance, Listen, Platform, Received, get, post, post_attempt, wait_until},
    std::{
        fs,
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::Duration,
    },
    support::{Script, StreamEnd, ms, run_local},
    tokio::{
        net::TcpStream,
        time::{Instant, sleep},
    },
};

/// Guards against a call that is cut because it arrives while the instance, idle for a moment, is about
/// to exit. Callers with old address responses connect until the process is gone.
#[tokio::test]
async fn instance_that_stops_answers_every_call_that_it_forwards() {
    const CALLERS: usize = 8;
    run_local(async {
        let mut platform = Platform::new().await;
        let slow = Script::RespondAfter(200, "lodged", ms(15));
        platform.runners[2].crash();
        platform.start_runner("p2", support::PLAIN, "a", slow).await;
        let mut instance = platform.start("n1");
        wait_until("the instance serves", async || {
            instance.post("/lodge/1", "k1").await.is_some_and(|r| r.status == 200)
        })
        .await;
        let runner = platform.runners[3].clone();
        let before = runner.request_count();
        instance.process.terminate();
        let callers = instance.callers;
        // The pauses leave the instance idle between the calls.
        let call = |index: usize| async move {
            sleep(ms(30 * index as u64)).await;
            let mut answered = 0;
            while let Ok(stream) = TcpStream::connect(callers).await {
                drop(stream);
                let response = post(callers, "/lodge/2", "k1").await;
                answered += usize::from(response.is_some_and(|r| r.status == 200));
                sleep(ms(40 + 20 * (index as u64 % 5))).await;
            }
            answered
        };
        let answered = join_all((0..CALLERS).map(call)).await;
        assert!(instance.process.wait().unwrap().success());
        let (answered, forwarded) =
            (answered.iter().sum::<usize>(), runner.request_count() - before);
        assert!(answered > 0);
        assert_eq!(answered, forwarded, "calls that were answered and forwarded");
    })
    .await;
}

/// Guards against callers without any instance while all instances stop at about the same time: they are
/// idle, but none of them is ready.
#[tokio::test]
async fn instances_that_stop_together_serve_callers_until_they_are_killed() {
    run_local(async {
        let mut platform = Platform::new().await;
        platform.grace = Duration::from_secs(8);
        let mut instances = [platform.start("n1"), platform.start("n2")];
        for instance in &instances {
            wait_until("both instances are known", async || instance.resolve().await.len() == 2)
                .await;
        }
        let start = Instant::now();
        for instance in &mut instances {
            instance.process.terminate();
            sleep(ms(200)).await;
        }
        while start.elapsed() < ms(6_000) {
            // Callers don't use an address response any longer while they can get a new one.
            let listed = [instances[0].resolve().await, instances[1].resolve().await].concat();
            let is_listed = |instance: &&Instance| listed.contains(&instance.callers.to_string());
            let passed = start.elapsed();
            assert!(passed > ms(4_500) || !listed.is_empty(), "no address after {passed:?}");
            for instance in instances.iter().filter(|i| listed.is_empty() || is_listed(i)) {
                let response = instance.post("/lodge/1", "k1").await;
                assert!(response.is_some_and(|r| r.status == 200), "no response after {passed:?}");
            }
            sleep(ms(100)).await;
        }
        for instance in &mut instances {
            assert!(instance.process.wait().unwrap().success());
        }
        assert!(start.elapsed() < ms(8_000), "{:?}", start.elapsed());
    })
    .await;
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
            "bilberryfront_sends_total{service=\"desk\",send=\"First\"}",
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

/// Guards against a call that is reported as not run although it runs: the second copy of the rejection of
/// the call before is taken for its own.
#[tokio::test]
async fn copy_of_a_rejection_is_not_the_response_to_the_next_call() {
    /// Several, as a connection that is idle for too long is not used again.
    const ROUNDS: usize = 5;
    run_local(async {
        let platform = Platform::new().await;
        let runner = platform.runners[2].clone();
        let instance = platform.start("n1");
        wait_until("the instance serves", async || {
            instance.post("/lodge/1", "k1").await.is_some_and(|r| r.status == 200)
        })
        .await;
        let call = async |id: &str| {
            let sent = post_attempt(instance.callers, "/lodge/1", "k1", "{}", "a1:200", id).await;
            sent.unwrap().status
        };
        let mut status = 200;
        for round in 0..ROUNDS {
            runner.repeats.set(false);
            *runner.script.borrow_mut() = Script::NotRun;
            assert_eq!(call(&format!("rejected-{round}")).await, 503);
            runner.repeats.set(true);
            *runner.script.borrow_mut() = Script::RespondAfter(200, "lodged", ms(20));
            status = call(&format!("run-{round}")).await;
            if status != 200 {
                break;
            }
        }
        assert_eq!(status, 502);
    })
    .await;
}

/// Guards against a stream that must not run twice and is sent to another runner after the failure of the
/// one that has run it.
#[tokio::test]
async fn failed_stream_that_must_not_run_twice_is_not_sent_again() {
    run_local(async {
        let platform = Platform::new().await;
        let instance = platform.start("n1");
        wait_until("the instance serves", async || {
            instance.post("/fixed/1", "k1").await.is_some_and(|r| r.status == 200)
        })
        .await;
        let engines = &platform.runners[..2];
        let count = || engines.iter().map(|engine| engine.request_count()).sum::<usize>();
        engines.iter().for_each(|e| *e.script.borrow_mut() = Script::Respond(500, "failed"));
        let before = count();
        let received = instance.post("/fixed/2", "k1").await.unwrap();
        assert_eq!((received.status, count() - before), (500, 1));
        assert!(received.headers.contains_key("x-bilberryfront-server-stamp"));
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
        "bounds": {"grace": 0, "exposure": 1.5, "trials": -1},
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
        assert!(shown.contains("`exposure` is out of") && shown.contains("`trials` is out of"));
        assert!(shown.contains(":3:"), "{shown}");
    }
}

/// Guards against streams that go on at a second runner, because an instance that was suspended takes the time
/// for a silence although events wait in its sockets.
#[tokio::test]
async fn suspended_instance_does_not_resume_streams_elsewhere() {
    const STREAMS: usize = 24;
    /// Time between events, and suspensions that make it longer than that after which a run is silent.
    const CASES: [(Duration, Duration); 2] = [(ms(380), ms(120)), (ms(40), ms(1_000))];
    for (gap, suspension) in CASES {
        run_local(async {
            let last = ms(6_000).div_duration_f64(gap) as u64;
            let script = Script::Events { last, gap, end: StreamEnd::Complete };
            let mut platform = Platform::new().await;
            platform.runners[..2]
                .iter()
                .for_each(|runner| _ = runner.script.replace(script.clone()));
            for id in ["e3", "e4"] {
                platform.start_runner(id, support::ENGINES, "b", script.clone()).await;
            }
            let instance = platform.start("n1");
            wait_until("the instance is ready", async || instance.ready().await).await;
            let receive = |index: usize| async move {
                sleep(ms(37) * index as u32).await;
                let (id, parts) = (format!("b{index}"), format!("a{index}:200"));
                post_attempt(instance.callers, "/stream/1", "k1", "{}", &parts, &id).await
            };
            let suspend = async {
                sleep(ms(1_500)).await;
                for _ in 0..4 {
                    instance.process.freeze();
                    sleep(suspension).await;
                    instance.process.thaw();
                    sleep(ms(400)).await;
                }
            };
            let (received, ()) = tokio::join!(join_all((0..STREAMS).map(receive)), suspend);
            assert!(received.iter().flatten().filter(|r| r.status == 200).count() == STREAMS);
            let requests: usize = platform.runners.iter().map(|r| r.request_count()).sum();
            assert_eq!(requests, STREAMS, "gap {gap:?}, suspensions of {suspension:?}");
        })
        .await;
    }
}

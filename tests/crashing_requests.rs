//! Requests that crash the runners that run them, through instances that run as processes.

#[path = "relay/process.rs"]
#[allow(dead_code, reason = "shared with the other tests of the program")]
mod process;
#[path = "relay/support.rs"]
#[allow(dead_code, reason = "shared with the in-memory tests")]
mod support;

use {
    bytes::Bytes,
    process::{EVENTS, Instance, Platform, post_body, wait_until},
    std::time::Duration,
    support::{ENGINES, Script, StreamEnd, ms, run_local},
    tokio::time::{Instant, sleep},
};

/// Body of the request that crashes runners.
const CRASHING: &str = r#"{"prompt":"crash"}"#;
/// Time until a crashed runner is replaced.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Time within which all instances know of a request that has crashed its third runner.
const NOTICE: Duration = Duration::from_secs(1);
/// Time from a crash until all instances must act on it.
const CONTACT: Duration = Duration::from_secs(3);
/// Crashes of runners after which a request may not reach runners more than [`MAX_SENDS`] times.
const MAX_CRASHES: usize = 3;
const MAX_SENDS: usize = 3;
/// Number of copies of a request that are sent at the same time.
const COPIES: usize = 4;

/// Time until the host of an engine that is down is back, with another engine.
const DARK_TIME: Duration = Duration::from_millis(2_500);

/// Which crashes take the host of an engine down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Dark {
    None,
    /// Those of every second engine.
    Half,
    All,
}

/// Engines behind instances; engines that crash are replaced by others.
struct Engines {
    platform: Platform,
    /// Time from the arrival of a crashing request to the crash, if resumed runs do not crash.
    crash_delay: Option<Duration>,
    /// Which crashes take the engine's host down; see [`Runner::is_dark_crash`].
    ///
    /// [`Runner::is_dark_crash`]: support::Runner::is_dark_crash
    dark: Dark,
    /// Time of each crash, with whether its engine is replaced.
    crashes: Vec<(usize, Instant, bool)>,
}

impl Engines {
    /// Starts engines in addition to those of [`Platform::new`], all of which crash on
    /// [`CRASHING`].
    async fn new(count: usize) -> Engines {
        let platform = Platform::new().await;
        let mut engines =
            Engines { platform, crash_delay: None, dark: Dark::None, crashes: Vec::new() };
        for _ in 0..count {
            engines.start_engine().await;
        }
        engines.arm();
        engines
    }

    async fn start_engine(&mut self) {
        let index = self.platform.runners.len();
        let domain = ["a", "b", "c"][index % 3];
        self.platform.start_runner(&format!("r{index}"), ENGINES, domain, EVENTS).await;
        self.arm();
    }

    fn arm(&self) {
        for (index, runner) in self.platform.runners.iter().enumerate() {
            if runner.service != ENGINES {
                continue;
            }
            runner.crash_body.replace(Some(Bytes::from_static(CRASHING.as_bytes())));
            runner.crash_delay.set(self.crash_delay);
            let is_half = self.dark == Dark::Half && index % 2 == 0;
            runner.is_dark_crash.set(self.dark == Dark::All || is_half);
        }
    }

    /// Records new crashes and replaces the engines whose restart is due.
    async fn step(&mut self) {
        for (index, runner) in self.platform.runners.iter().enumerate() {
            let is_known = self.crashes.iter().any(|(known, ..)| *known == index);
            if (runner.is_crashed.get() || runner.is_paused()) && !is_known {
                self.crashes.push((index, Instant::now(), false));
            }
        }
        let runners = &self.platform.runners;
        let is_due = |(index, at, replaced): &(usize, Instant, bool)| {
            let delay = if runners[*index].is_crashed.get() { RESTART_DELAY } else { DARK_TIME };
            !replaced && at.elapsed() >= delay
        };
        let due: Vec<usize> =
            (0..self.crashes.len()).filter(|position| is_due(&self.crashes[*position])).collect();
        for position in due {
            self.crashes[position].2 = true;
            let runner = self.platform.runners[self.crashes[position].0].clone();
            // Open connections of a host that was down hang on, and new ones are refused.
            runner.is_crashed.set(true);
            self.platform.store.put("servers", &runner.id, None);
            self.start_engine().await;
        }
    }

    /// Sends the crashing request until it has crashed [`MAX_CRASHES`] engines.
    async fn crash_through(&mut self, instances: &[Instance]) {
        while self.crashes.len() < MAX_CRASHES {
            for instance in instances {
                _ = post_body(instance.callers, "/stream/1", "k1", CRASHING).await;
                self.step().await;
            }
        }
    }

    /// Returns the number of times that the crashing request reached an engine after `start`.
    fn sends_since(&self, start: Instant) -> usize {
        let requests = self.platform.runners.iter().map(|r| r.requests.borrow());
        let sends = |requests: &Vec<support::ReceivedRequest>| {
            requests.iter().filter(|r| r.body == CRASHING && r.at > start).count()
        };
        requests.map(|requests| sends(&requests)).sum()
    }
}

async fn start_instances(platform: &Platform, count: usize) -> Vec<Instance> {
    let names = (1..=count).map(|index| format!("n{index}"));
    let instances: Vec<Instance> = names.map(|name| platform.start(&name)).collect();
    for instance in &instances {
        wait_until("each instance knows all", async || instance.resolve().await.len() == count)
            .await;
    }
    instances
}

fn is_complete(response: Option<process::Received>) -> bool {
    response.is_some_and(|r| r.status == 200 && r.text.contains("id: 30\n"))
}

/// Guards against a request that is sent again and again, by any instance, although it crashes every
/// runner that runs it.
#[tokio::test]
async fn request_that_crashed_three_runners_is_rejected_by_all_instances() {
    run_local(async {
        let mut engines = Engines::new(8).await;
        let instances = start_instances(&engines.platform, 3).await;
        let start = Instant::now();
        let mut innocent = Vec::new();
        for round in 0..80_usize {
            let callers = instances[round % instances.len()].callers;
            if round % 4 == 0 {
                _ = tokio::task::spawn_local(post_body(callers, "/stream/1", "k1", CRASHING));
            }
            let body = format!(r#"{{"prompt":{round}}}"#);
            innocent.push(tokio::task::spawn_local(async move {
                is_complete(post_body(callers, "/stream/1", "k1", &body).await)
            }));
            engines.step().await;
            sleep(ms(100)).await;
        }
        let crashes = engines.crashes.len();
        assert!(crashes >= MAX_CRASHES, "{crashes} crashes");
        let third = engines.crashes[MAX_CRASHES - 1].1;
        let sends = engines.sends_since(third + NOTICE);
        assert!(sends <= MAX_SENDS, "{sends} sends after the third of {crashes} crashes");
        assert!(third < start + ms(4_000), "third crash after {:?}", third - start);
        let mut served = 0;
        let sent = innocent.len();
        for request in innocent {
            served += usize::from(request.await.unwrap());
        }
        assert!(served + 2 >= sent, "{served} of {sent} other requests served");
    })
    .await;
}

/// Guards against an instance that forgets, at its restart, which requests crash runners.
#[tokio::test]
async fn instances_that_restart_in_turn_still_reject_a_crashing_request() {
    run_local(async {
        let mut engines = Engines::new(8).await;
        let mut instances = start_instances(&engines.platform, 3).await;
        engines.crash_through(&instances).await;
        for (index, instance) in instances.iter_mut().enumerate() {
            instance.process.kill();
            *instance = engines.platform.start(&format!("m{index}"));
            wait_until("the new instance is ready", async || instance.ready().await).await;
            sleep(NOTICE * 2).await;
        }
        let start = Instant::now();
        for instance in &instances {
            let response = post_body(instance.callers, "/stream/1", "k1", CRASHING).await;
            assert!(
                response.is_some_and(|r| r.status == 503 && r.headers.contains_key("retry-after"))
            );
        }
        assert_eq!(engines.sends_since(start), 0);
    })
    .await;
}

/// Guards against instances that all forget at the same time which requests crash runners.
#[tokio::test]
async fn instances_that_restart_together_still_reject_a_crashing_request() {
    run_local(async {
        let mut engines = Engines::new(8).await;
        let mut instances = start_instances(&engines.platform, 3).await;
        engines.crash_through(&instances).await;
        sleep(NOTICE).await;
        instances.iter_mut().for_each(|instance| instance.process.kill());
        let instances = start_instances(&engines.platform, 3).await;
        sleep(RESTART_DELAY).await;
        engines.step().await;
        let start = Instant::now();
        for instance in &instances {
            let response = post_body(instance.callers, "/stream/1", "k1", CRASHING).await;
            assert_eq!(response.map(|r| r.status), Some(503));
        }
        assert_eq!(engines.sends_since(start), 0);
    })
    .await;
}

/// Guards against blaming a popular request for runners that crash by themselves.
#[tokio::test]
async fn popular_request_is_served_while_runners_crash_by_themselves() {
    run_local(async {
        let mut engines = Engines::new(8).await;
        let instances = start_instances(&engines.platform, 3).await;
        let mut requests = Vec::new();
        for round in 0..80_usize {
            let callers = instances[round % instances.len()].callers;
            requests.push(tokio::task::spawn_local(async move {
                is_complete(post_body(callers, "/stream/1", "k1", "{}").await)
            }));
            if round % 7 == 6 {
                let runners = &engines.platform.runners;
                let mut running = runners.iter().filter(|r| {
                    r.service == ENGINES && !r.is_crashed.get() && r.request_count() > 0
                });
                if let Some(runner) = running.next_back() {
                    runner.crash();
                }
            }
            engines.step().await;
            sleep(ms(100)).await;
        }
        assert!(engines.crashes.len() > 2 * MAX_CRASHES, "{} crashes", engines.crashes.len());
        let sent = requests.len();
        let mut served = 0;
        for request in requests {
            served += usize::from(request.await.unwrap());
        }
        assert_eq!(served, sent, "requests served");
    })
    .await;
}

/// Guards against blaming a request for connections that break although its runner keeps running.
#[tokio::test]
async fn request_is_not_blamed_for_connections_that_break() {
    run_local(async {
        let engines = Engines::new(2).await;
        let broken = Script::Events { last: 3, gap: ms(10), end: StreamEnd::Reset };
        engines.platform.runners.iter().for_each(|r| _ = r.script.replace(broken.clone()));
        let instances = start_instances(&engines.platform, 1).await;
        for _ in 0..3 {
            _ = post_body(instances[0].callers, "/stream/1", "k1", "{}").await;
        }
        engines.platform.runners.iter().for_each(|r| _ = r.script.replace(EVENTS));
        // Until the engines' cool-down has ended.
        sleep(ms(4_500)).await;
        assert!(is_complete(post_body(instances[0].callers, "/stream/1", "k1", "{}").await));
    })
    .await;
}

/// Guards against a request that is cleared although it crashes runners, because a resumed run of it
/// completes on another one, behind the event that crashes them.
#[tokio::test]
async fn request_that_crashes_runners_late_is_rejected_by_all_instances() {
    run_local(async {
        let mut engines = Engines::new(8).await;
        engines.crash_delay = Some(ms(530));
        engines.arm();
        let instances = start_instances(&engines.platform, 3).await;
        for round in 0..70_usize {
            let callers = instances[round % instances.len()].callers;
            if round % 4 == 0 {
                _ = tokio::task::spawn_local(post_body(callers, "/stream/1", "k1", CRASHING));
            }
            engines.step().await;
            sleep(ms(100)).await;
        }
        let crashes = engines.crashes.len();
        assert!(crashes >= MAX_CRASHES, "{crashes} crashes");
        let third = engines.crashes[MAX_CRASHES - 1].1;
        let sends = engines.sends_since(third + NOTICE);
        assert!(sends <= MAX_SENDS, "{sends} sends after the third of {crashes} crashes");
    })
    .await;
}

/// Guards against a request that crashes runner after runner because several callers send it at the same
/// time.
#[tokio::test]
async fn copies_of_a_request_at_the_same_time_are_rejected_by_all_instances() {
    run_local(async {
        let mut engines = Engines::new(12).await;
        let instances = start_instances(&engines.platform, 6).await;
        for round in 0..100_usize {
            if round % 4 == 0 {
                for copy in 0..COPIES {
                    let callers = instances[(round + copy) % instances.len()].callers;
                    _ = tokio::task::spawn_local(post_body(callers, "/stream/1", "k1", CRASHING));
                }
            }
            engines.step().await;
            sleep(ms(100)).await;
        }
        let crashes = engines.crashes.len();
        assert!(crashes >= MAX_CRASHES, "{crashes} crashes");
        let third = engines.crashes[MAX_CRASHES - 1].1;
        let sends = engines.sends_since(third + NOTICE);
        let seen = format!("{sends} sends after the third of {crashes} crashes");
        println!("{seen}");
        assert!(sends <= MAX_SENDS && crashes <= MAX_CRASHES * COPIES, "{seen}");
    })
    .await;
}

/// Sends a request that takes the engines' hosts down, by `callers` callers at a time, and checks that it
/// is rejected in time.
async fn check_dark_crashes(dark: Dark, callers: usize) {
    let mut engines = Engines::new(12).await;
    engines.dark = dark;
    engines.arm();
    let instances = start_instances(&engines.platform, 6).await;
    for round in 0..160_usize {
        if round % 4 == 0 {
            for caller in 0..callers {
                let callers = instances[(round / 4 + caller) % instances.len()].callers;
                _ = tokio::task::spawn_local(post_body(callers, "/stream/1", "k1", CRASHING));
            }
        }
        engines.step().await;
        sleep(ms(100)).await;
    }
    let crashes = engines.crashes.len();
    assert!(crashes >= MAX_CRASHES, "{crashes} crashes");
    let third = engines.crashes[MAX_CRASHES - 1].1;
    let sends = engines.sends_since(third + CONTACT);
    let seen = format!("{sends} sends later than {CONTACT:?} after the third of {crashes} crashes");
    println!("{seen}");
    assert!(sends <= MAX_SENDS, "{seen}");
}

/// Guards against a request that is sent again and again because its crashes look like silences: the
/// runners' hosts fail with them, so that no connection is closed or refused.
#[tokio::test]
async fn request_that_takes_hosts_down_is_rejected_by_all_instances() {
    run_local(check_dark_crashes(Dark::All, 1)).await;
}

/// Guards against the same if several callers send the request at the same time.
#[tokio::test]
async fn copies_of_a_request_that_takes_hosts_down_are_rejected_by_all_instances() {
    run_local(check_dark_crashes(Dark::All, COPIES)).await;
}

/// Guards against the same if only a part of the crashes look like silences.
#[tokio::test]
async fn request_that_takes_some_hosts_down_is_rejected_by_all_instances() {
    run_local(check_dark_crashes(Dark::Half, 1)).await;
}

/// Sends a popular request while the hosts of engines go down by themselves: `count` of a failure domain
/// every 3 s; checks that it is served.
async fn check_popular_request(count: usize) {
    let mut engines = Engines::new(12).await;
    engines.dark = Dark::All;
    engines.arm();
    let instances = start_instances(&engines.platform, 6).await;
    let mut requests = Vec::new();
    for round in 0..120_usize {
        let callers = instances[round % instances.len()].callers;
        requests.push(tokio::task::spawn_local(async move {
            is_complete(post_body(callers, "/stream/1", "k1", "{}").await)
        }));
        if round % 30 == 20 {
            let domain = ["a", "b", "c"][round / 30 % 3];
            let running = engines.platform.runners.iter().filter(|r| {
                r.service == ENGINES && r.domain == domain && !r.is_crashed.get() && !r.is_paused()
            });
            running.take(count).for_each(|runner| runner.pause());
        }
        engines.step().await;
        sleep(ms(100)).await;
    }
    assert!(engines.crashes.len() > MAX_CRASHES, "{} crashes", engines.crashes.len());
    let sent = requests.len();
    let mut served = 0;
    for request in requests {
        served += usize::from(request.await.unwrap());
    }
    assert_eq!(served, sent, "requests served");
}

/// Guards against blaming a popular request for runners whose hosts go down by themselves.
#[tokio::test]
async fn popular_request_is_served_while_hosts_go_down() {
    run_local(check_popular_request(2)).await;
}

/// Guards against the same if all of a failure domain go down together.
#[tokio::test]
async fn popular_request_is_served_while_a_failure_domain_goes_down() {
    run_local(check_popular_request(usize::MAX)).await;
}

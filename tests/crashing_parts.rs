//! Prompts with a part that crashes the runners that run them, through instances that run as processes.

#[path = "relay/process.rs"]
#[allow(dead_code, reason = "shared with the other tests of the program")]
mod process;
#[path = "relay/support.rs"]
#[allow(dead_code, reason = "shared with the in-memory tests")]
mod support;

use {
    process::{Instance, Platform, post_prompt, wait_until},
    std::{ops::Range, time::Duration},
    support::{CrashingPart, ENGINES, Script, StreamEnd, ms, run_local, shared_parts},
    tokio::{
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

const INSTANCES: usize = 3;
const ENGINE_COUNT: usize = 12;
/// Number of engines if crashed ones cannot be registered again.
const LARGE_ENGINE_COUNT: usize = 36;
/// Streams of 1.8 s.
const EVENTS: Script = Script::Events { last: 60, gap: ms(30), end: StreamEnd::Complete };
/// Time until a crashed runner is replaced.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Time from a crash until all instances must act on it.
const CONTACT: Duration = Duration::from_secs(3);
/// Crashes of runners after which a part may not reach runners more than [`MAX_SENDS`] times.
const MAX_CRASHES: usize = 5;
const MAX_SENDS: usize = 3;
/// Share of the sound requests that must be served while crashing ones are sent.
const MIN_SERVED: f64 = 0.9;
/// Interval of crashing requests.
const CRASHING_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(14);

/// Requests of a test.
#[derive(Clone, Copy)]
struct Load {
    /// Shared parts of the n-th crashing request; none if there is no such request.
    crashing: fn(usize) -> Option<String>,
    /// Shared parts of the n-th sound request.
    sound: fn(usize) -> String,
    /// Interval of sound requests.
    sound_interval: Duration,
}

/// A sound request, with whether it was served.
struct SoundRequest {
    at: Instant,
    key: &'static str,
    served: JoinHandle<bool>,
}

struct Engines {
    platform: Platform,
    crashing: Vec<CrashingPart>,
    /// Index and time of each crash, with whether the engine is replaced.
    crashes: Vec<(usize, Instant, bool)>,
}

impl Engines {
    async fn new(crashing: &[CrashingPart]) -> Engines {
        Engines::with_count(crashing, ENGINE_COUNT).await
    }

    async fn with_count(crashing: &[CrashingPart], count: usize) -> Engines {
        let crashing = crashing.to_vec();
        let mut engines =
            Engines { platform: Platform::new().await, crashing, crashes: Vec::new() };
        engines.platform.put("op", "config", &two_accounts());
        for runner in engines.platform.runners.iter().filter(|r| r.service == ENGINES) {
            runner.script.replace(EVENTS);
            runner.crashing_parts.replace(engines.crashing.clone());
        }
        while engines.platform.runners.len() < count + 1 {
            engines.start_engine().await;
        }
        engines
    }

    /// Makes these parts crash all engines from now on.
    fn arm(&mut self, crashing: &[CrashingPart]) {
        self.crashing = crashing.to_vec();
        for runner in &self.platform.runners {
            runner.crashing_parts.replace(self.crashing.clone());
        }
    }

    async fn start_engine(&mut self) {
        let index = self.platform.runners.len();
        let domain = ["a", "b", "c"][index % 3];
        self.platform.start_runner(&format!("r{index}"), ENGINES, domain, EVENTS).await;
        let runner = self.platform.runners.last().expect("a runner was started");
        runner.crashing_parts.replace(self.crashing.clone());
    }

    /// Records new crashes and replaces the engines whose restart is due.
    async fn step(&mut self) {
        for (index, runner) in self.platform.runners.iter().enumerate() {
            let is_known = self.crashes.iter().any(|(known, ..)| *known == index);
            if runner.is_crashed.get() && !is_known {
                self.crashes.push((index, Instant::now(), false));
            }
        }
        let is_due =
            |(_, at, replaced): &(usize, Instant, bool)| !replaced && at.elapsed() >= RESTART_DELAY;
        while let Some(position) = self.crashes.iter().position(is_due) {
            self.crashes[position].2 = true;
            let id = self.platform.runners[self.crashes[position].0].id.clone();
            self.platform.store.put("servers", &id, None);
            self.start_engine().await;
        }
    }

    /// Returns the time of the fifth crash.
    fn fifth_crash(&self) -> Option<Instant> {
        Some(self.crashes.get(MAX_CRASHES - 1)?.1)
    }

    /// Returns the number of requests with a crashing part that reached runners after `start`.
    fn sends_since(&self, start: Instant) -> usize {
        let is_crashing = |request: &&support::ReceivedRequest| {
            shared_parts(&request.headers).any(|id| self.crashing.iter().any(|part| part.id == id))
        };
        let count = |runner: &support::Runner| {
            let requests = runner.requests.borrow();
            requests.iter().filter(|r| r.at > start).filter(is_crashing).count()
        };
        self.platform.runners.iter().map(|runner| count(runner)).sum()
    }

    /// Sends the requests of a load to the instances in turn; returns the sound ones.
    async fn apply(
        &mut self,
        load: Load,
        instances: &[Instance],
        time: Duration,
    ) -> Vec<SoundRequest> {
        let start = Instant::now();
        let (mut crashing, mut sound) = (0_usize, Vec::new());
        while start.elapsed() < time {
            if start.elapsed() >= CRASHING_INTERVAL * crashing as u32 {
                let callers = instances[crashing % instances.len()].callers;
                if let Some(shared) = (load.crashing)(crashing) {
                    let parts = format!("{shared},{:x}:4800", 0xc000_0000 + crashing);
                    let body = format!(r#"{{"prompt":"crashing {crashing}"}}"#);
                    tokio::task::spawn_local(async move {
                        _ = post_prompt(callers, "/stream/1", "k1", &body, &parts).await;
                    });
                }
                crashing += 1;
            }
            if start.elapsed() >= load.sound_interval * sound.len() as u32 {
                sound.push(send_sound(load, instances, sound.len()));
            }
            self.step().await;
            sleep(ms(10)).await;
        }
        sound
    }

    /// Checks that crashing parts are quarantined in time, and that sound requests are served.
    async fn check(&mut self, load: Load, instances: &[Instance]) {
        let sound = self.apply(load, instances, LOAD_TIME).await;
        let crashes = self.crashes.len();
        let fifth = self.fifth_crash().expect("the part crashes runners");
        let sends = self.sends_since(fifth + CONTACT);
        let (same, other) = served_shares(sound, fifth + CONTACT * 2).await;
        let seen =
            format!("{crashes} crashes, {sends} late sends, served {same:.3} and {other:.3}");
        println!("{seen}");
        assert!(sends <= MAX_SENDS, "{seen}");
        assert!(same >= MIN_SERVED && other >= MIN_SERVED, "{seen}");
    }
}

/// Sends a sound request, every fourth of another account.
fn send_sound(load: Load, instances: &[Instance], index: usize) -> SoundRequest {
    let callers = instances[index % instances.len()].callers;
    let key = if index % 4 == 3 { "k2" } else { "k1" };
    let parts = format!("{},{:x}:4800", (load.sound)(index), 0x5000_0000 + index);
    let body = format!(r#"{{"prompt":"sound {index}"}}"#);
    let request = async move {
        let received = post_prompt(callers, "/stream/1", key, &body, &parts).await;
        received.is_some_and(|r| r.status == 200 && r.text.contains("id: 60\n"))
    };
    SoundRequest { at: Instant::now(), key, served: tokio::task::spawn_local(request) }
}

/// Returns the shares of the requests sent after `start` that were served, by account.
async fn served_shares(sound: Vec<SoundRequest>, start: Instant) -> (f64, f64) {
    let mut counts = [(0_u32, 0_u32); 2];
    for request in sound.into_iter().filter(|request| request.at > start) {
        let count = &mut counts[usize::from(request.key == "k2")];
        count.0 += u32::from(request.served.await.unwrap());
        count.1 += 1;
    }
    let share = |(served, sent): (u32, u32)| {
        assert!(sent > 0, "no sound requests were sent");
        f64::from(served) / f64::from(sent)
    };
    (share(counts[0]), share(counts[1]))
}

/// Returns a catalogue with two accounts, which hold one key each.
fn two_accounts() -> serde_json::Value {
    let mut config = Platform::catalog(2, &["k1"]);
    config["tenants"] = serde_json::json!([
        {"name": "desk", "api_keys": ["k1"]}, {"name": "kiosk", "api_keys": ["k2"]}]);
    config
}

async fn start_instances(platform: &Platform, names: Range<usize>) -> Vec<Instance> {
    let count = names.len();
    let instances: Vec<Instance> =
        names.map(|index| platform.start(&format!("n{index}"))).collect();
    for instance in &instances {
        wait_until("each instance knows all", async || instance.resolve().await.len() == count)
            .await;
    }
    instances
}

fn crashing_part(id: &str) -> CrashingPart {
    CrashingPart { id: id.into(), delay: ms(50), on_resume: true }
}

/// Parts of sound requests: a shared first part, and one of six others.
fn sound_parts(index: usize) -> String {
    format!("a1:200,b{}:100", index % 6)
}

const MIDDLE: Load = Load {
    crashing: |_| Some("a1:200,dead:100".into()),
    sound: sound_parts,
    sound_interval: Duration::from_millis(70),
};

async fn check(crashing: &[CrashingPart], load: Load) {
    run_local(async {
        let mut engines = Engines::new(crashing).await;
        let instances = start_instances(&engines.platform, 0..INSTANCES).await;
        engines.check(load, &instances).await;
    })
    .await;
}

/// Guards against requests that crash one runner after the other because each differs from the earlier
/// ones in everything but one part of its prompt.
#[tokio::test]
async fn part_that_crashes_runners_is_quarantined() {
    check(&[crashing_part("dead")], MIDDLE).await;
}

/// Guards against a crashing first part that is not found because nothing precedes it.
#[tokio::test]
async fn first_part_that_crashes_runners_is_quarantined() {
    let crashing = |index| Some(format!("dead:200,b{}:100", index % 6));
    check(&[crashing_part("dead")], Load { crashing, ..MIDDLE }).await;
}

/// Guards against quarantining the sound parts beside a crashing one whose position varies.
#[tokio::test]
async fn crashing_part_is_found_at_any_position() {
    let crashing = |index: usize| {
        let mut parts = vec!["a1:200".to_owned(), format!("b{}:100", index % 6), "e5:50".into()];
        parts.insert(index % 4, "dead:100".into());
        Some(parts.join(","))
    };
    let sound = |index| format!("a1:200,b{}:100,e5:50", index % 6);
    check(&[crashing_part("dead")], Load { crashing, sound, ..MIDDLE }).await;
}

/// Guards against blaming a first part with few sound runs for the crashes of the part behind it.
#[tokio::test]
async fn rare_first_part_is_not_quarantined_with_a_crashing_one() {
    let crashing = |_| Some("f00d:200,dead:100".into());
    let sound = |index: usize| match index % 20 {
        0 | 7 => "f00d:200,b1:100".into(),
        _ => sound_parts(index),
    };
    check(&[crashing_part("dead")], Load { crashing, sound, ..MIDDLE }).await;
}

/// Guards against evidence on two crashing parts that hides both.
#[tokio::test]
async fn two_crashing_parts_at_once_are_quarantined() {
    let crashing = |index| Some(format!("a1:200,{}:100", ["dead", "beef"][index % 2]));
    check(&[crashing_part("dead"), crashing_part("beef")], Load { crashing, ..MIDDLE }).await;
}

/// Guards against a part that is cleared because each request with it completes on another runner, behind
/// the event that crashes runners.
#[tokio::test]
async fn part_that_crashes_runners_late_is_quarantined() {
    let late = CrashingPart { id: "dead".into(), delay: ms(530), on_resume: false };
    check(&[late], MIDDLE).await;
}

/// Guards against a quarantine that depends on the store.
#[tokio::test]
async fn crashing_part_is_quarantined_while_the_store_is_unavailable() {
    run_local(async {
        let mut engines = Engines::with_count(&[crashing_part("dead")], LARGE_ENGINE_COUNT).await;
        let instances = start_instances(&engines.platform, 0..INSTANCES).await;
        engines.platform.reject_store_requests(true);
        let load = Load { sound_interval: ms(200), ..MIDDLE };
        let sound = engines.apply(load, &instances, LOAD_TIME).await;
        let fifth = engines.fifth_crash().expect("the part crashes runners");
        let sends = engines.sends_since(fifth + CONTACT);
        assert!(sends <= MAX_SENDS, "{sends} sends, {} crashes", engines.crashes.len());
        let (same, other) = served_shares(sound, fifth + CONTACT * 2).await;
        assert!(same >= MIN_SERVED && other >= MIN_SERVED, "served {same:.3} and {other:.3}");
    })
    .await;
}

/// Guards against instances that forget, at their restarts, which parts crash runners.
#[tokio::test]
async fn crashing_part_stays_quarantined_while_instances_restart() {
    run_local(async {
        let mut engines = Engines::new(&[crashing_part("dead")]).await;
        let mut instances = start_instances(&engines.platform, 0..INSTANCES).await;
        engines.apply(MIDDLE, &instances, ms(5_000)).await;
        for (index, instance) in instances.iter_mut().enumerate() {
            instance.process.kill();
            *instance = engines.platform.start(&format!("m{index}"));
            wait_until("the new instance is ready", async || instance.ready().await).await;
            sleep(ms(2_000)).await;
        }
        let start = Instant::now();
        engines.apply(MIDDLE, &instances, ms(2_000)).await;
        assert_eq!(engines.sends_since(start), 0, "after restarts in turn");
    })
    .await;
}

/// Guards against instances that all forget, when they are replaced at the same time, which parts crash
/// runners.
#[tokio::test]
async fn crashing_part_stays_quarantined_after_all_instances_are_replaced() {
    run_local(async {
        let mut engines = Engines::new(&[crashing_part("dead")]).await;
        let mut instances = start_instances(&engines.platform, 0..INSTANCES).await;
        engines.apply(MIDDLE, &instances, ms(5_000)).await;
        instances.iter_mut().for_each(|instance| instance.process.kill());
        let instances = start_instances(&engines.platform, 10..10 + INSTANCES).await;
        let start = Instant::now();
        engines.apply(MIDDLE, &instances, ms(2_000)).await;
        assert_eq!(engines.sends_since(start), 0);
    })
    .await;
}

/// Guards against blaming a popular part for runners that crash by themselves.
#[tokio::test]
async fn popular_part_is_served_while_runners_crash_by_themselves() {
    run_local(async {
        let mut engines = Engines::new(&[]).await;
        let instances = start_instances(&engines.platform, 0..INSTANCES).await;
        let load = Load { crashing: |_| None, sound: |_| "a1:200".into(), ..MIDDLE };
        let (start, mut sound) = (Instant::now(), Vec::new());
        for crash in 1..=18 {
            sound.extend(engines.apply(load, &instances, ms(700)).await);
            let mut running = engines.platform.runners.iter().filter(|runner| {
                let is_running = !runner.is_crashed.get() && runner.running_streams() > 0;
                runner.service == ENGINES && is_running
            });
            if let Some(runner) = running.nth(crash % 5) {
                runner.crash();
            }
        }
        assert!(engines.crashes.len() > 2 * MAX_CRASHES, "{} crashes", engines.crashes.len());
        sleep_until(Instant::now() + ms(100)).await;
        let (same, other) = served_shares(sound, start).await;
        assert!(same >= 0.99 && other >= 0.99, "served {same:.3} and {other:.3}");
    })
    .await;
}

/// Guards against a part that crashes runners on and on because it was sound before, for example with an
/// earlier version of the model.
#[tokio::test]
async fn part_that_was_sound_before_is_quarantined() {
    run_local(async {
        let mut engines = Engines::new(&[]).await;
        let instances = start_instances(&engines.platform, 0..2 * INSTANCES).await;
        let load = Load { crashing: |i| (i % 6 == 0).then(|| "a1:200,dead:100".into()), ..MIDDLE };
        engines.apply(load, &instances, ms(6_000)).await;
        engines.arm(&[crashing_part("dead")]);
        engines.check(load, &instances).await;
    })
    .await;
}

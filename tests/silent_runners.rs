//! Streams while sound runners, or the instances, are silent, through instances that run as processes.

#[path = "relay/process.rs"]
#[allow(dead_code, reason = "shared with the other tests of the program")]
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
    process::{Instance, Platform, wait_until},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashSet},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    support::{ENGINES, Runner, Script, Span, ms, run_local},
    tokio::{
        net::TcpStream,
        sync::{Semaphore, SemaphorePermit},
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep_until, timeout},
    },
};

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const ENGINE_COUNT: usize = 12;
const INSTANCE_COUNT: usize = 6;
/// Time between two new streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(60);
const GENERATE: Script = Script::Generate { prefill: ms(150), gap: ms(40) };
/// Time from a change of the catalogue to the silence.
const CHANGE_LEAD: Duration = Duration::from_millis(400);
/// Time without events that the catalogue allows.
const TARGET_GAP: Duration = Duration::from_millis(700);
/// Delay that a busy machine may add to an event.
const GAP_SLACK: Duration = Duration::from_millis(500);
/// Time to notice that the holder of a replica is silent too.
const PROBE_TIME: Duration = Duration::from_millis(300);
/// Deadline of each stream, and the time after which the caller gives up.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time for which several runners may work on the same request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// Time from the end of a silence to the end of all runs without a caller.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// How a stream ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Whole,
    /// Events are missing, repeated or out of order.
    Wrong,
    Cut,
    Rejected(u16),
    Unfinished,
}

/// A stream as its caller received it.
struct Stream {
    id: String,
    /// Name of the instance.
    instance: String,
    sent: Instant,
    /// Id of the last event.
    last: u64,
    /// Ids of the received events, with their times.
    events: RefCell<Vec<(u64, Instant)>>,
    end: Cell<End>,
    /// Whether the caller has left.
    is_left: Cell<bool>,
}

impl Stream {
    fn request(&self) -> Request<Full<Bytes>> {
        let Stream { id, last, .. } = self;
        let request = Request::post("/stream/1")
            .header("host", "desk.example")
            .header("x-bilberryfront-attempt-id", id)
            .header("x-bilberryfront-deadline-ms", DEADLINE.as_millis().to_string())
            .header("x-bilberryfront-token-counts", format!("1000,{last}"))
            .header("x-bilberryfront-prompt-prefix", format!("a1:200,{id}:800"))
            .header("authorization", "Bearer k1");
        request.body(Full::from(format!(r#"{{"prompt":"{id}"}}"#))).unwrap()
    }

    /// Receives the stream; returns `None` if it is cut. The connection is closed on drop.
    async fn receive(&self, instance: SocketAddr) -> Option<End> {
        let stream = TcpStream::connect(instance).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let mut tasks = JoinSet::new();
        tasks.spawn_local(connection);
        let (parts, mut body) = sender.send_request(self.request()).await.ok()?.into_parts();
        if parts.status != 200 {
            return Some(End::Rejected(parts.status.as_u16()));
        }
        let mut text = String::new();
        while let Some(frame) = body.frame().await {
            text.push_str(str::from_utf8(frame.ok()?.data_ref()?).unwrap());
            while let Some((event, rest)) = text.split_once("\n\n") {
                let id = event.lines().find_map(|line| line.strip_prefix("id: "));
                let event = (id.unwrap().parse().unwrap(), Instant::now());
                self.events.borrow_mut().push(event);
                text = rest.to_owned();
            }
        }
        let is_whole = self.events.borrow().iter().map(|(id, _)| *id).eq(1..=self.last);
        Some(if is_whole { End::Whole } else { End::Wrong })
    }

    fn is_waiting_at(&self, time: Instant) -> bool {
        self.sent < time && self.events.borrow().first().is_none_or(|(_, at)| *at > time)
    }

    fn longest_gap(&self) -> Duration {
        let events = self.events.borrow();
        let gaps = events.windows(2).map(|pair| pair[1].1 - pair[0].1);
        gaps.max().unwrap_or_default()
    }
}

/// Limits the number of deployments at a time, so that the tests don't delay each other.
static DEPLOYMENTS: Semaphore = Semaphore::const_new(6);

/// Instances with engines behind them, and callers that start streams at the instances in turn.
struct Deployment {
    platform: Platform,
    instances: Vec<Instance>,
    /// Version of the catalogue.
    version: u64,
    next_stream: Instant,
    /// Position of the instance that gets no new streams, as it stops.
    stopping: Option<usize>,
    streams: Vec<(Rc<Stream>, JoinHandle<()>)>,
    /// Starts of silences.
    silences: Vec<Instant>,
    _permit: SemaphorePermit<'static>,
}

impl Deployment {
    async fn start() -> Deployment {
        let permit = DEPLOYMENTS.acquire().await.unwrap();
        let mut platform = Platform::new().await;
        // Longer than any stream.
        platform.grace = Duration::from_secs(12);
        for index in 2..ENGINE_COUNT {
            let (id, domain) = (format!("e{}", index + 1), DOMAINS[index % DOMAINS.len()]);
            platform.start_runner(&id, ENGINES, domain, GENERATE).await;
        }
        for runner in platform.runners.iter().filter(|runner| runner.service == ENGINES) {
            runner.script.replace(GENERATE);
        }
        let start = |index: usize| {
            let domain = DOMAINS[index % DOMAINS.len()];
            platform.start_in(&format!("n{}", index + 1), domain, platform.handle.addr)
        };
        let instances: Vec<Instance> = (0..INSTANCE_COUNT).map(start).collect();
        for instance in &instances {
            wait_until("each instance knows all", async || {
                instance.ready().await && instance.resolve().await.len() == INSTANCE_COUNT
            })
            .await;
        }
        let mut deployment = Deployment {
            platform,
            instances,
            version: 1,
            next_stream: Instant::now(),
            stopping: None,
            streams: Vec::new(),
            silences: Vec::new(),
            _permit: permit,
        };
        deployment.advance(ms(1_000)).await;
        deployment
    }

    fn engines(&self) -> Vec<Rc<Runner>> {
        let runners = self.platform.runners.iter();
        runners.filter(|runner| runner.service == ENGINES).cloned().collect()
    }

    fn engines_in(&self, domain: &str) -> Vec<Rc<Runner>> {
        self.engines().into_iter().filter(|engine| engine.domain == domain).collect()
    }

    /// Returns some engines, of several failure domains; others in each round.
    fn some_engines(&self, count: usize, round: usize) -> Vec<Rc<Runner>> {
        let engines = self.engines();
        let indices = (0..count).map(|index| (round * count + index) * 5 % ENGINE_COUNT);
        indices.map(|index| engines[index].clone()).collect()
    }

    /// Starts streams until this time has passed.
    async fn advance(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while self.next_stream < end {
            sleep_until(self.next_stream).await;
            self.next_stream += STREAM_INTERVAL;
            self.start_stream();
        }
        sleep_until(end).await;
    }

    fn start_stream(&mut self) {
        let count = self.streams.len();
        let open: Vec<usize> =
            (0..INSTANCE_COUNT).filter(|index| self.stopping != Some(*index)).collect();
        let instance = open[count % open.len()];
        let callers = self.instances[instance].callers;
        let stream = Rc::new(Stream {
            id: format!("{:x}", 0xa000 + count),
            instance: format!("n{}", instance + 1),
            sent: Instant::now(),
            last: 30 + count as u64 * 17 % 41,
            events: RefCell::default(),
            end: Cell::new(End::Unfinished),
            is_left: Cell::new(false),
        });
        let received = stream.clone();
        let task = tokio::task::spawn_local(async move {
            let end = timeout(DEADLINE * 2, received.receive(callers)).await;
            received.end.set(end.map_or(End::Unfinished, |end| end.unwrap_or(End::Cut)));
        });
        self.streams.push((stream, task));
    }

    /// Changes the catalogue, and waits until the silence that follows.
    async fn change_catalog(&mut self) {
        self.version += 1;
        let key = format!("k{}", self.version);
        self.platform.put_catalog(self.version, &["k1", &key]);
        self.advance(CHANGE_LEAD).await;
    }

    /// Pauses engines for some time.
    async fn pause(&mut self, engines: &[Rc<Runner>], time: Duration) {
        self.begin_pause(engines);
        self.advance(time).await;
        engines.iter().for_each(|engine| engine.unpause());
    }

    fn begin_pause(&mut self, engines: &[Rc<Runner>]) {
        let is_running = |engine: &Rc<Runner>| engine.running_streams() > 0;
        assert!(engines.iter().any(is_running), "no stream runs on these engines");
        self.silences.push(Instant::now());
        engines.iter().for_each(|engine| engine.pause());
    }

    /// Waits until all streams have ended, and returns them.
    async fn finish(&mut self) -> Vec<Rc<Stream>> {
        let (streams, tasks): (Vec<_>, Vec<_>) = self.streams.drain(..).unzip();
        join_all(tasks).await;
        streams
    }

    /// Checks that the callers that have not left got all events, and that no request was run by
    /// several runners for long.
    fn check(&self, streams: &[Rc<Stream>]) {
        for silence in &self.silences {
            let waiting = streams.iter().filter(|stream| stream.is_waiting_at(*silence)).count();
            assert!(waiting > 0, "no stream waits for its first event when the silence begins");
        }
        let gap = longest_gap(streams);
        let overlaps = self.overlaps();
        let (count, longest) = (streams.len(), overlaps.last());
        println!("{count} streams, longest gap {gap:?}, longest overlap {longest:?}");
        check_whole(streams);
        let too_long = overlaps.iter().filter(|(time, _)| *time > MAX_OVERLAP).count();
        assert!(too_long == 0, "several runners at work on {too_long} of {count}: {longest:?}");
    }

    /// Returns the longest time for which several runners worked on the same request, for each request;
    /// the longest one last.
    fn overlaps(&self) -> Vec<(Duration, String)> {
        let mut work = BTreeMap::<String, Vec<(Instant, Instant)>>::new();
        for engine in self.engines() {
            for (id, run) in engine.runs.borrow().iter() {
                work.entry(id.clone()).or_default().extend(time_at_work(&engine, *run));
            }
        }
        let overlaps = work.into_iter().map(|(id, work)| (longest_overlap(work), id));
        let mut overlaps: Vec<_> = overlaps.collect();
        overlaps.sort();
        overlaps
    }

    /// Returns the ids of these requests that runners are at work on.
    fn at_work(&self, ids: &HashSet<String>) -> Vec<String> {
        let mut active = Vec::new();
        for engine in self.engines() {
            let runs = engine.runs.borrow();
            let runs = runs.iter().filter(|(id, run)| run.end.is_none() && ids.contains(id));
            active.extend(runs.map(|(id, _)| format!("{id} at {}", engine.id)));
        }
        active
    }
}

/// Returns the times at which a run generated events, as its runner was not paused.
fn time_at_work(engine: &Runner, run: Span) -> Vec<(Instant, Instant)> {
    let now = Instant::now();
    let run_end = run.end.unwrap_or(now);
    let (mut work, mut start) = (Vec::new(), run.start);
    for pause in engine.pauses.borrow().iter() {
        let pause_end = pause.end.unwrap_or(now);
        if pause_end > start && pause.start < run_end {
            work.push((start, pause.start.max(start)));
            start = pause_end;
        }
    }
    work.push((start, run_end.max(start)));
    work
}

/// Returns the longest time that at least two of these spans cover.
fn longest_overlap(mut spans: Vec<(Instant, Instant)>) -> Duration {
    spans.sort();
    let Some((_, mut covered_until)) = spans.first().copied() else { return Duration::ZERO };
    let (mut longest, mut shared) = (Duration::ZERO, None::<(Instant, Instant)>);
    for (start, end) in spans.into_iter().skip(1) {
        let shared_end = end.min(covered_until);
        covered_until = covered_until.max(end);
        if shared_end <= start {
            continue;
        }
        let (from, until) = match shared {
            Some((from, until)) if until >= start => (from, until.max(shared_end)),
            _ => (start, shared_end),
        };
        shared = Some((from, until));
        longest = longest.max(until - from);
    }
    longest
}

/// Returns the longest time between two events, with the id of its stream.
fn longest_gap(streams: &[Rc<Stream>]) -> (Duration, &str) {
    streams.iter().map(|s| (s.longest_gap(), s.id.as_str())).max().expect("there are streams")
}

/// Checks that the callers that have not left got all events, once and in order.
fn check_whole(streams: &[Rc<Stream>]) {
    let mut failed = BTreeMap::<End, usize>::new();
    let mut first = Vec::new();
    for stream in streams {
        let Stream { id, instance, end, .. } = &**stream;
        if stream.is_left.get() || end.get() == End::Whole {
            continue;
        }
        *failed.entry(end.get()).or_default() += 1;
        let events = stream.events.borrow().len();
        first.push(format!("{id} at {instance}: {:?} after {events} events", end.get()));
    }
    first.truncate(10);
    let count = streams.len();
    assert!(failed.is_empty(), "failed of {count} streams: {failed:?}\n{}", first.join("\n"));
}

/// Guards against streams that are cut, or rejected before their first event, while all runners are
/// silent for about a second, again and again, beside changes of the catalogue.
#[tokio::test]
async fn streams_survive_short_silences_of_all_runners() {
    run_local(async {
        let mut deployment = Deployment::start().await;
        let engines = deployment.engines();
        for _ in 0..3 {
            deployment.change_catalog().await;
            deployment.pause(&engines, ms(1_200)).await;
            deployment.advance(ms(1_000)).await;
        }
        let streams = deployment.finish().await;
        deployment.check(&streams);
    })
    .await;
}

/// Guards against streams that are cut, or rejected before their first event, although all runners go
/// on long before the deadline.
#[tokio::test]
async fn streams_survive_a_long_silence_of_all_runners() {
    run_local(async {
        let mut deployment = Deployment::start().await;
        let engines = deployment.engines();
        deployment.change_catalog().await;
        deployment.pause(&engines, ms(3_000)).await;
        deployment.advance(ms(1_000)).await;
        let streams = deployment.finish().await;
        deployment.check(&streams);
    })
    .await;
}

/// Guards against streams that are cut because the other runners cannot take over those of many
/// silent ones.
#[tokio::test]
async fn streams_survive_a_silence_of_most_runners() {
    run_local(async {
        let mut deployment = Deployment::start().await;
        for round in 0..2 {
            let engines = deployment.some_engines(ENGINE_COUNT * 6 / 10, round);
            deployment.change_catalog().await;
            deployment.pause(&engines, ms(1_100)).await;
            deployment.advance(ms(1_000)).await;
        }
        let streams = deployment.finish().await;
        deployment.check(&streams);
    })
    .await;
}

/// Silences engines for good, and returns the longest time between two events of a stream.
async fn gap_beside_engines_silent_for_good(
    select: impl Fn(&Deployment) -> Vec<Rc<Runner>>,
) -> Duration {
    let mut deployment = Deployment::start().await;
    let engines = select(&deployment);
    assert_eq!(engines.len(), ENGINE_COUNT / 4);
    deployment.change_catalog().await;
    deployment.begin_pause(&engines);
    deployment.advance(ms(4_000)).await;
    let streams = deployment.finish().await;
    deployment.check(&streams);
    longest_gap(&streams).0
}

/// Guards against streams that are cut because the runners that took them over fall silent in turn.
#[tokio::test]
async fn streams_survive_silences_of_one_domain_after_the_other() {
    run_local(async {
        let mut deployment = Deployment::start().await;
        deployment.change_catalog().await;
        let domains = DOMAINS.map(|domain| deployment.engines_in(domain));
        // Each domain goes on 0.5 s after the next one has fallen silent.
        deployment.begin_pause(&domains[0]);
        for pair in domains.windows(2) {
            deployment.advance(ms(700)).await;
            deployment.begin_pause(&pair[1]);
            deployment.advance(ms(500)).await;
            pair[0].iter().for_each(|engine| engine.unpause());
        }
        deployment.advance(ms(700)).await;
        domains[3].iter().for_each(|engine| engine.unpause());
        deployment.advance(ms(1_000)).await;
        let streams = deployment.finish().await;
        deployment.check(&streams);
    })
    .await;
}

/// Guards against prompts that are prefilled twice, because their runners go on after other attempts
/// were started.
#[tokio::test]
async fn silent_runners_do_not_prefill_what_others_prefill() {
    run_local(async {
        let mut deployment = Deployment::start().await;
        let engines = deployment.engines();
        for engine in &engines {
            engine.script.replace(Script::Generate { prefill: ms(1_000), gap: ms(40) });
        }
        deployment.change_catalog().await;
        deployment.pause(&engines, ms(1_200)).await;
        deployment.advance(ms(1_000)).await;
        let streams = deployment.finish().await;
        deployment.check(&streams);
    })
    .await;
}

/// Guards against streams that are cut because instances that were suspended take the time for a
/// silence of the runners.
#[tokio::test]
async fn streams_survive_a_suspension_of_all_instances() {
    run_local(async {
        let mut deployment = Deployment::start().await;
        deployment.change_catalog().await;
        deployment.silences.push(Instant::now());
        deployment.instances.iter().for_each(|instance| instance.process.freeze());
        deployment.advance(ms(1_200)).await;
        deployment.instances.iter().for_each(|instance| instance.process.thaw());
        deployment.advance(ms(1_000)).await;
        let streams = deployment.finish().await;
        deployment.check(&streams);
    })
    .await;
}

/// Guards against two runners at work on a stream for longer than its instance was suspended, because one
/// of the runs is forgotten when events and timeouts are due at the same time.
#[tokio::test]
async fn runs_beside_each_other_end_when_a_suspension_ends() {
    const SUSPENSION: Duration = ms(1_000);
    run_local(async {
        let mut deployment = Deployment::start().await;
        for round in 0..4 {
            let engines = deployment.some_engines(ENGINE_COUNT / 2, round);
            deployment.change_catalog().await;
            deployment.begin_pause(&engines);
            // The silent runs have others beside them now.
            deployment.advance(ms(440 + 15 * round as u64)).await;
            deployment.instances.iter().for_each(|instance| instance.process.freeze());
            deployment.advance(ms(50)).await;
            engines.iter().for_each(|engine| engine.unpause());
            deployment.advance(SUSPENSION - ms(50)).await;
            deployment.instances.iter().for_each(|instance| instance.process.thaw());
            deployment.advance(ms(1_000)).await;
        }
        let streams = deployment.finish().await;
        check_whole(&streams);
        let overlaps = deployment.overlaps();
        println!("{} streams, longest overlap {:?}", streams.len(), overlaps.last());
        let too_long = overlaps.iter().filter(|(time, _)| *time > SUSPENSION + MAX_OVERLAP);
        assert_eq!(too_long.collect::<Vec<_>>(), Vec::<&(Duration, String)>::new());
    })
    .await;
}

/// Guards against streams that wait for runners that never go on, although the holders of their
/// replicas respond.
#[tokio::test]
async fn streams_continue_in_time_while_a_domain_is_silent_for_good() {
    run_local(async {
        let in_domain = |deployment: &Deployment| deployment.engines_in(DOMAINS[0]);
        let gap = gap_beside_engines_silent_for_good(in_domain).await;
        assert!(gap <= TARGET_GAP + GAP_SLACK, "longest time without an event: {gap:?}");
    })
    .await;
}

/// Guards against streams that wait for runners that never go on, although others than the holders of
/// their replicas respond.
#[tokio::test]
async fn streams_continue_in_time_while_runners_of_several_domains_are_silent_for_good() {
    run_local(async {
        let gap =
            gap_beside_engines_silent_for_good(|deployment| deployment.some_engines(3, 0)).await;
        let limit = TARGET_GAP + PROBE_TIME + GAP_SLACK;
        assert!(gap <= limit, "longest time without an event: {gap:?}");
    })
    .await;
}

/// Stops an instance some time after all engines have fallen silent, and checks all streams.
async fn stop_in_silence(delay: Duration) {
    let mut deployment = Deployment::start().await;
    let engines = deployment.engines();
    deployment.change_catalog().await;
    deployment.begin_pause(&engines);
    deployment.advance(delay).await;
    deployment.instances[0].process.terminate();
    deployment.stopping = Some(0);
    deployment.advance(ms(1_200) - delay).await;
    engines.iter().for_each(|engine| engine.unpause());
    deployment.advance(ms(1_000)).await;
    let streams = deployment.finish().await;
    deployment.check(&streams);
}

/// Guards against streams that are cut, although the grace period has not ended, when an instance is
/// stopped at the moment at which all runners fall silent.
#[tokio::test]
async fn streams_survive_a_stop_at_the_start_of_a_silence() {
    run_local(stop_in_silence(Duration::ZERO)).await;
}

/// Guards against streams that are cut, although the grace period has not ended, when an instance is
/// stopped while it looks for runners that respond.
#[tokio::test]
async fn streams_survive_a_stop_within_a_silence() {
    run_local(stop_in_silence(ms(700))).await;
}

/// Guards against runs that go on without a caller, because the caller has left while all runners
/// were silent.
#[tokio::test]
async fn no_run_outlasts_callers_that_leave_in_a_silence() {
    run_local(async {
        let mut deployment = Deployment::start().await;
        let engines = deployment.engines();
        deployment.change_catalog().await;
        deployment.begin_pause(&engines);
        deployment.advance(ms(700)).await;
        let mut left = HashSet::new();
        for (index, (stream, task)) in deployment.streams.iter().enumerate() {
            if index % 5 < 2 && !task.is_finished() {
                task.abort();
                stream.is_left.set(true);
                left.insert(stream.id.clone());
            }
        }
        deployment.advance(ms(500)).await;
        engines.iter().for_each(|engine| engine.unpause());
        deployment.advance(CANCEL_TIME).await;
        let active = deployment.at_work(&left);
        assert!(active.is_empty(), "{} of {}: {active:?}", active.len(), left.len());
        let streams = deployment.finish().await;
        deployment.check(&streams);
    })
    .await;
}

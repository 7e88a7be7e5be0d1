//! What clients, runners and the operator saw, and the faults that were injected.

use {
    super::{
        clients::Route,
        judge::Violation,
        runner::{EVENTS, LONG, Role},
        trouble::Trouble,
    },
    bytes::Bytes,
    serde_json::Value,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        fmt::Write as _,
        fs,
        net::SocketAddr,
        ops::Range,
        path::Path,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::time::Instant,
};

/// Statuses that promise that the request has not run and never will.
pub(super) const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Fault of a runner whose connections are closed as it crashes.
pub(crate) const KILLED: &str = "killed";
/// Maximum number of violations of a rule that are told in full.
const MAX_TOLD: usize = 4;

/// An attempt of a client.
#[derive(Clone)]
pub(crate) struct Attempt {
    pub(crate) route: Route,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    pub(crate) key: String,
    pub(crate) instance: String,
    /// Event after which the client resumes.
    pub(crate) after: u64,
    pub(crate) at: Instant,
    /// Time that it states to be left.
    pub(crate) left: Duration,
    pub(crate) end: Option<Instant>,
    pub(crate) status: Option<u16>,
    /// Body received so far.
    pub(crate) text: String,
    /// Whether the response ended without an error.
    pub(crate) complete: bool,
    /// Whether the response states no end of its body.
    pub(crate) closes: bool,
    /// Signature of the response.
    pub(crate) stamp: Option<String>,
}

impl Attempt {
    /// Returns the event after which the client retries, or `None` if it does not retry.
    fn next_position(&self) -> Option<u64> {
        let is_promised = self.status.is_some_and(|s| NOT_RUN.contains(&s));
        let is_final = self.status.is_some_and(|s| s < 500 && !is_promised) && self.complete;
        if is_final || (self.route.kind.runs_once() && !is_promised) {
            return None;
        }
        let position = events(&self.text).last().map_or(self.after, |(event, _)| event);
        (position < EVENTS).then_some(position)
    }
}

/// A request that has arrived at a runner.
#[derive(Clone)]
pub(crate) struct Run {
    pub(crate) id: String,
    pub(crate) runner: String,
    pub(crate) role: Role,
    pub(crate) address: SocketAddr,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    pub(crate) tenant: Option<String>,
    /// Replica that it starts from.
    pub(crate) from: Option<String>,
    pub(crate) after: Option<u64>,
    /// Time that the request states to be left.
    pub(crate) left: Option<Duration>,
    pub(crate) at: Instant,
    pub(crate) first: Option<Instant>,
    pub(crate) end: Option<Instant>,
    /// Status, if the runner has rejected it.
    pub(crate) rejected: Option<u16>,
    /// How its response is corrupted.
    pub(crate) trouble: Option<Trouble>,
}

impl Run {
    /// Returns whether it goes on from the replica that it names.
    pub(super) fn is_continued(&self) -> bool {
        self.from.is_some() && self.role.model.is_some()
    }
}

/// A fault of an instance or runner.
struct Disturbance {
    who: String,
    what: &'static str,
    from: Instant,
    to: Instant,
}

/// Everything that is judged.
pub(crate) struct Record {
    pub(super) start: Instant,
    wall: SystemTime,
    ids: Cell<u64>,
    pub(crate) attempts: RefCell<HashMap<String, Attempt>>,
    pub(crate) runs: RefCell<Vec<Run>>,
    disturbances: RefCell<Vec<Disturbance>>,
    /// Times for which the test itself, and so its runners, did not run.
    delays: RefCell<Vec<Range<Instant>>>,
    pub(super) catalogs: RefCell<Vec<Value>>,
    counts: RefCell<BTreeMap<&'static str, usize>>,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            start: Instant::now(),
            wall: SystemTime::now(),
            ids: Cell::default(),
            attempts: RefCell::default(),
            runs: RefCell::default(),
            disturbances: RefCell::default(),
            delays: RefCell::default(),
            catalogs: RefCell::default(),
            counts: RefCell::default(),
        }
    }
}

impl Record {
    /// Returns a new id with this prefix.
    pub(crate) fn next_id(&self, prefix: &str) -> String {
        self.ids.set(self.ids.get() + 1);
        format!("{prefix}{:05x}", self.ids.get())
    }

    /// Adds an arrival; returns its position.
    pub(crate) fn add(&self, run: Run) -> usize {
        let mut runs = self.runs.borrow_mut();
        runs.push(run);
        runs.len() - 1
    }

    /// Returns the event after which the client of an attempt retries, or `Some(None)` if it does not.
    pub(crate) fn next_position(&self, id: &str) -> Option<Option<u64>> {
        Some(self.attempts.borrow().get(id)?.next_position())
    }

    /// Records that an event of a run was generated.
    pub(crate) fn start_run(&self, index: usize) {
        self.runs.borrow_mut()[index].first.get_or_insert_with(Instant::now);
    }

    /// Adds a fault of an instance or runner, which begins now.
    pub(crate) fn disturb(&self, who: &str, what: &'static str, time: Duration) {
        self.count(what);
        let from = Instant::now();
        let disturbance = Disturbance { who: who.into(), what, from, to: from + time };
        self.disturbances.borrow_mut().push(disturbance);
    }

    /// Adds a time for which the test itself did not run.
    pub(crate) fn delay(&self, span: Range<Instant>) {
        self.count("test late by 50 ms");
        self.delays.borrow_mut().push(span);
    }

    /// Returns for how long the test itself did not run within a span.
    pub(super) fn delayed(&self, from: Instant, to: Instant) -> Duration {
        let delays = self.delays.borrow();
        let spans = delays.iter().map(|d| (d.start.max(from), d.end.min(to)));
        spans.map(|(start, end)| end.saturating_duration_since(start)).sum()
    }

    /// Counts a fault that excuses nothing.
    pub(crate) fn count(&self, what: &'static str) {
        *self.counts.borrow_mut().entry(what).or_default() += 1;
    }

    /// Adds a catalogue that the operator sends.
    pub(crate) fn add_catalog(&self, catalog: Value) {
        self.catalogs.borrow_mut().push(catalog);
    }

    /// Returns a fault of an instance or runner that overlaps with this span.
    pub(super) fn disturbance(
        &self,
        who: &str,
        from: Instant,
        to: Instant,
    ) -> Option<&'static str> {
        let disturbances = self.disturbances.borrow();
        let hit = |d: &&Disturbance| d.who == who && d.from <= to && from <= d.to;
        disturbances.iter().find(hit).map(|d| d.what)
    }

    /// Returns whether the connections of a runner were closed within this span as it crashed.
    pub(super) fn is_killed(&self, runner: &str, from: Instant, to: Instant) -> bool {
        let hit =
            |d: &Disturbance| d.who == runner && d.what == KILLED && (from..=to).contains(&d.from);
        self.disturbances.borrow().iter().any(hit)
    }

    /// Prints how much was tried.
    pub(crate) fn summarize(&self) {
        let (attempts, runs) = (self.attempts.borrow(), self.runs.borrow());
        let continued = runs.iter().filter(|r| r.is_continued() && r.rejected.is_none()).count();
        let mut statuses = BTreeMap::<_, usize>::new();
        for attempt in attempts.values() {
            let status = attempt.status.map_or("none".into(), |status| status.to_string());
            *statuses.entry((attempt.route.name, status, attempt.complete)).or_default() += 1;
        }
        let mut rejected = BTreeMap::<_, usize>::new();
        for status in runs.iter().filter_map(|r| r.rejected) {
            *rejected.entry(status).or_default() += 1;
        }
        println!(
            "{} attempts, {} arrivals, rejected {rejected:?}, {continued} runs from replicas, {} catalogues",
            attempts.len(),
            runs.len(),
            self.catalogs.borrow().len(),
        );
        println!("route, status, complete: {statuses:?}");
        let long = attempts
            .values()
            .filter(|a| a.body.len() as u64 > LONG && a.status == Some(200))
            .count();
        println!("{long} long uploads answered with success");
        println!("faults: {:?}", self.counts.borrow());
    }

    /// Returns the share of the attempts that were answered with success.
    pub(crate) fn served(&self) -> f64 {
        let attempts = self.attempts.borrow();
        let served = attempts.values().filter(|a| a.status == Some(200) && a.complete).count();
        served as f64 / attempts.len().max(1) as f64
    }

    /// Prints the violations, the first ones of each rule with all that is known of their request.
    pub(crate) fn tell(&self, violations: &[Violation], logs: &Path) {
        let mut told = HashMap::<&str, usize>::new();
        for violation in violations {
            println!("{}: {} {}", violation.rule, violation.id, violation.what);
            let count = told.entry(violation.rule).or_default();
            *count += 1;
            if *count <= MAX_TOLD && !violation.id.is_empty() {
                print!("{}", self.story(&violation.id, logs));
            }
        }
        println!("violations: {told:?}");
    }

    fn story(&self, id: &str, logs: &Path) -> String {
        let mut story = String::new();
        if let Some(a) = self.attempts.borrow().get(id) {
            let ids: Vec<u64> = events(&a.text).map(|(event, _)| event).collect();
            let (first, last) = (ids.first(), ids.last());
            _ = writeln!(
                story,
                "  sent {} to {} {} key {} after {}, ended {}, status {:?}, complete {}, closes {}, stamp {:?}, events {first:?} to {last:?}",
                self.clock(a.at),
                a.instance,
                a.path,
                a.key,
                a.after,
                a.end.map_or("never".into(), |at| self.clock(at)),
                a.status,
                a.complete,
                a.closes,
                a.stamp,
            );
        }
        let runs = self.runs.borrow();
        for run in runs.iter().filter(|run| run.id == id) {
            let clock = |at: Option<Instant>| at.map_or("never".into(), |at| self.clock(at));
            _ = writeln!(
                story,
                "  at {} {} {}, {}: arrived {}, left {:?}, first {}, end {}, from {:?}, after {:?}, rejected {:?}, {:?}; {:?}",
                run.role.service,
                run.runner,
                run.address,
                run.role.model.unwrap_or("plain"),
                self.clock(run.at),
                run.left,
                clock(run.first),
                clock(run.end),
                run.from,
                run.after,
                run.rejected,
                run.trouble,
                self.disturbance(&run.runner, run.at, run.end.unwrap_or(run.at)),
            );
            let mut before = runs.iter().filter(|r| r.address == run.address && r.at < run.at);
            if let Some(other) = before.rfind(|r| r.runner != run.runner) {
                let (id, service) = (&other.runner, other.role.service);
                _ = writeln!(
                    story,
                    "     before at this address: {id} of {service}, {}",
                    self.clock(other.at)
                );
            }
        }
        for file in fs::read_dir(logs)
            .unwrap()
            .flatten()
            .filter(|f| f.path().extension().is_some_and(|e| e == "log"))
        {
            let text = String::from_utf8_lossy(&fs::read(file.path()).unwrap()).into_owned();
            let named = text.lines().filter(|line| line.contains(&format!("\"{id}\"")));
            for line in named {
                _ = writeln!(story, "  {} {line}", file.file_name().to_string_lossy());
            }
        }
        story
    }

    /// Returns the milliseconds since the Unix epoch.
    pub(crate) fn unix_millis(&self, at: Instant) -> u64 {
        let wall = self.wall + (at - self.start);
        wall.duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
    }

    /// Returns the time of day, as in the logs.
    pub(super) fn clock(&self, at: Instant) -> String {
        let millis = self.unix_millis(at);
        let (seconds, millis) = (millis / 1_000 % 86_400, millis % 1_000);
        format!("{:02}:{:02}:{:02}.{millis:03}", seconds / 3_600, seconds / 60 % 60, seconds % 60)
    }
}

/// Returns the complete events of a stream: their ids and data.
pub(crate) fn events(text: &str) -> impl Iterator<Item = (u64, &str)> {
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    whole.split("\n\n").filter_map(|event| {
        let (id, data) = event.strip_prefix("id: ")?.split_once("\ndata: ")?;
        Some((id.parse().ok()?, data))
    })
}

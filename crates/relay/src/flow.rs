//! How requests of each kind are seen through to their answers.

mod generation;
mod once;
pub mod pace;
mod repeat;

use {
    self::pace::Pace,
    crate::{
        body::Answer,
        budget::{Allowance, Budget},
        call::Call,
        catalog::{Engine, Kind},
        dialect::{Dialect, Order},
        exchange::Exchange,
        fleet::{Fleet, Place, RunnerKey, Version, Wanted},
        lines::{FAILURE_PASSED, REFUSED},
        metrics::{Metrics, Outcome},
        moves::{
            Trial,
            exposure::{Bound, Given},
        },
        network::Network,
        refusal::Refusal,
        view::{Published, Rule, View},
    },
    bilberryfront_decide::mover::Choice,
    compact_str::CompactString,
    http::Response,
    rand::Rng,
    rustc_hash::FxHashMap,
    slotmap::Key,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::mpsc, time::Instant},
};

/// When a caller should come back whose request no runner had room for: by then some of what runs has
/// ended, and a runner that was down for a moment is back.
const RETRY_LEAST: Duration = Duration::from_millis(150);
/// The same at the latest; callers who were refused together come back spread over the time between.
const RETRY_MOST: Duration = Duration::from_millis(600);

/// What every request's flow works with. Clones share it.
#[derive(Clone)]
pub struct Traffic<D, N> {
    /// Sends to runners.
    pub exchange: Exchange<D, N>,
    /// What the control thread has published.
    pub published: Published,
    /// Requests and streams under way.
    pub open: Rc<Cell<usize>>,
    /// What is counted.
    pub metrics: Metrics,
    /// Where trials of versions under move are told.
    pub trials: Option<mpsc::UnboundedSender<Trial>>,
    budgets: Rc<RefCell<FxHashMap<CompactString, Budget>>>,
    given: Rc<RefCell<FxHashMap<CompactString, Given>>>,
    paces: Rc<RefCell<FxHashMap<CompactString, Pace>>>,
    allowance: Allowance,
    bound: Bound,
}

/// Counts a request as under way until it is dropped.
pub struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(count: &Rc<Cell<usize>>) -> Open {
        count.set(count.get() + 1);
        Open(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<D: Dialect, N: Network> Traffic<D, N> {
    /// Traffic that knows no runner yet.
    pub fn new(
        dialect: D,
        network: N,
        published: Published,
        allowance: Allowance,
        bound: Bound,
    ) -> Traffic<D, N> {
        let metrics = Metrics::default();
        Traffic {
            exchange: Exchange {
                metrics: metrics.clone(),
                dialect,
                network,
                fleet: Fleet::default(),
                published: published.clone(),
            },
            published,
            open: Rc::default(),
            metrics,
            trials: None,
            budgets: Rc::default(),
            given: Rc::default(),
            paces: Rc::default(),
            allowance,
            bound,
        }
    }

    /// Counts in these metrics from now on.
    pub fn set_metrics(&mut self, metrics: &Metrics) {
        self.exchange.metrics = metrics.clone();
        self.metrics = metrics.clone();
    }

    /// Sees a request through.
    pub async fn serve(&self, mut call: Call) -> Response<Answer> {
        call.version = self.choose_version(&call.service);
        self.budget(&call.service, |b, now| b.request(now));
        let (kind, start, id) = (call.route.kind, call.start, call.head.id.clone());
        let response = match kind {
            Kind::Idempotent => repeat::serve(self, &call).await,
            Kind::Once => once::serve(self, &call).await,
            Kind::Resumable | Kind::StreamOnce => generation::serve(self, call).await,
        };
        let outcome = outcome(&response, &self.exchange.dialect);
        if outcome == Outcome::Failed {
            let waited = start.elapsed().as_millis() as u64;
            log::info!(request = id.as_str(), status = response.status().as_u16(), waited;
                "{FAILURE_PASSED}");
        }
        let latency = (outcome == Outcome::Served).then(|| start.elapsed());
        self.metrics.ended(kind, outcome, latency);
        response
    }

    /// Counts a request as under way.
    pub fn opened(&self) -> Open {
        Open::new(&self.open)
    }

    /// Chooses a runner.
    fn choose(&self, call: &Call, except: &[RunnerKey]) -> Option<Place> {
        let view = self.published.load();
        let version = version(&view, call);
        let fleet = &self.exchange.fleet;
        let place = fleet.choose(&Wanted { version, ..self.wanted(call, except) });
        match (place, version) {
            // The new version has no runner left: the old one still serves.
            (None, Some(Version::Only(to))) => {
                let version = Some(Version::Except(to));
                fleet.choose(&Wanted { version, ..self.wanted(call, except) })
            }
            (place, _) => place,
        }
    }

    /// Gives a request to one of two versions, where a move is under way.
    fn choose_version(&self, service: &CompactString) -> Option<Choice> {
        let view = self.published.load();
        let split = view.splits.get(service)?;
        let mut given = self.given.borrow_mut();
        let given = given.entry(service.clone()).or_default();
        Some(given.choose(split, &self.bound, view.nodes.len(), rand::rng().random()))
    }

    /// Tells how a request's first run ended, where its version was chosen.
    fn judge(&self, call: &Call, runner: RunnerKey, ended: Ended) {
        let (Some(choice), Some(trials)) = (call.version, &self.trials) else { return };
        let trial = Trial {
            service: call.service.clone(),
            route: call.route.name.clone(),
            choice,
            ok: ended.ok,
            first: ended.first,
            pace: ended.pace,
            runner: runner.data().as_ffi(),
        };
        // The receiver goes away only when the process ends.
        _ = trials.send(trial);
    }

    /// What a request needs of a runner.
    fn wanted<'a>(&self, call: &'a Call, except: &'a [RunnerKey]) -> Wanted<'a> {
        let (service, prompt) = (call.service.as_str(), call.head.prompt);
        let memory = self.engine(call).map_or(0, |engine| engine.memory);
        Wanted { service, except, prompt, memory, away: None, version: None, steady: false }
    }

    /// What the engines of a request's service can do.
    fn engine(&self, call: &Call) -> Option<Engine> {
        let view = self.published.load();
        view.catalog.as_ref()?.services.get(&call.service)?.engine.clone()
    }

    /// Whether the retry budget lets a request be sent once more.
    fn may_retry(&self, service: &str) -> bool {
        let nodes = self.published.load().nodes.len();
        self.budget(service, |b, now| b.take(now, nodes))
    }

    /// What this node knows of the speed of a service's engines.
    fn pace<T>(&self, service: &str, work: impl FnOnce(&mut Pace) -> T) -> T {
        work(self.paces.borrow_mut().entry(service.into()).or_default())
    }

    fn budget<T>(&self, service: &str, work: impl FnOnce(&mut Budget, Instant) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let new = || Budget::new(self.allowance);
        work(budgets.entry(service.into()).or_insert_with(new), Instant::now())
    }

    /// A refusal that says when to come back.
    fn not_run(&self) -> Refusal {
        Refusal::NotRun { retry: rand::rng().random_range(RETRY_LEAST..RETRY_MOST) }
    }

    fn refuse(&self, call: &Call, refusal: Refusal) -> Response<Answer> {
        let waited = call.start.elapsed().as_millis() as u64;
        self.metrics.refused(refusal);
        log::warn!(request = call.head.id.as_str(), route = call.route.name.as_str(), waited,
            ready = self.exchange.fleet.ready(&call.service); "{REFUSED}{refusal:?}");
        refusal.answer(&self.exchange.dialect, Some(&call.head.id))
    }
}

/// How a request's first run ended.
#[derive(Clone, Copy, Debug, Default)]
struct Ended {
    /// Whether it ended well.
    ok: bool,
    /// Time to the first event or the answer.
    first: Option<Duration>,
    /// Mean time between events.
    pace: Option<Duration>,
}

/// How a request ended, by its answer's head.
fn outcome<D: Dialect>(response: &Response<Answer>, dialect: &D) -> Outcome {
    match response.status() {
        status if status.is_success() => Outcome::Served,
        _ if dialect.is_signed(response.headers()) => Outcome::Failed,
        _ => Outcome::Refused,
    }
}

/// The end of a call that was answered, or never will be, at this moment.
fn ended(call: &Call, ok: bool) -> Ended {
    Ended { ok, first: ok.then(|| call.start.elapsed()), pace: None }
}

/// Which versions may run a request. A version that was taken back gets nothing, whatever was chosen
/// when the request came.
fn version<'a>(view: &'a View, call: &Call) -> Option<Version<'a>> {
    let split = view.splits.get(&call.service)?;
    let new = call.version.is_some_and(|choice| choice.new);
    match split.rule {
        Rule::New => Some(Version::Only(&split.to)),
        Rule::Trial if new => Some(Version::Only(&split.to)),
        Rule::Trial | Rule::Old => Some(Version::Except(&split.to)),
    }
}

/// What a plain send adds to a request.
fn order(call: &Call, place: &Place) -> Order {
    let now = Instant::now();
    let left = call.patience_end().map(|end| end.saturating_duration_since(now));
    Order { runner: place.id.clone(), left, resume: call.head.resume, backup: None, copy: None }
}

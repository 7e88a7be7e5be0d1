//! Simulated requests of a deployment, some of which are served by a bad version.

use {
    crate::{
        fake::{ENTRY, NODES, Observation, World},
        table::Outcome,
    },
    bilberryfront_decide::mover::{Choice, MoveId, Sample, Standing, Weights},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::time::Duration,
};

/// A deployment of a size that the requirements give. The request rates are assumptions, well below
/// the capacity of its runners.
pub(crate) struct Site {
    pub(crate) name: &'static str,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Seconds until the deadline of a move.
    pub(crate) time: f64,
    pub(crate) runners: u64,
    pub(crate) weights: Weights,
}

pub(crate) const SITES: [Site; 2] = [
    Site {
        name: "Trentside",
        rate: 2.0,
        time: 900.0,
        runners: 20,
        weights: Weights { on_time: 3.0, take_back: 1.0, extra_use: 1.0 },
    },
    Site {
        name: "Arequipa",
        rate: 3.5,
        time: 1_800.0,
        runners: 35,
        weights: Weights { on_time: 1.0, take_back: 3.0, extra_use: 2.0 },
    },
];

/// Routes and their fractions of the requests.
const ROUTES: [(&str, f64); 3] =
    [("interactive/small", 0.6), ("interactive/large", 0.3), ("batch", 0.1)];
const STEP: Duration = Duration::from_millis(100);

/// Weights of the moves, or the fixed ramp. The names are printed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Weighing {
    Site,
    OnTime,
    TakeBack,
    Thrift,
    Naive,
}

impl Weighing {
    /// All weights of the mover.
    pub(crate) const MOVER: [Weighing; 4] =
        [Weighing::Site, Weighing::OnTime, Weighing::TakeBack, Weighing::Thrift];
}

/// Fault of the new version. The names are printed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    Good,
    AtOnce,
    Later,
    Load,
    Route,
}

impl Kind {
    pub(crate) const ALL: [Kind; 5] =
        [Kind::Good, Kind::AtOnce, Kind::Later, Kind::Load, Kind::Route];
}

/// Parameters of one run, which is deterministic for its seed.
pub(crate) struct Scene {
    pub(crate) site: &'static Site,
    pub(crate) kind: Kind,
    pub(crate) seed: u64,
    pub(crate) weights: Weights,
    /// Probability that a request fails on the bad version.
    fail: f64,
    /// Factors of the bad version on the time to the first token and the time between tokens.
    slow: [f64; 2],
    /// Time in seconds from which the version is bad, for [`Kind::Later`].
    onset: f64,
    /// Route that the version is bad on, for [`Kind::Route`].
    route: usize,
}

/// A request in progress; its route and outcome are drawn when it starts. Times are in seconds.
pub(crate) struct Request {
    pub(crate) end: f64,
    /// Whether it is served by the bad version and affected by its fault.
    pub(crate) bad: bool,
    pub(crate) ok: bool,
    /// Time to the first token.
    pub(crate) first: f64,
    /// Time between tokens.
    pub(crate) pace: f64,
    pub(crate) route: usize,
    pub(crate) account: u64,
}

impl Scene {
    pub(crate) fn new(site: &'static Site, weighing: Weighing, kind: Kind, seed: u64) -> Scene {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let weights = |on_time, take_back, extra_use| Weights { on_time, take_back, extra_use };
        let (fail, slow) = match seed % 3 {
            0 => (rng.random_range(0.2..1.0), [1.0, 1.0]),
            1 => (0.0, [rng.random_range(2.5..5.0), 1.0]),
            _ => (0.0, [1.0, rng.random_range(2.5..5.0)]),
        };
        Scene {
            site,
            kind,
            seed,
            weights: match weighing {
                Weighing::Site | Weighing::Naive => site.weights,
                Weighing::OnTime => weights(1.0, 0.0, 0.0),
                Weighing::TakeBack => weights(0.0, 1.0, 0.0),
                Weighing::Thrift => weights(0.0, 0.1, 1.0),
            },
            fail,
            slow,
            onset: site.time * rng.random_range(0.2..0.8),
            route: 1 + (seed % 2) as usize,
        }
    }

    /// Draws a request that starts at `at`; `new` is set if the new version serves it.
    pub(crate) fn request(&self, rng: &mut SmallRng, at: f64, new: bool, share: f64) -> Request {
        let route = *[0, 1, 2].choose_weighted(rng, |r: &usize| ROUTES[*r].1).expect("weights");
        let bad = new
            && match self.kind {
                Kind::Good => false,
                Kind::AtOnce => true,
                Kind::Later => at >= self.onset,
                Kind::Load => share >= 0.4,
                Kind::Route => route == self.route,
            };
        let mut log_normal = |median: f64, deviation: f64| {
            let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
            median * (normal * deviation).exp()
        };
        let slow = if bad { self.slow } else { [1.0, 1.0] };
        let first = log_normal(0.3 + 0.2 * route as f64, 0.4) * slow[0];
        let pace = log_normal(0.02, 0.2) * slow[1];
        let ok = !rng.random_bool(if bad { self.fail.max(0.005) } else { 0.005 });
        let tokens = if ok { rng.random_range(50.0..400.0) } else { 0.0 };
        let account = [0, 0, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9][rng.random_range(0..13)];
        Request { end: at + first + pace * tokens, bad, ok, first, pace, route, account }
    }

    /// Draws the number of requests that start within `span` seconds.
    pub(crate) fn arrivals(&self, rng: &mut SmallRng, span: f64) -> usize {
        let trials = 8;
        (0..trials).filter(|_| rng.random_bool(self.site.rate * span / f64::from(trials))).count()
    }
}

/// Runs a move with six movers. Some seeds include an outage of the table, a paused node or lost
/// responses.
pub(crate) fn run(scene: &Scene) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(scene.seed);
    let mut world = World::new(scene.seed, STEP);
    let mut outcome = Outcome::new(scene);
    let mut in_progress: Vec<(usize, Choice, Request)> = Vec::new();
    // Time of the first verdict at any node.
    let mut verdict = None;
    let warm_up = 125.0;
    let outage = (scene.seed.is_multiple_of(5))
        .then(|| warm_up + scene.site.time * rng.random_range(0.1..0.8));
    let pause = (scene.seed.is_multiple_of(7))
        .then(|| warm_up + scene.site.time * rng.random_range(0.1..0.8));
    world.response_loss = if scene.seed.is_multiple_of(2) { 0.02 } else { 0.0 };
    let mut id: Option<MoveId> = None;
    loop {
        world.tick(&mut |_: Observation<'_>| {});
        let at = (world.now - world.epoch).as_secs_f64();
        let within = |from: Option<f64>, span: f64| from.is_some_and(|f| at >= f && at < f + span);
        world.table.down = within(outage, 60.0);
        if within(pause, 0.1) {
            let holder = (0..NODES).find(|n| world.movers[*n].fence(world.now, ENTRY).is_some());
            world.paused_until[holder.unwrap_or(0)] = world.now + Duration::from_secs(20);
        }
        if id.is_none() && at >= warm_up {
            let time = Duration::from_secs_f64(scene.site.time);
            let start = world.start_request("v2", time, scene.weights, false);
            match world.movers[0].start(world.now, &start) {
                Ok(started) => id = Some(started),
                Err(_) => {
                    outcome.is_rejected = true;
                    return outcome;
                }
            }
        }
        for _ in 0..scene.arrivals(&mut rng, STEP.as_secs_f64()) {
            let node = rng.random_range(0..NODES);
            if world.paused_until[node] > world.now {
                continue;
            }
            let split = world.split(node);
            let choice = split.map_or(Choice::default(), |s| s.choose(world.now, rng.random()));
            let mean_share = (0..NODES).map(|n| f64::from(world.share(n))).sum::<f64>() / 6e4;
            let request = scene.request(&mut rng, at - warm_up, choice.new, mean_share);
            outcome.record(&request, choice.new, at, verdict);
            in_progress.push((node, choice, request));
        }
        let now = world.now;
        for (node, choice, request) in in_progress.extract_if(.., |(_, _, r)| r.end <= at - warm_up)
        {
            let sample = Sample {
                choice,
                route: ROUTES[request.route].0,
                response: request.ok.into(),
                first: request.ok.then(|| Duration::from_secs_f64(request.first)),
                pace: request.ok.then(|| Duration::from_secs_f64(request.pace)),
                runner: rng.random_range(0..scene.site.runners),
                account: request.account,
            };
            world.movers[node].observe(now, ENTRY, &sample);
        }
        let statuses = (0..NODES).filter_map(|n| world.movers[n].status(now, ENTRY));
        let found = statuses.filter_map(|s| s.standing.verdict().map(|v| v.cause)).next();
        if let (Some(cause), None) = (found, verdict) {
            verdict = Some(at);
            outcome.cause = Some(cause);
        }
        let standing = world.standing();
        let left = scene.site.time + warm_up - at;
        if outcome.settled_at.is_none()
            && matches!(standing, Some(Standing::Settled | Standing::Adopted))
        {
            outcome.settled_at = Some(at - warm_up);
        }
        if outcome.settled_at.is_some() || verdict.is_some_and(|v| at > v + 6.0) || left < -60.0 {
            outcome.rolled_back_at = verdict.map(|v| v - warm_up);
            return outcome;
        }
    }
}

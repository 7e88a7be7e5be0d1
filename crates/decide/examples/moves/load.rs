//! Requests of one deployment, some of them served by a bad version.

use {
    crate::{
        fake::{ENTRY, NODES, Observation, World},
        table::Outcome,
    },
    bilberryfront_decide::mover::{Choice, MoveId, Sample, Standing, Weights},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::time::Duration,
};

/// A deployment as the brief sizes it; the rates are assumed, well below what its runners can do.
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) rate: f64,
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

const ROUTES: [(&str, f64); 3] =
    [("interactive/small", 0.6), ("interactive/large", 0.3), ("batch", 0.1)];
const STEP: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Weighing {
    Site,
    OnTime,
    TakeBack,
    Thrift,
    Naive,
}

impl Weighing {
    pub(crate) const CHOSEN: [Weighing; 4] =
        [Weighing::Site, Weighing::OnTime, Weighing::TakeBack, Weighing::Thrift];
}

/// In which way the new version is bad.
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

/// One run: everything random in it follows from the seed.
pub(crate) struct Scene {
    pub(crate) site: &'static Site,
    pub(crate) kind: Kind,
    pub(crate) seed: u64,
    pub(crate) weights: Weights,
    fail: f64,
    slow: [f64; 2],
    onset: f64,
    route: usize,
}

/// A request on its way: version, route and outcome are drawn when it starts.
pub(crate) struct Request {
    pub(crate) end: f64,
    pub(crate) bad: bool,
    pub(crate) ok: bool,
    pub(crate) first: f64,
    pub(crate) pace: f64,
    pub(crate) route: usize,
    pub(crate) account: u64,
}

impl Scene {
    pub(crate) fn new(site: &'static Site, weighing: Weighing, kind: Kind, seed: u64) -> Scene {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let one = |on_time, take_back, extra_use| Weights { on_time, take_back, extra_use };
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
                Weighing::OnTime => one(1.0, 0.0, 0.0),
                Weighing::TakeBack => one(0.0, 1.0, 0.0),
                Weighing::Thrift => one(0.0, 0.1, 1.0),
            },
            fail,
            slow,
            onset: site.time * rng.random_range(0.2..0.8),
            route: 1 + (seed % 2) as usize,
        }
    }

    /// Draws a request that starts at `at`, served by the new version or not.
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
        let mut around = |middle: f64, spread: f64| {
            let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
            middle * (normal * spread).exp()
        };
        let slow = if bad { self.slow } else { [1.0, 1.0] };
        let first = around(0.3 + 0.2 * route as f64, 0.4) * slow[0];
        let pace = around(0.02, 0.2) * slow[1];
        let ok = !rng.random_bool(if bad { self.fail.max(0.005) } else { 0.005 });
        let tokens = if ok { rng.random_range(50.0..400.0) } else { 0.0 };
        let account = [0, 0, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9][rng.random_range(0..13)];
        Request { end: at + first + pace * tokens, bad, ok, first, pace, route, account }
    }

    /// How many requests start in a span.
    pub(crate) fn arrivals(&self, rng: &mut SmallRng, span: f64) -> usize {
        let parts = 8;
        (0..parts).filter(|_| rng.random_bool(self.site.rate * span / f64::from(parts))).count()
    }
}

/// Runs a move over six movers, with a store outage, a paused_until node or lost answers in some seeds.
pub(crate) fn run(scene: &Scene) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(scene.seed);
    let mut world = World::new(scene.seed, STEP);
    let mut outcome = Outcome::new(scene);
    let mut open: Vec<(usize, Choice, Request)> = Vec::new();
    let mut verdict = None;
    let warm = 125.0;
    let outage =
        (scene.seed.is_multiple_of(5)).then(|| warm + scene.site.time * rng.random_range(0.1..0.8));
    let pause =
        (scene.seed.is_multiple_of(7)).then(|| warm + scene.site.time * rng.random_range(0.1..0.8));
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
        if id.is_none() && at >= warm {
            let time = Duration::from_secs_f64(scene.site.time);
            let start = world.start_request("v2", time, scene.weights, false);
            match world.movers[0].start(world.now, &start) {
                Ok(started) => id = Some(started),
                Err(_) => {
                    outcome.refused = true;
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
            let mean = (0..NODES).map(|n| f64::from(world.share(n))).sum::<f64>() / 6e4;
            let request = scene.request(&mut rng, at - warm, choice.new, mean);
            outcome.sent(&request, choice.new, at, verdict);
            open.push((node, choice, request));
        }
        let now = world.now;
        for (node, choice, request) in open.extract_if(.., |(_, _, r)| r.end <= at - warm) {
            let sample = Sample {
                choice,
                route: ROUTES[request.route].0,
                ok: request.ok,
                first: request.ok.then(|| Duration::from_secs_f64(request.first)),
                pace: request.ok.then(|| Duration::from_secs_f64(request.pace)),
                runner: rng.random_range(0..scene.site.runners),
                account: request.account,
            };
            world.movers[node].observe(now, ENTRY, &sample);
        }
        let known = (0..NODES).filter_map(|n| world.movers[n].status(now, ENTRY));
        let taken = known.filter_map(|s| s.standing.verdict().map(|v| v.cause)).next();
        if let (Some(cause), None) = (taken, verdict) {
            verdict = Some(at);
            outcome.cause = Some(cause);
        }
        let standing = world.standing();
        let left = scene.site.time + warm - at;
        if outcome.done.is_none() && matches!(standing, Some(Standing::Settled | Standing::Adopted))
        {
            outcome.done = Some(at - warm);
        }
        if outcome.done.is_some() || verdict.is_some_and(|v| at > v + 6.0) || left < -60.0 {
            outcome.taken = verdict.map(|v| v - warm);
            return outcome;
        }
    }
}

//! Traffic for scenarios: two requests per step, each of which ends immediately.

use {
    crate::fake::{ENTRY, NODES, Observation, World},
    bilberryfront_decide::mover::{Choice, Sample, Standing, Status, Weights},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

pub(crate) const STEP: Duration = Duration::from_millis(100);
pub(crate) const ROUTES: [&str; 2] = ["small", "large"];

/// Input of the rule that decides whether a request on the new version is bad.
pub(crate) struct Request {
    pub(crate) at: f64,
    pub(crate) route: &'static str,
    pub(crate) share: f64,
}

/// Effect of a bad request.
#[derive(Clone, Copy)]
pub(crate) enum Fault {
    Fails,
    Slow,
}

pub(crate) struct Drive {
    pub(crate) world: World,
    pub(crate) fault: Fault,
    pub(crate) is_bad: fn(&Request) -> bool,
    /// Number of bad requests.
    pub(crate) bad: u32,
    /// Number of all requests.
    pub(crate) all: u32,
    /// Requests assigned to the new version in the last step.
    pub(crate) new: u32,
    rng: SmallRng,
    ticks: u64,
}

impl Drive {
    pub(crate) fn new(is_bad: fn(&Request) -> bool) -> Drive {
        let world = World::new(3, STEP);
        let rng = SmallRng::seed_from_u64(5);
        let mut drive =
            Drive { world, fault: Fault::Fails, is_bad, bad: 0, all: 0, new: 0, rng, ticks: 0 };
        drive.run(30);
        drive
    }

    /// Runs for the given time.
    pub(crate) fn run(&mut self, seconds: u64) {
        (0..seconds * 10).for_each(|_| self.tick());
    }

    /// Runs until the condition holds, at most for the given time; returns whether it held.
    pub(crate) fn run_until(&mut self, seconds: u64, condition: impl Fn(&Drive) -> bool) -> bool {
        (0..seconds * 10).any(|_| {
            self.tick();
            condition(self)
        })
    }

    /// Starts a move at node 0 with the given time until its deadline.
    pub(crate) fn start(&mut self, seconds: u64) {
        let time = Duration::from_secs(seconds);
        let start = self.world.start_request("v2", time, Weights::default(), false);
        self.world.movers[0].start(self.world.now, &start).expect("the time is sufficient");
    }

    pub(crate) fn status(&self, node: usize) -> Status {
        self.world.movers[node].status(self.world.now, ENTRY).expect("the entry has a move")
    }

    /// Returns the node that holds the lease.
    pub(crate) fn holder(&self) -> Option<usize> {
        (0..NODES).find(|n| self.world.movers[*n].fence(self.world.now, ENTRY).is_some())
    }

    /// Returns the sum of the shares of all nodes that are not paused.
    pub(crate) fn total_share(&self) -> u32 {
        let running = (0..NODES).filter(|n| self.world.paused_until[*n] <= self.world.now);
        running.map(|n| u32::from(self.world.share(n))).sum()
    }

    pub(crate) fn is_settled(&self) -> bool {
        matches!(self.world.standing(), Some(Standing::Settled | Standing::Adopted))
    }

    pub(crate) fn is_taken_back(&self) -> bool {
        matches!(self.world.standing(), Some(Standing::TakenBack(_)))
    }

    fn tick(&mut self) {
        self.world.tick(&mut |observation| check_lease(&observation));
        self.new = 0;
        for _ in 0..2 {
            self.ticks += 1;
            let node = (self.ticks % NODES as u64) as usize;
            if self.world.paused_until[node] <= self.world.now {
                self.request(node);
            }
        }
    }

    fn request(&mut self, node: usize) {
        let now = self.world.now;
        let hash = self.rng.random();
        let choice = self.world.split(node).map_or(Choice::default(), |s| s.choose(now, hash));
        let route = ROUTES[usize::from(self.rng.random_bool(0.3))];
        let at = self.world.elapsed_ms() as f64 / 1e3;
        let request = Request { at, route, share: choice.share.fraction() };
        let bad = choice.new && (self.is_bad)(&request);
        self.all += 1;
        self.bad += u32::from(bad);
        self.new += u32::from(choice.new);
        let slow = bad && matches!(self.fault, Fault::Slow);
        let base = self.rng.random_range(90..110);
        let first = Duration::from_millis(if slow { 4 * base } else { base });
        let fails = bad && matches!(self.fault, Fault::Fails);
        let sample = Sample {
            choice,
            route,
            response: (!fails && !self.rng.random_bool(0.003)).into(),
            first: Some(first),
            pace: Some(Duration::from_millis(20)),
            runner: self.rng.random_range(0..20),
            account: self.rng.random_range(0..10),
        };
        self.world.movers[node].observe(now, ENTRY, &sample);
    }
}

/// Checks that a node that raises the share holds the lease at the time of the write.
fn check_lease(observation: &Observation<'_>) {
    if let Observation::Change { incarnation, before: Some((_, before)), after: (_, after), holder } =
        observation
        && before.moved.id == after.moved.id
        && after.standing.verdict().is_none()
    {
        assert_eq!(*holder, Some(*incarnation), "raised without the lease");
    }
}

//! Retry budgets of several nodes.

use {
    bilberryfront_decide::member::message::BudgetReport,
    bilberryfront_relay::{
        budget::{Allowance, Budgets},
        view::{NodeAddress, View},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{HashSet, VecDeque},
        ops::Range,
        sync::Arc,
        time::Duration,
    },
    tokio::time::{Instant, advance},
};

const ALLOWANCE: Allowance =
    Allowance { ratio: 0.8, slack: 150.0, window: Duration::from_secs(10) };
const SERVICE: &str = "llm";
/// Requests per second to six nodes: streams, and calls.
const RATES: [f64; 2] = [9.35, 35.0];

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Nodes with one budget each, which report to each other unless they are isolated or a link is cut.
struct Nodes {
    budgets: Vec<Budgets>,
    reports: VecDeque<(Instant, usize, BudgetReport)>,
    isolated: Vec<bool>,
    /// Links on which reports are lost, each in one direction.
    cut: HashSet<(usize, usize)>,
    /// Requests and retries; true for a retry.
    log: Vec<(Instant, bool)>,
    start: Instant,
    /// Delay of a report.
    delay: Duration,
    /// Time of the next full reports.
    refresh_at: Instant,
}

impl Nodes {
    fn new(count: usize) -> Nodes {
        let budgets = (0..count).map(|_| Budgets::new(ALLOWANCE)).collect();
        Nodes {
            budgets,
            reports: VecDeque::new(),
            isolated: vec![false; count],
            cut: HashSet::new(),
            log: Vec::new(),
            start: Instant::now(),
            delay: ms(5),
            refresh_at: Instant::now(),
        }
    }

    fn request(&mut self, node: usize) {
        self.budgets[node].count_request(SERVICE);
        self.log.push((Instant::now(), false));
    }

    /// Takes a retry, as one of `system` nodes.
    fn take(&mut self, node: usize, system: usize) -> bool {
        let taken = self.budgets[node].try_take(SERVICE, system);
        if taken {
            self.log.push((Instant::now(), true));
            let update = self.budgets[node].take_update();
            self.reports.push_back((Instant::now() + self.delay, node, update));
        }
        taken
    }

    fn refresh(&mut self) {
        for (node, budgets) in self.budgets.iter().enumerate() {
            self.reports.push_back((Instant::now() + self.delay, node, budgets.snapshot()));
        }
    }

    fn send_due_reports(&mut self) {
        for (node, budgets) in self.budgets.iter().enumerate() {
            if budgets.snapshot_due().is_some_and(|at| Instant::now() >= at) {
                self.reports.push_back((Instant::now() + self.delay, node, budgets.snapshot()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = Instant::now();
        while self.reports.front().is_some_and(|(at, ..)| now >= *at) {
            let (_, from, update) = self.reports.pop_front().expect("there is a report");
            let is_connected = |to: &usize| {
                let is_isolated = self.isolated[from] || self.isolated[*to];
                *to != from && !is_isolated && !self.cut.contains(&(from, *to))
            };
            for to in (0..self.budgets.len()).filter(is_connected) {
                self.budgets[to].apply(&format!("n{from}").into(), &update);
            }
        }
    }

    /// Lets time pass while callers send requests at regular intervals, to one node after another.
    async fn run(&mut self, time: Duration, rate: f64) {
        const STEP: Duration = Duration::from_millis(10);
        for _ in 0..time.as_millis() / STEP.as_millis() {
            let sent = self.log.iter().filter(|(_, retry)| !retry).count();
            let due = (self.start.elapsed().as_secs_f64() * rate) as usize;
            (sent..due).for_each(|number| self.request(number % self.budgets.len()));
            if Instant::now() >= self.refresh_at {
                self.refresh_at = Instant::now() + Duration::from_secs(1);
                self.refresh();
            }
            advance(STEP).await;
            self.deliver();
            self.send_due_reports();
        }
    }

    /// Returns nodes that run for two windows without failures.
    async fn steady(count: usize, rate: f64) -> Nodes {
        let mut nodes = Nodes::new(count);
        nodes.run(ALLOWANCE.window * 2, rate).await;
        nodes
    }

    /// Takes all retries that a node gets at once.
    fn burst(&mut self, node: usize) -> usize {
        let system = self.budgets.len();
        (0..).take_while(|_| self.take(node, system)).count()
    }

    /// Takes retries at all nodes that run, until none is left.
    async fn exhaust(&mut self, rate: f64) -> usize {
        let (system, mut sum) = (self.budgets.len(), 0);
        loop {
            let running: Vec<usize> = (0..system).filter(|node| !self.isolated[*node]).collect();
            let taken = running.into_iter().filter(|node| self.take(*node, system)).count();
            if taken == 0 {
                return sum;
            }
            sum += taken;
            self.run(ms(10), rate).await;
        }
    }

    /// Kills nodes, and starts them again after a second.
    async fn restart(&mut self, nodes: Range<usize>, rate: f64) {
        nodes.clone().for_each(|node| self.isolated[node] = true);
        self.run(ms(1_000), rate).await;
        for node in nodes {
            self.budgets[node] = Budgets::restarted(ALLOWANCE);
            self.isolated[node] = false;
        }
    }

    /// Checks the global bound in all windows.
    fn check(&self) {
        let Allowance { ratio, slack, window } = ALLOWANCE;
        for (start, _) in &self.log {
            let within = self.log.iter().filter(|(at, _)| *at >= *start && *at < *start + window);
            let (retries, requests) = within.fold((0.0, 0.0), |(t, r), (_, retry)| match retry {
                true => (t + 1.0, r),
                false => (t, r + 1.0),
            });
            assert!(retries <= ratio * requests + slack, "{retries} of {requests}");
        }
    }
}

/// Load: all requests fail and are retried, in bursts and pauses, while some nodes are isolated
/// from the others for some time.
#[tokio::test(start_paused = true)]
async fn retry_budget_holds_in_every_window() {
    const NODES: usize = 6;
    let mut nodes = Nodes::new(NODES);
    for step in 0_usize..4_000 {
        let node = step * 7 % NODES;
        if step.is_multiple_of(3) {
            nodes.request(node);
        }
        if step.is_multiple_of(50) {
            nodes.refresh();
        }
        nodes.isolated = (0..NODES).map(|n| n < 2 && (1_000..2_000).contains(&step)).collect();
        nodes.deliver();
        nodes.take(node, NODES);
        advance(Duration::from_millis(if step % 400 < 300 { 3 } else { 40 })).await;
    }
    let retries = nodes.log.iter().filter(|(_, retry)| *retry).count();
    assert!(retries > 300, "the budget allows too few retries: {retries}");
    nodes.check();
}

/// Load: 295 nodes, each of which starts a stream every two seconds. A failure domain crashes, and
/// each of the twenty nodes of a group resumes two streams at the same time.
#[tokio::test(start_paused = true)]
async fn nodes_with_few_requests_share_their_retry_budgets() {
    const GROUP: usize = 20;
    const SYSTEM: usize = 295;
    let mut nodes = Nodes::new(GROUP);
    for step in 0..100 {
        (0..GROUP).filter(|node| (step + node) % 20 == 0).for_each(|node| nodes.request(node));
        if step % 10 == 0 {
            nodes.refresh();
        }
        advance(Duration::from_millis(100)).await;
        nodes.deliver();
    }
    let mut resumed = 0;
    for node in (0..GROUP).chain(0..GROUP) {
        resumed += usize::from(nodes.take(node, SYSTEM));
        advance(Duration::from_millis(8)).await;
        nodes.deliver();
    }
    assert_eq!(resumed, 2 * GROUP);
    let isolated_budgets = Budgets::new(ALLOWANCE);
    (0..5).for_each(|_| isolated_budgets.count_request(SERVICE));
    let isolated_budgets = (0..10).filter(|_| isolated_budgets.try_take(SERVICE, SYSTEM)).count();
    assert!(
        isolated_budgets <= 3,
        "{isolated_budgets} retries of a node without reports from peers"
    );
}

/// Guards against retries that are forgotten before their window has ended: those at the end of a bucket,
/// and those that reach their runner later than they were taken.
#[tokio::test(start_paused = true)]
async fn retries_count_until_their_window_has_ended() {
    const CONNECT_TIME: Duration = Duration::from_millis(250);
    for rate in RATES {
        for offset in (0..1_000).step_by(100) {
            let mut nodes = Nodes::steady(1, rate).await;
            nodes.run(ms(offset), rate).await;
            let first = nodes.burst(0);
            for (at, _) in nodes.log.iter_mut().filter(|(_, retry)| *retry) {
                *at += CONNECT_TIME;
            }
            nodes.run(ALLOWANCE.window, rate).await;
            nodes.burst(0);
            nodes.check();
            nodes.run(ms(1_500), rate).await;
            let later = nodes.burst(0);
            assert!(first > 100 && later > 100, "{first} and {later} retries");
        }
    }
}

/// Guards against retries that are forgotten when their node ends: nodes are restarted in turn while all
/// of them use up the budget.
#[tokio::test(start_paused = true)]
async fn retries_of_ended_nodes_count() {
    for rate in RATES {
        let mut nodes = Nodes::steady(6, rate).await;
        for node in [0, 2, 4] {
            nodes.exhaust(rate).await;
            nodes.restart(node..node + 2, rate).await;
            nodes.run(ms(500), rate).await;
        }
        nodes.run(ALLOWANCE.window, rate).await;
        nodes.check();
    }
}

/// Guards against a whole budget after each restart of all nodes, none of which knows the retries of the
/// processes before.
#[tokio::test(start_paused = true)]
async fn retries_before_a_restart_of_all_nodes_count() {
    for (rate, restarts) in RATES.into_iter().flat_map(|rate| [(rate, 1), (rate, 3)]) {
        let mut nodes = Nodes::steady(6, rate).await;
        nodes.exhaust(rate).await;
        for _ in 0..restarts {
            nodes.restart(0..6, rate).await;
            for _ in 0..6 / restarts {
                nodes.run(ms(1_000), rate).await;
                nodes.exhaust(rate).await;
            }
        }
        nodes.run(ALLOWANCE.window, rate).await;
        nodes.check();
    }
}

/// Guards against retries that count twice: reports reach a node through several others, and a later one may
/// overtake an earlier one.
#[tokio::test(start_paused = true)]
async fn reports_that_overtake_each_other_count_once() {
    let mut nodes = Nodes::steady(2, RATES[0]).await;
    assert_eq!((0..40).filter(|_| nodes.take(0, 2)).count(), 40);
    nodes.run(ALLOWANCE.window + ms(1_500), RATES[0]).await;
    nodes.delay = ms(50);
    assert!(nodes.take(0, 2));
    nodes.delay = ms(5);
    assert!(nodes.take(0, 2));
    nodes.reports.rotate_left(1);
    nodes.run(ms(100), RATES[0]).await;
    let retries = nodes.burst(1);
    assert!(retries > 70, "{retries} retries");
}

/// Guards against streams that are aborted because their node has started again: the others have told it
/// how many retries are left.
#[tokio::test(start_paused = true)]
async fn restarted_node_shares_the_budget_of_the_others() {
    let rate = RATES[0];
    let mut nodes = Nodes::steady(6, rate).await;
    nodes.restart(0..1, rate).await;
    nodes.run(ms(1_500), rate).await;
    let retries = nodes.burst(0);
    assert!(retries >= 20, "{retries} retries");
}

/// Guards against nodes each of which takes all retries that are left, because they start at the same
/// moment and the reports arrive later.
#[tokio::test(start_paused = true)]
async fn nodes_that_retry_at_the_same_time_share_the_budget() {
    let [streams, calls] = RATES;
    let delays = [5, 50, 900].map(ms);
    let small = delays.into_iter().flat_map(|delay| [(6, delay, streams), (6, delay, calls)]);
    for (count, delay, rate) in small.chain([(66, ms(50), 11.0 * streams)]) {
        let mut nodes = Nodes::steady(count, rate).await;
        nodes.delay = delay;
        for _ in 0..100 {
            for node in (0..8).flat_map(|_| 0..count) {
                nodes.take(node, count);
            }
            nodes.run(ms(10), rate).await;
        }
        nodes.run(ALLOWANCE.window, rate).await;
        nodes.check();
    }
}

/// Guards against streams that are aborted although the budget is unused: half of the engines crash, and
/// each node resumes its streams at the same moment.
#[tokio::test(start_paused = true)]
async fn nodes_resume_their_streams_at_the_same_time() {
    let mut nodes = Nodes::steady(6, RATES[0]).await;
    let resumed = (0..8).flat_map(|_| 0..6).filter(|node| nodes.take(*node, 6)).count();
    assert_eq!(resumed, 48);
}

/// Guards against two halves of a partitioned system, each of which uses the slack of both.
#[test]
fn halves_of_a_partitioned_system_share_the_slack() {
    let address = |index: usize| {
        let (callers, peers) = (([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into());
        NodeAddress { name: index.to_string().into(), domain: "a".into(), callers, peers }
    };
    let slack = |ready: usize, senders| {
        let nodes = Arc::new((0..ready).map(address).collect());
        let view = View { nodes, senders, ..View::default() };
        ready as f64 / view.shares() as f64
    };
    for senders in 2..20 {
        for ready in 1..senders {
            let sum = slack(ready, senders) + slack(senders - ready, senders);
            assert!(sum < 1.5, "{ready} of {senders} nodes: {sum} times the slack");
        }
    }
}

/// Load: nodes take all retries that they get while some of them, or all, are restarted, isolated and
/// reconnected, and their reports are late or lost.
#[tokio::test(start_paused = true)]
async fn retry_budget_holds_over_restarts_and_partitions() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let rate = RATES[rng.random_range(0..RATES.len())];
        let mut nodes = Nodes::steady(6, rate).await;
        let mut restarts = 0;
        for _ in 0..60 {
            let node = rng.random_range(0..5);
            match rng.random_range(0..13) {
                0 if restarts < 3 => {
                    restarts += 1;
                    nodes.restart(0..6, rate).await;
                }
                1 | 2 => nodes.restart(node..node + 2, rate).await,
                3 => nodes.isolated[node] = true,
                4 => nodes.isolated = vec![false; 6],
                5 => nodes.delay = ms(rng.random_range(5..1_000)),
                6 => nodes.reports.clear(),
                7 => _ = (0..6).map(|node| nodes.burst(node)).sum::<usize>(),
                _ => _ = nodes.burst(node),
            }
            nodes.run(ms(rng.random_range(0..50) * 10), rate).await;
        }
        nodes.run(ALLOWANCE.window, rate).await;
        nodes.check();
    }
}

/// Guards against a node that takes retries as one of many whose reports it gets, while they do not get its own
/// ones: the links from some nodes to the others are cut, before or after a quiet time.
#[tokio::test(start_paused = true)]
async fn nodes_that_are_not_heard_use_their_own_share() {
    for (rate, unheard) in RATES.into_iter().flat_map(|rate| [1, 2, 3].map(|n| (rate, n))) {
        for quiet in [0, 500, 3_000, 15_000] {
            let mut nodes = Nodes::steady(6, rate).await;
            nodes.cut = (0..unheard).flat_map(|from| (0..6).map(move |to| (from, to))).collect();
            nodes.run(ms(quiet), rate).await;
            for step in 0..400 {
                // The others retry nothing at first.
                let first = if step < 160 { unheard } else { 6 };
                (0..first).for_each(|node| _ = nodes.burst(node));
                nodes.run(ms(50), rate).await;
            }
            nodes.run(ALLOWANCE.window, rate).await;
            nodes.check();
        }
    }
}

/// Guards against nodes that each use the budget of all because reports are later than the time for which
/// unreported retries are assumed.
#[tokio::test(start_paused = true)]
async fn late_reports_do_not_multiply_the_budget() {
    for (rate, delay) in RATES.into_iter().flat_map(|rate| [1_500, 2_500, 5_000].map(|d| (rate, d)))
    {
        let mut nodes = Nodes::steady(6, rate).await;
        nodes.delay = ms(delay);
        nodes.run(ms(10_000), rate).await;
        for _ in 0..400 {
            (0..6).for_each(|node| _ = nodes.burst(node));
            nodes.run(ms(50), rate).await;
        }
        nodes.run(ALLOWANCE.window, rate).await;
        nodes.check();
    }
}

/// Load: nodes take all retries that they get while links between them are cut, each in one direction, and come
/// back, nodes are restarted, and reports are late.
#[tokio::test(start_paused = true)]
async fn retry_budget_holds_over_links_cut_in_one_direction() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let rate = RATES[rng.random_range(0..RATES.len())];
        let mut nodes = Nodes::steady(6, rate).await;
        for _ in 0..80 {
            let node = rng.random_range(0..6);
            match rng.random_range(0..10) {
                0 => nodes.cut.extend((0..6).map(|to| (node, to))),
                1 => nodes.cut.extend((0..6).map(|from| (from, node))),
                2 => _ = nodes.cut.insert((node, rng.random_range(0..6))),
                3 | 4 => nodes.cut.clear(),
                5 => nodes.delay = ms(rng.random_range(5..3_000)),
                6 => nodes.restart(node..node + 1, rate).await,
                7 => (0..6).for_each(|node| _ = nodes.burst(node)),
                _ => {
                    for _ in 0..rng.random_range(1..6) {
                        nodes.burst(node);
                        nodes.run(ms(800), rate).await;
                    }
                }
            }
            nodes.run(ms(rng.random_range(0..60) * 10), rate).await;
        }
        nodes.run(ALLOWANCE.window, rate).await;
        nodes.check();
    }
}

//! Outcomes of runs and their printed table.

use {
    crate::load::{Kind, Request, Scene, Weighing},
    bilberryfront_decide::mover::Cause,
};

/// Outcome of one run. Times are in seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Whether the start was rejected because the deadline was too close.
    pub(crate) is_rejected: bool,
    /// Time from the start until the move settled.
    pub(crate) settled_at: Option<f64>,
    /// Time from the start until the move was rolled back.
    pub(crate) rolled_back_at: Option<f64>,
    pub(crate) cause: Option<Cause>,
    /// Number of bad requests.
    pub(crate) bad: u32,
    /// Expected number of requests until the deadline.
    pub(crate) all: f64,
    /// Time until the deadline.
    pub(crate) time: f64,
    /// Accounts with bad requests, as a bit set.
    accounts: u32,
    first_bad: Option<f64>,
    last_bad: f64,
    /// Time from the first verdict at any node to the last request sent to the new version.
    last_late: f64,
}

impl Outcome {
    pub(crate) fn new(scene: &Scene) -> Outcome {
        let all = scene.site.rate * scene.site.time;
        Outcome { all, time: scene.site.time, ..Outcome::default() }
    }

    /// Records a request that was sent.
    pub(crate) fn record(&mut self, request: &Request, new: bool, at: f64, verdict: Option<f64>) {
        if let (true, Some(verdict)) = (new, verdict) {
            self.last_late = self.last_late.max(at - verdict);
        }
        if request.bad {
            self.bad += 1;
            self.accounts |= 1 << request.account;
            self.first_bad.get_or_insert(at);
            self.last_bad = at;
        }
    }
}

pub(crate) fn print_header() {
    println!(
        "{:<10} {:<9} {:<7} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8} {:>9} {:>9} {:>6} {:>9}",
        "site",
        "weights",
        "version",
        "in time",
        "taken",
        "missed",
        "no bad",
        "touched",
        "touched",
        "accounts",
        "bad to 0",
        "after",
        "side by"
    );
    println!(
        "{:<10} {:<9} {:<7} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8} {:>9} {:>9} {:>6} {:>9}",
        "",
        "",
        "",
        "%",
        "back %",
        "%",
        "seen %",
        "mean %",
        "p95 %",
        "mean",
        "p95 s",
        "max s",
        "side s"
    );
}

/// Prints one row. `missed` are runs that settled although requests were bad; `no bad seen` are
/// runs that settled before any bad request.
pub(crate) fn print_row(site: &str, weighing: Weighing, kind: Kind, outcomes: &[Outcome]) {
    let runs = outcomes.len() as f64;
    let percent = |of: &dyn Fn(&Outcome) -> bool| {
        100.0 * outcomes.iter().filter(|o| of(o)).count() as f64 / runs
    };
    let mean = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / runs;
    let p95 = |of: &dyn Fn(&Outcome) -> f64| {
        let mut all: Vec<f64> = outcomes.iter().map(of).collect();
        all.sort_by(f64::total_cmp);
        all[(all.len() * 95 / 100).min(all.len() - 1)]
    };
    let bad_percent = |o: &Outcome| 100.0 * f64::from(o.bad) / o.all;
    let bad_span = |o: &Outcome| o.first_bad.map_or(0.0, |f| o.last_bad - f);
    println!(
        "{site:<10} {:<9} {:<7} {:>8.1} {:>7.1} {:>7.1} {:>7.1} {:>8.2} {:>8.2} {:>9.1} {:>9.0} {:>6.1} {:>9.0}",
        format!("{weighing:?}"),
        format!("{kind:?}"),
        percent(&|o| o.settled_at.is_some_and(|d| d <= o.time)),
        percent(&|o| o.rolled_back_at.is_some()),
        percent(&|o| o.settled_at.is_some() && o.bad > 0),
        percent(&|o| o.settled_at.is_some() && o.bad == 0),
        mean(&bad_percent),
        p95(&bad_percent),
        mean(&|o| f64::from(o.accounts.count_ones())),
        p95(&bad_span),
        outcomes.iter().map(|o| o.last_late).fold(0.0, f64::max),
        mean(&|o| o.settled_at.or(o.rolled_back_at).unwrap_or(o.time)),
    );
    let causes = |c: Cause| outcomes.iter().filter(|o| o.cause == Some(c)).count();
    if kind == Kind::Good && weighing != Weighing::Naive {
        let evidence = causes(Cause::Failing) + causes(Cause::SlowFirst) + causes(Cause::SlowPace);
        let rejected = outcomes.iter().filter(|o| o.is_rejected).count();
        let late = causes(Cause::Deadline);
        println!(
            "{:>20} good: {evidence} false alarms, {late} at the deadline, {rejected} rejected",
            ""
        );
    }
}

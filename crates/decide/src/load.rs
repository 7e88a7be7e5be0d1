//! How loaded a runner is, from its lagging reports and from what this node itself has sent.

use bilberryfront_wire::runner::LoadReport;

/// Slots assumed of a runner that has not reported yet.
const UNKNOWN_SLOTS: u32 = 8;
/// One request more for every so many slots may be sent, so that a runner has the next one at hand
/// while its report that a slot is free is still under way.
const OVERCOMMIT: u32 = 8;

/// Load of one runner.
///
/// A report is about one reporting period old, so the requests that this node has sent since are
/// not in it. Counting them is what keeps a node from sending a whole burst to the runner that
/// looked idle a moment ago. Hence only the other nodes' part is taken from the report; this
/// node's own part is exact.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Requests of this node now at the runner.
    own: u32,
    /// `own` when the last report came.
    reported: u32,
    /// Requests of all other nodes, by the last report.
    others: u32,
    /// Requests that run at once without slowing down; 0 when unknown.
    slots: u32,
}

impl Load {
    /// This node sent a request.
    pub(crate) fn sent(&mut self) {
        self.own += 1;
    }

    /// A request of this node ended.
    pub(crate) fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes the runner's report.
    pub(crate) fn report(&mut self, report: &LoadReport) {
        let total = report.running.saturating_add(report.waiting);
        self.others = total.saturating_sub(self.reported);
        self.reported = self.own;
        self.slots = report.slots;
    }

    /// Whether one more request would run without slowing down the others.
    pub(crate) fn fits(&self) -> bool {
        self.total() < self.slots()
    }

    /// Whether one more request may be sent at all.
    pub(crate) fn room(&self) -> bool {
        self.total() < self.slots() + self.slots().div_ceil(OVERCOMMIT)
    }

    /// Whether `self` is less loaded than `other`, in proportion to their slots.
    pub(crate) fn less(&self, other: &Load) -> bool {
        let (a, b) = (u64::from(self.total()), u64::from(other.total()));
        a * u64::from(other.slots()) < b * u64::from(self.slots())
    }

    fn total(&self) -> u32 {
        self.own.saturating_add(self.others)
    }

    fn slots(&self) -> u32 {
        if self.slots == 0 { UNKNOWN_SLOTS } else { self.slots }
    }
}

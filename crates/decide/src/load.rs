//! Load of a runner, estimated from its delayed reports and the requests of this node.

use bilberryfront_wire::runner::LoadReport;

/// Slots assumed for a runner that has not reported any.
const DEFAULT_SLOTS: u32 = 8;
/// Number of slots per request sent in excess of them. The excess requests keep a runner busy while
/// the report that a slot became free is in transit.
const SLOTS_PER_OVERCOMMIT: u32 = 8;

/// Load of one runner.
///
/// A report is about one reporting period old and doesn't include the requests that this node has
/// sent since. They must be counted, or a node would send a whole burst to a runner that was idle
/// at its last report. Only the share of the other nodes is therefore taken from the report; the
/// share of this node is exact.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Requests of this node currently at the runner.
    own: u32,
    /// `own` at the time of the last report.
    own_at_report: u32,
    /// Requests of all other nodes according to the last report.
    others: u32,
    /// Requests that run concurrently without slowing down; 0 if unknown.
    slots: u32,
}

impl Load {
    /// Records a request sent by this node.
    pub(crate) fn record_sent(&mut self) {
        self.own += 1;
    }

    /// Records the end of a request of this node.
    pub(crate) fn record_ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Updates the load from a report of the runner.
    pub(crate) fn apply_report(&mut self, report: &LoadReport) {
        let total = report.running.saturating_add(report.waiting);
        self.others = total.saturating_sub(self.own_at_report);
        self.own_at_report = self.own;
        self.slots = report.slots;
    }

    /// Returns whether one more request would run without slowing down the others.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.total() < self.slots()
    }

    /// Returns whether one more request may be sent.
    pub(crate) fn has_room(&self) -> bool {
        self.total() < self.slots() + self.slots().div_ceil(SLOTS_PER_OVERCOMMIT)
    }

    /// Returns whether `self` is less loaded than `other`, relative to the number of slots.
    pub(crate) fn is_less_than(&self, other: &Load) -> bool {
        let (a, b) = (u64::from(self.total()), u64::from(other.total()));
        a * u64::from(other.slots()) < b * u64::from(self.slots())
    }

    fn total(&self) -> u32 {
        self.own.saturating_add(self.others)
    }

    fn slots(&self) -> u32 {
        if self.slots == 0 { DEFAULT_SLOTS } else { self.slots }
    }
}

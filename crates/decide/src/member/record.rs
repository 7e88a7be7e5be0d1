//! State of another node, defined by `charts/node.json`.

use {
    super::{
        CONFIRM_TIMEOUT, PING_DELAY, REFUTE_TIMEOUT, SILENCE_TIMEOUT, TOMBSTONE_RETENTION,
        UNKNOWN_TIMEOUT,
        message::{Claim, Moment, NodeIncarnation, NodeLocation, NodeState, Usage},
    },
    crate::{
        chart::Chart,
        id::{CatalogRevision, Incarnation},
    },
    compact_str::CompactString,
    serde::Deserialize,
    std::sync::LazyLock,
    tokio::time::Instant,
};

static CHART: LazyLock<Chart<NodeState, NodeEvent>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/node.json")).expect("charts/node.json is valid")
});

/// Moment before the first claim.
const NO_CLAIM: Moment =
    Moment { life: NodeIncarnation { epoch: 0, incarnation: Incarnation(0) }, beat: 0 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum NodeEvent {
    Starting,
    Ready,
    Draining,
    Silent,
    Ended,
    Unlisted,
}

/// Event raised by a timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Overdue {
    /// Silent: it becomes suspect, and its other watchers may refute that.
    Suspect,
    /// Not refuted within [`REFUTE_TIMEOUT`]: the suspicion is gossiped.
    Publish,
    /// Not refuted within [`CONFIRM_TIMEOUT`]: the node is considered dead.
    Gone,
    /// Retention expired: the node is removed.
    Forget,
}

/// Result of merging a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merged {
    /// Changed the record; must be gossiped.
    Changed,
    /// Consistent with the record.
    Same,
    /// Outdated and contradictory.
    Outdated,
}

/// State of another node.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Moment of the latest claim.
    pub(super) moment: Moment,
    pub(super) state: NodeState,
    /// Whether it is ready, or was ready before it became suspect.
    pub(super) was_ready: bool,
    /// Suspected by this node; the suspicion was sent to its watchers, but not gossiped yet.
    pub(super) awaits_refutation: bool,
    /// Start of the current state.
    pub(super) since: Instant,
    /// Time of the last newer claim.
    pub(super) last_claim: Instant,
    /// Time of the last direct heartbeat.
    pub(super) last_heartbeat: Option<Instant>,
    /// Start of the watch; `None` if this node does not watch it.
    pub(super) watched_since: Option<Instant>,
    pub(super) location: Option<NodeLocation>,
    pub(super) usage: Vec<Usage>,
    /// Catalogue revision in its last heartbeat.
    pub(super) revision: CatalogRevision,
    pub(super) listed: bool,
    /// Listed as draining.
    pub(super) leaving: bool,
}

impl Record {
    pub(super) fn new(now: Instant) -> Record {
        Record {
            moment: NO_CLAIM,
            state: CHART.initial(),
            was_ready: false,
            awaits_refutation: false,
            since: now,
            last_claim: now,
            last_heartbeat: None,
            watched_since: None,
            location: None,
            usage: Vec::new(),
            revision: CatalogRevision::default(),
            listed: false,
            leaving: false,
        }
    }

    /// Merges a claim. Claims of an older moment are ignored.
    pub(super) fn merge(&mut self, now: Instant, moment: Moment, state: NodeState) -> Merged {
        if self.is_stale(now) && state == NodeState::Suspect && moment.life == self.moment.life {
            self.moment = self.moment.max(moment);
            self.apply(now, NodeEvent::Silent);
            return Merged::Changed;
        }
        if (moment, state) <= (self.moment, self.state) {
            let same = state == self.state && moment.life == self.moment.life;
            return if same { Merged::Same } else { Merged::Outdated };
        }
        let before = self.state;
        let has_restarted = moment.life != self.moment.life;
        if has_restarted {
            self.state = CHART.initial();
            self.was_ready = false;
            self.usage.clear();
        }
        if moment > self.moment {
            self.last_claim = now;
        }
        self.moment = moment;
        let changed = event(state).is_some_and(|e| self.apply(now, e));
        if changed || has_restarted || (is_lost(before) && is_lost(state)) {
            // The newer moment is gossiped, because other nodes may still consider the node alive,
            // based on a claim up to that moment.
            Merged::Changed
        } else {
            Merged::Same
        }
    }

    /// Returns whether the node was silent for so long that a suspicion of an older moment is
    /// accepted. Otherwise two watchers with different moments would refute each other
    /// indefinitely.
    fn is_stale(&self, now: Instant) -> bool {
        self.is_running() && now >= self.last_claim + SILENCE_TIMEOUT
    }

    /// Returns whether the node is considered running.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.state, NodeState::Starting | NodeState::Ready | NodeState::Draining)
    }

    /// Applies an event; returns whether the state changed.
    pub(super) fn apply(&mut self, now: Instant, event: NodeEvent) -> bool {
        let Some(next) = CHART.next(self.state, event) else { return false };
        if next != NodeState::Suspect {
            self.was_ready = next == NodeState::Ready;
        }
        self.state = next;
        self.awaits_refutation = false;
        self.since = now;
        true
    }

    /// Returns the next timeout and its event.
    pub(super) fn deadline(&self) -> Option<(Instant, Overdue)> {
        match self.state {
            NodeState::Starting | NodeState::Ready | NodeState::Draining => {
                Some((self.silent_since()? + SILENCE_TIMEOUT, Overdue::Suspect))
            }
            NodeState::Suspect if self.awaits_refutation => {
                Some((self.since + REFUTE_TIMEOUT, Overdue::Publish))
            }
            NodeState::Suspect => Some((self.since + CONFIRM_TIMEOUT, Overdue::Gone)),
            NodeState::Gone if !self.listed => {
                Some((self.since + TOMBSTONE_RETENTION, Overdue::Forget))
            }
            NodeState::Unknown | NodeState::Gone | NodeState::Forgotten => None,
        }
    }

    /// Returns whether the node is running and watched, but has been silent for [`PING_DELAY`].
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.is_running() && self.silent_since().is_some_and(|since| now >= since + PING_DELAY)
    }

    /// Returns the time of the last sign of a watched node.
    fn silent_since(&self) -> Option<Instant> {
        let watched = self.watched_since?;
        Some(self.last_heartbeat.unwrap_or(watched).max(watched).max(self.since))
    }

    /// Returns whether nothing was heard of the node for [`UNKNOWN_TIMEOUT`].
    pub(super) fn is_unheard(&self, now: Instant) -> bool {
        self.state == NodeState::Unknown && now >= self.since + UNKNOWN_TIMEOUT
    }

    /// Restarts the current timeout.
    pub(super) fn restart_timeout(&mut self, now: Instant) {
        self.watched_since = self.watched_since.map(|_| now);
        if matches!(self.state, NodeState::Unknown | NodeState::Suspect) {
            self.since = now;
        }
    }

    /// Returns whether the node is part of the heartbeat topology.
    pub(super) fn is_in_topology(&self) -> bool {
        self.location.is_some() && !matches!(self.state, NodeState::Gone | NodeState::Forgotten)
    }

    /// Returns whether the node may be in address responses.
    pub(super) fn is_serving(&self) -> bool {
        matches!(self.state, NodeState::Ready | NodeState::Suspect)
            && self.was_ready
            && self.location.is_some()
            && !self.leaving
    }

    /// Returns whether the node is considered dead but is still listed.
    pub(super) fn is_lost_but_listed(&self) -> bool {
        self.state == NodeState::Gone && self.listed
    }

    /// Returns a claim about the node; it includes the addresses if `location` is set.
    pub(super) fn claim(&self, name: &CompactString, location: bool) -> Claim {
        let location = self.location.clone().filter(|_| location);
        Claim { name: name.clone(), moment: self.moment, state: self.state, location }
    }
}

fn is_lost(state: NodeState) -> bool {
    matches!(state, NodeState::Suspect | NodeState::Gone)
}

fn event(state: NodeState) -> Option<NodeEvent> {
    match state {
        NodeState::Starting => Some(NodeEvent::Starting),
        NodeState::Ready => Some(NodeEvent::Ready),
        NodeState::Draining => Some(NodeEvent::Draining),
        NodeState::Suspect => Some(NodeEvent::Silent),
        NodeState::Gone => Some(NodeEvent::Ended),
        NodeState::Unknown | NodeState::Forgotten => None,
    }
}

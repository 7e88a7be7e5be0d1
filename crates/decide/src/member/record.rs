//! State of one other node: `charts/node.json`.

use {
    super::{
        ANSWER, CONFIRM, SILENCE, TOMBSTONE,
        message::{Claim, Moment, NodeIncarnation, NodeLocation, NodeState, Usage},
    },
    crate::{
        chart::Chart,
        id::{Incarnation, Revision},
    },
    compact_str::CompactString,
    serde::Deserialize,
    std::sync::LazyLock,
    tokio::time::Instant,
};

static CHART: LazyLock<Chart<NodeState, NodeEvent>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/node.json")).expect("charts/node.json is whole")
});

/// State before the first message.
const NEVER: Moment =
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
    /// Silent: becomes suspect, and its other watchers are asked.
    Suspect,
    /// Not refuted: the suspicion is gossiped.
    Publish,
    /// Not refuted: the node is dead.
    Gone,
    /// Retention expired.
    Forget,
}

/// Result of merging a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merged {
    /// Changed the state.
    Changed,
    /// Known already.
    Same,
    /// Outdated and contradictory.
    Outdated,
}

#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) moment: Moment,
    pub(super) state: NodeState,
    /// Whether it was ready before it became suspect.
    pub(super) ready: bool,
    /// Suspected by this node; only some others were asked so far.
    pub(super) asked: bool,
    /// Start of the current state.
    pub(super) since: Instant,
    /// Time of the last newer claim.
    pub(super) fresh: Instant,
    /// Time of the last direct heartbeat.
    pub(super) last_heartbeat: Option<Instant>,
    /// Start of the watch; `None` if this node does not watch it.
    pub(super) watched: Option<Instant>,
    pub(super) location: Option<NodeLocation>,
    pub(super) usage: Vec<Usage>,
    /// Catalogue revision in its last heartbeat; 0 if none.
    pub(super) revision: Revision,
    pub(super) listed: bool,
    /// Listed as draining.
    pub(super) leaving: bool,
}

impl Record {
    pub(super) fn new(now: Instant) -> Record {
        Record {
            moment: NEVER,
            state: CHART.initial(),
            ready: false,
            asked: false,
            since: now,
            fresh: now,
            last_heartbeat: None,
            watched: None,
            location: None,
            usage: Vec::new(),
            revision: 0,
            listed: false,
            leaving: false,
        }
    }

    /// Merges a claim. Claims of an older moment are ignored.
    pub(super) fn merge(&mut self, now: Instant, moment: Moment, state: NodeState) -> Merged {
        if self.stale(now) && state == NodeState::Suspect && moment.life == self.moment.life {
            self.moment = self.moment.max(moment);
            self.take(now, NodeEvent::Silent);
            return Merged::Changed;
        }
        if (moment, state) <= (self.moment, self.state) {
            let same = state == self.state && moment.life == self.moment.life;
            return if same { Merged::Same } else { Merged::Outdated };
        }
        let before = self.state;
        let reborn = moment.life != self.moment.life;
        if reborn {
            self.state = CHART.initial();
            self.ready = false;
            self.usage.clear();
        }
        if moment > self.moment {
            self.fresh = now;
        }
        self.moment = moment;
        let changed = event(state).is_some_and(|e| self.take(now, e));
        if changed || reborn || (lost(before) && lost(state)) {
            // Gossips the newer moment: others may still hold it as alive.
            Merged::Changed
        } else {
            Merged::Same
        }
    }

    /// Whether this node was silent for so long that a suspicion of an older moment is accepted.
    /// Otherwise two watchers with different moments would refute each other forever.
    fn stale(&self, now: Instant) -> bool {
        self.running() && now >= self.fresh + SILENCE
    }

    /// Whether it counts as running.
    pub(super) fn running(&self) -> bool {
        matches!(self.state, NodeState::Starting | NodeState::Ready | NodeState::Draining)
    }

    /// Applies an event; returns whether the state changed.
    pub(super) fn take(&mut self, now: Instant, event: NodeEvent) -> bool {
        let Some(next) = CHART.next(self.state, event) else { return false };
        if next != NodeState::Suspect {
            self.ready = next == NodeState::Ready;
        }
        self.state = next;
        self.asked = false;
        self.since = now;
        true
    }

    /// Next timeout and its event.
    pub(super) fn deadline(&self) -> Option<(Instant, Overdue)> {
        match self.state {
            NodeState::Starting | NodeState::Ready | NodeState::Draining => {
                let watched = self.watched?;
                let last = self.last_heartbeat.unwrap_or(watched).max(watched).max(self.since);
                Some((last + SILENCE, Overdue::Suspect))
            }
            NodeState::Suspect if self.asked => Some((self.since + ANSWER, Overdue::Publish)),
            NodeState::Suspect => Some((self.since + CONFIRM, Overdue::Gone)),
            NodeState::Gone if !self.listed => Some((self.since + TOMBSTONE, Overdue::Forget)),
            NodeState::Unknown | NodeState::Gone | NodeState::Forgotten => None,
        }
    }

    /// Restarts the current timeout.
    pub(super) fn forgive(&mut self, now: Instant) {
        self.watched = self.watched.map(|_| now);
        if self.state == NodeState::Suspect {
            self.since = now;
        }
    }

    /// Whether it takes part in heartbeats.
    pub(super) fn counts(&self) -> bool {
        self.location.is_some() && !matches!(self.state, NodeState::Gone | NodeState::Forgotten)
    }

    /// Whether it may be in address responses.
    pub(super) fn serves(&self) -> bool {
        matches!(self.state, NodeState::Ready | NodeState::Suspect)
            && self.ready
            && self.location.is_some()
            && !self.leaving
    }

    /// Whether it was removed by a timeout while still listed.
    pub(super) fn lost_but_listed(&self) -> bool {
        self.state == NodeState::Gone && self.listed
    }

    /// Claim about the node; `location` includes its addresses.
    pub(super) fn claim(&self, name: &CompactString, location: bool) -> Claim {
        let location = self.location.clone().filter(|_| location);
        Claim { name: name.clone(), moment: self.moment, state: self.state, location }
    }
}

fn lost(state: NodeState) -> bool {
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

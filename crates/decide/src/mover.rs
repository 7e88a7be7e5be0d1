//! Version moves: an entry's traffic is shifted to a new version by a deadline, or rolled back.
//!
//! Each node has one [`Mover`], which has no clock, socket or source of randomness of its own.
//! Raising the share requires the entry's lease and a commit to the table; lowering it requires
//! neither. See
//! `docs/design/moves.md`.

pub mod evidence;
pub mod lease;
pub mod next;
mod pending;
pub mod record;
pub mod schedule;
pub mod split;
pub mod standing;
mod status;
mod sync;
mod track;
mod units;
pub mod update;
pub mod verdict;

pub use {
    evidence::{Response, Sample},
    next::{Next, Waiting},
    record::{Move, MoveId, MoveRow},
    schedule::{DeadlineTooClose, Weights},
    split::{Choice, Split},
    standing::{Cause, Standing, Verdict},
    status::{RouteStatus, Side, Status},
    units::{Millis, Share},
    update::{MoveEvidence, MoveQuery, MoveUpdate},
};

use {
    crate::id::Incarnation,
    bilberryfront_wire::table::{Commit, Committed, Read, Rows},
    compact_str::CompactString,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
    track::{PendingStart, Track},
};

/// A result whose error is a [`MoveError`].
pub type Result<T> = std::result::Result<T, MoveError>;

/// Time without a response from the table after which a start fails with [`MoveError::Table`].
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// An operator's request to start a move.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Catalogue entry.
    pub entry: CompactString,
    /// New version.
    pub to: CompactString,
    /// Deadline.
    pub by: Millis,
    /// Priorities.
    pub weights: Weights,
    /// Whether to start even if the deadline is too close to collect sufficient evidence; the steps
    /// are then shortened to fit.
    pub force: bool,
}

/// Error of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum MoveError {
    /// Not an entry of the current catalogue.
    #[error("the catalogue has no entry {0}")]
    NoEntry(CompactString),
    /// The rows have not been read yet, or the table doesn't respond. A start may still take
    /// effect.
    #[error("the table does not respond")]
    Table,
    /// The entry already has the requested version.
    #[error("the entry already has version {0}")]
    Same(CompactString),
    /// Another move of the entry is in progress, possibly one that was started concurrently.
    #[error("another move of the entry is in progress")]
    Other(MoveId),
    /// The entry has no move in progress that could be undone.
    #[error("the entry has no move in progress")]
    Over,
    /// The deadline is too close.
    #[error(transparent)]
    Late(#[from] DeadlineTooClose),
}

/// A side effect to be carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read rows; the response is passed to [`Mover::rows`].
    Read {
        /// Request number.
        number: u64,
        /// Request.
        read: Read,
    },
    /// Write rows; the response is passed to [`Mover::committed`].
    Commit {
        /// Request number.
        number: u64,
        /// Request.
        commit: Commit,
    },
    /// Send to all peers, without retries; the next message replaces a lost one.
    Broadcast(MoveUpdate),
    /// Change the entry's version in the catalogue; repeated until [`Mover::set_version`] reports
    /// it.
    Adopt {
        /// Catalogue entry.
        entry: CompactString,
        /// New version.
        version: CompactString,
    },
    /// Result of a start, for the operator who requested it.
    Started {
        /// The move.
        id: MoveId,
        /// Result.
        result: Result<()>,
    },
}

/// State shared by the tracks of all entries.
#[derive(Clone, Debug)]
struct Context {
    me: Incarnation,
    rng: SmallRng,
    /// Number of the last request to the table.
    last_number: u64,
    /// Wall-clock time at an instant.
    clock_base: (Instant, Millis),
}

impl Context {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn wall_at(&self, now: Instant) -> Millis {
        let (at, wall) = self.clock_base;
        wall + (now - at).as_millis() as Millis
    }
}

/// State of all version moves at one node.
#[derive(Clone, Debug)]
pub struct Mover {
    context: Context,
    peers: Vec<Incarnation>,
    /// By entry.
    tracks: BTreeMap<CompactString, Track>,
    /// Entries and timeouts of the starts that were not answered yet.
    starts: BTreeMap<MoveId, (CompactString, Instant)>,
    adopt_at: Option<Instant>,
}

impl Mover {
    /// Creates a mover without entries. `wall` is the wall-clock time at `now`. Decisions are
    /// deterministic for a given seed.
    pub fn new(me: Incarnation, seed: u64, now: Instant, wall: Millis) -> Mover {
        let context = Context {
            me,
            rng: SmallRng::seed_from_u64(seed),
            last_number: 0,
            clock_base: (now, wall),
        };
        Mover {
            context,
            peers: Vec::new(),
            tracks: BTreeMap::new(),
            starts: BTreeMap::new(),
            adopt_at: None,
        }
    }

    /// Sets the other nodes.
    pub fn set_peers(&mut self, peers: &[Incarnation]) {
        self.peers = peers.iter().copied().filter(|p| *p != self.context.me).collect();
        self.tracks.values_mut().for_each(|t| t.freshness.set_peers(&self.peers));
    }

    /// Sets an entry's version in the current catalogue.
    pub fn set_version(&mut self, now: Instant, entry: &str, version: &str) {
        let new = || Track::new(now, entry.into(), &self.peers);
        self.tracks.entry(entry.into()).or_insert_with(new).version = version.into();
    }

    /// Sets the numbers of live runners of an entry at the old and the new version of its move.
    pub fn set_runner_counts(&mut self, entry: &str, old: u32, new: u32) {
        if let Some(track) = self.tracks.get_mut(entry) {
            track.runner_counts = Some([old, new]);
        }
    }

    /// Records a request that ended.
    pub fn observe(&mut self, now: Instant, entry: &str, sample: &Sample<'_>) {
        if let Some(track) = self.tracks.get_mut(entry) {
            track.observe(now, sample);
        }
    }

    /// Handles a peer's message.
    pub fn receive(&mut self, now: Instant, update: &MoveUpdate) {
        if let Some(track) = self.tracks.get_mut(&update.entry) {
            track.receive(now, self.context.me, update);
        }
    }

    /// Handles the response to [`Output::Read`]; `rows` is `None` if there was none.
    pub fn rows(&mut self, now: Instant, number: u64, rows: Option<&Rows>) {
        let wall = self.context.wall_at(now);
        for track in self.tracks.values_mut() {
            match rows {
                rows if track.awaits(number) => track.handle_rows(now, wall, rows),
                Some(rows) => track.handle_late_rows(now, wall, rows),
                None => {}
            }
        }
    }

    /// Handles the response to [`Output::Commit`]; `response` is `None` if there was none.
    pub fn committed(&mut self, now: Instant, number: u64, response: Option<&Committed>) {
        let wall = self.context.wall_at(now);
        if let Some(track) = self.tracks.values_mut().find(|t| t.awaits(number)) {
            track.handle_committed(now, wall, response);
        }
    }

    /// Returns the entry's current traffic split; `None` if the catalogue's version receives every
    /// request.
    pub fn split(&self, now: Instant, entry: &str) -> Option<Split> {
        self.tracks.get(entry)?.split(now)
    }

    /// Returns the fencing number for orders to the entry's runners, if this node may send any.
    /// Must be called right before each order, because some runners don't check the number.
    pub fn fence(&self, now: Instant, entry: &str) -> Option<u64> {
        self.tracks.get(entry)?.lease.fence(now, self.context.me)
    }

    /// Returns whether the old version's runners must be kept.
    pub fn keeps_old(&self, entry: &str) -> bool {
        self.tracks.get(entry).is_some_and(|t| t.active().is_some())
    }

    /// Plans a move and schedules its write. The result is reported as [`Output::Started`].
    pub fn start(&mut self, now: Instant, start: &Start) -> Result<MoveId> {
        let wall = self.context.wall_at(now);
        let nodes = self.peers.len() as f64 + 1.0;
        let Some(track) = self.tracks.get_mut(&start.entry) else {
            return Err(MoveError::NoEntry(start.entry.clone()));
        };
        let revision = track.revision.ok_or(MoveError::Table)?;
        let pending = track.pending_start.as_ref().map(|s| &s.row);
        // The stored row takes precedence: a new row would overwrite a local verdict before it is
        // stored.
        let known = track.row.as_ref().filter(|r| !r.standing.is_final());
        if let Some(row) = known.or(pending) {
            return Err(MoveError::Other(row.moved.id));
        }
        if track.version == start.to {
            return Err(MoveError::Same(start.to.clone()));
        }
        let time = Duration::from_millis(start.by.saturating_sub(wall));
        let steps = schedule::plan(time, track.rate(now) * nodes, &start.weights, start.force)?;
        let id = MoveId(self.context.rng.random());
        let moved = Move {
            id,
            entry: start.entry.clone(),
            from: track.version.clone(),
            to: start.to.clone(),
            started: wall,
            by: start.by,
            force: start.force,
            weights: start.weights,
            steps,
        };
        let standing = Standing::Moving(0);
        let row = MoveRow { moved, standing, since: wall, commit: 0 };
        track.pending_start = Some(PendingStart { row, revision });
        self.starts.insert(id, (start.entry.clone(), now + START_TIMEOUT));
        Ok(id)
    }

    /// Rolls the entry's move back: immediately on this node, within seconds everywhere.
    pub fn undo(&mut self, now: Instant, entry: &str) -> Result<MoveId> {
        let me = self.context.me;
        let track = self.tracks.get_mut(entry).ok_or_else(|| MoveError::NoEntry(entry.into()))?;
        let id = track.active().ok_or(MoveError::Over)?.moved.id;
        let route = CompactString::default();
        track.take_back(now, &Verdict { cause: Cause::Undone, route, node: me });
        Ok(id)
    }

    /// Performs due work and appends the side effects to `out`. Must be called about every 50 ms.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.answer_starts(now, out);
        for track in self.tracks.values_mut() {
            track.tick(now, &mut self.context, out);
        }
        if self.adopt_at.is_none_or(|at| now >= at) {
            self.adopt_at = Some(now + Duration::from_secs(1));
            let me = self.context.me;
            out.extend(self.tracks.values().filter_map(|t| t.adoption(now, me)));
        }
    }

    /// Returns the status of the entry's latest move.
    pub fn status(&self, now: Instant, entry: &str) -> Option<Status> {
        status::status(self.tracks.get(entry)?, now, self.context.wall_at(now), self.context.me)
    }

    fn answer_starts(&mut self, now: Instant, out: &mut Vec<Output>) {
        let tracks = &mut self.tracks;
        self.starts.retain(|id, (entry, until)| {
            let track = tracks.get_mut(entry).expect("a start has a track");
            let result = match track.start_result(*id) {
                None if now < *until => return true,
                None => Err(MoveError::Table),
                Some(result) => result,
            };
            track.pending_start = None;
            out.push(Output::Started { id: *id, result });
            false
        });
    }
}

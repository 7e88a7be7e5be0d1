//! Version moves: an entry's requests go over to a new version by a deadline, or are taken back.
//!
//! One [`Mover`] at each node, without clock, socket or randomness of its own. Raising the share needs
//! the entry's lease and a commit of the table; lowering needs neither. See `docs/design/moves.md`.

mod ask;
mod asked;
pub mod evidence;
pub mod lease;
pub mod update;
pub mod next;
pub mod record;
pub mod schedule;
pub mod split;
pub mod standing;
mod status;
mod track;
mod units;
pub mod verdict;

pub use {
    evidence::Sample,
    next::{Next, Waiting},
    record::{Move, MoveId, MoveRow},
    schedule::{DeadlineTooClose, Weights},
    split::{Choice, Split},
    standing::{Cause, Standing, Verdict},
    status::{RouteStatus, Side, Status},
    units::{Millis, Share},
    update::MoveUpdate,
};

use {
    crate::id::Incarnation,
    bilberryfront_wire::table::{Commit, Committed, Read, Rows},
    compact_str::CompactString,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
    track::{Track, Wanted},
};

/// A result whose error is a [`MoveError`].
pub type Result<T> = std::result::Result<T, MoveError>;

/// Longest wait for the table before a start is answered with [`MoveError::Table`].
const START_WAIT: Duration = Duration::from_secs(20);

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Catalogue entry.
    pub entry: CompactString,
    /// New version.
    pub to: CompactString,
    /// Deadline.
    pub by: Millis,
    /// What counts.
    pub weights: Weights,
    /// Whether to go on although the time is too short for the evidence.
    pub force: bool,
}

/// Why an operator's request is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum MoveError {
    /// Not an entry of the catalogue in force.
    #[error("no entry {0}")]
    NoEntry(CompactString),
    /// The rows weren't read yet, or the table doesn't answer. A start may still take effect.
    #[error("the table doesn't answer")]
    Table,
    /// The entry has that version already.
    #[error("the entry has version {0} already")]
    Same(CompactString),
    /// Another move of the entry is under way, perhaps of another operator at the same moment.
    #[error("another move of the entry is under way")]
    Other(MoveId),
    /// No move to be undone: none is there, or the last one is over.
    #[error("no move is under way")]
    Over,
    /// The deadline is too close.
    #[error(transparent)]
    Late(#[from] DeadlineTooClose),
}

/// Something to be done for a move.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read rows; answer with [`Mover::rows`].
    Read {
        /// Number of the question.
        number: u64,
        /// Rows wanted.
        read: Read,
    },
    /// Write rows; answer with [`Mover::committed`].
    Commit {
        /// Number of the question.
        number: u64,
        /// Writes wanted.
        commit: Commit,
    },
    /// Send to all peers at once; lost ones are made up for by the next.
    Broadcast(MoveUpdate),
    /// Change the catalogue's version of the entry; repeated until [`Mover::set_version`] shows it.
    Adopt {
        /// Catalogue entry.
        entry: CompactString,
        /// Version to be named.
        version: CompactString,
    },
    /// Answer to the operator who asked for this move's start.
    Started {
        /// The move.
        id: MoveId,
        /// What came of it.
        result: Result<()>,
    },
}

/// What a track needs to ask the table.
#[derive(Clone, Debug)]
struct Table {
    me: Incarnation,
    rng: SmallRng,
    number: u64,
    zero: (Instant, Millis),
}

impl Table {
    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn wall(&self, now: Instant) -> Millis {
        let (at, wall) = self.zero;
        wall + (now - at).as_millis() as Millis
    }
}

/// All version moves, as one node sees them.
#[derive(Clone, Debug)]
pub struct Mover {
    table: Table,
    peers: Vec<Incarnation>,
    tracks: BTreeMap<CompactString, Track>,
    starts: BTreeMap<MoveId, (CompactString, Instant)>,
    adopt_at: Option<Instant>,
}

impl Mover {
    /// A mover that knows nothing yet. `wall` is the wall-clock time at `now`. Equal seeds decide
    /// equally.
    pub fn new(me: Incarnation, seed: u64, now: Instant, wall: Millis) -> Mover {
        let table = Table { me, rng: SmallRng::seed_from_u64(seed), number: 0, zero: (now, wall) };
        Mover {
            table,
            peers: Vec::new(),
            tracks: BTreeMap::new(),
            starts: BTreeMap::new(),
            adopt_at: None,
        }
    }

    /// The other nodes, as the instance list has them.
    pub fn set_peers(&mut self, peers: &[Incarnation]) {
        self.peers = peers.iter().copied().filter(|p| *p != self.table.me).collect();
        self.tracks.values_mut().for_each(|t| t.fresh.set_peers(&self.peers));
    }

    /// The catalogue in force has this entry at this version.
    pub fn set_version(&mut self, now: Instant, entry: &str, version: &str) {
        let new = || Track::new(now, entry.into(), &self.peers);
        self.tracks.entry(entry.into()).or_insert_with(new).version = version.into();
    }

    /// Live runners of an entry at the old and the new version of its move.
    pub fn set_runner_counts(&mut self, entry: &str, old: u32, new: u32) {
        if let Some(track) = self.tracks.get_mut(entry) {
            track.fleet = Some([old, new]);
        }
    }

    /// A request ended.
    pub fn observe(&mut self, now: Instant, entry: &str, sample: &Sample<'_>) {
        if let Some(track) = self.tracks.get_mut(entry) {
            track.observe(now, sample);
        }
    }

    /// A peer's message came.
    pub fn receive(&mut self, now: Instant, news: &MoveUpdate) {
        if let Some(track) = self.tracks.get_mut(&news.entry) {
            track.hear(now, self.table.me, news);
        }
    }

    /// Rows that were asked for; `None` when no answer came.
    pub fn rows(&mut self, now: Instant, number: u64, rows: Option<&Rows>) {
        let wall = self.table.wall(now);
        for track in self.tracks.values_mut() {
            match rows {
                rows if track.awaits(number) => track.rows(now, wall, rows),
                Some(rows) => track.late_rows(now, wall, rows),
                None => {}
            }
        }
    }

    /// What came of a commit; `None` when no answer came.
    pub fn committed(&mut self, now: Instant, number: u64, answer: Option<&Committed>) {
        let wall = self.table.wall(now);
        if let Some(track) = self.tracks.values_mut().find(|t| t.awaits(number)) {
            track.committed(now, wall, answer);
        }
    }

    /// How the entry's requests are split at present; `None` when the catalogue's version gets all.
    pub fn split(&self, now: Instant, entry: &str) -> Option<Split> {
        self.tracks.get(entry)?.split(now)
    }

    /// The fencing number for orders to the entry's runners, if this node may give any. To be asked
    /// right before each order is sent: some runners don't check the number themselves.
    pub fn fence(&self, now: Instant, entry: &str) -> Option<u64> {
        self.tracks.get(entry)?.lease.held(now, self.table.me)
    }

    /// Whether the old version's runners must be kept.
    pub fn keeps_old(&self, entry: &str) -> bool {
        self.tracks.get(entry).is_some_and(|t| t.active().is_some())
    }

    /// Plans a move and sets out to write it. The answer comes as [`Output::Started`].
    pub fn start(&mut self, now: Instant, start: &Start) -> Result<MoveId> {
        let wall = self.table.wall(now);
        let nodes = self.peers.len() as f64 + 1.0;
        let Some(track) = self.tracks.get_mut(&start.entry) else {
            return Err(MoveError::NoEntry(start.entry.clone()));
        };
        let revision = track.revision.ok_or(MoveError::Table)?;
        let wanted = track.wanted.as_ref().map(|w| &w.row);
        // The stored row takes precedence: a new row would overwrite a local verdict before it is
        // stored.
        let known = track.row.as_ref().filter(|r| !r.standing.is_final());
        if let Some(row) = known.or(wanted) {
            return Err(MoveError::Other(row.moved.id));
        }
        if track.version == start.to {
            return Err(MoveError::Same(start.to.clone()));
        }
        let time = Duration::from_millis(start.by.saturating_sub(wall));
        let steps = schedule::plan(time, track.rate(now) * nodes, &start.weights, start.force)?;
        let id = MoveId(self.table.rng.random());
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
        track.wanted = Some(Wanted { row, revision });
        self.starts.insert(id, (start.entry.clone(), now + START_WAIT));
        Ok(id)
    }

    /// Rolls the entry's move back: immediately on this node, within seconds everywhere.
    pub fn undo(&mut self, now: Instant, entry: &str) -> Result<MoveId> {
        let me = self.table.me;
        let track = self.tracks.get_mut(entry).ok_or_else(|| MoveError::NoEntry(entry.into()))?;
        let id = track.active().ok_or(MoveError::Over)?.moved.id;
        let route = CompactString::default();
        track.take_back(now, &Verdict { cause: Cause::Undone, route, node: me });
        Ok(id)
    }

    /// Time has passed: appends what is to be done. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.answer_starts(now, out);
        for track in self.tracks.values_mut() {
            track.tick(now, &mut self.table, out);
        }
        if self.adopt_at.is_none_or(|at| now >= at) {
            self.adopt_at = Some(now + Duration::from_secs(1));
            let me = self.table.me;
            out.extend(self.tracks.values().filter_map(|t| t.adoption(now, me)));
        }
    }

    /// How the entry's latest move stands.
    pub fn status(&self, now: Instant, entry: &str) -> Option<Status> {
        status::status(self.tracks.get(entry)?, now, self.table.wall(now), self.table.me)
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
            track.wanted = None;
            out.push(Output::Started { id: *id, result });
            false
        });
    }
}

//! What `move status` shows.

use {
    super::{
        evidence::{Counts, METRICS},
        next::{Next, Pace, Waiting, next},
        record::Move,
        standing::Standing,
        track::Track,
        units::{Millis, Share},
    },
    crate::id::Incarnation,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    tokio::time::Instant,
};

/// How a move stands.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Status {
    /// The move.
    pub moved: Move,
    /// How far it has come.
    pub standing: Standing,
    /// Share that the table allows.
    pub share: Share,
    /// Share that this node gives at the moment.
    pub here: Share,
    /// Node that steps the move, as far as known.
    pub holder: Option<Incarnation>,
    /// Whether this is that node.
    pub held: bool,
    /// Milliseconds until the deadline.
    pub left: Millis,
    /// What it waits for.
    pub waiting: Waiting,
    /// What it does then.
    pub next: Next,
    /// Evidence by route.
    pub routes: Vec<RouteStatus>,
}

/// Evidence of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RouteStatus {
    /// The route.
    pub route: CompactString,
    /// The old version's requests.
    pub old: Side,
    /// The new version's requests.
    pub new: Side,
    /// Accounts that the new version served; at most 64 are distinguished.
    pub accounts: u32,
}

/// One version's requests on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Side {
    /// Ended.
    pub ended: u32,
    /// Failed.
    pub failed: u32,
    /// Late first token.
    pub late: u32,
    /// Slow pace.
    pub slow: u32,
}

impl Side {
    fn new(ended: u32, [failed, late, slow]: [u32; METRICS]) -> Side {
        Side { ended, failed, late, slow }
    }
}

impl RouteStatus {
    fn new(route: &CompactString, counts: &Counts) -> RouteStatus {
        RouteStatus {
            route: route.clone(),
            old: Side::new(counts.old, counts.bad.map(|b| b.old)),
            new: Side::new(counts.new, counts.bad.map(|b| b.new)),
            accounts: counts.accounts.count_ones(),
        }
    }
}

pub(super) fn status(track: &Track, now: Instant, wall: Millis, me: Incarnation) -> Option<Status> {
    let row = track.row.as_ref()?;
    let Pace { waiting, next } = next(track, now, wall);
    let here = match track.split(now) {
        Some(split) => split.share(now),
        // Without a split the catalogue's version gets every request.
        None if track.version == row.moved.to => Share::ALL,
        None => Share::NONE,
    };
    Some(Status {
        moved: row.moved.clone(),
        standing: track.standing.clone(),
        share: row.moved.share(&track.standing),
        here,
        holder: track.lease.holder(),
        held: track.lease.held(now, me).is_some(),
        left: row.moved.by.saturating_sub(wall),
        waiting,
        next,
        routes: track.routes.iter().map(|(r, c)| RouteStatus::new(r, c)).collect(),
    })
}

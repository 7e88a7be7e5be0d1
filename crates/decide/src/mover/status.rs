//! Status of a move, as shown by `move status`.

use {
    super::{
        evidence::{Counts, METRICS},
        next::{Next, Progress, Waiting, progress},
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

/// Status of a move.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Status {
    /// The move.
    pub moved: Move,
    /// Progress.
    pub standing: Standing,
    /// New version's share according to `standing`.
    pub share: Share,
    /// New version's share currently applied by this node.
    pub here: Share,
    /// Last known lease holder, which advances the move.
    pub holder: Option<Incarnation>,
    /// Whether this node holds the lease.
    pub held: bool,
    /// Milliseconds until the deadline.
    pub left: Millis,
    /// Condition that the next change waits for.
    pub waiting: Waiting,
    /// Next change.
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
    /// Accounts served by the new version; at most 64 are distinguished.
    pub accounts: u32,
}

/// One version's requests on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Side {
    /// Ended requests.
    pub ended: u32,
    /// Failed requests.
    pub failed: u32,
    /// Requests with a late first token.
    pub late: u32,
    /// Requests with a low token rate.
    pub slow: u32,
}

impl Side {
    fn new(ended: u32, [failed, late, slow, _]: [u32; METRICS]) -> Side {
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
    let Progress { waiting, next } = progress(track, now, wall);
    let here = match track.split(now) {
        Some(split) => split.share(now),
        // Without a split, the catalogue's version receives every request.
        None if track.version == row.moved.to => Share::ALL,
        None => Share::NONE,
    };
    Some(Status {
        moved: row.moved.clone(),
        standing: track.standing.clone(),
        share: row.moved.share(&track.standing),
        here,
        holder: track.lease.holder(),
        held: track.lease.fence(now, me).is_some(),
        left: row.moved.by.saturating_sub(wall),
        waiting,
        next,
        routes: track.routes.iter().map(|(r, c)| RouteStatus::new(r, c)).collect(),
    })
}

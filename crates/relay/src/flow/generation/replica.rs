//! A copy of a run's memory at another runner, from which the stream goes on when its runner is lost.
//!
//! The runner itself copies as it goes, to the holder that it was given with the request. When that
//! holder is lost first, which in crashes of one failure domain after another hits the longest streams,
//! the runner is asked for a copy at another one. Such a copy doesn't grow by itself and is kept for a
//! while only, so it is asked for again until the stream has ended.

use {
    crate::{
        dialect::{Copy, Dialect},
        exchange::Exchange,
        fleet::{Lease, Place},
        network::Network,
    },
    compact_str::CompactString,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// Part of the time for which a copy is kept after which it is asked for again.
const RENEW: f64 = 0.75;
/// Pause before another try when a copy can't be had.
const RETRY: Duration = Duration::from_millis(500);

/// The copy of one run.
pub(super) struct Backup {
    /// Claims the holder's memory.
    lease: Lease,
    /// When it was asked for; `None` for one that the runner makes by itself.
    asked: Option<Instant>,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    /// How the holder finds the copy; `None` while there is none.
    copy: RefCell<Option<Copy>>,
    /// The run has ended.
    ended: Notify,
}

impl Backup {
    /// A copy that the runner makes by itself of the attempt `id`.
    pub(super) fn growing(lease: Lease, id: &CompactString) -> Backup {
        let copy = Copy { address: lease.place.address, handle: id.clone() };
        let state = State { copy: RefCell::new(Some(copy)), ..State::default() };
        Backup { lease, asked: None, state: Rc::new(state) }
    }

    /// A copy that the runner at `source` is asked for, and which is kept for `kept`.
    pub(super) fn asked<D: Dialect, N: Network>(
        exchange: Exchange<D, N>,
        lease: Lease,
        id: CompactString,
        source: Place,
        kept: Duration,
    ) -> Backup {
        let state = Rc::<State>::default();
        let backup = Backup { lease, asked: Some(Instant::now()), state: state.clone() };
        let holder = backup.holder().clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = ask(&exchange, &state, &id, &source, &holder, kept) => {}
                () = state.ended.notified() => {}
            }
            // A copy that nobody went on from takes its holder's memory until it lapses.
            let left = state.copy.borrow_mut().take();
            if let Some(copy) = left {
                exchange.forget(&source, &copy.handle).await;
            }
        });
        backup
    }

    /// Who holds it.
    pub(super) fn holder(&self) -> &Place {
        &self.lease.place
    }

    /// Whether it was asked for too short a while ago to be given up for another one. Where all holders that
    /// could be asked were in trouble lately, each event of the stream would ask for another copy and drop
    /// the one that was just made.
    pub(super) fn is_new(&self) -> bool {
        self.asked.is_some_and(|at| at.elapsed() < RETRY)
    }

    /// Who holds it and how it is found there, if it is there.
    pub(super) fn take(&self) -> Option<(Place, Copy)> {
        let copy = self.state.copy.borrow_mut().take()?;
        Some((self.lease.place.clone(), copy))
    }
}

impl Drop for Backup {
    fn drop(&mut self) {
        self.state.ended.notify_one();
    }
}

/// Asks for copies without an end.
async fn ask<D: Dialect, N: Network>(
    exchange: &Exchange<D, N>,
    state: &State,
    id: &CompactString,
    source: &Place,
    holder: &Place,
    kept: Duration,
) {
    loop {
        let handle = exchange.copy(source, holder, id).await;
        log::info!(request = id.as_str(), runner = source.id.as_str(),
            holder = holder.id.as_str(), made = handle.is_some();
            "asked a runner for a copy of a run");
        let pause = if handle.is_some() { kept.mul_f64(RENEW) } else { RETRY };
        if let Some(handle) = handle {
            // It took the copy, whatever it was held to be before.
            exchange.fleet.alive(holder.key, Instant::now());
            *state.copy.borrow_mut() = Some(Copy { address: source.address, handle });
        }
        sleep(pause).await;
    }
}

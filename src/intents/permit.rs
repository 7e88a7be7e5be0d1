//! The right to send a call once.

use {
    bilberryfront_decide::intent::{Action, Event, Life, Outcome, Shelf, State},
    compact_str::CompactString,
    std::sync::{Arc, Mutex, PoisonError},
    tokio::{sync::mpsc, time::Instant},
};

/// The shelf of this run of the node, shared by all its requests.
pub(super) type SharedShelf = Arc<Mutex<Shelf>>;

/// Applies an event to the state machine of a call, with the shared shelf.
pub(super) fn step(life: &mut Life, event: Event, shelf: &SharedShelf) -> Action {
    life.step(event, &mut shelf.lock().unwrap_or_else(PoisonError::into_inner))
}

/// The state machine of a claimed call, and the key of the call's row.
pub(super) struct HeldClaim {
    pub(super) row: CompactString,
    pub(super) life: Life,
}

/// A claim whose permit was dropped, and the outcome to record for it.
pub(super) type DroppedPermit = (HeldClaim, Outcome);

/// The right to send a call once. Not `Clone`; returned with [`super::Intents::settle`].
///
/// If it is dropped instead, for example because the caller disconnected, the outcome is recorded as
/// "not run" if [`Permit::begin`] was not called, and as "unknown" otherwise.
pub struct Permit {
    held: Option<HeldClaim>,
    shelf: SharedShelf,
    dropped: mpsc::Sender<DroppedPermit>,
}

impl Permit {
    pub(super) fn new(
        held: HeldClaim,
        shelf: SharedShelf,
        dropped: mpsc::Sender<DroppedPermit>,
    ) -> Permit {
        Permit { held: Some(held), shelf, dropped }
    }

    /// Returns whether the call may be sent; must be called immediately before sending. If it returns
    /// `false`, the claim is too old to send the call safely: settle with [`Outcome::NotRun`].
    pub fn begin(&mut self) -> bool {
        let Some(held) = &mut self.held else { return false };
        step(&mut held.life, Event::Send(Instant::now()), &self.shelf) == Action::Send
    }

    pub(super) fn release(mut self) -> Option<HeldClaim> {
        self.held.take()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else { return };
        let outcome = match held.life.state() {
            State::Owned => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        // If the channel is full, the row stays without an outcome and retries get "unknown".
        _ = self.dropped.try_send((held, outcome));
    }
}

//! The right to send a call once.

use {
    bilberryfront_decide::intent::{
        AbandonedClaims, Action, Event, Outcome, RequestLifecycle, State,
    },
    compact_str::CompactString,
    std::sync::{Arc, Mutex, PoisonError},
    tokio::{sync::mpsc, time::Instant},
};

/// The shelf of this node's life, which all its requests share.
pub(super) type SharedShelf = Arc<Mutex<AbandonedClaims>>;

/// Steps a life with the shared shelf.
pub(super) fn step(life: &mut RequestLifecycle, event: Event, shelf: &SharedShelf) -> Action {
    life.step(event, &mut shelf.lock().unwrap_or_else(PoisonError::into_inner))
}

/// A call's life from its claim to its record, and its row's key.
pub(super) struct Held {
    pub(super) row: CompactString,
    pub(super) life: RequestLifecycle,
}

/// An outcome for a claim whose permit was dropped.
pub(super) type Orphan = (Held, Outcome);

/// The right to send a call once. Not `Clone`, and given back by [`super::Intents::settle`].
///
/// When its holder ends without that, such as by a caller's leaving, the drop records "not run" if
/// [`Permit::begin`] had not been called, else "unknown".
pub struct Permit {
    held: Option<Held>,
    shelf: SharedShelf,
    orphans: mpsc::Sender<Orphan>,
}

impl Permit {
    pub(super) fn new(held: Held, shelf: SharedShelf, orphans: mpsc::Sender<Orphan>) -> Permit {
        Permit { held: Some(held), shelf, orphans }
    }

    /// Must be called right before sending. When it says no, the claim is too old to be sent
    /// safely: settle with [`Outcome::NotRun`].
    pub fn begin(&mut self) -> bool {
        let Some(held) = &mut self.held else { return false };
        step(&mut held.life, Event::Send(Instant::now()), &self.shelf) == Action::Send
    }

    pub(super) fn release(mut self) -> Option<Held> {
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
        // When too many wait, the row stays without an outcome and retries hear "unknown".
        _ = self.orphans.try_send((held, outcome));
    }
}

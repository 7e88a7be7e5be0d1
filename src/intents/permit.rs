//! The right to send a call once.

use {
    bilberryfront_decide::intent::{
        AbandonedClaims, Action, Event, Outcome, RequestLifecycle, State,
    },
    compact_str::CompactString,
    std::sync::{Arc, Mutex, PoisonError},
    tokio::{sync::mpsc, time::Instant},
};

/// The abandoned claims of this run of the node, shared by all its requests.
pub(super) type SharedClaims = Arc<Mutex<AbandonedClaims>>;

/// Applies an event to the state machine of a call, with the shared abandoned claims.
pub(super) fn step(
    lifecycle: &mut RequestLifecycle,
    event: Event,
    abandoned: &SharedClaims,
) -> Action {
    lifecycle.step(event, &mut abandoned.lock().unwrap_or_else(PoisonError::into_inner))
}

/// The state machine of a claimed call, and the key of the call's row.
pub(super) struct HeldClaim {
    pub(super) row: CompactString,
    pub(super) lifecycle: RequestLifecycle,
}

/// A claim whose permit was dropped, and the outcome to record for it.
pub(super) type DroppedPermit = (HeldClaim, Outcome);

/// The right to send a call once. Not `Clone`; returned with [`super::Intents::settle`].
///
/// If it is dropped instead, for example because the caller disconnected, the outcome is recorded
/// as "not run" if [`Permit::begin`] was not called, and as "unknown" otherwise.
pub struct Permit {
    held: Option<HeldClaim>,
    abandoned: SharedClaims,
    dropped: mpsc::Sender<DroppedPermit>,
}

impl Permit {
    pub(super) fn new(
        held: HeldClaim,
        abandoned: SharedClaims,
        dropped: mpsc::Sender<DroppedPermit>,
    ) -> Permit {
        Permit { held: Some(held), abandoned, dropped }
    }

    /// Returns whether the call may be sent; must be called immediately before sending. If it
    /// returns `false`, the claim is too old to send the call safely: settle with
    /// [`Outcome::NotRun`].
    pub fn begin(&mut self) -> bool {
        let Some(held) = &mut self.held else { return false };
        step(&mut held.lifecycle, Event::Send(Instant::now()), &self.abandoned) == Action::Send
    }

    pub(super) fn release(mut self) -> Option<HeldClaim> {
        self.held.take()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else { return };
        let outcome = match held.lifecycle.state() {
            State::Owned => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        // If the channel is full, the row stays without an outcome and retries get "unknown".
        _ = self.dropped.try_send((held, outcome));
    }
}

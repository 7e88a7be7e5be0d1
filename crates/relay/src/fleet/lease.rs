//! Leases of capacity on runners.

use {
    super::{Endpoint, Fleet, Load, Moment, RunnerKey},
    std::time::Duration,
    tokio::time::Instant,
};

/// Capacity of a runner reserved for a request or a replica; released on drop.
pub struct Lease {
    fleet: Fleet,
    /// The runner.
    pub endpoint: Endpoint,
    claim: Claim,
}

/// What a lease accounts for.
#[derive(Clone, Copy)]
enum Claim {
    /// One call to a plain service.
    Call,
    /// Load on an engine.
    Load(Load),
}

impl Fleet {
    /// Leases capacity of an engine; the change is part of the next update to peers.
    pub fn lease(&self, endpoint: Endpoint, load: Load) -> Lease {
        self.update_own_load(endpoint.key, |own| *own += load);
        Lease { fleet: self.clone(), endpoint, claim: Claim::Load(load) }
    }

    /// Leases a slot of a plain runner for one call. Calls are not reported to peers: most of them
    /// end before the report would arrive, and a runner without free slots rejects the next call
    /// itself.
    pub fn lease_call(&self, endpoint: Endpoint) -> Lease {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(endpoint.key) {
            runner.calls += 1;
        }
        Lease { fleet: self.clone(), endpoint, claim: Claim::Call }
    }

    fn end_call(&self, key: RunnerKey) {
        if let Some(runner) = self.inner.borrow_mut().runners.get_mut(key) {
            runner.calls -= 1;
        }
    }
}

impl Lease {
    /// Records a response from the runner.
    pub fn record_response(&self) {
        self.fleet.record_response(self.endpoint.key, Instant::now());
    }

    /// Records that data of the run has arrived after a wait since `start` without any.
    pub fn record_arrival(&self, start: Moment) {
        self.fleet.record_arrival(self.endpoint.key, start);
    }

    /// Records the time per event of a block of a run on the runner.
    pub fn record_event_time(&self, time: Duration) {
        self.fleet.record_event_time(self.endpoint.key, time);
    }

    /// Marks the prompt as prefilled, after the first event.
    pub fn mark_prefilled(&mut self) {
        if let Claim::Load(load) = &mut self.claim {
            let read = Load { unread: std::mem::take(&mut load.unread), ..Load::default() };
            self.fleet.update_own_load(self.endpoint.key, |own| *own -= read);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        match self.claim {
            Claim::Load(load) => self.fleet.update_own_load(self.endpoint.key, |own| *own -= load),
            Claim::Call => self.fleet.end_call(self.endpoint.key),
        }
    }
}

//! Replicas of a run's KV cache, from which a stream is resumed.
//!
//! The runner streams its cache to the first holder by itself. After a holder is lost, further
//! replicas are requested explicitly; these are snapshots with a time to live, so they are
//! refreshed until the stream ends.

use {
    crate::{
        dialect::{Dialect, ReplicaRef},
        fleet::{Endpoint, Lease},
        network::Network,
        runner_client::RunnerClient,
    },
    compact_str::CompactString,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// Share of the time to live after which a snapshot is refreshed.
const RENEW: f64 = 0.75;
/// Delay before a failed request is retried.
const RETRY: Duration = Duration::from_millis(500);

/// The replica of one run.
pub(super) struct Replica {
    /// Reserves the holder's memory.
    lease: Lease,
    /// Time of the request; `None` for a streamed replica.
    asked: Option<Instant>,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    /// Reference under which the holder knows it; `None` until it is complete.
    from_replica: RefCell<Option<ReplicaRef>>,
    /// Signals that the run has ended.
    ended: Notify,
}

impl Replica {
    /// A replica that the runner streams for the attempt `id`.
    pub(super) fn growing(lease: Lease, id: &CompactString) -> Replica {
        let from_replica = ReplicaRef { address: lease.endpoint.address, handle: id.clone() };
        let state = State { from_replica: RefCell::new(Some(from_replica)), ..State::default() };
        Replica { lease, asked: None, state: Rc::new(state) }
    }

    /// A replica requested from the runner at `source`, with time to live `replica_ttl`.
    pub(super) fn asked<D: Dialect, N: Network>(
        client: RunnerClient<D, N>,
        lease: Lease,
        id: CompactString,
        source: Endpoint,
        replica_ttl: Duration,
    ) -> Replica {
        let state = Rc::<State>::default();
        let replica = Replica { lease, asked: Some(Instant::now()), state: state.clone() };
        let holder = replica.holder().clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = ask(&client, &state, &id, &source, &holder, replica_ttl) => {}
                () = state.ended.notified() => {}
            }
            // An unused replica occupies the holder's memory until it expires.
            let left = state.from_replica.borrow_mut().take();
            if let Some(from_replica) = left {
                client.drop_replica(&source, &from_replica.handle).await;
            }
        });
        replica
    }

    /// The holder.
    pub(super) fn holder(&self) -> &Endpoint {
        &self.lease.endpoint
    }

    /// Whether it was requested too recently to be replaced. Without this bound each event would
    /// request another one while all candidates are unstable.
    pub(super) fn is_new(&self) -> bool {
        self.asked.is_some_and(|at| at.elapsed() < RETRY)
    }

    /// Takes the holder and the reference, if it is complete.
    pub(super) fn take(&self) -> Option<(Endpoint, ReplicaRef)> {
        let from_replica = self.state.from_replica.borrow_mut().take()?;
        Some((self.lease.endpoint.clone(), from_replica))
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.state.ended.notify_one();
    }
}

/// Requests snapshots until cancelled.
async fn ask<D: Dialect, N: Network>(
    client: &RunnerClient<D, N>,
    state: &State,
    id: &CompactString,
    source: &Endpoint,
    holder: &Endpoint,
    replica_ttl: Duration,
) {
    loop {
        let handle = client.replicate(source, holder, id).await;
        log::info!(request = id.as_str(), runner = source.id.as_str(),
            holder = holder.id.as_str(), made = handle.is_some();
            "replica requested");
        let pause = if handle.is_some() { replica_ttl.mul_f64(RENEW) } else { RETRY };
        if let Some(handle) = handle {
            // A completed transfer proves that the holder is up.
            client.fleet.record_response(holder.key, Instant::now());
            *state.from_replica.borrow_mut() = Some(ReplicaRef { address: source.address, handle });
        }
        sleep(pause).await;
    }
}

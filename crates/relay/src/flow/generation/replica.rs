//! Replicas of a run's KV cache, from which a stream can be resumed.
//!
//! The runner streams its cache to the holder given in the request. If that holder is lost, further
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
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// Share of its time to live after which a snapshot is refreshed.
const REFRESH_SHARE: f64 = 0.75;
/// Delay before a failed replication request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Replica of one run.
pub(super) struct Replica {
    /// Reservation of the holder's memory.
    lease: Lease,
    /// Time of the replication request; `None` for a streamed replica.
    requested_at: Option<Instant>,
    state: Rc<State>,
}

/// A complete replica, which can be used once.
#[derive(Clone)]
pub(super) struct AvailableReplica {
    holder: Endpoint,
    reference: ReplicaRef,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    /// Reference to the replica; `None` until it is complete.
    reference: RefCell<Option<ReplicaRef>>,
    /// Whether the reference was taken.
    is_taken: Cell<bool>,
    /// Notified when the run has ended.
    ended: Notify,
}

impl AvailableReplica {
    /// Returns the runner that holds the replica.
    pub(super) fn holder(&self) -> &Endpoint {
        &self.holder
    }

    /// Takes the reference, in order to use it. The replica is not released any more.
    pub(super) fn take(&self) -> ReplicaRef {
        self.state.is_taken.set(true);
        self.state.reference.borrow_mut().take().unwrap_or_else(|| self.reference.clone())
    }
}

impl Replica {
    /// Returns the replica that the runner streams for the attempt `id`.
    pub(super) fn streamed(lease: Lease, id: &CompactString) -> Replica {
        let reference = ReplicaRef { address: lease.endpoint.address, handle: id.clone() };
        let state = State { reference: RefCell::new(Some(reference)), ..State::default() };
        Replica { lease, requested_at: None, state: Rc::new(state) }
    }

    /// Requests a replica with the time to live `replica_ttl` from the runner at `source`.
    pub(super) fn requested<D: Dialect, N: Network>(
        client: RunnerClient<D, N>,
        lease: Lease,
        id: CompactString,
        source: Endpoint,
        replica_ttl: Duration,
    ) -> Replica {
        let state = Rc::<State>::default();
        let replica = Replica { lease, requested_at: Some(Instant::now()), state: state.clone() };
        let holder = replica.holder().clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = request_snapshots(&client, &state, &id, &source, &holder, replica_ttl) => {}
                () = state.ended.notified() => {}
            }
            // An unused replica would occupy the holder's memory until it expires.
            let unused = state.reference.borrow_mut().take();
            if let Some(reference) = unused {
                client.drop_replica(&source, &reference.handle).await;
            }
        });
        replica
    }

    pub(super) fn holder(&self) -> &Endpoint {
        &self.lease.endpoint
    }

    /// Returns whether the replica was requested too recently to be replaced. Without this limit,
    /// each event would request another replica while all candidates are unstable.
    pub(super) fn is_recent(&self) -> bool {
        self.requested_at.is_some_and(|at| at.elapsed() < RETRY_DELAY)
    }

    /// Returns the replica if it is complete and not taken.
    pub(super) fn available(&self) -> Option<AvailableReplica> {
        let reference = self.state.reference.borrow().clone()?;
        let holder = self.lease.endpoint.clone();
        Some(AvailableReplica { holder, reference, state: self.state.clone() })
    }

    /// Returns whether the replica was taken, so that it serves another run.
    pub(super) fn is_taken(&self) -> bool {
        self.state.is_taken.get()
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.state.ended.notify_one();
    }
}

/// Requests snapshots from the runner until cancelled.
async fn request_snapshots<D: Dialect, N: Network>(
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
        let pause = if handle.is_some() { replica_ttl.mul_f64(REFRESH_SHARE) } else { RETRY_DELAY };
        if let Some(handle) = handle {
            // A completed transfer proves that the holder is up.
            client.fleet.record_response(holder.key, Instant::now());
            *state.reference.borrow_mut() = Some(ReplicaRef { address: source.address, handle });
        }
        sleep(pause).await;
    }
}

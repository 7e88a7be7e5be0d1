//! Exchange of load updates between the traffic thread and peers.

use {
    crate::{budget::Budgets, fleet::Fleet, rollouts::RolloutSample},
    bilberryfront_decide::member::message::Load,
    compact_str::CompactString,
    std::time::Duration,
    tokio::{
        sync::mpsc,
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Delay within which changes are batched.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Interval of full updates, which replace lost updates.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Update from a peer.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// Peer.
    pub from: CompactString,
    /// Update.
    pub load: Load,
}

/// Channels between the traffic thread and the control thread.
pub struct Channels {
    /// Updates of this node.
    pub updates: mpsc::UnboundedSender<Load>,
    /// Outcomes of requests during a rollout.
    pub samples: mpsc::UnboundedSender<RolloutSample>,
    /// Updates of peers.
    pub peer_reports: mpsc::UnboundedReceiver<PeerReport>,
}

/// Sends changes of the fleet's load and of the retry budgets, and applies those of peers.
pub async fn sync(fleet: Fleet, budgets: Budgets, mut channels: Channels) {
    let changed = fleet.changes();
    let mut refresh = interval(REFRESH_INTERVAL);
    refresh.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let load = tokio::select! {
            () = changed.notified() => {
                sleep(BATCH_DELAY).await;
                Load { budgets: budgets.take_update(), ..fleet.take_update() }
            }
            _ = refresh.tick() => Load { budgets: budgets.snapshot(), ..fleet.snapshot() },
            Some(PeerReport { from, load }) = channels.peer_reports.recv() => {
                fleet.apply_peer_load(&from, &load);
                budgets.apply(&from, &load.budgets);
                continue;
            }
        };
        if !load.is_empty() && channels.updates.send(load).is_err() {
            return;
        }
    }
}

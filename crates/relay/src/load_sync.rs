//! Exchange of load updates between the traffic thread and peers.

use {
    crate::{
        admission::Admission, budget::Budgets, fleet::Fleet, quarantine::Quarantine,
        throttles::Throttles,
    },
    bilberryfront_decide::member::message::{
        CrashReport, Load, PatternReport, PromptReport, TableRow,
    },
    compact_str::CompactString,
    std::time::Duration,
    tokio::{
        sync::mpsc,
        time::{Instant, MissedTickBehavior, interval, sleep, sleep_until},
    },
};

/// Delay within which changes are batched.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Interval of full updates, which replace lost updates.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Update of this node for its peers.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// Load and failures of runners, and use of retry budgets.
    pub load: Load,
    /// Requests that have crashed runners.
    pub crashes: Vec<CrashReport>,
    /// Quarantined requests, for nodes that have started or missed a report.
    pub repeated: Vec<CrashReport>,
    /// Requests that this node has quarantined or cleared, for the store.
    pub quarantined: Vec<CrashReport>,
    /// Evidence on prompts that crash runners, and changed patterns.
    pub prompts: PromptReport,
    /// Quarantined patterns, for nodes that have started or missed a report.
    pub repeated_patterns: PromptReport,
    /// Patterns that this node has quarantined or cleared, for the store.
    pub patterns: Vec<PatternReport>,
    /// Services from which this node is partitioned; `None` if unchanged.
    pub partitions: Option<Vec<CompactString>>,
    /// Rows of operators' limits, for nodes that have missed a change.
    pub repeated_throttles: Vec<TableRow>,
}

impl Update {
    fn is_empty(&self) -> bool {
        self.load.is_empty()
            && self.crashes.is_empty()
            && self.repeated.is_empty()
            && self.quarantined.is_empty()
            && self.prompts.is_empty()
            && self.repeated_patterns.is_empty()
            && self.patterns.is_empty()
            && self.partitions.is_none()
            && self.repeated_throttles.is_empty()
    }
}

/// Update from a peer.
#[derive(Clone, Debug)]
pub enum PeerReport {
    /// Load and failures of runners, and use of retry budgets.
    Load {
        /// Peer.
        from: CompactString,
        /// Update.
        load: Load,
    },
    /// Requests that have crashed runners.
    Crashes(Vec<CrashReport>),
    /// Evidence on prompts that crash runners, and quarantined patterns.
    Prompts(PromptReport),
    /// Services from which a peer is partitioned.
    Partitions {
        /// Peer.
        from: CompactString,
        /// Services.
        services: Vec<CompactString>,
    },
    /// Rows of operators' limits.
    Throttles(Vec<TableRow>),
}

/// Channels between the traffic thread and the control thread.
pub struct Channels {
    /// Updates of this node.
    pub updates: mpsc::UnboundedSender<Update>,
    /// Updates of peers.
    pub peer_reports: mpsc::UnboundedReceiver<PeerReport>,
}

/// Sends changes of the fleet's load, the retry budgets and the quarantine, and applies those of peers.
pub async fn sync(
    fleet: Fleet,
    budgets: Budgets,
    admission: Admission,
    quarantine: Quarantine,
    throttles: Throttles,
    mut channels: Channels,
) {
    let changed = fleet.changes();
    let crashed = quarantine.changes();
    let partitioned = fleet.partition_changes();
    let mut refresh = interval(REFRESH_INTERVAL);
    refresh.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let (judgement, due) = (quarantine.next_judgement(), budgets.snapshot_due());
        let update = tokio::select! {
            () = changed.notified() => {
                sleep(BATCH_DELAY).await;
                let (budgets, queues) = (budgets.take_update(), admission.take_update());
                let load = Load { budgets, queues, ..fleet.take_update() };
                Update { load, ..Update::default() }
            }
            () = crashed.notified() => quarantine_update(&quarantine),
            () = sleep_until(judgement.unwrap_or_else(Instant::now)), if judgement.is_some() => {
                quarantine.judge();
                quarantine_update(&quarantine)
            }
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                let load = Load { budgets: budgets.snapshot(), ..Load::default() };
                Update { load, ..Update::default() }
            }
            () = partitioned.notified() => {
                Update { partitions: Some(fleet.partitions()), ..Update::default() }
            }
            _ = refresh.tick() => Update {
                load: Load {
                    budgets: budgets.snapshot(),
                    queues: admission.snapshot(),
                    ..fleet.snapshot()
                },
                repeated: quarantine.snapshot(),
                repeated_patterns: quarantine.pattern_snapshot(),
                repeated_throttles: throttles.snapshot(),
                partitions: Some(fleet.partitions()).filter(|services| !services.is_empty()),
                ..quarantine_update(&quarantine)
            },
            Some(report) = channels.peer_reports.recv() => {
                match report {
                    PeerReport::Load { from, load } => {
                        fleet.apply_peer_load(&from, &load);
                        budgets.apply(&from, &load.budgets);
                        admission.apply(&from, load.queues.as_deref());
                    }
                    PeerReport::Crashes(crashes) => quarantine.apply(&crashes),
                    PeerReport::Prompts(report) => quarantine.apply_prompts(&report),
                    PeerReport::Partitions { from, services } => {
                        fleet.apply_peer_partitions(&from, services);
                    }
                    PeerReport::Throttles(rows) => throttles.apply(&rows),
                }
                continue;
            }
        };
        if !update.is_empty() && channels.updates.send(update).is_err() {
            return;
        }
    }
}

/// Takes the changes of the quarantine.
fn quarantine_update(quarantine: &Quarantine) -> Update {
    Update {
        crashes: quarantine.take_update(),
        quarantined: quarantine.take_stored(),
        prompts: quarantine.take_prompt_update(),
        patterns: quarantine.take_stored_patterns(),
        ..Update::default()
    }
}

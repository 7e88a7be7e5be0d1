//! Telling the other nodes what this one has under way at runners and which of them failed it, and
//! hearing the same of them.
//!
//! Nodes that choose runners without a word choose the same one now and then, and a prompt that waits
//! behind another's doubles the time to its first event. A node that hears of a failure doesn't have to
//! lose a request of its own to learn of it.

use {
    crate::{fleet::Fleet, moves::Trial},
    bilberryfront_decide::member::message::Load,
    compact_str::CompactString,
    std::time::Duration,
    tokio::{
        sync::mpsc,
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Pause in which changes are gathered into one message.
const GATHER: Duration = Duration::from_millis(2);
/// Time between two messages about everything: makes up for lost ones.
const REFRESH: Duration = Duration::from_secs(1);

/// What another node said.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The node.
    pub from: CompactString,
    /// What it says.
    pub load: Load,
}

/// The way between the traffic thread, which knows the loads, and the control thread, which talks to
/// the other nodes.
pub struct Channels {
    /// What this node has to say.
    pub told: mpsc::UnboundedSender<Load>,
    /// How requests ended whose version was chosen.
    pub trials: mpsc::UnboundedSender<Trial>,
    /// What others said.
    pub heard: mpsc::UnboundedReceiver<Heard>,
}

/// Tells the control thread of every change of the fleet's loads, and takes over those of others.
pub async fn exchange(fleet: Fleet, mut channels: Channels) {
    let changed = fleet.changes();
    let mut refresh = interval(REFRESH);
    refresh.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let load = tokio::select! {
            () = changed.notified() => {
                sleep(GATHER).await;
                fleet.news()
            }
            _ = refresh.tick() => Load { runners: fleet.loads(), ..Load::default() },
            Some(heard) = channels.heard.recv() => {
                fleet.take(&heard.from, &heard.load);
                continue;
            }
        };
        if !load.is_empty() && channels.told.send(load).is_err() {
            return;
        }
    }
}

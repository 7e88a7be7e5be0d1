//! Requests for a newer catalogue that peers have announced.

use {
    super::{Members, Output, PeerMessage},
    crate::id::CatalogRevision,
    compact_str::CompactString,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Time after which a catalogue is requested from another peer that has announced it.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which a catalogue is requested again from the same peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of other peers that are remembered.
const MAX_SOURCES: usize = 4;

/// A request for a catalogue.
#[derive(Clone, Debug)]
pub(super) struct Pull {
    revision: CatalogRevision,
    from: CompactString,
    at: Instant,
    /// Other peers that have announced the same catalogue.
    sources: VecDeque<CompactString>,
}

impl Members {
    /// Requests an announced catalogue if it is newer and not requested yet.
    pub(super) fn pull_if_newer(
        &mut self,
        now: Instant,
        from: &str,
        revision: CatalogRevision,
        out: &mut Vec<Output>,
    ) {
        if !revision.supersedes(self.revision) || self.target(from).is_none() {
            return;
        }
        let pending = self.pull.as_mut();
        let pending =
            pending.filter(|p| !revision.supersedes(p.revision) && now < p.at + PULL_TIMEOUT);
        match pending {
            Some(Pull { from: asked, sources, .. }) => {
                let is_known = asked == from || sources.iter().any(|source| source == from);
                if !is_known && sources.len() < MAX_SOURCES {
                    sources.push_back(from.into());
                }
            }
            None => {
                let sources = VecDeque::new();
                self.pull = Some(Pull { revision, from: from.into(), at: now, sources });
                self.send(from, PeerMessage::CatalogPull(self.revision), out);
            }
        }
    }

    /// Requests a catalogue from another peer if the last one has not responded: it may have died, or be
    /// cut off.
    pub(super) fn repeat_pull(&mut self, now: Instant, out: &mut Vec<Output>) {
        let known = self.revision;
        let Some(pull) = &mut self.pull else { return };
        if !pull.revision.supersedes(known) {
            self.pull = None;
            return;
        }
        if now < pull.at + RETRY_DELAY {
            return;
        }
        if let Some(from) = pull.sources.pop_front() {
            pull.at = now;
            pull.from.clone_from(&from);
            self.send(&from, PeerMessage::CatalogPull(known), out);
        }
    }
}

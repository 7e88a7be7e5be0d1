//! Input events of the core.

use {
    crate::{
        catalog::CatalogDoc,
        id::{AccountKey, EntryKey, Revision, RunnerKey, Ticket},
    },
    bilberryfront_wire::{instance::InstanceList, runner::LoadReport},
    compact_str::CompactString,
    std::{sync::Arc, time::Duration},
};

/// An input event. Its time is passed to [`crate::Core::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A new catalogue; ignored unless its revision is higher than the current one.
    ///
    /// The core assigns the keys itself. If the document were resolved elsewhere, against an
    /// outdated catalogue, one key could refer to two entries, and requests in flight would be sent
    /// to the wrong one.
    Catalog {
        /// Revision of the catalogue.
        revision: Revision,
        /// The document as written by operators; must be valid by [`CatalogDoc::check`].
        doc: Arc<CatalogDoc>,
    },
    /// The platform's instance list; ignored if its revision is lower than the known one.
    Instances(InstanceList),
    /// A runner reported its load.
    Load {
        /// The reporting runner.
        runner: RunnerKey,
        /// Its report.
        report: LoadReport,
    },
    /// Polling a runner for its load failed.
    LoadMissing {
        /// The polled runner.
        runner: RunnerKey,
    },
    /// A request needs a runner.
    Request(RunnerRequest),
    /// The runner of a granted request is silent. Another one is granted if that is possible at once;
    /// otherwise the request is rejected, and keeps its runner.
    Replace {
        /// The request for another runner.
        request: RunnerRequest,
        /// End of the request at its runner, which applies if another one is granted.
        done: Done,
    },
    /// A request no longer needs a runner, because its caller disconnected while it was queued or
    /// between two attempts. Ignored for a granted request, which ends by [`Event::Done`].
    Cancel(Ticket),
    /// The first token or the response header of a granted request arrived. Marks a suspect runner as
    /// healthy immediately, as the request may run for minutes until it is done.
    Started(Ticket),
    /// A granted request ended.
    Done(Done),
    /// Number of other nodes that serve traffic, and their usage of the limits.
    Peers(PeerUse),
    /// Periodic tick; must be sent at least every [`crate::core::TICK`].
    Tick,
}

/// A request for a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerRequest {
    /// Identifier of the request; a [`Purpose::Retry`] reuses the ticket of the preceding attempt.
    pub ticket: Ticket,
    /// Requested entry.
    pub entry: EntryKey,
    /// Account whose limits apply.
    pub account: AccountKey,
    /// XXH64 hash of the prompt prefix; `None` if there is no prompt.
    pub prefix: Option<u64>,
    /// Only version that may serve the request; set for every attempt but the first.
    pub pin: Option<CompactString>,
    /// Runner on which the request has just failed.
    pub avoid: Option<RunnerKey>,
    /// Purpose of the request.
    pub purpose: Purpose,
}

/// Purpose of a request for a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// First runner of a request. Admitted against the limits; may wait in the queue.
    First,
    /// Another runner after a failure. Already admitted, consumes retry budget, and has priority
    /// over all first requests.
    Retry,
    /// Resumption of an interrupted stream by its caller. Admitted again, but queued ahead of first
    /// requests, as the answer has already begun.
    Resume,
}

/// End of a granted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// The request.
    pub ticket: Ticket,
    /// Outcome of the request at its runner.
    pub verdict: Verdict,
    /// Time from the grant to the first token or the response header, if one arrived.
    pub first: Option<Duration>,
    /// Number of tokens received from this runner.
    pub tokens: u32,
    /// Whether another runner will be requested; the request then keeps its admission.
    pub will_retry: bool,
}

impl Done {
    /// Returns the end of a request whose caller disconnected before any response arrived.
    pub fn cancelled(ticket: Ticket) -> Done {
        Done { ticket, verdict: Verdict::Cancelled, first: None, tokens: 0, will_retry: false }
    }
}

/// Outcome of a granted request at its runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The response was complete.
    Ok,
    /// The connection failed or was reset.
    Broken,
    /// The runner sent nothing for longer than the entry's time limit.
    Stalled,
    /// The runner rejected the request with an error status. Other complete responses of a service
    /// are [`Verdict::Ok`], including those with a server error.
    Rejected,
    /// The stream violated the protocol, such as by a skipped index or an end without a finish
    /// reason.
    Garbled,
    /// The caller disconnected.
    Cancelled,
}

/// Usage of the limits by the other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerUse {
    /// Number of other nodes that serve traffic.
    pub nodes: u32,
    /// Requests running at the other nodes, by entry and account.
    pub running: Vec<(EntryKey, AccountKey, u32)>,
}

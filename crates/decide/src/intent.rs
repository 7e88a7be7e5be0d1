//! At-most-once execution of non-idempotent calls, through intents recorded in the table.
//!
//! A call's row is inserted if absent, and only the claim whose insert took effect may send the
//! call, once. Ownership never moves to another node, so no pause, lease expiry or partition can
//! result in two senders. [`RequestLifecycle`] is the state machine of one request: each event
//! results in one action.

use {
    crate::chart::Chart,
    bilberryfront_wire::table::{RowRevision, Written},
    compact_str::CompactString,
    serde::Deserialize,
    std::{sync::LazyLock, time::Duration},
    tokio::time::Instant,
};

pub mod method;
pub mod row;
pub mod abandoned;

pub use {
    abandoned::AbandonedClaims,
    method::{KeyError, Plan, plan},
    row::{Answer, Holder, Intent, Outcome, Owner, StoredBody},
};

/// Time after its claim within which a call may be sent. Rows are deleted after [`RETENTION`], and
/// the key can then be claimed again; an owner that was paused until then and still sent would run
/// the call a second time.
pub const SEND_WITHIN: Duration = Duration::from_secs(600);
/// Time after its claim within which an outcome may be recorded. The revisions of a deleted row
/// start over, so a later write could overwrite the row of the key's next owner.
pub const RECORD_WITHIN: Duration = Duration::from_secs(12 * 3600);
/// Age at which a row may be deleted. A retry after that is a new call.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// State of a request, as in `charts/action.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Initial state.
    Idle,
    /// Inserting the row.
    Claiming,
    /// Reading the row.
    Looking,
    /// Writing a new generation of a call that was not run.
    Taking,
    /// Permitted to send, but not sent yet.
    Owned,
    /// Bytes may have been sent.
    Sending,
    /// Writing the outcome.
    Recording,
    /// The outcome is in the table.
    Settled,
    /// The outcome could not be written.
    Unrecorded,
    /// Another claim owns the call and has not recorded an outcome.
    Busy,
    /// The key was used with a different body.
    Mismatched,
    /// Not recorded and never sent.
    Refused,
    /// Possibly recorded, but never sent by this request.
    Abandoned,
}

/// Event of `charts/action.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Label {
    /// The caller asked for a claim.
    Claim,
    /// The caller asked for a read only.
    Look,
    /// The write took effect.
    Done,
    /// The row didn't have the expected revision.
    Conflict,
    /// The reply was lost; the operation may have taken effect.
    Lost,
    /// The table is unavailable; the operation had no effect.
    Down,
    /// The row holds this request's claim, or one that it may take over.
    Mine,
    /// The row records that the call was not run.
    Vacant,
    /// There is no row, and no write of this request can be pending.
    Vanished,
    /// The row has an outcome.
    Outcome,
    /// The row holds another claim without an outcome.
    Taken,
    /// The row has the digest of a different body.
    Mismatch,
    /// A write of this request whose reply was lost is not in the table, or not yet.
    Absent,
    /// The request is about to be sent.
    Send,
    /// The exchange with the runner has ended.
    End,
    /// The outcome won't be retried, or must not be recorded any more.
    GiveUp,
}

/// Returns the state chart of a request; it is validated on first use.
pub fn chart() -> &'static Chart<State, Label> {
    static CHART: LazyLock<Chart<State, Label>> = LazyLock::new(|| {
        let text = include_str!("../../../charts/action.json");
        Chart::parse(text).expect("charts/action.json is valid")
    });
    &CHART
}

/// Input of [`RequestLifecycle::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Claim the call, starting with the insert.
    Claim,
    /// Check on a call that was busy, starting with a read.
    Look,
    /// The table replied to a write.
    Written(Written),
    /// The table replied to a read.
    Row(Option<IntentRow>),
    /// A write or a read failed.
    Failed(Fault),
    /// The request is about to be sent, at this time.
    Send(Instant),
    /// The exchange with the runner ended with this outcome at this time.
    End(Outcome, Instant),
    /// Stop retrying to record the outcome.
    GiveUp,
}

/// A call's row, as read or to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentRow {
    /// Revision read, or expected by the write.
    pub revision: RowRevision,
    /// Value.
    pub intent: Intent,
}

/// Failure of a read or write of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The operation had no effect.
    Down,
    /// The reply was lost; the operation may have taken effect.
    Lost,
}

/// Result of [`RequestLifecycle::step`], to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the call's row if it has this revision.
    Write(IntentRow),
    /// Read the call's row.
    Read,
    /// The call may be sent; step with [`Event::Send`] right before sending.
    Permit,
    /// Send the call now.
    Send,
    /// The claim is too old to send; step with [`Event::End`] and [`Outcome::NotRun`].
    Expire,
    /// Respond to the caller without sending.
    Respond(Verdict),
    /// Nothing is left to do.
    Finish,
    /// The event has no transition in this state, such as a duplicate.
    Ignore,
}

/// Response to a request that is not sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The recorded outcome, never [`Outcome::NotRun`].
    Outcome(Outcome),
    /// This claim owns the call and has not recorded an outcome.
    Busy(Holder),
    /// The key was used with a different body.
    Mismatch,
    /// This request was not sent to a runner and won't be.
    NotRun,
    /// This request was not sent to a runner and won't be; whether another one with its key was is
    /// unknown.
    Unclear,
}

/// Returns the response to a request that doesn't claim the call, from the call's row.
pub fn peek(row: Option<&Intent>, digest: &str) -> Verdict {
    let Some(intent) = row else { return Verdict::NotRun };
    if intent.digest != digest {
        return Verdict::Mismatch;
    }
    match &intent.outcome {
        None => Verdict::Busy(intent.holder()),
        Some(Outcome::NotRun) => Verdict::NotRun,
        Some(outcome) => Verdict::Outcome(outcome.clone()),
    }
}

/// State machine of one request, from its claim to its outcome.
#[derive(Clone, Debug)]
pub struct RequestLifecycle {
    state: State,
    owner: Owner,
    digest: CompactString,
    /// Seconds since the Unix epoch.
    created: u64,
    claimed_at: Instant,
    /// Whether a write of this request may still take effect, because its reply was lost.
    uncertain: bool,
    /// The row last written or read.
    row: Option<IntentRow>,
}

impl RequestLifecycle {
    /// Creates a request with a claim that was never used before. `claimed_at` must not be later
    /// than the first step; `created` is the same time in seconds since the Unix epoch.
    pub fn new(
        owner: Owner,
        digest: CompactString,
        claimed_at: Instant,
        created: u64,
    ) -> RequestLifecycle {
        let state = chart().initial();
        RequestLifecycle { state, owner, digest, created, claimed_at, uncertain: false, row: None }
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the claim that this request holds or tries to acquire.
    pub fn owner(&self) -> Owner {
        self.owner
    }

    /// Returns the row last written or read.
    pub fn row(&self) -> Option<&IntentRow> {
        self.row.as_ref()
    }

    /// Handles one event. `abandoned` is shared by all requests of this process.
    pub fn step(&mut self, event: Event, abandoned: &mut AbandonedClaims) -> Action {
        let late = matches!(event, Event::Send(now) if now - self.claimed_at > SEND_WITHIN);
        if late && self.state == State::Owned {
            return Action::Expire;
        }
        let label = self.classify(&event, abandoned);
        let Some(state) = chart().next(self.state, label) else { return Action::Ignore };
        let before = std::mem::replace(&mut self.state, state);
        self.uncertain |= label == Label::Lost && before != State::Looking;
        self.update_row(event, abandoned);
        self.action(before, abandoned)
    }

    fn classify(&self, event: &Event, abandoned: &AbandonedClaims) -> Label {
        match event {
            Event::Claim => Label::Claim,
            Event::Look => Label::Look,
            Event::Written(Written::Done(_)) => Label::Done,
            Event::Written(Written::Conflict(_)) => Label::Conflict,
            Event::Written(Written::Aborted) | Event::Failed(Fault::Down) => Label::Down,
            Event::Failed(Fault::Lost) => Label::Lost,
            Event::Row(None) if self.uncertain => Label::Absent,
            Event::Row(None) => Label::Vanished,
            Event::Row(Some(row)) => self.classify_row(&row.intent, abandoned),
            Event::Send(_) => Label::Send,
            Event::End(_, now) if *now - self.claimed_at > RECORD_WITHIN => Label::GiveUp,
            Event::End(..) => Label::End,
            Event::GiveUp => Label::GiveUp,
        }
    }

    fn classify_row(&self, intent: &Intent, abandoned: &AbandonedClaims) -> Label {
        if intent.digest != self.digest {
            return Label::Mismatch;
        }
        match &intent.outcome {
            // The whole claim must match, not only the node's incarnation. Otherwise two requests
            // with the same key on one node would both consider the row theirs and send.
            None if intent.owner == self.owner || abandoned.contains(intent.owner) => Label::Mine,
            None => Label::Taken,
            Some(Outcome::NotRun) if self.uncertain => Label::Absent,
            Some(Outcome::NotRun) => Label::Vacant,
            Some(_) => Label::Outcome,
        }
    }

    /// Updates the row from the event, and takes over an abandoned claim if the row holds one.
    fn update_row(&mut self, event: Event, abandoned: &mut AbandonedClaims) {
        match event {
            Event::Written(Written::Done(revision)) => {
                self.row.iter_mut().for_each(|r| r.revision = revision);
            }
            Event::Row(row) => self.row = row,
            Event::End(outcome, _) => {
                self.row.iter_mut().for_each(|r| r.intent.outcome = Some(outcome.clone()));
            }
            _ => {}
        }
        if self.state == State::Owned
            && let Some(row) = &self.row
            && row.intent.owner != self.owner
        {
            self.owner = row.intent.owner;
            self.claimed_at =
                abandoned.remove(self.owner).expect("only an abandoned claim is taken over");
        }
    }

    fn action(&mut self, before: State, abandoned: &mut AbandonedClaims) -> Action {
        match self.state {
            State::Idle => Action::Ignore,
            State::Claiming => self.write(0, 1),
            State::Taking => {
                let row = self.row.as_ref().expect("a taking request has read the row");
                self.write(row.revision, row.intent.generation + 1)
            }
            State::Looking => Action::Read,
            State::Owned => Action::Permit,
            State::Sending => Action::Send,
            State::Recording => self.row.clone().map_or(Action::Ignore, Action::Write),
            State::Settled if before == State::Looking => self.respond_with_outcome(),
            State::Settled | State::Unrecorded => Action::Finish,
            State::Busy => {
                let row = self.row.as_ref().expect("a busy request has read the row");
                Action::Respond(Verdict::Busy(row.intent.holder()))
            }
            State::Mismatched => Action::Respond(Verdict::Mismatch),
            State::Refused => self.abandon(Verdict::NotRun, abandoned),
            State::Abandoned => self.abandon(Verdict::Unclear, abandoned),
        }
    }

    fn write(&mut self, revision: RowRevision, generation: u32) -> Action {
        let intent = Intent {
            owner: self.owner,
            generation,
            digest: self.digest.clone(),
            created: self.created,
            outcome: None,
        };
        let row = IntentRow { revision, intent };
        self.row = Some(row.clone());
        Action::Write(row)
    }

    fn respond_with_outcome(&self) -> Action {
        let outcome = self.row.as_ref().and_then(|r| r.intent.outcome.clone());
        Action::Respond(Verdict::Outcome(outcome.expect("a settled row has an outcome")))
    }

    /// Ends without sending. If the reply to a write was lost, the row may still appear. The claim
    /// is then retained for a later request to take over; otherwise the row would stay without an
    /// outcome until it is deleted, although nothing ran.
    fn abandon(&self, verdict: Verdict, abandoned: &mut AbandonedClaims) -> Action {
        if self.uncertain {
            abandoned.insert(self.owner, self.claimed_at);
        }
        Action::Respond(verdict)
    }
}

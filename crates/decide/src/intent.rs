//! Non-idempotent calls run at most once, by intents recorded in the table.
//!
//! A call's row is inserted if absent, and only the claim whose insert took effect may send the
//! call, once. Ownership never moves to another node, so no pause, lease lapse or partition can
//! make two senders. [`RequestLifecycle`] is one request's way through this: events in, one action out.

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

/// How long after its claim a call may be sent. Rows are swept after [`RETENTION`]; an owner that
/// was paused until then and still sent would meet a second owner of the same key.
pub const SEND_WITHIN: Duration = Duration::from_secs(600);
/// How long after its claim an outcome may be recorded. A swept row's revisions start anew, so a
/// later write could hit the row of the key's next owner.
pub const RECORD_WITHIN: Duration = Duration::from_secs(12 * 3600);
/// Age at which a row may be deleted. A retry that comes later is a new call.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Where a request is, as in `charts/action.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Nothing done yet.
    Idle,
    /// The insert is under way.
    Claiming,
    /// The row is being read.
    Looking,
    /// A new generation of a call that was not run is being written.
    Taking,
    /// May send, has not.
    Owned,
    /// Bytes may have left.
    Sending,
    /// The outcome is being written.
    Recording,
    /// The outcome is in the table.
    Settled,
    /// The outcome could not be written.
    Unrecorded,
    /// Another claim owns the call and has recorded no outcome.
    Busy,
    /// The key belongs to another body.
    Mismatched,
    /// Not recorded and never sent.
    Refused,
    /// Perhaps recorded, and never sent by this request.
    Abandoned,
}

/// What moves a request, as in `charts/action.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Label {
    /// Asked to claim.
    Claim,
    /// Asked to read only.
    Look,
    /// The write took effect.
    Done,
    /// The row was not as expected.
    Conflict,
    /// The reply was lost.
    Lost,
    /// The table did nothing.
    Down,
    /// The row is this request's, or a claim that it may take over.
    Mine,
    /// The row says that the call was not run.
    Vacant,
    /// No row, and nothing of ours can be under way.
    Vanished,
    /// The row has an outcome.
    Outcome,
    /// The row is another's and has no outcome.
    Taken,
    /// The row belongs to another body.
    Mismatch,
    /// Our write, whose reply was lost, is not in the table (yet).
    Absent,
    /// The request is about to leave.
    Send,
    /// The exchange with the runner is over.
    End,
    /// No more tries to record.
    GiveUp,
}

/// The chart of a call, checked when first used.
pub fn chart() -> &'static Chart<State, Label> {
    static CHART: LazyLock<Chart<State, Label>> = LazyLock::new(|| {
        let text = include_str!("../../../charts/action.json");
        Chart::parse(text).expect("charts/action.json is part of the program")
    });
    &CHART
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Claim the call: insert first.
    Claim,
    /// See what became of a call that was busy: read first.
    Look,
    /// The table answered a write.
    Written(Written),
    /// The table answered a read.
    Row(Option<IntentRow>),
    /// The table answered neither.
    Failed(Fault),
    /// The request is about to leave, now.
    Send(Instant),
    /// The exchange with the runner ended like this, now.
    End(Outcome, Instant),
    /// Stop trying to record.
    GiveUp,
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentRow {
    /// Its revision.
    pub revision: RowRevision,
    /// Its value.
    pub intent: Intent,
}

/// Why the table gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It did nothing.
    Down,
    /// It may have done it.
    Lost,
}

/// What a request wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the call's row if it has this revision.
    Write(IntentRow),
    /// Read the call's row.
    Read,
    /// The call may be sent: step with [`Event::Send`] right before.
    Permit,
    /// Send it, now.
    Send,
    /// Too late to send; end with [`Outcome::NotRun`].
    Expire,
    /// Answer the request.
    Respond(Verdict),
    /// All is done.
    Finish,
    /// The event doesn't fit the state: a duplicate.
    Ignore,
}

/// An answer without sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The recorded outcome, never [`Outcome::NotRun`].
    Outcome(Outcome),
    /// This claim owns it and has recorded no outcome.
    Busy(Holder),
    /// The key belongs to another body.
    Mismatch,
    /// This request reached no runner and won't.
    NotRun,
    /// This request reached no runner and won't; whether another with its key did is not known.
    Unclear,
}

/// What a row says of a call to a request that won't claim it.
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

/// One request's way from its claim to its outcome.
#[derive(Clone, Debug)]
pub struct RequestLifecycle {
    state: State,
    owner: Owner,
    digest: CompactString,
    /// Seconds since the Unix epoch.
    created: u64,
    born: Instant,
    /// A write of ours may still take effect: its reply was lost.
    uncertain: bool,
    /// The row last written or read.
    row: Option<IntentRow>,
}

impl RequestLifecycle {
    /// A request with a claim of its own, never used before. `born` must not be later than the
    /// first step; `created` is the same time in seconds since the Unix epoch.
    pub fn new(
        owner: Owner,
        digest: CompactString,
        born: Instant,
        created: u64,
    ) -> RequestLifecycle {
        let state = chart().initial();
        RequestLifecycle { state, owner, digest, created, born, uncertain: false, row: None }
    }

    /// Where the request is.
    pub fn state(&self) -> State {
        self.state
    }

    /// The claim this request holds or tries to hold.
    pub fn owner(&self) -> Owner {
        self.owner
    }

    /// The row last written or read.
    pub fn row(&self) -> Option<&IntentRow> {
        self.row.as_ref()
    }

    /// Takes one event. `shelf` is the one of this node's life.
    pub fn step(&mut self, event: Event, shelf: &mut AbandonedClaims) -> Action {
        let late = matches!(event, Event::Send(now) if now - self.born > SEND_WITHIN);
        if late && self.state == State::Owned {
            return Action::Expire;
        }
        let label = self.label(&event, shelf);
        let Some(state) = chart().next(self.state, label) else { return Action::Ignore };
        let before = std::mem::replace(&mut self.state, state);
        self.uncertain |= label == Label::Lost && before != State::Looking;
        self.keep(event, shelf);
        self.act(before, shelf)
    }

    fn label(&self, event: &Event, shelf: &AbandonedClaims) -> Label {
        match event {
            Event::Claim => Label::Claim,
            Event::Look => Label::Look,
            Event::Written(Written::Done(_)) => Label::Done,
            Event::Written(Written::Conflict(_)) => Label::Conflict,
            Event::Written(Written::Aborted) | Event::Failed(Fault::Down) => Label::Down,
            Event::Failed(Fault::Lost) => Label::Lost,
            Event::Row(None) if self.uncertain => Label::Absent,
            Event::Row(None) => Label::Vanished,
            Event::Row(Some(found)) => self.read(&found.intent, shelf),
            Event::Send(_) => Label::Send,
            Event::End(_, now) if *now - self.born > RECORD_WITHIN => Label::GiveUp,
            Event::End(..) => Label::End,
            Event::GiveUp => Label::GiveUp,
        }
    }

    fn read(&self, intent: &Intent, shelf: &AbandonedClaims) -> Label {
        if intent.digest != self.digest {
            return Label::Mismatch;
        }
        match &intent.outcome {
            // The claim and not just the node's life must match. Two requests with one key can
            // meet at a node; were the life enough, both would read the row as theirs and send.
            None if intent.owner == self.owner || shelf.has(intent.owner) => Label::Mine,
            None => Label::Taken,
            Some(Outcome::NotRun) if self.uncertain => Label::Absent,
            Some(Outcome::NotRun) => Label::Vacant,
            Some(_) => Label::Outcome,
        }
    }

    /// Remembers what the event says of the row.
    fn keep(&mut self, event: Event, shelf: &mut AbandonedClaims) {
        match event {
            Event::Written(Written::Done(revision)) => {
                self.row.iter_mut().for_each(|r| r.revision = revision);
            }
            Event::Row(found) => self.row = found,
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
            self.born = shelf.take(self.owner).expect("only a shelved claim is taken over");
        }
    }

    fn act(&mut self, before: State, shelf: &mut AbandonedClaims) -> Action {
        match self.state {
            State::Idle => Action::Ignore,
            State::Claiming => self.write(0, 1),
            State::Taking => {
                let found = self.row.as_ref().expect("only a row that was read is taken");
                self.write(found.revision, found.intent.generation + 1)
            }
            State::Looking => Action::Read,
            State::Owned => Action::Permit,
            State::Sending => Action::Send,
            State::Recording => self.row.clone().map_or(Action::Ignore, Action::Write),
            State::Settled if before == State::Looking => self.recorded(),
            State::Settled | State::Unrecorded => Action::Finish,
            State::Busy => {
                let row = self.row.as_ref().expect("a busy call has a row");
                Action::Respond(Verdict::Busy(row.intent.holder()))
            }
            State::Mismatched => Action::Respond(Verdict::Mismatch),
            State::Refused => self.leave(Verdict::NotRun, shelf),
            State::Abandoned => self.leave(Verdict::Unclear, shelf),
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
        let found = IntentRow { revision, intent };
        self.row = Some(found.clone());
        Action::Write(found)
    }

    fn recorded(&self) -> Action {
        let outcome = self.row.as_ref().and_then(|r| r.intent.outcome.clone());
        Action::Respond(Verdict::Outcome(outcome.expect("a settled row has an outcome")))
    }

    /// Ends without sending. A write whose reply was lost may still take effect; its claim goes to
    /// the shelf, or the row would answer "unknown" for as long as it lives though nothing ran.
    fn leave(&self, verdict: Verdict, shelf: &mut AbandonedClaims) -> Action {
        if self.uncertain {
            shelf.put(self.owner, self.born);
        }
        Action::Respond(verdict)
    }
}

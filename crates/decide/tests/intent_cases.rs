//! Individual transitions of a request's state machine.

use {
    bilberryfront_decide::{
        id::Incarnation,
        intent::{
            AbandonedClaims, Action, Event, Fault, Holder, Intent, IntentRow, Outcome, Owner,
            RETENTION, RequestLifecycle, Verdict,
        },
    },
    bilberryfront_wire::table::Written,
    tokio::time::Instant,
};

struct Request {
    life: RequestLifecycle,
    abandoned: AbandonedClaims,
}

impl Request {
    fn new(claim: u64) -> Request {
        Request { life: life(claim), abandoned: AbandonedClaims::default() }
    }

    fn step(&mut self, event: Event) -> Action {
        self.life.step(event, &mut self.abandoned)
    }
}

fn owner(claim: u64) -> Owner {
    Owner { incarnation: Incarnation(1), claim }
}

fn holder(claim: u64) -> Holder {
    Holder { owner: owner(claim), created: 0 }
}

fn life(claim: u64) -> RequestLifecycle {
    RequestLifecycle::new(owner(claim), "body".into(), Instant::now(), 0)
}

fn row(claim: u64, outcome: Option<Outcome>) -> Event {
    let intent =
        Intent { owner: owner(claim), generation: 1, digest: "body".into(), created: 0, outcome };
    Event::Row(Some(IntentRow { revision: 1, intent }))
}

/// Guards against a second send when two requests with the same key run on one node. The second one
/// reads a row with its own node's incarnation, but the claim is that of the first, which may be
/// sending the call.
#[test]
fn a_second_request_at_the_owner_does_not_send() {
    let mut second = Request::new(2);
    second.step(Event::Claim);
    assert_eq!(second.step(Event::Written(Written::Conflict(1))), Action::Read);
    assert_eq!(second.step(row(1, None)), Action::Respond(Verdict::Busy(holder(1))));
}

/// The replies to the insert and to the read are lost, so the first request ends with an unclear
/// outcome, although the insert took effect. A later request at the same node takes over the claim;
/// a third one must not.
#[test]
fn an_abandoned_claim_is_taken_over_once() {
    let mut first = Request::new(1);
    first.step(Event::Claim);
    first.step(Event::Failed(Fault::Lost));
    assert_eq!(first.step(Event::Failed(Fault::Lost)), Action::Respond(Verdict::Unclear));
    let mut abandoned = first.abandoned;
    let mut retry = |claim| {
        let mut life = life(claim);
        life.step(Event::Claim, &mut abandoned);
        life.step(Event::Written(Written::Conflict(1)), &mut abandoned);
        life.step(row(1, None), &mut abandoned)
    };
    assert_eq!(retry(2), Action::Permit);
    assert_eq!(retry(3), Action::Respond(Verdict::Busy(holder(1))));
}

/// No connection to the runner could be made, and the table holds that outcome. A retry claims the
/// next generation of the call.
#[test]
fn a_call_that_was_not_run_runs_on_a_retry() {
    let mut retry = Request::new(2);
    retry.step(Event::Claim);
    retry.step(Event::Written(Written::Conflict(2)));
    let Action::Write(row) = retry.step(row(1, Some(Outcome::NotRun))) else {
        panic!("the retry must claim the next generation");
    };
    assert_eq!((row.revision, row.intent.generation), (1, 2));
    assert_eq!(retry.step(Event::Written(Written::Done(2))), Action::Permit);
}

/// Guards against a second send after a long pause: a node is paused between its claim and its send
/// for so long that the row may have been deleted and the key claimed again.
#[test]
fn an_owner_that_was_paused_too_long_does_not_send() {
    let mut owner = Request::new(1);
    owner.step(Event::Claim);
    assert_eq!(owner.step(Event::Written(Written::Done(1))), Action::Permit);
    let late = Instant::now() + RETENTION;
    assert_eq!(owner.step(Event::Send(late)), Action::Expire);
}

/// Guards against the send of an abandoned claim that is taken over hours later. Its row is as old
/// and may be deleted at any time.
#[test]
fn an_old_abandoned_claim_is_not_sent() {
    let mut first = Request::new(1);
    first.step(Event::Claim);
    first.step(Event::Failed(Fault::Lost));
    first.step(Event::Failed(Fault::Lost));
    let late = Instant::now() + RETENTION;
    let mut retry = RequestLifecycle::new(owner(2), "body".into(), late, 0);
    retry.step(Event::Claim, &mut first.abandoned);
    retry.step(Event::Written(Written::Conflict(1)), &mut first.abandoned);
    assert_eq!(retry.step(row(1, None), &mut first.abandoned), Action::Permit);
    assert_eq!(retry.step(Event::Send(late), &mut first.abandoned), Action::Expire);
}

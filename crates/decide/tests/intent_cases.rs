//! Single turns in the life of a call.

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

struct Solo {
    life: RequestLifecycle,
    shelf: AbandonedClaims,
}

impl Solo {
    fn new(claim: u64) -> Solo {
        Solo { life: life(claim), shelf: AbandonedClaims::default() }
    }

    fn step(&mut self, event: Event) -> Action {
        self.life.step(event, &mut self.shelf)
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

/// Two requests with one key meet at one node. The second finds its own node's life in the row and
/// must not take it for its own claim: the first may be sending at this moment.
#[test]
fn a_second_request_at_the_owner_does_not_send() {
    let mut second = Solo::new(2);
    second.step(Event::Claim);
    assert_eq!(second.step(Event::Written(Written::Conflict(1))), Action::Read);
    assert_eq!(second.step(row(1, None)), Action::Respond(Verdict::Busy(holder(1))));
}

/// The insert's reply is lost and so is the read's: the caller hears "unknown". The insert had its
/// effect; a later request at the same node takes the claim over, and a third one can't.
#[test]
fn an_abandoned_claim_is_taken_over_once() {
    let mut first = Solo::new(1);
    first.step(Event::Claim);
    first.step(Event::Failed(Fault::Lost));
    assert_eq!(first.step(Event::Failed(Fault::Lost)), Action::Respond(Verdict::Unclear));
    let mut shelf = first.shelf;
    let mut take = |claim| {
        let mut life = life(claim);
        life.step(Event::Claim, &mut shelf);
        life.step(Event::Written(Written::Conflict(1)), &mut shelf);
        life.step(row(1, None), &mut shelf)
    };
    assert_eq!(take(2), Action::Permit);
    assert_eq!(take(3), Action::Respond(Verdict::Busy(holder(1))));
}

/// No connection to the runner could be made, and the table knows. The caller's retry runs, as the
/// next generation, for whoever writes it first.
#[test]
fn a_call_that_was_not_run_runs_on_a_retry() {
    let mut retry = Solo::new(2);
    retry.step(Event::Claim);
    retry.step(Event::Written(Written::Conflict(2)));
    let Action::Write(found) = retry.step(row(1, Some(Outcome::NotRun))) else {
        panic!("the retry must claim the next generation");
    };
    assert_eq!((found.revision, found.intent.generation), (1, 2));
    assert_eq!(retry.step(Event::Written(Written::Done(2))), Action::Permit);
}

/// A node is stopped between its claim and its send, for so long that the row may have been swept
/// and the key claimed anew. It must not send when it wakes.
#[test]
fn an_owner_that_slept_too_long_does_not_send() {
    let mut owner = Solo::new(1);
    owner.step(Event::Claim);
    assert_eq!(owner.step(Event::Written(Written::Done(1))), Action::Permit);
    let late = Instant::now() + RETENTION;
    assert_eq!(owner.step(Event::Send(late)), Action::Expire);
}

/// A claim lies abandoned for hours and is then taken over by a late retry. It is as old as its
/// row, which may be swept at any moment, so it must not be sent either.
#[test]
fn an_old_abandoned_claim_is_not_sent() {
    let mut first = Solo::new(1);
    first.step(Event::Claim);
    first.step(Event::Failed(Fault::Lost));
    first.step(Event::Failed(Fault::Lost));
    let late = Instant::now() + RETENTION;
    let mut retry = RequestLifecycle::new(owner(2), "body".into(), late, 0);
    retry.step(Event::Claim, &mut first.shelf);
    retry.step(Event::Written(Written::Conflict(1)), &mut first.shelf);
    assert_eq!(retry.step(row(1, None), &mut first.shelf), Action::Permit);
    assert_eq!(retry.step(Event::Send(late), &mut first.shelf), Action::Expire);
}

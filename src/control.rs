//! The control thread, which owns all control state, and the handle through which traffic asks it.

pub mod membership;
pub mod moves;
pub mod pollers;
pub mod view;

use {
    crate::{
        catalogue::store::CatalogueRevision,
        metrics::{Counter, Metrics},
    },
    bilberryfront_decide::{
        Action, Core, Event,
        action::{Grant, Reason, Refuse},
        event::{Ask, Done},
        id::Ticket,
    },
    moves::Moves,
    rustc_hash::FxHashMap,
    std::{
        mem,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, MissedTickBehavior, interval},
    },
    view::{Published, View},
};

/// A result whose error is the core's refusal.
pub type Result<T> = std::result::Result<T, Refuse>;

/// Events taken in one go before actions are carried out.
const BATCH: usize = 64;

/// What the control thread is sent.
pub enum Message {
    /// A request wants a runner, and waits for the answer.
    Ask(Ask, oneshot::Sender<Result<Grant>>),
    /// Anything else that happened.
    Event(Event),
}

/// A handle to the control thread.
#[derive(Clone)]
pub struct Control {
    sender: mpsc::UnboundedSender<Message>,
    published: Published,
    tickets: Arc<AtomicU64>,
    metrics: Metrics,
    moves: Moves,
}

impl Control {
    /// A handle, and the receiver that [`drive`] needs.
    pub fn new(published: Published) -> (Control, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (metrics, moves) = (Metrics::silent(), Moves::default());
        (Control { sender, published, tickets: Arc::default(), metrics, moves }, receiver)
    }

    /// A handle that counts what is done through it.
    pub fn with_metrics(self, metrics: Metrics) -> Control {
        Control { metrics, ..self }
    }

    /// Where traffic is counted.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The same handle, with version moves that are decided by the task behind `moves`.
    pub fn with_moves(self, moves: Moves) -> Control {
        Control { moves, ..self }
    }

    /// The task that decides version moves.
    pub fn moves(&self) -> &Moves {
        &self.moves
    }

    /// What the control thread has published last.
    pub fn view(&self) -> Arc<View> {
        self.published.load()
    }

    /// A ticket that was never used before in this node's life.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Tells the core what happened.
    pub fn send(&self, event: Event) {
        // The receiver goes away only when the process ends.
        _ = self.sender.send(Message::Event(event));
    }

    /// Takes a catalogue, unless it has as new a one.
    pub fn apply_catalog(&self, numbered: CatalogueRevision) {
        let CatalogueRevision { revision, catalogue } = numbered;
        self.send(Event::Catalog { revision, doc: Arc::new(catalogue) });
    }

    /// Tells the core how a granted request ended.
    pub fn done(&self, done: Done) {
        self.send(Event::Done(done));
    }

    /// Waits for a runner. When the returned future is dropped early, the core forgets the request.
    pub async fn ask(&self, ask: Ask) -> Result<Grant> {
        let ticket = ask.ticket;
        let (answer, wait) = oneshot::channel();
        let gone = Refuse { ticket, reason: Reason::NoRunner, retry: None };
        if self.sender.send(Message::Ask(ask, answer)).is_err() {
            return Err(gone);
        }
        let mut forget = Forget { control: self, ticket, armed: true };
        let outcome = wait.await.unwrap_or(Err(gone));
        forget.armed = false;
        if outcome.as_ref().is_err_and(|refuse| refuse.reason == Reason::NoBudget) {
            self.metrics.add(Counter::BudgetEmpty, 1);
        }
        outcome
    }
}

/// Takes a request back when its caller leaves while it waits. Without it the core would grant a
/// runner's slot to nobody and never get it back.
struct Forget<'a> {
    control: &'a Control,
    ticket: Ticket,
    armed: bool,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.control.send(Event::Forget(self.ticket));
        }
    }
}

/// Runs the core on the current thread until every handle is gone.
pub async fn drive(
    mut core: Core,
    mut receiver: mpsc::UnboundedReceiver<Message>,
    published: Published,
) {
    let mut asks = FxHashMap::default();
    let mut actions = Vec::new();
    let mut batch = Vec::with_capacity(BATCH);
    let mut ticks = interval(bilberryfront_decide::core::TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            count = receiver.recv_many(&mut batch, BATCH) => {
                if count == 0 {
                    return;
                }
            }
            _ = ticks.tick() => {
                batch.push(Message::Event(Event::Tick));
                published.set_usage(core.usage());
            }
        }
        let now = Instant::now();
        let (mut changed, revision) = (false, core.catalog().revision);
        for message in batch.drain(..) {
            let event = match message {
                Message::Ask(ask, answer) => {
                    asks.insert(ask.ticket, answer);
                    Event::Ask(ask)
                }
                Message::Event(event) => event,
            };
            if let Event::Forget(ticket) = event {
                asks.remove(&ticket);
            }
            changed |= matches!(event, Event::Catalog { .. } | Event::Instances(_));
            core.step(now, event, &mut actions);
        }
        while !actions.is_empty() {
            for action in mem::take(&mut actions) {
                if let Some(done) = carry_out(action, &mut asks) {
                    core.step(now, Event::Done(done), &mut actions);
                }
            }
        }
        if core.catalog().revision > revision {
            log::info!(revision = core.catalog().revision; "a catalogue is in force");
        }
        if changed {
            published.set_core(&core);
        }
    }
}

type Asks = FxHashMap<Ticket, oneshot::Sender<Result<Grant>>>;

/// Delivers an action to its waiter. If the waiter is gone, a grant is returned, or the runner's
/// slot would leak.
fn carry_out(action: Action, asks: &mut Asks) -> Option<Done> {
    match action {
        Action::Grant(grant) => {
            let ticket = grant.ticket;
            let taken = asks.remove(&ticket).is_some_and(|a| a.send(Ok(grant)).is_ok());
            (!taken).then(|| Done::cancelled(ticket))
        }
        Action::Refuse(refuse) => {
            if let Some(answer) = asks.remove(&refuse.ticket) {
                _ = answer.send(Err(refuse));
            }
            None
        }
    }
}

//! The control thread, which owns all control state, and the handle that other threads use to send
//! it events and requests.

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
        action::{Grant, Reason, Rejection},
        event::{Done, RunnerRequest},
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

/// A result whose error is the core's rejection.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Maximum number of messages processed before their actions are executed.
const MAX_BATCH: usize = 64;

/// A message to the control thread.
pub enum Message {
    /// A request asks for a runner and waits for the answer.
    Request(RunnerRequest, oneshot::Sender<Result<Grant>>),
    /// A granted request asks for another runner and waits for the answer; see [`Event::Replace`].
    Replace(RunnerRequest, Done, oneshot::Sender<Result<Grant>>),
    /// Any other event.
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
    /// Returns a handle, and the receiver for [`drive`].
    pub fn new(published: Published) -> (Control, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (metrics, moves) = (Metrics::in_memory(), Moves::default());
        (Control { sender, published, tickets: Arc::default(), metrics, moves }, receiver)
    }

    /// Returns the handle with the metrics that its operations are counted in.
    pub fn with_metrics(self, metrics: Metrics) -> Control {
        Control { metrics, ..self }
    }

    /// Returns the metrics in which traffic is counted.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the handle with the given handle to the task that decides version moves.
    pub fn with_moves(self, moves: Moves) -> Control {
        Control { moves, ..self }
    }

    /// Returns the handle to the task that decides version moves.
    pub fn moves(&self) -> &Moves {
        &self.moves
    }

    /// Returns the view that the control thread published last.
    pub fn view(&self) -> Arc<View> {
        self.published.load()
    }

    /// Returns a ticket that is unique within this run of the node.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends an event to the core.
    pub fn send(&self, event: Event) {
        // The receiver is dropped only when the process exits.
        _ = self.sender.send(Message::Event(event));
    }

    /// Sends a catalogue to the core, which ignores it unless it is newer than the current one.
    pub fn apply_catalog(&self, latest: CatalogueRevision) {
        let CatalogueRevision { revision, catalogue } = latest;
        self.send(Event::Catalog { revision, doc: Arc::new(catalogue) });
    }

    /// Reports the end of a granted request to the core.
    pub fn done(&self, done: Done) {
        self.send(Event::Done(done));
    }

    /// Requests another runner for a granted request whose runner is silent. `done` is the end of the request
    /// at that runner, which applies only if another one is granted.
    pub async fn replace_runner(&self, request: RunnerRequest, done: Done) -> Result<Grant> {
        let ticket = request.ticket;
        let (sender, receiver) = oneshot::channel();
        // The receiver is dropped only when the process exits.
        _ = self.sender.send(Message::Replace(request, done, sender));
        let stopped = Rejection { ticket, reason: Reason::NoRunner, retry_after: None };
        receiver.await.unwrap_or(Err(stopped))
    }

    /// Waits for a runner. If the returned future is dropped early, the request is withdrawn.
    pub async fn request_runner(&self, request: RunnerRequest) -> Result<Grant> {
        let ticket = request.ticket;
        let (sender, receiver) = oneshot::channel();
        let stopped = Rejection { ticket, reason: Reason::NoRunner, retry_after: None };
        if self.sender.send(Message::Request(request, sender)).is_err() {
            return Err(stopped);
        }
        let mut guard = WithdrawOnDrop { control: self, ticket, armed: true };
        let result = receiver.await.unwrap_or(Err(stopped));
        guard.armed = false;
        if result.as_ref().is_err_and(|rejection| rejection.reason == Reason::NoBudget) {
            self.metrics.add(Counter::BudgetEmpty, 1);
        }
        result
    }
}

/// Withdraws a waiting request when its caller disconnects. Without it the core would grant a slot
/// of a runner that no one releases.
struct WithdrawOnDrop<'a> {
    control: &'a Control,
    ticket: Ticket,
    armed: bool,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.control.send(Event::Cancel(self.ticket));
        }
    }
}

/// Runs the core on the current thread until every [`Control`] handle is dropped.
pub async fn drive(
    mut core: Core,
    mut receiver: mpsc::UnboundedReceiver<Message>,
    published: Published,
) {
    let mut waiting = FxHashMap::default();
    let mut actions = Vec::new();
    let mut batch = Vec::with_capacity(MAX_BATCH);
    let mut ticks = interval(bilberryfront_decide::core::TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            count = receiver.recv_many(&mut batch, MAX_BATCH) => {
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
                Message::Request(request, answer) => {
                    waiting.insert(request.ticket, answer);
                    Event::Request(request)
                }
                Message::Replace(request, done, answer) => {
                    waiting.insert(request.ticket, answer);
                    Event::Replace { request, done }
                }
                Message::Event(event) => event,
            };
            if let Event::Cancel(ticket) = event {
                waiting.remove(&ticket);
            }
            changed |= matches!(event, Event::Catalog { .. } | Event::Instances(_));
            core.step(now, event, &mut actions);
        }
        while !actions.is_empty() {
            for action in mem::take(&mut actions) {
                if let Some(done) = execute(action, &mut waiting) {
                    core.step(now, Event::Done(done), &mut actions);
                }
            }
        }
        if core.catalog().revision > revision {
            log::info!(revision = core.catalog().revision; "catalogue revision applied");
        }
        if changed {
            published.set_core(&core);
        }
    }
}

type Waiting = FxHashMap<Ticket, oneshot::Sender<Result<Grant>>>;

/// Sends an action to the request that waits for it. If that request was dropped, returns a
/// cancellation of the grant: without it the runner's slot would leak.
fn execute(action: Action, waiting: &mut Waiting) -> Option<Done> {
    match action {
        Action::Grant(grant) => {
            let ticket = grant.ticket;
            let is_delivered = waiting.remove(&ticket).is_some_and(|a| a.send(Ok(grant)).is_ok());
            (!is_delivered).then(|| Done::cancelled(ticket))
        }
        Action::Reject(rejection) => {
            if let Some(answer) = waiting.remove(&rejection.ticket) {
                _ = answer.send(Err(rejection));
            }
            None
        }
    }
}

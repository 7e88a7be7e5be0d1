//! Runners in memory: what they are asked, what they write, and what goes wrong with them.

use {
    crate::{
        gate::{Gate, Life},
        language::RunnerAct,
        writer::Writer,
    },
    bilberryfront::traffic::{
        send::{Outgoing, Reply},
        upstream::{Failure, Result, RunnerEvent},
    },
    bilberryfront_decide::event::Verdict,
    bilberryfront_wire::{
        instance::{Instance, InstanceKind, InstanceState},
        runner::{Generate, LoadReport},
    },
    compact_str::{CompactString, format_compact},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::AbortHandle,
        time::{Instant, sleep},
    },
    xxhash_rust::xxh64::xxh64,
};

/// One generation at one runner.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) runner: CompactString,
    /// Identifier that the node gave it.
    pub(crate) leg: CompactString,
    pub(crate) version: CompactString,
    pub(crate) prompt: String,
    pub(crate) salt: u64,
    /// Node that sent it.
    pub(crate) node: CompactString,
    /// Tokens that went before.
    pub(crate) index: u32,
    pub(crate) begun: Instant,
}

/// One call that a runner has read.
#[derive(Clone, Debug)]
pub(crate) struct Read {
    pub(crate) runner: CompactString,
    /// Name of the caller's call.
    pub(crate) call: CompactString,
    pub(crate) account: CompactString,
    /// Idempotency key, or none.
    pub(crate) key: CompactString,
    pub(crate) ran: bool,
    pub(crate) begun: Instant,
}

/// What all runners have been sent.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) runs: Vec<Run>,
    pub(crate) reads: Vec<Read>,
}

/// A runner; clones share it.
#[derive(Clone)]
pub(crate) struct Runner {
    pub(crate) name: CompactString,
    pub(crate) gate: Gate,
    pub(crate) tokens: u32,
    instance: Instance,
    differs: bool,
    log: Arc<Mutex<Log>>,
    state: Arc<Mutex<State>>,
}

struct State {
    pace: Duration,
    /// Time until the first token, if not the pace.
    first: Option<Duration>,
    acts: Vec<RunnerAct>,
    left: Option<Instant>,
    running: u32,
    work: Vec<AbortHandle>,
    open: Vec<mpsc::UnboundedSender<Result<RunnerEvent>>>,
}

/// How a runner is made.
pub(crate) struct Make<'a> {
    pub(crate) name: &'a str,
    pub(crate) kind: InstanceKind,
    pub(crate) entry: &'a str,
    pub(crate) version: &'a str,
    pub(crate) tokens: u32,
    pub(crate) differs: bool,
    pub(crate) pace: Duration,
    pub(crate) log: Arc<Mutex<Log>>,
}

impl Runner {
    pub(crate) fn new(make: Make<'_>) -> Runner {
        let Make { name, kind, entry, version, tokens, differs, pace, log } = make;
        let instance = Instance {
            name: name.into(),
            kind,
            url: format_compact!("http://{name}"),
            domain: "domain-1".into(),
            entry: entry.into(),
            version: version.into(),
            state: InstanceState::Live,
            fenced: true,
            peer: None,
        };
        let state = State {
            pace,
            first: None,
            acts: vec![],
            left: None,
            running: 0,
            work: vec![],
            open: vec![],
        };
        let state = Arc::new(Mutex::new(state));
        Runner { name: name.into(), gate: Gate::default(), instance, tokens, differs, log, state }
    }

    /// Does to the runner what a scenario says.
    pub(crate) fn act(&self, act: RunnerAct) {
        let mut state = self.state.lock().unwrap();
        match act {
            RunnerAct::Die => {
                drop(state);
                self.die();
            }
            RunnerAct::Start => {
                state.acts.clear();
                (state.left, state.first) = (None, None);
                self.gate.set(Life::Running);
            }
            RunnerAct::Wake if self.gate.life() == Life::Paused => self.gate.set(Life::Running),
            RunnerAct::Wake => {}
            RunnerAct::Pause if self.gate.life() == Life::Running => self.gate.set(Life::Paused),
            RunnerAct::Pause => {}
            RunnerAct::Leave => _ = state.left.get_or_insert_with(Instant::now),
            RunnerAct::Slow(ms) => state.pace = Duration::from_millis(ms),
            RunnerAct::First(ms) => state.first = Some(Duration::from_millis(ms)),
            act => state.acts.push(act),
        }
    }

    /// As the platform lists it at this moment.
    pub(crate) fn listed(&self) -> Option<Instance> {
        let state = match self.left() {
            Some(_) => InstanceState::Leaving,
            None => InstanceState::Live,
        };
        let alive = self.gate.life() != Life::Dead;
        alive.then(|| Instance { state, ..self.instance.clone() })
    }

    /// When it was told to leave.
    pub(crate) fn left(&self) -> Option<Instant> {
        self.state.lock().unwrap().left
    }

    /// Its load report, unless it is dead or paused.
    pub(crate) fn load(&self) -> Option<LoadReport> {
        let state = self.state.lock().unwrap();
        let runs = self.gate.life() == Life::Running;
        runs.then(|| LoadReport {
            version: self.instance.version.clone(),
            running: state.running,
            waiting: 0,
            slots: 16,
            leaving: state.left.is_some(),
            cache: vec![],
        })
    }

    pub(crate) fn owns(&self, url: &str) -> bool {
        let rest = url.strip_prefix(self.instance.url.as_str());
        rest.is_some_and(|r| r.is_empty() || r.starts_with('/'))
    }

    /// Starts a generation.
    pub(crate) async fn open(
        &self,
        node: &str,
        generate: &Generate,
    ) -> Result<mpsc::UnboundedReceiver<Result<RunnerEvent>>> {
        if self.gate.life() == Life::Dead {
            return Err(Failure::Lost(Verdict::Broken));
        }
        self.gate.pass().await;
        if generate.version != self.instance.version {
            return Err(Failure::Lost(Verdict::Rejected));
        }
        let salt = match self.differs {
            true => xxh64(generate.request.as_bytes(), generate.attempt.into()),
            false => 0,
        };
        self.log.lock().unwrap().runs.push(Run {
            runner: self.name.clone(),
            leg: generate.request.clone(),
            version: generate.version.clone(),
            prompt: generate.prompt.clone(),
            salt,
            node: node.into(),
            index: generate.index,
            begun: Instant::now(),
        });
        if self.rejects(generate) {
            return Err(Failure::Lost(Verdict::Broken));
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let writer = Writer { runner: self.clone(), generate: generate.clone(), salt, sender };
        let mut state = self.state.lock().unwrap();
        state.work.push(tokio::spawn(self.gate.clone().run(writer.write())).abort_handle());
        Ok(receiver)
    }

    fn rejects(&self, generate: &Generate) -> bool {
        let state = self.state.lock().unwrap();
        state.acts.iter().any(|act| match act {
            RunnerAct::Reject(bytes) => generate.prompt.len() >= *bytes,
            RunnerAct::RejectOver(most) => state.running >= *most,
            _ => false,
        })
    }

    /// Reads a call; the answer is dropped when there will be none.
    pub(crate) fn read(&self, call: Outgoing) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let work = self.gate.clone().run(self.clone().execute(call, sender));
        self.state.lock().unwrap().work.push(tokio::spawn(work).abort_handle());
        receiver
    }

    async fn execute(self, call: Outgoing, answer: oneshot::Sender<Reply>) {
        let header = |name| {
            CompactString::from(
                call.headers
                    .get(name)
                    .map_or("", |v| v.to_str().expect("scenarios have plain names")),
            )
        };
        let read = Read {
            runner: self.name.clone(),
            call: header("call"),
            account: header("bilberryfront-account"),
            key: header("idempotency-key"),
            ran: false,
            begun: Instant::now(),
        };
        let at = {
            let mut log = self.log.lock().unwrap();
            log.reads.push(read.clone());
            log.reads.len() - 1
        };
        let act = self.take(|a| {
            matches!(a, RunnerAct::CloseBefore | RunnerAct::CloseAfter | RunnerAct::DieAfter)
        });
        if act == Some(RunnerAct::CloseBefore) {
            return;
        }
        sleep(self.pace() / 2).await;
        self.log.lock().unwrap().reads[at].ran = true;
        match act {
            Some(RunnerAct::CloseAfter) => return,
            Some(RunnerAct::DieAfter) => return self.die(),
            _ => {}
        }
        sleep(self.pace() / 2).await;
        let body = receipt(&read.account, &read.key, &call.body);
        let status = http::StatusCode::OK;
        // The node may have gone.
        _ = answer.send(Reply { status, headers: Default::default(), body: body.into() });
    }

    pub(crate) fn begun(&self, stream: &mpsc::UnboundedSender<Result<RunnerEvent>>) {
        let mut state = self.state.lock().unwrap();
        state.running += 1;
        state.open.push(stream.clone());
    }

    pub(crate) fn ended(&self, stream: &mpsc::UnboundedSender<Result<RunnerEvent>>) {
        let mut state = self.state.lock().unwrap();
        state.running = state.running.saturating_sub(1);
        state.open.retain(|s| !s.same_channel(stream));
    }

    /// Time until the first token of an answer.
    pub(crate) fn first(&self) -> Duration {
        let state = self.state.lock().unwrap();
        state.first.unwrap_or(state.pace)
    }

    /// Version that it serves.
    pub(crate) fn version(&self) -> &str {
        &self.instance.version
    }

    /// Time for a token or a call.
    pub(crate) fn pace(&self) -> Duration {
        self.state.lock().unwrap().pace
    }

    pub(crate) fn die(&self) {
        self.gate.set(Life::Dead);
        let mut state = self.state.lock().unwrap();
        (state.running, state.left) = (0, None);
        state.work.drain(..).for_each(|w| w.abort());
        for open in state.open.drain(..) {
            // The node may have gone.
            _ = open.send(Err(Failure::Lost(Verdict::Broken)));
        }
    }

    /// Takes the first act that is wanted, so that it is done once.
    pub(crate) fn take(&self, wanted: impl Fn(RunnerAct) -> bool) -> Option<RunnerAct> {
        let acts = &mut self.state.lock().unwrap().acts;
        let at = acts.iter().position(|a| wanted(*a))?;
        Some(acts.remove(at))
    }

    pub(crate) fn crosses(&self) -> bool {
        self.state.lock().unwrap().acts.contains(&RunnerAct::Cross)
    }
}

/// The answer of a service to one call.
pub(crate) fn receipt(account: &str, key: &str, body: &[u8]) -> String {
    format!("{account} {key} {:016x}", xxh64(body, 0))
}

//! In-memory runners: the requests they receive, their responses, and their faults.

use {
    crate::{
        gate::{Gate, ProcessState},
        language::RunnerAction,
        writer::GenerationWriter,
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

/// One generation that a runner has received.
#[derive(Clone, Debug)]
pub(crate) struct GenerationRecord {
    pub(crate) runner: CompactString,
    /// Identifier that the node assigned.
    pub(crate) runner_request_id: CompactString,
    pub(crate) version: CompactString,
    pub(crate) prompt: String,
    pub(crate) salt: u64,
    /// Node that sent the generation.
    pub(crate) node: CompactString,
    /// Number of tokens that precede this generation.
    pub(crate) index: u32,
    pub(crate) started_at: Instant,
}

/// One call that a runner has received.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) runner: CompactString,
    /// Name of the caller's call.
    pub(crate) call: CompactString,
    pub(crate) account: CompactString,
    /// Idempotency key; empty if there is none.
    pub(crate) key: CompactString,
    pub(crate) ran: bool,
    pub(crate) started_at: Instant,
}

/// Generations and calls that all runners have received.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) generations: Vec<GenerationRecord>,
    pub(crate) calls: Vec<CallRecord>,
}

/// A runner; clones share the state.
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
    /// Time to the first token, if it differs from `pace`.
    first_token_delay: Option<Duration>,
    actions: Vec<RunnerAction>,
    leave_requested_at: Option<Instant>,
    running: u32,
    tasks: Vec<AbortHandle>,
    streams: Vec<mpsc::UnboundedSender<Result<RunnerEvent>>>,
}

/// Parameters of a new runner.
pub(crate) struct RunnerConfig<'a> {
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
    pub(crate) fn new(config: RunnerConfig<'_>) -> Runner {
        let RunnerConfig { name, kind, entry, version, tokens, differs, pace, log } = config;
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
            first_token_delay: None,
            actions: vec![],
            leave_requested_at: None,
            running: 0,
            tasks: vec![],
            streams: vec![],
        };
        let state = Arc::new(Mutex::new(state));
        Runner { name: name.into(), gate: Gate::default(), instance, tokens, differs, log, state }
    }

    /// Applies an action, or schedules a fault.
    pub(crate) fn apply_action(&self, action: RunnerAction) {
        let mut state = self.state.lock().unwrap();
        match action {
            RunnerAction::Die => {
                drop(state);
                self.die();
            }
            RunnerAction::Start => {
                state.actions.clear();
                (state.leave_requested_at, state.first_token_delay) = (None, None);
                self.gate.set(ProcessState::Running);
            }
            RunnerAction::Wake if self.gate.process_state() == ProcessState::Paused => {
                self.gate.set(ProcessState::Running);
            }
            RunnerAction::Wake => {}
            RunnerAction::Pause if self.gate.process_state() == ProcessState::Running => {
                self.gate.set(ProcessState::Paused);
            }
            RunnerAction::Pause => {}
            RunnerAction::Leave => _ = state.leave_requested_at.get_or_insert_with(Instant::now),
            RunnerAction::Slow(ms) => state.pace = Duration::from_millis(ms),
            RunnerAction::First(ms) => state.first_token_delay = Some(Duration::from_millis(ms)),
            action => state.actions.push(action),
        }
    }

    /// Returns the runner's current entry in the platform's instance list, if it is alive.
    pub(crate) fn listed(&self) -> Option<Instance> {
        let state = match self.leave_requested_at() {
            Some(_) => InstanceState::Leaving,
            None => InstanceState::Live,
        };
        let alive = self.gate.process_state() != ProcessState::Dead;
        alive.then(|| Instance { state, ..self.instance.clone() })
    }

    /// Returns when it was asked to leave.
    pub(crate) fn leave_requested_at(&self) -> Option<Instant> {
        self.state.lock().unwrap().leave_requested_at
    }

    /// Returns its load report, unless it is dead or paused.
    pub(crate) fn load(&self) -> Option<LoadReport> {
        let state = self.state.lock().unwrap();
        let is_running = self.gate.process_state() == ProcessState::Running;
        is_running.then(|| LoadReport {
            version: self.instance.version.clone(),
            running: state.running,
            waiting: 0,
            slots: 16,
            leaving: state.leave_requested_at.is_some(),
            cache: vec![],
        })
    }

    pub(crate) fn serves_url(&self, url: &str) -> bool {
        let rest = url.strip_prefix(self.instance.url.as_str());
        rest.is_some_and(|r| r.is_empty() || r.starts_with('/'))
    }

    /// Starts a generation.
    pub(crate) async fn open(
        &self,
        node: &str,
        generate: &Generate,
    ) -> Result<mpsc::UnboundedReceiver<Result<RunnerEvent>>> {
        if self.gate.process_state() == ProcessState::Dead {
            return Err(Failure::Lost(Verdict::Broken));
        }
        self.gate.wait_until_running().await;
        if generate.version != self.instance.version {
            return Err(Failure::Lost(Verdict::Rejected));
        }
        let salt = match self.differs {
            true => xxh64(generate.request.as_bytes(), generate.attempt.into()),
            false => 0,
        };
        self.log.lock().unwrap().generations.push(GenerationRecord {
            runner: self.name.clone(),
            runner_request_id: generate.request.clone(),
            version: generate.version.clone(),
            prompt: generate.prompt.clone(),
            salt,
            node: node.into(),
            index: generate.index,
            started_at: Instant::now(),
        });
        if self.is_rejected(generate) {
            return Err(Failure::Lost(Verdict::Broken));
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let writer =
            GenerationWriter { runner: self.clone(), generate: generate.clone(), salt, sender };
        let mut state = self.state.lock().unwrap();
        state.tasks.push(tokio::spawn(self.gate.clone().run(writer.write())).abort_handle());
        Ok(receiver)
    }

    fn is_rejected(&self, generate: &Generate) -> bool {
        let state = self.state.lock().unwrap();
        state.actions.iter().any(|action| match action {
            RunnerAction::Reject(bytes) => generate.prompt.len() >= *bytes,
            RunnerAction::RejectOver(most) => state.running >= *most,
            _ => false,
        })
    }

    /// Receives a call. The reply channel closes if there will be no reply.
    pub(crate) fn receive_call(&self, call: Outgoing) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let work = self.gate.clone().run(self.clone().run_call(call, sender));
        self.state.lock().unwrap().tasks.push(tokio::spawn(work).abort_handle());
        receiver
    }

    async fn run_call(self, call: Outgoing, answer: oneshot::Sender<Reply>) {
        let header = |name| {
            CompactString::from(
                call.headers
                    .get(name)
                    .map_or("", |v| v.to_str().expect("names are valid in headers")),
            )
        };
        let read = CallRecord {
            runner: self.name.clone(),
            call: header("call"),
            account: header("bilberryfront-account"),
            key: header("idempotency-key"),
            ran: false,
            started_at: Instant::now(),
        };
        let at = {
            let mut log = self.log.lock().unwrap();
            log.calls.push(read.clone());
            log.calls.len() - 1
        };
        let action = self.take_action(|a| {
            matches!(
                a,
                RunnerAction::CloseBefore | RunnerAction::CloseAfter | RunnerAction::DieAfter
            )
        });
        if action == Some(RunnerAction::CloseBefore) {
            return;
        }
        sleep(self.pace() / 2).await;
        self.log.lock().unwrap().calls[at].ran = true;
        match action {
            Some(RunnerAction::CloseAfter) => return,
            Some(RunnerAction::DieAfter) => return self.die(),
            _ => {}
        }
        sleep(self.pace() / 2).await;
        let body = receipt(&read.account, &read.key, &call.body);
        let status = http::StatusCode::OK;
        // The receiver is closed if the node has stopped.
        let (headers, body) = (Default::default(), body.into());
        _ = answer.send(Reply { status, headers, body, is_confirmed: true });
    }

    pub(crate) fn record_stream_start(&self, stream: &mpsc::UnboundedSender<Result<RunnerEvent>>) {
        let mut state = self.state.lock().unwrap();
        state.running += 1;
        state.streams.push(stream.clone());
    }

    pub(crate) fn record_stream_end(&self, stream: &mpsc::UnboundedSender<Result<RunnerEvent>>) {
        let mut state = self.state.lock().unwrap();
        state.running = state.running.saturating_sub(1);
        state.streams.retain(|s| !s.same_channel(stream));
    }

    /// Returns the time to the first token.
    pub(crate) fn first_token_delay(&self) -> Duration {
        let state = self.state.lock().unwrap();
        state.first_token_delay.unwrap_or(state.pace)
    }

    /// Returns the version that it serves.
    pub(crate) fn version(&self) -> &str {
        &self.instance.version
    }

    /// Returns the time per token or call.
    pub(crate) fn pace(&self) -> Duration {
        self.state.lock().unwrap().pace
    }

    pub(crate) fn die(&self) {
        self.gate.set(ProcessState::Dead);
        let mut state = self.state.lock().unwrap();
        (state.running, state.leave_requested_at) = (0, None);
        state.tasks.drain(..).for_each(|w| w.abort());
        for stream in state.streams.drain(..) {
            // The receiver is closed if the node has stopped.
            _ = stream.send(Err(Failure::Lost(Verdict::Broken)));
        }
    }

    /// Removes and returns the first scheduled action that matches, so that it takes effect only once.
    pub(crate) fn take_action(
        &self,
        wanted: impl Fn(RunnerAction) -> bool,
    ) -> Option<RunnerAction> {
        let actions = &mut self.state.lock().unwrap().actions;
        let at = actions.iter().position(|a| wanted(*a))?;
        Some(actions.remove(at))
    }

    pub(crate) fn writes_foreign_tokens(&self) -> bool {
        self.state.lock().unwrap().actions.contains(&RunnerAction::Cross)
    }
}

/// Returns the response of a service to one call.
pub(crate) fn receipt(account: &str, key: &str, body: &[u8]) -> String {
    format!("{account} {key} {:016x}", xxh64(body, 0))
}

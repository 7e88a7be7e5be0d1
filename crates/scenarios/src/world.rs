//! State of a running scenario, and execution of its steps.

use {
    crate::{
        caller::{self, Caller, ENGINE_ENTRY, End, Operation, SERVICE_ENTRY, SharedCaller},
        checks::Checks,
        expect,
        fleet::Fleet,
        gate::ProcessState,
        language::{NodeAction, RunnerAction, Scenario, Setup, Step},
        load::ActiveLoad,
        moves::{self, History, WallClock},
        net::Net,
        node::{Environment, Node, listed_instance},
        operator::{self, Operators},
        runner::{Log, Runner, RunnerConfig},
        table::TableService,
    },
    bilberryfront_wire::instance::InstanceKind,
    compact_str::CompactString,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        runtime::Builder,
        task::AbortHandle,
        time::{Instant, sleep_until},
    },
};

/// A result whose error describes the violated expectation.
pub(crate) type Result<T = ()> = std::result::Result<T, String>;

/// Time in which all nodes must have read the first catalogue and instance list.
const START_TIME: Duration = Duration::from_secs(5);
/// Maximum time that [`Step::Finish`] waits.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after the last step in which delayed violations can still appear.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Interval at which the invariants are checked while time passes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// State of one scenario.
pub(crate) struct World {
    pub(crate) nodes: BTreeMap<CompactString, Node>,
    pub(crate) fleet: Fleet,
    pub(crate) callers: BTreeMap<CompactString, SharedCaller>,
    pub(crate) operators: Operators,
    pub(crate) tokens: u32,
    pub(crate) loads: BTreeMap<CompactString, ActiveLoad>,
    pub(crate) history: History,
    environment: Environment,
    connections: BTreeMap<CompactString, AbortHandle>,
    checks: Checks,
    seed: u64,
}

/// Runs a scenario in its own runtime, on Tokio's paused clock.
pub(crate) fn run(scenario: &Scenario) -> Result {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("the runtime could not be built").block_on(async {
        let mut world = World::start(&scenario.world).await?;
        for (at, step) in scenario.steps.iter().enumerate() {
            let done = world.step(step).await;
            done.map_err(|e| format!("step {}, {step:?}: {e}", at + 1))?;
        }
        world.advance(SETTLE_TIME).await.map_err(|e| format!("after the last step: {e}"))
    })
}

impl World {
    async fn start(setup: &Setup) -> Result<World> {
        let log = Arc::new(Mutex::new(Log::default()));
        let fleet = Fleet::new(runners(setup, &log), log, Duration::from_millis(setup.lag_ms));
        tokio::spawn(fleet.clone().record_snapshots());
        let (history, wall_clock) = (History::default(), WallClock::new());
        let (service, net) = (TableService::default(), Net::default());
        let environment = Environment {
            fleet: fleet.clone(),
            service,
            net,
            wall_clock,
            history: history.clone(),
        };
        let mut world = World {
            nodes: BTreeMap::new(),
            fleet,
            environment,
            callers: BTreeMap::new(),
            operators: Operators::new(),
            tokens: setup.tokens,
            loads: BTreeMap::new(),
            history,
            connections: BTreeMap::new(),
            checks: Checks::default(),
            seed: setup.seed * 1_000,
        };
        let version = setup.engines.first().map_or("v1", |(_, v)| v);
        operator::apply_first_catalogue(&world.environment, version).await?;
        for name in &setup.nodes {
            world.start_node(name);
        }
        world.advance(START_TIME).await?;
        let ready = world.nodes.values().all(|n| n.control.view().ready);
        ready.then_some(world).ok_or_else(|| "not all nodes were ready after the start time".into())
    }

    fn start_node(&mut self, name: &CompactString) {
        self.seed += 1;
        let node = Node::start(name, self.seed, &self.environment);
        self.fleet.nodes.lock().unwrap().insert(name.clone(), listed_instance(name));
        self.nodes.insert(name.clone(), node);
        self.checks.restarted(name);
    }

    /// Executes one step, then checks the invariants.
    pub(crate) async fn step(&mut self, step: &Step) -> Result {
        self.remove_exited_nodes()?;
        match step {
            Step::Wait(ms) => self.advance(Duration::from_millis(*ms)).await?,
            Step::Finish(names) => self.finish(names).await?,
            step => self.apply_step(step)?,
        }
        self.check()
    }

    /// Executes a step that takes no time.
    pub(crate) fn apply_step(&mut self, step: &Step) -> Result {
        match step {
            Step::Request(request) => {
                let operation = Operation::Generation(request.clone());
                let caller = Caller::new(&request.name, &request.node, operation);
                let connection = caller::send_generation(self.node(&request.node)?, &caller, None);
                self.connect(&request.name, caller, connection);
            }
            Step::Resume(resume) => {
                let caller = self.caller(&resume.name)?.clone();
                self.connections[&resume.name].abort();
                let connection =
                    caller::send_generation(self.node(&resume.node)?, &caller, Some(resume));
                self.connect(&resume.name, caller, connection);
            }
            Step::Call(call) => {
                let caller = Caller::new(&call.name, &call.node, Operation::Call(call.clone()));
                let connection = caller::send_call(self.node(&call.node)?, &caller);
                self.connect(&call.name, caller, connection);
            }
            Step::HangUp(name) => {
                caller::close(self.caller(name)?, End::HungUp);
                self.connections[name].abort();
            }
            Step::Apply(apply) => {
                let reply = operator::apply(self.node(&apply.node)?, apply);
                self.operators.insert(apply.name.clone(), reply);
            }
            Step::Load(load) => {
                self.loads.insert(load.name.clone(), ActiveLoad::new(load));
            }
            Step::Move(wanted) => {
                let reply = moves::start(self.node(&wanted.node)?, wanted);
                self.operators.insert(wanted.name.clone(), reply);
            }
            Step::Undo { name, node } => {
                let reply = moves::undo(self.node(node)?);
                self.operators.insert(name.clone(), reply);
            }
            Step::Runner { who, does } => self.apply_runner_action(who, *does)?,
            Step::Node { who, does } => self.apply_node_action(who, *does)?,
            Step::Table(action) => self.environment.service.apply_action(*action),
            Step::Apart(names) => self.environment.net.isolate(names),
            Step::ListLag(ms) => self.fleet.set_lag(Duration::from_millis(*ms)),
            Step::Expect(expect) => expect::check(self, expect)?,
            Step::Wait(_) | Step::Finish(_) => unreachable!("these take time"),
        }
        Ok(())
    }

    /// Returns the caller with this name.
    pub(crate) fn caller(&self, name: &str) -> Result<&SharedCaller> {
        self.callers.get(name).ok_or_else(|| format!("there is no caller {name}"))
    }

    fn node(&mut self, name: &str) -> Result<&mut Node> {
        self.nodes.get_mut(name).ok_or_else(|| format!("there is no node {name}"))
    }

    fn connect(&mut self, name: &CompactString, caller: SharedCaller, connection: AbortHandle) {
        let process = self.nodes[&caller.lock().unwrap().node].gate.process_state();
        caller.lock().unwrap().paused |= process == ProcessState::Paused;
        if process == ProcessState::Dead {
            connection.abort();
            caller::close(&caller, End::Unreached);
        }
        self.callers.insert(name.clone(), caller);
        self.connections.insert(name.clone(), connection);
    }

    /// Advances the clock, sends the requests of loads that are due, and checks the invariants at each
    /// interval.
    async fn advance(&mut self, time: Duration) -> Result {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let next_check = until.min(Instant::now() + CHECK_INTERVAL);
            while let Some(due) = self.next_due().filter(|d| *d <= next_check) {
                sleep_until(due).await;
                self.send_due_requests()?;
            }
            sleep_until(next_check).await;
            self.check()?;
            self.remove_finished_callers();
        }
        Ok(())
    }

    async fn finish(&mut self, names: &[CompactString]) -> Result {
        let until = Instant::now() + FINISH_TIMEOUT;
        while Instant::now() < until && !names.iter().all(|n| self.ended(n)) {
            self.advance(CHECK_INTERVAL).await?;
        }
        let open = names.iter().find(|n| !self.ended(n));
        open.map_or(Ok(()), |n| Err(format!("{n} had no result within {FINISH_TIMEOUT:?}")))
    }

    fn ended(&self, name: &str) -> bool {
        let caller = |n| self.callers.get(n).is_some_and(|c| c.lock().unwrap().end.is_some());
        caller(name) || self.operators.get(name).is_some_and(|o| o.lock().unwrap().is_some())
    }

    fn check(&mut self) -> Result {
        let mut checks = std::mem::take(&mut self.checks);
        let verdict = checks.run(self);
        self.checks = checks;
        verdict.and_then(|()| self.remove_exited_nodes())
    }

    /// Applies an action to the runners that `who` selects: a runner's name, `*` for all, `version:`
    /// followed by a version, or `writer:` followed by a request's name for the runner that last received it.
    fn apply_runner_action(&mut self, who: &str, action: RunnerAction) -> Result {
        if who == "*" {
            self.fleet.runners.iter().for_each(|r| r.apply_action(action));
            return Ok(());
        }
        if let Some(version) = who.strip_prefix("version:") {
            let of = self.fleet.runners.iter().filter(|r| r.version() == version);
            of.for_each(|r| r.apply_action(action));
            return Ok(());
        }
        let runner = match who.strip_prefix("writer:") {
            Some(name) => {
                self.fleet.last_runner_of(&self.caller(name)?.lock().unwrap().runner_request_ids)
            }
            None => self.fleet.runner_named(who),
        };
        runner.ok_or_else(|| format!("there is no runner {who}"))?.apply_action(action);
        Ok(())
    }

    fn apply_node_action(&mut self, name: &CompactString, action: NodeAction) -> Result {
        if action != NodeAction::Start || self.nodes.contains_key(name) {
            self.node(name)?.apply_action(action);
        }
        for caller in self.callers.values().filter(|c| c.lock().unwrap().node == *name) {
            caller.lock().unwrap().paused |= action == NodeAction::Pause;
            if matches!(action, NodeAction::Die | NodeAction::Start) {
                caller::close(caller, End::Cut);
            }
        }
        match action {
            NodeAction::Start => self.start_node(name),
            NodeAction::Die => _ = self.fleet.nodes.lock().unwrap().remove(name),
            _ => {}
        }
        Ok(())
    }

    /// Ends the nodes that have exited after a graceful shutdown.
    fn remove_exited_nodes(&mut self) -> Result {
        let is_exited =
            |n: &&Node| n.has_exited() && n.gate.process_state() == ProcessState::Running;
        let exited =
            self.nodes.values().filter(is_exited).map(|n| n.name.clone()).collect::<Vec<_>>();
        exited.iter().try_for_each(|name| self.apply_node_action(name, NodeAction::Die))
    }
}

fn runners(setup: &Setup, log: &Arc<Mutex<Log>>) -> Vec<Runner> {
    let pace = Duration::from_millis(setup.pace_ms);
    let make = |name, kind, entry, version| {
        let (tokens, differs, log) = (setup.tokens, setup.differs, log.clone());
        Runner::new(RunnerConfig { name, kind, entry, version, tokens, differs, pace, log })
    };
    let engines = setup.engines.iter().map(|(n, v)| make(n, InstanceKind::Engine, ENGINE_ENTRY, v));
    let services =
        setup.services.iter().map(|n| make(n, InstanceKind::Service, SERVICE_ENTRY, "v1"));
    engines.chain(services).collect()
}

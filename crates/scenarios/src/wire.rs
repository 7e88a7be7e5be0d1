//! A node's connections to the runners.

use {
    crate::{
        fleet::Fleet,
        gate::{Gate, ProcessState},
        net::{IDLE_TIMEOUT, Net, ONE_WAY_LATENCY},
        runner::Runner,
    },
    bilberryfront::traffic::{
        send::{Exchange, Outgoing, Sent},
        upstream::{Engines, Failure, Result, RunnerEvent, Source},
    },
    bilberryfront_decide::event::Verdict,
    bilberryfront_wire::runner::{Generate, LoadReport},
    compact_str::CompactString,
    std::time::Duration,
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// A node's client for generations, calls and load reports at the runners.
#[derive(Clone)]
pub(crate) struct RunnerClient {
    pub(crate) name: CompactString,
    pub(crate) gate: Gate,
    pub(crate) fleet: Fleet,
    pub(crate) net: Net,
}

/// An open stream from a runner.
pub(crate) struct Stream {
    runner_client: RunnerClient,
    runner: CompactString,
    events: mpsc::UnboundedReceiver<Result<RunnerEvent>>,
}

impl RunnerClient {
    /// Returns the runner's load report, if the runner is reachable and running.
    pub(crate) fn load(&self, url: &str) -> Option<LoadReport> {
        let runner = self.fleet.runner_at(url)?;
        let reached = self.net.is_connected(&self.name, &runner.name);
        runner.load().filter(|_| reached)
    }

    async fn connect(&self, url: &str) -> Option<Runner> {
        self.gate.wait_until_running().await;
        sleep(ONE_WAY_LATENCY).await;
        let runner =
            self.fleet.runner_at(url).filter(|r| r.gate.process_state() != ProcessState::Dead)?;
        if !self.net.is_connected(&self.name, &runner.name) {
            sleep(IDLE_TIMEOUT).await;
            return None;
        }
        Some(runner)
    }
}

impl Engines for RunnerClient {
    type Stream = Stream;

    async fn open(&self, url: &str, generate: &Generate, wait: Duration) -> Result<Stream> {
        let Some(runner) = self.connect(url).await else {
            return Err(Failure::Lost(Verdict::Broken));
        };
        let opened = timeout(wait, runner.open(&self.name, generate)).await;
        self.gate.wait_until_running().await;
        match opened {
            Ok(events) => {
                Ok(Stream { runner_client: self.clone(), runner: runner.name, events: events? })
            }
            Err(_) => Err(Failure::Lost(Verdict::Stalled)),
        }
    }
}

impl Source for Stream {
    async fn next(&mut self, wait: Duration) -> Result<RunnerEvent> {
        let Stream { runner_client, runner, events } = self;
        let next = async {
            runner_client.net.wait_until_connected(&runner_client.name, runner).await;
            events.recv().await
        };
        let next = timeout(wait, next).await;
        runner_client.gate.wait_until_running().await;
        match next {
            Ok(Some(events)) => events,
            Ok(None) => Err(Failure::Lost(Verdict::Garbled)),
            Err(_) => Err(Failure::Lost(Verdict::Stalled)),
        }
    }

    fn try_next(&mut self) -> Option<Result<RunnerEvent>> {
        let is_connected =
            self.runner_client.net.is_connected(&self.runner_client.name, &self.runner);
        if is_connected { self.events.try_recv().ok() } else { None }
    }
}

impl Exchange for RunnerClient {
    async fn send(&self, call: Outgoing, wait: Duration) -> Sent {
        let Some(runner) = self.connect(&call.url).await else {
            return Sent::NotSent("no connection".into());
        };
        let answer = async {
            let answer = runner.receive_call(call).await;
            self.net.wait_until_connected(&self.name, &runner.name).await;
            answer
        };
        let answer = timeout(wait, answer).await;
        self.gate.wait_until_running().await;
        match answer {
            Ok(Ok(reply)) => Sent::Answer(reply),
            Ok(Err(_)) => Sent::Unknown("the runner closed the connection".into()),
            Err(_) => Sent::Unknown("no reply from the runner before the time-out".into()),
        }
    }
}

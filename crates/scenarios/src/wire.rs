//! A node's way to the runners.

use {
    crate::{
        fleet::Fleet,
        gate::{Gate, Life},
        net::{IDLE, Net, WAY},
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

/// A node's way to the runners.
#[derive(Clone)]
pub(crate) struct Wire {
    pub(crate) name: CompactString,
    pub(crate) gate: Gate,
    pub(crate) fleet: Fleet,
    pub(crate) net: Net,
}

/// A runner's open stream.
pub(crate) struct Stream {
    wire: Wire,
    runner: CompactString,
    said: mpsc::UnboundedReceiver<Result<RunnerEvent>>,
}

impl Wire {
    /// The runner's load report, if one comes.
    pub(crate) fn load(&self, url: &str) -> Option<LoadReport> {
        let runner = self.fleet.at(url)?;
        let reached = self.net.joins(&self.name, &runner.name);
        runner.load().filter(|_| reached)
    }

    async fn reach(&self, url: &str) -> Option<Runner> {
        self.gate.pass().await;
        sleep(WAY).await;
        let runner = self.fleet.at(url).filter(|r| r.gate.life() != Life::Dead)?;
        if !self.net.joins(&self.name, &runner.name) {
            sleep(IDLE).await;
            return None;
        }
        Some(runner)
    }
}

impl Engines for Wire {
    type Stream = Stream;

    async fn open(&self, url: &str, generate: &Generate, wait: Duration) -> Result<Stream> {
        let Some(runner) = self.reach(url).await else {
            return Err(Failure::Lost(Verdict::Broken));
        };
        let opened = timeout(wait, runner.open(&self.name, generate)).await;
        self.gate.pass().await;
        match opened {
            Ok(said) => Ok(Stream { wire: self.clone(), runner: runner.name, said: said? }),
            Err(_) => Err(Failure::Lost(Verdict::Stalled)),
        }
    }
}

impl Source for Stream {
    async fn next(&mut self, wait: Duration) -> Result<RunnerEvent> {
        let Stream { wire, runner, said } = self;
        let next = async {
            wire.net.joined(&wire.name, runner).await;
            said.recv().await
        };
        let next = timeout(wait, next).await;
        wire.gate.pass().await;
        match next {
            Ok(Some(said)) => said,
            Ok(None) => Err(Failure::Lost(Verdict::Garbled)),
            Err(_) => Err(Failure::Lost(Verdict::Stalled)),
        }
    }

    fn try_next(&mut self) -> Option<Result<RunnerEvent>> {
        let joins = self.wire.net.joins(&self.wire.name, &self.runner);
        if joins { self.said.try_recv().ok() } else { None }
    }
}

impl Exchange for Wire {
    async fn send(&self, call: Outgoing, wait: Duration) -> Sent {
        let Some(runner) = self.reach(&call.url).await else {
            return Sent::NotSent("no connection".into());
        };
        let answer = async {
            let answer = runner.read(call).await;
            self.net.joined(&self.name, &runner.name).await;
            answer
        };
        let answer = timeout(wait, answer).await;
        self.gate.pass().await;
        match answer {
            Ok(Ok(reply)) => Sent::Answer(reply),
            Ok(Err(_)) => Sent::Unknown("the runner closed the connection".into()),
            Err(_) => Sent::Unknown("the runner was silent".into()),
        }
    }
}

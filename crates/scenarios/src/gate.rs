//! Pauses, resumes or permanently stops the tasks of a simulated node or runner.

use std::{
    future::poll_fn,
    mem,
    pin::pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, Waker},
};

/// State of a simulated process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ProcessState {
    #[default]
    Running,
    /// Its tasks aren't polled; timers that expire meanwhile fire when it resumes.
    Paused,
    /// Its tasks are never polled again.
    Dead,
}

/// Controls whether the tasks of one process are polled; clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gate {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    process: ProcessState,
    wakers: Vec<Waker>,
}

impl Gate {
    /// Returns the state of the process.
    pub(crate) fn process_state(&self) -> ProcessState {
        self.state.lock().unwrap().process
    }

    /// Sets the state and wakes all waiting tasks, so that they check it again.
    pub(crate) fn set(&self, process: ProcessState) {
        let mut state = self.state.lock().unwrap();
        state.process = process;
        let wakers = mem::take(&mut state.wakers);
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Runs a future as a task of the process: it is polled only while the process runs.
    pub(crate) async fn run<F: Future>(self, work: F) -> F::Output {
        let mut work = pin!(work);
        poll_fn(|cx| match self.register_if_stopped(cx) {
            true => Poll::Pending,
            false => work.as_mut().poll(cx),
        })
        .await
    }

    /// Waits until the process runs. Tasks that the product spawns itself are not wrapped in
    /// [`Gate::run`]; they are stopped here instead, at every exchange with a fake.
    pub(crate) async fn wait_until_running(&self) {
        self.clone().run(async {}).await;
    }

    fn register_if_stopped(&self, cx: &Context<'_>) -> bool {
        let mut state = self.state.lock().unwrap();
        let is_stopped = state.process != ProcessState::Running;
        if is_stopped {
            state.wakers.push(cx.waker().clone());
        }
        is_stopped
    }
}

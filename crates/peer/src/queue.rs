//! What waits to be sent to one node.

use {
    crate::codec::{Class, Frame},
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{Mutex, MutexGuard},
    },
    tokio::sync::Notify,
};

/// Most control messages that wait; past it the oldest is dropped.
const CONTROL: usize = 32;

/// A bounded queue: control messages, the last heartbeat and the last catalogue.
///
/// A node that doesn't read must cost neither memory nor time here: pushing never waits, and a
/// heartbeat that wasn't sent is worthless once the next one is there.
pub(super) struct Queue {
    state: Mutex<State>,
    wake: Notify,
    back: Notify,
}

struct State {
    address: SocketAddr,
    control: VecDeque<Frame>,
    heartbeat: Option<Frame>,
    catalog: Option<Frame>,
    closed: bool,
}

impl State {
    fn pop(&mut self) -> Option<Frame> {
        let next = self.control.pop_front().or_else(|| self.heartbeat.take());
        next.or_else(|| self.catalog.take())
    }
}

impl Queue {
    pub(super) fn new(address: SocketAddr) -> Queue {
        let state = State {
            address,
            control: VecDeque::new(),
            heartbeat: None,
            catalog: None,
            closed: false,
        };
        Queue { state: Mutex::new(state), wake: Notify::new(), back: Notify::new() }
    }

    /// Adds a frame and takes over the node's address; false when another frame was dropped for it.
    pub(super) fn push(&self, address: SocketAddr, frame: Frame) -> bool {
        let mut state = self.state();
        state.address = address;
        let dropped = match frame.class {
            Class::Catalog => state.catalog.replace(frame),
            Class::Control if frame.latest => state.heartbeat.replace(frame),
            Class::Control => {
                state.control.push_back(frame);
                if state.control.len() > CONTROL { state.control.pop_front() } else { None }
            }
        };
        self.wake.notify_one();
        dropped.is_none()
    }

    /// Waits for the next frame; `None` when the queue is closed and empty.
    pub(super) async fn next(&self) -> Option<Frame> {
        loop {
            {
                let mut state = self.state();
                let next = state.pop();
                if next.is_some() || state.closed {
                    return next;
                }
            }
            self.wake.notified().await;
        }
    }

    /// Says that the node has connected to this one.
    pub(super) fn announce(&self) {
        self.back.notify_one();
    }

    /// Waits until the node connects to this one.
    pub(super) async fn announced(&self) {
        self.back.notified().await;
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.state().address
    }

    pub(super) fn is_empty(&self) -> bool {
        let state = self.state();
        state.control.is_empty() && state.heartbeat.is_none() && state.catalog.is_none()
    }

    pub(super) fn close(&self) {
        self.state().closed = true;
        self.wake.notify_one();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

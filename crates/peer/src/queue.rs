//! Send queue of one node.

use {
    crate::codec::{Class, Frame},
    rustls_pki_types::CertificateDer,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{Mutex, MutexGuard},
    },
    tokio::sync::Notify,
};

/// Capacity for control and table frames; when it is exceeded, the oldest is dropped.
const CONTROL_QUEUE_LEN: usize = 32;

/// Bounded queue with a slot each for the latest heartbeat and the latest catalogue. Pushing never
/// blocks.
pub(super) struct Queue {
    state: Mutex<State>,
    changed: Notify,
    incoming: Notify,
}

struct State {
    address: SocketAddr,
    control: VecDeque<Frame>,
    heartbeat: Option<Frame>,
    catalog: Option<Frame>,
    /// Certificate of the node in its last connection to this one.
    certificate: Option<CertificateDer<'static>>,
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
            certificate: None,
            closed: false,
        };
        Queue { state: Mutex::new(state), changed: Notify::new(), incoming: Notify::new() }
    }

    /// Pushes a frame and updates the node's address; false if an earlier frame was dropped for it.
    pub(super) fn push(&self, address: SocketAddr, frame: Frame) -> bool {
        let mut state = self.state();
        state.address = address;
        let dropped = match frame.class {
            Class::Catalog => state.catalog.replace(frame),
            Class::Control if frame.latest => state.heartbeat.replace(frame),
            Class::Control | Class::Table => {
                state.control.push_back(frame);
                if state.control.len() > CONTROL_QUEUE_LEN {
                    state.control.pop_front()
                } else {
                    None
                }
            }
        };
        self.changed.notify_one();
        dropped.is_none()
    }

    /// Waits for the next frame; `None` once the queue is closed and empty.
    pub(super) async fn next(&self) -> Option<Frame> {
        loop {
            {
                let mut state = self.state();
                let next = state.pop();
                if next.is_some() || state.closed {
                    return next;
                }
            }
            self.changed.notified().await;
        }
    }

    /// Signals an incoming connection from the node.
    pub(super) fn notify_incoming(&self, certificate: CertificateDer<'static>) {
        self.state().certificate = Some(certificate);
        self.incoming.notify_one();
    }

    /// Waits for an incoming connection from the node.
    pub(super) async fn incoming(&self) {
        self.incoming.notified().await;
    }

    /// Returns the certificate of the node in its last connection to this one.
    pub(super) fn certificate(&self) -> Option<CertificateDer<'static>> {
        self.state().certificate.clone()
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
        self.changed.notify_one();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

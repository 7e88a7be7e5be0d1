//! Connections to runners and their pools.

mod watch;

use {
    self::watch::{Watch, Watched},
    crate::{
        framing::{BadHead, Framing, has_no_body},
        network::{Network, write_first::WriteFirst},
    },
    bytes::Bytes,
    compact_str::CompactString,
    http::{Request, header, response::Parts},
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        task::AbortHandle,
        time::Instant,
    },
};

/// Result with a [`SendError`].
pub type Result<T> = std::result::Result<T, SendError>;

/// Connect timeout; shorter than the retransmission timeout of a lost SYN packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout assumed for runners that do not advertise one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Share of the runner's idle timeout after which a connection is no longer reused, since a request
/// that is sent while the runner closes the connection is lost.
const IDLE_SHARE: f64 = 0.6;
/// Maximum number of idle connections per runner.
const MAX_IDLE: usize = 16;

/// Why a send got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SendError {
    /// No request was sent.
    #[error("cannot connect")]
    Unsent,
    /// No request was sent, as this node is partitioned from the runners, and no other node reaches them.
    #[error("no path to the runners")]
    NoPath,
    /// Connection error after the request was sent.
    #[error("connection closed before the response was complete")]
    Disconnected,
    /// The head of the response cannot be relied on.
    #[error("malformed response: {0}")]
    Malformed(BadHead),
    /// Timeout after the request was sent.
    #[error("no response before the deadline")]
    Timeout,
}

/// Kind of a request on a connection, by what its response can be recognized by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// Request of a caller; its response bears this attempt id.
    Call(CompactString),
    /// Control request, or request to the store; its response bears no id.
    WithoutId,
    /// Replication request; its response bears no id, but is unlike those to other control requests.
    Replication,
}

impl Exchange {
    /// Returns whether a second copy of the response to this exchange could be taken for the response to
    /// `next`.
    fn resembles(&self, next: &Exchange) -> bool {
        match (self, next) {
            (Exchange::Call(id), Exchange::Call(next)) => id == next,
            (Exchange::Replication, Exchange::Replication) => true,
            _ => false,
        }
    }
}

/// A response whose head was checked, with its unread body.
#[derive(Debug)]
pub struct Response {
    /// Head.
    pub parts: Parts,
    /// Body.
    pub body: Incoming,
    /// How the end of the body is stated.
    pub framing: Framing,
}

/// HTTP/1 connection for one request at a time; dropping it closes the connection and cancels the
/// request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    tunneled: bool,
    /// The last exchange; `None` on a new connection.
    last: Option<Exchange>,
    watch: Rc<RefCell<Watch>>,
}

impl Connection {
    /// Connects to a runner.
    pub async fn connect<N: Network>(network: &N, address: SocketAddr) -> Result<Connection> {
        let connecting = network.connect(address, CONNECT_TIMEOUT).await;
        Connection::over(connecting.map_err(|_| SendError::Unsent)?, false).await
    }

    /// Starts a connection over an open stream. `tunneled` states whether it runs through another node.
    pub async fn over(
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        tunneled: bool,
    ) -> Result<Connection> {
        let watch = Rc::<RefCell<Watch>>::default();
        let stream = Watched::new(WriteFirst::new(stream), watch.clone());
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| SendError::Unsent)?;
        let run = async move {
            // Errors are reported by the request or by the next use of the connection.
            _ = connection.await;
        };
        let task = tokio::task::spawn_local(run).abort_handle();
        Ok(Connection { sender, task, tunneled, last: None, watch })
    }

    /// Returns whether the connection runs through another node.
    pub fn is_tunneled(&self) -> bool {
        self.tunneled
    }

    /// Sends a request and waits until `until` for the response head.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        exchange: &Exchange,
        until: Instant,
    ) -> Result<Response> {
        self.last = Some(exchange.clone());
        self.watch.borrow_mut().begin();
        let method = request.method().clone();
        let sending = tokio::time::timeout_at(until, self.sender.try_send_request(request));
        let response = sending.await.map_err(|_| SendError::Timeout)?;
        let response = response.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::Unsent,
            None => SendError::Disconnected,
        })?;
        let (parts, body) = response.into_parts();
        let framing = Framing::of(&method, &parts).map_err(SendError::Malformed)?;
        let length =
            parts.headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
        let length = length.filter(|_| !has_no_body(&method, parts.status));
        self.watch.borrow_mut().set_length(length);
        Ok(Response { parts, body, framing })
    }

    /// Checks a response whose body was read.
    ///
    /// # Errors
    ///
    /// Fails if more has arrived than the stated length, other than another response.
    pub fn check_length(&self) -> Result<()> {
        match self.watch.borrow().has_surplus() {
            true => Err(SendError::Malformed(BadHead::Length)),
            false => Ok(()),
        }
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Returns whether a late copy of the last response would be noticed in place of the next one.
    fn is_suited(&self, next: &Exchange) -> bool {
        self.last.as_ref().is_none_or(|last| !last.resembles(next))
    }
}

impl Drop for Connection {
    /// Aborts the connection's task. Otherwise hyper would continue to write to a runner that does
    /// not read.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections to one runner.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Idle>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

impl Pool {
    /// Takes the most recently used connection that is still usable and suited for the exchange.
    pub fn take(&mut self, now: Instant, next: &Exchange) -> Option<Connection> {
        for index in (0..self.idle.len()).rev() {
            let idle = &self.idle[index];
            let is_usable = now < idle.until && idle.connection.is_usable();
            if is_usable && !idle.connection.is_suited(next) {
                continue;
            }
            let connection = self.idle.remove(index).connection;
            if is_usable {
                return Some(connection);
            }
        }
        None
    }

    /// Adds an idle connection; `limit` is the runner's idle timeout.
    pub fn put(&mut self, now: Instant, connection: Connection, limit: Option<Duration>) {
        self.idle.retain(|i| now < i.until);
        if self.idle.len() < MAX_IDLE {
            let until = now + limit.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.mul_f64(IDLE_SHARE));
            self.idle.push(Idle { connection, until });
        }
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}

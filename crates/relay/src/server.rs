//! Listeners and their connections.

use {
    crate::{
        catalog::Limits,
        dialect::Dialect,
        ending::{CallerBody, CallerStream, Ending},
        handler::Handler,
        network::Network,
        view::Published,
    },
    http::{Request, Response},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type},
    std::{cell::Cell, convert::Infallible, io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Listen backlog; beyond it, SYN packets are dropped, and callers retransmit them after a second.
const BACKLOG: i32 = 1_024;
/// `TCP_USER_TIMEOUT` and keep-alive idle time of connections from callers.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, which mostly fails for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a new connection is kept open for its first request when idle ones are closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Kind of requests that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Callers' requests.
    Requests,
    /// Queries about this node.
    Queries,
    /// Metrics scrapes.
    Metrics,
}

/// Opens a listening socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts and serves connections; a change of `close` closes idle ones. Callers' connections are not
/// accepted from then on, since a request on a new one could arrive while the process exits. Those that
/// the kernel has established by then are still served: closing the listener would reset them.
pub async fn serve<D: Dialect, N: Network>(
    listener: TcpListener,
    purpose: Purpose,
    handler: Handler<D, N>,
    close: watch::Receiver<bool>,
) {
    let mut closing = close.clone();
    let start = |stream| start_connection(stream, purpose, &handler, &close);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed(), if purpose == Purpose::Requests => break,
        };
        match accepted {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(error) = accept_established(listener, start) {
        log::warn!("cannot accept the last connections: {error}");
    }
}

/// Accepts the connections that the kernel has established, and closes the listener.
fn accept_established(listener: TcpListener, start: impl Fn(TcpStream)) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                start(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

fn start_connection<D: Dialect, N: Network>(
    stream: TcpStream,
    purpose: Purpose,
    handler: &Handler<D, N>,
    close: &watch::Receiver<bool>,
) {
    match configure(&stream) {
        Ok(()) => {
            let ending = Ending::default();
            let stream = CallerStream::new(stream, ending.clone());
            let serving = serve_connection(stream, ending, purpose, handler.clone(), close.clone());
            _ = tokio::task::spawn_local(serving);
        }
        // The caller has already disconnected.
        Err(error) => log::debug!("cannot configure a connection: {error}"),
    }
}

/// Serves a connection whose stream shares `ending`; a change of `close` closes it once it is idle.
pub async fn serve_connection<D: Dialect, N: Network>(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    ending: Ending,
    purpose: Purpose,
    handler: Handler<D, N>,
    mut close: watch::Receiver<bool>,
) {
    let _open = (purpose == Purpose::Requests).then(|| handler.traffic.track_connection());
    let limits = limits(&handler.traffic.published);
    let is_new = Cell::new(true);
    let service = service_fn(|request| {
        is_new.set(false);
        respond(&handler, &ending, purpose, request)
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // hyper applies this timeout to idle connections as well as to reading a head.
        .header_read_timeout(limits.idle.max(limits.reading))
        .max_buf_size(limits.head.max(MIN_BUFFER_BYTES));
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    loop {
        tokio::select! {
            // Errors are caused by the caller.
            _ = serving.as_mut() => return,
            changed = close.changed() => match changed {
                Ok(()) => {
                    let first = timeout(FIRST_REQUEST_TIMEOUT, serving.as_mut());
                    if is_new.get() && first.await.is_ok() {
                        return;
                    }
                    serving.as_mut().graceful_shutdown();
                }
                Err(_) => {
                    _ = serving.await;
                    return;
                }
            },
        }
    }
}

async fn respond<D: Dialect, N: Network>(
    handler: &Handler<D, N>,
    ending: &Ending,
    purpose: Purpose,
    request: Request<Incoming>,
) -> Result<Response<CallerBody>, Infallible> {
    let (method, version) = (request.method().clone(), request.version());
    let response = match purpose {
        Purpose::Requests => handler.handle_request(request).await,
        Purpose::Queries => handler.handle_query(&request),
        Purpose::Metrics => handler.handle_metrics(),
    };
    Ok(ending.prepare(&method, version, response))
}

fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(USER_TIMEOUT))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

fn limits(published: &Published) -> Limits {
    published.load().catalog.as_ref().map_or_else(Limits::default, |c| c.limits)
}

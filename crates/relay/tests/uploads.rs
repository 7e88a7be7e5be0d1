//! Ends of responses while the request is still being written, over sockets.

use {
    bilberryfront_relay::{
        framing::Framing,
        network::connect_tcp,
        pool::{Connection, Exchange},
    },
    bytes::Bytes,
    http::Request,
    http_body_util::{BodyExt, Full},
    std::{
        io::{Read, Write},
        net::{Shutdown, TcpListener, TcpStream},
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{
        task::LocalSet,
        time::{Instant, timeout},
    },
};

/// More than the receive buffer of the runner holds, and more than the buffers of both sockets.
const REQUEST_SIZES: [usize; 2] = [1 << 20, 16 << 20];
/// Longer than it takes to see the end of the response.
const PAUSE: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a response that waits for its request must end.
const STALL_LIMIT: Duration = Duration::from_millis(1_200);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nfirst part";

/// Sends a request of `size` bytes to a runner that answers at once, ends its side of the connection, and then does
/// `rest`. Returns the body of the response, and the time until its end.
async fn send(
    size: usize,
    rest: impl FnOnce(TcpStream) + Send + 'static,
) -> (hyper::Result<Bytes>, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runner: JoinHandle<()> = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; 1024]).unwrap();
        stream.write_all(RESPONSE).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        thread::sleep(PAUSE);
        rest(stream);
    });
    let start = Instant::now();
    let exchange = async {
        let stream = connect_tcp(address, TIMEOUT).await.unwrap();
        let mut connection = Connection::over(stream, false).await.unwrap();
        let request = Request::post("/").body(Full::from(vec![b'x'; size])).unwrap();
        let until = Instant::now() + TIMEOUT;
        let response = connection.send(request, &Exchange::Call("a1".into()), until).await.unwrap();
        assert_eq!(response.framing, Framing::Close);
        timeout(TIMEOUT, response.body.collect()).await.unwrap().map(|body| body.to_bytes())
    };
    let body = LocalSet::new().run_until(exchange).await;
    let time = start.elapsed();
    runner.join().unwrap();
    (body, time)
}

/// Guards against a response that is taken for complete although the runner has reset the connection within the
/// request.
#[tokio::test]
async fn response_is_incomplete_if_the_rest_of_the_request_is_reset() {
    for size in REQUEST_SIZES {
        let (body, _) = send(size, drop).await;
        assert!(body.is_err(), "{size} bytes: {body:?}");
    }
}

/// Guards against the loss of early responses of runners that read the rest of the request.
#[tokio::test]
async fn early_response_is_complete_if_the_rest_of_the_request_is_read() {
    let read_rest = |mut stream: TcpStream| while stream.read(&mut [0; 1 << 16]).unwrap() > 0 {};
    for size in REQUEST_SIZES {
        assert_eq!(send(size, read_rest).await.0.unwrap(), b"first part".as_slice());
    }
}

/// Guards against a call that waits for the rest of its request, which the runner neither reads nor resets.
#[tokio::test]
async fn response_is_incomplete_if_the_rest_of_the_request_is_left_unread() {
    let leave = |_: TcpStream| thread::sleep(2 * STALL_LIMIT);
    for size in REQUEST_SIZES {
        let (body, time) = send(size, leave).await;
        assert!(body.is_err(), "{size} bytes: {body:?}");
        assert!(time < STALL_LIMIT, "{size} bytes: {time:?}");
    }
}

//! A caller that keeps the bytes that it receives, and how they frame a response.

use {
    super::case::field,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(20);

/// How a response ended at the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Seen {
    /// As its framing states.
    Complete,
    /// By a regular close, without any framing.
    UntilClose,
    Cut,
    /// Not a response.
    Malformed,
}

/// A response as its caller received it.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) head: String,
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
    /// Bytes after the response.
    pub(crate) rest: Vec<u8>,
    pub(crate) seen: Seen,
}

impl Received {
    /// Parses the bytes that a caller has received; `closed` tells whether its connection was closed regularly.
    fn parse(bytes: &[u8], closed: bool) -> Received {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let (head, body) = bytes.split_at(end.map_or(bytes.len(), |end| end + 4));
        let head = String::from_utf8_lossy(head).into_owned();
        let status = head.get(9..12).and_then(|text| text.parse().ok()).unwrap_or_default();
        let mut received =
            Received { head, status, body: body.to_vec(), rest: Vec::new(), seen: Seen::Cut };
        if end.is_none() {
            return received;
        }
        let length = field(&received.head, "content-length").map(str::parse::<usize>);
        match (length, field(&received.head, "transfer-encoding")) {
            (Some(Ok(length)), None) if body.len() >= length => {
                received.rest = received.body.split_off(length);
                received.seen = Seen::Complete;
            }
            (Some(Ok(_)), None) => {}
            (None, Some("chunked")) => received.decode_chunks(),
            (None, None) if closed => received.seen = Seen::UntilClose,
            (None, None) => {}
            _ => received.seen = Seen::Malformed,
        }
        if !is_head(&received.head) {
            received.seen = Seen::Malformed;
        }
        received
    }

    fn decode_chunks(&mut self) {
        let bytes = std::mem::take(&mut self.body);
        let mut left = &bytes[..];
        while let Some(end) = left.windows(2).position(|window| window == b"\r\n") {
            let size = std::str::from_utf8(&left[..end]).ok();
            let Some(size) = size.and_then(|text| usize::from_str_radix(text, 16).ok()) else {
                self.seen = Seen::Malformed;
                return;
            };
            let Some((chunk, after)) = left[end + 2..].split_at_checked(size + 2) else {
                return self.body.extend(left[end + 2..].iter().take(size));
            };
            self.body.extend(&chunk[..size]);
            left = after;
            if size == 0 {
                (self.seen, self.rest) = (Seen::Complete, left.to_vec());
                return;
            }
        }
    }
}

/// Returns whether the head of a response is valid, and holds no corrupted field.
fn is_head(head: &str) -> bool {
    let mut lines = head.trim_end_matches("\r\n").split("\r\n");
    let status = lines.next().unwrap();
    let is_status = ["HTTP/1.1 ", "HTTP/1.0 "].iter().any(|version| status.starts_with(version));
    let is_name = |name: &str| {
        !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    };
    let is_field = |line: &str| line.split_once(':').is_some_and(|(name, _)| is_name(name));
    let is_corrupted =
        ["x-spo", "lengsh", "encodin:", "chunkd"].iter().any(|text| head.contains(text));
    let count = |name: &str| {
        let lines = head.split("\r\n").filter_map(|line| line.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).count()
    };
    let framings = count("content-length") + count("transfer-encoding");
    is_status && lines.all(is_field) && !is_corrupted && framings <= 1
}

/// Sends a request, and after a complete response another one on the same connection.
pub(crate) async fn call(callers: SocketAddr, request: &str, length: usize) -> Received {
    let stream = TcpStream::connect(callers).await.unwrap();
    let (mut read, mut write) = stream.into_split();
    let sending = async {
        // The connection may be closed meanwhile.
        _ = write.write_all(request.as_bytes()).await;
        _ = write.write_all(&vec![b'x'; length]).await;
        write
    };
    let mut bytes = Vec::new();
    let receiving = async {
        loop {
            let mut buffer = [0; 4096];
            let count = read.read(&mut buffer).await;
            bytes.extend(&buffer[..*count.as_ref().unwrap_or(&0)]);
            let received = Received::parse(&bytes, matches!(count, Ok(0)));
            if received.seen == Seen::Complete || !matches!(count, Ok(1..)) {
                return (received, read);
            }
        }
    };
    let both = timeout(TIMEOUT, async { tokio::join!(sending, receiving) });
    let (mut write, (mut received, mut read)) = both.await.expect("the response ends in time");
    if received.seen == Seen::Complete && field(&received.head, "connection") != Some("close") {
        _ = write
            .write_all(
                b"GET /none HTTP/1.1\r\nhost: desk.example\r\nx-bilberryfront-attempt-id: f\r\n\
                  authorization: Bearer k1\r\nconnection: close\r\n\r\n",
            )
            .await;
        _ = timeout(TIMEOUT, read.read_to_end(&mut received.rest)).await;
        if received.rest.starts_with(b"HTTP/1.1 404 ") {
            received.rest.clear();
        }
    }
    received
}

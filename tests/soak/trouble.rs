//! Responses of runners in trouble: corrupted heads, and bodies that break off.

use {
    super::runner::Body,
    async_stream::stream,
    bytes::Bytes,
    http::{Response, Version},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    rand::Rng,
    std::{io, time::Duration},
    tokio::time::sleep,
};

/// Time between the last bytes of a body and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// How a response is corrupted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trouble {
    /// Text of the head, and the text of the same length that is sent instead.
    head: [&'static str; 2],
    end: End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    /// Regular close between two events.
    Between,
    /// Regular close within an event.
    Within,
    Reset,
    /// Response without reading the request, and a reset.
    Early,
}

/// Response to a long upload that is still written.
pub(crate) const EARLY: Trouble = unframed(End::Early);
/// Troubles of any response.
pub(crate) const TROUBLES: [Trouble; 10] = [
    unframed(End::Whole),
    unframed(End::Between),
    unframed(End::Within),
    unframed(End::Reset),
    corrupted("HTTP/1.1 200", "HTTP/1.1 000"),
    corrupted("-encoding: chunked", "-encoding: chunkd "),
    corrupted("x-spare-length: 9", "content-length: x"),
    corrupted("x-spare-length: 9", "content-length: 9"),
    corrupted("server-stamp: ", "server-stamp  "),
    corrupted("server-stamp: ", "server\x01stamp: "),
];

/// The server closes the connection after a response of HTTP/1.0.
const fn unframed(end: End) -> Trouble {
    Trouble { head: ["HTTP/1.0", "HTTP/1.1"], end }
}

const fn corrupted(head: &'static str, sent: &'static str) -> Trouble {
    Trouble { head: [head, sent], end: End::Whole }
}

impl Trouble {
    /// Returns whether the response states no end of its body.
    pub(crate) fn is_unframed(self) -> bool {
        self.head[0] == "HTTP/1.0"
    }

    pub(crate) fn is_early(self) -> bool {
        self.end == End::Early
    }

    pub(crate) fn is_reset(self) -> bool {
        matches!(self.end, End::Reset | End::Early)
    }

    /// Returns a name of the fault.
    pub(crate) fn name(self) -> &'static str {
        match self.end {
            End::Whole => self.head[1],
            End::Between => "cut between events",
            End::Within => "cut within an event",
            End::Reset => "cut by a reset",
            End::Early => "early response",
        }
    }

    /// Returns the bytes that are sent instead of these, if they hold the head.
    pub(crate) fn corrupt(self, bytes: &[u8]) -> Option<Vec<u8>> {
        let [head, sent] = self.head.map(str::as_bytes);
        let at = bytes.windows(head.len()).position(|window| window == head)?;
        Some([&bytes[..at], sent, &bytes[at + head.len()..]].concat())
    }

    /// Removes the length of a response, and cuts its body.
    pub(crate) fn apply(self, response: Response<Body>) -> Response<Body> {
        let (mut parts, body) = response.into_parts();
        let is_stream = parts.headers.contains_key("content-type");
        let value = |text: &'static str| text.parse().expect("a valid header");
        parts.headers.insert("x-spare-length", value("9"));
        if self.is_unframed() {
            parts.version = Version::HTTP_10;
            parts.headers.insert("connection", value("close"));
        }
        let frames = match self.end {
            End::Whole => usize::MAX,
            _ if is_stream => rand::rng().random_range(0..60),
            _ => 0,
        };
        Response::from_parts(parts, self.cut(body, frames))
    }

    /// Cuts a body after some frames.
    fn cut(self, mut body: Body, frames: usize) -> Body {
        let frames = stream! {
            for _ in 0..frames {
                let Some(frame) = body.frame().await else { return };
                yield frame;
            }
            if self.end == End::Between {
                return;
            }
            if let Some(Ok(frame)) = body.frame().await {
                let data: Bytes = frame.into_data().unwrap_or_default();
                yield Ok(Frame::data(data.slice(..data.len() / 2)));
            }
            if self.is_reset() {
                sleep(RESET_DELAY).await;
                yield Err(io::ErrorKind::ConnectionReset.into());
            }
        };
        StreamBody::new(frames).boxed_unsync()
    }
}

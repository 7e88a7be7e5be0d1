//! Decoders of data from sockets, with invalid bytes: they return errors, never panic, and use
//! bounded memory. The decoder of peer messages is tested in `peer_codec.rs`.

use {
    bilberryfront::{
        catalogue,
        operator::message::Proposal,
        platform::http::{PlatformError, Service},
        settings::{self, Settings, locate::Document},
        traffic::{
            body, completions,
            upstream::{Failure, RunnerEvent, Source, Upstream},
        },
    },
    bilberryfront_decide::{event::Verdict, generation::event_id::EventId},
    bilberryfront_standins::server::Handle,
    bilberryfront_wire::{
        completion::FinishReason,
        instance::InstanceList,
        problem::Run,
        runner::{Finish, LoadReport, Token},
        table::{Committed, Rows},
    },
    bytes::Bytes,
    futures_util::stream::{self, StreamExt},
    http::header,
    http_body::Frame,
    quickcheck::{Arbitrary, Gen},
    serde::de::DeserializeOwned,
    std::{sync::Arc, time::Duration},
    sync_wrapper::SyncStream,
    tokio::time::{Instant, sleep},
    volo_http::{
        body::Body,
        response::Response,
        server::route::{Router, get},
    },
};

const SEED: u64 = 0xdec0de;
/// Cases for each decoder and kind of invalid input.
const CASES: u64 = 3_000;
/// Fragments that are likely to break a decoder.
const FRAGMENTS: &[&[u8]] = &[
    b"99999999999999999999999999",
    b"-1",
    b"1e999",
    b"null",
    b"\"\\ud800\"",
    b"\xff\xfe",
    b"\xe2\x82",
    b"\0",
    b"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
    b"{\"\":",
    b"\n\n",
    b"\r",
    b"/*",
    b"data: ",
    b"id: ",
    b"event: finish\n",
];

/// Calls a decoder with random bytes, and with valid messages that were changed in a few places.
fn fuzz(valid: &[&str], mut decode: impl FnMut(&[u8])) {
    for case in 0..CASES {
        let mut g = Gen::from_size_and_seed(200, SEED + case);
        decode(&Vec::<u8>::arbitrary(&mut g));
        decode(&mutated(&mut g, valid));
    }
    for nested in [b'[', b'{', b'"'] {
        decode(&vec![nested; 200_000]);
    }
}

fn mutated(g: &mut Gen, valid: &[&str]) -> Vec<u8> {
    let mut bytes = g.choose(valid).unwrap().as_bytes().to_vec();
    for _ in 0..1 + usize::arbitrary(g) % 4 {
        let at = usize::arbitrary(g) % (bytes.len() + 1);
        match u8::arbitrary(g) % 4 {
            0 if at < bytes.len() => bytes[at] = u8::arbitrary(g),
            1 => bytes.truncate(at),
            2 => drop(bytes.splice(at..at, g.choose(FRAGMENTS).unwrap().iter().copied())),
            _ => {
                let end = (at + usize::arbitrary(g) % 20).min(bytes.len());
                bytes.drain(at..end);
            }
        }
    }
    bytes
}

fn fuzz_json<T: DeserializeOwned>(valid: &[&str]) {
    for text in valid {
        assert!(serde_json::from_str::<T>(text).is_ok(), "{text}");
    }
    fuzz(valid, |bytes| _ = serde_json::from_slice::<T>(bytes));
}

#[test]
fn completion_requests() {
    let valid = [
        r#"{"model": "m", "prompt": "p"}"#,
        r#"{"model": "m", "prompt": "é\n", "max_tokens": 7, "stream": true, "resume": "abc"}"#,
    ];
    assert!(valid.iter().all(|text| completions::parse(text.as_bytes()).is_ok()));
    fuzz(&valid, |bytes| {
        if let Err(problem) = completions::parse(bytes) {
            assert_eq!((problem.status, problem.run), (400, Run::NotRun));
            assert!(problem.detail.contains("line"), "{}", problem.detail);
        }
    });
}

#[test]
fn event_ids() {
    let valid = ["0123abcd.1.77.00ff00ff00ff00ff.2026-11", "r.4294967295.4294967295.0.v.1"];
    assert!(valid.iter().all(|id| id.parse::<EventId>().is_ok()));
    fuzz(&valid, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        if let Ok(id) = text.parse::<EventId>() {
            assert_eq!(id.to_string().parse(), Ok(id), "{text}");
        }
    });
}

#[test]
fn replies_of_the_platform() {
    fuzz_json::<Committed>(&[r#"{"results": [{"done": 3}, {"conflict": 1}, "aborted"]}"#]);
    fuzz_json::<Rows>(&[r#"{"rows": [{"key": "a", "revision": 2, "value": "{}"}]}"#]);
    fuzz_json::<InstanceList>(&[concat!(
        r#"{"revision": 9, "instances": [{"name": "n", "kind": "engine", "url": "http://h:1", "#,
        r#""domain": "d", "entry": "e", "version": "v", "state": "live", "fenced": true}]}"#
    )]);
}

#[test]
fn load_reports() {
    fuzz_json::<LoadReport>(&[concat!(
        r#"{"version": "v1", "running": 1, "waiting": 0, "slots": 8, "leaving": false, "#,
        r#""cache": [{"sequence": 1, "prefix": 18446744073709551615, "held": true}]}"#
    )]);
}

#[test]
fn proposals_of_operators() {
    fuzz_json::<Proposal>(&[concat!(
        r#"{"expect": 1, "apply": "a", "comment": "", "#,
        r#""catalogue": {"accounts": [], "entries": []}}"#
    )]);
}

#[test]
fn catalogues() {
    let good = include_str!("data/catalogue/good.jsonc");
    let document =
        |bytes: &[u8]| Document::new("catalogue.jsonc".into(), &String::from_utf8_lossy(bytes));
    assert!(catalogue::parse(&document(good.as_bytes())).is_ok());
    fuzz(&[good], |bytes| _ = catalogue::parse(&document(bytes)));
}

#[test]
fn settings_files() {
    let good = include_str!("data/settings/good.jsonc");
    let document =
        |bytes: &[u8]| Document::new("node.jsonc".into(), &String::from_utf8_lossy(bytes));
    assert!(document(good.as_bytes()).parse::<Settings>().is_ok());
    fuzz(&[good], |bytes| {
        let document = document(bytes);
        if let Ok(settings) = document.parse::<Settings>() {
            _ = settings::check::find_faults(&document, &settings);
        }
    });
}

/// Returns a runner's response whose body consists of these frames.
fn answer(frames: Vec<Bytes>) -> Response {
    let frames = stream::iter(frames).map(|bytes| Ok(Frame::data(bytes)));
    http::Response::builder()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .body(Body::from_stream(SyncStream::new(frames)))
        .unwrap()
}

/// Reads a runner's stream until its first failure; returns the events and that failure.
async fn read(frames: Vec<Bytes>) -> (Vec<RunnerEvent>, Failure) {
    let mut upstream = Upstream::new(answer(frames)).unwrap();
    let mut events = Vec::new();
    loop {
        match upstream.next(Duration::from_secs(1)).await {
            Ok(event) => events.push(event),
            Err(failure) => return (events, failure),
        }
    }
}

/// Splits bytes into frames of at most `max_bytes` bytes.
fn frames(bytes: &[u8], max_bytes: usize) -> Vec<Bytes> {
    bytes.chunks(max_bytes).map(Bytes::copy_from_slice).collect()
}

const STREAM: &str = concat!(
    "id: 1:0\ndata: {\"index\":0,\"text\":\"één \"}\n\n",
    "id: 1:1\ndata: {\"index\":1,\"text\":\"漢字🦀\"}\n\n",
    "event: finish\ndata: {\"tokens\":2,\"reason\":\"stop\"}\n\ndata: [DONE]\n\n"
);

fn tokens() -> [Token; 2] {
    [Token { index: 0, text: "één ".into() }, Token { index: 1, text: "漢字🦀".into() }]
}

/// Guards against tokens that depend on the frame boundaries, including boundaries within a
/// character.
#[tokio::test]
async fn runner_events_in_any_frames() {
    let [zero, one] = tokens();
    let finish = Finish { tokens: 2, reason: FinishReason::Stop };
    let expected = [
        RunnerEvent::Token(1, zero),
        RunnerEvent::Token(1, one),
        RunnerEvent::Finish(finish),
        RunnerEvent::Done,
    ];
    for text in [STREAM.to_owned(), STREAM.replace('\n', "\r\n")] {
        for max_bytes in (1..40).chain([text.len()]) {
            let (events, failure) = read(frames(text.as_bytes(), max_bytes)).await;
            assert_eq!(events, expected, "frames of {max_bytes}");
            assert_eq!(failure, Failure::Lost(Verdict::Garbled));
        }
    }
}

/// Guards against invalid UTF-8 in a token. Decoded lossily it would reach the caller altered and
/// unnoticed, so the stream must end as garbled.
#[tokio::test]
async fn token_with_invalid_utf8() {
    let zero = "id: 1:0\ndata: {\"index\":0,\"text\":\"a\"}\n\n".as_bytes();
    for bad in [&b"\xff\xfe"[..], b"\xe2\x82", b"\xed\xa0\x80", b"\xc0\xaf", b"\xf0\x9f\xa6"] {
        let one = [b"id: 1:1\ndata: {\"index\":1,\"text\":\"", bad, b"\"}\n\n"].concat();
        for max_bytes in [1, 7, 1_000] {
            let all = [frames(zero, max_bytes), frames(&one, max_bytes)].concat();
            let (events, failure) = read(all).await;
            assert_eq!(
                events,
                [RunnerEvent::Token(1, Token { index: 0, text: "a".into() })],
                "{bad:?}"
            );
            assert_eq!(failure, Failure::Lost(Verdict::Garbled));
        }
    }
}

/// Guards against an event without an end: the stream must end as garbled after a bounded number of
/// bytes.
#[tokio::test]
async fn event_without_an_end() {
    let line = Bytes::from_static(&[b'x'; 4_096]);
    for start in ["data: ", ":", "data: a\ndata: "] {
        let first = stream::iter([Bytes::from(start)]);
        let (bytes_read, counter) = counted();
        let rest = stream::repeat(line.clone()).inspect(move |frame| counter(frame.len()));
        let all = first.chain(rest).map(|bytes| Ok(Frame::data(bytes)));
        let response = http::Response::builder()
            .header(header::CONTENT_TYPE, "text/event-stream")
            .body(Body::from_stream(SyncStream::new(all)))
            .unwrap();
        let mut upstream = Upstream::new(response).unwrap();
        let failure = upstream.next(Duration::from_secs(1)).await.unwrap_err();
        assert_eq!(failure, Failure::Lost(Verdict::Garbled));
        assert!(bytes_read() < 128 << 10, "{} bytes were read", bytes_read());
    }
}

fn counted() -> (impl Fn() -> usize, impl Fn(usize)) {
    use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
    let read = Arc::new(AtomicUsize::new(0));
    let write = read.clone();
    (move || read.load(Relaxed), move |bytes| _ = write.fetch_add(bytes, Relaxed))
}

/// Guards against events that are not in the bytes, and a stream that does not end with a failure.
#[tokio::test]
async fn runner_events_with_invalid_bytes() {
    for case in 0..CASES {
        let mut g = Gen::from_size_and_seed(300, SEED + case);
        let max_bytes = 1 + usize::arbitrary(&mut g) % 64;
        _ = read(frames(&Vec::<u8>::arbitrary(&mut g), max_bytes)).await;
        let bad = mutated(&mut g, &[STREAM]);
        let (events, _) = read(frames(&bad, max_bytes)).await;
        // An event with invalid bytes, and all events after it, must not be returned.
        let good = bad.utf8_chunks().next().map_or("", |chunk| chunk.valid());
        let max_events = good.matches("data:").count() + good.matches("event").count();
        assert!(events.len() <= max_events, "{events:?} of {good}");
        assert!(!format!("{events:?}").contains('\u{fffd}'), "{events:?}");
    }
}

/// Guards against a request body that is sent too slowly: it is rejected after the time limit.
#[tokio::test(start_paused = true)]
async fn slow_body() {
    let bytes = stream::repeat(Bytes::from_static(b" ")).then(async |byte| {
        sleep(Duration::from_secs(1)).await;
        Ok(Frame::data(byte))
    });
    let before = Instant::now();
    let body = Body::from_stream(SyncStream::new(Box::pin(bytes)));
    let problem = body::read(body, 1 << 20).await.unwrap_err();
    assert_eq!((problem.status, problem.run), (408, Run::NotRun));
    assert_eq!(before.elapsed(), Duration::from_secs(10));
}

/// Guards against an endless response of a runner or a platform service: reading stops after a
/// bounded number of bytes, long before the timeout.
#[tokio::test]
async fn endless_response() {
    async fn endless() -> Body {
        let frames = stream::repeat(Bytes::from_static(&[b' '; 4_096])).then(async |bytes| {
            sleep(Duration::from_millis(1)).await;
            Ok(Frame::data(bytes))
        });
        Body::from_stream(SyncStream::new(Box::pin(frames)))
    }
    let router = Router::new().route("/load", get(endless));
    let handle = Handle::start("127.0.0.1:0".parse().unwrap(), router, Arc::default()).unwrap();
    let service = Service::new(handle.url().into(), Duration::from_secs(10));
    let answer = service.with_response_limit(1 << 16).get::<LoadReport>("/load").await;
    assert!(matches!(answer, Err(PlatformError::Lost(why)) if why.contains("length")));
}

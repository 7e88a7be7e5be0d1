//! Runners that send bytes without end that are no answer.

use {
    super::support::{Deployment, ENGINES, Script, ms, run_local},
    http_body_util::BodyExt,
    std::time::Duration,
    tokio::time::{Instant, timeout},
};

/// Caller's deadline.
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Time after the deadline until which a request must have ended.
const SLACK: Duration = Duration::from_millis(500);
/// Pieces that are not the next event of a stream that has sent one event.
const PIECES: [&str; 7] = [
    ": comment\n\n",
    ": comment\n",
    "\n\n",
    "\r\n\r\n",
    "event: ping\n\n",
    "id: 1\ndata: token 1\n\n",
    "data: no id\n\n",
];

fn headers() -> [(&'static str, &'static str); 3] {
    [
        ("x-bilberryfront-token-counts", "5000,100"),
        ("x-bilberryfront-prompt-prefix", "a1:200,b7:4800"),
        ("x-bilberryfront-deadline-ms", "2500"),
    ]
}

/// Sends a request to runners that all send `piece` again and again, `gap` apart, after `events` events;
/// returns the status and the time until the response ended.
async fn receive(piece: &'static str, events: u64, gap: Duration) -> (u16, Duration) {
    let script = Script::Endless { events, piece, gap };
    let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &script);
    let start = Instant::now();
    let receive = async {
        let response = deployment.send("/stream/1", &headers()).await;
        let status = response.status().as_u16();
        // The stream is broken off.
        _ = response.into_body().collect().await;
        status
    };
    let status = timeout(DEADLINE * 4, receive).await.unwrap_or_default();
    (status, start.elapsed())
}

/// Guards against streams that go on past their deadline because their runners send something that is no
/// event of the stream, before the first one or after it.
#[tokio::test(start_paused = true)]
async fn stream_without_answers_ends_at_its_deadline() {
    for piece in PIECES {
        for events in [0, 1] {
            // Events without an id may be all that a stream has.
            let status = match (events, piece) {
                (0, "data: no id\n\n" | "id: 1\ndata: token 1\n\n") | (1, _) => 200,
                _ => 504,
            };
            let (received, time) = run_local(receive(piece, events, ms(20))).await;
            assert_eq!(received, status, "{piece:?} after {events} events");
            assert!(time <= DEADLINE + SLACK, "{piece:?} after {events} events: {time:?}");
        }
    }
}

/// Guards against timeouts that are never checked, because there is always something to read.
#[tokio::test]
async fn stream_of_bytes_at_full_speed_ends_at_its_deadline() {
    for piece in PIECES {
        let (_, time) = run_local(receive(piece, 1, Duration::ZERO)).await;
        assert!(time <= DEADLINE + SLACK, "{piece:?}: {time:?}");
    }
}

/// Guards against a stream that stays at a runner which sends comments instead of events.
#[tokio::test(start_paused = true)]
async fn stream_of_comments_is_continued_by_another_runner() {
    run_local(async {
        let script = Script::Endless { events: 12, piece: ": comment\n\n", gap: ms(20) };
        let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &script);
        let response = deployment.send("/stream/1", &headers()).await;
        let used = deployment.runners.iter().find(|r| r.request_count() > 0).unwrap();
        for runner in deployment.runners.iter().filter(|r| r.id != used.id) {
            runner.script.replace(Script::Events {
                last: 20,
                gap: ms(20),
                end: super::support::StreamEnd::Complete,
            });
        }
        let body = timeout(DEADLINE * 4, response.into_body().collect()).await;
        let text = body.expect("the stream ends").unwrap().to_bytes();
        let text = String::from_utf8(text.to_vec()).unwrap();
        let ids: Vec<u64> =
            text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect();
        assert_eq!(ids, (1..=20).collect::<Vec<u64>>());
    })
    .await;
}

/// Guards against a body that is not the runner's whole body, because its comments are left out.
#[tokio::test(start_paused = true)]
async fn comments_are_forwarded_with_the_events() {
    run_local(async {
        let text = ": first\n\nid: 1\ndata: a\n\n: between\n\nid: 2\ndata: b\n\n: last\n\n";
        let deployment = Deployment::new(ENGINES, &["a", "b"], &Script::Unframed(text));
        let received = deployment.serve("/stream/1", &headers()).await;
        assert_eq!((received.text.as_str(), received.is_complete), (text, true));
    })
    .await;
}

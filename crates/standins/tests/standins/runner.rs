//! Streams, orders and faults of the stand-in engine.

use {
    crate::client::{ANY, generate, get, log, new_request, post, start_runner},
    bilberryfront_standins::{
        faults::{After, Faults, Lose, Reject, When},
        list::List,
        runner::{Ended, Runner, RunnerConfig},
        text::{Answer, Sampling, token},
    },
    bilberryfront_wire::{
        completion::FinishReason,
        instance::InstanceList,
        runner::{Finish, LoadReport, Order, OrderKind},
    },
    http::{StatusCode, header},
    std::time::Duration,
};

/// One-shot fault after four tokens.
const AFTER_FOUR_TOKENS: Option<After> = Some(After { tokens: 4, once: true });

#[tokio::test]
async fn streams_the_whole_answer() {
    let runner = start_runner().await;
    let stream = generate(&runner, &new_request()).await;
    let expected: String =
        (0..10).map(|index| token("v1", "a question", index, Sampling::Same)).collect();
    assert_eq!(stream.text(), expected);
    assert_eq!(stream.tokens[3].0, "1:3");
    assert_eq!(stream.finish, Some(Finish { tokens: 10, reason: FinishReason::Stop }));
    assert!(stream.done && !stream.broken);
}

#[tokio::test]
async fn ends_at_max_tokens() {
    let runner = start_runner().await;
    let mut request = new_request();
    request.max_tokens = 6;
    let stream = generate(&runner, &request).await;
    assert_eq!(stream.tokens.len(), 6);
    assert_eq!(stream.finish, Some(Finish { tokens: 6, reason: FinishReason::Length }));
}

#[tokio::test]
async fn resumed_generation_continues_the_text() {
    let runner = start_runner().await;
    let full_text = generate(&runner, &new_request()).await.text();
    let answer = Answer::new("v1", "a question", Sampling::Same, None);
    for index in 0..=10 {
        let mut request = new_request();
        request.attempt = 2;
        request.index = index;
        request.prefix = answer.text(index);
        let rest = generate(&runner, &request).await;
        assert_eq!(request.prefix + &rest.text(), full_text);
        assert!(rest.done);
    }
    assert!(log(&runner).await.calls.iter().all(|call| call.coherent));
}

#[test]
fn derived_answers_vary_in_length_and_are_not_ascii() {
    let answer = |prompt: &str| Answer::new("v1", prompt, Sampling::Same, None);
    let first = answer("a").finish(u32::MAX).tokens;
    assert_ne!(first, answer("b").finish(u32::MAX).tokens);
    assert!(!answer("a").text(first).is_ascii());
}

#[tokio::test]
async fn rejects_another_version() {
    let runner = start_runner().await;
    let mut request = new_request();
    request.version = "v2".into();
    let response = post(&format!("{}/generate", runner.url()), &request).await.unwrap();
    assert_eq!(response.status(), StatusCode::CONFLICT);
    assert_eq!(log(&runner).await.calls[0].ended, Some(Ended::Refused));
}

/// Guards against a cut that loses tokens which the log counts as written: tests that count tokens
/// across a cut rely on the log. The next stream is complete because the fault is one-shot.
#[tokio::test]
async fn cuts_a_stream_after_the_given_tokens() {
    let runner = start_runner().await;
    runner.faults.set(Faults { cut: AFTER_FOUR_TOKENS, ..Faults::default() });
    let cut = generate(&runner, &new_request()).await;
    assert_eq!(cut.indices(), [0, 1, 2, 3]);
    assert!(cut.broken && !cut.done);
    assert!(generate(&runner, &new_request()).await.done);
    let log = log(&runner).await;
    assert_eq!((log.calls[0].written, log.calls[0].ended), (4, Some(Ended::Cut)));
}

/// The HTTP body ends correctly; only the missing last events show that the stream is incomplete.
#[tokio::test]
async fn ends_early_without_finish() {
    let runner = start_runner().await;
    runner.faults.set(Faults { end: AFTER_FOUR_TOKENS, ..Faults::default() });
    let early = generate(&runner, &new_request()).await;
    assert_eq!(early.indices(), [0, 1, 2, 3]);
    assert!(!early.broken && !early.done && early.finish.is_none());
}

/// Apart from the one with an invalid event, these streams end with all their last events, but a
/// token is missing or repeated, ids have the wrong attempt, or the text differs between attempts.
#[tokio::test]
async fn injects_faults_into_streams() {
    let runner = start_runner().await;
    let full_text = generate(&runner, &new_request()).await.text();

    runner.faults.set(Faults { skip: AFTER_FOUR_TOKENS, ..Faults::default() });
    assert_eq!(generate(&runner, &new_request()).await.indices(), [0, 1, 2, 3, 5, 6, 7, 8, 9]);

    runner.faults.set(Faults { repeat: AFTER_FOUR_TOKENS, ..Faults::default() });
    assert_eq!(
        generate(&runner, &new_request()).await.indices(),
        [0, 1, 2, 3, 4, 4, 5, 6, 7, 8, 9]
    );

    runner.faults.set(Faults { garbage: AFTER_FOUR_TOKENS, ..Faults::default() });
    assert!(generate(&runner, &new_request()).await.broken);

    runner.faults.set(Faults { shift: 1, ..Faults::default() });
    assert_eq!(generate(&runner, &new_request()).await.tokens[0].0, "2:0");

    runner.faults.set(Faults { differs: true, ..Faults::default() });
    assert_ne!(generate(&runner, &new_request()).await.text(), full_text);
}

/// A caller that receives a response head and then nothing closes the connection. The runner's log
/// must record the cancellation, because tests of the product count them.
#[tokio::test]
async fn closing_a_stalled_stream_cancels_it() {
    let runner = start_runner().await;
    let after = Some(After { tokens: 0, once: false });
    runner.faults.set(Faults { stall: after, ..Faults::default() });
    let url = format!("{}/generate", runner.url());
    let response = post(&url, &new_request()).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    drop(response);
    while log(&runner).await.cancelled == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(log(&runner).await.calls[0].ended, Some(Ended::Cancelled));
}

/// The first call is rejected with `Retry-After`; the second is read but gets no response, so that
/// its caller cannot know whether it was executed.
#[tokio::test]
async fn rejects_a_call_or_closes_without_a_response() {
    let runner = start_runner().await;
    let url = format!("{}/generate", runner.url());
    let reject = Reject { status: 503, retry: Some(7), path: "/generate".into(), once: true };
    runner.faults.set(Faults { reject: Some(reject), ..Faults::default() });
    let response = post(&url, &new_request()).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()[header::RETRY_AFTER], "7");

    let lose = Lose { effect: false, hang: false, path: "".into(), once: true };
    runner.faults.set(Faults { lose: Some(lose), ..Faults::default() });
    assert!(post(&url, &new_request()).await.is_none());
    assert!(log(&runner).await.calls.is_empty());
    assert!(generate(&runner, &new_request()).await.done);
}

/// After a pause the stream continues with the next token. A node that has resumed the generation on
/// another runner meanwhile receives these tokens late, with the old attempt number.
#[tokio::test]
async fn paused_stream_continues() {
    let pace = Duration::from_millis(1);
    let config = RunnerConfig { pace, answer: Some(50), ..RunnerConfig::default() };
    let runner = Runner::start(ANY, config).await.unwrap();
    let request = new_request();
    let pause = async {
        while log(&runner).await.calls.first().is_none_or(|call| call.written == 0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        runner.faults.set(Faults { pause: true, ..Faults::default() });
        log(&runner).await;
        runner.faults.set(Faults::default());
    };
    let (stream, ()) = tokio::join!(generate(&runner, &request), pause);
    assert_eq!(stream.indices(), (0..50).collect::<Vec<_>>());
    assert!(stream.done);
}

/// The runner rejects calls while the bad version is loaded, and no longer after a roll-back.
#[tokio::test]
async fn version_condition_limits_faults_to_one_version() {
    let runner = start_runner().await;
    let reject = Reject { status: 500, retry: None, path: "/generate".into(), once: false };
    let when = When { version: "v2".into(), ..When::default() };
    runner.faults.set(Faults { reject: Some(reject), when, ..Faults::default() });
    for (version, status) in [("v1", 200), ("v2", 500), ("v1", 200)] {
        let kind = OrderKind::Load { version: version.into() };
        let order = Order { fence: 1, kind };
        let ordered = post(&format!("{}/orders", runner.url()), &order).await.unwrap();
        assert_eq!(ordered.status(), StatusCode::NO_CONTENT);
        let mut request = new_request();
        request.version = version.into();
        let response = post(&format!("{}/generate", runner.url()), &request).await.unwrap();
        assert_eq!(response.status().as_u16(), status);
    }
}

/// The first call succeeds and the second fails.
#[tokio::test]
async fn calls_condition_delays_faults() {
    let runner = start_runner().await;
    let when = When { calls: 2, ..When::default() };
    runner.faults.set(Faults { end: AFTER_FOUR_TOKENS, when, ..Faults::default() });
    assert!(generate(&runner, &new_request()).await.done);
    assert!(!generate(&runner, &new_request()).await.done);
}

/// The connection fails in the middle of a stream, and no new one is accepted.
#[tokio::test]
async fn death_aborts_streams() {
    let runner = start_runner().await;
    let after = Some(After { tokens: 4, once: false });
    runner.faults.set(Faults { stall: after, ..Faults::default() });
    let request = new_request();
    let stream = generate(&runner, &request);
    let death = async {
        while log(&runner).await.calls.first().is_none_or(|call| call.written < 4) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        runner.faults.set(Faults { die: true, ..Faults::default() });
    };
    let (stream, ()) = tokio::join!(stream, death);
    assert!(stream.broken && !stream.done);
    assert!(post(&format!("{}/generate", runner.url()), &new_request()).await.is_none());
}

#[tokio::test]
async fn fenced_runner_rejects_outdated_orders() {
    let runner = start_runner().await;
    let url = format!("{}/orders", runner.url());
    let load =
        |fence, version: &str| Order { fence, kind: OrderKind::Load { version: version.into() } };
    let status = async |order| post(&url, &order).await.unwrap().status();
    assert_eq!(status(load(2, "v2")).await, StatusCode::NO_CONTENT);
    assert_eq!(status(load(2, "v2")).await, StatusCode::NO_CONTENT);
    assert_eq!(status(load(1, "v1")).await, StatusCode::CONFLICT);
    let report: LoadReport = get(&format!("{}/load", runner.url())).await;
    assert_eq!(report.version, "v2");

    runner.faults.set(Faults { unfenced: true, ..Faults::default() });
    assert_eq!(status(load(1, "v1")).await, StatusCode::NO_CONTENT);
    let report: LoadReport = get(&format!("{}/load", runner.url())).await;
    assert_eq!(report.version, "v1");
}

#[tokio::test]
async fn draining_runner_rejects_new_requests() {
    let runner = start_runner().await;
    let order = Order { fence: 1, kind: OrderKind::Drain };
    post(&format!("{}/orders", runner.url()), &order).await.unwrap();
    let response = post(&format!("{}/generate", runner.url()), &new_request()).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let report: LoadReport = get(&format!("{}/load", runner.url())).await;
    assert!(report.leaving);
}

#[tokio::test]
async fn reports_cache_events_with_gaps() {
    let runner = start_runner().await;
    for prompt in ["a", "b", "a"] {
        let mut request = new_request();
        request.prompt = prompt.into();
        generate(&runner, &request).await;
    }
    let sequences = async || {
        let report: LoadReport = get(&format!("{}/load", runner.url())).await;
        report.cache.iter().map(|event| event.sequence).collect::<Vec<_>>()
    };
    assert_eq!(sequences().await, [1, 2]);
    runner.faults.set(Faults { gaps: true, ..Faults::default() });
    assert_eq!(sequences().await, [2]);
}

#[tokio::test]
async fn registers_in_the_instance_list() {
    let list = List::start(ANY, Duration::ZERO).await.unwrap();
    let config = RunnerConfig { list: Some(list.url().into()), ..RunnerConfig::default() };
    let runner = Runner::start(ANY, config).await.unwrap();
    let listed: InstanceList = get(&format!("{}/instances", list.url())).await;
    assert_eq!(listed.instances[0].url, runner.url());
}

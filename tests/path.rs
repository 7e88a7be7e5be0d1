//! Streamed requests from caller to runner and back, through processes.

use {
    bilberryfront_harness::{
        caller::{Caller, Received},
        fleet::{CALLER_KEY, Fleet},
    },
    bilberryfront_standins::faults::{After, Faults},
};

#[path = "support/deployment.rs"]
mod deployment;
#[path = "support/programs.rs"]
mod programs;

use deployment::{TOKENS, expected, fleet, request};

async fn stream(fleet: &Fleet) -> Received {
    Caller::new(CALLER_KEY).stream(&fleet.urls(), &request(), |_| {}).await.unwrap()
}

/// Guards against an incomplete response when runners close their connections during a stream. Each
/// runner does so once: the node resumes at the other runner from the next index, and after the
/// second cut at the first one again.
#[tokio::test]
async fn cut_stream_resumes_at_another_runner() {
    let fleet = fleet(&["runner-a", "runner-b"], &["node-a"]).await;
    for runner in &fleet.runners {
        let cut = Some(After { tokens: 30, once: true });
        fleet.faults(runner, &Faults { cut, ..Faults::default() }).await.unwrap();
    }
    let received = stream(&fleet).await;
    assert_eq!(received.text, expected());
    assert_eq!((received.tokens, received.resumes), (TOKENS, 0));
}

/// Guards against invalid events that are forwarded to the caller. Each runner once skips an event,
/// repeats one, ends without a finish event, sends garbage or stalls; the node resumes at another
/// runner.
#[tokio::test]
async fn invalid_streams_resume_at_another_runner() {
    let fleet = fleet(&["runner-a", "runner-b"], &["node-a"]).await;
    let after = Some(After { tokens: 40, once: true });
    let faults = [
        Faults { skip: after, ..Faults::default() },
        Faults { repeat: after, ..Faults::default() },
        Faults { end: after, ..Faults::default() },
        Faults { garbage: after, ..Faults::default() },
        Faults { stall: after, ..Faults::default() },
    ];
    for fault in faults {
        for runner in &fleet.runners {
            fleet.faults(runner, &fault).await.unwrap();
        }
        let received = stream(&fleet).await;
        assert_eq!(received.text, expected(), "{fault:?}");
        assert_eq!(received.tokens, TOKENS, "{fault:?}");
    }
}

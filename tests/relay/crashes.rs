//! Requests that crash the runners that run them.

use {
    super::support::{Deployment, ENGINES, PLAIN, Runner, Script, StreamEnd, call, ms, run_local},
    bilberryfront_relay::quarantine::{MAX_CRASHES, QUARANTINE_TIME, Quarantine},
    bytes::Bytes,
    futures_util::future::join_all,
    std::rc::Rc,
    tokio::time::{Instant, sleep},
};

const EVENTS: Script = Script::Events { last: 30, gap: ms(30), end: StreamEnd::Complete };

/// Makes all requests crash the runner that runs them.
fn arm(runner: &Rc<Runner>) {
    runner.crash_body.replace(Some(Bytes::from_static(b"{}")));
}

/// Guards against a plain call that is retried on one runner after the other, although it crashes all
/// of them, and against a quarantine without end.
#[tokio::test(start_paused = true)]
async fn call_that_crashes_runners_is_quarantined_until_it_expires() {
    run_local(async {
        let deployment = Deployment::new(PLAIN, &["a"; 6], &Script::Hang);
        deployment.runners.iter().for_each(arm);
        for _ in 0..4 {
            deployment.serve("/look/1", &[]).await;
        }
        assert_eq!(deployment.request_count(), MAX_CRASHES);
        let rejected = deployment.serve("/look/1", &[]).await;
        assert_eq!(rejected.status, 503);
        let retry: f64 = rejected.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(retry > 60.0, "{retry}");
        assert_eq!(deployment.serve("/look/2", &[]).await.status, 502, "another path");

        for runner in &deployment.runners {
            runner.is_crashed.set(false);
            runner.crash_body.replace(None);
            runner.script.replace(Script::Respond(200, "found"));
        }
        assert_eq!(deployment.serve("/look/1", &[]).await.status, 503);
        sleep(QUARANTINE_TIME.mul_f64(1.25)).await;
        assert_eq!(deployment.serve("/look/1", &[]).await.status, 200);
        assert!(deployment.traffic.quarantine.is_empty());
    })
    .await;
}

/// Guards against blaming the requests on runners that crash together, as in an outage of their
/// failure domain.
#[tokio::test(start_paused = true)]
async fn requests_are_not_blamed_for_an_outage() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "a", "b", "b", "c", "c"], &EVENTS);
        for domain in ["a", "b", "c"] {
            let streams = (0..6).map(|_| deployment.serve("/stream/1", &[]));
            let outage = async {
                sleep(ms(300)).await;
                let near = || deployment.runners.iter().filter(|r| r.domain == domain);
                near().for_each(|runner| runner.crash());
                sleep(ms(700)).await;
                near().for_each(|runner| runner.is_crashed.set(false));
            };
            let (received, ()) = tokio::join!(join_all(streams), outage);
            assert!(received.iter().all(|r| r.event_ids().len() == 30), "{domain}");
        }
        assert!(deployment.traffic.quarantine.is_empty());
    })
    .await;
}

/// Guards against blaming a request that is sent to runners which have already crashed, if something
/// accepts and closes its connections.
#[tokio::test(start_paused = true)]
async fn request_is_not_blamed_for_runners_that_had_crashed_before() {
    let quarantine = Quarantine::default();
    let (cause, late) = (call("/stream/1", &[]), call("/stream/2", &[]));
    for runner in 0..MAX_CRASHES as u64 {
        let sent_at = Instant::now();
        sleep(ms(300)).await;
        quarantine.record_crash(&cause, runner, sent_at);
        sleep(ms(300)).await;
        let sent_at = Instant::now();
        sleep(ms(5)).await;
        quarantine.record_crash(&late, runner, sent_at);
    }
    assert!(quarantine.time_left(&cause).is_some());
    assert!(quarantine.time_left(&late).is_none());
}

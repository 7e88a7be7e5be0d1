//! Requests that crash the runners that run them.

use {
    super::support::{
        Deployment, ENGINES, PLAIN, Partition, Runner, Script, StreamEnd, call, ms, run_local,
    },
    bilberryfront_relay::quarantine::{MAX_CRASHES, QUARANTINE_TIME, Quarantine, RunnerCrash},
    bytes::Bytes,
    futures_util::future::join_all,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
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
        quarantine.record_crash(&cause, &RunnerCrash::now(runner, sent_at, Some(Duration::ZERO)));
        sleep(ms(300)).await;
        let sent_at = Instant::now();
        sleep(ms(5)).await;
        quarantine.record_crash(&late, &RunnerCrash::now(runner, sent_at, Some(Duration::ZERO)));
    }
    assert!(quarantine.time_left(&cause).is_some());
    assert!(quarantine.time_left(&late).is_none());
}

/// Guards against crashes that are discarded as an outage although another request, or another copy of the
/// same one, crashed another runner at the same time.
#[tokio::test(start_paused = true)]
async fn requests_that_crash_runners_at_the_same_time_are_quarantined() {
    let quarantine = Quarantine::default();
    let (one, other) = (call("/stream/1", &[]), call("/stream/2", &[]));
    for round in 0..2 {
        let sent_at = Instant::now();
        sleep(ms(300)).await;
        for (runner, request) in [(0, &one), (1, &one), (2, &other)] {
            quarantine.record_crash(
                request,
                &RunnerCrash::now(round * 3 + runner, sent_at, Some(Duration::ZERO)),
            );
            sleep(ms(10)).await;
        }
    }
    assert!(quarantine.time_left(&one).is_some());
    let sent_at = Instant::now();
    sleep(ms(300)).await;
    quarantine.record_crash(&other, &RunnerCrash::now(9, sent_at, Some(Duration::ZERO)));
    assert!(quarantine.time_left(&other).is_some());
}

/// Guards against a sound stream that is quarantined because it ran on several runners that crashed by
/// themselves.
#[tokio::test(start_paused = true)]
async fn stream_is_not_blamed_for_crashes_long_after_its_first_event() {
    run_local(async {
        let long = Script::Events { last: 300, gap: ms(30), end: StreamEnd::Complete };
        let deployment = Deployment::new(ENGINES, &["a"; 6], &long);
        let crash = async {
            for _ in 0..MAX_CRASHES {
                sleep(ms(1_500)).await;
                let running = deployment.runners.iter().find(|r| r.running_streams() > 0);
                running.expect("the stream runs").crash();
            }
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &[]), crash);
        assert_eq!(received.event_ids().len(), 300);
        assert!(deployment.traffic.quarantine.is_empty());
    })
    .await;
}

/// Guards against crashes that a node does not notice because it is partitioned and reaches the runners
/// only through others.
#[tokio::test(start_paused = true)]
async fn request_is_quarantined_by_a_partitioned_node() {
    for partition in [Partition::Refuse, Partition::Hang] {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a"; 8], &EVENTS);
            deployment.partition(Some(partition));
            assert_eq!(deployment.serve("/stream/2", &[]).await.status, 200);
            let before = deployment.request_count();
            deployment.runners.iter().for_each(arm);
            for _ in 0..4 {
                deployment.serve("/stream/1", &[]).await;
            }
            assert_eq!(deployment.request_count() - before, MAX_CRASHES, "{partition:?}");
        })
        .await;
    }
}

/// Guards against a request that is not blamed for runners which fell silent and turned out to have ended,
/// and against one that is blamed for runners which go on.
#[tokio::test(start_paused = true)]
async fn request_is_blamed_for_silent_runners_only_if_they_have_ended() {
    for has_ended in [true, false] {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a", "b", "c", "a", "b", "c"], &EVENTS);
            let mut requests = Vec::new();
            for _ in 0..MAX_CRASHES {
                let serving = deployment.clone();
                let request = async move { serving.serve("/stream/1", &[]).await };
                requests.push(tokio::task::spawn_local(request));
                sleep(ms(200)).await;
                let is_used = |r: &&Rc<Runner>| r.running_streams() > 0 && !r.is_paused();
                let runner = deployment.runners.iter().find(is_used).expect("it runs").clone();
                runner.pause();
                tokio::task::spawn_local(async move {
                    sleep(ms(2_500)).await;
                    match has_ended {
                        true => runner.is_crashed.set(true),
                        false => runner.unpause(),
                    }
                });
                // The silence is noticed, and the caller leaves before the runner's fate is known.
                sleep(ms(500)).await;
                requests.pop().unwrap().abort();
            }
            sleep(ms(5_000)).await;
            let request = call("/stream/1", &[]);
            assert_eq!(deployment.traffic.quarantine.time_left(&request).is_some(), has_ended);
        })
        .await;
    }
}

/// Guards against requests that are blamed for runners which this node does not reach, and which leave
/// meanwhile.
#[tokio::test(start_paused = true)]
async fn request_is_not_blamed_for_runners_that_leave_behind_a_partition() {
    run_local(async {
        let events = Script::Events { last: 400, gap: ms(30), end: StreamEnd::Complete };
        let deployment = Deployment::new(ENGINES, &["a", "b", "c", "a", "b", "c"], &events);
        let client = deployment.traffic.client.clone();
        let check = async move { _ = tokio::join!(client.recover(), client.check_suspected()) };
        let check = tokio::task::spawn_local(check);
        let mut requests = Vec::new();
        for _ in 0..2 * MAX_CRASHES {
            let serving = deployment.clone();
            requests.push(tokio::task::spawn_local(async move {
                serving.serve("/stream/1", &[]).await;
            }));
            sleep(ms(20)).await;
        }
        sleep(ms(100)).await;
        deployment.partition(Some(Partition::Hang));
        let fleet = &deployment.traffic.client.fleet;
        let serving = deployment.clone();
        requests.push(tokio::task::spawn_local(async move {
            serving.serve("/stream/2", &[]).await;
        }));
        let is_noticed = async {
            while fleet.partitions().is_empty() {
                sleep(ms(50)).await;
            }
        };
        timeout(ms(5_000), is_noticed).await.expect("the partition is noticed");
        let registrations = deployment.traffic.published.load().runners.clone();
        fleet.update(&registrations[5..]);
        sleep(ms(3_000)).await;
        check.abort();
        let request = call("/stream/1", &[]);
        assert!(!deployment.traffic.quarantine.is_suspect(&request));
        requests.iter().for_each(tokio::task::JoinHandle::abort);
    })
    .await;
}

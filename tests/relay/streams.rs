//! Streams of events.

use {
    super::support::{Deployment, ENGINES, PLAIN, Runner, Script, StreamEnd, ms, run_local},
    bilberryfront_decide::member::message::Restart,
    bilberryfront_relay::runner_client::CrashCheck,
    http_body_util::BodyExt,
    std::rc::Rc,
    tokio::time::{Instant, sleep},
};

const EVENTS: Script = Script::Events { last: 20, gap: ms_const(40), end: StreamEnd::Complete };
/// Headers of a prompt whose last segment is `b7`.
const PROMPT: [(&str, &str); 2] = [
    ("x-bilberryfront-token-counts", "5000,100"),
    ("x-bilberryfront-prompt-prefix", "a1:200,b7:4800"),
];

const fn ms_const(count: u64) -> std::time::Duration {
    std::time::Duration::from_millis(count)
}

fn all(last: u64) -> Vec<u64> {
    (1..=last).collect()
}

/// Returns the runner that has received a request, and the other runners.
fn split(deployment: &Deployment) -> (Rc<Runner>, Vec<Rc<Runner>>) {
    let (used, rest): (Vec<_>, Vec<_>) =
        deployment.runners.iter().cloned().partition(|r| r.request_count() > 0);
    (used[0].clone(), rest)
}

/// Guards against lost or repeated events when a runner crashes during a stream. The runner that
/// holds the KV copy resumes after the last event that the caller has received: the caller sees
/// each event once, one response head, and a pause far below the latency objective for the gap
/// between events.
#[tokio::test(start_paused = true)]
async fn a_stream_resumes_from_the_copy_when_its_runner_crashes() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "a", "b"], &EVENTS);
        let response = deployment.send("/stream/1", &PROMPT).await;
        let stamp = response.headers()["x-bilberryfront-server-stamp"].clone();
        let (first, rest) = split(&deployment);
        let backup = first.header("x-bilberryfront-kv-backup").unwrap();
        let holder = rest.iter().find(|r| r.address.to_string() == backup).unwrap();
        assert_ne!(
            first.domain, holder.domain,
            "a failure of the domain would lose the runner and the copy"
        );
        assert_eq!(stamp, first.id);
        let crash = async {
            sleep(ms(200)).await;
            first.crash();
            Instant::now()
        };
        let (crashed, body) = tokio::join!(crash, response.into_body().collect());
        let text = String::from_utf8(body.unwrap().to_bytes().to_vec()).unwrap();
        let ids: Vec<u64> =
            text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect();
        assert_eq!(ids, all(20));
        let resumed = holder.requests.borrow()[0].clone();
        assert!(resumed.at - crashed < ms(50), "resumed after {:?}", resumed.at - crashed);
        assert_eq!(resumed.headers["kv-from"], format!("{backup}/a1"));
        assert!(resumed.headers.contains_key("last-event-id"));
    })
    .await;
}

/// Guards against a gap above the objective of 700 ms when a runner becomes unresponsive without
/// closing the connection. The node moves the stream after 0.6 of the objective.
#[tokio::test(start_paused = true)]
async fn a_stream_leaves_an_unresponsive_runner_within_the_gap_objective() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
        let response = deployment.send("/stream/1", &PROMPT).await;
        let (first, _) = split(&deployment);
        let mut body = response.into_body();
        let (mut last, mut longest, mut count) = (Instant::now(), ms(0), 0);
        while let Some(frame) = body.frame().await {
            frame.unwrap();
            longest = longest.max(last.elapsed());
            last = Instant::now();
            count += 1;
            if count == 5 {
                first.is_unresponsive.set(true);
            }
        }
        assert_eq!(count, 20);
        assert!(longest < ms(700), "longest pause {longest:?}");
    })
    .await;
}

/// Guards against a stream without a KV copy after its holder has crashed: the runner must be asked
/// for a copy to a third runner, from which the stream resumes when the first runner crashes as
/// well.
#[tokio::test(start_paused = true)]
async fn a_copy_is_renewed_when_its_holder_crashes() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &EVENTS);
        let response = deployment.send("/stream/1", &PROMPT).await;
        let (first, rest) = split(&deployment);
        let backup = first.header("x-bilberryfront-kv-backup").unwrap();
        let (holder, third): (Vec<_>, Vec<_>) =
            rest.into_iter().partition(|r| r.address.to_string() == backup);
        let crashes = async {
            holder[0].crash();
            let place = deployment.traffic.client.fleet.find(&holder[0].id).unwrap();
            deployment.traffic.client.fleet.record_failure(place.key, Instant::now());
            sleep(ms(200)).await;
            assert_eq!(*first.copy_targets.borrow(), [third[0].address.to_string()]);
            first.crash();
            Instant::now()
        };
        let (crashed, body) = tokio::join!(crashes, response.into_body().collect());
        assert_eq!(body.unwrap().to_bytes().iter().filter(|b| **b == b':').count(), 2 * 20);
        let resumed = third[0].requests.borrow()[0].clone();
        assert_eq!(resumed.headers["kv-from"], format!("{}/h1", first.address));
        assert!(resumed.at - crashed < ms(50));
    })
    .await;
}

/// Guards against a copy request with each event. All other engines are recorded as failed,
/// although they are up again. The first copy that one of them accepts shows that it is up; if it
/// still counted as failed, each event would request another copy of a whole prompt and release the
/// previous one.
#[tokio::test(start_paused = true)]
async fn a_copy_is_not_requested_with_each_event() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &EVENTS);
        let response = deployment.send("/stream/1", &PROMPT).await;
        let (first, rest) = split(&deployment);
        let fleet = &deployment.traffic.client.fleet;
        for runner in rest {
            fleet.record_failure(fleet.find(&runner.id).unwrap().key, Instant::now());
        }
        response.into_body().collect().await.unwrap();
        assert_eq!(first.copy_targets.borrow().len(), 1, "{:?}", first.copy_targets.borrow());
    })
    .await;
}

/// Guards against a stream that is resumed at a runner of another service, which has got the address of
/// the replica's holder.
#[tokio::test(start_paused = true)]
async fn a_stream_is_not_resumed_at_another_service_on_the_address_of_its_replica() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
        let response = deployment.send("/stream/1", &PROMPT).await;
        let (first, _) = split(&deployment);
        let index = deployment.runners.iter().position(|r| r.id != first.id).unwrap();
        let reuse = async {
            sleep(ms(200)).await;
            let next = deployment.reuse_address(index, PLAIN, &Script::Respond(200, "lodged"));
            first.crash();
            next
        };
        let (next, body) = tokio::join!(reuse, response.into_body().collect());
        assert_eq!(next.request_count(), 0, "requests at the runner of another service");
        assert!(body.is_err(), "there is no other engine");
    })
    .await;
}

/// Guards against the same while the run is silent, and its runner may go on with it.
#[tokio::test(start_paused = true)]
async fn a_silent_stream_is_not_resumed_at_another_service_on_the_address_of_its_replica() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
        let response = deployment.send("/stream/1", &PROMPT).await;
        let (first, _) = split(&deployment);
        let index = deployment.runners.iter().position(|r| r.id != first.id).unwrap();
        let reuse = async {
            sleep(ms(200)).await;
            first.pause_for(ms(3_000));
            deployment.reuse_address(index, PLAIN, &Script::Respond(200, "lodged"))
        };
        let (next, body) = tokio::join!(reuse, response.into_body().collect());
        assert_eq!(next.request_count(), 0, "requests at the runner of another service");
        let events = body.unwrap().to_bytes().iter().filter(|b| **b == b':').count();
        assert_eq!(events, 2 * 20);
    })
    .await;
}

/// Guards against a resume from the replica of a process that has ended: another one of the same service
/// has its address, and holds nothing.
#[tokio::test(start_paused = true)]
async fn a_stream_is_not_resumed_from_the_replica_of_a_process_that_has_ended() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
        let response = deployment.send("/stream/1", &PROMPT).await;
        let (first, _) = split(&deployment);
        let index = deployment.runners.iter().position(|r| r.id != first.id).unwrap();
        let reuse = async {
            sleep(ms(200)).await;
            let next = deployment.reuse_address(index, ENGINES, &EVENTS);
            first.crash();
            next
        };
        let (next, body) = tokio::join!(reuse, response.into_body().collect());
        assert_eq!((next.request_count(), next.header("kv-from")), (1, None));
        assert_eq!(body.unwrap().to_bytes().iter().filter(|b| **b == b':').count(), 2 * 20);
    })
    .await;
}

/// Guards against a renewed copy that is not released at the end of the stream and so occupies
/// memory of its holder for seconds.
#[tokio::test(start_paused = true)]
async fn a_renewed_copy_is_released_at_the_end() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &EVENTS);
        let response = deployment.send("/stream/1", &PROMPT).await;
        let (first, rest) = split(&deployment);
        let backup = first.header("x-bilberryfront-kv-backup").unwrap();
        let holder = rest.iter().find(|r| r.address.to_string() == backup).unwrap();
        let place = deployment.traffic.client.fleet.find(&holder.id).unwrap();
        deployment.traffic.client.fleet.record_failure(place.key, Instant::now());
        response.into_body().collect().await.unwrap();
        sleep(ms(10)).await;
        assert_eq!((first.copy_targets.borrow().len(), first.released_copies.get()), (1, 1));
    })
    .await;
}

/// Guards against a failed stream when the holder reports that it has no copy, because the runner
/// crashed before it was made or the holder was restarted. The stream resumes, and the prompt is
/// prefilled again.
#[tokio::test(start_paused = true)]
async fn a_stream_resumes_without_its_copy() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
        for runner in &deployment.runners {
            *runner.resume_script.borrow_mut() = Some(Script::NotRun);
        }
        let response = deployment.send("/stream/1", &PROMPT).await;
        split(&deployment).0.crash();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert_eq!(body.iter().filter(|b| **b == b':').count(), 2 * 20);
    })
    .await;
}

/// Guards against a partial event that is forwarded when a runner resets the connection or ends the
/// body in the middle of an event. The partial event is discarded, and the other runner sends it in
/// full.
#[tokio::test(start_paused = true)]
async fn a_partial_event_is_not_forwarded() {
    for end in [StreamEnd::Reset, StreamEnd::Truncated] {
        run_local(async {
            let partial = Script::Events { last: 8, gap: ms(40), end };
            let deployment = Deployment::new(ENGINES, &["a", "b"], &partial);
            for runner in &deployment.runners {
                *runner.resume_script.borrow_mut() = Some(EVENTS);
            }
            let received = deployment.serve("/stream/1", &PROMPT).await;
            assert_eq!((received.event_ids(), received.is_complete), (all(20), true), "{end:?}");
        })
        .await;
    }
}

/// Guards against a retry of a stream on a route that is not resumable. The events received so far
/// are forwarded, and the body ends with an error.
#[tokio::test(start_paused = true)]
async fn a_stream_that_is_not_resumable_ends_with_an_error() {
    run_local(async {
        let partial = Script::Events { last: 8, gap: ms(40), end: StreamEnd::Reset };
        let deployment = Deployment::new(ENGINES, &["a", "b"], &partial);
        let received = deployment.serve("/fixed/1", &PROMPT).await;
        assert_eq!(
            (received.event_ids(), received.is_complete, deployment.request_count()),
            (all(8), false, 1)
        );
        assert_eq!(split(&deployment).0.header("x-bilberryfront-kv-backup"), None);
    })
    .await;
}

/// Guards against a second prefill after a node crash. The caller resumes at this node with the id
/// of its last event, and the stream must resume at the runner that still has the prompt in its KV
/// cache.
#[tokio::test(start_paused = true)]
async fn a_callers_resume_is_sent_to_the_runner_with_its_prompt() {
    for holder in 0..4 {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a", "b", "a", "b"], &EVENTS);
            deployment.runners[holder].cached_segments.borrow_mut().push("b7");
            let headers = [PROMPT[0], PROMPT[1], ("last-event-id", "12")];
            let received = deployment.serve("/stream/1", &headers).await;
            assert_eq!(received.event_ids(), (13..=20).collect::<Vec<u64>>());
            assert_eq!(deployment.runners[holder].request_count(), 1, "holder {holder}");
        })
        .await;
    }
}

/// Guards against a KV copy that a resume does not find. A runner and then the node are lost; the
/// caller resumes at another node, which queries only the preferred runners of the prompt. The
/// holder of the copy must be one of these.
#[tokio::test(start_paused = true)]
async fn a_copy_is_kept_at_a_preferred_runner_of_its_prompt() {
    let prompts = ["a1:200,c1:4800", "a1:200,c2:4800", "a1:200,c3:4800", "a1:200,c4:4800"];
    for prompt in prompts.into_iter().cycle().take(16) {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &[["a"; 32], ["b"; 32]].concat(), &EVENTS);
            deployment
                .serve("/stream/1", &[PROMPT[0], ("x-bilberryfront-prompt-prefix", prompt)])
                .await;
            let (first, rest) = split(&deployment);
            let backup = first.header("x-bilberryfront-kv-backup").unwrap();
            let holder = rest.iter().find(|r| r.address.to_string() == backup).unwrap();
            let asked = deployment.preferred(u64::from_str_radix(&prompt[7..9], 16).unwrap());
            assert!(asked.contains(&holder.id), "{} is none of {asked:?}", holder.id);
        })
        .await;
    }
}

/// Returns a deployment with two engines, both of which have just generated events. Addresses are reused
/// after two seconds.
async fn recently_active_engines() -> Deployment {
    let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
    deployment.traffic.client.fleet.set_reuse_delay(ms(2_000));
    let other = [PROMPT[0], ("x-bilberryfront-prompt-prefix", "a1:200,c8:4800")];
    tokio::join!(deployment.serve("/stream/1", &PROMPT), deployment.serve("/stream/2", &other));
    assert!(deployment.runners.iter().all(|runner| runner.request_count() == 1));
    deployment
}

/// Replaces the engines by runners with other ids, sends a request, and returns what the node has found.
async fn find_restarts(deployment: &Deployment, model: &'static str) -> Vec<Restart> {
    for (runner, id) in deployment.runners.iter().zip(["new-0", "new-1"]) {
        *runner.restarted.borrow_mut() = Some((id, model));
    }
    assert_eq!(deployment.serve("/stream/1", &PROMPT).await.status, 503);
    sleep(ms(10)).await;
    let mut found = deployment.traffic.client.fleet.take_update().restarts;
    found.sort_by(|a, b| a.former.cmp(&b.former));
    assert_eq!(found.len(), 2, "{model}: the former instances count as gone in any case");
    for (restart, runner) in found.iter().zip(&deployment.runners) {
        assert_eq!(restart.former, runner.id);
    }
    found
}

/// Guards against engines that are lost because they restart with new ids while the store is
/// unavailable. A request to the former id is rejected by the new process, which states its id and
/// its models. It is adopted only if no other service runs these models, because the address may
/// have been reassigned.
#[tokio::test(start_paused = true)]
async fn a_restarted_engine_is_adopted_by_its_models() {
    for (model, expected) in [("m", 2), ("theirs", 0), ("both", 0), ("unknown", 0)] {
        run_local(async {
            let deployment = recently_active_engines().await;
            sleep(ms(1_200)).await;
            let found = find_restarts(&deployment, model).await;
            let adopted = found.iter().filter(|restart| restart.id.is_some()).count();
            assert_eq!(adopted, expected, "{model}: {found:?}");
            let ids = found.iter().filter_map(|restart| restart.id.as_deref());
            assert!(ids.eq(["new-0", "new-1"].into_iter().take(expected)), "{model}: {found:?}");
        })
        .await;
    }
}

/// Guards against requests to a runner of another service, or of another version, that has got the address
/// of an engine and has the same models and memory. The catalogue need not name that service.
#[tokio::test(start_paused = true)]
async fn a_runner_at_an_address_that_may_have_been_reused_is_not_adopted() {
    run_local(async {
        let deployment = recently_active_engines().await;
        sleep(ms(2_100)).await;
        let found = find_restarts(&deployment, "m").await;
        assert!(found.iter().all(|restart| restart.id.is_none()), "{found:?}");
    })
    .await;
}

/// Guards against the same if the node does not know when the engine was last running.
#[tokio::test(start_paused = true)]
async fn a_runner_at_the_address_of_an_engine_that_was_not_used_is_not_adopted() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
        deployment.traffic.client.fleet.set_reuse_delay(ms(2_000));
        let found = find_restarts(&deployment, "m").await;
        assert!(found.iter().all(|restart| restart.id.is_none()), "{found:?}");
    })
    .await;
}

/// Guards against events that were buffered until the caller read on and are taken for a sign that their
/// runner, which has crashed meanwhile, was still running.
#[tokio::test(start_paused = true)]
async fn buffered_events_do_not_show_that_their_runner_is_running() {
    run_local(async {
        let events = Script::Events { last: 100, gap: ms(20), end: StreamEnd::Complete };
        let deployment = Deployment::new(ENGINES, &["a", "b"], &events);
        let fleet = &deployment.traffic.client.fleet;
        fleet.set_reuse_delay(ms(2_000));
        let mut body = deployment.send("/stream/1", &PROMPT).await.into_body();
        body.frame().await.unwrap().unwrap();
        let (first, _) = split(&deployment);
        let key = fleet.find(&first.id).unwrap().key;
        sleep(ms(1_000)).await;
        assert!(fleet.holds_address(key));
        first.crash();
        sleep(ms(1_500)).await;
        for _ in 0..40 {
            body.frame().await.unwrap().unwrap();
            assert!(!fleet.holds_address(key));
        }
    })
    .await;
}

/// Guards against a prefill that cannot end before the caller's deadline: the request is rejected
/// at once and sent to no runner. With more time it is served.
#[tokio::test(start_paused = true)]
async fn a_prompt_that_cannot_be_prefilled_in_time_is_rejected_at_once() {
    for (timeout, status) in [("30", 503), ("2000", 200)] {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
            deployment.serve("/stream/1", &PROMPT).await;
            let before = deployment.request_count();
            let start = Instant::now();
            let headers = [
                PROMPT[0],
                PROMPT[1],
                ("last-event-id", "2"),
                ("x-bilberryfront-deadline-ms", timeout),
            ];
            let received = deployment.serve("/stream/1", &headers).await;
            assert_eq!(received.status, status, "{timeout} ms left");
            if status == 503 {
                assert!(received.headers.contains_key("retry-after"));
                assert!(start.elapsed() < ms(20) && deployment.request_count() == before);
            }
        })
        .await;
    }
}

/// Guards against a long wait for the first event: the runner is unresponsive from the start, and
/// another one must be used long before the objective of 4 s.
#[tokio::test(start_paused = true)]
async fn a_request_leaves_an_unresponsive_runner_before_the_first_event() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
        let start = Instant::now();
        let hang = async {
            sleep(ms(1)).await;
            split(&deployment).0.is_unresponsive.set(true);
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), hang);
        assert_eq!(received.event_ids(), all(20));
        assert!(start.elapsed() < ms(2_500), "took {:?}", start.elapsed());
    })
    .await;
}

/// Guards against a late detection of an unresponsive runner by requests that wait for their first
/// event. Streams detect it within half a second; a request without events takes three times as
/// long before it queries the runner. Therefore one lost stream causes the node to query the runner
/// at once for all its other requests.
#[tokio::test(start_paused = true)]
async fn a_request_leaves_a_runner_soon_after_one_of_its_streams_failed() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &Script::Hang);
        let start = Instant::now();
        let loss = async {
            sleep(ms(1)).await;
            let (first, rest) = split(&deployment);
            *rest[0].script.borrow_mut() = EVENTS;
            first.is_unresponsive.set(true);
            sleep(ms(100)).await;
            let place = deployment.traffic.client.fleet.find(&first.id).unwrap();
            deployment.traffic.client.fleet.record_failure(place.key, Instant::now());
        };
        let first_event = async {
            let response = deployment.send("/stream/1", &PROMPT).await;
            let first_event = start.elapsed();
            response.into_body().collect().await.unwrap();
            first_event
        };
        let (first_event, ()) = tokio::join!(first_event, loss);
        assert!(first_event < ms(700), "first event after {first_event:?}");
    })
    .await;
}

/// Guards against a moved request when a runner that was recorded as failed responds to the query:
/// its prefill continues.
#[tokio::test(start_paused = true)]
async fn a_request_stays_at_a_runner_that_responds_to_a_query() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &Script::Hang);
        let recover = async {
            sleep(ms(1)).await;
            let (first, rest) = split(&deployment);
            let place = deployment.traffic.client.fleet.find(&first.id).unwrap();
            deployment.traffic.client.fleet.record_failure(place.key, Instant::now());
            sleep(ms(2_000)).await;
            assert_eq!(rest[0].request_count(), 0, "moved although the prefill may be in progress");
            *rest[0].script.borrow_mut() = EVENTS;
            first.generated_events.set(12);
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), recover);
        assert_eq!(received.event_ids(), all(20));
    })
    .await;
}

/// Guards against a stream that waits for a lost response: the runner reports that it has generated
/// events, but the caller has received none. The request is sent to another runner long before the
/// objective of 4 s, but not while the first one may still prefill the prompt.
#[tokio::test(start_paused = true)]
async fn a_stream_whose_response_is_lost_is_sent_to_another_runner() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &Script::Hang);
        let start = Instant::now();
        let loss = async {
            sleep(ms(1)).await;
            let (first, rest) = split(&deployment);
            *rest[0].script.borrow_mut() = EVENTS;
            sleep(ms(2_000)).await;
            assert_eq!(rest[0].request_count(), 0, "moved while the prefill may be in progress");
            first.generated_events.set(12);
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), loss);
        assert_eq!(received.event_ids(), all(20));
        assert!(start.elapsed() < ms(3_600), "took {:?}", start.elapsed());
    })
    .await;
}

/// Guards against a stream that waits at a crashed runner because another process responds to probes at its
/// address: the connection hangs, since the host has failed.
#[tokio::test(start_paused = true)]
async fn a_probe_of_another_process_at_the_address_does_not_keep_a_stream_waiting() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &Script::Hang);
        let start = Instant::now();
        let crash = async {
            sleep(ms(1)).await;
            let (first, rest) = split(&deployment);
            *rest[0].script.borrow_mut() = EVENTS;
            *first.restarted.borrow_mut() = Some(("new-0", "m"));
            first.reported_born.set(Some(2));
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), crash);
        assert_eq!(received.event_ids(), all(20));
        assert!(start.elapsed() < ms(3_600), "took {:?}", start.elapsed());
    })
    .await;
}

/// Guards against a second run of a stream whose runner has restarted with its id before the request, while the
/// store does not report its new start time.
#[tokio::test(start_paused = true)]
async fn a_runner_that_has_restarted_with_its_id_keeps_the_requests_since() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
        deployment.runners.iter().for_each(|runner| runner.prefill_time.set(ms(3_500)));
        let restart = async {
            sleep(ms(1)).await;
            split(&deployment).0.reported_born.set(Some(2));
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), restart);
        assert_eq!((received.event_ids(), deployment.request_count()), (all(20), 1));
    })
    .await;
}

/// Guards against a crashed runner that counts as available because a runner of another service, which has no
/// load report, responds at its address.
#[tokio::test(start_paused = true)]
async fn an_error_response_at_the_address_of_a_runner_is_no_sign_of_life() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
        let client = &deployment.traffic.client;
        let runner = &deployment.runners[0];
        let endpoint = client.fleet.find(&runner.id).unwrap();
        for (status, is_alive) in [(400, false), (404, false), (503, true)] {
            runner.report_status.set(status);
            client.fleet.record_failure(endpoint.key, Instant::now());
            client.is_responsive(&endpoint).await;
            assert_eq!(client.fleet.is_available(endpoint.key), is_alive, "status {status}");
            sleep(ms(1_000)).await;
        }
    })
    .await;
}

/// Guards against a restarted runner that counts as the one before, because its start time cannot be read.
#[tokio::test(start_paused = true)]
async fn a_corrupted_load_report_does_not_show_that_a_run_continues() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &EVENTS);
        let client = &deployment.traffic.client;
        let runner = &deployment.runners[0];
        let endpoint = client.fleet.find(&runner.id).unwrap();
        let check = async || client.check_incarnation(&endpoint, Some(1)).await;
        assert_eq!(check().await, CrashCheck::Running);
        sleep(ms(1_000)).await;
        runner.reported_born.set(Some(2));
        runner.corrupts_reports.set(true);
        assert_eq!(check().await, CrashCheck::Unreachable);
        runner.corrupts_reports.set(false);
        assert_eq!(check().await, CrashCheck::Crashed);
    })
    .await;
}

/// Guards against a run that continues after its caller has disconnected while the runner sends
/// nothing. The connection to the runner is closed at once, which ends the run, and the stream is
/// not resumed elsewhere.
#[tokio::test(start_paused = true)]
async fn a_run_ends_when_its_caller_disconnects() {
    run_local(async {
        let slow = Script::Events { last: 20, gap: ms(400), end: StreamEnd::Complete };
        let deployment = Deployment::new(ENGINES, &["a", "b"], &slow);
        let mut body = deployment.send("/stream/1", &PROMPT).await.into_body();
        body.frame().await.unwrap().unwrap();
        let connection = split(&deployment).0.connections.borrow()[0].clone();
        assert!(!connection.is_finished());
        drop(body);
        sleep(ms(10)).await;
        assert!(connection.is_finished());
        assert_eq!((deployment.traffic.in_flight.get(), deployment.request_count()), (0, 1));
    })
    .await;
}

/// Guards against a response without a length that is returned as complete although its runner ended
/// before the first event, or within one.
#[tokio::test(start_paused = true)]
async fn a_response_without_a_length_that_is_broken_off_is_resumed() {
    for broken in ["", "id: 1\ndata: token 1\n\nid: 2\nda"] {
        run_local(async {
            let deployment = Deployment::new(ENGINES, &["a", "a"], &EVENTS);
            deployment.runners.iter().for_each(|r| _ = r.script.replace(Script::Unframed(broken)));
            let restore = async {
                while deployment.request_count() == 0 {
                    sleep(ms(1)).await;
                }
                deployment.runners.iter().for_each(|r| _ = r.script.replace(EVENTS));
            };
            let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), restore);
            assert_eq!((received.status, received.is_complete), (200, true), "{broken:?}");
            assert_eq!(received.event_ids(), all(20), "{broken:?}");
        })
        .await;
    }
}

/// Guards against a response without a length that is taken for broken off although it is complete. A second
/// run that has no other event confirms its end.
#[tokio::test(start_paused = true)]
async fn a_response_without_a_length_that_ends_after_an_event_is_complete() {
    run_local(async {
        let events = Script::Unframed("id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n");
        let deployment = Deployment::new(ENGINES, &["a", "a"], &events);
        let received = deployment.serve("/stream/1", &PROMPT).await;
        assert_eq!((received.status, received.is_complete), (200, true));
        assert_eq!(received.event_ids(), all(2));
        assert_eq!(deployment.request_count(), 2);
    })
    .await;
}

/// Guards against a stream that must not run twice and is sent to another runner after its runner has run it
/// and failed. The caller gets that failure.
#[tokio::test(start_paused = true)]
async fn a_stream_that_must_not_run_twice_ends_with_the_failure_of_its_runner() {
    for status in [500, 504] {
        run_local(async {
            let script = Script::Respond(status, "failed");
            let deployment = Deployment::new(ENGINES, &["a", "b", "c"], &script);
            let received = deployment.serve("/fixed/1", &PROMPT).await;
            assert_eq!((received.status, deployment.request_count()), (status, 1));
            assert_eq!(received.text, "failed");
            assert!(received.headers.contains_key("x-bilberryfront-server-stamp"));
        })
        .await;
    }
}

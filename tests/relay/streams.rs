//! Streams of events.

use {
    super::support::{ENGINES, Ends, Runner, Script, World, ms, play},
    http_body_util::BodyExt,
    std::rc::Rc,
    tokio::time::{Instant, sleep},
};

const EVENTS: Script = Script::Events { last: 20, gap: ms_const(40), ends: Ends::Whole };
/// Headers of a prompt whose own part is `b7`.
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

/// The runner that has seen a request, and the others.
fn split(world: &World) -> (Rc<Runner>, Vec<Rc<Runner>>) {
    let (used, rest): (Vec<_>, Vec<_>) = world.runners.iter().cloned().partition(|r| r.count() > 0);
    (used[0].clone(), rest)
}

/// A runner dies in the middle of a stream. The runner that holds the copy of its memory goes on after
/// the last event that the caller has: the caller sees every event once, one head, and a pause far
/// below the longest on time.
#[tokio::test(start_paused = true)]
async fn a_stream_goes_on_from_the_copy_when_its_runner_dies() {
    play(async {
        let world = World::new(ENGINES, &["a", "a", "b"], &EVENTS);
        let response = world.answer("/stream/1", &PROMPT).await;
        let stamp = response.headers()["x-bilberryfront-server-stamp"].clone();
        let (first, rest) = split(&world);
        let backup = first.header("x-bilberryfront-kv-backup").unwrap();
        let holder = rest.iter().find(|r| r.address.to_string() == backup).unwrap();
        assert_ne!(first.domain, holder.domain, "one domain mostly goes down as a whole");
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
        let resumed = holder.seen.borrow()[0].clone();
        assert!(resumed.at - crashed < ms(50), "resumed after {:?}", resumed.at - crashed);
        assert_eq!(resumed.headers["kv-from"], format!("{backup}/a1"));
        assert!(resumed.headers.contains_key("last-event-id"));
    })
    .await;
}

/// A runner falls silent without closing anything. It is left after six tenths of the longest pause on
/// time, so that the caller's pause stays below that.
#[tokio::test(start_paused = true)]
async fn a_silent_runner_is_left_within_the_longest_pause() {
    play(async {
        let world = World::new(ENGINES, &["a", "b"], &EVENTS);
        let response = world.answer("/stream/1", &PROMPT).await;
        let (first, _) = split(&world);
        let mut body = response.into_body();
        let (mut last, mut longest, mut count) = (Instant::now(), ms(0), 0);
        while let Some(frame) = body.frame().await {
            frame.unwrap();
            longest = longest.max(last.elapsed());
            last = Instant::now();
            count += 1;
            if count == 5 {
                first.dark.set(true);
            }
        }
        assert_eq!(count, 20);
        assert!(longest < ms(700), "longest pause {longest:?}");
    })
    .await;
}

/// The holder of a stream's copy dies, and seconds later its runner: one failure domain after another.
/// In between, the runner was asked for a copy at a third one, and the stream goes on from there.
#[tokio::test(start_paused = true)]
async fn a_copy_is_renewed_when_its_holder_dies() {
    play(async {
        let world = World::new(ENGINES, &["a", "b", "c"], &EVENTS);
        let response = world.answer("/stream/1", &PROMPT).await;
        let (first, rest) = split(&world);
        let backup = first.header("x-bilberryfront-kv-backup").unwrap();
        let (holder, third): (Vec<_>, Vec<_>) =
            rest.into_iter().partition(|r| r.address.to_string() == backup);
        let crashes = async {
            holder[0].crash();
            let place = world.traffic.client.fleet.find(&holder[0].id).unwrap();
            world.traffic.client.fleet.record_failure(place.key, Instant::now());
            sleep(ms(200)).await;
            assert_eq!(*first.copies.borrow(), [third[0].address.to_string()]);
            first.crash();
            Instant::now()
        };
        let (crashed, body) = tokio::join!(crashes, response.into_body().collect());
        assert_eq!(body.unwrap().to_bytes().iter().filter(|b| **b == b':').count(), 2 * 20);
        let resumed = third[0].seen.borrow()[0].clone();
        assert_eq!(resumed.headers["kv-from"], format!("{}/h1", first.address));
        assert!(resumed.at - crashed < ms(50));
    })
    .await;
}

/// Load: all engines in the other domains failed a while ago, and nobody has heard of them since, though they
/// are back. The stream's copy is renewed at one of them. The first copy that one takes shows that it
/// lives; were it still held to be lost, each event of the stream would ask for another copy of a whole
/// prompt and drop the last one.
#[tokio::test(start_paused = true)]
async fn a_copy_is_not_asked_for_with_every_event() {
    play(async {
        let world = World::new(ENGINES, &["a", "b", "c"], &EVENTS);
        let response = world.answer("/stream/1", &PROMPT).await;
        let (first, rest) = split(&world);
        let fleet = &world.traffic.client.fleet;
        for runner in rest {
            fleet.record_failure(fleet.find(&runner.id).unwrap().key, Instant::now());
        }
        response.into_body().collect().await.unwrap();
        assert_eq!(first.copies.borrow().len(), 1, "{:?}", first.copies.borrow());
    })
    .await;
}

/// A renewed copy that wasn't needed is dropped when the stream has ended: it would take its holder's
/// memory for seconds.
#[tokio::test(start_paused = true)]
async fn a_renewed_copy_is_dropped_at_the_end() {
    play(async {
        let world = World::new(ENGINES, &["a", "b", "c"], &EVENTS);
        let response = world.answer("/stream/1", &PROMPT).await;
        let (first, rest) = split(&world);
        let backup = first.header("x-bilberryfront-kv-backup").unwrap();
        let holder = rest.iter().find(|r| r.address.to_string() == backup).unwrap();
        let place = world.traffic.client.fleet.find(&holder.id).unwrap();
        world.traffic.client.fleet.record_failure(place.key, Instant::now());
        response.into_body().collect().await.unwrap();
        sleep(ms(10)).await;
        assert_eq!((first.copies.borrow().len(), first.forgotten.get()), (1, 1));
    })
    .await;
}

/// The holder of the copy says that there is none (its runner died before it, or its process is a new
/// one). The stream goes on all the same, read anew.
#[tokio::test(start_paused = true)]
async fn a_stream_goes_on_without_its_copy() {
    play(async {
        let world = World::new(ENGINES, &["a", "b"], &EVENTS);
        for runner in &world.runners {
            *runner.from_copy.borrow_mut() = Some(Script::NotRun);
        }
        let response = world.answer("/stream/1", &PROMPT).await;
        split(&world).0.crash();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert_eq!(body.iter().filter(|b| **b == b':').count(), 2 * 20);
    })
    .await;
}

/// A runner breaks off in the middle of an event, with a reset or as if it had ended. The part is
/// dropped, and the other runner sends that event in whole.
#[tokio::test(start_paused = true)]
async fn a_torn_event_is_never_passed_on() {
    for ends in [Ends::Torn, Ends::Short] {
        play(async {
            let torn = Script::Events { last: 8, gap: ms(40), ends };
            let world = World::new(ENGINES, &["a", "b"], &torn);
            for runner in &world.runners {
                *runner.from_copy.borrow_mut() = Some(EVENTS);
            }
            let received = world.serve("/stream/1", &PROMPT).await;
            assert_eq!((received.ids(), received.whole), (all(20), true), "{ends:?}");
        })
        .await;
    }
}

/// A stream that may run only once breaks off with its runner: what came stays, and it doesn't look
/// complete.
#[tokio::test(start_paused = true)]
async fn a_stream_that_may_not_be_resumed_is_broken_off() {
    play(async {
        let torn = Script::Events { last: 8, gap: ms(40), ends: Ends::Torn };
        let world = World::new(ENGINES, &["a", "b"], &torn);
        let received = world.serve("/fixed/1", &PROMPT).await;
        assert_eq!((received.ids(), received.whole, world.sends()), (all(8), false, 1));
        assert_eq!(split(&world).0.header("x-bilberryfront-kv-backup"), None);
    })
    .await;
}

/// A node was killed, and the caller comes to this one with the id of its last event. One runner still
/// has the prompt in its cache: there the stream goes on at once, elsewhere it would be read again.
#[tokio::test(start_paused = true)]
async fn a_callers_resume_goes_to_the_runner_with_its_prompt() {
    for holder in 0..4 {
        play(async {
            let world = World::new(ENGINES, &["a", "b", "a", "b"], &EVENTS);
            world.runners[holder].cache.borrow_mut().push("b7");
            let headers = [PROMPT[0], PROMPT[1], ("last-event-id", "12")];
            let received = world.serve("/stream/1", &headers).await;
            assert_eq!(received.ids(), (13..=20).collect::<Vec<u64>>());
            assert_eq!(world.runners[holder].count(), 1, "holder {holder}");
        })
        .await;
    }
}

/// A runner and then the node are lost. The stream went on from its copy, at the holder; the caller comes
/// back to another node, which asks only the prompt's homes for its cache. So the holder is one of them.
#[tokio::test(start_paused = true)]
async fn a_copy_is_kept_where_its_prompt_is_looked_for() {
    let prompts = ["a1:200,c1:4800", "a1:200,c2:4800", "a1:200,c3:4800", "a1:200,c4:4800"];
    for prompt in prompts.into_iter().cycle().take(16) {
        play(async {
            let world = World::new(ENGINES, &[["a"; 32], ["b"; 32]].concat(), &EVENTS);
            world.serve("/stream/1", &[PROMPT[0], ("x-bilberryfront-prompt-prefix", prompt)]).await;
            let (first, rest) = split(&world);
            let backup = first.header("x-bilberryfront-kv-backup").unwrap();
            let holder = rest.iter().find(|r| r.address.to_string() == backup).unwrap();
            let asked = world.preferred(u64::from_str_radix(&prompt[7..9], 16).unwrap());
            assert!(asked.contains(&holder.id), "{} is none of {asked:?}", holder.id);
        })
        .await;
    }
}

/// Engines crash while the store is away, and start anew under ids that nobody tells. A request that is
/// sent to the former id is refused by the new one, which names itself and says what it runs. Only if no
/// other service has such engines is it the same: the address may have been given to anyone.
#[tokio::test(start_paused = true)]
async fn an_engine_that_started_anew_is_recognized_by_what_it_runs() {
    for (model, expected) in [("m", 2), ("theirs", 0), ("both", 0), ("unknown", 0)] {
        play(async {
            let world = World::new(ENGINES, &["a", "b"], &EVENTS);
            for (runner, id) in world.runners.iter().zip(["new-0", "new-1"]) {
                *runner.restarted.borrow_mut() = Some((id, model));
            }
            let received = world.serve("/stream/1", &PROMPT).await;
            assert_eq!(received.status, 503);
            sleep(ms(10)).await;
            let mut found = world.traffic.client.fleet.take_update().restarts;
            found.sort_by(|a, b| a.former.cmp(&b.former));
            let adopted = found.iter().filter(|restart| restart.id.is_some()).count();
            assert_eq!(adopted, expected, "{model}: {found:?}");
            assert_eq!(found.len(), 2, "{model}: the former ones are gone in any case");
            for (restart, runner) in found.iter().zip(&world.runners) {
                assert_eq!(restart.former, runner.id);
            }
            let ids = found.iter().filter_map(|restart| restart.id.as_deref());
            assert!(ids.eq(["new-0", "new-1"].into_iter().take(expected)), "{model}: {found:?}");
        })
        .await;
    }
}

/// A caller comes back with a stream a moment before its patience ends. It is told at once that its prompt
/// can't be read by then, and no runner reads it for nothing; with more time it is served.
#[tokio::test(start_paused = true)]
async fn a_prompt_that_cannot_be_read_in_time_is_refused_at_once() {
    for (timeout, status) in [("30", 503), ("2000", 200)] {
        play(async {
            let world = World::new(ENGINES, &["a", "b"], &EVENTS);
            world.serve("/stream/1", &PROMPT).await;
            let before = world.sends();
            let start = Instant::now();
            let headers = [
                PROMPT[0],
                PROMPT[1],
                ("last-event-id", "2"),
                ("x-bilberryfront-deadline-ms", timeout),
            ];
            let received = world.serve("/stream/1", &headers).await;
            assert_eq!(received.status, status, "{timeout} ms left");
            if status == 503 {
                assert!(received.headers.contains_key("retry-after"));
                assert!(start.elapsed() < ms(20) && world.sends() == before);
            }
        })
        .await;
    }
}

/// A runner says nothing from the start and answers no question either: another one is asked long
/// before the objective of 4 s.
#[tokio::test(start_paused = true)]
async fn a_runner_that_is_dark_before_the_first_event_is_left() {
    play(async {
        let world = World::new(ENGINES, &["a", "b"], &EVENTS);
        let start = Instant::now();
        let hang = async {
            sleep(ms(1)).await;
            split(&world).0.dark.set(true);
        };
        let (received, ()) = tokio::join!(world.serve("/stream/1", &PROMPT), hang);
        assert_eq!(received.ids(), all(20));
        assert!(start.elapsed() < ms(2_500), "took {:?}", start.elapsed());
    })
    .await;
}

/// Load: a failure domain goes dark while its engines make events for some callers and read prompts for
/// others. The silence of the streams shows within half a second; those who wait for their first event
/// would wait three times as long for a question of their own. One stream that is lost has the runner asked
/// at once for all others, and they move before they would have been asked about.
#[tokio::test(start_paused = true)]
async fn a_prompt_leaves_a_dark_runner_with_the_streams_that_found_it_dark() {
    play(async {
        let world = World::new(ENGINES, &["a", "b"], &Script::Hang);
        let start = Instant::now();
        let loss = async {
            sleep(ms(1)).await;
            let (first, rest) = split(&world);
            *rest[0].script.borrow_mut() = EVENTS;
            first.dark.set(true);
            sleep(ms(100)).await;
            let place = world.traffic.client.fleet.find(&first.id).unwrap();
            world.traffic.client.fleet.record_failure(place.key, Instant::now());
        };
        let begun = async {
            let response = world.answer("/stream/1", &PROMPT).await;
            let begun = start.elapsed();
            response.into_body().collect().await.unwrap();
            begun
        };
        let (begun, ()) = tokio::join!(begun, loss);
        assert!(begun < ms(700), "the first event came after {begun:?}");
    })
    .await;
}

/// A runner that somebody held to be lost answers the question: its prompt is read on.
#[tokio::test(start_paused = true)]
async fn a_prompt_stays_at_a_runner_that_says_it_lives() {
    play(async {
        let world = World::new(ENGINES, &["a", "b"], &Script::Hang);
        let word = async {
            sleep(ms(1)).await;
            let (first, rest) = split(&world);
            let place = world.traffic.client.fleet.find(&first.id).unwrap();
            world.traffic.client.fleet.record_failure(place.key, Instant::now());
            sleep(ms(2_000)).await;
            assert_eq!(rest[0].count(), 0, "left though it may be reading");
            *rest[0].script.borrow_mut() = EVENTS;
            first.made.set(12);
        };
        let (received, ()) = tokio::join!(world.serve("/stream/1", &PROMPT), word);
        assert_eq!(received.ids(), all(20));
    })
    .await;
}

/// A runner runs the stream and its answer is lost on the way; it is well and says so, and that it has
/// made events. The caller hasn't seen one: it goes on elsewhere, long before the objective of 4 s. A
/// runner that is still reading the prompt is left in peace.
#[tokio::test(start_paused = true)]
async fn a_stream_whose_answer_is_lost_goes_on_elsewhere() {
    play(async {
        let world = World::new(ENGINES, &["a", "b"], &Script::Hang);
        let start = Instant::now();
        let loss = async {
            sleep(ms(1)).await;
            let (first, rest) = split(&world);
            *rest[0].script.borrow_mut() = EVENTS;
            sleep(ms(2_000)).await;
            assert_eq!(rest[0].count(), 0, "left while it may be reading");
            first.made.set(12);
        };
        let (received, ()) = tokio::join!(world.serve("/stream/1", &PROMPT), loss);
        assert_eq!(received.ids(), all(20));
        assert!(start.elapsed() < ms(3_600), "took {:?}", start.elapsed());
    })
    .await;
}

/// The caller leaves in the middle of a stream, while its runner says nothing. The connection to the
/// runner closes at once, which ends the run; nothing waits for the next event, and nothing goes on
/// elsewhere.
#[tokio::test(start_paused = true)]
async fn a_run_ends_when_its_caller_leaves() {
    play(async {
        let slow = Script::Events { last: 20, gap: ms(400), ends: Ends::Whole };
        let world = World::new(ENGINES, &["a", "b"], &slow);
        let mut body = world.answer("/stream/1", &PROMPT).await.into_body();
        body.frame().await.unwrap().unwrap();
        let line = split(&world).0.log_messages.borrow()[0].clone();
        assert!(!line.is_finished());
        drop(body);
        sleep(ms(10)).await;
        assert!(line.is_finished());
        assert_eq!((world.traffic.in_flight.get(), world.sends()), (0, 1));
    })
    .await;
}

//! Runs whose events do not arrive although their runner responds.

use {
    super::support::{Deployment, ENGINES, Runner, Script, StreamEnd, ms, run_local},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Headers of a prompt whose last segment is `b7`.
const PROMPT: [(&str, &str); 2] = [
    ("x-bilberryfront-token-counts", "5000,100"),
    ("x-bilberryfront-prompt-prefix", "a1:200,b7:4800"),
];
const EVENTS: Script = Script::Events { last: 20, gap: ms(40), end: StreamEnd::Complete };
/// A run none of whose events arrives.
const LOST: Script = Script::Events { last: 20, gap: ms(30_000), end: StreamEnd::Complete };
/// Time for which two runners may work on the same request.
const MAX_OVERLAP: Duration = ms(400);

/// Returns the longest time for which two runners worked on the request.
fn overlap(runners: &[Rc<Runner>]) -> Duration {
    let now = Instant::now();
    let runs = runners.iter().flat_map(|r| r.runs.borrow().clone());
    let mut runs: Vec<_> = runs.map(|(_, run)| (run.start, run.end.unwrap_or(now))).collect();
    runs.sort();
    let (mut end, mut longest) = (None::<Instant>, Duration::ZERO);
    for (start, run_end) in runs {
        if let Some(end) = end {
            longest = longest.max(end.min(run_end).saturating_duration_since(start));
        }
        end = end.max(Some(run_end));
    }
    longest
}

/// Guards against two runners at work on a request whose responses are both lost.
#[tokio::test(start_paused = true)]
async fn run_whose_events_are_missing_ends_beside_the_next_one() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b", "c", "d"], &LOST);
        deployment.runners.iter().for_each(|runner| runner.generated_events.set(12));
        let recovery = async {
            while deployment.request_count() < 2 {
                sleep(ms(10)).await;
            }
            let unused = deployment.runners.iter().filter(|r| r.request_count() == 0);
            unused.for_each(|runner| *runner.script.borrow_mut() = EVENTS);
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), recovery);
        assert_eq!(received.event_ids(), (1..=20).collect::<Vec<u64>>());
        let longest = overlap(&deployment.runners);
        assert!(longest <= MAX_OVERLAP, "two runners at work for {longest:?}");
    })
    .await;
}

/// Guards against a corrupted load report that counts as a sign of life: the request waits for a runner that may have
/// lost it.
#[tokio::test(start_paused = true)]
async fn request_leaves_a_runner_with_corrupted_load_reports() {
    run_local(async {
        let deployment = Deployment::new(ENGINES, &["a", "b"], &LOST);
        deployment.runners.iter().for_each(|runner| runner.corrupts_reports.set(true));
        let start = Instant::now();
        let recovery = async {
            while deployment.request_count() < 1 {
                sleep(ms(10)).await;
            }
            let unused = deployment.runners.iter().filter(|r| r.request_count() == 0);
            unused.for_each(|runner| *runner.script.borrow_mut() = EVENTS);
        };
        let (received, ()) = tokio::join!(deployment.serve("/stream/1", &PROMPT), recovery);
        assert_eq!(received.event_ids(), (1..=20).collect::<Vec<u64>>());
        // 1.2 s until the first probe, and 0.8 s for the events.
        assert!(start.elapsed() < ms(2_500), "took {:?}", start.elapsed());
    })
    .await;
}

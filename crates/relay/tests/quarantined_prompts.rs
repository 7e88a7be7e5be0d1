//! Quarantine of prompts with a part that crashes runners.

use {
    bilberryfront_decide::member::message::{
        PatternReport, Prompt, PromptCrash, PromptPattern, PromptReport, SoundPart,
    },
    bilberryfront_relay::quarantine::{MIN_CRASHES, QUARANTINE_TIME, Quarantine},
    std::time::Duration,
    tokio::time::advance,
};

/// Time between crashes.
const GAP: Duration = Duration::from_millis(500);
/// Time after which evidence on a part is judged, with earlier sound runs or without.
const JUDGED: Duration = Duration::from_secs(4);
/// Account of all requests.
const ACCOUNT: u64 = 7;
/// A part that crashes runners.
const CRASHING: u64 = 666;

/// Evidence that arrives at one node.
struct Node {
    quarantine: Quarantine,
    runners: u64,
}

impl Node {
    fn new() -> Node {
        Node { quarantine: Quarantine::default(), runners: 0 }
    }

    fn lost(&mut self, account: u64, parts: &[u64], begun: bool) -> PromptCrash {
        let mut parts = parts.to_vec();
        parts.sort_unstable();
        let request = rand::random();
        let prompt = Prompt { account, request, parts };
        let runner = self.runners;
        PromptCrash { runner, sent_ms: 100, age_ms: 0, prompt, begun, sound: Vec::new() }
    }

    /// Crashes another runner, to which these prompts were sent.
    async fn crash(&mut self, prompts: &[&[u64]]) {
        let lost = prompts.iter().map(|parts| (ACCOUNT, *parts, true));
        self.crash_with(&lost.collect::<Vec<_>>()).await;
    }

    /// Crashes another runner, to which requests of these accounts were sent; the third value states
    /// whether their responses had begun.
    async fn crash_with(&mut self, lost: &[(u64, &[u64], bool)]) {
        self.runners += 1;
        let crashes = lost.iter().map(|(account, parts, begun)| self.lost(*account, parts, *begun));
        let crashes = crashes.collect();
        self.quarantine.apply_prompts(&PromptReport { crashes, ..PromptReport::default() });
        advance(GAP).await;
        self.quarantine.judge();
    }

    /// Reports a sound run that started `age` ago.
    fn sound(&self, parts: &[u64], age: Duration) {
        let age_ms = age.as_millis() as u32;
        let sound = parts.iter().map(|id| SoundPart { id: *id, age_ms }).collect();
        self.quarantine.apply_prompts(&PromptReport { sound, ..PromptReport::default() });
    }

    async fn patterns(&self) -> Vec<(Option<u64>, Vec<u64>)> {
        advance(JUDGED).await;
        self.quarantine.judge();
        let reports = self.quarantine.pattern_snapshot().patterns.into_iter();
        reports.map(|PatternReport { pattern, .. }| (pattern.account, pattern.parts)).collect()
    }
}

/// Guards against blaming the parts that vary between the prompts that crash runners.
#[tokio::test(start_paused = true)]
async fn pattern_is_what_all_crashed_prompts_have_in_common() {
    let mut node = Node::new();
    for other in 0..MIN_CRASHES as u64 {
        node.crash(&[&[1, 10 + other, CRASHING]]).await;
    }
    assert_eq!(node.patterns().await, [(Some(ACCOUNT), vec![1, CRASHING])]);
}

/// Guards against a pattern that is too specific, so that prompts with another first part go on crashing
/// runners.
#[tokio::test(start_paused = true)]
async fn pattern_widens_with_crashes_that_it_does_not_explain() {
    let mut node = Node::new();
    for _ in 0..MIN_CRASHES {
        node.crash(&[&[1, CRASHING]]).await;
    }
    assert_eq!(node.patterns().await, [(Some(ACCOUNT), vec![1, CRASHING])]);
    for account in [ACCOUNT, 8] {
        node.crash_with(&[(account, &[2, CRASHING], true)]).await;
    }
    assert_eq!(node.patterns().await, [(None, vec![CRASHING])]);
}

/// Guards against blaming a popular part whose runs crash beside the crashing ones.
#[tokio::test(start_paused = true)]
async fn streams_beside_a_crashing_prompt_are_not_blamed() {
    let mut node = Node::new();
    for other in 0..3 * MIN_CRASHES as u64 {
        node.crash(&[&[1, 20 + other], &[1, 30 + other], &[CRASHING, 40 + other]]).await;
    }
    assert_eq!(node.patterns().await, [(Some(ACCOUNT), vec![CRASHING])]);
}

/// Guards against blaming the streams beside a crashing prompt if its response head is lost with the
/// runner.
#[tokio::test(start_paused = true)]
async fn crashes_are_explained_by_prompts_that_waited() {
    let mut node = Node::new();
    for other in 0..3 * MIN_CRASHES as u64 {
        let has_begun = other % 2 == 0;
        let beside: &[u64] = &[1, 20 + other];
        node.crash_with(&[(ACCOUNT, beside, true), (ACCOUNT, &[1, CRASHING], has_begun)]).await;
    }
    assert_eq!(node.patterns().await, [(Some(ACCOUNT), vec![1, CRASHING])]);
}

/// Guards against a first part that hides two crashing parts, or is blamed for both.
#[tokio::test(start_paused = true)]
async fn two_crashing_parts_are_told_apart() {
    let mut node = Node::new();
    node.sound(&[1], GAP);
    for index in 0..4 * MIN_CRASHES as u64 {
        node.crash(&[&[1, CRASHING + index % 2]]).await;
    }
    let mut patterns = node.patterns().await;
    patterns.sort();
    let pattern = |part| (Some(ACCOUNT), vec![1, part]);
    assert_eq!(patterns, [pattern(CRASHING), pattern(CRASHING + 1)]);
}

/// Guards against blaming a part for runners that crash by themselves.
#[tokio::test(start_paused = true)]
async fn sound_runs_after_a_crash_refute_it() {
    let mut node = Node::new();
    for _ in 0..5 * MIN_CRASHES {
        node.crash(&[&[1, 2]]).await;
        node.sound(&[1, 2], GAP / 2);
    }
    assert_eq!(node.patterns().await, []);
}

/// Guards against earlier sound runs that protect a part for ever.
#[tokio::test(start_paused = true)]
async fn part_that_was_sound_before_is_quarantined_after_more_crashes() {
    let mut node = Node::new();
    node.sound(&[CRASHING], GAP);
    for _ in 0..MIN_CRASHES {
        node.crash(&[&[CRASHING]]).await;
    }
    assert_eq!(node.patterns().await, []);
    for _ in 0..MIN_CRASHES {
        node.crash(&[&[CRASHING]]).await;
    }
    assert_eq!(node.patterns().await, [(Some(ACCOUNT), vec![CRASHING])]);
}

/// Guards against blaming the parts of prompts on runners that crash together, as in an outage of their
/// failure domain.
#[tokio::test(start_paused = true)]
async fn simultaneous_crashes_count_once() {
    let mut node = Node::new();
    for _ in 0..3 * MIN_CRASHES {
        node.runners += 1;
        let crashes = vec![node.lost(ACCOUNT, &[1], true)];
        node.quarantine.apply_prompts(&PromptReport { crashes, ..PromptReport::default() });
    }
    assert_eq!(node.patterns().await, []);
}

/// Guards against blaming requests that are sent to a runner which has already crashed.
#[tokio::test(start_paused = true)]
async fn runner_that_had_crashed_before_is_no_evidence() {
    let mut node = Node::new();
    for _ in 0..MIN_CRASHES {
        node.crash(&[&[CRASHING]]).await;
        let mut late = node.lost(ACCOUNT, &[1], true);
        late.sent_ms = 50;
        let crashes = vec![late];
        node.quarantine.apply_prompts(&PromptReport { crashes, ..PromptReport::default() });
    }
    for _ in 0..MIN_CRASHES {
        node.crash(&[&[1]]).await;
        node.sound(&[1], GAP / 2);
    }
    assert_eq!(node.patterns().await, [(Some(ACCOUNT), vec![CRASHING])]);
}

/// Guards against a quarantine without end, and against one that a crash after its end does not renew.
#[tokio::test(start_paused = true)]
async fn quarantine_expires_and_is_renewed_by_one_crash() {
    let mut node = Node::new();
    for _ in 0..MIN_CRASHES {
        node.crash(&[&[CRASHING]]).await;
    }
    assert_eq!(node.patterns().await.len(), 1);
    advance(QUARANTINE_TIME.mul_f64(1.25)).await;
    assert!(node.quarantine.is_empty());
    node.crash(&[&[CRASHING]]).await;
    assert_eq!(node.quarantine.len(), 1);
}

/// Guards against a pattern that rejects all requests of an account, and against a cleared one that stays.
#[tokio::test(start_paused = true)]
async fn patterns_of_peers_are_checked_and_cleared() {
    let report = |parts: &[u64], cleared| {
        let pattern = PromptPattern { account: Some(ACCOUNT), parts: parts.to_vec() };
        let patterns = vec![PatternReport { pattern, since_ms: 0, age_ms: 0, cleared }];
        PromptReport { patterns, ..PromptReport::default() }
    };
    let quarantine = Quarantine::default();
    quarantine.apply_prompts(&report(&[], false));
    assert!(quarantine.is_empty());
    quarantine.apply_prompts(&report(&[CRASHING], false));
    assert_eq!(quarantine.len(), 1);
    quarantine.apply_prompts(&report(&[CRASHING], true));
    assert!(quarantine.is_empty());
}

/// Guards against callers that fill the memory of a node by varying the parts of their prompts.
#[tokio::test(start_paused = true)]
async fn evidence_is_bounded_and_patterns_stay() {
    let mut node = Node::new();
    for _ in 0..MIN_CRASHES {
        node.crash(&[&[CRASHING]]).await;
    }
    assert_eq!(node.patterns().await.len(), 1);
    for part in 0..500 {
        node.sound(&(0..64).map(|id| 100_000 + part * 64 + id).collect::<Vec<u64>>(), GAP);
        node.crash(&[&[1_000 + part]]).await;
    }
    assert_eq!(node.patterns().await, [(Some(ACCOUNT), vec![CRASHING])]);
}

/// Guards against pattern quarantines that never end because nodes renew them with each other's reports.
#[tokio::test(start_paused = true)]
async fn repeated_patterns_do_not_renew_a_quarantine() {
    let mut nodes = [Node::new(), Node::new()];
    for _ in 0..MIN_CRASHES {
        nodes[0].crash(&[&[CRASHING]]).await;
    }
    assert_eq!(nodes[0].patterns().await.len(), 1);
    let age = |node: &Node| node.quarantine.pattern_snapshot().patterns[0].age_ms;
    let before = age(&nodes[0]);
    for _ in 0..120 {
        let snapshots = nodes.each_ref().map(|node| node.quarantine.pattern_snapshot());
        // Time that the reports take.
        advance(Duration::from_millis(20)).await;
        nodes[0].quarantine.apply_prompts(&snapshots[1]);
        nodes[1].quarantine.apply_prompts(&snapshots[0]);
        advance(Duration::from_millis(480)).await;
    }
    let passed = age(&nodes[0]) - before;
    assert!(passed >= 60_000, "{passed} ms have passed");
}

/// Guards against a part that crashes runners on and on because it was sound before, for example with an
/// earlier version of the model.
#[tokio::test(start_paused = true)]
async fn part_that_was_sound_before_is_quarantined_in_time() {
    let mut node = Node::new();
    node.sound(&[CRASHING], GAP);
    let mut crashes = 0;
    while node.quarantine.pattern_snapshot().patterns.is_empty() {
        node.crash(&[&[CRASHING]]).await;
        advance(GAP).await;
        node.quarantine.judge();
        crashes += 1;
        assert!(crashes <= MIN_CRASHES + 1, "{crashes} crashes, one in {:?}", 2 * GAP);
    }
}

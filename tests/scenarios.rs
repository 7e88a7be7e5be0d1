//! The scenarios in `scenarios/*.jsonc`, one test each; docs/SCENARIOS.md documents their format.

use {
    bilberryfront_scenarios::{play, play_storm},
    std::{collections::BTreeSet, fs},
};

/// Number of random scenarios per run; `examples/storm.rs` runs others without a limit.
const RANDOM_SCENARIOS: u64 = 30;
/// Seeds that once found a fault: a node cut a request when it stopped serving.
const REGRESSION_SEEDS: [u64; 2] = [13_465_374_914_762_312_253, 13_465_374_914_762_312_668];
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");

/// Declares one test per file, and the list of all files.
macro_rules! scenarios {
    ($($name:ident)*) => {
        const LISTED: &[&str] = &[$(stringify!($name)),*];
        $(
            #[test]
            fn $name() {
                run_file(stringify!($name));
            }
        )*
    };
}

scenarios! {
    all_nodes_are_replaced
    apply_reply_is_lost
    caller_hangs_up
    claim_is_lost
    claim_reply_is_lost
    cut_off_during_a_change
    dead_node_leaves_the_addresses
    dead_service_is_passed_by
    dies_before_the_first_token
    double_post
    equal_bodies
    key_with_another_body
    look_up_is_never_sent
    lookup_at_paused_services
    move_bad_in_an_outage
    move_bad_on_one_route
    move_holder_wakes
    move_is_undone
    move_of_a_bad_version
    move_of_a_good_version
    move_turns_bad
    move_undone_while_cut_off
    moves_of_two_operators
    no_runner_is_left
    node_dies
    node_dies_after_the_send
    node_dies_before_the_send
    node_dies_during_the_send
    node_dies_in_an_outage
    node_dies_while_another_is_paused
    node_leaves
    node_starts_in_an_outage
    older_attempts_cross
    only_engine_restarts
    only_node_starts_in_an_outage
    operators_race
    partition_and_node_death
    partition_and_pause
    partition_and_runner_death
    partition_in_an_outage
    partition_of_a_domain
    paused_node_wakes
    paused_over_an_outage
    refused_at_once
    request_as_a_leaving_node_stops
    resume_is_older
    runner_and_node_die
    runner_closes_after_reading
    runner_closes_after_running
    runner_cuts
    runner_dies
    runner_dies_at_done
    runner_dies_at_finish
    runner_dies_at_first
    runner_dies_at_last
    runner_dies_in_an_outage
    runner_dies_while_node_is_paused
    runner_ends_early
    runner_leaves
    runner_lies_at_the_end
    runner_repeats
    runner_skips
    runner_stalls
    runner_wakes_with_old_tokens
    services_that_cannot_be_reached
    stale_read
    store_down_for_minutes
    store_is_slow
    table_is_restored
    version_gone_in_the_middle
    whole_answer_survives
}

fn run_file(name: &str) {
    let file = name.replace('_', "-");
    let text = fs::read_to_string(format!("{FOLDER}/{file}.jsonc")).unwrap();
    if let Err(broken) = play(&text) {
        panic!("scenarios/{file}.jsonc: {broken}");
    }
}

/// Guards against a scenario file that is not listed and so never runs.
#[test]
fn every_file_is_listed() {
    let files =
        fs::read_dir(FOLDER).unwrap().map(|f| f.unwrap().file_name().into_string().unwrap());
    let files = files.map(|f| f.trim_end_matches(".jsonc").replace('-', "_"));
    let listed = LISTED.iter().map(|l| l.to_string()).collect::<BTreeSet<_>>();
    assert_eq!(files.collect::<BTreeSet<_>>(), listed);
}

/// Guards against faults that appear only in random combinations of events.
#[test]
fn random_scenarios_with_fixed_seeds() {
    for seed in (1..=RANDOM_SCENARIOS).chain(REGRESSION_SEEDS) {
        if let Err(broken) = play_storm(seed) {
            panic!("storm {seed}: {broken}");
        }
    }
}

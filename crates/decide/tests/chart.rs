//! Chart files are checked when they are loaded.

use {
    bilberryfront_decide::{
        chart::{Chart, ChartError},
        generation::{Phase, Signal},
    },
    serde::Deserialize,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Light {
    Red,
    Green,
    Off,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Push {
    Next,
    End,
}

fn parse(finals: &str, arrows: &[[&str; 3]]) -> Result<Chart<Light, Push>, ChartError> {
    let arrow =
        |[from, on, to]: &[&str; 3]| format!(r#"{{"from": "{from}", "on": "{on}", "to": "{to}"}}"#);
    let arrows: Vec<String> = arrows.iter().map(arrow).collect();
    let arrows = arrows.join(",");
    Chart::parse(&format!(r#"{{"initial": "red", "final": [{finals}], "arrows": [{arrows}]}}"#))
}

#[test]
fn follows_arrows() {
    let arrows = [["red", "next", "green"], ["green", "next", "red"], ["green", "end", "off"]];
    let chart = parse(r#""off""#, &arrows).unwrap();
    assert_eq!(chart.initial(), Light::Red);
    assert_eq!(chart.next(Light::Red, Push::Next), Some(Light::Green));
    assert_eq!(chart.next(Light::Red, Push::End), None);
    assert!(chart.is_final(Light::Off) && !chart.is_final(Light::Green));
}

#[test]
fn refuses_a_state_without_a_way_in() {
    let chart = parse(r#""off""#, &[["red", "end", "off"], ["green", "next", "red"]]);
    assert_eq!(chart.unwrap_err(), ChartError::Unreachable("Green".into()));
}

#[test]
fn refuses_a_trap() {
    let chart = parse("", &[["red", "next", "green"]]);
    assert_eq!(chart.unwrap_err(), ChartError::DeadEnd("Green".into()));
}

#[test]
fn refuses_a_way_out_of_the_end() {
    let chart = parse(r#""off""#, &[["red", "end", "off"], ["off", "next", "red"]]);
    assert_eq!(chart.unwrap_err(), ChartError::FinalWithExit("Off".into()));
}

#[test]
fn refuses_unknown_names() {
    assert!(matches!(parse("", &[["red", "next", "blue"]]), Err(ChartError::Syntax(_))));
}

#[test]
fn shipped_charts_pass() {
    let generation = include_str!("../../../charts/generation.json");
    assert!(Chart::<Phase, Signal>::parse(generation).is_ok());
}

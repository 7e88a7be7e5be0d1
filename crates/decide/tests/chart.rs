//! Parsing and validation of state charts.

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
enum Button {
    Next,
    End,
}

fn parse(finals: &str, transitions: &[[&str; 3]]) -> Result<Chart<Light, Button>, ChartError> {
    let transition =
        |[from, on, to]: &[&str; 3]| format!(r#"{{"from": "{from}", "on": "{on}", "to": "{to}"}}"#);
    let transitions: Vec<String> = transitions.iter().map(transition).collect();
    let transitions = transitions.join(",");
    Chart::parse(&format!(
        r#"{{"initial": "red", "final": [{finals}], "arrows": [{transitions}]}}"#
    ))
}

#[test]
fn follows_transitions() {
    let transitions = [["red", "next", "green"], ["green", "next", "red"], ["green", "end", "off"]];
    let chart = parse(r#""off""#, &transitions).unwrap();
    assert_eq!(chart.initial(), Light::Red);
    assert_eq!(chart.next(Light::Red, Button::Next), Some(Light::Green));
    assert_eq!(chart.next(Light::Red, Button::End), None);
    assert!(chart.is_final(Light::Off) && !chart.is_final(Light::Green));
}

#[test]
fn rejects_an_unreachable_state() {
    let chart = parse(r#""off""#, &[["red", "end", "off"], ["green", "next", "red"]]);
    assert_eq!(chart.unwrap_err(), ChartError::Unreachable("Green".into()));
}

#[test]
fn rejects_a_non_final_state_without_transitions() {
    let chart = parse("", &[["red", "next", "green"]]);
    assert_eq!(chart.unwrap_err(), ChartError::DeadEnd("Green".into()));
}

#[test]
fn rejects_a_transition_from_a_final_state() {
    let chart = parse(r#""off""#, &[["red", "end", "off"], ["off", "next", "red"]]);
    assert_eq!(chart.unwrap_err(), ChartError::FinalWithExit("Off".into()));
}

#[test]
fn rejects_unknown_names() {
    assert!(matches!(parse("", &[["red", "next", "blue"]]), Err(ChartError::Syntax(_))));
}

#[test]
fn generation_chart_is_valid() {
    let generation = include_str!("../../../charts/generation.json");
    assert!(Chart::<Phase, Signal>::parse(generation).is_ok());
}

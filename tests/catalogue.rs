//! Catalogue files: good ones are accepted, bad ones are refused with file, line and advice.

#[path = "support/invalid_files.rs"]
mod invalid_files;
#[path = "support/data.rs"]
mod data;
#[path = "support/folder.rs"]
mod folder;

use {
    bilberryfront::{
        catalogue::{self, diff::diff},
        settings::locate::Document,
    },
    bilberryfront_decide::catalog::{Account, CatalogDoc, FaultKind, Limits, check::MAX_ACCOUNTS},
    data::data,
    folder::run,
    invalid_files::check_invalid_files,
    std::fs,
};

fn good() -> CatalogDoc {
    let (name, text) = data("catalogue").into_iter().find(|(n, _)| n == "good.jsonc").unwrap();
    catalogue::parse(&Document::new(name, &text)).unwrap()
}

#[test]
fn check_knows_a_catalogue_by_its_content() {
    let folder = folder::folder("check_catalogue");
    let text = data("catalogue").into_iter().find(|(n, _)| n == "good.jsonc").unwrap().1;
    fs::write(folder.join("good.jsonc"), text).unwrap();
    let outcome = run(&folder, &["check", "good.jsonc"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    assert_eq!(outcome.stdout, "good.jsonc: good catalogue: 2 entries, 2 accounts\n");
}

#[test]
fn bad_catalogues_are_refused_with_file_line_and_advice() {
    assert!(check_invalid_files(&folder::folder("bad_catalogues"), "catalogue") >= 12);
}

#[test]
fn a_catalogue_of_more_accounts_than_a_node_holds_is_refused() {
    let mut doc = good();
    let account =
        |i| Account { name: format!("account-{i}").into(), keys: vec![format!("{i:064x}").into()] };
    doc.accounts.extend((doc.accounts.len()..=MAX_ACCOUNTS).map(account));
    let faults = doc.check();
    let many = FaultKind::TooMany { found: MAX_ACCOUNTS + 1, max: MAX_ACCOUNTS };
    assert_eq!(faults.iter().map(|f| &f.kind).collect::<Vec<_>>(), [&many]);
    doc.accounts.pop();
    assert_eq!(doc.check(), []);
}

/// A file that was cut, or the wrong file, can still be a catalogue: an empty one. In force it would
/// stop all serving at once, so it is refused.
#[test]
fn an_empty_catalogue_is_refused() {
    let faults: Vec<_> = CatalogDoc::default().check().iter().map(ToString::to_string).collect();
    assert_eq!(faults, ["accounts: the list is empty", "entries: the list is empty"]);
}

#[test]
fn every_limit_must_be_above_0() {
    let limits = serde_json::to_value(Limits::default()).unwrap();
    for name in limits.as_object().unwrap().keys() {
        let mut zero = limits.clone();
        zero[name] = 0.into();
        let mut doc = good();
        doc.entries[0].limits = serde_json::from_value(zero).unwrap();
        let faults: Vec<_> = doc.check().iter().map(ToString::to_string).collect();
        assert_eq!(faults, [format!("entries[0].limits.{name}: the limit is 0")]);
    }
}

#[test]
fn a_catalogue_does_not_differ_from_itself() {
    assert_eq!(diff(&good(), &good()), []);
}

#[test]
fn differences_name_part_field_and_both_values() {
    let mut after = good();
    after.entries[0].accounts[1].concurrent = 250;
    after.entries[0].accounts.remove(0);
    after.entries[1].version = "8".into();
    after.accounts[1].name = "checkers".into();
    let told: Vec<_> = diff(&good(), &after)
        .into_iter()
        .map(|d| {
            let value = |v: Option<String>| v.unwrap_or_else(|| "-".into());
            format!("{}, {}: {} to {}", d.part, d.field, value(d.before), value(d.after))
        })
        .filter(|told| !told.contains("keys"))
        .collect();
    assert_eq!(
        told,
        [
            "account checkers, name: - to checkers",
            "account verification, name: verification to -",
            "entry desk-app, version: 7 to 8",
            "entry verify-llm, accounts.night-subs.concurrent: 300 to -",
            "entry verify-llm, accounts.verification.concurrent: 200 to 250",
        ]
    );
}

#[test]
fn the_order_of_a_file_is_no_difference() {
    let mut after = good();
    after.entries.reverse();
    after.accounts.reverse();
    assert_eq!(diff(&good(), &after), []);
}

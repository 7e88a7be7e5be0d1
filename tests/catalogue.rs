//! Catalogue files: valid ones are accepted, invalid ones are rejected with file, line and help.

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
fn check_detects_a_catalogue_by_its_content() {
    let folder = folder::folder("check_catalogue");
    let text = data("catalogue").into_iter().find(|(n, _)| n == "good.jsonc").unwrap().1;
    fs::write(folder.join("good.jsonc"), text).unwrap();
    let outcome = run(&folder, &["check", "good.jsonc"]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    assert_eq!(outcome.stdout, "good.jsonc: good catalogue: 2 entries, 2 accounts\n");
}

#[test]
fn invalid_catalogues_are_rejected_with_file_line_and_help() {
    assert!(check_invalid_files(&folder::folder("bad_catalogues"), "catalogue") >= 12);
}

#[test]
fn a_catalogue_with_too_many_accounts_is_rejected() {
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

/// Guards against an empty catalogue, such as a truncated or a wrong file: in force, it would cause
/// the rejection of every request.
#[test]
fn an_empty_catalogue_is_rejected() {
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
    let text: Vec<_> = diff(&good(), &after)
        .into_iter()
        .map(|d| {
            let value = |v: Option<String>| v.unwrap_or_else(|| "-".into());
            format!("{}, {}: {} to {}", d.part, d.field, value(d.before), value(d.after))
        })
        .filter(|text| !text.contains("keys"))
        .collect();
    assert_eq!(
        text,
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
fn the_order_of_a_file_does_not_matter() {
    let mut after = good();
    after.entries.reverse();
    after.accounts.reverse();
    assert_eq!(diff(&good(), &after), []);
}

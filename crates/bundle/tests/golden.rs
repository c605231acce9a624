//! What operators read of a faulty bundle and of a change.

use bundle::{Document, check, diff};
use googletest::prelude::*;

const FAULTY: &str = include_str!("golden/faulty.toml");
const COMPAS: &str = include_str!("../../../examples/compas.toml");

fn listed(faults: &[check::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[gtest]
fn every_fault_is_told_at_once() {
    let found = check::parse("faulty.toml", FAULTY).unwrap_err();
    insta::assert_snapshot!("faults", listed(&found));
}

#[gtest]
fn a_deferred_pipeline_has_no_call_that_may_not_be_repeated() {
    let name = "name = \"fee-payment\"\n";
    let text = COMPAS.replace(name, &format!("{name}deferred = true\n"));
    let faults = check::parse("compas.toml", &text).unwrap_err();
    let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
    expect_that!(paths, eq(&vec!["pipelines.fee-payment.deferred"]));
    let safe = text.replace("idempotent = false\n", "");
    expect_that!(check::parse("compas.toml", &safe), ok(anything()));
}

#[gtest]
fn texts_that_are_no_bundle_are_told_with_line_and_column() {
    let texts = [
        "name = \"compas\"\nversion = ",
        "name = \"compas\"\nversion = \"one\"",
        "name = \"compas\"\nversion = 1\n[limits]\nsign_of = 2",
        "name = \"compas\"\nversion = 1\n[[pools]]\nname = \"a\"\nkind = \"servic\"",
        "name = \"compas\"",
    ];
    let told = texts.map(|text| listed(&check::parse("entry.toml", text).unwrap_err()));
    insta::assert_snapshot!("syntax", told.join("\n"));
}

#[gtest]
fn a_change_is_told_field_by_field() {
    let next = COMPAS
        .replace("version = 1", "version = 2")
        .replace("retry_percent = 10", "retry_percent = 5")
        .replace("name = \"school-bands\"", "name = \"village-bands\"")
        .replacen("deadline_ms = 5000", "deadline_ms = 4000", 1)
        .replacen("idempotent = false\n", "", 1);
    let old = Document::from_toml(COMPAS).unwrap();
    let new = Document::from_toml(&next).unwrap();
    let lines: Vec<String> = diff::between(Some(&old), &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!("diff", lines.join("\n"));
}

//! The output for operators on faulty bundles and on changes.

use bundle::{Document, check, diff};
use googletest::prelude::*;

const FAULTY: &str = include_str!("golden/faulty.toml");
const COMPAS: &str = include_str!("../../../examples/compas.toml");

fn fault_lines(faults: &[check::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[gtest]
fn all_faults_are_reported_at_once() {
    let found = check::parse("faulty.toml", FAULTY).unwrap_err();
    insta::assert_snapshot!("faults", fault_lines(&found));
}

#[gtest]
fn a_deferred_pipeline_has_only_idempotent_stages() {
    let name = "name = \"fee-payment\"\n";
    let text = COMPAS.replace(name, &format!("{name}deferred = true\n"));
    let faults = check::parse("compas.toml", &text).unwrap_err();
    let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
    expect_that!(paths, eq(&vec!["pipelines.fee-payment.deferred"]));
    let safe = text.replace("idempotent = false\n", "");
    expect_that!(check::parse("compas.toml", &safe), ok(anything()));
}

#[gtest]
fn syntax_errors_are_reported_with_line_and_column() {
    let texts = [
        "name = \"compas\"\nversion = ",
        "name = \"compas\"\nversion = \"one\"",
        "name = \"compas\"\nversion = 1\n[limits]\nsign_of = 2",
        "name = \"compas\"\nversion = 1\n[[pools]]\nname = \"a\"\nkind = \"servic\"",
        "name = \"compas\"",
    ];
    let lines = texts.map(|text| fault_lines(&check::parse("entry.toml", text).unwrap_err()));
    insta::assert_snapshot!("syntax", lines.join("\n"));
}

#[gtest]
fn a_change_is_shown_field_by_field() {
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

//! Checks the result codes against `docs/CODES.md`.

use base::{Code, Outcome};
use googletest::prelude::*;

const DOCUMENTATION: &str = include_str!("../../../docs/CODES.md");

#[gtest]
fn every_code_is_listed_in_the_documentation() {
    for code in Code::ALL {
        let retryable = if code.is_retryable() { "yes" } else { "no" };
        let row = format!(
            "| {} | {code:?} | {} | {} | {retryable} | {} |",
            code.number(),
            code.status(),
            code.outcome().as_str(),
            code.title(),
        );
        expect_that!(
            DOCUMENTATION.lines().any(|line| line == row),
            eq(true),
            "missing: {row}"
        );
    }
}

#[gtest]
fn numbers_are_ascending_and_unique() {
    expect_that!(
        Code::ALL.is_sorted_by(|a, b| a.number() < b.number()),
        eq(true)
    );
    for code in Code::ALL {
        expect_that!(Code::from_number(code.number()), some(eq(*code)));
    }
}

#[gtest]
fn only_the_answered_code_has_the_answered_outcome() {
    for code in Code::ALL
        .iter()
        .filter(|code| code.outcome() == Outcome::Answered)
    {
        expect_that!(*code, eq(Code::Answered));
    }
}

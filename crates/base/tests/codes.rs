//! The result codes and their page agree.

use base::{Code, Outcome};
use googletest::prelude::*;

const PAGE: &str = include_str!("../../../docs/CODES.md");

#[gtest]
fn every_code_has_its_row() {
    for code in Code::ALL {
        let again = if code.is_retryable() { "yes" } else { "no" };
        let row = format!(
            "| {} | {code:?} | {} | {} | {again} | {} |",
            code.number(),
            code.status(),
            code.outcome().as_str(),
            code.title(),
        );
        expect_that!(
            PAGE.lines().any(|line| line == row),
            eq(true),
            "missing: {row}"
        );
    }
}

#[gtest]
fn numbers_ascend_and_name_one_code_each() {
    expect_that!(
        Code::ALL.is_sorted_by(|a, b| a.number() < b.number()),
        eq(true)
    );
    for code in Code::ALL {
        expect_that!(Code::from_number(code.number()), some(eq(*code)));
    }
}

#[gtest]
fn only_an_answer_that_is_whole_is_called_so() {
    for code in Code::ALL
        .iter()
        .filter(|code| code.outcome() == Outcome::Answered)
    {
        expect_that!(*code, eq(Code::Answered));
    }
}

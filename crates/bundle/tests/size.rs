//! The size of one change as the number of client accounts grows.

mod large;

use bundle::{Bundle, Projection, Record, check};
use googletest::prelude::*;
use large::{change, keys, roll_out_text, text};

/// Returns the size of the three records of one change in bytes, as a delta and as a whole.
fn record_bytes(accounts: usize) -> (usize, usize) {
    let (author, steward) = keys();
    let mut projection = Projection::new(vec![author.public(), steward.public()]);
    roll_out_text(&mut projection, &text(accounts, 1, 0), false);
    let total =
        |records: &[Record]| -> usize { records.iter().map(|one| one.to_json().len()).sum() };
    let next = text(accounts, 2, 1);
    (
        total(&change(&projection, &next, true)),
        total(&change(&projection, &next, false)),
    )
}

#[gtest]
fn a_delta_does_not_grow_with_the_accounts() {
    let sizes = [100, 1_000, 7_800].map(|accounts| (accounts, record_bytes(accounts)));
    for (accounts, (delta, whole)) in sizes {
        println!("{accounts} accounts: delta {delta} B, whole {whole} B");
    }
    let [(_, (small, _)), _, (_, (large, whole))] = sizes;
    // The delta grows by at most a tenth, and stays far below the size of the whole.
    expect_that!(large * 10, le(small * 11));
    expect_that!(large * 100, le(whole));
}

#[gtest]
fn large_bundles_have_no_faults() {
    let bundle = Bundle::from_toml(&text(7_800, 1, 0)).unwrap();
    expect_that!(check::faults(&bundle), is_empty());
}

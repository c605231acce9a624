//! Explores every state of a small instance of the claim protocol.

mod explorer;

use googletest::prelude::*;

use explorer::{Bounds, explore};

#[gtest]
fn two_claims_and_one_fault_call_at_most_once_in_every_state() {
    let visited = explore(Bounds {
        claims: 2,
        faults: 1,
        lookups: 1,
    });
    println!("{visited:?}");
    expect_that!(visited.called, gt(0));
}

//! Pattern: a failure domain is cut off, and its servers hang instead of refusing.

use core::time::Duration;

use base::{Name, Tick};
use googletest::prelude::*;
use pick::Reachability;

fn at(ms: u64) -> Tick {
    Tick::from_millis(1_000 + ms)
}

#[gtest]
fn a_cut_domain_costs_a_few_waits_and_not_one_for_each_of_its_servers() {
    let (mut reachability, domain) = (Reachability::default(), Name::from("a"));
    let mut waits = 0;
    // A request each 20 ms for six seconds; each that is sent there hangs.
    for ms in (0..6_000).step_by(20) {
        if !reachability.is_unreachable(at(ms), &domain) {
            waits += 1;
            reachability.record_failure(at(ms), &domain);
        }
    }
    expect_that!(waits, le(6));
}

#[gtest]
fn a_domain_is_used_again_soon_after_its_cut_ends() {
    let (mut reachability, domain) = (Reachability::default(), Name::from("a"));
    for ms in (0..10_000).step_by(20) {
        if !reachability.is_unreachable(at(ms), &domain) {
            reachability.record_failure(at(ms), &domain);
        }
    }
    let later = at(10_000) + Duration::from_secs(2);
    expect_that!(reachability.is_unreachable(later, &domain), eq(false));
}

#[gtest]
fn one_crashed_server_does_not_cut_off_its_domain() {
    let (mut reachability, domain) = (Reachability::default(), Name::from("a"));
    for ms in (0..5_000).step_by(100) {
        reachability.record_failure(at(ms), &domain);
        reachability.record_success(&domain);
        expect_that!(reachability.is_unreachable(at(ms), &domain), eq(false));
    }
}

#[gtest]
fn calls_that_were_under_way_do_not_prolong_a_cut() {
    let (mut reachability, domain) = (Reachability::default(), Name::from("a"));
    for _ in 0..50 {
        reachability.record_failure(at(0), &domain);
    }
    expect_that!(reachability.is_unreachable(at(499), &domain), eq(true));
    expect_that!(reachability.is_unreachable(at(500), &domain), eq(false));
    expect_that!(reachability.is_unreachable(at(0), &"b".into()), eq(false));
}

//! A failure domain is unreachable, and connections to its servers hang instead of being refused.

use core::time::Duration;

use base::{Name, Tick};
use googletest::prelude::*;
use pick::Reachability;

fn at(ms: u64) -> Tick {
    Tick::from_millis(1_000 + ms)
}

#[gtest]
fn few_requests_wait_for_an_unreachable_domain() {
    let (mut reachability, domain) = (Reachability::default(), Name::from("a"));
    let mut waits = 0;
    // One request every 20 ms for six seconds; each one that is sent to the domain hangs.
    for ms in (0..6_000).step_by(20) {
        if !reachability.is_unreachable(at(ms), &domain) {
            waits += 1;
            reachability.record_failure(at(ms), &domain);
        }
    }
    expect_that!(waits, le(6));
}

#[gtest]
fn a_domain_is_used_again_soon_after_it_recovers() {
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
fn one_crashed_server_does_not_make_its_domain_unreachable() {
    let (mut reachability, domain) = (Reachability::default(), Name::from("a"));
    for ms in (0..5_000).step_by(100) {
        reachability.record_failure(at(ms), &domain);
        reachability.record_success(&domain);
        expect_that!(reachability.is_unreachable(at(ms), &domain), eq(false));
    }
}

#[gtest]
fn failures_of_calls_in_flight_do_not_prolong_the_block() {
    let (mut reachability, domain) = (Reachability::default(), Name::from("a"));
    for _ in 0..50 {
        reachability.record_failure(at(0), &domain);
    }
    expect_that!(reachability.is_unreachable(at(499), &domain), eq(true));
    expect_that!(reachability.is_unreachable(at(500), &domain), eq(false));
    expect_that!(reachability.is_unreachable(at(0), &"b".into()), eq(false));
}

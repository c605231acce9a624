//! Servers that ask for a pause get nothing before its end, whatever else happens to them.

use core::time::Duration;

use base::{Name, Tick};
use googletest::prelude::*;
use pick::{Fleet, fleet::Completion};

fn id() -> Name {
    "i-1".into()
}

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

#[gtest]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut fleet = Fleet::default();
    fleet.pause(at(1_000), &id(), at(9_000));
    fleet.pause(at(2_000), &id(), at(3_000));
    expect_that!(fleet.is_blocked(at(8_999), &id()), eq(true));
    expect_that!(fleet.paused_until(at(5_000), &id()), some(eq(at(9_000))));
    expect_that!(fleet.is_blocked(at(9_000), &id()), eq(false));
    expect_that!(fleet.paused_until(at(9_000), &id()), none());
}

#[gtest]
fn answers_to_earlier_calls_do_not_end_a_pause() {
    let mut fleet = Fleet::default();
    fleet.record_start(at(900), &id(), 0);
    fleet.record_start(at(950), &id(), 0);
    fleet.pause(at(1_000), &id(), at(4_000));
    let latency = Duration::from_millis(100);
    fleet.record_completion(at(1_050), &id(), Completion::Answered { latency });
    fleet.record_completion(at(1_060), &id(), Completion::Unreachable);
    expect_that!(fleet.is_blocked(at(3_999), &id()), eq(true));
    expect_that!(fleet.is_blocked(at(4_000), &id()), eq(false));
}

#[gtest]
fn a_pause_outlasts_the_statistics_of_an_unused_server() {
    let mut fleet = Fleet::default();
    fleet.pause(at(1_000), &id(), at(300_000));
    fleet.remove_idle(at(200_000), Duration::from_secs(60));
    expect_that!(fleet.is_blocked(at(200_000), &id()), eq(true));
    fleet.remove_idle(at(300_000), Duration::from_secs(60));
    expect_that!(fleet.paused_until(at(300_000), &id()), none());
}

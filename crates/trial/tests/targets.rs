//! Stated targets that are not met yet, on fixed seeds.

use googletest::prelude::*;
use trial::{
    Policy, Size, Trace,
    bound::{self, Knowledge},
    trace::Kind,
};

const SEED: u64 = 1;
/// The length of traces, in seconds.
const SECONDS: f64 = 40.0;

#[gtest]
fn a_stage_slow_for_a_short_time_is_answered_better_than_by_every_baseline() {
    for size in [Size::adinkra(), Size::compas()] {
        let trace = Trace::new(&size, Kind::Slow, SEED, SECONDS);
        let ours = trial::run(&size, &trace, Policy::ours(), SEED);
        let best = Policy::baselines()
            .into_iter()
            .map(|policy| trial::run(&size, &trace, policy, SEED))
            .map(|tally| tally.attainment())
            .fold(0.0, f64::max);
        expect_that!(ours.attainment(), ge(best), "{}", size.name);
    }
}

#[gtest]
fn a_burst_reaches_the_stated_share_of_the_bound() {
    expect_share_of_bound(Kind::Burst);
}

#[gtest]
fn a_slow_stage_reaches_the_stated_share_of_the_bound() {
    expect_share_of_bound(Kind::Slow);
}

/// Expects the stated share of the attainment that any policy could reach.
fn expect_share_of_bound(kind: Kind) {
    const SHARE: f64 = 0.95;
    for size in [Size::adinkra(), Size::compas()] {
        let trace = Trace::new(&size, kind, SEED, SECONDS);
        let bound = bound::attainment(&size, &trace, Knowledge::Exact);
        let ours = trial::run(&size, &trace, Policy::ours(), SEED);
        expect_that!(ours.attainment(), ge(SHARE * bound), "{}", size.name);
    }
}

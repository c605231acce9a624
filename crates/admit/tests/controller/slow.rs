//! Admission while a pool is slow and after it has recovered.

use core::time::Duration;

use admit::Verdict;
use base::{Code, Name};
use googletest::prelude::*;

use crate::simulation::{Simulation, refusal};

/// Creates a pool with one slot that is ten times slower than its baseline.
fn slow_pool() -> Simulation {
    let mut sim = Simulation::new(1.0);
    for _ in 0..60 {
        sim.measure(Duration::from_millis(100));
    }
    for _ in 0..20 {
        sim.measure(Duration::from_secs(1));
    }
    sim
}

/// The pool may recover in time, but requests that are likely to miss their deadline are refused while their
/// callers can still retry.
#[gtest]
fn requests_that_would_wait_too_long_at_the_current_speed_are_refused() {
    let mut sim = slow_pool();
    let first = sim.request("press", 0, Duration::from_millis(2_500));
    expect_that!(sim.offer(first), eq(Verdict::Start));
    let mut refused = Vec::new();
    for _ in 0..10 {
        let request = sim.request("press", 0, Duration::from_millis(2_500));
        refused.extend(refusal(sim.offer(request)));
    }
    // The deadline of each leaves time for two and a half stage times of 1 s.
    expect_that!(refused.len(), ge(10 - 3));
    for refusal in refused {
        expect_that!(refusal.code, eq(Code::DeadlineUnmeetable));
        expect_that!(refusal.retry_after, gt(Duration::ZERO));
    }
}

#[gtest]
fn a_recovered_pool_is_recognized_after_a_few_answers() {
    let mut sim = slow_pool();
    let draft = Name::from("draft");
    expect_that!(
        sim.controller.required_time(sim.now, &draft, 0),
        ge(Duration::from_millis(900))
    );
    for _ in 0..3 {
        sim.measure(Duration::from_millis(100));
    }
    expect_that!(
        sim.controller.required_time(sim.now, &draft, 0),
        le(Duration::from_millis(500))
    );
}

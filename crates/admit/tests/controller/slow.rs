//! What becomes of requests while a pool is slow and when it is back.

use core::time::Duration;

use admit::Verdict;
use base::{Code, Name};
use googletest::prelude::*;

use crate::simulation::{Simulation, refusal};

/// Ten times slower than usual, with one place.
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

/// It may be back in time, but whoever is likely to be refused is told so while there is time left.
#[gtest]
fn a_queue_too_long_at_the_present_speed_is_refused_at_once() {
    let mut sim = slow_pool();
    let first = sim.request("press", 0, Duration::from_millis(2_500));
    expect_that!(sim.offer(first), eq(Verdict::Start));
    let mut refused = Vec::new();
    for _ in 0..10 {
        let request = sim.request("press", 0, Duration::from_millis(2_500));
        refused.extend(refusal(sim.offer(request)));
    }
    // Two and a half of its seconds are left to each.
    expect_that!(refused.len(), ge(10 - 3));
    for refusal in refused {
        expect_that!(refusal.code, eq(Code::DeadlineUnmeetable));
        expect_that!(refusal.retry_after, gt(Duration::ZERO));
    }
}

#[gtest]
fn a_pool_that_is_back_is_believed_after_a_few_answers() {
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

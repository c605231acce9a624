//! Which requests start, wait or are refused.

mod simulation;
mod slow;

use core::time::Duration;

use admit::{Action, Event, Request, Verdict};
use base::{Code, Name};
use googletest::prelude::*;

use crate::simulation::{Simulation, refusal, started};

const DAY: Duration = Duration::from_secs(86_400);

#[gtest]
fn a_request_that_cannot_meet_its_deadline_is_refused() {
    let mut sim = Simulation::new(1.0);
    sim.measure(Duration::from_secs(1));
    let request = sim.request("press", 0, Duration::from_millis(900));
    let refusal = refusal(sim.offer(request)).expect("a refusal");
    expect_that!(refusal.code, eq(Code::DeadlineUnmeetable));
    expect_that!(sim.controller.waiting(), eq(0));
}

#[gtest]
fn the_waiting_time_counts_against_the_deadline() {
    let mut sim = Simulation::new(1.0);
    sim.measure(Duration::from_secs(1));
    let mut verdicts = Vec::new();
    for _ in 0..10 {
        let request = sim.request("press", 0, Duration::from_secs(5));
        verdicts.push(sim.offer(request));
    }
    let refused = verdicts.into_iter().filter_map(refusal).count();
    expect_that!(refused, all!(ge(4), le(6)));
}

#[gtest]
fn a_request_for_a_stage_that_is_down_is_refused_with_a_retry_delay() {
    let mut sim = Simulation::new(0.0);
    let request = sim.request("press", 0, Duration::from_secs(5));
    let refusal = refusal(sim.offer(request)).expect("a refusal");
    expect_that!(refusal.code, eq(Code::StageUnavailable));
    expect_that!(refusal.retry_after, ge(Duration::from_millis(500)));
}

#[gtest]
fn retry_delays_of_refused_callers_are_spread() {
    let mut sim = Simulation::new(1.0);
    sim.measure(Duration::from_secs(1));
    let mut times = Vec::new();
    for _ in 0..50 {
        let request = sim.request("press", 0, Duration::from_millis(500));
        times.push(refusal(sim.offer(request)).expect("a refusal").retry_after);
    }
    times.sort();
    let spread = times[49] - times[0];
    expect_that!(spread, ge(Duration::from_secs(10)));
    expect_that!(times[49], le(Duration::from_secs(45)));
}

#[gtest]
fn requests_are_ordered_by_priority_then_slack() {
    let mut sim = Simulation::new(1.0);
    let first = sim.request("press", 0, Duration::from_secs(60));
    let late = sim.request("press", 0, Duration::from_secs(50));
    let soon = sim.request("press", 0, Duration::from_secs(40));
    let urgent = sim.request("press", 3, Duration::from_secs(60));
    let (head, expected) = (first.id, vec![urgent.id, soon.id, late.id]);
    for request in [first, late, soon, urgent] {
        sim.offer(request);
    }
    let mut order = Vec::new();
    let mut next = head;
    for _ in 0..3 {
        next = started(&sim.finish(next, Duration::from_millis(10)))[0];
        order.push(next);
    }
    expect_that!(order, eq(&expected));
}

#[gtest]
fn accounts_share_capacity_by_served_cost_and_weight() {
    let mut sim = Simulation::new(1.0);
    sim.controller.set_account(&"large".into(), 3);
    sim.controller.set_account(&"small".into(), 1);
    let mut owners = Vec::new();
    let head = sim.request("press", 0, Duration::from_secs(600));
    let mut next = head.id;
    sim.offer(head);
    for _ in 0..100 {
        for account in ["large", "small"] {
            let request = sim.request(account, 0, Duration::from_secs(600));
            owners.push((request.id, account));
            sim.offer(request);
        }
    }
    let mut large = 0;
    for _ in 0..80 {
        next = started(&sim.finish(next, Duration::from_millis(100)))[0];
        let owner = owners.iter().find(|owner| owner.0 == next);
        large += usize::from(owner.expect("an owner").1 == "large");
    }
    expect_that!(large, all!(ge(56), le(64)));
}

#[gtest]
fn a_background_request_yields_but_is_neither_refused_nor_starved() {
    let mut sim = Simulation::new(1.0);
    let head = sim.request("press", 0, Duration::from_secs(600));
    let mut next = head.id;
    sim.offer(head);
    let background = sim.request("press", 0, 3 * DAY);
    let id = background.id;
    expect_that!(sim.offer(background), eq(Verdict::Queued));
    let mut starts = 0;
    loop {
        sim.now = sim.now + Duration::from_millis(10);
        for _ in 0..2 {
            let request = sim.request("press", 9, Duration::from_secs(600));
            sim.offer(request);
        }
        expect_that!(sim.tick().is_empty(), eq(true));
        next = started(&sim.finish(next, Duration::from_millis(10)))[0];
        starts += 1;
        if next == id {
            break;
        }
        assert_that!(starts, le(40));
    }
    expect_that!(starts, ge(2));
}

#[gtest]
fn a_request_resent_under_the_same_key_keeps_its_position() {
    let mut sim = Simulation::new(1.0);
    let head = sim.request("press", 0, Duration::from_secs(60));
    let next = head.id;
    sim.offer(head);
    let issued = sim.now;
    sim.now = sim.now + Duration::from_secs(1);
    let other = sim.request("press", 0, Duration::from_secs(60));
    sim.offer(other);
    sim.now = sim.now + Duration::from_millis(500);
    let mut repeat = sim.request("press", 0, Duration::from_secs(60));
    repeat.issued_at = issued;
    let id = repeat.id;
    sim.offer(repeat);
    let actions = sim.finish(next, Duration::from_millis(10));
    expect_that!(started(&actions), elements_are![eq(&id)]);
}

#[gtest]
fn a_waiting_request_that_can_no_longer_meet_its_deadline_is_refused() {
    let mut sim = Simulation::new(1.0);
    sim.measure(Duration::from_millis(100));
    let head = sim.request("press", 0, Duration::from_secs(60));
    sim.offer(head);
    let request = sim.request("press", 0, Duration::from_secs(1));
    let id = request.id;
    expect_that!(sim.offer(request), eq(Verdict::Queued));
    sim.now = sim.now + Duration::from_millis(950);
    let actions = sim.tick();
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Refuse(eq(&id), anything()))]
    );
}

#[gtest]
fn regained_capacity_starts_a_waiting_request() {
    let mut sim = Simulation::new(1.0);
    let head = sim.request("press", 0, Duration::from_secs(60));
    sim.offer(head);
    let request = sim.request("press", 0, Duration::from_secs(60));
    let id = request.id;
    expect_that!(sim.offer(request), eq(Verdict::Queued));
    let actions = sim.capacity(8.0);
    expect_that!(started(&actions), elements_are![eq(&id)]);
}

#[gtest]
fn retry_delays_end_before_the_deadline_and_are_spread() {
    let mut sim = Simulation::new(1.0);
    for _ in 0..50 {
        sim.measure(Duration::from_millis(100));
    }
    let mut times = Vec::new();
    for _ in 0..200 {
        let request = sim.request("press", 0, Duration::from_secs(5));
        times.extend(refusal(sim.offer(request)).map(|refusal| refusal.retry_after));
    }
    times.sort();
    expect_that!(times, len(ge(100)));
    expect_that!(times[times.len() - 1], le(Duration::from_secs(5)));
    expect_that!(
        times[times.len() - 1] - times[0],
        ge(Duration::from_secs(2))
    );
}

#[gtest]
fn a_stage_considered_too_slow_is_tried_again() {
    let mut sim = Simulation::new(4.0);
    for _ in 0..50 {
        sim.measure(Duration::from_millis(100));
    }
    for _ in 0..50 {
        sim.measure(Duration::from_secs(8));
    }
    let request = sim.request("press", 0, Duration::from_secs(5));
    expect_that!(refusal(sim.offer(request)).is_some(), eq(true));
    sim.now = sim.now + Duration::from_secs(5);
    let request = sim.request("press", 0, Duration::from_secs(5));
    expect_that!(refusal(sim.offer(request)).is_none(), eq(true));
}

#[gtest]
fn a_small_pool_behind_a_slow_one_does_not_block_other_pipelines() {
    let mut sim = Simulation::new(64.0);
    sim.controller
        .set_pipeline(&"lookup".into(), &["services".into()]);
    sim.controller
        .set_pipeline(&"summary".into(), &["runners".into(), "services".into()]);
    sim.on(Event::Capacity {
        pool: "services".into(),
        slots: 1.3,
        retry_after: Duration::ZERO,
    });
    let request_for = |sim: &mut Simulation, pipeline: &str| Request {
        pipeline: Name::from(pipeline),
        ..sim.request("press", 0, Duration::from_secs(60))
    };
    // Measure both pipelines.
    for (pipeline, stages) in [("lookup", &[10_u64][..]), ("summary", &[1_000, 10])] {
        let request = request_for(&mut sim, pipeline);
        let id = request.id;
        sim.offer(request);
        for (stage, millis) in stages.iter().enumerate() {
            let elapsed = Duration::from_millis(*millis);
            sim.on(Event::StageFinished {
                request: id,
                stage,
                elapsed,
            });
        }
        sim.on(Event::Finished {
            request: id,
            cost: 1.0,
        });
    }
    for _ in 0..20 {
        let request = request_for(&mut sim, "summary");
        expect_that!(sim.offer(request), eq(Verdict::Start));
    }
    let request = request_for(&mut sim, "lookup");
    expect_that!(sim.offer(request), eq(Verdict::Start));
}

//! Which requests start, wait or are refused.

mod slow;
mod world;

use core::time::Duration;

use admit::{Action, Ask, Event, Verdict};
use base::{Code, Name};
use googletest::prelude::*;

use crate::world::{World, refusal, started};

const DAY: Duration = Duration::from_secs(86_400);

#[gtest]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut world = World::new(1.0);
    world.measure(Duration::from_secs(1));
    let ask = world.ask("press", 0, Duration::from_millis(900));
    let refusal = refusal(world.offer(ask)).expect("a refusal");
    expect_that!(refusal.code, eq(Code::DeadlineUnmeetable));
    expect_that!(world.gate.waiting(), eq(0));
}

#[gtest]
fn the_wait_in_the_queue_counts_against_the_deadline() {
    let mut world = World::new(1.0);
    world.measure(Duration::from_secs(1));
    let mut verdicts = Vec::new();
    for _ in 0..10 {
        let ask = world.ask("press", 0, Duration::from_secs(5));
        verdicts.push(world.offer(ask));
    }
    let refused = verdicts.into_iter().filter_map(refusal).count();
    expect_that!(refused, all!(ge(4), le(6)));
}

#[gtest]
fn a_stage_that_is_down_is_refused_with_when_to_come_back() {
    let mut world = World::new(0.0);
    let ask = world.ask("press", 0, Duration::from_secs(5));
    let refusal = refusal(world.offer(ask)).expect("a refusal");
    expect_that!(refusal.code, eq(Code::StageUnavailable));
    expect_that!(refusal.retry_after, ge(Duration::from_millis(500)));
}

#[gtest]
fn refused_callers_are_told_to_come_back_at_different_times() {
    let mut world = World::new(1.0);
    world.measure(Duration::from_secs(1));
    let mut times = Vec::new();
    for _ in 0..50 {
        let ask = world.ask("press", 0, Duration::from_millis(500));
        times.push(refusal(world.offer(ask)).expect("a refusal").retry_after);
    }
    times.sort();
    let spread = times[49] - times[0];
    expect_that!(spread, ge(Duration::from_secs(10)));
    expect_that!(times[49], le(Duration::from_secs(45)));
}

#[gtest]
fn priority_goes_first_then_slack() {
    let mut world = World::new(1.0);
    let first = world.ask("press", 0, Duration::from_secs(60));
    let late = world.ask("press", 0, Duration::from_secs(50));
    let soon = world.ask("press", 0, Duration::from_secs(40));
    let urgent = world.ask("press", 3, Duration::from_secs(60));
    let (head, want) = (
        first.request,
        vec![urgent.request, soon.request, late.request],
    );
    for ask in [first, late, soon, urgent] {
        world.offer(ask);
    }
    let mut order = Vec::new();
    let mut next = head;
    for _ in 0..3 {
        next = started(&world.finish(next, Duration::from_millis(10)))[0];
        order.push(next);
    }
    expect_that!(order, eq(&want));
}

#[gtest]
fn accounts_share_by_served_cost_and_weight() {
    let mut world = World::new(1.0);
    world.gate.account(&"large".into(), 3);
    world.gate.account(&"small".into(), 1);
    let mut owners = Vec::new();
    let head = world.ask("press", 0, Duration::from_secs(600));
    let mut next = head.request;
    world.offer(head);
    for _ in 0..100 {
        for account in ["large", "small"] {
            let ask = world.ask(account, 0, Duration::from_secs(600));
            owners.push((ask.request, account));
            world.offer(ask);
        }
    }
    let mut large = 0;
    for _ in 0..80 {
        next = started(&world.finish(next, Duration::from_millis(100)))[0];
        let owner = owners.iter().find(|owner| owner.0 == next);
        large += usize::from(owner.expect("an owner").1 == "large");
    }
    expect_that!(large, all!(ge(56), le(64)));
}

#[gtest]
fn a_patient_request_gives_way_yet_is_neither_refused_nor_starved() {
    let mut world = World::new(1.0);
    let head = world.ask("press", 0, Duration::from_secs(600));
    let mut next = head.request;
    world.offer(head);
    let patient = world.ask("press", 0, 3 * DAY);
    let request = patient.request;
    expect_that!(world.offer(patient), eq(Verdict::Queued));
    let mut starts = 0;
    loop {
        world.now = world.now + Duration::from_millis(10);
        for _ in 0..2 {
            let ask = world.ask("press", 9, Duration::from_secs(600));
            world.offer(ask);
        }
        expect_that!(world.tick().is_empty(), eq(true));
        next = started(&world.finish(next, Duration::from_millis(10)))[0];
        starts += 1;
        if next == request {
            break;
        }
        assert_that!(starts, le(40));
    }
    expect_that!(starts, ge(2));
}

#[gtest]
fn a_repeat_under_the_same_key_keeps_its_place() {
    let mut world = World::new(1.0);
    let head = world.ask("press", 0, Duration::from_secs(60));
    let next = head.request;
    world.offer(head);
    let issued = world.now;
    world.now = world.now + Duration::from_secs(1);
    let other = world.ask("press", 0, Duration::from_secs(60));
    world.offer(other);
    world.now = world.now + Duration::from_millis(500);
    let mut repeat = world.ask("press", 0, Duration::from_secs(60));
    repeat.age_from = issued;
    let request = repeat.request;
    world.offer(repeat);
    let actions = world.finish(next, Duration::from_millis(10));
    expect_that!(started(&actions), elements_are![eq(&request)]);
}

#[gtest]
fn what_becomes_hopeless_while_it_waits_is_refused_without_work() {
    let mut world = World::new(1.0);
    world.measure(Duration::from_millis(100));
    let head = world.ask("press", 0, Duration::from_secs(60));
    world.offer(head);
    let ask = world.ask("press", 0, Duration::from_secs(1));
    let request = ask.request;
    expect_that!(world.offer(ask), eq(Verdict::Queued));
    world.now = world.now + Duration::from_millis(950);
    let actions = world.tick();
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Refuse(eq(&request), anything()))]
    );
}

#[gtest]
fn capacity_that_comes_back_starts_what_waits() {
    let mut world = World::new(1.0);
    let head = world.ask("press", 0, Duration::from_secs(60));
    world.offer(head);
    let ask = world.ask("press", 0, Duration::from_secs(60));
    let request = ask.request;
    expect_that!(world.offer(ask), eq(Verdict::Queued));
    let actions = world.capacity(8.0);
    expect_that!(started(&actions), elements_are![eq(&request)]);
}

#[gtest]
fn callers_with_time_left_come_back_before_their_deadline_at_different_times() {
    let mut world = World::new(1.0);
    for _ in 0..50 {
        world.measure(Duration::from_millis(100));
    }
    let mut times = Vec::new();
    for _ in 0..200 {
        let ask = world.ask("press", 0, Duration::from_secs(5));
        times.extend(refusal(world.offer(ask)).map(|refusal| refusal.retry_after));
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
fn a_stage_once_held_to_be_too_slow_is_tried_again() {
    let mut world = World::new(4.0);
    for _ in 0..50 {
        world.measure(Duration::from_millis(100));
    }
    for _ in 0..50 {
        world.measure(Duration::from_secs(8));
    }
    let ask = world.ask("press", 0, Duration::from_secs(5));
    expect_that!(refusal(world.offer(ask)).is_some(), eq(true));
    world.now = world.now + Duration::from_secs(5);
    let ask = world.ask("press", 0, Duration::from_secs(5));
    expect_that!(refusal(world.offer(ask)).is_none(), eq(true));
}

#[gtest]
fn a_small_pool_behind_a_slow_one_does_not_hold_others_back() {
    let mut world = World::new(64.0);
    world.gate.pipeline(&"lookup".into(), &["services".into()]);
    world
        .gate
        .pipeline(&"summary".into(), &["runners".into(), "services".into()]);
    world.on(Event::Capacity {
        pool: "services".into(),
        places: 1.3,
        retry_after: Duration::ZERO,
    });
    let ask_for = |world: &mut World, pipeline: &str| Ask {
        pipeline: Name::from(pipeline),
        ..world.ask("press", 0, Duration::from_secs(60))
    };
    // Measure both pipelines.
    for (pipeline, stages) in [("lookup", &[10_u64][..]), ("summary", &[1_000, 10])] {
        let ask = ask_for(&mut world, pipeline);
        let request = ask.request;
        world.offer(ask);
        for (stage, millis) in stages.iter().enumerate() {
            let took = Duration::from_millis(*millis);
            world.on(Event::StageTook {
                request,
                stage,
                took,
            });
        }
        world.on(Event::Finished { request, cost: 1.0 });
    }
    for _ in 0..20 {
        let ask = ask_for(&mut world, "summary");
        expect_that!(world.offer(ask), eq(Verdict::Start));
    }
    let ask = ask_for(&mut world, "lookup");
    expect_that!(world.offer(ask), eq(Verdict::Start));
}

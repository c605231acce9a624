//! Single decisions by reports that are fresh, old or missing.

use core::time::Duration;

use base::Tick;
use batch::{Backlog, Shard, backlog::Level};
use googletest::prelude::*;
use room::{
    Controller,
    controller::{Decision, Reason, Request, Stage},
};
use site::route::Rank;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn stages() -> Vec<Stage<'static>> {
    let depends_on: [&[usize]; 3] = [&[], &[0], &[1]];
    let stages = depends_on.into_iter().enumerate();
    let stages = stages.map(|(at, depends_on)| Stage {
        shard: Shard::whole(&format!("p{at}").into()),
        depends_on,
        call_time: MS(275),
        is_omitted: false,
    });
    stages.collect()
}

/// Returns a controller to which the third stage has reported a backlog of rank 1 at 10 s.
fn controller(late: Duration, memory_permille: u16) -> Controller {
    let mut controller = Controller::default();
    let level = Level {
        rank: Rank::new(Some(1), 0),
        on_time: MS(900),
        late,
    };
    let backlog = Backlog {
        free_in: MS(10),
        levels: vec![level],
        memory_permille,
    };
    let at = Tick::from_millis(10_000);
    for pool in ["p1", "p2"] {
        let shard = Shard::whole(&pool.into());
        let forecast = &mut controller.forecast;
        forecast.record(at, &shard, &"b".into(), backlog.clone());
    }
    controller
}

fn request(rank: u8) -> Request<'static> {
    Request {
        rank: Rank::new(Some(rank), 0),
        account: None,
        objective: MS(1_300),
        waited: MS(0),
        has_returned: false,
        time_left: MS(5_000),
        delayed: MS(0),
        draw: 0.5,
    }
}

fn decide(controller: &Controller, now: u64, request: &Request<'_>) -> Decision {
    let now = Tick::from_millis(now);
    let estimate = controller.estimate(now, &stages(), request.rank, MS(150));
    controller.decide(request, &estimate)
}

fn is_refused(decision: Decision, reason: Reason) -> bool {
    matches!(decision, Decision::Refuse { reason: found, .. } if found == reason)
}

/// Guards against work on requests that can't be answered in time, and against urgent ones refused for others' backlog.
#[gtest]
fn what_can_not_meet_its_deadline_is_refused_before_its_first_stage() {
    let controller = controller(MS(4_000), 0);
    let decision = decide(&controller, 10_100, &request(1));
    expect_that!(is_refused(decision, Reason::Deadline), eq(true));
    let Decision::Refuse { retry_after, .. } = decision else {
        return;
    };
    // Callers wait for at most a third of the time left.
    expect_that!(retry_after, all!(ge(MS(275)), le(MS(1_650))));
    expect_that!(
        decide(&controller, 10_100, &request(0)),
        eq(Decision::Start)
    );
}

/// Guards against decisions by what was true seconds ago, as when the owner of a shard is lost.
#[gtest]
fn old_and_dropped_reports_refuse_nothing() {
    let mut controller = controller(MS(4_000), 0);
    expect_that!(
        decide(&controller, 13_001, &request(1)),
        eq(Decision::Start)
    );
    // At 2.8 s of age a report counts a tenth.
    expect_that!(
        decide(&controller, 12_800, &request(1)),
        eq(Decision::Start)
    );
    controller.forecast.forget_owner(&"b".into());
    expect_that!(
        decide(&controller, 10_100, &request(1)),
        eq(Decision::Start)
    );
}

/// Guards against late work that takes the last memory of a stage: it waits without holding anything, a third of its time
/// at most.
#[gtest]
fn late_work_waits_while_memory_is_full_and_is_refused_then() {
    let controller = controller(MS(1_000), 950);
    let delayed = decide(&controller, 10_100, &request(1));
    expect_that!(matches!(delayed, Decision::Delay(_)), eq(true));
    let waited = Request {
        delayed: MS(1_650),
        waited: MS(1_650),
        time_left: MS(3_350),
        ..request(1)
    };
    let refused = decide(&controller, 10_100, &waited);
    expect_that!(is_refused(refused, Reason::Late), eq(true));
}

/// Guards against shares that accounts lose for what they sent long ago: the work of an account halves every 5 s.
#[gtest]
fn an_account_that_stops_flooding_is_no_longer_heavy() {
    let mut controller = Controller::default();
    let accounts = &mut controller.accounts;
    let mut record = |at: u64, account: u64| {
        let account = format!("a{account}").into();
        accounts.record(Tick::from_millis(at), &account, MS(100));
    };
    for at in 0..600 {
        record(10 * at, if at % 2 == 0 { 0 } else { at % 20 });
    }
    expect_that!(controller.accounts.is_heavy(&"a0".into()), eq(true));
    for at in 0..2_000 {
        let account = format!("a{}", at % 20).into();
        let at = Tick::from_millis(6_000 + 10 * at);
        controller.accounts.record(at, &account, MS(100));
    }
    expect_that!(controller.accounts.is_heavy(&"a0".into()), eq(false));
}

//! Hedged requests and progress timeouts.

use std::time::Duration;

use base::{Name, Tick};
use googletest::prelude::*;
use retry::{
    Budget, Hedge, Histogram, Timeouts, configs,
    hedge::{Action, Context, Event},
    timeout::{Exceeded, Progress},
};

const LATE: Tick = Tick::from_millis(200);

fn latencies() -> Histogram {
    let mut times = Histogram::default();
    (1..=100).for_each(|time| times.record(Duration::from_millis(time)));
    times
}

fn hedge(idempotent: bool) -> Hedge {
    let config = configs::hedge::Hedge::default();
    Hedge::new(Tick::default(), 0, idempotent, &latencies(), &config)
}

fn handle(hedge: &mut Hedge, now: Tick, event: Event, budget: &mut Budget) -> Vec<Action> {
    let (stage, account) = (Name::from("encode"), Name::from("adinkra"));
    let mut cx = Context {
        budget,
        stage: &stage,
        account: &account,
    };
    hedge.handle(now, event, &mut cx)
}

fn budget() -> Budget {
    Budget::new(configs::budget::Budget::default())
}

#[gtest]
fn a_call_that_is_not_idempotent_is_never_hedged() {
    let (mut hedge, mut budget) = (hedge(false), budget());
    expect_that!(
        handle(&mut hedge, LATE, Event::Tick, &mut budget),
        is_empty()
    );
}

#[gtest]
fn the_second_attempt_starts_once_after_the_quantile() {
    let (mut hedge, mut budget) = (hedge(true), budget());
    let due = hedge.due().expect("enough samples");
    expect_that!(
        due,
        all![ge(Tick::from_millis(95)), le(Tick::from_millis(105))]
    );
    expect_that!(
        handle(&mut hedge, Tick::from_millis(90), Event::Tick, &mut budget),
        is_empty()
    );
    expect_that!(
        handle(&mut hedge, LATE, Event::Tick, &mut budget),
        elements_are![eq(&Action::Start(1))]
    );
    expect_that!(
        handle(&mut hedge, LATE, Event::Tick, &mut budget),
        is_empty()
    );
}

#[gtest]
fn the_first_answer_is_accepted_and_cancels_the_other_attempt() {
    let (mut hedge, mut budget) = (hedge(true), budget());
    handle(&mut hedge, LATE, Event::Tick, &mut budget);
    let actions = handle(&mut hedge, LATE, Event::Answered(1), &mut budget);
    expect_that!(
        actions,
        elements_are![eq(&Action::Accept(1)), eq(&Action::Cancel(0))]
    );
    expect_that!(
        handle(&mut hedge, LATE, Event::Answered(0), &mut budget),
        is_empty()
    );
    expect_that!(
        handle(&mut hedge, LATE, Event::Failed(0), &mut budget),
        is_empty()
    );
}

#[gtest]
fn an_exhausted_budget_starts_no_second_attempt() {
    let (mut hedge, mut budget) = (hedge(true), budget());
    let (stage, account) = (Name::from("encode"), Name::from("adinkra"));
    while budget.try_withdraw(LATE, &stage, &account).is_ok() {}
    expect_that!(
        handle(&mut hedge, LATE, Event::Tick, &mut budget),
        is_empty()
    );
}

#[gtest]
fn the_call_fails_when_both_attempts_fail() {
    let (mut hedge, mut budget) = (hedge(true), budget());
    handle(&mut hedge, LATE, Event::Tick, &mut budget);
    expect_that!(
        handle(&mut hedge, LATE, Event::Failed(0), &mut budget),
        is_empty()
    );
    expect_that!(
        handle(&mut hedge, LATE, Event::Failed(1), &mut budget),
        elements_are![eq(&Action::Fail)]
    );
}

#[gtest]
fn timeouts_follow_measured_latencies() {
    let mut timeouts = Timeouts::default();
    let remaining = Duration::from_secs(60);
    let before = timeouts.limits(remaining);
    for _ in 0..100 {
        timeouts.record(Progress::FirstByte(Duration::from_millis(200)));
        timeouts.record(Progress::Gap(Duration::from_millis(30)));
    }
    let after = timeouts.limits(remaining);
    expect_that!(before.first_byte, eq(Duration::from_secs(10)));
    expect_that!(
        after.first_byte,
        all![
            ge(Duration::from_millis(800)),
            le(Duration::from_millis(900))
        ]
    );
    expect_that!(after.gap, eq(Duration::from_millis(250)));
    expect_that!(after.total, eq(remaining));
}

#[gtest]
fn a_stalled_stream_exceeds_its_gap_timeout_before_its_deadline() {
    let mut timeouts = Timeouts::default();
    for _ in 0..100 {
        timeouts.record(Progress::Gap(Duration::from_millis(100)));
    }
    let mut watch = timeouts.watch(Tick::default(), Duration::from_secs(5));
    watch.record_chunk(Tick::from_millis(100));
    watch.record_chunk(Tick::from_millis(200));
    expect_that!(watch.exceeded(Tick::from_millis(600)), none());
    expect_that!(
        watch.exceeded(Tick::from_millis(700)),
        some(eq(Exceeded::Gap))
    );
    expect_that!(watch.next_deadline(), le(Tick::from_millis(700)));
}

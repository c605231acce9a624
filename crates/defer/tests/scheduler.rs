//! Which tasks an instance starts, and when.

use core::time::Duration;
use std::time::Instant;

use base::{Code, Digest, Incarnation, Key, Outcome, Stamp, Tick};
use defer::{
    Projection, Record, Scheduler, Task,
    configs::Config,
    record::{Ending, Request},
    scheduler::{self, Action, Context},
};
use googletest::prelude::*;

const PARTITION: u16 = 3;
const START: u64 = 1_000_000;

fn stamp(seconds: u64) -> Stamp {
    Stamp::from_millis(START + seconds * 1_000)
}

fn request(key: u128, deadline: u64) -> Request {
    Request {
        account: "authors".into(),
        at: stamp(0),
        body: Digest::of(b"text"),
        deadline: stamp(deadline),
        input: "text".into(),
        key: Key::from_parts(stamp(0), key),
        pipeline: "report".into(),
    }
}

fn projection(deadlines: &[u64]) -> (Projection, Vec<Task>) {
    let mut projection = Projection::new(Config::default().outcome_retention);
    let requests = (1..).zip(deadlines).map(|(key, left)| request(key, *left));
    let mut tasks = Vec::new();
    for (offset, request) in (0..).zip(requests) {
        tasks.push(request.task());
        projection.apply(offset, &Record::Accepted(request).to_json());
    }
    (projection, tasks)
}

fn instance(at: usize) -> Incarnation {
    Incarnation::new(format!("entry-{at}").as_str(), stamp(0))
}

/// Returns the actions of an instance, at a second after the start.
fn actions_of(
    scheduler: &mut Scheduler,
    projection: &Projection,
    own: &Incarnation,
    members: &[Incarnation],
    at: u64,
) -> Vec<Action> {
    let cx = Context {
        members,
        now: Tick::from_millis(at * 1_000),
        own,
        partition: PARTITION,
        wall: stamp(at),
    };
    scheduler.next_actions(cx, projection)
}

fn actions_alone(scheduler: &mut Scheduler, projection: &Projection, at: u64) -> Vec<Action> {
    let own = instance(1);
    actions_of(scheduler, projection, &own, core::slice::from_ref(&own), at)
}

fn start(task: Task, offset: u64) -> Action {
    Action::Start { task, offset }
}

#[gtest]
fn tasks_start_by_deadline_up_to_the_limit() {
    let (projection, tasks) = projection(&[500, 100, 400, 200, 300]);
    let config = Config {
        max_running: 2,
        ..Config::default()
    };
    let mut scheduler = Scheduler::new(config);
    let first = actions_alone(&mut scheduler, &projection, 0);
    expect_that!(first, eq(&vec![start(tasks[1], 1), start(tasks[3], 3)]));
    expect_that!(scheduler.running_count(), eq(2));
    expect_that!(actions_alone(&mut scheduler, &projection, 1), is_empty());
    scheduler.record_attempt_end(Tick::from_millis(1_000), &tasks[1]);
    // The retry of the first task is not due yet, so the next task is started instead.
    let next = actions_alone(&mut scheduler, &projection, 1);
    expect_that!(next, eq(&vec![start(tasks[4], 4)]));
}

#[gtest]
fn the_retry_interval_doubles_up_to_its_maximum() {
    let (projection, tasks) = projection(&[100_000]);
    let config = Config {
        carry_age: Duration::from_secs(1_000_000),
        max_retry_interval: Duration::from_secs(4),
        ..Config::default()
    };
    let mut scheduler = Scheduler::new(config);
    let mut started = Vec::new();
    for second in 0..20 {
        if !actions_alone(&mut scheduler, &projection, second).is_empty() {
            started.push(second);
            scheduler.record_attempt_end(Tick::from_millis(second * 1_000), &tasks[0]);
        }
    }
    expect_that!(started, eq(&vec![0, 1, 3, 7, 11, 15, 19]));
}

#[gtest]
fn the_next_member_takes_over_the_tasks_of_a_lost_one() {
    let (projection, tasks) = projection(&[100]);
    let members: Vec<_> = (1..=3).map(instance).collect();
    let mut left = members.clone();
    let mut shifts = vec![Scheduler::new(Config::default()); members.len()];
    while !left.is_empty() {
        let owner = scheduler::owner(&left, PARTITION).unwrap().clone();
        for (member, scheduler) in members.iter().zip(&mut shifts) {
            let actions = actions_of(scheduler, &projection, member, &left, 0);
            let expected = if *member == owner {
                vec![start(tasks[0], 0)]
            } else {
                Vec::new()
            };
            expect_that!(actions, eq(&expected), "{member} of {left:?}");
        }
        left.retain(|member| *member != owner);
    }
}

#[gtest]
fn a_task_past_its_deadline_is_expired_and_not_started() {
    let (projection, tasks) = projection(&[10]);
    let mut scheduler = Scheduler::new(Config::default());
    let expire = Action::Expire {
        task: tasks[0],
        offset: 0,
    };
    expect_that!(
        actions_alone(&mut scheduler, &projection, 10),
        eq(&vec![expire.clone()])
    );
    expect_that!(actions_alone(&mut scheduler, &projection, 10), is_empty());
    // Retries, since the append of the ending may have been lost.
    expect_that!(
        actions_alone(&mut scheduler, &projection, 11),
        eq(&vec![expire])
    );
}

#[gtest]
fn a_task_that_ended_elsewhere_is_not_started_again() {
    let (mut projection, tasks) = projection(&[100]);
    let mut scheduler = Scheduler::new(Config::default());
    actions_alone(&mut scheduler, &projection, 0);
    scheduler.record_attempt_end(Tick::default(), &tasks[0]);
    let ending = Ending {
        at: stamp(1),
        body: Digest::of(b"text"),
        carries: None,
        code: Code::Answered,
        deadline: stamp(100),
        outcome: Outcome::Answered,
        output: "output".into(),
        task: tasks[0],
    };
    projection.apply(1, &Record::Ended(ending).to_json());
    expect_that!(actions_alone(&mut scheduler, &projection, 50), is_empty());
}

#[gtest]
fn only_the_owner_carries_records_at_their_age() {
    let (projection, tasks) = projection(&[100_000]);
    let carry = Config::default().carry_age.as_secs();
    let members: Vec<_> = (1..=3).map(instance).collect();
    let owner = scheduler::owner(&members, PARTITION).unwrap();
    let carried = Action::Carry {
        task: tasks[0],
        offset: 0,
    };
    for member in &members {
        let mut scheduler = Scheduler::new(Config::default());
        let early = actions_of(&mut scheduler, &projection, member, &members, carry - 1);
        expect_that!(early, not(contains(eq(&carried))));
        let due = actions_of(&mut scheduler, &projection, member, &members, carry);
        expect_that!(due.contains(&carried), eq(member == owner));
    }
}

/// Returns the shortest of five times to schedule a number of tasks of which none may start.
fn shortest_time(tasks: u64) -> Duration {
    let deadlines: Vec<u64> = (1..=tasks).map(|left| left + 1_000).collect();
    let (projection, _) = projection(&deadlines);
    let mut scheduler = Scheduler::new(Config::default());
    actions_alone(&mut scheduler, &projection, 0);
    let times = (0..5).map(|_| {
        let start = Instant::now();
        actions_alone(&mut scheduler, &projection, 0);
        start.elapsed()
    });
    times.min().unwrap_or_default()
}

#[gtest]
fn scheduling_time_grows_linearly_with_tasks() {
    let ratio = shortest_time(16_000).as_secs_f64() / shortest_time(2_000).as_secs_f64();
    expect_that!(ratio, lt(24.0));
}

//! Which record is in force for readers that begin at different offsets of the log.

use core::time::Duration;

use base::{Code, Digest, Key, Outcome, Stamp};
use defer::{
    Projection, Record, State, Task,
    record::{Ending, Request},
};
use googletest::prelude::*;

const RETENTION: Duration = Duration::from_secs(1_000);

fn stamp(seconds: u64) -> Stamp {
    Stamp::from_millis(1_000_000 + seconds * 1_000)
}

fn request(body: &str, at: u64, deadline: u64) -> Request {
    Request {
        account: "authors".into(),
        at: stamp(at),
        body: Digest::of(body.as_bytes()),
        deadline: stamp(deadline),
        input: body.into(),
        key: Key::from_parts(stamp(0), 1),
        pipeline: "report".into(),
    }
}

fn accepted(body: &str, at: u64, deadline: u64) -> Record {
    Record::Accepted(request(body, at, deadline))
}

fn ended(output: &str, at: u64, deadline: u64) -> Record {
    let request = request("text", at, deadline);
    Record::Ended(Ending {
        at: request.at,
        body: request.body,
        carries: None,
        code: Code::Answered,
        deadline: request.deadline,
        outcome: Outcome::Answered,
        output: output.into(),
        task: request.task(),
    })
}

/// Reads a log from an offset on, and returns the state of the only task.
fn read(log: &[String], first: usize) -> Option<State> {
    let mut projection = Projection::new(RETENTION);
    projection.set_log_start(first as u64);
    for (offset, text) in (0..).zip(log) {
        projection.apply(offset, text);
    }
    let task: Task = request("", 0, 0).task();
    projection.state(&task).cloned()
}

/// Checks that every reader whose log still has the carried record sees the same state.
fn expect_same_state(log: &[String], carried: usize) {
    let whole = read(log, 0);
    expect_that!(whole, some(anything()));
    for first in 1..=carried {
        expect_that!(read(log, first), eq(&whole), "from {first}");
    }
}

#[gtest]
fn all_readers_keep_the_first_request() {
    let first = accepted("text", 0, 100);
    let log = [
        first.to_json(),
        accepted("other", 1, 200).to_json(),
        accepted("text", 2, 300).to_json(),
        first.carry(0, stamp(60)).to_json(),
    ];
    expect_same_state(&log, 3);
}

#[gtest]
fn all_readers_keep_the_first_ending() {
    let (first, second) = (ended("one", 5, 100), ended("two", 6, 100));
    let log = [
        accepted("text", 0, 100).to_json(),
        accepted("other", 1, 200).to_json(),
        first.to_json(),
        second.to_json(),
        first.clone().carry(2, stamp(60)).to_json(),
        // Two instances carried the same ending, and the second copy was carried again.
        first.clone().carry(2, stamp(61)).to_json(),
        Record::parse(&first.carry(2, stamp(61)).to_json())
            .unwrap()
            .carry(5, stamp(120))
            .to_json(),
    ];
    expect_same_state(&log, 6);
}

#[gtest]
fn all_readers_see_the_later_use_of_a_reused_key() {
    let (earlier, later) = (ended("one", 5, 100), ended("two", 1_210, 1_300));
    let log = [
        earlier.to_json(),
        accepted("text", 1_200, 1_300).to_json(),
        earlier.clone().carry(0, stamp(1_090)).to_json(),
        later.to_json(),
        earlier.carry(0, stamp(1_091)).to_json(),
        later.carry(3, stamp(1_260)).to_json(),
    ];
    expect_same_state(&log, 5);
    expect_same_state(&log[..4], 3);
}

#[gtest]
fn a_late_copy_of_an_earlier_ending_does_not_replace_a_later_request() {
    let (earlier, later) = (ended("one", 5, 100), accepted("text", 1_200, 1_300));
    let log = [
        earlier.to_json(),
        later.to_json(),
        earlier.carry(0, stamp(1_090)).to_json(),
        later.carry(1, stamp(1_260)).to_json(),
    ];
    expect_same_state(&log, 3);
    expect_that!(read(&log[..3], 0), some(matches_pattern!(State::Open(_))));
}

#[gtest]
fn a_task_is_known_for_a_minute_longer_than_its_retention() {
    let mut projection = Projection::new(RETENTION);
    projection.apply(0, &ended("one", 5, 100).to_json());
    projection.expire(stamp(1_159));
    expect_that!(projection.tasks(), len(eq(1)));
    projection.expire(stamp(1_160));
    expect_that!(projection.tasks(), is_empty());
}

#[gtest]
fn tasks_that_the_log_dropped_without_a_copy_are_removed() {
    let log = [accepted("text", 0, 100).to_json()];
    expect_that!(read(&log, 0), some(anything()));
    let mut projection = Projection::new(RETENTION);
    projection.apply(0, &log[0]);
    projection.set_log_start(1);
    expect_that!(projection.tasks(), is_empty());
}

#[gtest]
fn a_record_that_was_read_before_has_no_effect() {
    let ending = ended("one", 5, 100);
    let mut projection = Projection::new(RETENTION);
    projection.apply(2, &ending.to_json());
    projection.apply(3, &ending.carry(2, stamp(60)).to_json());
    let before = projection.clone();
    projection.apply(2, &ended("one", 5, 100).to_json());
    expect_that!(
        (projection.next_offset(), projection.tasks()),
        eq((4, before.tasks()))
    );
}

//! Pattern: results lie at their maker until they are read, and its memory is small.

mod world;

use core::time::Duration;

use googletest::prelude::*;
use world::{WORK, World};

/// The size of a large result.
const LARGE: u64 = 3_000_000;

#[gtest]
fn a_server_is_not_asked_for_more_than_its_memory_holds() {
    let mut world = World::open(&["a"], WORK);
    world.lies = Duration::from_millis(800);
    for _ in 0..12 {
        world.offer(2, |piece| {
            piece.result_bytes = LARGE;
            piece.due = piece.due + Duration::from_secs(3);
        });
    }
    let most = usize::try_from(WORK.memory_bytes / LARGE).unwrap();
    for _ in 0..3_000 {
        world.pass(Duration::from_millis(1));
        let held: usize = world.calls.iter().map(|(_, size)| *size).sum();
        let given_up = world.done.iter();
        let given_up = given_up.filter(|(at, _, _)| *at + world.lies <= world.now);
        expect_that!(held - given_up.count(), le(most));
    }
    expect_that!(world.done.len(), eq(24));
}

#[gtest]
fn small_results_go_on_while_there_is_no_room_for_large_ones() {
    let mut world = World::open(&["a"], WORK);
    world.lies = Duration::from_secs(2);
    for _ in 0..3 {
        world.offer(4, |piece| piece.result_bytes = LARGE);
        world.pass(Duration::from_millis(250));
    }
    world.offer(2, |piece| piece.result_bytes = LARGE);
    let small = world.offer(1, |_| {});
    world.pass(Duration::from_millis(400));
    let made = world
        .done
        .iter()
        .any(|(_, _, piece)| piece.request == small);
    expect_that!(made, eq(true));
}

#[gtest]
fn a_server_without_memory_is_looked_at_when_a_result_expires() {
    let mut world = World::open(&["a"], WORK);
    world.lies = Duration::from_secs(60);
    for _ in 0..4 {
        world.offer(4, |piece| {
            piece.result_bytes = LARGE;
            piece.due = piece.due + Duration::from_secs(20);
            piece.deadline = piece.due;
        });
    }
    world.pass(Duration::from_millis(800));
    let wake = world.scheduler.next_wakeup(world.now);
    expect_that!(wake, some(le(world.now + WORK.result_ttl)));
}

//! Pattern: calls cost a fixed time, so pieces of different requests share them.

mod world;

use core::time::Duration;

use googletest::prelude::*;
use world::{WORK, World};

#[gtest]
fn a_piece_alone_leaves_at_once() {
    let mut world = World::open(&["a"], WORK);
    world.offer(1, |_| {});
    expect_that!(world.calls, eq(&vec![("i-0".into(), 1)]));
}

#[gtest]
fn pieces_that_wait_for_a_server_share_its_next_call() {
    let mut world = World::open(&["a"], WORK);
    world.offer(1, |_| {});
    for _ in 0..3 {
        world.offer(2, |_| {});
    }
    world.pass(Duration::from_millis(170));
    let sizes: Vec<_> = world.calls.iter().map(|(_, size)| *size).collect();
    expect_that!(sizes, eq(&vec![1, 6]));
}

#[gtest]
fn no_call_holds_more_than_the_pool_takes() {
    let mut world = World::open(&["a", "b"], WORK);
    for _ in 0..20 {
        world.offer(3, |_| {});
    }
    world.pass(Duration::from_secs(3));
    let largest = world.calls.iter().map(|(_, size)| *size).max();
    expect_that!(largest, some(le(WORK.max_batch)));
    expect_that!(world.done.len() + world.late.len(), eq(60));
}

#[gtest]
fn results_of_one_stage_lie_together() {
    let mut world = World::open(&["a", "b"], WORK);
    world.offer(6, |_| {});
    world.offer(6, |_| {});
    let third = world.offer(4, |_| {});
    world.pass(Duration::from_secs(1));
    let makers = world
        .done
        .iter()
        .filter(|(_, _, piece)| piece.request == third);
    let mut makers: Vec<_> = makers.map(|(_, server, _)| server.clone()).collect();
    makers.dedup();
    expect_that!(makers.len(), eq(1));
}

#[gtest]
fn pieces_of_a_caller_who_left_are_not_made() {
    let mut world = World::open(&["a"], WORK);
    world.offer(1, |_| {});
    world.offer(4, |_| {});
    world.scheduler.cancel(&(2..6));
    world.pass(Duration::from_secs(1));
    expect_that!(world.done.len(), eq(1));
    expect_that!(world.scheduler.queue_len(&world::shard()), eq(0));
}

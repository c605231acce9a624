//! Pattern: one server of a pool turns slow, and pieces should not wait for it.

mod world;

use core::time::Duration;

use batch::scheduler::Completion;
use googletest::prelude::*;
use world::{WORK, World};

#[gtest]
fn a_slow_server_gets_trial_calls_only_until_it_is_swift_again() {
    let mut world = World::open(&["a", "b", "c"], WORK);
    world.slow = vec![("i-2".into(), 5)];
    for _ in 0..200 {
        world.offer(2, |_| {});
        world.pass(Duration::from_millis(40));
    }
    let slow = world
        .calls
        .iter()
        .filter(|(server, _)| *server == "i-2".into());
    let pieces: usize = slow.map(|(_, size)| *size).sum();
    println!("{pieces} of {} pieces at the slow server", world.done.len());
    expect_that!(pieces, le(world.done.len() / 10));

    world.slow.clear();
    world.pass(Duration::from_secs(2));
    let before = world.calls.len();
    for _ in 0..200 {
        world.offer(2, |_| {});
        world.pass(Duration::from_millis(40));
    }
    let calls = world.calls[before..].iter();
    let swift = calls.filter(|(server, _)| *server == "i-2".into());
    expect_that!(swift.count(), ge((world.calls.len() - before) / 6));
}

#[gtest]
fn a_pool_whose_servers_are_all_slow_is_used_as_it_is() {
    let mut world = World::open(&["a", "b"], WORK);
    world.slow = vec![("i-0".into(), 3), ("i-1".into(), 3)];
    for _ in 0..60 {
        world.offer(2, |piece| {
            piece.due = piece.due + Duration::from_secs(20);
            piece.deadline = piece.due;
        });
        world.pass(Duration::from_millis(150));
    }
    world.pass(Duration::from_secs(3));
    expect_that!(world.done.len(), eq(120));
}

#[gtest]
fn a_server_whose_call_broke_off_is_called_again_at_once() {
    let mut world = World::open(&["a"], WORK);
    world.offer(2, |_| {});
    let (shard, id) = (world::shard(), "i-0".into());
    world
        .scheduler
        .record_completion(world.now, &shard, &id, &WORK, Completion::Failed);
    world.offer(4, |_| {});
    expect_that!(world.calls, eq(&vec![("i-0".into(), 2), ("i-0".into(), 4)]));
}

#[gtest]
fn pieces_for_a_pool_without_servers_are_given_up_at_once() {
    let mut world = World::open(&[], WORK);
    world.offer(3, |_| {});
    expect_that!(world.late.len(), eq(3));
}

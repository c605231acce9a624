//! Pattern: every piece reads all results before it, and bytes between failure domains are dear.

mod world;

use core::time::Duration;

use googletest::prelude::*;
use world::{WORK, World};

/// What the third stage reads for each piece.
const READ: u64 = 480_000;

fn near(world: &mut World, count: u32) -> base::Name {
    world.offer(count, |piece| {
        piece.preferred_domain = Some("a".into());
        piece.transfer_bytes = READ;
    })
}

fn makers(world: &World, request: &base::Name) -> Vec<base::Name> {
    let done = world.done.iter();
    let done = done.filter(|(_, _, piece)| piece.request == *request);
    done.map(|(_, server, _)| server.clone()).collect()
}

#[gtest]
fn a_piece_waits_for_the_server_near_what_it_reads() {
    let mut world = World::open(&["a", "b"], WORK);
    near(&mut world, 2);
    let second = near(&mut world, 2);
    world.pass(Duration::from_secs(1));
    expect_that!(makers(&world, &second), each(eq(&base::Name::from("i-0"))));
}

#[gtest]
fn a_piece_that_would_be_late_goes_elsewhere() {
    let mut world = World::open(&["a", "b"], WORK);
    near(&mut world, 8);
    let second = world.offer(2, |piece| {
        piece.preferred_domain = Some("a".into());
        piece.transfer_bytes = READ;
    });
    let third = world.offer(8, |piece| {
        piece.preferred_domain = Some("a".into());
        piece.transfer_bytes = READ;
        piece.due = base::Tick::from_millis(1_500);
    });
    world.pass(Duration::from_secs(2));
    expect_that!(makers(&world, &second).len(), eq(2));
    expect_that!(makers(&world, &third), each(eq(&base::Name::from("i-1"))));
}

#[gtest]
fn small_reads_take_whichever_server_is_free() {
    let mut world = World::open(&["a", "b"], WORK);
    near(&mut world, 2);
    let second = world.offer(1, |piece| {
        piece.preferred_domain = Some("a".into());
        piece.transfer_bytes = 1_000;
    });
    world.pass(Duration::from_millis(200));
    expect_that!(makers(&world, &second), eq(&vec!["i-1".into()]));
}

#[gtest]
fn a_domain_without_servers_holds_nothing_up() {
    let mut world = World::open(&["b"], WORK);
    let request = near(&mut world, 2);
    world.pass(Duration::from_millis(300));
    expect_that!(makers(&world, &request).len(), eq(2));
}

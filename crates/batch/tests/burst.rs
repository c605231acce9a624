//! Pattern: a burst brings more pieces than the servers make in time.

mod world;

use core::time::Duration;

use base::Tick;
use batch::Piece;
use googletest::prelude::*;
use world::{WORK, World};

/// Two servers make some 57 pieces a second; this offers twice that for 1.8 s, a quarter of it of rank 0.
fn burst(world: &mut World) -> usize {
    burst_of(world, |first, piece| {
        piece.rank.account = if first { 0 } else { 2 };
    })
}

/// Offers the burst, a quarter of which is `first`.
fn burst_of(world: &mut World, edit: impl Fn(bool, &mut Piece)) -> usize {
    let mut offered = 0;
    for round in 0..100_u8 {
        let first = round.is_multiple_of(4);
        world.offer(2, |piece: &mut Piece| edit(first, piece));
        offered += 2;
        world.pass(Duration::from_millis(18));
    }
    world.pass(Duration::from_secs(6));
    offered
}

#[gtest]
fn what_goes_first_is_on_time_and_what_does_not_yields() {
    let mut world = World::open(&["a", "b"], WORK);
    burst(&mut world);
    let (first, second) = (world.on_time(0), world.on_time(2));
    println!("on time: {first} of 50 of rank 0, {second} of 150 of rank 2");
    // Rank 0 is half of what the servers can do.
    expect_that!(first, ge(48));
    // They make 152 pieces until the last one is due; what does not go first gets most of the rest.
    expect_that!(first + second, ge(152 * 7 / 10));
}

#[gtest]
fn among_requests_of_one_account_the_route_decides() {
    let mut world = World::open(&["a", "b"], WORK);
    burst_of(&mut world, |first, piece| {
        piece.rank.account = 1;
        piece.rank.route = if first { 0 } else { 1 };
    });
    let first = world
        .done
        .iter()
        .filter(|(at, _, piece)| piece.rank.route == 0 && *at <= piece.due);
    expect_that!(first.count(), ge(48));
}

#[gtest]
fn among_equals_what_is_worth_most_for_its_work_is_on_time() {
    let mut world = World::open(&["a", "b"], WORK);
    burst_of(&mut world, |first, piece| {
        piece.density = if first { 4_000 } else { 1_000 };
    });
    let dense = world
        .done
        .iter()
        .filter(|(at, _, piece)| piece.density == 4_000 && *at <= piece.due);
    let all = world.on_time(0);
    expect_that!(dense.count(), ge(48));
    expect_that!(all, ge(152 * 7 / 10));
}

#[gtest]
fn every_piece_is_made_or_given_up_before_its_deadline() {
    let mut world = World::open(&["a", "b"], WORK);
    let offered = burst(&mut world);
    expect_that!(world.done.len() + world.late.len(), eq(offered));
    for (at, _, piece) in &world.done {
        expect_that!(*at, le(piece.deadline));
    }
}

#[gtest]
fn servers_are_never_idle_while_pieces_wait() {
    let mut world = World::open(&["a", "b"], WORK);
    burst(&mut world);
    // The pieces that were made come from full calls but for the first and last ones.
    let calls = world.calls.len();
    let made = world.done.len();
    expect_that!(made, ge(calls * WORK.max_batch * 9 / 10));
}

#[gtest]
fn what_can_not_be_made_in_time_is_given_up_at_once() {
    let mut world = World::open(&["a"], WORK);
    for _ in 0..10 {
        world.offer(8, |_| {});
    }
    let before = world.late.len();
    world.offer(8, |piece| {
        piece.due = Tick::from_millis(1_300);
        piece.deadline = Tick::from_millis(1_700);
    });
    expect_that!(world.late.len(), eq(before + 8));
    expect_that!(world.late.last().map(|(at, _)| *at), some(eq(world.now)));
}

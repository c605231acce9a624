//! Bursts with more pieces than the servers can finish in time.

mod simulation;

use core::time::Duration;

use base::Tick;
use batch::Piece;
use googletest::prelude::*;
use simulation::{Simulation, WORK};

/// Queues a burst for 1.8 s at twice the 57 pieces per second that two servers can run, a quarter of it of rank 0.
fn burst(simulation: &mut Simulation) -> usize {
    burst_with(simulation, |is_first, piece| {
        piece.rank.account = if is_first { 0 } else { 2 };
    })
}

/// Queues the burst; `configure` gets `true` for a quarter of its pieces.
fn burst_with(simulation: &mut Simulation, configure: impl Fn(bool, &mut Piece)) -> usize {
    let mut enqueued = 0;
    for round in 0..100_u8 {
        let is_first = round.is_multiple_of(4);
        simulation.enqueue(2, |piece: &mut Piece| configure(is_first, piece));
        enqueued += 2;
        simulation.advance(Duration::from_millis(18));
    }
    simulation.advance(Duration::from_secs(6));
    enqueued
}

#[gtest]
fn a_burst_delays_low_priority_pieces_and_not_high_priority_ones() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    burst(&mut simulation);
    let (first, second) = (simulation.on_time(0), simulation.on_time(2));
    println!("on time: {first} of 50 of rank 0, {second} of 150 of rank 2");
    // Rank 0 takes half of the servers' capacity.
    expect_that!(first, ge(48));
    // The servers finish 152 pieces until the last one is due; rank 2 gets most of what rank 0 leaves.
    expect_that!(first + second, ge(152 * 7 / 10));
}

#[gtest]
fn within_an_account_the_route_priority_decides() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    burst_with(&mut simulation, |is_first, piece| {
        piece.rank.account = 1;
        piece.rank.route = if is_first { 0 } else { 1 };
    });
    let first = simulation
        .done
        .iter()
        .filter(|(at, _, piece)| piece.rank.route == 0 && *at <= piece.due);
    expect_that!(first.count(), ge(48));
}

#[gtest]
fn within_a_rank_pieces_with_the_highest_density_are_on_time() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    burst_with(&mut simulation, |is_first, piece| {
        piece.density = if is_first { 4_000 } else { 1_000 };
    });
    let dense = simulation
        .done
        .iter()
        .filter(|(at, _, piece)| piece.density == 4_000 && *at <= piece.due);
    let all = simulation.on_time(0);
    expect_that!(dense.count(), ge(48));
    expect_that!(all, ge(152 * 7 / 10));
}

#[gtest]
fn every_piece_finishes_or_expires_before_its_deadline() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    let enqueued = burst(&mut simulation);
    expect_that!(
        simulation.done.len() + simulation.expired.len(),
        eq(enqueued)
    );
    for (at, _, piece) in &simulation.done {
        expect_that!(*at, le(piece.deadline));
    }
}

#[gtest]
fn calls_are_full_while_pieces_are_queued() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    burst(&mut simulation);
    // All calls but the first and last ones are full.
    let calls = simulation.calls.len();
    let done = simulation.done.len();
    expect_that!(done, ge(calls * WORK.max_batch * 9 / 10));
}

#[gtest]
fn pieces_that_can_not_finish_in_time_expire_at_once() {
    let mut simulation = Simulation::new(&["a"], WORK);
    for _ in 0..10 {
        simulation.enqueue(8, |_| {});
    }
    let before = simulation.expired.len();
    simulation.enqueue(8, |piece| {
        piece.due = Tick::from_millis(1_300);
        piece.deadline = Tick::from_millis(1_700);
    });
    expect_that!(simulation.expired.len(), eq(before + 8));
    expect_that!(
        simulation.expired.last().map(|(at, _)| *at),
        some(eq(simulation.now))
    );
}

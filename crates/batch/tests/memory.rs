//! Servers store results in a small memory until they are released.

mod simulation;

use core::time::Duration;

use googletest::prelude::*;
use simulation::{Simulation, WORK};

/// The size of a large result in bytes.
const LARGE_BYTES: u64 = 3_000_000;

#[gtest]
fn a_server_gets_no_more_results_than_fit_its_memory() {
    let mut simulation = Simulation::new(&["a"], WORK);
    simulation.release_delay = Duration::from_millis(800);
    for _ in 0..12 {
        simulation.enqueue(2, |piece| {
            piece.result_bytes = LARGE_BYTES;
            piece.due = piece.due + Duration::from_secs(3);
        });
    }
    let max_results = usize::try_from(WORK.memory_bytes / LARGE_BYTES).unwrap();
    for _ in 0..3_000 {
        simulation.advance(Duration::from_millis(1));
        let sent: usize = simulation.calls.iter().map(|(_, size)| *size).sum();
        let released = simulation.done.iter();
        let released =
            released.filter(|(at, _, _)| *at + simulation.release_delay <= simulation.now);
        expect_that!(sent - released.count(), le(max_results));
    }
    expect_that!(simulation.done.len(), eq(24));
}

#[gtest]
fn small_results_proceed_while_large_ones_wait_for_memory() {
    let mut simulation = Simulation::new(&["a"], WORK);
    simulation.release_delay = Duration::from_secs(2);
    for _ in 0..3 {
        simulation.enqueue(4, |piece| piece.result_bytes = LARGE_BYTES);
        simulation.advance(Duration::from_millis(250));
    }
    simulation.enqueue(2, |piece| piece.result_bytes = LARGE_BYTES);
    let small = simulation.enqueue(1, |_| {});
    simulation.advance(Duration::from_millis(400));
    let is_done = simulation
        .done
        .iter()
        .any(|(_, _, piece)| piece.request == small);
    expect_that!(is_done, eq(true));
}

#[gtest]
fn the_next_wakeup_comes_when_a_result_expires() {
    let mut simulation = Simulation::new(&["a"], WORK);
    simulation.release_delay = Duration::from_secs(60);
    for _ in 0..4 {
        simulation.enqueue(4, |piece| {
            piece.result_bytes = LARGE_BYTES;
            piece.due = piece.due + Duration::from_secs(20);
            piece.deadline = piece.due;
        });
    }
    simulation.advance(Duration::from_millis(800));
    let wakeup = simulation.scheduler.next_wakeup(simulation.now);
    expect_that!(wakeup, some(le(simulation.now + WORK.result_ttl)));
}

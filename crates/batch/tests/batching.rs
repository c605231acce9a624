//! Pieces of different requests share calls, as each call has a fixed cost.

mod simulation;

use core::time::Duration;

use googletest::prelude::*;
use simulation::{Simulation, WORK};

#[gtest]
fn a_single_piece_is_sent_at_once() {
    let mut simulation = Simulation::new(&["a"], WORK);
    simulation.enqueue(1, |_| {});
    expect_that!(simulation.calls, eq(&vec![("i-0".into(), 1)]));
}

#[gtest]
fn pieces_that_wait_for_a_server_share_its_next_call() {
    let mut simulation = Simulation::new(&["a"], WORK);
    simulation.enqueue(1, |_| {});
    for _ in 0..3 {
        simulation.enqueue(2, |_| {});
    }
    simulation.advance(Duration::from_millis(170));
    let sizes: Vec<_> = simulation.calls.iter().map(|(_, size)| *size).collect();
    expect_that!(sizes, eq(&vec![1, 6]));
}

#[gtest]
fn no_call_exceeds_the_maximum_batch_size() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    for _ in 0..20 {
        simulation.enqueue(3, |_| {});
    }
    simulation.advance(Duration::from_secs(3));
    let largest = simulation.calls.iter().map(|(_, size)| *size).max();
    expect_that!(largest, some(le(WORK.max_batch)));
    expect_that!(simulation.done.len() + simulation.expired.len(), eq(60));
}

#[gtest]
fn results_of_one_stage_are_stored_on_one_server() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    simulation.enqueue(6, |_| {});
    simulation.enqueue(6, |_| {});
    let third = simulation.enqueue(4, |_| {});
    simulation.advance(Duration::from_secs(1));
    let servers = simulation
        .done
        .iter()
        .filter(|(_, _, piece)| piece.request == third);
    let mut servers: Vec<_> = servers.map(|(_, server, _)| server.clone()).collect();
    servers.dedup();
    expect_that!(servers.len(), eq(1));
}

#[gtest]
fn cancelled_pieces_are_not_run() {
    let mut simulation = Simulation::new(&["a"], WORK);
    simulation.enqueue(1, |_| {});
    simulation.enqueue(4, |_| {});
    simulation.scheduler.cancel(&(2..6));
    simulation.advance(Duration::from_secs(1));
    expect_that!(simulation.done.len(), eq(1));
    expect_that!(simulation.scheduler.queue_len(&simulation::shard()), eq(0));
}

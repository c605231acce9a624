//! Pieces run near the results that they read, as transfers between failure domains are costly.

mod simulation;

use core::time::Duration;

use googletest::prelude::*;
use simulation::{Simulation, WORK};

/// The bytes that the third stage reads for each piece.
const INPUT_BYTES: u64 = 480_000;

fn enqueue_near_a(simulation: &mut Simulation, count: u32) -> base::Name {
    simulation.enqueue(count, |piece| {
        piece.preferred_domain = Some("a".into());
        piece.transfer_bytes = INPUT_BYTES;
    })
}

fn servers_of(simulation: &Simulation, request: &base::Name) -> Vec<base::Name> {
    let done = simulation.done.iter();
    let done = done.filter(|(_, _, piece)| piece.request == *request);
    done.map(|(_, server, _)| server.clone()).collect()
}

#[gtest]
fn a_piece_waits_for_a_server_in_its_preferred_domain() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    enqueue_near_a(&mut simulation, 2);
    let second = enqueue_near_a(&mut simulation, 2);
    simulation.advance(Duration::from_secs(1));
    expect_that!(
        servers_of(&simulation, &second),
        each(eq(&base::Name::from("i-0")))
    );
}

#[gtest]
fn a_piece_that_would_be_late_runs_in_another_domain() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    enqueue_near_a(&mut simulation, 8);
    let second = simulation.enqueue(2, |piece| {
        piece.preferred_domain = Some("a".into());
        piece.transfer_bytes = INPUT_BYTES;
    });
    let third = simulation.enqueue(8, |piece| {
        piece.preferred_domain = Some("a".into());
        piece.transfer_bytes = INPUT_BYTES;
        piece.due = base::Tick::from_millis(1_500);
    });
    simulation.advance(Duration::from_secs(2));
    expect_that!(servers_of(&simulation, &second).len(), eq(2));
    expect_that!(
        servers_of(&simulation, &third),
        each(eq(&base::Name::from("i-1")))
    );
}

#[gtest]
fn pieces_with_small_inputs_run_on_any_free_server() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    enqueue_near_a(&mut simulation, 2);
    let second = simulation.enqueue(1, |piece| {
        piece.preferred_domain = Some("a".into());
        piece.transfer_bytes = 1_000;
    });
    simulation.advance(Duration::from_millis(200));
    expect_that!(servers_of(&simulation, &second), eq(&vec!["i-1".into()]));
}

#[gtest]
fn a_preferred_domain_without_servers_delays_nothing() {
    let mut simulation = Simulation::new(&["b"], WORK);
    let request = enqueue_near_a(&mut simulation, 2);
    simulation.advance(Duration::from_millis(300));
    expect_that!(servers_of(&simulation, &request).len(), eq(2));
}

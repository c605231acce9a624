//! A slow server doesn't delay the pieces of its pool.

mod simulation;

use core::time::Duration;

use base::Name;
use batch::scheduler::Completion;
use googletest::prelude::*;
use simulation::{Simulation, WORK};

#[gtest]
fn a_slow_server_gets_only_trial_calls_until_it_recovers() {
    let mut simulation = Simulation::new(&["a", "b", "c"], WORK);
    simulation.slow_factors = vec![("i-2".into(), 5)];
    for _ in 0..200 {
        simulation.enqueue(2, |_| {});
        simulation.advance(Duration::from_millis(40));
    }
    let slow = simulation
        .calls
        .iter()
        .filter(|(server, _)| *server == "i-2".into());
    let pieces: usize = slow.map(|(_, size)| *size).sum();
    println!(
        "{pieces} of {} pieces on the slow server",
        simulation.done.len()
    );
    expect_that!(pieces, le(simulation.done.len() / 10));

    simulation.slow_factors.clear();
    simulation.advance(Duration::from_secs(2));
    let before = simulation.calls.len();
    for _ in 0..200 {
        simulation.enqueue(2, |_| {});
        simulation.advance(Duration::from_millis(40));
    }
    let calls = simulation.calls[before..].iter();
    let recovered = calls.filter(|(server, _)| *server == "i-2".into());
    expect_that!(recovered.count(), ge((simulation.calls.len() - before) / 6));
}

#[gtest]
fn a_pool_of_slow_servers_is_still_used() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    simulation.slow_factors = vec![("i-0".into(), 3), ("i-1".into(), 3)];
    for _ in 0..60 {
        simulation.enqueue(2, |piece| {
            piece.due = piece.due + Duration::from_secs(20);
            piece.deadline = piece.due;
        });
        simulation.advance(Duration::from_millis(150));
    }
    simulation.advance(Duration::from_secs(3));
    expect_that!(simulation.done.len(), eq(120));
}

#[gtest]
fn a_server_is_called_again_at_once_after_a_failed_call() {
    let mut simulation = Simulation::new(&["a"], WORK);
    simulation.enqueue(2, |_| {});
    let (shard, id) = (simulation::shard(), "i-0".into());
    simulation
        .scheduler
        .record_completion(simulation.now, &shard, &id, &WORK, Completion::Failed);
    simulation.enqueue(4, |_| {});
    expect_that!(
        simulation.calls,
        eq(&vec![("i-0".into(), 2), ("i-0".into(), 4)])
    );
}

#[gtest]
fn pieces_for_a_pool_without_servers_expire_at_once() {
    let mut simulation = Simulation::new(&[], WORK);
    simulation.enqueue(3, |_| {});
    expect_that!(simulation.expired.len(), eq(3));
}

/// A server that was silent once and went on was kept to trial calls for seconds.
#[gtest]
fn a_server_that_was_silent_once_gets_full_calls_after_one_trial() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    let silent = Name::from("i-0");
    simulation.slow_factors = vec![(silent.clone(), 6)];
    simulation.enqueue(8, |_| {});
    simulation.enqueue(8, |_| {});
    simulation.advance(Duration::from_secs(1));
    simulation
        .scheduler
        .record_overdue(&simulation::shard(), &silent);
    simulation.advance(Duration::from_secs(1));
    simulation.slow_factors.clear();
    for _ in 0..20 {
        simulation.enqueue(8, |_| {});
        simulation.advance(Duration::from_millis(145));
    }
    let calls = simulation.calls.iter();
    let sizes = calls.filter(|(server, _)| *server == silent);
    let sizes: Vec<_> = sizes.map(|(_, size)| *size).take(4).collect();
    expect_that!(sizes, elements_are![eq(&8), eq(&1), eq(&8), eq(&8)]);
}

//! Servers of stages that ask for a pause: pieces go to the others, wait for the end, or expire at once.

mod simulation;

use core::time::Duration;

use googletest::prelude::*;
use simulation::{Simulation, WORK};

fn pause(simulation: &mut Simulation, server: &str, pause: Duration) {
    let (now, until) = (simulation.now, simulation.now + pause);
    simulation.fleet.pause(now, &server.into(), until);
}

#[gtest]
fn a_paused_server_gets_no_calls_while_the_others_work_on_its_share() {
    let mut simulation = Simulation::new(&["a", "b", "c"], WORK);
    pause(&mut simulation, "i-1", Duration::from_secs(2));
    for _ in 0..40 {
        simulation.enqueue(4, |_| {});
        simulation.advance(Duration::from_millis(40));
    }
    let paused = simulation.calls.iter();
    let paused = paused.filter(|(server, _)| *server == "i-1".into());
    expect_that!(paused.count(), eq(0));
    expect_that!(simulation.done.len(), gt(0));
    simulation.advance(Duration::from_secs(1));
    for _ in 0..40 {
        simulation.enqueue(4, |_| {});
        simulation.advance(Duration::from_millis(40));
    }
    let resumed = simulation.calls.iter();
    let mut resumed = resumed.filter(|(server, _)| *server == "i-1".into());
    expect_that!(resumed.next(), some(anything()));
}

#[gtest]
fn pieces_are_sent_as_soon_as_the_first_pause_ends() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    let start = simulation.now;
    pause(&mut simulation, "i-0", Duration::from_millis(600));
    pause(&mut simulation, "i-1", Duration::from_millis(300));
    let end = start + Duration::from_millis(300);
    simulation.enqueue(2, |piece| piece.deadline = start + Duration::from_secs(2));
    simulation.advance(Duration::from_millis(10));
    expect_that!(simulation.calls.len(), eq(0));
    expect_that!(
        simulation.scheduler.next_wakeup(simulation.now),
        some(eq(end))
    );
    simulation.advance(Duration::from_millis(300));
    expect_that!(simulation.calls[0].0, eq(&"i-1".into()));
}

#[gtest]
fn pieces_whose_deadline_passes_within_the_pause_expire_at_once() {
    let mut simulation = Simulation::new(&["a"], WORK);
    let start = simulation.now;
    pause(&mut simulation, "i-0", Duration::from_secs(5));
    simulation.enqueue(3, |piece| piece.deadline = start + Duration::from_secs(4));
    simulation.enqueue(2, |piece| piece.deadline = start + Duration::from_secs(6));
    simulation.advance(Duration::from_millis(20));
    expect_that!(simulation.expired.len(), eq(3));
    expect_that!(simulation.calls.len(), eq(0));
}

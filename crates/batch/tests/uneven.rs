//! The servers of a stage pool differ in speed, and state how fast they are.

mod simulation;

use core::time::Duration;

use base::Name;
use googletest::prelude::*;
use simulation::{Simulation, WORK};

/// Queues requests of two pieces for 20 s, at about 0.8 of what three usual servers do, and returns the sizes of the
/// calls to the first server.
fn sizes(simulation: &mut Simulation) -> Vec<usize> {
    for _ in 0..580 {
        simulation.enqueue(2, |_| {});
        simulation.advance(Duration::from_millis(34));
    }
    simulation.advance(Duration::from_secs(2));
    let calls = simulation.calls.iter();
    let calls = calls.filter(|(server, _)| *server == Name::from("i-0"));
    calls.map(|(_, size)| *size).collect()
}

fn late(simulation: &Simulation) -> usize {
    let done = simulation.done.iter();
    done.filter(|(at, _, piece)| piece.due < *at).count() + simulation.expired.len()
}

/// A server 1.6 times slower got full calls that ended 170 ms after those of the others, or only trial calls.
#[gtest]
fn a_slower_server_gets_smaller_calls() {
    let mut simulation = Simulation::new(&["a", "b", "c"], WORK);
    simulation.percents = vec![("i-0".into(), 160)];
    let sizes = sizes(&mut simulation);
    println!("{} late, sizes {sizes:?}", late(&simulation));
    // A call of two pieces takes as long as a usual one of eight: 182 ms and 1.6, or 278 ms.
    let settled = &sizes[4..];
    expect_that!(settled.len(), ge(40));
    expect_that!(
        settled.iter().filter(|size| **size > 2).count(),
        le(settled.len() / 10)
    );
    expect_that!(late(&simulation), eq(0));
}

/// A pool whose servers all take longer than configured has usual servers, which get usual calls.
#[gtest]
fn equally_slow_servers_get_full_calls() {
    let run = |percent| {
        let mut simulation = Simulation::new(&["a", "b", "c"], WORK);
        simulation.usual_percent = percent;
        simulation.stated = (0..3).map(|at| (format!("i-{at}").into(), 100)).collect();
        for _ in 0..40 {
            simulation.enqueue(8, |piece| piece.due = piece.due + Duration::from_secs(2));
            simulation.advance(Duration::from_millis(200));
        }
        simulation.calls
    };
    for percent in [95, 105, 140] {
        let calls = run(percent);
        expect_that!(calls.iter().all(|(_, size)| *size == 8), eq(true));
    }
}

/// A server that states to be slow but answers as fast as the others must get usual calls.
#[gtest]
fn a_stage_server_that_misreports_gets_usual_calls() {
    let mut simulation = Simulation::new(&["a", "b", "c"], WORK);
    simulation.stated = vec![("i-0".into(), 250)];
    let misreported = sizes(&mut simulation).len();
    let mut usual = Simulation::new(&["a", "b", "c"], WORK);
    let usual = sizes(&mut usual).len();
    println!("{misreported} calls to the server that misreports, {usual} to a usual one");
    expect_that!(misreported, ge(usual * 9 / 10));
    expect_that!(misreported, le(usual * 11 / 10));
}

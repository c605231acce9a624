//! The servers of a stage pool differ in speed, and state how fast they are.

mod simulation;

use core::time::Duration;

use base::Name;
use googletest::prelude::*;
use simulation::{Simulation, WORK};

/// Queues requests for 20 s, at about 0.8 of what three usual servers do, and returns the sizes of the calls to the first
/// server.
fn sizes(simulation: &mut Simulation, pieces: u32) -> Vec<usize> {
    for _ in 0..1_160 / pieces {
        simulation.enqueue(pieces, |_| {});
        simulation.advance(Duration::from_millis(17) * pieces);
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
    let sizes = sizes(&mut simulation, 1);
    println!("{} late, sizes {sizes:?}", late(&simulation));
    // A call of one piece takes 166 ms and 1.6 times as long; one of eight usually takes 278 ms.
    let settled = &sizes[4..];
    expect_that!(settled.len(), ge(40));
    expect_that!(settled, each(le(&2)));
    expect_that!(late(&simulation), eq(0));
}

/// The results of one stage came from two servers when its group was larger than a smaller call.
#[gtest]
fn a_group_is_not_split_for_a_slower_server() {
    let mut simulation = Simulation::new(&["a", "b", "c"], WORK);
    simulation.percents = vec![("i-0".into(), 160)];
    let sizes = sizes(&mut simulation, 4);
    println!("{} late, sizes {sizes:?}", late(&simulation));
    let settled = &sizes[4..];
    expect_that!(settled.len(), ge(20));
    expect_that!(settled, each(eq(&4)));
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
    let misreported = sizes(&mut simulation, 2).len();
    let mut usual = Simulation::new(&["a", "b", "c"], WORK);
    let usual = sizes(&mut usual, 2).len();
    println!("{misreported} calls to the server that misreports, {usual} to a usual one");
    expect_that!(misreported, ge(usual * 9 / 10));
    expect_that!(misreported, le(usual * 11 / 10));
}

/// After all servers of a pool were silent at once, all of them got only trial calls.
#[gtest]
fn a_pool_that_was_silent_as_a_whole_gets_full_calls() {
    let mut simulation = Simulation::new(&["a", "b"], WORK);
    simulation.slow_factors = vec![("i-0".into(), 6), ("i-1".into(), 6)];
    simulation.enqueue(8, |_| {});
    simulation.enqueue(8, |_| {});
    simulation.advance(Duration::from_secs(1));
    for server in ["i-0", "i-1"] {
        let scheduler = &mut simulation.scheduler;
        scheduler.record_overdue(&simulation::shard(), &server.into());
    }
    simulation.advance(Duration::from_secs(1));
    simulation.slow_factors.clear();
    for _ in 0..4 {
        simulation.enqueue(8, |piece| piece.due = piece.due + Duration::from_secs(2));
        simulation.advance(Duration::from_millis(400));
    }
    expect_that!(simulation.calls.len(), eq(6));
    expect_that!(
        simulation.calls.iter().all(|(_, size)| *size == 8),
        eq(true)
    );
}

/// Work was left waiting when all idle servers stated to be slow and no call was under way that would have ended.
#[gtest]
fn work_does_not_wait_when_all_servers_are_slow() {
    for pieces in [4, 8, 12] {
        let mut simulation = Simulation::new(&["a", "b"], WORK);
        simulation.stated = vec![("i-0".into(), 250), ("i-1".into(), 250)];
        simulation.percents = vec![("i-0".into(), 250), ("i-1".into(), 250)];
        for _ in 0..10 {
            simulation.enqueue(pieces, |piece| {
                piece.deadline = piece.deadline + Duration::from_secs(60)
            });
            simulation.enqueue(pieces, |piece| {
                piece.deadline = piece.deadline + Duration::from_secs(60)
            });
            simulation.advance(Duration::from_secs(3));
        }
        expect_that!(simulation.done.len(), eq(20 * pieces as usize));
    }
}

//! The reported backlog of a shard, from which other instances tell whether a request can be on time.

mod simulation;

use core::time::Duration;

use batch::Backlog;
use googletest::prelude::*;
use simulation::{Simulation, WORK, shard};
use site::route::Rank;

const FULL_CALL: Duration = Duration::from_millis(278);

fn backlog(simulation: &mut Simulation) -> Backlog {
    let Simulation {
        now,
        scheduler,
        config,
        ..
    } = simulation;
    let backlog = scheduler.backlog(*now, config, &shard());
    backlog.cloned().unwrap_or_default()
}

/// Guards against urgent requests that are refused for the backlog of others: 4 full calls of the last rank wait at one
/// server.
#[gtest]
fn a_backlog_of_the_last_rank_is_no_wait_for_the_first_one() {
    let mut simulation = Simulation::new(&["a"], WORK);
    for _ in 0..5 {
        simulation.enqueue(8, |piece| {
            piece.rank = Rank::new(Some(2), 0);
            piece.due = piece.due + Duration::from_secs(3);
        });
    }
    let backlog = backlog(&mut simulation);
    expect_that!(backlog.free_in, eq(FULL_CALL));
    expect_that!(backlog.on_time_wait(Rank::new(Some(0), 0)), eq(FULL_CALL));
    expect_that!(
        backlog.on_time_wait(Rank::new(Some(2), 0)),
        eq(FULL_CALL * 5)
    );
}

/// Guards against late work that is counted as a wait of work that can be on time: three calls can be on time and two are
/// late.
#[gtest]
fn late_pieces_count_only_for_late_ones() {
    let mut simulation = Simulation::new(&["a"], WORK);
    for _ in 0..6 {
        simulation.enqueue(8, |piece| {
            piece.due = piece.due + Duration::from_millis(300);
            piece.deadline = piece.deadline + Duration::from_secs(9);
        });
    }
    let rank = Rank::default();
    let backlog = backlog(&mut simulation);
    // One call runs, three can be on time by 1,150 ms, and two are late.
    expect_that!(backlog.on_time_wait(rank), eq(FULL_CALL * 4));
    // The wait of late pieces is planned twice as long, as others may arrive meanwhile.
    expect_that!(backlog.late_wait(rank), eq(FULL_CALL * 6 * 2));
}

/// Guards against backlogs that outlast their pieces, and against results that aren't counted until they are released.
#[gtest]
fn a_drained_shard_reports_no_wait_and_the_memory_of_its_results() {
    let mut simulation = Simulation::new(&["a"], WORK);
    simulation.release_delay = Duration::from_secs(1);
    simulation.enqueue(4, |piece| piece.result_bytes = 3_800_000);
    simulation.advance(Duration::from_millis(300));
    let idle = backlog(&mut simulation);
    expect_that!(idle.free_in, eq(Duration::ZERO));
    expect_that!(idle.levels, len(eq(0)));
    expect_that!(idle.memory_permille, eq(400));
    simulation.advance(Duration::from_secs(1));
    expect_that!(backlog(&mut simulation).memory_permille, eq(0));
}

/// Guards against the work of a report with each request: within 50 ms the same one is used.
#[gtest]
fn a_backlog_is_computed_at_most_once_in_a_short_time() {
    let mut simulation = Simulation::new(&["a"], WORK);
    simulation.enqueue(8, |_| {});
    let first = backlog(&mut simulation);
    simulation.enqueue(8, |_| {});
    expect_that!(backlog(&mut simulation), eq(&first));
    simulation.advance(Duration::from_millis(50));
    expect_that!(backlog(&mut simulation).levels, len(eq(1)));
}

/// Guards against a report that still counts on lost servers: two of four are lost under 12 full calls.
#[gtest]
fn lost_servers_double_the_wait() {
    let mut simulation = Simulation::new(&["a", "a", "b", "b"], WORK);
    for _ in 0..12 {
        simulation.enqueue(8, |piece| {
            piece.due = piece.due + Duration::from_secs(9);
            piece.deadline = piece.deadline + Duration::from_secs(9);
        });
    }
    expect_that!(
        backlog(&mut simulation).total_on_time_wait(),
        eq(FULL_CALL * 3)
    );
    for server in ["i-2", "i-3"] {
        simulation.roster.remove(simulation.now, &server.into());
    }
    simulation.advance(Duration::from_millis(50));
    let wait = backlog(&mut simulation).total_on_time_wait();
    expect_that!(wait, ge(FULL_CALL * 9 / 2));
}

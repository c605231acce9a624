//! How requests share a chain whose third stage has too little capacity: accounts, sizes, ranks, lost servers and callers
//! that return.

mod simulation;

use core::time::Duration;

use googletest::prelude::*;
use simulation::{Call, End, Simulation};

/// The capacity of the third stage in pieces a second: 8 servers that finish 8 pieces in 275 ms.
const CAPACITY: f64 = 8.0 * 8.0 / 0.275;

const PERIOD: Duration = Duration::from_secs(20);

/// Returns the part of the requests that a filter selects that were on time.
fn level(simulation: &Simulation, filter: impl Fn(&Call) -> bool) -> f64 {
    let on_time = simulation.count(End::OnTime, &filter);
    let ended = simulation.ended.iter();
    let all = ended.filter(|(call, _)| filter(call)).count();
    on_time as f64 / all.max(1) as f64
}

/// Guards against an account that takes the capacity of others: one sends ten times as much as each of 30 others, at 1.3
/// times the capacity, of which the others need 0.98.
#[gtest]
fn an_account_that_floods_yields_before_others_and_is_not_starved() {
    let mut simulation = Simulation::new([12, 12, 8]);
    simulation.run(1.3 * CAPACITY / 2.0, PERIOD, |number| match number % 4 {
        0 => ("flood".to_owned(), 0, 2),
        _ => (format!("a{}", number % 30), 0, 2),
    });
    simulation.finish();
    let flood = level(&simulation, |call| call.account.as_str() == "flood");
    let others = level(&simulation, |call| call.account.as_str() != "flood");
    println!("on time: {flood:.3} of the account that floods, {others:.3} of the others");
    expect_that!(others, ge(0.85));
    expect_that!(flood, lt(others));
    expect_that!(flood, ge(0.25 * others));
}

/// Guards against an urgent kind behind a less urgent one: half of the requests are of each rank, at 1.6 times the capacity.
#[gtest]
fn no_urgent_kind_is_behind_a_less_urgent_one() {
    let mut simulation = Simulation::new([12, 12, 8]);
    simulation.run(1.6 * CAPACITY / 2.0, PERIOD, |number| {
        let rank = if number.is_multiple_of(2) { 0 } else { 2 };
        (format!("a{}", number % 50), rank, 2)
    });
    simulation.finish();
    let first = level(&simulation, |call| call.rank.account == 0);
    let second = level(&simulation, |call| call.rank.account == 2);
    println!("on time: {first:.3} of rank 0, {second:.3} of rank 2");
    expect_that!(first, ge(0.95));
    // Rank 0 takes 0.8 of the capacity and leaves a quarter of what rank 2 sends.
    expect_that!(second, ge(0.15));
}

/// Guards against large requests that never find room: a tenth has 6 pieces and the others 2, at 1.2 times the capacity.
#[gtest]
fn the_largest_tenth_is_not_starved() {
    let mut simulation = Simulation::new([12, 12, 8]);
    simulation.run(1.2 * CAPACITY / 2.4, PERIOD, |number| {
        let pieces = if number.is_multiple_of(10) { 6 } else { 2 };
        (format!("a{}", number % 47), 0, pieces)
    });
    simulation.finish();
    let large = level(&simulation, |call| call.pieces == 6);
    let all = level(&simulation, |_| true);
    println!("on time: {large:.3} of the largest tenth, {all:.3} of all");
    expect_that!(large, ge(0.5 * all));
}

/// Guards against a plan that counts on lost servers: the third stage loses half of its servers under 0.9 of its capacity.
#[gtest]
fn a_stage_that_loses_half_of_its_servers_serves_what_is_left() {
    let mut simulation = Simulation::new([12, 12, 8]);
    let next = |number: u64| (format!("a{}", number % 50), 0, 2);
    simulation.run(0.9 * CAPACITY / 2.0, Duration::from_secs(5), next);
    for server in 0..4 {
        let id = format!("third-{server}").into();
        simulation.roster.remove(simulation.now, &id);
    }
    let lost_at = simulation.now;
    simulation.run(0.9 * CAPACITY / 2.0, PERIOD, next);
    simulation.finish();
    let on_time = simulation.count(End::OnTime, |call| call.first_at >= lost_at);
    let part = on_time as f64 * 2.0 / (0.5 * CAPACITY * PERIOD.as_secs_f64());
    let late = simulation.count(End::Late, |_| true);
    println!("on time: {part:.3} of the capacity that is left, {late} late");
    expect_that!(part, ge(0.85));
    expect_that!(late, le(on_time / 10));
}

/// Guards against callers that return as told and are refused again and again while new ones are served: a burst of 2 s at
/// 1.6 times the capacity, then half of it, which leaves more than the callers need that the burst refused.
#[gtest]
fn callers_that_return_as_told_are_answered() {
    let mut simulation = Simulation::new([12, 12, 8]);
    simulation.callers_return = true;
    let next = |number: u64| (format!("a{}", number % 50), 0, 2);
    simulation.run(1.6 * CAPACITY / 2.0, Duration::from_secs(2), next);
    simulation.run(0.5 * CAPACITY / 2.0, PERIOD, next);
    simulation.finish();
    let returned = |call: &Call| call.returns > 0;
    let ended = simulation.ended.iter();
    let all = ended.filter(|(call, _)| returned(call)).count();
    let answered = simulation.count(End::OnTime, returned) + simulation.count(End::Late, returned);
    println!("{answered} of {all} callers that returned were answered");
    expect_that!(all, ge(50));
    expect_that!(answered * 2, ge(all));
}

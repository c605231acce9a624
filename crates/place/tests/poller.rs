//! Selection of the engines to poll, and handling of failed polls.

use base::{Incarnation, Name, Stamp, Tick};
use googletest::prelude::*;
use place::{order::Engine, poller::Poller};

fn names(count: usize) -> Vec<Incarnation> {
    let name = |at| Incarnation::new(format!("runner-{at:02}"), Stamp::from_millis(5));
    (0..count).map(name).collect()
}

fn engine(server: &Incarnation) -> Engine {
    Engine {
        server: server.clone(),
        models: vec![Name::from("a")],
        memory: 10,
        is_fenced: true,
    }
}

fn poller(names: &[Incarnation]) -> Poller {
    let mut poller = Poller::default();
    poller.set_servers(names);
    poller
}

#[gtest]
fn engines_are_polled_in_turn_a_few_at_a_time() {
    for count in [4, 98] {
        let names = names(count);
        let mut poller = poller(&names);
        let mut polled = Vec::new();
        for round in 0..count as u64 / 2 {
            expect_that!(poller.is_complete(), eq(false));
            let chosen = poller.next_polls(Tick::from_millis(round + 1), &[], 2);
            expect_that!(chosen, len(eq(2)));
            for server in &chosen {
                poller.record_answer(server, Some(engine(server)));
            }
            polled.extend(chosen);
        }
        polled.sort();
        expect_that!(polled, eq(&names));
        expect_that!(poller.is_complete(), eq(true));
        expect_that!(poller.engines(), len(eq(count)));
    }
}

#[gtest]
fn an_engine_with_a_pending_order_is_polled_each_time_but_not_twice_at_once() {
    let names = names(6);
    let mut poller = poller(&names);
    let urgent = &names[5..];
    for round in 1..=2 {
        let chosen = poller.next_polls(Tick::from_millis(round), urgent, 1);
        expect_that!(chosen, len(eq(2)));
        expect_that!(chosen, contains(eq(&names[5])));
        poller.record_answer(&names[5], Some(engine(&names[5])));
    }
    poller.next_polls(Tick::from_millis(3), urgent, 0);
    expect_that!(
        poller.next_polls(Tick::from_millis(4), urgent, 0),
        is_empty()
    );
}

#[gtest]
fn an_unresponsive_engine_holds_nothing_after_a_few_polls() {
    let names = names(1);
    let mut poller = poller(&names);
    let mut poll = |at, engine| {
        poller.next_polls(Tick::from_millis(at), &[], 1);
        poller.record_answer(&names[0], engine);
        poller.engines().len()
    };
    let counts = [
        poll(1, Some(engine(&names[0]))),
        poll(2, None),
        poll(3, None),
        poll(4, None),
        poll(5, Some(engine(&names[0]))),
    ];
    expect_that!(counts, eq([1, 1, 1, 0, 1]));
}

#[gtest]
fn a_restarted_poller_is_complete_after_every_engine_was_polled() {
    let names = names(1);
    let mut poller = poller(&names);
    poller.next_polls(Tick::from_millis(1), &[], 1);
    poller.record_answer(&names[0], Some(engine(&names[0])));
    poller.restart();
    expect_that!(poller.is_complete(), eq(false));
    poller.next_polls(Tick::from_millis(2), &[], 1);
    poller.record_answer(&names[0], None);
    expect_that!(poller.is_complete(), eq(true));
}

//! Which servers a single roster keeps and removes.

use std::time::Duration;

use base::{Incarnation, Stamp, Tick};
use googletest::prelude::*;
use member::{
    Context, Event, Roster, configs,
    event::{Listing, Role, Status},
    fact::{Instance, State},
    view,
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const POOL: &str = "limpet-pool";

fn new_roster() -> Roster {
    let own = Instance {
        incarnation: Incarnation::new("entry-1", Stamp::from_millis(1)),
        domain: "here".into(),
        address: "127.0.0.1:1".into(),
        state: State::Live,
    };
    Roster::new(own, configs::roster::Roster::default(), Tick::default())
}

fn handle(roster: &mut Roster, seconds: u64, event: Event) {
    let mut rng = ChaCha8Rng::seed_from_u64(seconds);
    let mut context = Context {
        now: Tick::default() + Duration::from_secs(seconds),
        stamp: Stamp::from_millis(1_000_000 + seconds * 1_000),
        rng: &mut rng,
    };
    roster.handle(&mut context, event);
}

fn listing(name: &str, start: u64, state: State) -> Listing {
    Listing {
        incarnation: Incarnation::new(name, Stamp::from_millis(start)),
        domain: "here".into(),
        address: format!("127.0.0.1:{start}").into(),
        role: Role::Backend(POOL.into()),
        state,
    }
}

fn live(names: &[&str]) -> Event {
    let listing = |name: &&str| listing(name, 1, State::Live);
    Event::ListReceived(names.iter().map(listing).collect())
}

fn servers(roster: &Roster, seconds: u64) -> Vec<view::Server> {
    let view = roster.view(Tick::default() + Duration::from_secs(seconds));
    view.pool(POOL)
        .map_or_else(Vec::new, |pool| pool.servers.clone())
}

#[gtest]
fn an_older_list_does_not_bring_a_leaving_server_back() {
    let mut roster = new_roster();
    handle(&mut roster, 1, live(&["a", "b"]));
    let status = Status {
        incarnation: Incarnation::new("a", Stamp::from_millis(1)),
        state: State::Leaving,
        load: None,
    };
    handle(&mut roster, 2, Event::ServerReported(status));
    handle(&mut roster, 3, live(&["a", "b"]));
    let states: Vec<State> = servers(&roster, 3)
        .iter()
        .map(|server| server.state)
        .collect();
    expect_that!(states, elements_are![eq(&State::Leaving), eq(&State::Live)]);
}

#[gtest]
fn a_later_start_supersedes_and_an_earlier_one_does_not() {
    let mut roster = new_roster();
    handle(
        &mut roster,
        1,
        Event::ListReceived(vec![listing("a", 1, State::Leaving)]),
    );
    handle(
        &mut roster,
        2,
        Event::ListReceived(vec![listing("a", 9, State::Live)]),
    );
    handle(
        &mut roster,
        3,
        Event::ListReceived(vec![listing("a", 1, State::Live)]),
    );
    let servers = servers(&roster, 3);
    expect_that!(servers.len(), eq(1));
    expect_that!(servers[0].incarnation.start, eq(Stamp::from_millis(9)));
    expect_that!(servers[0].state, eq(State::Live));
    expect_that!(servers[0].address.as_str(), eq("127.0.0.1:9"));
}

#[gtest]
fn an_empty_list_removes_nothing() {
    let mut roster = new_roster();
    handle(&mut roster, 1, live(&["a", "b", "c"]));
    for seconds in 2..2_000 {
        handle(&mut roster, seconds, Event::ListReceived(Vec::new()));
        handle(&mut roster, seconds, Event::Tick);
    }
    expect_that!(servers(&roster, 2_000).len(), eq(3));
}

#[gtest]
fn a_silent_server_is_removed_once_the_list_omits_it() {
    let mut roster = new_roster();
    handle(&mut roster, 1, live(&["a", "b", "c"]));
    handle(&mut roster, 20, live(&["a", "b"]));
    expect_that!(servers(&roster, 20).len(), eq(3));
    handle(&mut roster, 40, live(&["a", "b"]));
    expect_that!(servers(&roster, 40).len(), eq(2));
}

#[gtest]
fn a_server_that_answers_stays_if_the_list_omits_it() {
    let mut roster = new_roster();
    handle(&mut roster, 1, live(&["a", "b"]));
    for seconds in (10..1_000).step_by(10) {
        let status = Status {
            incarnation: Incarnation::new("a", Stamp::from_millis(1)),
            state: State::Live,
            load: None,
        };
        handle(&mut roster, seconds, Event::ServerReported(status));
        handle(&mut roster, seconds, live(&["b"]));
    }
    expect_that!(servers(&roster, 1_000).len(), eq(2));
}

#[gtest]
fn a_list_that_omits_most_of_a_pool_takes_effect_late() {
    let mut roster = new_roster();
    handle(&mut roster, 1, live(&["a", "b", "c"]));
    handle(&mut roster, 100, live(&["a"]));
    expect_that!(servers(&roster, 100).len(), eq(3));
    handle(&mut roster, 700, live(&["a"]));
    expect_that!(servers(&roster, 700).len(), eq(1));
}

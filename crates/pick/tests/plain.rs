//! One of several servers is slow, fails or is unreachable.

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use googletest::prelude::*;
use pick::{Fleet, configs::Config, fleet::Completion, plain};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use site::roster::Server;

fn servers(count: u8) -> Vec<Rc<Server>> {
    let server = |at: u8| {
        Rc::new(Server {
            id: format!("i-{at}").into(),
            pool: "ledger".into(),
            address: format!("10.0.0.{at}:80").parse().unwrap(),
            domain: "a".into(),
            slots: 6,
            leaving: false,
            started_at_ms: 0,
            version: Some("v1".into()),
        })
    };
    (0..count).map(server).collect()
}

/// Sends calls one after the other and returns the number of calls to each server.
fn run(fleet: &mut Fleet, calls: u64, complete: impl Fn(&Name) -> Completion) -> Vec<usize> {
    let servers = servers(4);
    let mut counts = vec![0; servers.len()];
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let domain = Name::from("a");
    for call in 0..calls {
        let now = Tick::from_millis(1_000 + call * 50);
        let mut cx = plain::Context {
            now,
            domain: &domain,
            tried: &[],
            rng: &mut rng,
        };
        let Some(chosen) = plain::choose(fleet, &mut cx, servers.iter()) else {
            continue;
        };
        let at = servers
            .iter()
            .position(|server| server.id == chosen.id)
            .unwrap();
        counts[at] += 1;
        fleet.record_start(now, &chosen.id, 0);
        fleet.record_completion(now, &chosen.id, complete(&chosen.id));
    }
    counts
}

fn answered(ms: u64) -> Completion {
    Completion::Answered {
        latency: Duration::from_millis(ms),
    }
}

#[gtest]
fn equal_servers_get_equal_shares() {
    let mut fleet = Fleet::new(Config::default());
    let counts = run(&mut fleet, 800, |_| answered(30));
    expect_that!(counts.iter().min(), some(ge(&120)));
    expect_that!(counts.iter().max(), some(le(&280)));
}

#[gtest]
fn a_slow_server_gets_few_calls_and_is_tried_again() {
    let mut fleet = Fleet::new(Config::default());
    let slow = Name::from("i-2");
    let counts = run(&mut fleet, 800, |id| {
        answered(if *id == slow { 150 } else { 30 })
    });
    expect_that!(counts[2], all!(ge(3), le(80)), "{counts:?}");
}

#[gtest]
fn a_failing_server_gets_few_calls() {
    let mut fleet = Fleet::new(Config::default());
    let failing = Name::from("i-1");
    let counts = run(&mut fleet, 800, |id| {
        if *id == failing {
            Completion::Failed
        } else {
            answered(30)
        }
    });
    expect_that!(counts[1], le(80), "{counts:?}");
}

#[gtest]
fn an_unreachable_server_is_blocked_with_exponential_backoff() {
    let mut fleet = Fleet::new(Config::default());
    let id = Name::from("i-1");
    let mut now = Tick::from_millis(1_000);
    for block_ms in [500, 1_000, 2_000, 4_000, 4_000] {
        fleet.record_start(now, &id, 0);
        fleet.record_completion(now, &id, Completion::Unreachable);
        let end = now + Duration::from_millis(block_ms);
        expect_that!(fleet.is_blocked(end, &id), eq(false));
        now = now + Duration::from_millis(block_ms - 1);
        expect_that!(fleet.is_blocked(now, &id), eq(true));
    }
}

#[gtest]
fn a_server_that_was_tried_is_not_selected_again() {
    let servers = servers(2);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let tried = [servers[0].id.clone()];
    let mut cx = plain::Context {
        now: Tick::from_millis(5),
        domain: &"a".into(),
        tried: &tried,
        rng: &mut rng,
    };
    let chosen = plain::choose(&Fleet::default(), &mut cx, servers.iter());
    expect_that!(
        chosen.map(|server| server.id.clone()),
        some(eq(&servers[1].id))
    );
}

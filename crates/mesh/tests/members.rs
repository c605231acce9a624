//! Pattern: instances come, go, freeze and are cut off, and pools need a feeder all the while.

use core::time::Duration;

use base::{Name, Tick};
use googletest::prelude::*;
use mesh::{Config, Members, Peer};

fn peer(name: &str) -> Peer {
    Peer {
        name: name.into(),
        address: "10.0.0.1:7740".parse().unwrap(),
    }
}

fn members(own: &str, others: &[&str], now: Tick) -> Members {
    let mut members = Members::new(Config::default(), own.into());
    for other in others {
        members.add(peer(other));
        members.heard(now, &(*other).into());
    }
    members
}

fn feeder(members: &Members, now: Tick, own: &str, pool: &str) -> Name {
    let feeder = members.feeder(now, &pool.into());
    feeder.map_or_else(|| own.into(), |peer| peer.name.clone())
}

#[gtest]
fn instances_that_hear_each_other_name_one_feeder_for_each_pool() {
    let now = Tick::from_millis(10);
    let names = ["a", "b", "c", "d", "e", "f"];
    for pool in ["portfolio", "portal", "board"] {
        let feeders = names.map(|own| feeder(&members(own, &names, now), now, own, pool));
        expect_that!(feeders, each(eq(&feeders[0])), "{pool}");
    }
}

#[gtest]
fn pools_are_shared_out() {
    let now = Tick::from_millis(10);
    let names = ["a", "b", "c", "d", "e", "f"];
    let all = members("a", &names, now);
    let feeders = (0..60).map(|pool| feeder(&all, now, "a", &format!("pool-{pool}")));
    let mut feeders: Vec<_> = feeders.collect();
    feeders.sort();
    let counts = feeders.chunk_by(|a, b| a == b).map(<[Name]>::len);
    let counts: Vec<_> = counts.collect();
    expect_that!(counts.len(), eq(6));
    expect_that!(counts.iter().max(), some(le(&20)));
}

#[gtest]
fn a_silent_instance_feeds_nothing_after_three_pulses() {
    let now = Tick::from_millis(10);
    let config = Config::default();
    let members = members("a", &["b"], now);
    let limit = config.pulse * config.missed;
    let name = Name::from("b");
    let just = now + limit.saturating_sub(Duration::from_millis(1));
    expect_that!(members.is_live(just, &name), eq(true));
    expect_that!(members.is_live(now + limit, &name), eq(false));
    expect_that!(
        feeder(&members, now + limit, "a", "portfolio"),
        eq(&Name::from("a"))
    );
}

#[gtest]
fn a_failed_call_takes_an_instance_out_until_it_answers_again() {
    let now = Tick::from_millis(10);
    let mut members = members("a", &["b"], now);
    expect_that!(members.lost(&"b".into()), eq(true));
    expect_that!(members.lost(&"b".into()), eq(false));
    expect_that!(members.live(now), eq(1));
    expect_that!(members.heard(now, &"b".into()), eq(true));
    expect_that!(members.live(now), eq(2));
}

#[gtest]
fn an_instance_at_a_new_address_has_to_answer_first() {
    let now = Tick::from_millis(10);
    let mut members = members("a", &["b"], now);
    members.add(Peer {
        address: "10.0.0.9:7740".parse().unwrap(),
        ..peer("b")
    });
    expect_that!(members.live(now), eq(1));
}

#[gtest]
fn pulses_cost_the_same_at_every_size() {
    let now = Tick::from_millis(10);
    for count in [8, 86, 400] {
        let mut members = Members::new(Config::default(), "own".into());
        for at in 0..count {
            members.add(peer(&format!("n-{at}")));
        }
        let mut pulses = 0;
        for ms in 0..10_000 {
            pulses += members.due(now + Duration::from_millis(ms)).len();
        }
        println!("{count} instances: {} pulses a second", pulses / 10);
        expect_that!(pulses / 10, le(120), "{count}");
    }
}

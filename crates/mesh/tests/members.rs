//! Pattern: instances come, go, freeze and are cut off, and pools need a feeder all the while.

use core::time::Duration;

use base::{Name, Tick};
use googletest::prelude::*;
use mesh::{Config, Members, Owner, Peer};

fn peer(name: &str) -> Peer {
    Peer {
        name: name.into(),
        address: "10.0.0.1:7740".parse().unwrap(),
        domain: "d".into(),
        capacity: 250,
    }
}

fn members(own: &str, others: &[&str], now: Tick) -> Members {
    let mut members = Members::new(Config::default(), peer(own));
    for other in others {
        members.add(peer(other));
        members.mark_live(now, &(*other).into());
    }
    members
}

fn feeder(members: &mut Members, now: Tick, own: &str, pool: &str) -> Name {
    match members.owner(now, &pool.into(), &"d".into()) {
        Owner::Local => own.into(),
        Owner::Peer(peer) => peer.name,
        Owner::Unavailable => "nobody".into(),
    }
}

/// Returns four failure domains of instances, of which the first two of each are strong.
fn celled(each: usize) -> Vec<Peer> {
    let peers = (0..4).flat_map(|domain| {
        (0..each).map(move |at| Peer {
            name: format!("n-{domain}-{at}").into(),
            address: format!("10.{domain}.{}.{}:7740", at / 200, at % 200 + 1)
                .parse()
                .unwrap(),
            domain: format!("d-{domain}").into(),
            capacity: if at < 2 { 500 } else { 120 },
        })
    });
    peers.collect()
}

/// Returns what one of the instances knows at its start.
fn view(peers: &[Peer], own: usize) -> Members {
    let mut members = Members::new(Config::default(), peers[own].clone());
    for peer in peers {
        members.add(peer.clone());
    }
    members
}

fn holder(members: &mut Members, now: Tick, own: &Peer, pool: &str, domain: &str) -> Option<Name> {
    match members.owner(now, &pool.into(), &domain.into()) {
        Owner::Local => Some(own.name.clone()),
        Owner::Peer(peer) => Some(peer.name),
        Owner::Unavailable => None,
    }
}

#[gtest]
fn instances_that_hear_each_other_name_one_feeder_for_each_pool() {
    let now = Tick::from_millis(10);
    let names = ["a", "b", "c", "d", "e", "f"];
    for pool in ["portfolio", "portal", "board"] {
        let feeders = names.map(|own| feeder(&mut members(own, &names, now), now, own, pool));
        expect_that!(feeders, each(eq(&feeders[0])), "{pool}");
    }
}

#[gtest]
fn pools_are_shared_out() {
    let now = Tick::from_millis(10);
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut all = members("a", &names, now);
    let feeders = (0..60).map(|pool| feeder(&mut all, now, "a", &format!("pool-{pool}")));
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
    let mut members = members("a", &["b"], now);
    let limit = config.heartbeat_interval * config.max_missed_heartbeats;
    let name = Name::from("b");
    let just = now + limit.saturating_sub(Duration::from_millis(1));
    expect_that!(members.is_live(just, &name), eq(true));
    expect_that!(members.is_live(now + limit, &name), eq(false));
    expect_that!(
        feeder(&mut members, now + limit, "a", "portfolio"),
        eq(&Name::from("a"))
    );
}

#[gtest]
fn a_failed_call_takes_an_instance_out_until_it_answers_again() {
    let now = Tick::from_millis(10);
    let mut members = members("a", &["b"], now);
    expect_that!(members.mark_lost(&"b".into()), eq(true));
    expect_that!(members.mark_lost(&"b".into()), eq(false));
    expect_that!(members.live_count(now), eq(1));
    expect_that!(members.mark_live(now, &"b".into()), eq(true));
    expect_that!(members.live_count(now), eq(2));
}

#[gtest]
fn an_instance_at_a_new_address_has_to_answer_first() {
    let now = Tick::from_millis(10);
    let mut members = members("a", &["b"], now);
    members.add(Peer {
        address: "10.0.0.9:7740".parse().unwrap(),
        ..peer("b")
    });
    expect_that!(members.live_count(now), eq(1));
}

#[gtest]
fn all_instances_of_a_large_deployment_name_the_same_strong_feeder_in_each_domain() {
    let now = Tick::from_millis(10);
    for each in [15, 75] {
        let peers = celled(each);
        for pool in ["portfolio", "portal", "board"] {
            for domain in ["d-0", "d-1", "d-2", "d-3"] {
                let views = (0..peers.len()).map(|own| {
                    let mut members = view(&peers, own);
                    holder(&mut members, now, &peers[own], pool, domain)
                });
                let mut named: Vec<_> = views.collect();
                named.dedup();
                expect_that!(named.len(), eq(1), "{pool} {domain}");
                let strong = peers
                    .iter()
                    .find(|peer| Some(&peer.name) == named[0].as_ref());
                expect_that!(strong.map(|peer| peer.capacity), some(eq(500)));
                expect_that!(strong.map(|peer| peer.domain.as_str()), some(eq(domain)));
            }
        }
    }
}

#[gtest]
fn the_next_instance_takes_over_from_a_lost_feeder_and_not_everyone_for_itself() {
    let now = Tick::from_millis(10);
    let peers = celled(15);
    let first = holder(&mut view(&peers, 14), now, &peers[14], "board", "d-0");
    let first = first.unwrap();
    let views = (5..peers.len()).map(|own| {
        let mut members = view(&peers, own);
        members.owner(now, &"board".into(), &"d-0".into());
        members.mark_lost(&first);
        holder(&mut members, now, &peers[own], "board", "d-0")
    });
    let mut named: Vec<_> = views.collect();
    named.dedup();
    expect_that!(named.len(), eq(1));
    expect_that!(named[0].as_ref(), some(not(eq(&first))));
}

#[gtest]
fn a_lost_feeder_holds_its_task_again_once_it_answers() {
    let now = Tick::from_millis(10);
    let peers = celled(15);
    let mut members = view(&peers, 14);
    let first = holder(&mut members, now, &peers[14], "board", "d-0").unwrap();
    members.mark_lost(&first);
    holder(&mut members, now, &peers[14], "board", "d-0");
    let later = now + Config::default().lost_heartbeat_interval;
    let asked: Vec<_> = members
        .due_heartbeats(later)
        .into_iter()
        .map(|peer| peer.name)
        .collect();
    expect_that!(asked, contains(eq(&first)));
    members.mark_live(later, &first);
    let again = holder(&mut members, later, &peers[14], "board", "d-0");
    expect_that!(again, some(eq(&first)));
}

#[gtest]
fn a_domain_of_which_nothing_answers_has_no_feeder() {
    let now = Tick::from_millis(10);
    let peers = celled(15);
    let mut members = view(&peers, 14);
    for peer in peers.iter().filter(|peer| peer.domain == "d-3".into()) {
        members.mark_lost(&peer.name);
    }
    expect_that!(
        members.owner(now, &"board".into(), &"d-3".into()),
        eq(&Owner::Unavailable)
    );
}

#[gtest]
fn pulses_cost_the_same_at_every_size() {
    let now = Tick::from_millis(10);
    for each in [2, 4, 15, 22, 100] {
        let peers = celled(each);
        let own = peers.len() - 1;
        let mut members = view(&peers, own);
        let mut pulses = 0;
        for ms in (0..10_000).step_by(10) {
            let now = now + Duration::from_millis(ms);
            for domain in ["d-0", "d-1", "d-2", "d-3"] {
                for pool in ["portfolio", "portal", "board"] {
                    members.owner(now, &pool.into(), &domain.into());
                }
            }
            for peer in members.due_heartbeats(now) {
                members.mark_live(now, &peer.name);
                pulses += 1;
            }
        }
        println!("{} instances: {} pulses a second", peers.len(), pulses / 10);
        expect_that!(pulses / 10, le(80), "{}", peers.len());
    }
}

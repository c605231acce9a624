//! What a failure domain of instances comes to know together, and the bytes that it takes.

use std::{collections::BTreeSet, time::Duration};

use base::{Digest, Incarnation, Name};
use googletest::prelude::*;
use member::{
    Event, Fact,
    event::{Listing, Role},
    fact::{Id, State, Suspect},
};

mod world;

use world::World;

const SECOND: Duration = Duration::from_secs(1);

/// Bytes of messages that an instance may send a second for membership, at 50 instances and 98 servers.
const BYTES: u64 = 1_800;
/// Calls that an instance may start or answer a second.
const CALLS: u64 = 4;

#[gtest]
fn everybody_knows_everybody_within_the_bytes_allowed() {
    let mut world = World::new(1, 1, 50, 98);
    world.run(SECOND * 30);
    for node in &world.nodes {
        let view = node.roster.view(world.now);
        let servers: usize = view.pools.iter().map(|pool| pool.servers.len()).sum();
        let loads = view
            .pools
            .iter()
            .flat_map(|pool| &pool.servers)
            .filter(|server| server.load.is_some());
        expect_that!(node.roster.members(world.now).len(), eq(50));
        expect_that!(servers, eq(98));
        expect_that!(loads.count(), eq(98));
    }
    world.reset();
    world.run(SECOND * 20);
    let bytes: u64 = world.nodes.iter().map(|node| node.bytes).sum();
    let calls: u64 = world.nodes.iter().map(|node| node.calls).sum();
    expect_that!(bytes / 50 / 20, le(BYTES));
    expect_that!(calls / 50 / 20, le(CALLS));
}

#[gtest]
fn each_server_has_one_poller_that_tells_its_load() {
    let mut world = World::new(2, 1, 10, 20);
    world.run(SECOND * 20);
    let mut told: Vec<String> = Vec::new();
    for node in &world.nodes {
        let own = member::fact::Id::from_incarnation(&node.own.incarnation);
        for (origin, _, fact) in node.roster.facts(world.now) {
            if let (true, member::Fact::Server(server)) = (origin == own, fact) {
                told.push(server.incarnation.name.to_string());
            }
        }
    }
    told.sort_unstable();
    let unique = told.len();
    told.dedup();
    expect_that!(unique, eq(20));
    expect_that!(told.len(), eq(20));
}

/// Time after which a leaving server gets nothing new from any instance of its failure domain.
const LEAVING: Duration = Duration::from_secs(5);

#[gtest]
fn leaving_servers_are_known_within_the_bound_though_calls_are_lost() {
    let mut world = World::new(3, 1, 20, 40);
    world.run(SECOND * 20);
    world.loss = 20;
    world.list = world::List::Down;
    for round in 0..5 {
        for backend in &mut world.backends[round * 8..round * 8 + 6] {
            backend.state = State::Leaving;
        }
        world.run(LEAVING);
        for backend in &world.backends[round * 8..round * 8 + 6] {
            let knows = world
                .nodes
                .iter()
                .filter(|node| node.roster.is_leaving(&backend.incarnation));
            expect_that!(knows.count(), eq(20));
        }
    }
}

#[gtest]
fn a_leaving_server_is_known_though_its_poller_has_just_died() {
    let mut world = World::new(4, 1, 20, 40);
    world.run(SECOND * 20);
    world.list = world::List::Down;
    let incarnation = world.backends[7].incarnation.clone();
    let members = world.nodes[0].roster.members(world.now);
    let owner = member::rendezvous::owner(&members, incarnation.name.as_str().as_bytes()).cloned();
    let dead = world
        .nodes
        .iter_mut()
        .find(|node| Some(&node.own.incarnation) == owner.as_ref());
    dead.expect("the poller is an instance").up = false;
    world.backends[7].state = State::Leaving;
    world.run(SECOND * 8);
    let up = || world.nodes.iter().filter(|node| node.up);
    expect_that!(up().count(), eq(19));
    expect_that!(
        up().all(|node| node.roster.is_leaving(&incarnation)),
        eq(true)
    );
}

#[gtest]
fn failure_domains_know_each_other_in_short() {
    let mut world = World::new(5, 3, 12, 24);
    world.run(SECOND * 40);
    for node in &world.nodes {
        let view = node.roster.view(world.now);
        expect_that!(view.domains.len(), eq(2));
        for domain in &view.domains {
            expect_that!(domain.summary.count, eq(4));
            let there = world
                .nodes
                .iter()
                .find(|node| node.own.domain == domain.summary.name);
            let own = there
                .and_then(|node| node.roster.view(world.now).own)
                .expect("sealed");
            let behind = own.summary.version - domain.summary.version;
            expect_that!(behind, le(2));
            expect_that!(behind > 0 || own.summary == domain.summary, eq(true));
            expect_that!(domain.age, le(SECOND * 20));
            let live: u32 = domain.summary.pools.iter().map(|pool| pool.live).sum();
            expect_that!(live, eq(8));
        }
    }
}

#[gtest]
fn a_leaving_instance_is_counted_in_the_summary_of_its_domain() {
    let mut world = World::new(5, 2, 8, 4);
    world.run(SECOND * 30);
    world.give(2, Event::Stop);
    world.run(SECOND * 25);
    for node in world.nodes.iter().filter(|node| node.domain == 1) {
        let there = &node.roster.view(world.now).domains[0].summary;
        expect_that!((there.count, there.leaving), eq((4, 1)));
    }
}

#[gtest]
fn a_cut_off_domain_shows_its_age() {
    let mut world = World::new(6, 2, 8, 16);
    world.run(SECOND * 40);
    world.sides = world
        .nodes
        .iter()
        .map(|node| u8::from(node.domain == 1))
        .collect();
    world.run(SECOND * 60);
    let view = world.nodes[0].roster.view(world.now);
    expect_that!(view.domains[0].age, ge(SECOND * 50));
    world.sides = vec![0; 8];
    world.run(SECOND * 30);
    let view = world.nodes[0].roster.view(world.now);
    expect_that!(view.domains[0].age, le(SECOND * 20));
}

/// Found by chance: an instance that heard of a leaving server before it knew the server did not poll it,
/// though the role was its own, and the server's next life stayed unknown.
#[gtest]
fn the_next_life_of_a_leaving_server_is_found_by_a_restarted_poller() {
    let mut world = World::new(0, 1, 6, 12);
    world.run(SECOND * 15);
    world.restart(5);
    world.backends[9].state = State::Leaving;
    world.attempt(0, 9);
    world.run(SECOND * 9);
    world.sides = (0..6).map(|node| u8::from(node == 3)).collect();
    world.nodes[0].up = false;
    world.run(SECOND * 8);
    world.renew(9);
    world.list = world::List::Down;
    world.sides = vec![0; 6];
    world.run(SECOND * 25);
    let incarnation = &world.backends[9].incarnation;
    for node in world.nodes.iter().filter(|node| node.up) {
        let view = node.roster.view(world.now);
        let servers: Vec<_> = view.pools.iter().flat_map(|pool| &pool.servers).collect();
        let server = servers
            .iter()
            .find(|server| server.incarnation.name == incarnation.name);
        expect_that!(
            server.map(|server| &server.incarnation),
            some(eq(incarnation))
        );
        expect_that!(server.map(|server| server.state), some(eq(State::Live)));
    }
}

fn suspect() -> Fact {
    Fact::Suspect(Suspect {
        digest: Digest::of(b"body"),
        crashed: vec![Id(1)],
        cleared: 0,
    })
}

/// Returns the instances that were told, the teller aside.
fn told(world: &World) -> BTreeSet<usize> {
    let nodes = world.learned.iter().map(|(node, _)| *node);
    nodes.filter(|node| *node != 3).collect()
}

/// Permits wait 200 ms after a crash for this.
#[gtest]
fn a_suspect_is_heard_of_at_once() {
    let mut world = World::new(8, 1, 20, 4);
    world.run(SECOND * 20);
    world.give(3, Event::Publish(suspect()));
    world.run(Duration::from_millis(20));
    let told = told(&world);
    expect_that!(told.len(), eq(19));
}

#[gtest]
fn a_suspect_is_heard_of_at_once_in_other_domains() {
    let mut world = World::new(9, 3, 12, 4);
    world.run(SECOND * 30);
    world.give(3, Event::Publish(suspect()));
    world.run(Duration::from_millis(20));
    let told = told(&world);
    expect_that!(told.len(), eq(11));
}

#[gtest]
fn a_suspect_is_heard_of_at_once_past_an_instance_that_is_gone_unnoticed() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 12, 4);
        world.run(SECOND * 30);
        let teller = world.nodes[3].domain;
        let mut gone: BTreeSet<usize> = BTreeSet::new();
        for domain in (0..3).filter(|domain| *domain != teller) {
            gone.extend(world.nodes.iter().position(|node| node.domain == domain));
        }
        for at in &gone {
            world.sides[*at] = 1;
        }
        world.give(3, Event::Publish(suspect()));
        world.run(Duration::from_millis(20));
        expect_that!(told(&world).len(), eq(11 - gone.len()), "seed {seed}");
    }
}

#[gtest]
fn a_suspect_is_heard_of_in_a_domain_that_was_cut_off() {
    let mut world = World::new(9, 3, 12, 4);
    world.run(SECOND * 30);
    world.sides = world
        .nodes
        .iter()
        .map(|node| u8::from(node.domain == 2))
        .collect();
    world.give(3, Event::Publish(suspect()));
    world.run(SECOND * 30);
    world.sides = vec![0; 12];
    world.run(SECOND * 25);
    let told = told(&world);
    expect_that!(told.len(), eq(11));
}

#[gtest]
fn a_leaving_server_is_known_in_other_domains() {
    let mut world = World::new(13, 3, 12, 24);
    world.run(SECOND * 30);
    world.list = world::List::Down;
    for backend in 0..12 {
        world.backends[backend].state = State::Leaving;
    }
    world.run(LEAVING);
    for backend in &world.backends[..12] {
        let knows = world
            .nodes
            .iter()
            .filter(|node| node.roster.is_leaving(&backend.incarnation));
        expect_that!(knows.count(), eq(12));
    }
}

/// Hands each instance the address of one, which is in domain 0, as settings would.
fn seed(world: &mut World) {
    let seed = Listing {
        incarnation: Incarnation::default(),
        domain: Name::default(),
        address: world.nodes[0].own.address.clone(),
        role: Role::Entry,
        state: State::Live,
    };
    for node in 0..world.nodes.len() {
        world.give(node, Event::ListReceived(vec![seed.clone()]));
    }
}

#[gtest]
fn one_known_address_suffices_while_the_list_is_down() {
    let mut world = World::new(10, 1, 10, 0);
    world.list = world::List::Down;
    seed(&mut world);
    world.run(SECOND * 30);
    for node in &world.nodes {
        expect_that!(node.roster.members(world.now).len(), eq(10));
        expect_that!(node.roster.view(world.now).peers.len(), eq(9));
    }
}

#[gtest]
fn an_address_in_another_domain_brings_no_details_of_it() {
    let mut world = World::new(11, 2, 8, 16);
    world.list = world::List::Down;
    seed(&mut world);
    world.run(SECOND * 30);
    for node in world.nodes.iter().filter(|node| node.domain == 1) {
        let view = node.roster.view(world.now);
        expect_that!(view.domains.len(), eq(1));
        let origins: BTreeSet<Id> = node
            .roster
            .facts(world.now)
            .map(|(origin, ..)| origin)
            .collect();
        let near = world.nodes.iter().filter(|other| other.domain == 1);
        let near: BTreeSet<Id> = near
            .map(|other| Id::from_incarnation(&other.own.incarnation))
            .collect();
        expect_that!(origins.is_subset(&near), eq(true));
    }
    let view = world.nodes[0].roster.view(world.now);
    expect_that!(
        view.peers.iter().filter(|peer| peer.is_heard).count(),
        eq(3)
    );
}

#[gtest]
fn a_clock_that_jumps_keeps_its_instance() {
    let mut world = World::new(12, 1, 8, 0);
    world.run(SECOND * 20);
    world.nodes[3].ahead -= 3_600_000;
    world.nodes[5].ahead += 3_600_000;
    for _ in 0..30 {
        world.run(SECOND * 2);
        for node in &world.nodes {
            expect_that!(node.roster.members(world.now).len(), eq(8));
        }
    }
}

/// Periods of 10 s by which the summary that an instance holds of its own domain is behind, or ahead.
fn behind(world: &World, node: usize) -> u64 {
    let own = world.nodes[node]
        .roster
        .view(world.now)
        .own
        .expect("sealed");
    own.summary
        .version
        .abs_diff(world.stamp().as_millis() / 10_000)
}

#[gtest]
fn a_wrong_clock_does_not_stop_the_summaries_of_its_domain() {
    for ahead in [3_600_000, -3_600_000] {
        let mut world = World::new(14, 2, 12, 24);
        world.run(SECOND * 30);
        let members = world.nodes[0].roster.members(world.now);
        let sealer = member::rendezvous::owner(&members, b"summary").cloned();
        let sealer = world
            .nodes
            .iter()
            .position(|node| Some(&node.own.incarnation) == sealer.as_ref());
        let sealer = sealer.expect("an instance");
        world.nodes[sealer].ahead = ahead;
        for _ in 0..10 {
            world.run(SECOND * 10);
            let others = (0..12).filter(|node| *node != sealer && node % 2 == 0);
            let worst = others.map(|node| behind(&world, node)).max();
            expect_that!(worst, some(le(5)));
        }
    }
}

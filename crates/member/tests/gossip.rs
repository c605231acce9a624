//! Spread of facts within and between failure domains, and the traffic that it takes.

use std::{collections::BTreeSet, time::Duration};

use base::{Digest, Incarnation, Name};
use googletest::prelude::*;
use member::{
    Event, Fact,
    event::{Listing, Role},
    fact::{Id, State, Suspect},
};

mod simulation;

use simulation::Simulation;

const SECOND: Duration = Duration::from_secs(1);

/// Bytes of messages that an instance may send per second for membership, at 50 instances and 98 servers.
const MAX_BYTES_PER_SECOND: u64 = 1_800;
/// Calls that an instance may start or answer per second.
const MAX_CALLS_PER_SECOND: u64 = 4;

#[gtest]
fn all_instances_know_each_other_within_the_traffic_bound() {
    let mut simulation = Simulation::new(1, 1, 50, 98);
    simulation.run(SECOND * 30);
    for node in &simulation.nodes {
        let view = node.roster.view(simulation.now);
        let servers: usize = view.pools.iter().map(|pool| pool.servers.len()).sum();
        let loads = view
            .pools
            .iter()
            .flat_map(|pool| &pool.servers)
            .filter(|server| server.load.is_some());
        expect_that!(node.roster.members(simulation.now).len(), eq(50));
        expect_that!(servers, eq(98));
        expect_that!(loads.count(), eq(98));
    }
    simulation.reset_counters();
    simulation.run(SECOND * 20);
    let bytes: u64 = simulation.nodes.iter().map(|node| node.bytes).sum();
    let calls: u64 = simulation.nodes.iter().map(|node| node.calls).sum();
    expect_that!(bytes / 50 / 20, le(MAX_BYTES_PER_SECOND));
    expect_that!(calls / 50 / 20, le(MAX_CALLS_PER_SECOND));
}

#[gtest]
fn each_server_has_one_poller_that_publishes_its_load() {
    let mut simulation = Simulation::new(2, 1, 10, 20);
    simulation.run(SECOND * 20);
    let mut published: Vec<String> = Vec::new();
    for node in &simulation.nodes {
        let own = member::fact::Id::from_incarnation(&node.own.incarnation);
        for (origin, _, fact) in node.roster.facts(simulation.now) {
            if let (true, member::Fact::Server(server)) = (origin == own, fact) {
                published.push(server.incarnation.name.to_string());
            }
        }
    }
    published.sort_unstable();
    let total = published.len();
    published.dedup();
    expect_that!(total, eq(20));
    expect_that!(published.len(), eq(20));
}

/// Time after which no instance of its failure domain sends new work to a leaving server.
const LEAVING_BOUND: Duration = Duration::from_secs(5);

#[gtest]
fn leaving_servers_are_known_within_the_bound_despite_lost_calls() {
    let mut simulation = Simulation::new(3, 1, 20, 40);
    simulation.run(SECOND * 20);
    simulation.loss_percent = 20;
    simulation.list = simulation::List::Down;
    for round in 0..5 {
        for backend in &mut simulation.backends[round * 8..round * 8 + 6] {
            backend.state = State::Leaving;
        }
        simulation.run(LEAVING_BOUND);
        for backend in &simulation.backends[round * 8..round * 8 + 6] {
            let knows = simulation
                .nodes
                .iter()
                .filter(|node| node.roster.is_leaving(&backend.incarnation));
            expect_that!(knows.count(), eq(20));
        }
    }
}

#[gtest]
fn a_leaving_server_is_known_if_its_poller_has_just_died() {
    let mut simulation = Simulation::new(4, 1, 20, 40);
    simulation.run(SECOND * 20);
    simulation.list = simulation::List::Down;
    let incarnation = simulation.backends[7].incarnation.clone();
    let members = simulation.nodes[0].roster.members(simulation.now);
    let owner = member::rendezvous::owner(&members, incarnation.name.as_str().as_bytes()).cloned();
    let dead = simulation
        .nodes
        .iter_mut()
        .find(|node| Some(&node.own.incarnation) == owner.as_ref());
    dead.expect("the poller is an instance").up = false;
    simulation.backends[7].state = State::Leaving;
    simulation.run(SECOND * 8);
    let up = || simulation.nodes.iter().filter(|node| node.up);
    expect_that!(up().count(), eq(19));
    expect_that!(
        up().all(|node| node.roster.is_leaving(&incarnation)),
        eq(true)
    );
}

#[gtest]
fn failure_domains_know_each_others_summary() {
    let mut simulation = Simulation::new(5, 3, 12, 24);
    simulation.run(SECOND * 40);
    for node in &simulation.nodes {
        let view = node.roster.view(simulation.now);
        expect_that!(view.domains.len(), eq(2));
        for domain in &view.domains {
            expect_that!(domain.summary.count, eq(4));
            let there = simulation
                .nodes
                .iter()
                .find(|node| node.own.domain == domain.summary.name);
            let own = there
                .and_then(|node| node.roster.view(simulation.now).own)
                .expect("a published summary");
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
    let mut simulation = Simulation::new(5, 2, 8, 4);
    simulation.run(SECOND * 30);
    simulation.dispatch(2, Event::Stop);
    simulation.run(SECOND * 25);
    for node in simulation.nodes.iter().filter(|node| node.domain == 1) {
        let there = &node.roster.view(simulation.now).domains[0].summary;
        expect_that!((there.count, there.leaving), eq((4, 1)));
    }
}

#[gtest]
fn a_partitioned_domain_has_an_old_summary() {
    let mut simulation = Simulation::new(6, 2, 8, 16);
    simulation.run(SECOND * 40);
    simulation.partitions = simulation
        .nodes
        .iter()
        .map(|node| u8::from(node.domain == 1))
        .collect();
    simulation.run(SECOND * 60);
    let view = simulation.nodes[0].roster.view(simulation.now);
    expect_that!(view.domains[0].age, ge(SECOND * 50));
    simulation.partitions = vec![0; 8];
    simulation.run(SECOND * 30);
    let view = simulation.nodes[0].roster.view(simulation.now);
    expect_that!(view.domains[0].age, le(SECOND * 20));
}

/// Guards against a poller that ignores a server because it heard that the server is leaving before it knew the
/// server: although the role was its own, it did not poll, and the server's next incarnation stayed unknown.
#[gtest]
fn a_restarted_poller_finds_the_next_incarnation_of_a_leaving_server() {
    let mut simulation = Simulation::new(0, 1, 6, 12);
    simulation.run(SECOND * 15);
    simulation.restart(5);
    simulation.backends[9].state = State::Leaving;
    simulation.poll_backend(0, 9);
    simulation.run(SECOND * 9);
    simulation.partitions = (0..6).map(|node| u8::from(node == 3)).collect();
    simulation.nodes[0].up = false;
    simulation.run(SECOND * 8);
    simulation.restart_backend(9);
    simulation.list = simulation::List::Down;
    simulation.partitions = vec![0; 6];
    simulation.run(SECOND * 25);
    let incarnation = &simulation.backends[9].incarnation;
    for node in simulation.nodes.iter().filter(|node| node.up) {
        let view = node.roster.view(simulation.now);
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

/// Returns the instances that received the suspect, without the one that published it.
fn receivers(simulation: &Simulation) -> BTreeSet<usize> {
    let nodes = simulation.delivered.iter().map(|(node, _)| *node);
    nodes.filter(|node| *node != 3).collect()
}

/// Permits wait 200 ms after a crash, so a suspect has to be known within that time.
#[gtest]
fn a_suspect_spreads_at_once() {
    let mut simulation = Simulation::new(8, 1, 20, 4);
    simulation.run(SECOND * 20);
    simulation.dispatch(3, Event::Publish(suspect()));
    simulation.run(Duration::from_millis(20));
    let receivers = receivers(&simulation);
    expect_that!(receivers.len(), eq(19));
}

#[gtest]
fn a_suspect_spreads_at_once_to_other_domains() {
    let mut simulation = Simulation::new(9, 3, 12, 4);
    simulation.run(SECOND * 30);
    simulation.dispatch(3, Event::Publish(suspect()));
    simulation.run(Duration::from_millis(20));
    let receivers = receivers(&simulation);
    expect_that!(receivers.len(), eq(11));
}

#[gtest]
fn a_suspect_spreads_at_once_despite_an_unnoticed_dead_instance() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed, 3, 12, 4);
        simulation.run(SECOND * 30);
        let publisher_domain = simulation.nodes[3].domain;
        let mut gone: BTreeSet<usize> = BTreeSet::new();
        for domain in (0..3).filter(|domain| *domain != publisher_domain) {
            gone.extend(
                simulation
                    .nodes
                    .iter()
                    .position(|node| node.domain == domain),
            );
        }
        for at in &gone {
            simulation.partitions[*at] = 1;
        }
        simulation.dispatch(3, Event::Publish(suspect()));
        simulation.run(Duration::from_millis(20));
        expect_that!(
            receivers(&simulation).len(),
            eq(11 - gone.len()),
            "seed {seed}"
        );
    }
}

#[gtest]
fn a_suspect_reaches_a_domain_after_a_partition() {
    let mut simulation = Simulation::new(9, 3, 12, 4);
    simulation.run(SECOND * 30);
    simulation.partitions = simulation
        .nodes
        .iter()
        .map(|node| u8::from(node.domain == 2))
        .collect();
    simulation.dispatch(3, Event::Publish(suspect()));
    simulation.run(SECOND * 30);
    simulation.partitions = vec![0; 12];
    simulation.run(SECOND * 25);
    let receivers = receivers(&simulation);
    expect_that!(receivers.len(), eq(11));
}

#[gtest]
fn a_leaving_server_is_known_in_other_domains() {
    let mut simulation = Simulation::new(13, 3, 12, 24);
    simulation.run(SECOND * 30);
    simulation.list = simulation::List::Down;
    for backend in 0..12 {
        simulation.backends[backend].state = State::Leaving;
    }
    simulation.run(LEAVING_BOUND);
    for backend in &simulation.backends[..12] {
        let knows = simulation
            .nodes
            .iter()
            .filter(|node| node.roster.is_leaving(&backend.incarnation));
        expect_that!(knows.count(), eq(12));
    }
}

/// Gives each instance the address of one instance in domain 0, as settings would.
fn seed(simulation: &mut Simulation) {
    let seed = Listing {
        incarnation: Incarnation::default(),
        domain: Name::default(),
        address: simulation.nodes[0].own.address.clone(),
        role: Role::Entry,
        state: State::Live,
    };
    for node in 0..simulation.nodes.len() {
        simulation.dispatch(node, Event::ListReceived(vec![seed.clone()]));
    }
}

#[gtest]
fn one_address_suffices_while_the_list_is_down() {
    let mut simulation = Simulation::new(10, 1, 10, 0);
    simulation.list = simulation::List::Down;
    seed(&mut simulation);
    simulation.run(SECOND * 30);
    for node in &simulation.nodes {
        expect_that!(node.roster.members(simulation.now).len(), eq(10));
        expect_that!(node.roster.view(simulation.now).peers.len(), eq(9));
    }
}

#[gtest]
fn an_address_in_another_domain_gives_only_its_summary() {
    let mut simulation = Simulation::new(11, 2, 8, 16);
    simulation.list = simulation::List::Down;
    seed(&mut simulation);
    simulation.run(SECOND * 30);
    for node in simulation.nodes.iter().filter(|node| node.domain == 1) {
        let view = node.roster.view(simulation.now);
        expect_that!(view.domains.len(), eq(1));
        let origins: BTreeSet<Id> = node
            .roster
            .facts(simulation.now)
            .map(|(origin, ..)| origin)
            .collect();
        let near = simulation.nodes.iter().filter(|other| other.domain == 1);
        let near: BTreeSet<Id> = near
            .map(|other| Id::from_incarnation(&other.own.incarnation))
            .collect();
        expect_that!(origins.is_subset(&near), eq(true));
    }
    let view = simulation.nodes[0].roster.view(simulation.now);
    expect_that!(
        view.peers.iter().filter(|peer| peer.is_heard).count(),
        eq(3)
    );
}

#[gtest]
fn an_instance_whose_clock_jumps_stays_a_member() {
    let mut simulation = Simulation::new(12, 1, 8, 0);
    simulation.run(SECOND * 20);
    simulation.nodes[3].clock_offset_ms -= 3_600_000;
    simulation.nodes[5].clock_offset_ms += 3_600_000;
    for _ in 0..30 {
        simulation.run(SECOND * 2);
        for node in &simulation.nodes {
            expect_that!(node.roster.members(simulation.now).len(), eq(8));
        }
    }
}

/// Returns by how many periods of 10 s an instance's summary of its own domain is behind or ahead.
fn period_error(simulation: &Simulation, node: usize) -> u64 {
    let own = simulation.nodes[node]
        .roster
        .view(simulation.now)
        .own
        .expect("a published summary");
    own.summary
        .version
        .abs_diff(simulation.stamp().as_millis() / 10_000)
}

#[gtest]
fn a_wrong_clock_does_not_stop_the_summaries_of_its_domain() {
    for clock_offset_ms in [3_600_000, -3_600_000] {
        let mut simulation = Simulation::new(14, 2, 12, 24);
        simulation.run(SECOND * 30);
        let members = simulation.nodes[0].roster.members(simulation.now);
        let publisher = member::rendezvous::owner(&members, b"summary").cloned();
        let publisher = simulation
            .nodes
            .iter()
            .position(|node| Some(&node.own.incarnation) == publisher.as_ref());
        let publisher = publisher.expect("an instance");
        simulation.nodes[publisher].clock_offset_ms = clock_offset_ms;
        for _ in 0..10 {
            simulation.run(SECOND * 10);
            let others = (0..12).filter(|node| *node != publisher && node % 2 == 0);
            let worst = others.map(|node| period_error(&simulation, node)).max();
            expect_that!(worst, some(le(5)));
        }
    }
}

//! One instance of a failure domain reads the platform's list for all.

use std::time::Duration;

use googletest::prelude::*;
use member::fact::State;

mod world;

use world::{List, World};

const SECOND: Duration = Duration::from_secs(1);
/// Time in which everybody knows everybody and the reader passes lines on.
const SETTLE: Duration = Duration::from_secs(40);
/// Time after which a change of the list is known though its reader was just lost.
const CHANGE: Duration = Duration::from_secs(20);
/// The same where the list is the only source: the time after which the reader counts as lost, the rest of a period
/// of those that read for themselves, and a notice.
const READER_LOST: Duration = Duration::from_secs(13);
/// Reads of the reader, one each 2 s, and one more at an edge of the time looked at.
const READS: u64 = 11;

/// A failure domain of 20 instances and 40 backend servers, one of which is not there yet.
fn domain(seed: u64) -> World {
    let mut world = World::new(seed, 1, 20, 40);
    world.backends[39].up = false;
    world.run(SETTLE);
    world
}

/// Returns the instances that read the list within 20 s.
fn readers(world: &mut World) -> Vec<usize> {
    world.reset();
    world.run(CHANGE);
    let nodes = 0..world.nodes.len();
    nodes.filter(|node| world.nodes[*node].reads > 0).collect()
}

/// Returns the instances that are up and show a backend server as live.
fn showing(world: &World, backend: usize) -> usize {
    let incarnation = &world.backends[backend].incarnation;
    let shows = |view: &member::View| {
        let mut servers = view.pools.iter().flat_map(|pool| &pool.servers);
        servers.any(|one| one.incarnation == *incarnation && one.state == State::Live)
    };
    let up = world.nodes.iter().filter(|node| node.up);
    up.filter(|node| shows(&node.roster.view(world.now)))
        .count()
}

#[gtest]
fn one_instance_reads_for_all() {
    let mut world = domain(31);
    let readers = readers(&mut world);
    expect_that!(readers.len(), eq(1));
    expect_that!(world.nodes[readers[0]].reads, le(READS));
    for node in &world.nodes {
        expect_that!(node.roster.list().len(), eq(59));
    }
    world.backends[39].up = true;
    world.run(SECOND * 8);
    expect_that!(showing(&world, 39), eq(20));
}

#[gtest]
fn one_instance_of_each_domain_reads_and_all_learn_the_others_servers() {
    let mut world = World::new(32, 3, 24, 48);
    world.run(SETTLE);
    expect_that!(readers(&mut world).len(), eq(3));
    for node in &world.nodes {
        expect_that!(node.roster.list().len(), eq(72));
    }
}

/// Time after which a leaving server gets nothing new.
const LEAVING: Duration = Duration::from_secs(5);

#[gtest]
fn a_server_that_only_the_list_says_to_be_leaving_is_known_by_all() {
    let mut world = domain(38);
    world.loss = 20;
    world.backends[5].listed = State::Leaving;
    world.run(LEAVING);
    expect_that!(showing(&world, 5), eq(0));
    // Its own word and a list that contradicts do not bring it back.
    world.backends[5].listed = State::Live;
    world.run(SETTLE);
    expect_that!(showing(&world, 5), eq(0));
    expect_that!(showing(&world, 6), eq(20));
}

/// The reader dies with the news that it alone had read.
#[gtest]
fn a_server_that_only_the_list_says_to_be_leaving_is_known_though_the_reader_is_lost() {
    let mut world = domain(39);
    let reader = readers(&mut world)[0];
    world.nodes[reader].up = false;
    world.backends[5].listed = State::Leaving;
    world.run(READER_LOST);
    expect_that!(showing(&world, 5), eq(0));
}

#[gtest]
fn a_lost_reader_is_replaced() {
    let mut world = domain(33);
    let reader = readers(&mut world)[0];
    world.nodes[reader].up = false;
    world.backends[39].up = true;
    world.run(CHANGE);
    expect_that!(showing(&world, 39), eq(19));
    world.run(CHANGE);
    expect_that!(readers(&mut world).len(), eq(1));
}

#[gtest]
fn a_reader_that_cannot_read_is_replaced() {
    let mut world = domain(34);
    let reader = readers(&mut world)[0];
    world.nodes[reader].list = Some(List::Down);
    world.backends[39].up = true;
    world.run(CHANGE);
    expect_that!(showing(&world, 39), eq(20));
    // It goes on trying, and the second candidate reads.
    world.run(CHANGE);
    expect_that!(readers(&mut world).len(), eq(2));
}

#[gtest]
fn each_side_of_a_cut_has_a_reader_and_one_is_left_after_it() {
    let mut world = domain(35);
    world.sides = (0..20).map(|node| u8::from(node < 8)).collect();
    world.run(SETTLE);
    let readers_cut = readers(&mut world);
    expect_that!(readers_cut.iter().filter(|node| **node < 8).count(), eq(1));
    expect_that!(readers_cut.len(), eq(2));
    world.backends[39].up = true;
    world.run(CHANGE);
    expect_that!(showing(&world, 39), eq(20));
    world.sides = vec![0; 20];
    world.run(SETTLE);
    expect_that!(readers(&mut world).len(), eq(1));
    expect_that!(showing(&world, 39), eq(20));
}

/// The list of the reader says live of a server that has left, and of the first life of one that has had two.
#[gtest]
fn a_reader_with_a_stale_list_brings_nothing_back() {
    let mut world = domain(36);
    let reader = readers(&mut world)[0];
    world.freeze();
    world.backends[3].state = State::Leaving;
    world.run(SECOND * 5);
    world.renew(7);
    world.run(SECOND * 30);
    for seconds in 0..30 {
        // Two that read in turn: the one with the stale list, and the one with the right one.
        world.nodes[reader].list = Some(if seconds % 2 == 0 {
            List::Stale
        } else {
            List::Live
        });
        world.run(SECOND);
        expect_that!(showing(&world, 3), eq(0));
        expect_that!(showing(&world, 7), eq(20));
        expect_that!(showing(&world, 0), eq(20));
    }
}

#[gtest]
fn a_domain_whose_list_is_down_goes_on_with_what_it_had() {
    let mut world = domain(37);
    world.list = List::Down;
    world.nodes[4].up = false;
    world.run(SECOND * 600);
    expect_that!(showing(&world, 0), eq(19));
    world.backends[0].state = State::Leaving;
    world.run(SECOND * 5);
    expect_that!(showing(&world, 0), eq(0));
}

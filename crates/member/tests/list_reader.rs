//! One instance of a failure domain reads the platform's list for all of them.

use std::time::Duration;

use googletest::prelude::*;
use member::fact::State;

mod simulation;

use simulation::{List, Simulation};

const SECOND: Duration = Duration::from_secs(1);
/// Time in which all instances know each other and the reader publishes lines.
const SETTLE: Duration = Duration::from_secs(40);
/// Time after which a change of the list is known even if its reader has just died.
const CHANGE_BOUND: Duration = Duration::from_secs(20);
/// The same if the list is the only source: the time until the reader counts as lost, the rest of a period of the
/// instances that read for themselves, and a notice.
const READER_LOST_BOUND: Duration = Duration::from_secs(13);
/// The most reads of the reader within the measured time: one every 2 s, and one more at its edge.
const MAX_READS: u64 = 11;

/// Returns a failure domain of 20 instances and 40 backend servers, one of which is not up yet.
fn new_domain(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 1, 20, 40);
    simulation.backends[39].up = false;
    simulation.run(SETTLE);
    simulation
}

/// Returns the instances that read the list within 20 s.
fn readers(simulation: &mut Simulation) -> Vec<usize> {
    simulation.reset_counters();
    simulation.run(CHANGE_BOUND);
    let nodes = 0..simulation.nodes.len();
    nodes
        .filter(|node| simulation.nodes[*node].reads > 0)
        .collect()
}

/// Returns the number of running instances that show a backend server as live.
fn count_showing(simulation: &Simulation, backend: usize) -> usize {
    let incarnation = &simulation.backends[backend].incarnation;
    let shows = |view: &member::View| {
        let mut servers = view.pools.iter().flat_map(|pool| &pool.servers);
        servers.any(|one| one.incarnation == *incarnation && one.state == State::Live)
    };
    let up = simulation.nodes.iter().filter(|node| node.up);
    up.filter(|node| shows(&node.roster.view(simulation.now)))
        .count()
}

#[gtest]
fn one_instance_reads_for_all() {
    let mut simulation = new_domain(31);
    let readers = readers(&mut simulation);
    expect_that!(readers.len(), eq(1));
    expect_that!(simulation.nodes[readers[0]].reads, le(MAX_READS));
    for node in &simulation.nodes {
        expect_that!(node.roster.list().len(), eq(59));
    }
    simulation.backends[39].up = true;
    simulation.run(SECOND * 8);
    expect_that!(count_showing(&simulation, 39), eq(20));
}

#[gtest]
fn one_instance_of_each_domain_reads_and_all_know_the_whole_list() {
    let mut simulation = Simulation::new(32, 3, 24, 48);
    simulation.run(SETTLE);
    expect_that!(readers(&mut simulation).len(), eq(3));
    for node in &simulation.nodes {
        expect_that!(node.roster.list().len(), eq(72));
    }
}

/// Time after which a leaving server gets no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(5);

#[gtest]
fn a_server_leaving_according_to_the_list_alone_is_known_by_all() {
    let mut simulation = new_domain(38);
    simulation.loss_percent = 20;
    simulation.backends[5].listed = State::Leaving;
    simulation.run(LEAVING_BOUND);
    expect_that!(count_showing(&simulation, 5), eq(0));
    // Its own status and a list that contradicts the mark do not bring it back.
    simulation.backends[5].listed = State::Live;
    simulation.run(SETTLE);
    expect_that!(count_showing(&simulation, 5), eq(0));
    expect_that!(count_showing(&simulation, 6), eq(20));
}

/// The reader dies after it alone has read the news.
#[gtest]
fn a_server_leaving_according_to_the_list_alone_is_known_if_the_reader_is_lost() {
    let mut simulation = new_domain(39);
    let reader = readers(&mut simulation)[0];
    simulation.nodes[reader].up = false;
    simulation.backends[5].listed = State::Leaving;
    simulation.run(READER_LOST_BOUND);
    expect_that!(count_showing(&simulation, 5), eq(0));
}

#[gtest]
fn a_lost_reader_is_replaced() {
    let mut simulation = new_domain(33);
    let reader = readers(&mut simulation)[0];
    simulation.nodes[reader].up = false;
    simulation.backends[39].up = true;
    simulation.run(CHANGE_BOUND);
    expect_that!(count_showing(&simulation, 39), eq(19));
    simulation.run(CHANGE_BOUND);
    expect_that!(readers(&mut simulation).len(), eq(1));
}

#[gtest]
fn a_reader_that_cannot_read_is_replaced() {
    let mut simulation = new_domain(34);
    let reader = readers(&mut simulation)[0];
    simulation.nodes[reader].list = Some(List::Down);
    simulation.backends[39].up = true;
    simulation.run(CHANGE_BOUND);
    expect_that!(count_showing(&simulation, 39), eq(20));
    // It keeps trying, and the second candidate reads.
    simulation.run(CHANGE_BOUND);
    expect_that!(readers(&mut simulation).len(), eq(2));
}

#[gtest]
fn each_side_of_a_partition_has_a_reader_and_one_is_left_after_it() {
    let mut simulation = new_domain(35);
    simulation.partitions = (0..20).map(|node| u8::from(node < 8)).collect();
    simulation.run(SETTLE);
    let readers_cut = readers(&mut simulation);
    expect_that!(readers_cut.iter().filter(|node| **node < 8).count(), eq(1));
    expect_that!(readers_cut.len(), eq(2));
    simulation.backends[39].up = true;
    simulation.run(CHANGE_BOUND);
    expect_that!(count_showing(&simulation, 39), eq(20));
    simulation.partitions = vec![0; 20];
    simulation.run(SETTLE);
    expect_that!(readers(&mut simulation).len(), eq(1));
    expect_that!(count_showing(&simulation, 39), eq(20));
}

/// The reader's list shows a server as live that has left, and the first incarnation of a restarted one.
#[gtest]
fn a_reader_with_a_stale_list_revives_nothing() {
    let mut simulation = new_domain(36);
    let reader = readers(&mut simulation)[0];
    simulation.freeze();
    simulation.backends[3].state = State::Leaving;
    simulation.run(SECOND * 5);
    simulation.restart_backend(7);
    simulation.run(SECOND * 30);
    for seconds in 0..30 {
        // Stands for two readers that take turns: one with the stale list, one with the right one.
        simulation.nodes[reader].list = Some(if seconds % 2 == 0 {
            List::Stale
        } else {
            List::Live
        });
        simulation.run(SECOND);
        expect_that!(count_showing(&simulation, 3), eq(0));
        expect_that!(count_showing(&simulation, 7), eq(20));
        expect_that!(count_showing(&simulation, 0), eq(20));
    }
}

#[gtest]
fn a_domain_whose_list_is_down_keeps_its_servers() {
    let mut simulation = new_domain(37);
    simulation.list = List::Down;
    simulation.nodes[4].up = false;
    simulation.run(SECOND * 600);
    expect_that!(count_showing(&simulation, 0), eq(19));
    simulation.backends[0].state = State::Leaving;
    simulation.run(SECOND * 5);
    expect_that!(count_showing(&simulation, 0), eq(0));
}

//! Membership traffic at full size, in bytes and messages, stays within the target for all control traffic.

use std::time::Duration;

use googletest::prelude::*;

mod simulation;

use simulation::{
    Simulation,
    workload::{self, BURN_INTERVAL_SECONDS},
};

const SECOND: Duration = Duration::from_secs(1);
/// The target: bytes per second that an instance may send and receive for control.
const MAX_BYTES_PER_SECOND: u64 = 5_000;
/// Exchanges that an instance may start and answer in ten seconds: one of each per round of 500 ms, since
/// every request has an answer, and a tenth more for notices and other domains.
const MAX_CALLS_PER_TEN_SECONDS: u64 = 44;
/// Framing of a message by HTTP/2, TCP and IP, in bytes, from the example `framing` of the peer crate.
const FRAMING_BYTES: u64 = 154;
/// Failure domains, instances and backend servers.
const SIZE: (usize, usize, usize) = (8, 400, 780);
/// Seconds over which traffic is counted: one whole reporting period.
const SPAN: u64 = BURN_INTERVAL_SECONDS;

#[gtest]
fn control_traffic_stays_within_its_bytes_with_all_facts() {
    let (domains, nodes, backends) = SIZE;
    let mut simulation = Simulation::new(41, domains, nodes, backends);
    simulation.run(SECOND * 15);
    workload::publish_all(&mut simulation);
    simulation.run(SECOND * 10);
    simulation.reset_counters();
    workload::run(&mut simulation, SPAN);
    let bytes: u64 = simulation.nodes.iter().map(|node| node.bytes).sum();
    let calls: u64 = simulation.nodes.iter().map(|node| node.calls).sum();
    let node_seconds = u64::try_from(nodes).expect("a small number") * SPAN;
    // Every byte sent by one instance is received by another.
    let sent_and_received = 2 * (bytes + calls * FRAMING_BYTES) / node_seconds;
    println!(
        "{sent_and_received} B/s, {} hundredths of a message/s",
        calls * 100 / node_seconds
    );
    expect_that!(sent_and_received, le(MAX_BYTES_PER_SECOND));
    expect_that!(calls * 10 / node_seconds, le(MAX_CALLS_PER_TEN_SECONDS));
}

//! Bytes and messages that membership takes at full size, against the target for all control.

use std::time::Duration;

use googletest::prelude::*;

mod world;

use world::{
    World,
    told::{self, COUNTERS},
};

const SECOND: Duration = Duration::from_secs(1);
/// The target: bytes that an instance may send and receive a second for control.
const BYTES: u64 = 5_000;
/// Exchanges that an instance may start and answer a second: one of each in a round of 500 ms and, as
/// one that asks is one that answers, as many again; a tenth more for notices and other domains.
const CALLS: u64 = 44;
/// Framing of a message by HTTP/2, TCP and IP, in bytes, from the example `framing` of the peer crate.
const FRAMING: u64 = 154;
/// Failure domains, instances and backend servers.
const SIZE: (usize, usize, usize) = (8, 400, 780);
/// Seconds over which traffic is counted, a whole period of counters.
const SPAN: u64 = COUNTERS;

#[gtest]
fn control_stays_within_its_bytes_with_every_fact_told() {
    let (domains, nodes, backends) = SIZE;
    let mut world = World::new(41, domains, nodes, backends);
    world.run(SECOND * 15);
    told::start(&mut world);
    world.run(SECOND * 10);
    world.reset();
    told::tell(&mut world, SPAN);
    let bytes: u64 = world.nodes.iter().map(|node| node.bytes).sum();
    let calls: u64 = world.nodes.iter().map(|node| node.calls).sum();
    let all = u64::try_from(nodes).expect("a small number") * SPAN;
    // Whatever one sends another one receives.
    let both = 2 * (bytes + calls * FRAMING) / all;
    println!(
        "{both} B/s, {} hundredths of a message/s",
        calls * 100 / all
    );
    expect_that!(both, le(BYTES));
    expect_that!(calls * 10 / all, le(CALLS));
}

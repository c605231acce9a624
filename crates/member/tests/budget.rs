//! Bytes and messages that membership takes at full size, against the target for all control.

use std::time::Duration;

use base::Digest;
use googletest::prelude::*;
use member::{
    Event, Fact,
    fact::{Burn, Position},
};

mod world;

use world::World;

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
/// Seconds between two reports of an instance's counters.
const COUNTERS: u64 = 40;
/// Pipelines whose counters are told.
const PIPELINES: u64 = 11;
/// Seconds between two changes of configuration, 3,400 a day.
const CHANGES: u64 = 25;
/// Seconds over which traffic is counted, whole periods of counters.
const SPAN: u64 = 40;

#[gtest]
fn control_stays_within_its_bytes_with_every_fact_told() {
    let (domains, nodes, backends) = SIZE;
    let mut world = World::new(41, domains, nodes, backends);
    world.run(SECOND * 25);
    world.reset();
    tell(&mut world, SPAN);
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

/// Lets time pass while every instance tells its counters and the changes of configuration.
fn tell(world: &mut World, seconds: u64) {
    for second in 0..seconds {
        for node in 0..world.nodes.len() {
            if (second + node as u64).is_multiple_of(COUNTERS) {
                (0..PIPELINES).for_each(|pipeline| world.give(node, burn(pipeline, second)));
            }
            if second.is_multiple_of(CHANGES) {
                world.give(node, position(second));
            }
        }
        world.run(SECOND);
    }
}

fn burn(pipeline: u64, second: u64) -> Event {
    Event::Tell(Fact::Burn(Burn {
        pipeline: format!("pipeline-{pipeline}").into(),
        good: second * 1_700 + 100_000,
        late: second + 900,
        refused: second + 400,
        cost: second * 90_000 + 1_000_000,
    }))
}

fn position(second: u64) -> Event {
    Event::Tell(Fact::Position(Position {
        offset: 1_000_000 + second,
        digest: Digest::of(&second.to_be_bytes()),
    }))
}

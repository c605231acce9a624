//! The facts that every instance tells at full size: counters of its pipelines and changes of configuration.

use std::time::Duration;

use base::Digest;
use member::{
    Event, Fact,
    fact::{Burn, Position},
};

use super::World;

const SECOND: Duration = Duration::from_secs(1);
/// Seconds between two reports of an instance's counters.
pub const COUNTERS: u64 = 40;
/// Pipelines whose counters are told.
const PIPELINES: u64 = 11;
/// Seconds between two changes of configuration, 3,400 a day.
const CHANGES: u64 = 25;

/// Lets time pass while every instance tells its counters and the changes of configuration.
pub fn tell(world: &mut World, seconds: u64) {
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

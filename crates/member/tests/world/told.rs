//! The facts that every instance tells at full size: requests and stages of its pipelines and changes of configuration.

use std::time::Duration;

use base::Digest;
use member::{
    Event, Fact,
    fact::{Burn, Count, Position, Stage, Stages},
};

use super::World;

const SECOND: Duration = Duration::from_secs(1);
/// Seconds between two reports of an instance's requests, and between two sealings of its failure domain's stages.
pub const COUNTERS: u64 = 60;
/// Seconds between two reports of what the stages of a pipeline took, spread over pipelines.
const STAGES: u64 = 600;
/// Pipelines that are told of.
const PIPELINES: u64 = 11;
/// Seconds between two changes of configuration, 3,400 a day.
const CHANGES: u64 = 25;

/// Has every instance tell of all its pipelines at once, so that sums over them are of full size afterwards.
pub fn start(world: &mut World) {
    for node in 0..world.nodes.len() {
        for pipeline in 0..PIPELINES {
            world.give(node, burn(pipeline, 0));
            world.give(node, stages(pipeline, 0));
        }
    }
}

/// Lets time pass while every instance tells of its pipelines and the changes of configuration.
pub fn tell(world: &mut World, seconds: u64) {
    for second in 0..seconds {
        for node in 0..world.nodes.len() {
            if (second + node as u64).is_multiple_of(COUNTERS) {
                (0..PIPELINES).for_each(|pipeline| world.give(node, burn(pipeline, second)));
            }
            for pipeline in 0..PIPELINES {
                if (second + node as u64 + pipeline * STAGES / PIPELINES).is_multiple_of(STAGES) {
                    world.give(node, stages(pipeline, second));
                }
            }
            if second.is_multiple_of(CHANGES) {
                world.give(node, position(second));
            }
        }
        world.run(SECOND);
    }
}

/// Some 1.6 requests a second of each pipeline, over five minutes and over an hour.
fn burn(pipeline: u64, second: u64) -> Event {
    let count = |span: u64| Count {
        good: span * 16 / 10 + second % 7,
        late: span / 100 + second % 5,
        refused: span / 100 + second % 3,
    };
    Event::Publish(Fact::Burn(Burn {
        pipeline: format!("pipeline-{pipeline}").into(),
        allowed: 10_000,
        short: count(300),
        long: count(3_600),
    }))
}

/// Three to six stages, each busy half a second a request.
fn stages(pipeline: u64, second: u64) -> Event {
    let stage = |at| Stage {
        name: format!("stage-{at}").into(),
        busy: 2_900 + second,
        cost: 2_900_000 + second,
    };
    Event::Publish(Fact::Stages(Stages {
        pipeline: format!("pipeline-{pipeline}").into(),
        stages: (0..3 + pipeline % 4).map(stage).collect(),
    }))
}

fn position(second: u64) -> Event {
    Event::Publish(Fact::Position(Position {
        offset: 1_000_000 + second,
        digest: Digest::of(&second.to_be_bytes()),
    }))
}

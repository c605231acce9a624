//! The facts of every instance at full size: requests and stages of its pipelines, and changes of configuration.

use std::time::Duration;

use base::Digest;
use member::{
    Event, Fact,
    fact::{Burn, Count, Position, Stage, Stages},
};

use super::Simulation;

const SECOND: Duration = Duration::from_secs(1);
/// Seconds between two reports of an instance's requests, and between two tallies of its failure domain.
pub const BURN_INTERVAL_SECONDS: u64 = 60;
/// Seconds between two reports of a pipeline's stages, spread over pipelines.
const STAGES_INTERVAL_SECONDS: u64 = 600;
/// Reported pipelines.
const PIPELINES: u64 = 11;
/// Seconds between two changes of configuration, 3,400 a day.
const CHANGE_INTERVAL_SECONDS: u64 = 25;

/// Lets every instance publish all its pipelines at once, so that sums over them are of full size afterwards.
pub fn publish_all(simulation: &mut Simulation) {
    for node in 0..simulation.nodes.len() {
        for pipeline in 0..PIPELINES {
            simulation.dispatch(node, burn(pipeline, 0));
            simulation.dispatch(node, stages(pipeline, 0));
        }
    }
}

/// Runs while every instance publishes its pipelines and the changes of configuration.
pub fn run(simulation: &mut Simulation, seconds: u64) {
    for second in 0..seconds {
        for node in 0..simulation.nodes.len() {
            if (second + node as u64).is_multiple_of(BURN_INTERVAL_SECONDS) {
                (0..PIPELINES)
                    .for_each(|pipeline| simulation.dispatch(node, burn(pipeline, second)));
            }
            for pipeline in 0..PIPELINES {
                if (second + node as u64 + pipeline * STAGES_INTERVAL_SECONDS / PIPELINES)
                    .is_multiple_of(STAGES_INTERVAL_SECONDS)
                {
                    simulation.dispatch(node, stages(pipeline, second));
                }
            }
            if second.is_multiple_of(CHANGE_INTERVAL_SECONDS) {
                simulation.dispatch(node, position(second));
            }
        }
        simulation.run(SECOND);
    }
}

/// Returns about 1.6 requests per second of a pipeline, over five minutes and over an hour.
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

/// Returns three to six stages, each busy for half a second per request.
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

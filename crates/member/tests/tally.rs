//! The sums that a failure domain seals over its pipelines and stages.

use std::time::Duration;

use googletest::prelude::*;
use member::{
    Event, Fact,
    fact::{Burn, Count, Stage, Stages, Tally},
};

mod world;

use world::World;

const SECOND: Duration = Duration::from_secs(1);
const NODES: usize = 4;

fn told(world: &mut World) {
    for node in 0..NODES {
        let good = 10_u64.pow(u32::try_from(node).expect("a small number"));
        let burn = Burn {
            pipeline: "brief".into(),
            allowed: 10_000,
            long: Count {
                good,
                ..Count::default()
            },
            ..Burn::default()
        };
        let stage = Stage {
            name: "write".into(),
            busy: good,
            cost: good,
        };
        let stages = Stages {
            pipeline: "brief".into(),
            stages: vec![stage],
        };
        world.give(node, Event::Publish(Fact::Burn(burn)));
        world.give(node, Event::Publish(Fact::Stages(stages)));
    }
}

/// Returns what an instance knows of its failure domain.
fn seen(world: &World, node: usize) -> Tally {
    let view = world.nodes[node].roster.view(world.now);
    let own = &world.nodes[node].own.domain;
    let tally = view.tallies.into_iter().find(|one| one.domain == *own);
    tally.expect("a sealed sum")
}

fn sums(tally: &Tally) -> (u64, u64, u32) {
    let stage = &tally.stages[0].stages[0];
    (tally.burns[0].long.good, stage.busy, tally.unheard)
}

#[gtest]
fn sums_hold_the_instances_heard_and_count_the_others() {
    let mut world = World::new(9, 1, NODES, 4);
    told(&mut world);
    world.run(SECOND * 100);
    for node in 0..NODES {
        expect_that!(sums(&seen(&world, node)), eq((1_111, 1_111, 0)));
        expect_that!(seen(&world, node), eq(&seen(&world, 0)));
    }
    let version = seen(&world, 0).version;
    world.nodes[3].up = false;
    world.run(SECOND * 90);
    expect_that!(seen(&world, 0).version, gt(version));
    expect_that!(sums(&seen(&world, 0)), eq((111, 111, 1)));
}

/// An instance started after the sealer has changed still learns of the latest sums.
#[gtest]
fn sums_outlive_their_sealer() {
    for gone in 0..NODES {
        let mut world = World::new(10, 1, NODES, 4);
        told(&mut world);
        world.run(SECOND * 100);
        world.nodes[gone].up = false;
        let other = (gone + 1) % NODES;
        world.run(SECOND * 40);
        world.restart(other);
        world.run(SECOND * 12);
        let known = seen(&world, (gone + 2) % NODES);
        expect_that!(seen(&world, other), eq(&known), "without {gone}");
    }
}

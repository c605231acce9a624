//! The sums that a failure domain publishes over its pipelines and stages.

use std::time::Duration;

use googletest::prelude::*;
use member::{
    Event, Fact,
    fact::{Burn, Count, Stage, Stages, Tally},
};

mod simulation;

use simulation::Simulation;

const SECOND: Duration = Duration::from_secs(1);
const NODES: usize = 4;

fn publish_facts(simulation: &mut Simulation) {
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
        simulation.dispatch(node, Event::Publish(Fact::Burn(burn)));
        simulation.dispatch(node, Event::Publish(Fact::Stages(stages)));
    }
}

/// Returns the sums that an instance knows of its failure domain.
fn known_tally(simulation: &Simulation, node: usize) -> Tally {
    let view = simulation.nodes[node].roster.view(simulation.now);
    let own = &simulation.nodes[node].own.domain;
    let tally = view.tallies.into_iter().find(|one| one.domain == *own);
    tally.expect("published sums")
}

fn sums(tally: &Tally) -> (u64, u64, u32) {
    let stage = &tally.stages[0].stages[0];
    (tally.burns[0].long.good, stage.busy, tally.unheard)
}

#[gtest]
fn sums_cover_the_heard_instances_and_count_the_others() {
    let mut simulation = Simulation::new(9, 1, NODES, 4);
    publish_facts(&mut simulation);
    simulation.run(SECOND * 100);
    for node in 0..NODES {
        expect_that!(sums(&known_tally(&simulation, node)), eq((1_111, 1_111, 0)));
        expect_that!(
            known_tally(&simulation, node),
            eq(&known_tally(&simulation, 0))
        );
    }
    let version = known_tally(&simulation, 0).version;
    simulation.nodes[3].up = false;
    simulation.run(SECOND * 90);
    expect_that!(known_tally(&simulation, 0).version, gt(version));
    expect_that!(sums(&known_tally(&simulation, 0)), eq((111, 111, 1)));
}

/// An instance that started after the publisher has changed still receives the latest sums.
#[gtest]
fn sums_outlive_their_publisher() {
    for gone in 0..NODES {
        let mut simulation = Simulation::new(10, 1, NODES, 4);
        publish_facts(&mut simulation);
        simulation.run(SECOND * 100);
        simulation.nodes[gone].up = false;
        let other = (gone + 1) % NODES;
        simulation.run(SECOND * 40);
        simulation.restart(other);
        simulation.run(SECOND * 12);
        let known = known_tally(&simulation, (gone + 2) % NODES);
        expect_that!(
            known_tally(&simulation, other),
            eq(&known),
            "without {gone}"
        );
    }
}

//! Every instance's bundles in force follow the order of the log, under lost, delayed and duplicated
//! appends, restarts and dropped records.

mod simulation;

use googletest::prelude::*;
use proptest::prelude::*;
use simulation::{Delivery, Simulation, Step};

const INSTANCES: usize = 4;

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Immediate),
        1 => Just(Delivery::Delayed),
        1 => Just(Delivery::Duplicated),
        1 => Just(Delivery::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8).prop_map(|operator| Step::Refresh { operator }),
        3 => (0..3u8, 0..3u8, any::<bool>(), delivery()).prop_map(|(operator, variant, delta, delivery)| {
            Step::Publish { operator, variant, delta, delivery }
        }),
        4 => (0..3u8, 0..3u8, delivery())
            .prop_map(|(operator, at, delivery)| Step::SignOff { operator, at, delivery }),
        4 => (0..3u8, 0..3u8, delivery())
            .prop_map(|(operator, at, delivery)| Step::RollOut { operator, at, delivery }),
        3 => (0..3u8, 0..3u8, any::<bool>())
            .prop_map(|(operator, variant, delta)| Step::Advance { operator, variant, delta }),
        2 => (0..3u8, any::<bool>()).prop_map(|(first, delta)| Step::Race { first, delta }),
        2 => any::<u8>().prop_map(|at| Step::DeliverDelayed { at }),
        5 => (0..4u8, 1..9u8).prop_map(|(instance, records)| Step::Read { instance, records }),
        2 => (0..4u8, 0..4u8).prop_map(|(instance, peer)| Step::Adopt { instance, peer }),
        1 => (0..4u8).prop_map(|instance| Step::Restart { instance }),
        2 => (0..4u8, 0..4u8).prop_map(|(instance, peer)| Step::Resume { instance, peer }),
        2 => (0..4u8, delivery()).prop_map(|(instance, delivery)| Step::Carry { instance, delivery }),
        1 => (1..6u8).prop_map(|records| Step::Drop { records }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(192))]

    #[test]
    fn instances_follow_the_order_of_the_log(steps in proptest::collection::vec(step(), 40..160)) {
        let mut simulation = Simulation::new(INSTANCES);
        for step in steps {
            simulation.step(step);
        }
        // Once a synced instance has appended a `Carry`, all instances agree.
        simulation.read_all();
        let synced = simulation.instances.iter().position(bundle::Projection::is_synced);
        if let Some(at) = synced.filter(|at| simulation.instances[*at].position().is_some()) {
            simulation.step(Step::Carry { instance: at as u8, delivery: Delivery::Immediate });
            simulation.read_all();
            for instance in &simulation.instances {
                prop_assert!(instance.is_synced());
                prop_assert_eq!(instance.position(), simulation.reference().position());
                prop_assert_eq!(instance.pending(), simulation.reference().pending());
            }
        }
    }
}

/// Puts another bundle in force.
fn advance(simulation: &mut Simulation, variant: u8) {
    simulation.step(Step::Advance {
        operator: 0,
        variant,
        delta: true,
    });
}

#[gtest]
fn an_instance_that_missed_three_roll_outs_reaches_the_newest() {
    let mut simulation = Simulation::new(1);
    for variant in 0..4 {
        advance(&mut simulation, variant);
    }
    simulation.read_all();
    expect_that!(
        simulation.instances[0].position(),
        eq(simulation.order.last().copied())
    );
    expect_that!(simulation.order.len(), eq(4));
}

#[gtest]
fn a_restarted_instance_gets_the_bundle_from_a_peer_while_the_log_is_down() {
    let mut simulation = Simulation::new(2);
    advance(&mut simulation, 0);
    advance(&mut simulation, 1);
    simulation.read_all();
    simulation.step(Step::Restart { instance: 1 });
    simulation.step(Step::Adopt {
        instance: 1,
        peer: 0,
    });
    expect_that!(
        simulation.instances[1].position(),
        eq(simulation.instances[0].position())
    );
}

#[gtest]
fn a_partitioned_domain_catches_up_through_a_peer_and_then_by_the_log() {
    let mut simulation = Simulation::new(2);
    advance(&mut simulation, 0);
    simulation.read_all();
    advance(&mut simulation, 1);
    advance(&mut simulation, 2);
    simulation.step(Step::Read {
        instance: 0,
        records: 99,
    });
    simulation.step(Step::Adopt {
        instance: 1,
        peer: 0,
    });
    expect_that!(
        simulation.instances[1].position(),
        eq(simulation.order.last().copied())
    );
    simulation.read_all();
    advance(&mut simulation, 3);
    simulation.read_all();
    expect_that!(
        simulation.instances[1].position(),
        eq(simulation.order.last().copied())
    );
}

/// Drops the records that put the first bundle in force, and restarts an instance that had read them.
fn drop_head(simulation: &mut Simulation) {
    for operator in 0..3 {
        simulation.step(Step::Refresh { operator });
    }
    simulation.step(Step::Drop { records: 3 });
    simulation.step(Step::Restart { instance: 1 });
}

#[gtest]
fn a_reader_of_a_truncated_log_is_synced_by_a_carry_and_not_before() {
    let mut simulation = Simulation::new(2);
    advance(&mut simulation, 0);
    simulation.read_all();
    drop_head(&mut simulation);
    advance(&mut simulation, 1);
    simulation.step(Step::Read {
        instance: 1,
        records: 99,
    });
    expect_that!(simulation.order.len(), eq(2));
    expect_that!(simulation.instances[1].position(), none());
    simulation.step(Step::Read {
        instance: 0,
        records: 99,
    });
    simulation.step(Step::Carry {
        instance: 0,
        delivery: Delivery::Duplicated,
    });
    simulation.step(Step::DeliverDelayed { at: 0 });
    simulation.read_all();
    expect_that!(
        simulation.instances[1].position(),
        eq(simulation.order.last().copied())
    );
    expect_that!(simulation.instances[1].is_synced(), eq(true));
}

#[gtest]
fn records_before_a_carry_are_not_applied_again() {
    let mut simulation = Simulation::new(2);
    advance(&mut simulation, 0);
    simulation.read_all();
    drop_head(&mut simulation);
    // The roll-out is appended before the sign-off it needs, so it is rejected.
    let (delivery, operator) = (Delivery::Immediate, 0);
    simulation.step(Step::Refresh { operator });
    simulation.step(Step::Publish {
        operator,
        variant: 1,
        delta: true,
        delivery,
    });
    simulation.step(Step::Refresh { operator: 1 });
    simulation.step(Step::RollOut {
        operator: 1,
        at: 0,
        delivery,
    });
    simulation.step(Step::SignOff {
        operator: 1,
        at: 0,
        delivery,
    });
    simulation.step(Step::Read {
        instance: 0,
        records: 99,
    });
    simulation.step(Step::Carry {
        instance: 0,
        delivery,
    });
    simulation.read_all();
    expect_that!(simulation.order.len(), eq(1));
    expect_that!(simulation.instances[1].pending().len(), eq(1));
}

#[gtest]
fn a_restarted_instance_continues_from_a_peers_proof() {
    let mut simulation = Simulation::new(2);
    advance(&mut simulation, 0);
    simulation.step(Step::Read {
        instance: 0,
        records: 99,
    });
    simulation.step(Step::Resume {
        instance: 1,
        peer: 0,
    });
    expect_that!(simulation.instances[1].next(), eq(3));
    advance(&mut simulation, 1);
    simulation.read_all();
    expect_that!(simulation.instances[1].is_synced(), eq(true));
    expect_that!(
        simulation.instances[1].position(),
        eq(simulation.order.last().copied())
    );
}

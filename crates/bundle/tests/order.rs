//! Whatever happens, every instance's bundles in force follow the one order of the log.

mod world;

use googletest::prelude::*;
use proptest::prelude::*;
use world::{Fate, Step, World};

const INSTANCES: usize = 4;

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Now),
        1 => Just(Fate::Later),
        1 => Just(Fate::Twice),
        1 => Just(Fate::Never),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8).prop_map(|operator| Step::Look { operator }),
        3 => (0..3u8, 0..3u8, any::<bool>(), fate()).prop_map(|(operator, mark, delta, fate)| {
            Step::Publish { operator, mark, delta, fate }
        }),
        4 => (0..3u8, 0..3u8, fate())
            .prop_map(|(operator, at, fate)| Step::SignOff { operator, at, fate }),
        4 => (0..3u8, 0..3u8, fate())
            .prop_map(|(operator, at, fate)| Step::RollOut { operator, at, fate }),
        3 => (0..3u8, 0..3u8, any::<bool>())
            .prop_map(|(operator, mark, delta)| Step::Advance { operator, mark, delta }),
        2 => (0..3u8, any::<bool>()).prop_map(|(first, delta)| Step::Race { first, delta }),
        2 => any::<u8>().prop_map(|at| Step::Arrive { at }),
        5 => (0..4u8, 1..9u8).prop_map(|(instance, records)| Step::Read { instance, records }),
        2 => (0..4u8, 0..4u8).prop_map(|(instance, peer)| Step::Adopt { instance, peer }),
        1 => (0..4u8).prop_map(|instance| Step::Restart { instance }),
        2 => (0..4u8, 0..4u8).prop_map(|(instance, peer)| Step::Resume { instance, peer }),
        2 => (0..4u8, fate()).prop_map(|(instance, fate)| Step::Carry { instance, fate }),
        1 => (1..6u8).prop_map(|records| Step::Drop { records }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(192))]

    #[test]
    fn instances_follow_one_order(steps in proptest::collection::vec(step(), 40..160)) {
        let mut world = World::open(INSTANCES);
        for step in steps {
            world.step(step);
        }
        // Once one instance knows the state and carries it, all agree.
        world.read_all();
        let knowing = world.instances.iter().position(bundle::Fold::is_synced);
        if let Some(at) = knowing.filter(|at| world.instances[*at].position().is_some()) {
            world.step(Step::Carry { instance: at as u8, fate: Fate::Now });
            world.read_all();
            for instance in &world.instances {
                prop_assert!(instance.is_synced());
                prop_assert_eq!(instance.position(), world.reference().position());
                prop_assert_eq!(instance.pending(), world.reference().pending());
            }
        }
    }
}

/// Puts one more bundle in force.
fn advance(world: &mut World, mark: u8) {
    world.step(Step::Advance {
        operator: 0,
        mark,
        delta: true,
    });
}

#[gtest]
fn an_instance_paused_through_three_roll_outs_goes_straight_on() {
    let mut world = World::open(1);
    for mark in 0..4 {
        advance(&mut world, mark);
    }
    world.read_all();
    expect_that!(
        world.instances[0].position(),
        eq(world.order.last().copied())
    );
    expect_that!(world.order.len(), eq(4));
}

#[gtest]
fn a_restarted_instance_takes_the_bundle_from_a_peer_while_the_log_is_down() {
    let mut world = World::open(2);
    advance(&mut world, 0);
    advance(&mut world, 1);
    world.read_all();
    world.step(Step::Restart { instance: 1 });
    world.step(Step::Adopt {
        instance: 1,
        peer: 0,
    });
    expect_that!(
        world.instances[1].position(),
        eq(world.instances[0].position())
    );
}

#[gtest]
fn a_domain_that_was_cut_off_catches_up_through_a_peer_and_then_by_the_log() {
    let mut world = World::open(2);
    advance(&mut world, 0);
    world.read_all();
    advance(&mut world, 1);
    advance(&mut world, 2);
    world.step(Step::Read {
        instance: 0,
        records: 99,
    });
    world.step(Step::Adopt {
        instance: 1,
        peer: 0,
    });
    expect_that!(
        world.instances[1].position(),
        eq(world.order.last().copied())
    );
    world.read_all();
    advance(&mut world, 3);
    world.read_all();
    expect_that!(
        world.instances[1].position(),
        eq(world.order.last().copied())
    );
}

/// Drops the records that put the first bundle in force, and restarts an instance that had read them.
fn drop_head(world: &mut World) {
    for operator in 0..3 {
        world.step(Step::Look { operator });
    }
    world.step(Step::Drop { records: 3 });
    world.step(Step::Restart { instance: 1 });
}

#[gtest]
fn a_reader_of_a_log_without_its_head_knows_the_state_by_a_carry_and_not_before() {
    let mut world = World::open(2);
    advance(&mut world, 0);
    world.read_all();
    drop_head(&mut world);
    advance(&mut world, 1);
    world.step(Step::Read {
        instance: 1,
        records: 99,
    });
    expect_that!(world.order.len(), eq(2));
    expect_that!(world.instances[1].position(), none());
    world.step(Step::Read {
        instance: 0,
        records: 99,
    });
    world.step(Step::Carry {
        instance: 0,
        fate: Fate::Twice,
    });
    world.step(Step::Arrive { at: 0 });
    world.read_all();
    expect_that!(
        world.instances[1].position(),
        eq(world.order.last().copied())
    );
    expect_that!(world.instances[1].is_synced(), eq(true));
}

#[gtest]
fn records_from_before_a_carry_are_not_judged_again() {
    let mut world = World::open(2);
    advance(&mut world, 0);
    world.read_all();
    drop_head(&mut world);
    // The roll-out comes too early and loses; the sign-off comes after it.
    let (fate, operator) = (Fate::Now, 0);
    world.step(Step::Look { operator });
    world.step(Step::Publish {
        operator,
        mark: 1,
        delta: true,
        fate,
    });
    world.step(Step::Look { operator: 1 });
    world.step(Step::RollOut {
        operator: 1,
        at: 0,
        fate,
    });
    world.step(Step::SignOff {
        operator: 1,
        at: 0,
        fate,
    });
    world.step(Step::Read {
        instance: 0,
        records: 99,
    });
    world.step(Step::Carry { instance: 0, fate });
    world.read_all();
    expect_that!(world.order.len(), eq(1));
    expect_that!(world.instances[1].pending().len(), eq(1));
}

#[gtest]
fn a_replaced_instance_goes_on_from_a_peers_proof() {
    let mut world = World::open(2);
    advance(&mut world, 0);
    world.step(Step::Read {
        instance: 0,
        records: 99,
    });
    world.step(Step::Resume {
        instance: 1,
        peer: 0,
    });
    expect_that!(world.instances[1].next(), eq(3));
    advance(&mut world, 1);
    world.read_all();
    expect_that!(world.instances[1].is_synced(), eq(true));
    expect_that!(
        world.instances[1].position(),
        eq(world.order.last().copied())
    );
}

//! At most one call per slot, and correct answers, under random orders of events.

mod simulation;

use googletest::prelude::*;
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, FileFailurePersistence, RngSeed},
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use simulation::{Setup, Simulation};

fn setups() -> impl Strategy<Value = Setup> {
    (2..4_usize, 1..4_usize, any::<bool>()).prop_map(|(instances, slots, expiry)| Setup {
        instances,
        slots,
        expiry,
    })
}

/// Runs the same cases every time; `examples/soak.rs` searches other seeds.
fn fixed_cases() -> Config {
    let regressions = FileFailurePersistence::WithSource("regressions");
    Config {
        cases: 256,
        failure_persistence: Some(Box::new(regressions)),
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn no_order_of_events_calls_twice(
        setup in setups(),
        choices in collection::vec(any::<u32>(), 1..600),
    ) {
        let mut simulation = Simulation::new(setup);
        for choice in choices {
            simulation.step(choice);
        }
        simulation.settle();
    }
}

#[gtest]
fn fixed_seeds_call_at_most_once_and_reach_every_kind_of_answer() {
    let mut counts = simulation::Counts::default();
    for seed in 0..8 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Simulation::new(Setup {
            instances: 3,
            slots: 3,
            expiry: true,
        });
        for _ in 0..5_000 {
            simulation.step(random.random());
        }
        simulation.settle();
        counts += simulation.counts;
    }
    println!("{counts:?}");
    for count in [
        counts.answered,
        counts.not_run,
        counts.unknown,
        counts.in_progress,
        counts.lost_answers,
        counts.pauses,
        counts.restarts,
    ] {
        expect_that!(count, gt(10));
    }
}

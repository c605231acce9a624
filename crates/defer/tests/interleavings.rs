//! Stored tasks under restarts, pauses, differing members, append faults and a log that drops records.

mod simulation;

use googletest::prelude::*;
use proptest::{
    prelude::{Strategy, any, prop_oneof},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use simulation::{AppendOutcome, Simulation};

const CASES: u32 = 64;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Accept(usize, u8, u8, u64, AppendOutcome),
    Run(u64, AppendOutcome),
    Restart(usize),
    Pause(usize),
    SetMembers(usize, u8),
    Resume(usize),
}

fn append_outcome() -> impl Strategy<Value = AppendOutcome> {
    prop_oneof![
        4 => proptest::strategy::Just(AppendOutcome::Written),
        1 => proptest::strategy::Just(AppendOutcome::Lost),
        1 => proptest::strategy::Just(AppendOutcome::Duplicated),
        1 => (1u64..100).prop_map(AppendOutcome::Delayed),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let at = || 0..simulation::INSTANCES;
    prop_oneof![
        4 => (at(), 0u8..4, 0u8..2, 20u64..150, append_outcome())
            .prop_map(|(at, key, body, left, outcome)| Step::Accept(at, key, body, left, outcome)),
        6 => (1u64..30, append_outcome()).prop_map(|(steps, outcome)| Step::Run(steps, outcome)),
        1 => at().prop_map(Step::Restart),
        1 => at().prop_map(Step::Pause),
        1 => (at(), any::<u8>()).prop_map(|(at, mask)| Step::SetMembers(at, mask)),
        1 => at().prop_map(Step::Resume),
    ]
}

fn run(steps: Vec<Step>) {
    let mut simulation = Simulation::new();
    for step in steps {
        match step {
            Step::Accept(at, key, body, left, outcome) => {
                simulation.accept(at, key, body, left, outcome)
            }
            Step::Run(steps, outcome) => simulation.run_steps(steps, outcome),
            Step::Restart(at) => simulation.restart(at),
            Step::Pause(at) => simulation.pause(at),
            Step::SetMembers(at, mask) => simulation.set_members(at, mask),
            Step::Resume(at) => simulation.resume(at),
        }
        simulation.check();
    }
    simulation.settle();
}

/// Returns the number of schedules, which `PROPTEST_CASES` may raise.
fn cases() -> u32 {
    let asked = std::env::var("PROPTEST_CASES").ok();
    asked.and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

#[gtest]
fn stored_tasks_end_once_and_every_reader_agrees() {
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedules = proptest::collection::vec(step(), 1..80);
    let done = runner.run(&schedules, |steps| {
        run(steps);
        Ok(())
    });
    done.unwrap_or_else(|error| panic!("{error}"));
}

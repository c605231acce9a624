//! Turns at a cold server that many instances ask for, in virtual time.

mod cluster;

use cluster::{Case, Cluster, Outcome, TERMS, Trouble, allowed};
use googletest::prelude::*;

/// The share of the rate that is used at least while there is more demand and instances reach each other.
const MIN_USED: f64 = 0.7;

fn play(count: usize, trouble: Trouble, seed: u64) -> Outcome {
    let case = Case {
        count,
        trouble,
        terms: TERMS,
        seed,
    };
    let outcome = Cluster::play(case);
    println!(
        "{trouble:?} instances {count} seed {seed}: most {} of {}, used {:.2}, questions of a second {:.0}",
        outcome.most,
        allowed(TERMS),
        outcome.used,
        outcome.questions
    );
    outcome
}

/// COLD: with a share for each instance, or one holder for each side of a cut, a cold server got more than it bears or hardly
/// anything.
#[gtest]
fn the_bound_holds_in_all_troubles_and_the_rate_is_used() {
    let troubles = [
        Trouble::None,
        Trouble::HolderLost,
        Trouble::Halves,
        Trouble::Isolated,
        Trouble::Rolling,
        Trouble::Replaced,
        Trouble::Added,
        Trouble::AgainCold,
        Trouble::LateNews,
    ];
    for trouble in troubles {
        for count in [6, 16, 22, 60, 400] {
            for seed in 0..if count < 60 { 3 } else { 1 } {
                let outcome = play(count, trouble, seed);
                expect_that!(
                    outcome.most,
                    le(allowed(TERMS)),
                    "{trouble:?} {count} {seed}"
                );
                if trouble.is_connected() {
                    expect_that!(outcome.used, ge(MIN_USED), "{trouble:?} {count} {seed}");
                }
            }
        }
    }
}

/// COLD: shares that are right for one rate break the bound of another, as a turn is no fraction.
#[gtest]
fn the_bound_holds_for_all_rates() {
    for rate in [0.5, 1.0, 3.0, 8.1, 20.0, 60.0] {
        for (over, slack) in [(1.5, 5.0), (1.0, 3.0), (1.2, 0.0), (2.0, 1.0)] {
            for trouble in [Trouble::None, Trouble::Halves, Trouble::Rolling] {
                let bound = quota::cold::Bound { over, slack };
                let terms = quota::cold::Terms { rate, bound };
                let case = Case {
                    count: 16,
                    trouble,
                    terms,
                    seed: 1,
                };
                let outcome = Cluster::play(case);
                let most = outcome.most;
                expect_that!(
                    most,
                    le(allowed(terms)),
                    "{trouble:?} {rate} {over} {slack}"
                );
            }
        }
    }
}

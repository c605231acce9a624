//! The sum of repeats over instances stays within the platform's bound, whether they hear each other or not.

use core::time::Duration;

use base::{Name, Tick};
use googletest::prelude::*;
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, proptest},
    test_runner::RngSeed,
};
use retry::{Crashes, Window, crash::CRASH_LIMIT, window::Bound};

const BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 52.0,
    span: Duration::from_secs(10),
};

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Each step: an instance, how many requests come, how many repeats it wants, and the time to the next.
    #[test]
    fn repeats_of_all_instances_stay_within_the_bound(
        steps in vec((0_usize..6, 0_u8..6, 0_u8..12, 0_u64..400), 1..300),
    ) {
        let pool = Name::from("ledger");
        let mut windows = vec![Window::new(BOUND); 6];
        let mut now = Tick::from_millis(1_000);
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (at, firsts, wanted, gap) in steps {
            for _ in 0..firsts {
                windows[at].record_request(now, &pool);
                requests.push(now);
            }
            for _ in 0..wanted {
                if windows[at].try_retry(now, &pool, 6) {
                    repeats.push(now);
                }
            }
            // The bound counts what lies in any span of this length.
            let from = |ticks: &[Tick]| ticks.iter().filter(|at| now - **at <= BOUND.span).count() as f64;
            let most = BOUND.ratio * from(&requests) + BOUND.slack;
            assert!(from(&repeats) <= most, "{} of {most}", from(&repeats));
            now = now + Duration::from_millis(gap);
        }
    }
}

#[gtest]
fn an_instance_that_hears_nobody_takes_half_the_slack_at_most() {
    let mut window = Window::new(BOUND);
    let pool = Name::from("ledger");
    let now = Tick::from_millis(5);
    let taken = (0..100).filter(|_| window.try_retry(now, &pool, 1)).count();
    expect_that!(taken, eq(26));
}

#[gtest]
fn a_content_is_harmful_after_three_servers_and_not_after_three_reports_of_one() {
    let now = Tick::from_millis(5);
    let mut crashes = Crashes::default();
    for _ in 0..5 {
        crashes.record(now, 7, &"i-1".into());
    }
    expect_that!(crashes.is_harmful(7), eq(false));
    crashes.record(now, 7, &"i-2".into());
    expect_that!(crashes.record(now, 7, &"i-3".into()), eq(true));
    expect_that!(crashes.is_harmful(7), eq(true));
    expect_that!(crashes.count(7), eq(CRASH_LIMIT));
    crashes.record(now + Duration::from_secs(200), 8, &"i-1".into());
    expect_that!(crashes.is_harmful(7), eq(false));
}

#[gtest]
fn a_content_that_was_answered_is_cleared() {
    let now = Tick::from_millis(5);
    let mut crashes = Crashes::default();
    crashes.record(now, 7, &"i-1".into());
    crashes.record(now, 7, &"i-2".into());
    crashes.clear(7);
    crashes.record(now, 7, &"i-3".into());
    expect_that!(crashes.is_harmful(7), eq(false));
}

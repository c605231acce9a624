//! The sum of retries over all instances stays within the platform's limit, whether or not they can communicate.

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

    /// Each step holds an instance, the number of new requests, the number of retries that it wants, and the time
    /// until the next step.
    #[test]
    fn retries_of_all_instances_stay_within_the_limit(
        steps in vec((0_usize..6, 0_u8..6, 0_u8..12, 0_u64..400), 1..300),
    ) {
        let pool = Name::from("ledger");
        let mut windows = vec![Window::new(BOUND); 6];
        let mut now = Tick::from_millis(1_000);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (at, new_requests, wanted, gap) in steps {
            for _ in 0..new_requests {
                windows[at].record_request(now, &pool);
                requests.push(now);
            }
            for _ in 0..wanted {
                if windows[at].try_retry(now, &pool, 6) {
                    retries.push(now);
                }
            }
            // The limit applies to every window of this length.
            let count = |ticks: &[Tick]| ticks.iter().filter(|at| now - **at <= BOUND.span).count() as f64;
            let limit = BOUND.ratio * count(&requests) + BOUND.slack;
            assert!(count(&retries) <= limit, "{} of {limit}", count(&retries));
            now = now + Duration::from_millis(gap);
        }
    }
}

#[gtest]
fn an_isolated_instance_uses_at_most_half_the_slack() {
    let mut window = Window::new(BOUND);
    let pool = Name::from("ledger");
    let now = Tick::from_millis(5);
    let taken = (0..100).filter(|_| window.try_retry(now, &pool, 1)).count();
    expect_that!(taken, eq(26));
}

#[gtest]
fn a_content_is_harmful_after_crashing_three_servers_but_not_after_three_reports_of_one() {
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
fn an_answered_content_is_cleared() {
    let now = Tick::from_millis(5);
    let mut crashes = Crashes::default();
    crashes.record(now, 7, &"i-1".into());
    crashes.record(now, 7, &"i-2".into());
    crashes.clear(7);
    crashes.record(now, 7, &"i-3".into());
    expect_that!(crashes.is_harmful(7), eq(false));
}

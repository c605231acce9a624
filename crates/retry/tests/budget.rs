//! The retry budget limits the attempts at a stage, whether the client or the instance retries.

use std::time::Duration;

use base::{Name, Tick};
use googletest::prelude::*;
use proptest::{
    prelude::{ProptestConfig, any, prop, proptest},
    test_runner::RngSeed,
};
use retry::{Budget, configs};

/// Maximum number of attempts per request while all attempts at a stage fail.
const AMPLIFICATION: f64 = 1.1;

fn budget() -> Budget {
    Budget::new(configs::budget::Budget::default())
}

/// Sends requests to a stage where every attempt fails, and returns the attempts per request. Each request is
/// tried twice, and its caller resends it twice.
fn amplification(accounts: u64, requests: u64, gap: Duration) -> f64 {
    let mut budget = budget();
    let stage = Name::from("generate");
    let mut attempts = 0;
    let mut now = Tick::default();
    for number in 0..requests {
        let account = Name::from(format!("account-{}", number % accounts));
        now = now + gap;
        budget.deposit(now, &stage, &account);
        attempts += 1;
        for _ in 0..5 {
            attempts += u64::from(budget.try_withdraw(now, &stage, &account).is_ok());
        }
    }
    attempts as f64 / requests as f64
}

#[gtest]
fn amplification_stays_below_a_tenth_while_a_stage_fails() {
    // 18 requests a second at an instance, and about a tenth and ten times as many.
    for (accounts, rate) in [(1, 18), (5, 18), (500, 18), (500, 180), (5, 2)] {
        let ratio = amplification(accounts, 20_000, Duration::from_secs(1) / rate);
        let bound = if rate < 18 {
            AMPLIFICATION + 0.05
        } else {
            AMPLIFICATION
        };
        expect_that!(ratio, le(bound), "{accounts} accounts at {rate} a second");
        expect_that!(ratio, ge(1.05), "{accounts} accounts at {rate} a second");
    }
}

#[gtest]
fn one_account_cannot_take_the_tokens_of_another() {
    let mut budget = budget();
    let (stage, greedy, other) = (
        Name::from("rerank"),
        Name::from("greedy"),
        Name::from("other"),
    );
    let now = Tick::default();
    for _ in 0..200 {
        budget.deposit(now, &stage, &greedy);
    }
    let taken = (0..100)
        .filter(|_| budget.try_withdraw(now, &stage, &greedy).is_ok())
        .count();
    expect_that!(taken, le(5));
    expect_that!(budget.try_withdraw(now, &stage, &other), ok(anything()));
}

#[gtest]
fn an_idle_account_regains_one_retry() {
    let mut budget = budget();
    let (stage, account) = (Name::from("encode"), Name::from("adinkra"));
    let mut now = Tick::default();
    for _ in 0..10 {
        budget.deposit(now, &stage, &account);
        expect_that!(budget.try_withdraw(now, &stage, &account), ok(anything()));
        now = now + Duration::from_secs(10);
    }
}

#[gtest]
fn initial_tokens_are_granted_once() {
    let default = configs::budget::Budget::default();
    let mut budget = Budget::new(configs::budget::Budget {
        stage_initial: default.stage_max,
        account_initial: default.account_max,
        ..default
    });
    let stage = Name::from("encode");
    let mut taken = |account: &str| {
        let account = Name::from(account);
        let again = |_: &usize| {
            budget
                .try_withdraw(Tick::default(), &stage, &account)
                .is_ok()
        };
        (0..100).filter(again).count()
    };
    expect_that!(taken("adinkra"), eq(5));
    expect_that!(taken("compas"), eq(5));
    expect_that!(taken("third"), eq(0));
    expect_that!(taken("adinkra"), eq(0));
}

#[gtest]
fn a_token_is_available_after_the_returned_wait() {
    let mut budget = budget();
    let (stage, account) = (Name::from("encode"), Name::from("adinkra"));
    let now = Tick::default();
    expect_that!(budget.try_withdraw(now, &stage, &account), ok(anything()));
    let exhausted = budget
        .try_withdraw(now, &stage, &account)
        .expect_err("a single token");
    expect_that!(
        budget.try_withdraw(now + exhausted.retry_after, &stage, &account),
        ok(anything())
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn retries_never_exceed_deposited_tokens(
        steps in prop::collection::vec((any::<bool>(), 0_u8..3, 0_u64..2_000), 1..400),
    ) {
        let mut budget = budget();
        let stage = Name::from("generate");
        let (mut now, mut first, mut retries) = (Tick::default(), 0, 0);
        for (is_first, account, millis) in steps {
            let account = Name::from(format!("account-{account}"));
            now = now + Duration::from_millis(millis);
            if is_first {
                budget.deposit(now, &stage, &account);
                first += 1;
            } else if budget.try_withdraw(now, &stage, &account).is_ok() {
                retries += 1;
            }
        }
        let reserve = (now - Tick::default()).as_secs_f64() / 10.0;
        let deposited = f64::from(first) * 0.09 + 1.0 + reserve;
        proptest::prop_assert!(f64::from(retries) <= deposited + 1e-6);
    }
}

//! A report over summaries equals the report over the trackers themselves.

use core::time::Duration;

use base::{Code, Incarnation, Name, Stamp};
use burn::{
    Config, Event, Report, Tracker,
    bucket::OTHERS,
    event::{Called, Objective, Objectives},
    summary::{Summaries, Summary},
};
use googletest::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};

const MINUTE: Duration = Duration::from_secs(60);
const INSTANCES: u64 = 6;
const CODES: [Code; 5] = [
    Code::Answered,
    Code::Answered,
    Code::Overloaded,
    Code::AccountLimited,
    Code::StageUnavailable,
];

/// Returns a tracker with the given minutes of events; events and objectives differ by instance.
fn tracker(instance: u64, accounts: u64, minutes: u64) -> (Tracker, Stamp) {
    let mut now = Stamp::from_millis(600_000);
    let mut tracker = Tracker::new(Incarnation::new(format!("entry-{instance}").as_str(), now));
    let objective = |at: u64| Objective {
        pipeline: format!("pipeline-{at:02}").into(),
        share: 0.99 - 0.01 * instance as f64,
    };
    let objectives = Objectives {
        version: instance + 1,
        pipelines: (0..11).map(objective).collect(),
    };
    tracker.record(now, &Event::InForce(objectives));
    for minute in 0..minutes {
        now = now + MINUTE;
        for at in 0..36 {
            let at = minute * 36 + at * (instance + 3);
            let pipeline = Name::from(format!("pipeline-{:02}", at % 11));
            let account = Name::from(format!("account-{}", at % accounts));
            let (code, in_time) = (CODES[at as usize % 5], !at.is_multiple_of(7));
            let stage = Name::from(format!("stage-{}", at % 4));
            let stage_to_blame = (code != Code::Answered).then(|| stage.clone());
            let ended = Event::ended(pipeline.clone(), account, code, in_time, stage_to_blame);
            tracker.record(now, &ended.expect("a code that counts for attainment"));
            let called = Called {
                pipeline,
                stage,
                busy: Duration::from_millis(at % 500),
                cost_per_second: 2.0,
                repeat: at.is_multiple_of(9),
                wasted: at.is_multiple_of(19),
            };
            tracker.record(now, &Event::Called(called));
        }
    }
    (tracker, now)
}

fn trackers() -> (Vec<Tracker>, Stamp) {
    let trackers: Vec<_> = (0..INSTANCES).map(|at| tracker(at, 40, 150)).collect();
    let now = trackers[0].1;
    (
        trackers.into_iter().map(|(tracker, _)| tracker).collect(),
        now,
    )
}

fn sum(summaries: impl IntoIterator<Item = Summary>) -> Summary {
    let mut all = Summaries::default();
    summaries
        .into_iter()
        .for_each(|summary| all.insert(summary));
    all.sum("accra-1".into(), &Config::default())
}

fn merged(trackers: &[Tracker], now: Stamp) -> Report {
    let mut all = Tracker::new(Incarnation::new("report", now));
    trackers.iter().for_each(|tracker| all.merge(tracker));
    all.report(now)
}

#[gtest]
fn the_report_over_summaries_equals_that_over_trackers() {
    let (trackers, now) = trackers();
    let summaries = trackers.iter().map(|tracker| tracker.summary(now));
    let report = sum(summaries).report(&Config::default());
    expect_that!(report.accounts.len(), gt(100));
    expect_that!(report, eq(&merged(&trackers, now)));
}

#[gtest]
fn sums_of_failure_domains_add_up_to_the_same_report() {
    let (trackers, now) = trackers();
    let domain = |name: &str, trackers: &[Tracker]| {
        let mut summaries = Summaries::default();
        trackers
            .iter()
            .for_each(|tracker| summaries.insert(tracker.summary(now)));
        summaries.sum(name.into(), &Config::default())
    };
    let domains = [
        domain("accra-1", &trackers[..2]),
        domain("accra-2", &trackers[2..]),
    ];
    // Serialize to JSON and back, as on the wire.
    let domains = domains.map(|summary| {
        let text = serde_json::to_string(&summary).expect("a summary as JSON");
        serde_json::from_str::<Summary>(&text).expect("a summary")
    });
    expect_that!(
        sum(domains).report(&Config::default()),
        eq(&merged(&trackers, now))
    );
}

#[gtest]
fn a_summary_has_only_own_counts_after_a_merge() {
    let (mut trackers, now) = trackers();
    let other = trackers[1].clone();
    trackers[0].merge(&other);
    let report =
        sum(trackers.iter().map(|tracker| tracker.summary(now))).report(&Config::default());
    expect_that!(report, eq(&merged(&trackers, now)));
}

#[gtest]
fn of_two_summaries_of_one_instance_the_newer_one_counts() {
    let (mut tracker, now) = tracker(0, 3, 5);
    let before = tracker.summary(now);
    let ended = Event::ended("pipeline-00".into(), "a".into(), Code::Answered, true, None);
    tracker.record(now, &ended.expect("a code that counts for attainment"));
    let after = tracker.summary(now);
    expect_that!(
        sum([before.clone(), after.clone()]),
        eq(&sum([after.clone()]))
    );
    expect_that!(sum([after.clone(), before]), eq(&sum([after])));
}

#[gtest]
fn small_accounts_are_merged_and_none_is_lost() {
    let (tracker, now) = tracker(1, 400, 150);
    let config = Config {
        max_summary_accounts: 10,
        ..Config::default()
    };
    let mut summaries = Summaries::default();
    summaries.insert(tracker.summary(now));
    let summary = summaries.sum("accra-1".into(), &config);
    let mut names: Vec<&str> = summary
        .accounts
        .iter()
        .map(|one| one.account.as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    expect_that!(names.len(), eq(11));
    expect_that!(names[0], eq(OTHERS));
    let all: u64 = summary.accounts.iter().map(|one| one.budget.0).sum();
    let by_pipeline: u64 = summary.pipelines.iter().map(|counts| counts.budget.0).sum();
    expect_that!(all, eq(by_pipeline));
}

/// Prints the size of summaries for several numbers of client accounts, and compares it with their trackers'.
#[gtest]
fn a_summary_is_a_small_share_of_its_tracker() {
    let bytes = |value: String| value.len();
    for accounts in [32, 128, 512] {
        let (tracker, now) = tracker(1, accounts, 180);
        let summary = bytes(serde_json::to_string(&tracker.summary(now)).expect("JSON"));
        let whole = bytes(serde_json::to_string(&tracker).expect("JSON"));
        println!("{accounts} accounts: a summary of {summary} B, a tracker of {whole} B");
        expect_that!(summary * 4, lt(whole), "{accounts} accounts");
    }
    for count in [1, 2, 8, 32] {
        let trackers: Vec<Tracker> = (0..count).map(|at| tracker(at, 128, 180).0).collect();
        let now = tracker(0, 1, 180).1;
        let domain = sum(trackers.iter().map(|tracker| tracker.summary(now)));
        let size = bytes(serde_json::to_string(&domain).expect("JSON"));
        println!("{count} instances: a domain's sum of {size} B");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Summaries arrive in any order and more than once.
    #[test]
    fn neither_order_nor_repeats_matter(
        order in prop::collection::vec(0..INSTANCES as usize, 0..20),
    ) {
        let summaries: Vec<Summary> = (0..INSTANCES)
            .map(|at| { let (tracker, now) = tracker(at, 10, 4); tracker.summary(now) })
            .collect();
        let whole = sum(summaries.clone());
        let mixed = order.iter().map(|at| summaries[*at].clone()).chain(summaries.iter().rev().cloned());
        prop_assert_eq!(sum(mixed), whole);
    }
}

//! Trackers of many instances merge in any order without counting anything twice.

use core::time::Duration;

use base::{Code, Incarnation, Stamp};
use burn::{
    Event, Tracker,
    event::{Called, Objective, Objectives},
};
use googletest::prelude::*;
use proptest::prelude::*;

const INSTANCES: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An instance finishes a request.
    Finish { instance: usize, good: bool },
    /// An instance's clock moves, forwards or backwards.
    MoveClock { instance: usize, seconds: i64 },
    /// An instance compacts its tracker.
    Compact { instance: usize },
    /// An instance merges another one's tracker.
    Merge { instance: usize, from: usize },
    /// An instance restarts with an empty tracker.
    Restart { instance: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        8 => (instance.clone(), any::<bool>())
            .prop_map(|(instance, good)| Step::Finish { instance, good }),
        6 => (instance.clone(), -200..900_i64)
            .prop_map(|(instance, seconds)| Step::MoveClock { instance, seconds }),
        1 => instance.clone().prop_map(|instance| Step::Compact { instance }),
        4 => (instance.clone(), instance.clone())
            .prop_map(|(instance, from)| Step::Merge { instance, from }),
        1 => instance.prop_map(|instance| Step::Restart { instance }),
    ]
}

fn ended(good: bool) -> Event {
    let code = if good {
        Code::Answered
    } else {
        Code::Overloaded
    };
    Event::ended("status".into(), "stewards".into(), code, true, None).unwrap()
}

fn total(tracker: &Tracker) -> (u64, u64) {
    let requests = || tracker.buckets().iter().flat_map(|bucket| &bucket.requests);
    let all = requests().map(|one| one.count).sum();
    let good = requests().filter(|one| one.blame.is_none());
    (all, good.map(|one| one.count).sum())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn nothing_is_counted_twice_or_lost(steps in proptest::collection::vec(step(), 1..200)) {
        let start = Stamp::from_millis(1_000_000_000);
        let mut clocks = [start; INSTANCES];
        let mut trackers: Vec<Tracker> = (0..INSTANCES)
            .map(|at| Tracker::new(Incarnation::new(format!("entry-{at}"), start)))
            .collect();
        let mut reader = Tracker::new(Incarnation::new("reader", start));
        let (mut all, mut good_ones) = (0, 0);
        for (incarnation, step) in (1..).zip(steps) {
            match step {
                Step::Finish { instance, good } => {
                    trackers[instance].record(clocks[instance], &ended(good));
                    all += 1;
                    good_ones += u64::from(good);
                }
                Step::MoveClock { instance, seconds } => {
                    let millis = clocks[instance].as_millis().saturating_add_signed(seconds * 1_000);
                    clocks[instance] = Stamp::from_millis(millis);
                }
                Step::Compact { instance } => trackers[instance].compact(clocks[instance]),
                Step::Merge { instance, from } => {
                    let other = trackers[from].clone();
                    trackers[instance].merge(&other);
                }
                Step::Restart { instance } => {
                    reader.merge(&trackers[instance]);
                    let start = Stamp::from_millis(start.as_millis() + incarnation);
                    let name = format!("entry-{instance}");
                    trackers[instance] = Tracker::new(Incarnation::new(name, start));
                }
            }
        }
        for tracker in trackers.iter().chain(trackers.iter().rev()) {
            reader.merge(tracker);
        }
        prop_assert_eq!(total(&reader), (all, good_ones));
        let json = serde_json::to_string(&reader).unwrap();
        let read: Tracker = serde_json::from_str(&json).unwrap();
        prop_assert_eq!(read, reader);
    }
}

#[gtest]
fn old_minutes_are_merged_by_the_hour_and_finally_dropped() {
    let minute = |count: u64| Stamp::from_millis(count * 60_000);
    let mut tracker = Tracker::new(Incarnation::new("entry-1", minute(0)));
    for at in 0..180 {
        tracker.record(minute(at), &ended(true));
    }
    tracker.compact(minute(180));
    // The last 70 minutes are kept by the minute; the first hour and the next 50 minutes are merged.
    expect_that!(tracker.buckets().len(), eq(72));
    expect_that!(total(&tracker), eq((180, 180)));
    tracker.compact(minute(4 * 24 * 60));
    expect_that!(tracker.buckets(), is_empty());
}

#[gtest]
fn buckets_never_received_are_reported_as_missing() {
    let minute = |count: u64| Stamp::from_millis(count * 60_000);
    let mut tracker = Tracker::new(Incarnation::new("entry-1", minute(0)));
    let mut reader = Tracker::new(Incarnation::new("reader", minute(0)));
    for at in 0..4 {
        tracker.record(minute(at), &ended(true));
    }
    for bucket in tracker.buckets().iter().filter(|bucket| bucket.first != 1) {
        reader.merge_bucket(bucket);
    }
    let report = reader.report(minute(4));
    expect_that!(report.origins[0].missing, eq(1));
    expect_that!(tracker.closed_after(Some(1)).count(), eq(1));
}

#[gtest]
fn the_report_has_attainment_burn_blame_and_cost() {
    let now = Stamp::from_millis(600_000);
    let mut tracker = Tracker::new(Incarnation::new("entry-1", now));
    let objective = Objective {
        pipeline: "status".into(),
        share: 0.9,
    };
    tracker.record(
        now,
        &Event::InForce(Objectives {
            version: 1,
            pipelines: vec![objective],
        }),
    );
    for at in 0..10 {
        tracker.record(now, &ended(at < 8));
    }
    let called = Called {
        pipeline: "status".into(),
        stage: "look-up".into(),
        busy: Duration::from_millis(500),
        cost_per_second: 4.0,
        repeat: true,
        wasted: true,
    };
    tracker.record(now, &Event::Called(called));
    let report = tracker.report(now);
    let pipeline = &report.pipelines[0];
    expect_that!(pipeline.budget.attainment, near(0.8, 1e-9));
    expect_that!(pipeline.budget.burn, near(2.0, 1e-9));
    expect_that!(pipeline.left, near(-1.0, 1e-9));
    expect_that!(report.is_alarm_raised(), eq(false));
    expect_that!(report.blames[0].count, eq(2));
    expect_that!(report.accounts[0].budget.total, eq(10));
    expect_that!(report.costs[0].cost_micros, eq(2_000_000));
    expect_that!(report.costs[0].wasted_micros, eq(2_000_000));
    expect_that!(pipeline.minutes.last().unwrap().total, eq(10));
}

#[gtest]
fn an_alarm_needs_both_windows() {
    let minute = |count: u64| Stamp::from_millis(count * 60_000);
    let mut tracker = Tracker::new(Incarnation::new("entry-1", minute(0)));
    for _ in 0..10 {
        tracker.record(minute(0), &ended(false));
    }
    expect_that!(tracker.report(minute(1)).is_alarm_raised(), eq(true));
    // After the fault the burn rate of the hour is still high, that of the last five minutes is not.
    for _ in 0..10 {
        tracker.record(minute(20), &ended(true));
    }
    let report = tracker.report(minute(20));
    let first = &report.pipelines[0].alarms[0];
    expect_that!(first.long.burn, ge(first.rate));
    expect_that!(first.raised, eq(false));
}

#[gtest]
fn small_client_accounts_are_merged_once_the_minute_is_over() {
    let minute = |count: u64| Stamp::from_millis(count * 60_000);
    let mut tracker = Tracker::new(Incarnation::new("entry-1", minute(0)));
    for at in 0..1_080_u64 {
        // Two large accounts, and 500 small ones with one or two requests each.
        let account = match at % 4 {
            0 | 1 => format!("large-{}", at % 2),
            _ => format!("small-{}", at % 500),
        };
        let pipeline = format!("pipeline-{}", at % 11);
        let event = Event::ended(pipeline.into(), account.into(), Code::Answered, true, None);
        tracker.record(minute(0), &event.unwrap());
    }
    let before = serde_json::to_string(&tracker.buckets()[0]).unwrap().len();
    tracker.compact(minute(1));
    let bucket = &tracker.buckets()[0];
    let after = serde_json::to_string(bucket).unwrap().len();
    println!("one minute of 1,080 requests: {before} B open, {after} B closed");
    let mut accounts: Vec<&str> = bucket
        .requests
        .iter()
        .map(|one| one.account.as_str())
        .collect();
    accounts.sort();
    accounts.dedup();
    expect_that!(accounts.len(), eq(33));
    expect_that!(accounts[0], eq(burn::bucket::OTHERS));
    expect_that!(total(&tracker), eq((1_080, 1_080)));
}

#[gtest]
fn a_short_burst_of_faults_in_a_good_hour_raises_no_alarm() {
    let minute = |count: u64| Stamp::from_millis(count * 60_000);
    let mut tracker = Tracker::new(Incarnation::new("entry-1", minute(0)));
    for _ in 0..1_000 {
        tracker.record(minute(0), &ended(true));
    }
    for _ in 0..10 {
        tracker.record(minute(30), &ended(false));
    }
    let report = tracker.report(minute(30));
    let first = &report.pipelines[0].alarms[0];
    expect_that!(first.short.burn, ge(first.rate));
    expect_that!(first.raised, eq(false));
}

#[gtest]
fn the_objectives_of_the_newest_bundle_apply() {
    let objectives = |version, share| {
        Event::InForce(Objectives {
            version,
            pipelines: vec![Objective {
                pipeline: "status".into(),
                share,
            }],
        })
    };
    let now = Stamp::from_millis(60_000);
    let mut tracker = Tracker::new(Incarnation::new("entry-1", now));
    let mut outdated = Tracker::new(Incarnation::new("entry-2", now));
    tracker.record(now, &objectives(2, 0.9));
    outdated.record(now, &objectives(1, 0.5));
    tracker.merge(&outdated);
    expect_that!(tracker.report(now).pipelines[0].objective, eq(0.9));
}

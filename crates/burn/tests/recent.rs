//! Recent counts for shared screens equal those of the instance's own report.

use core::time::Duration;

use base::{Code, Incarnation, Stamp};
use burn::{Event, Tracker, event::Called};
use googletest::prelude::*;

const MINUTE: Duration = Duration::from_secs(60);

/// Returns a tracker of two hours with requests of every outcome and calls of three stages.
fn tracker(name: &str) -> (Tracker, Stamp) {
    let mut now = Stamp::from_millis(600_000);
    let mut tracker = Tracker::new(Incarnation::new(name, now));
    for at in 0..120_u64 {
        now = now + MINUTE;
        for end in 0..=at % 7 {
            let (code, in_time) = match end % 3 {
                0 => (Code::Answered, true),
                1 => (Code::Answered, false),
                _ => (Code::Overloaded, true),
            };
            let pipeline = format!("pipeline-{}", end % 2);
            let ended = Event::ended(pipeline.clone().into(), "a".into(), code, in_time, None);
            tracker.record(now, &ended.expect("a code that counts for attainment"));
            let called = Called {
                pipeline: pipeline.into(),
                stage: format!("stage-{}", end % 3).into(),
                busy: Duration::from_millis(at),
                cost_per_second: 2.0,
                repeat: false,
                wasted: false,
            };
            tracker.record(now, &Event::Called(called));
        }
    }
    (tracker, now)
}

#[gtest]
fn windows_equal_those_of_the_report() {
    let (tracker, now) = tracker("entry-1");
    let report = tracker.report(now);
    expect_that!(report.pipelines.len(), eq(2));
    for (at, pipeline) in report.pipelines.iter().enumerate() {
        let alarm = pipeline.alarms[0];
        for window in [alarm.short, alarm.long] {
            let recent = &tracker.recent(now, Duration::from_secs(window.seconds))[at];
            expect_that!(recent.pipeline, eq(&pipeline.name));
            expect_that!(recent.within, eq(window.within));
            let total = recent.within + recent.late + recent.refused;
            expect_that!(total, eq(window.total));
            expect_that!(recent.late, gt(0));
            expect_that!(recent.refused, gt(0));
        }
    }
}

#[gtest]
fn costs_equal_those_of_the_report() {
    let (tracker, now) = tracker("entry-1");
    let all = burn::Config::default().budget_window;
    expect_that!(
        tracker.recent_costs(now, all),
        eq(&tracker.report(now).costs)
    );
    let hour = tracker.recent_costs(now, MINUTE * 60);
    let busy = |costs: &[burn::bucket::Cost]| costs.iter().map(|one| one.busy_micros).sum::<u64>();
    expect_that!(busy(&hour), lt(busy(&tracker.report(now).costs)));
}

#[gtest]
fn buckets_of_other_instances_do_not_count() {
    let (mut one, now) = tracker("entry-1");
    let before = one.recent(now, MINUTE * 60);
    one.merge(&tracker("entry-2").0);
    expect_that!(one.recent(now, MINUTE * 60), eq(&before));
}

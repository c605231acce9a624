//! What an instance tells for shared screens equals what its own report says.

use core::time::Duration;

use base::{Code, Incarnation, Stamp};
use burn::{Book, Event, event::Called};
use googletest::prelude::*;

const MINUTE: Duration = Duration::from_secs(60);

/// A book of two hours in which each kind of end and calls of two stages occur.
fn book(name: &str) -> (Book, Stamp) {
    let mut now = Stamp::from_millis(600_000);
    let mut book = Book::open(Incarnation::new(name, now));
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
            book.on(now, &ended.expect("an end that counts"));
            let called = Called {
                pipeline: pipeline.into(),
                stage: format!("stage-{}", end % 3).into(),
                busy: Duration::from_millis(at),
                cost_per_second: 2.0,
                repeat: false,
                wasted: false,
            };
            book.on(now, &Event::Called(called));
        }
    }
    (book, now)
}

#[gtest]
fn the_windows_are_those_of_the_report() {
    let (book, now) = book("entry-1");
    let report = book.report(now);
    expect_that!(report.pipelines.len(), eq(2));
    for (at, pipeline) in report.pipelines.iter().enumerate() {
        let alarm = pipeline.alarms[0];
        for window in [alarm.short, alarm.long] {
            let recent = &book.recent(now, Duration::from_secs(window.seconds))[at];
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
fn costs_are_those_of_the_report() {
    let (book, now) = book("entry-1");
    let all = burn::Config::default().budget;
    expect_that!(book.recent_costs(now, all), eq(&book.report(now).costs));
    let hour = book.recent_costs(now, MINUTE * 60);
    let busy = |costs: &[burn::bucket::Cost]| costs.iter().map(|one| one.busy_micros).sum::<u64>();
    expect_that!(busy(&hour), lt(busy(&book.report(now).costs)));
}

#[gtest]
fn buckets_of_other_instances_do_not_count() {
    let (mut one, now) = book("entry-1");
    let before = one.recent(now, MINUTE * 60);
    one.merge(&book("entry-2").0);
    expect_that!(one.recent(now, MINUTE * 60), eq(&before));
}

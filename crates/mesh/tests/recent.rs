//! Pattern: one instance reads the platform's records, the others of its cell follow it.

use core::time::Duration;

use base::Tick;
use googletest::prelude::*;
use mesh::Recent;

const LIMIT: Duration = Duration::from_millis(1_600);

fn recent(now: Tick) -> Recent<&'static str> {
    let mut recent = Recent::new(LIMIT);
    recent.restart(now, 10);
    recent.extend(now, 20, [(12, "a"), (17, "b")]);
    recent
}

#[gtest]
fn a_follower_gets_each_change_once_and_in_order() {
    let now = Tick::from_millis(10);
    let mut recent = recent(now);
    expect_that!(
        recent.since(now, 10),
        some(eq(&(vec![(12, "a"), (17, "b")], 20)))
    );
    expect_that!(recent.since(now, 13), some(eq(&(vec![(17, "b")], 20))));
    expect_that!(recent.since(now, 20), some(eq(&(vec![], 20))));
    recent.extend(now, 25, [(24, "c")]);
    expect_that!(recent.since(now, 20), some(eq(&(vec![(24, "c")], 25))));
}

#[gtest]
fn a_follower_whose_place_is_not_known_reads_by_itself() {
    let now = Tick::from_millis(10);
    let mut recent = recent(now);
    // Before the first change that is known, and after what was read.
    expect_that!(recent.since(now, 9), none());
    expect_that!(recent.since(now, 21), none());
    recent.restart(now, 40);
    expect_that!(recent.since(now, 20), none());
    expect_that!(recent.since(now, 40), some(eq(&(vec![], 40))));
}

#[gtest]
fn nobody_relies_on_a_reader_that_lost_the_store() {
    let now = Tick::from_millis(10);
    let recent = recent(now);
    let just = now + LIMIT.saturating_sub(Duration::from_millis(1));
    expect_that!(recent.since(just, 20), some(anything()));
    expect_that!(recent.since(now + LIMIT, 20), none());
    expect_that!(Recent::<u8>::new(LIMIT).since(now, 0), none());
}

#[gtest]
fn old_changes_are_dropped_and_not_passed_over_in_silence() {
    let now = Tick::from_millis(10);
    let mut recent = Recent::new(LIMIT);
    recent.restart(now, 0);
    recent.extend(now, 10_000, (0..10_000).map(|offset| (offset, offset)));
    expect_that!(recent.since(now, 0), none());
    let (changes, next) = recent.since(now, 9_000).unwrap();
    expect_that!(changes.len(), eq(1_000));
    expect_that!(next, eq(10_000));
}

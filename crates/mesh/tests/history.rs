//! Pattern: one instance reads the platform's records, the others of its cell follow it.

use core::time::Duration;

use base::Tick;
use googletest::prelude::*;
use mesh::History;

const LIMIT: Duration = Duration::from_millis(1_600);

fn history(now: Tick) -> History<&'static str> {
    let mut history = History::new(LIMIT);
    history.reset(now, 10);
    history.extend(now, 20, [(12, "a"), (17, "b")]);
    history
}

#[gtest]
fn a_follower_gets_each_change_once_and_in_order() {
    let now = Tick::from_millis(10);
    let mut history = history(now);
    expect_that!(
        history.changes_since(now, 10),
        some(eq(&(vec![(12, "a"), (17, "b")], 20)))
    );
    expect_that!(
        history.changes_since(now, 13),
        some(eq(&(vec![(17, "b")], 20)))
    );
    expect_that!(history.changes_since(now, 20), some(eq(&(vec![], 20))));
    history.extend(now, 25, [(24, "c")]);
    expect_that!(
        history.changes_since(now, 20),
        some(eq(&(vec![(24, "c")], 25)))
    );
}

#[gtest]
fn a_follower_whose_place_is_not_known_reads_by_itself() {
    let now = Tick::from_millis(10);
    let mut history = history(now);
    // Before the first change that is known, and after what was read.
    expect_that!(history.changes_since(now, 9), none());
    expect_that!(history.changes_since(now, 21), none());
    history.reset(now, 40);
    expect_that!(history.changes_since(now, 20), none());
    expect_that!(history.changes_since(now, 40), some(eq(&(vec![], 40))));
}

#[gtest]
fn nobody_relies_on_a_reader_that_lost_the_store() {
    let now = Tick::from_millis(10);
    let history = history(now);
    let just = now + LIMIT.saturating_sub(Duration::from_millis(1));
    expect_that!(history.changes_since(just, 20), some(anything()));
    expect_that!(history.changes_since(now + LIMIT, 20), none());
    expect_that!(History::<u8>::new(LIMIT).changes_since(now, 0), none());
}

#[gtest]
fn old_changes_are_dropped_and_not_passed_over_in_silence() {
    let now = Tick::from_millis(10);
    let mut history = History::new(LIMIT);
    history.reset(now, 0);
    history.extend(now, 10_000, (0..10_000).map(|offset| (offset, offset)));
    expect_that!(history.changes_since(now, 0), none());
    let (changes, next) = history.changes_since(now, 9_000).unwrap();
    expect_that!(changes.len(), eq(1_000));
    expect_that!(next, eq(10_000));
}

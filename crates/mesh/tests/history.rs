//! One instance of a cell reads the platform's records, and the others follow its history.

use core::time::Duration;

use base::Tick;
use googletest::prelude::*;
use mesh::History;

const MAX_AGE: Duration = Duration::from_millis(1_600);

fn history(now: Tick) -> History<&'static str> {
    let mut history = History::new(MAX_AGE);
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
fn a_follower_with_an_unknown_offset_gets_no_changes() {
    let now = Tick::from_millis(10);
    let mut history = history(now);
    // Before the oldest kept change, and after the last read.
    expect_that!(history.changes_since(now, 9), none());
    expect_that!(history.changes_since(now, 21), none());
    history.reset(now, 40);
    expect_that!(history.changes_since(now, 20), none());
    expect_that!(history.changes_since(now, 40), some(eq(&(vec![], 40))));
}

#[gtest]
fn changes_are_not_returned_after_the_last_read_expires() {
    let now = Tick::from_millis(10);
    let history = history(now);
    let just_before = now + MAX_AGE.saturating_sub(Duration::from_millis(1));
    expect_that!(history.changes_since(just_before, 20), some(anything()));
    expect_that!(history.changes_since(now + MAX_AGE, 20), none());
    expect_that!(History::<u8>::new(MAX_AGE).changes_since(now, 0), none());
}

#[gtest]
fn a_follower_is_told_when_old_changes_were_dropped() {
    let now = Tick::from_millis(10);
    let mut history = History::new(MAX_AGE);
    history.reset(now, 0);
    history.extend(now, 10_000, (0..10_000).map(|offset| (offset, offset)));
    expect_that!(history.changes_since(now, 0), none());
    let (changes, next) = history.changes_since(now, 9_000).unwrap();
    expect_that!(changes.len(), eq(1_000));
    expect_that!(next, eq(10_000));
}

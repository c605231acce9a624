//! Servers leave, their entries lapse, and they return.

use core::time::Duration;

use base::Tick;
use googletest::prelude::*;
use site::{
    Roster,
    roster::{LAPSE_GRACE, Server},
};

fn server(id: &str, leaving: bool) -> Server {
    Server {
        id: id.into(),
        pool: "ledger".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".into(),
        slots: 6,
        leaving,
        started_at_ms: 0,
        version: Some("v1".into()),
    }
}

fn usable(roster: &Roster, now: Tick) -> usize {
    roster.usable(now, &"ledger".into()).count()
}

#[gtest]
fn a_leaving_server_gets_no_work_even_after_an_older_entry() {
    let now = Tick::from_millis(5);
    let mut roster = Roster::default();
    roster.insert(server("i-1", false), 1);
    expect_that!(roster.mark_leaving(&"i-1".into(), 0), eq(true));
    expect_that!(roster.mark_leaving(&"i-1".into(), 0), eq(false));
    expect_that!(usable(&roster, now), eq(0));
    roster.insert(server("i-1", false), 1);
    expect_that!(usable(&roster, now), eq(0));
    roster.insert(server("i-2", true), 1);
    expect_that!(usable(&roster, now), eq(0));
}

#[gtest]
fn an_entry_that_lapsed_around_an_outage_is_used_for_the_grace_period() {
    let recovery = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(server("i-1", false), 1);
    roster.insert(server("i-2", false), 1);
    roster.record_store_recovery(recovery);
    expect_that!(roster.remove(recovery, &"i-1".into()), eq(true));
    expect_that!(roster.remove(recovery, &"i-2".into()), eq(true));
    expect_that!(usable(&roster, recovery), eq(2));
    roster.insert(server("i-2", false), 1);
    let end = recovery + LAPSE_GRACE;
    expect_that!(usable(&roster, end), eq(1));
    expect_that!(roster.remove_lapsed(end), eq(&vec!["i-1".into()]));
    // The platform states that servers register again after about two seconds.
    expect_that!(LAPSE_GRACE, le(Duration::from_secs(2)));
}

/// DRAIN: a server was used for up to twice the grace period after the outage, as the period began anew when the removal of
/// its entry was read.
#[gtest]
fn an_entry_that_is_removed_after_an_outage_is_used_for_the_rest_of_the_grace_period() {
    let recovery = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(server("i-1", false), 1);
    roster.record_store_recovery(recovery);
    let removal = recovery + LAPSE_GRACE / 2;
    expect_that!(roster.remove(removal, &"i-1".into()), eq(true));
    expect_that!(usable(&roster, removal), eq(1));
    let end = recovery + LAPSE_GRACE;
    expect_that!(usable(&roster, end), eq(0));
    expect_that!(roster.remove_lapsed(end), eq(&vec!["i-1".into()]));
}

#[gtest]
fn an_entry_that_disappears_without_an_outage_or_after_leaving_is_removed_at_once() {
    let now = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(server("i-1", false), 1);
    expect_that!(roster.remove(now, &"i-1".into()), eq(false));
    expect_that!(usable(&roster, now), eq(0));
    roster.insert(server("i-2", true), 1);
    roster.record_store_recovery(now);
    expect_that!(roster.remove(now, &"i-2".into()), eq(false));
}

fn run(id: &str, started_at_ms: u64) -> Server {
    Server {
        started_at_ms,
        ..server(id, false)
    }
}

/// The time that a server has to write its entry again after the store was restored.
const GRACE: Duration = Duration::from_secs(4);

#[gtest]
fn an_announced_departure_is_undone_only_by_a_later_run() {
    let now = Tick::from_millis(5);
    let mut roster = Roster::default();
    roster.insert(run("i-1", 10), 1);
    roster.mark_leaving(&"i-1".into(), 10);
    roster.insert(run("i-1", 10), 900);
    expect_that!(usable(&roster, now), eq(0));
    roster.remove(now, &"i-1".into());
    roster.insert(run("i-1", 10), 901);
    expect_that!(usable(&roster, now), eq(0));
    roster.insert(run("i-1", 20), 1);
    expect_that!(usable(&roster, now), eq(1));
    // A late answer of the earlier run.
    expect_that!(roster.mark_leaving(&"i-1".into(), 10), eq(false));
    expect_that!(usable(&roster, now), eq(1));
}

#[gtest]
fn a_departure_that_the_store_listed_holds_after_the_store_was_restored() {
    let now = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(run("i-1", 10), 5);
    let leaving = Server {
        leaving: true,
        ..run("i-1", 10)
    };
    roster.insert(leaving, 6);
    roster.record_store_restored(now, GRACE);
    for sequence in [5, 7] {
        roster.insert(run("i-1", 10), sequence);
        expect_that!(usable(&roster, now), eq(0), "{sequence}");
    }
}

#[gtest]
fn a_server_that_was_gone_returns_only_by_what_it_wrote_after_the_store_was_restored() {
    let now = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(run("i-1", 10), 5);
    roster.remove(now, &"i-1".into());
    // Twice in a row; each copy still lists the server.
    for sequence in [3, 2] {
        roster.record_store_restored(now, GRACE);
        roster.insert(run("i-1", 10), sequence);
        expect_that!(usable(&roster, now), eq(0));
    }
    roster.insert(run("i-1", 10), 2);
    expect_that!(usable(&roster, now), eq(0));
    roster.insert(run("i-1", 10), 3);
    expect_that!(usable(&roster, now), eq(1));
}

#[gtest]
fn a_server_that_is_still_listed_long_after_the_store_was_restored_is_live() {
    let restored = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(run("i-1", 10), 5);
    roster.remove(restored, &"i-1".into());
    roster.record_store_restored(restored, GRACE);
    // Followers of a reader get no entries that only repeat what is known.
    roster.insert(run("i-1", 10), 4);
    roster.remove_lapsed(restored + GRACE);
    expect_that!(usable(&roster, restored + GRACE), eq(0));
    let trusted = restored + GRACE * 2;
    roster.remove_lapsed(trusted);
    expect_that!(usable(&roster, trusted), eq(1));
}

#[gtest]
fn a_server_that_lapsed_in_the_same_era_is_live_once_it_writes_again() {
    let now = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(run("i-1", 10), 5);
    roster.remove(now, &"i-1".into());
    roster.insert(run("i-1", 10), 6);
    expect_that!(usable(&roster, now), eq(1));
}

#[gtest]
fn a_server_that_joined_in_the_lost_seconds_has_time_to_write_again() {
    let restored = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(run("i-1", 10), 1);
    roster.insert(run("i-2", 10), 1);
    roster.record_store_restored(restored, GRACE);
    expect_that!(roster.remove(restored, &"i-1".into()), eq(true));
    expect_that!(roster.remove(restored, &"i-2".into()), eq(true));
    let just_before = restored + GRACE.saturating_sub(Duration::from_millis(1));
    expect_that!(usable(&roster, just_before), eq(2));
    roster.insert(run("i-2", 10), 2);
    expect_that!(
        roster.remove_lapsed(restored + GRACE),
        eq(&vec!["i-1".into()])
    );
    expect_that!(usable(&roster, restored + GRACE), eq(1));
}

#[gtest]
fn an_address_given_to_another_server_is_told_apart_by_its_id() {
    let now = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(run("i-1", 10), 5);
    roster.mark_leaving(&"i-1".into(), 10);
    roster.record_store_restored(now, GRACE);
    roster.insert(run("i-2", 30), 1);
    roster.insert(run("i-1", 10), 4);
    let pool = "ledger".into();
    let ids = roster.usable(now, &pool).map(|server| server.id.clone());
    expect_that!(ids.collect::<Vec<_>>(), eq(&vec!["i-2".into()]));
}

#[gtest]
fn the_departures_that_are_remembered_are_bounded() {
    let now = Tick::from_millis(5);
    let mut roster = Roster::default();
    for number in 0..5_000 {
        roster.mark_leaving(&format!("i-{number}").into(), 10);
    }
    roster.insert(run("i-4999", 10), 1);
    roster.insert(run("i-904", 10), 1);
    expect_that!(usable(&roster, now), eq(0));
    roster.insert(run("i-903", 10), 1);
    expect_that!(usable(&roster, now), eq(1));
}

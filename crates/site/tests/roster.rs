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
    }
}

fn usable(roster: &Roster, now: Tick) -> usize {
    roster.usable(now, &"ledger".into()).count()
}

#[gtest]
fn a_leaving_server_gets_no_work_even_after_an_older_entry() {
    let now = Tick::from_millis(5);
    let mut roster = Roster::default();
    roster.insert(server("i-1", false));
    roster.mark_leaving(now, &"i-1".into());
    expect_that!(usable(&roster, now), eq(0));
    roster.insert(server("i-1", false));
    expect_that!(usable(&roster, now), eq(0));
    roster.insert(server("i-2", true));
    expect_that!(usable(&roster, now), eq(0));
}

#[gtest]
fn an_entry_that_lapsed_around_an_outage_is_used_for_the_grace_period() {
    let recovery = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(server("i-1", false));
    roster.insert(server("i-2", false));
    roster.record_store_recovery(recovery);
    expect_that!(roster.remove(recovery, &"i-1".into()), eq(true));
    expect_that!(roster.remove(recovery, &"i-2".into()), eq(true));
    expect_that!(usable(&roster, recovery), eq(2));
    roster.insert(server("i-2", false));
    let end = recovery + LAPSE_GRACE;
    expect_that!(usable(&roster, end), eq(1));
    expect_that!(roster.remove_lapsed(end), eq(&vec!["i-1".into()]));
    // The platform states that servers register again after about two seconds.
    expect_that!(LAPSE_GRACE, le(Duration::from_secs(2)));
}

#[gtest]
fn an_entry_that_disappears_without_an_outage_or_after_leaving_is_removed_at_once() {
    let now = Tick::from_millis(10_000);
    let mut roster = Roster::default();
    roster.insert(server("i-1", false));
    expect_that!(roster.remove(now, &"i-1".into()), eq(false));
    expect_that!(usable(&roster, now), eq(0));
    roster.insert(server("i-2", true));
    roster.record_store_recovery(now);
    expect_that!(roster.remove(now, &"i-2".into()), eq(false));
}

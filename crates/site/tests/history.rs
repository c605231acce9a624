//! What is known of the software that a pool ran before.

use core::time::Duration;

use base::{Name, Software, Stamp};
use googletest::prelude::*;
use site::{
    History, Roster,
    history::Span,
    roster::{LAPSE_GRACE, Server},
};

/// How long streams may last.
const TIME: Duration = Duration::from_secs(20);

fn server(id: &str, version: Option<&str>) -> Server {
    Server {
        id: id.into(),
        pool: "pool".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".into(),
        slots: 6,
        leaving: false,
        started_at_ms: 7,
        version: version.map(Name::from),
    }
}

fn roster(versions: &[Option<&str>]) -> Roster {
    let mut roster = Roster::default();
    for (at, version) in versions.iter().enumerate() {
        roster.insert(server(&format!("i-{at}"), *version), 1);
    }
    roster
}

fn at(seconds: u64) -> Stamp {
    Stamp::from_millis(seconds * 1_000)
}

/// Returns the version that all servers ran for the time that streams may last.
fn sole(history: &History, now: Stamp) -> Option<String> {
    let software = history.sole(now, &"pool".into(), TIME);
    software.map(Software::to_string)
}

fn span(version: &str, since: Stamp) -> Span {
    Span {
        pool: "pool".into(),
        software: Some(Software::Version(version.into())),
        since,
    }
}

/// LOST: after all instances were killed, no stream went on though the pool had run one version all the time.
#[gtest]
fn what_an_earlier_process_saw_holds_while_the_version_is_the_same() {
    let mut history = History::default();
    history.load(span("v1", at(100)));
    history.observe(at(200), &roster(&[Some("v1"), Some("v1")]));
    expect_that!(sole(&history, at(200)), some(eq("v1")));
    expect_that!(history.unsaved().len(), eq(0));
}

/// ORDER: a release may replace all servers between the cut of a stream and its resumption.
#[gtest]
fn a_pool_that_was_replaced_proves_nothing_of_the_version_before() {
    let mut history = History::default();
    history.load(span("v1", at(100)));
    history.observe(at(200), &roster(&[Some("v2"), Some("v2")]));
    expect_that!(sole(&history, at(219)), none());
    expect_that!(sole(&history, at(220)), some(eq("v2")));
    expect_that!(history.unsaved(), eq([Name::from("pool")]));
}

#[gtest]
fn a_pool_of_several_or_unknown_versions_has_no_sole_one() {
    for versions in [[Some("v1"), Some("v2")], [Some("v1"), None], [None, None]] {
        let mut history = History::default();
        history.load(span("v1", at(100)));
        history.observe(at(200), &roster(&versions));
        expect_that!(sole(&history, at(900)), none());
        // The time counts anew once there is one version again.
        history.observe(at(900), &roster(&[Some("v1")]));
        expect_that!(sole(&history, at(919)), none());
        expect_that!(sole(&history, at(920)), some(eq("v1")));
    }
}

/// No stream began before the first start of a deployment.
#[gtest]
fn the_first_servers_of_a_new_deployment_are_the_only_ones_so_far() {
    let mut history = History::default();
    history.record_first_start();
    history.observe(at(200), &roster(&[Some("v1")]));
    expect_that!(sole(&history, at(200)), some(eq("v1")));
    // Another version takes the time that streams of the first one may last.
    history.observe(at(210), &roster(&[Some("v2")]));
    expect_that!(sole(&history, at(229)), none());
    // An instance that finds records is part of no first start.
    let mut history = History::default();
    history.record_first_start();
    history.load(Span {
        pool: "other".into(),
        ..span("v1", at(100))
    });
    history.observe(at(200), &roster(&[Some("v1")]));
    expect_that!(sole(&history, at(219)), none());
}

/// A pool without servers begins no streams, so that only the next servers count.
#[gtest]
fn a_pool_that_was_empty_for_a_while_keeps_its_version() {
    let mut history = History::default();
    history.load(span("v1", at(100)));
    let mut roster = roster(&[Some("v1")]);
    history.observe(at(200), &roster);
    roster.remove(base::Tick::default() + LAPSE_GRACE, &"i-0".into());
    history.observe(at(201), &roster);
    roster.insert(server("i-1", Some("v1")), 1);
    history.observe(at(202), &roster);
    expect_that!(sole(&history, at(202)), some(eq("v1")));
}

#[gtest]
fn a_change_is_unsaved_until_just_this_change_was_written() {
    let pool = Name::from("pool");
    let mut history = History::default();
    history.observe(at(200), &roster(&[Some("v1")]));
    let first = history.get(&pool).cloned().unwrap();
    history.observe(at(201), &roster(&[Some("v1"), Some("v2")]));
    history.record_saved(&first);
    expect_that!(history.unsaved().len(), eq(1));
    let second = history.get(&pool).cloned().unwrap();
    history.record_saved(&second);
    expect_that!(history.unsaved().len(), eq(0));
    // A store that was restored may lack it.
    history.record_store_restored();
    expect_that!(history.unsaved().len(), eq(1));
}

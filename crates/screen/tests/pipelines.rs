//! Attainment, burn and refusals by pipeline; load and cost by stage.

use base::Stamp;
use googletest::prelude::*;
use member::fact::{Burn, Count, Domain, Stage, Stages, Tally};
use screen::{Screen, configs};

/// The current period, for which sums are sealed too.
const NOW: u64 = 24;
/// Seconds in an hour.
const HOUR: u64 = 3_600;

fn count(good: u64, late: u64, refused: u64) -> Count {
    Count {
        good,
        late,
        refused,
    }
}

fn sealed(name: &str, version: u64) -> Domain {
    Domain {
        name: name.into(),
        version,
        ..Domain::default()
    }
}

fn tally(name: &str, short: Count, long: Count) -> Tally {
    Tally {
        domain: name.into(),
        version: NOW,
        burns: vec![Burn {
            pipeline: "brief".into(),
            allowed: 10_000,
            short,
            long,
        }],
        stages: vec![Stages {
            pipeline: "brief".into(),
            stages: vec![Stage {
                name: "write".into(),
                busy: HOUR,
                cost: 1_250,
            }],
        }],
        unheard: 0,
    }
}

fn good(name: &str) -> Tally {
    tally(name, count(1, 0, 0), count(1, 0, 0))
}

fn show(domains: &[Domain], tallies: &[Tally]) -> String {
    let mut screen = Screen::new(configs::screen::Screen::default());
    domains
        .iter()
        .for_each(|domain| screen.insert_summary(domain));
    tallies.iter().for_each(|tally| screen.insert_tally(tally));
    let now = Stamp::from_millis(NOW * 10_000 + 1);
    screen.view(now).expect("a failure domain is known").body
}

/// Shows failure domains that sealed both a summary and sums in the current period.
fn body(tallies: &[Tally]) -> String {
    let domains: Vec<Domain> = tallies
        .iter()
        .map(|tally| sealed(tally.domain.as_str(), NOW))
        .collect();
    show(&domains, tallies)
}

#[gtest]
fn burn_of_both_windows_is_summed_over_domains() {
    let body = body(&[
        tally("accra-1", count(90, 0, 0), count(990, 0, 10)),
        tally("accra-2", count(8, 1, 1), count(990, 10, 0)),
    ]);
    let row = "<tr><td>brief<td>99.00%<td>98.00%<td>2.00<td>1<td>99.00%<td>1.00<td>10<td>10\n";
    expect_that!(body, contains_substring(row));
    expect_that!(body, not(contains_substring("Without")));
}

#[gtest]
fn a_row_is_marked_where_both_windows_burn_at_the_rate_of_the_alarm() {
    let marked = |short, long| body(&[tally("accra-1", short, long)]).contains("<tr class=bad>");
    let (good, bad) = (count(100, 0, 0), count(0, 0, 100));
    expect_that!(marked(bad, bad), eq(true));
    expect_that!(marked(good, bad), eq(false));
    expect_that!(marked(bad, good), eq(false));
    let rate = burn::Config::default().alarms[0].rate;
    // With an objective of 99%, this many missed requests of 10,000 give exactly the rate.
    let missed = (rate * 100.0) as u64;
    let at = count(10_000 - missed, 0, missed);
    let below = count(10_001 - missed, 0, missed - 1);
    expect_that!(marked(at, at), eq(true));
    expect_that!(marked(below, below), eq(false));
}

#[gtest]
fn no_requests_burn_nothing_and_an_unknown_objective_is_shown() {
    let mut tally = tally("accra-1", Count::default(), count(1, 0, 0));
    let row = "<td>no requests<td>0.00<td>0<td>100.00%<td>0.00";
    expect_that!(body(&[tally.clone()]), contains_substring(row));
    tally.burns[0].allowed = 0;
    let unknown_row = "<tr><td>brief<td>unknown<td>no requests<td>unknown";
    expect_that!(body(&[tally]), contains_substring(unknown_row));
}

#[gtest]
fn stages_are_summed_over_domains_in_the_stated_units() {
    let mut second = good("accra-2");
    second.stages[0].stages[0].busy = HOUR / 2;
    let body = body(&[good("accra-1"), second]);
    let row = "<td>brief<td>write<td>1.50<td>2.50\n";
    expect_that!(body, contains_substring(row));
    expect_that!(body, contains_substring("cost: operators' units"));
    expect_that!(body, contains_substring("load: calls that backend servers"));
}

/// Adding up sums of different periods would give a figure that belongs to no period.
#[gtest]
fn sums_of_another_period_are_omitted_and_their_domain_is_named() {
    let mut old = good("accra-2");
    old.version -= Tally::INTERVAL_PERIODS;
    let body = body(&[good("accra-1"), old]);
    expect_that!(body, contains_substring("<td>write<td>1.00<td>1.25\n"));
    let without = "<p class=bad>Without accra-2</p>";
    expect_that!(body.matches(without).count(), eq(2));
}

#[gtest]
fn sums_of_a_domain_that_was_not_heard_are_omitted() {
    // The second domain sealed its sums for the period shown, but its summary of that period is missing.
    let mut tallies = [good("accra-1"), good("accra-2")];
    let shown = NOW - configs::screen::Screen::default().max_lag_periods;
    tallies[0].version = Tally::version_at(shown);
    tallies[1].version = Tally::version_at(shown);
    let body = show(&[sealed("accra-1", shown)], &tallies);
    expect_that!(body, contains_substring("Not heard: accra-2"));
    expect_that!(body, contains_substring("<td>write<td>1.00<td>1.25\n"));
    let without = "<p class=bad>Without accra-2</p>";
    expect_that!(body.matches(without).count(), eq(2));
}

#[gtest]
fn instances_not_heard_are_named_beside_the_sums() {
    let mut tally = good("accra-1");
    tally.unheard = 3;
    let missing = "<p class=bad>Without 3 instances of accra-1</p>";
    expect_that!(body(&[tally]).matches(missing).count(), eq(2));
}

//! Equal numbers show equal content, and missing failure domains are marked.

use base::{Digest, Stamp};
use googletest::prelude::*;
use member::fact::{Burn, Count, Domain, Pool, Position, Stage, Stages, Tally};
use proptest::{
    prelude::{Just, ProptestConfig, Strategy as _, any, prop, proptest},
    test_runner::RngSeed,
};
use screen::{Screen, View, configs};

const NAMES: [&str; 3] = ["accra-1", "accra-2", "accra-3"];
/// The current period.
const NOW: u64 = 20;

fn sealed(name: &str, version: u64) -> Domain {
    let running = u32::try_from(version).unwrap_or_default() * 7;
    Domain {
        name: name.into(),
        version,
        pools: vec![Pool {
            name: "brief-writer".into(),
            live: 5,
            running,
            ..Pool::default()
        }],
        count: 2,
        positions: vec![Position {
            offset: 44,
            digest: Digest::of(b"bundle"),
        }],
        ..Domain::default()
    }
}

fn tally(name: &str, period: u64) -> Tally {
    let version = Tally::version_at(period);
    Tally {
        domain: name.into(),
        version,
        burns: vec![Burn {
            pipeline: "brief".into(),
            short: Count {
                good: version,
                ..Count::default()
            },
            ..Burn::default()
        }],
        stages: vec![Stages {
            pipeline: "brief".into(),
            stages: vec![Stage {
                name: "write".into(),
                busy: version * 36,
                cost: version,
            }],
        }],
        unheard: 0,
    }
}

fn open() -> Screen {
    Screen::new(configs::screen::Screen::default())
}

fn view(screen: &Screen) -> View {
    screen
        .view(Stamp::from_millis(NOW * 10_000 + 1))
        .expect("a failure domain is known")
}

#[gtest]
fn the_latest_complete_period_is_shown() {
    let mut screen = open();
    for name in NAMES {
        screen.insert_summary(&sealed(name, NOW - 1));
    }
    screen.insert_summary(&sealed(NAMES[0], NOW));
    expect_that!(view(&screen).number.period, eq(NOW - 1));
    expect_that!(view(&screen).body, not(contains_substring("NOT HEARD")));
    expect_that!(
        view(&screen).body,
        contains_substring("in force everywhere")
    );
}

/// Other instances may not have the newest summaries yet, and would show another number.
#[gtest]
fn a_settled_period_is_preferred_to_a_newer_one() {
    let mut screen = open();
    for period in NOW - 3..=NOW {
        for name in NAMES {
            screen.insert_summary(&sealed(name, period));
        }
    }
    expect_that!(view(&screen).number.period, eq(NOW - 2));
}

#[gtest]
fn a_domain_not_heard_is_marked_and_its_old_figures_are_not_shown() {
    let mut screen = open();
    for period in NOW - 6..=NOW {
        screen.insert_summary(&sealed(NAMES[0], period));
    }
    screen.insert_summary(&sealed(NAMES[1], NOW - 5));
    let view = view(&screen);
    expect_that!(view.number.period, eq(NOW - 4));
    expect_that!(view.body.matches("NOT HEARD").count(), eq(1));
    expect_that!(view.body, contains_substring("Not heard: accra-2"));
    expect_that!(view.body.matches("brief-writer").count(), eq(1));
    expect_that!(view.body, not(contains_substring("in force everywhere")));
}

#[gtest]
fn a_domain_never_heard_is_marked() {
    let mut screen = open();
    for period in NOW - 6..=NOW {
        screen.insert_summary(&sealed(NAMES[0], period));
    }
    screen.add_domain(&NAMES[2].into());
    expect_that!(view(&screen).body, contains_substring("Not heard: accra-3"));
    expect_that!(view(&screen).body.matches("NOT HEARD").count(), eq(1));
}

#[gtest]
fn leaving_instances_and_servers_are_marked() {
    let mut screen = open();
    let mut domain = sealed(NAMES[0], NOW);
    screen.insert_summary(&domain);
    expect_that!(view(&screen).body, not(contains_substring("class=leaving")));
    domain.name = NAMES[1].into();
    domain.leaving = 1;
    domain.pools[0].leaving = 3;
    screen.insert_summary(&domain);
    let body = view(&screen).body;
    expect_that!(body, contains_substring("<b class=leaving>1 leaving</b>"));
    expect_that!(
        body,
        contains_substring("<tr class=leaving><td>brief-writer")
    );
    expect_that!(body.matches("class=leaving").count(), eq(2));
}

#[gtest]
fn names_are_escaped() {
    let mut screen = open();
    screen.insert_summary(&sealed("<script>", NOW));
    expect_that!(view(&screen).body, not(contains_substring("<script>")));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Two screens receive subsets of the same summaries, in different orders and with repeats.
    #[test]
    fn equal_numbers_show_equal_content(
        heard in prop::collection::vec((0..3_usize, 10..=NOW, any::<bool>(), any::<bool>()), 0..60),
        order in Just((0..60).collect::<Vec<usize>>()).prop_shuffle(),
    ) {
        let (mut one, mut two) = (open(), open());
        for name in NAMES {
            one.add_domain(&name.into());
            two.add_domain(&name.into());
        }
        for (name, period, first, _) in &heard {
            if *first {
                one.insert_summary(&sealed(NAMES[*name], *period));
                one.insert_tally(&tally(NAMES[*name], *period));
            }
        }
        for at in order.into_iter().filter(|at| *at < heard.len()) {
            let (name, period, _, second) = heard[at];
            if second {
                two.insert_summary(&sealed(NAMES[name], period));
                two.insert_tally(&tally(NAMES[name], period));
            }
        }
        let (one, two) = (view(&one), view(&two));
        let equal = one.number.to_string() == two.number.to_string();
        proptest::prop_assert_eq!(equal, one.body == two.body && one.period_start == two.period_start);
    }
}

//! Screens at instances of two failure domains, before, during and after a network partition.

use std::{collections::BTreeMap, time::Duration};

use base::Stamp;
use googletest::prelude::*;
use member::{
    Event, Fact,
    fact::{Stage, Stages},
};
use screen::{Screen, View, configs};

#[path = "../../member/tests/simulation/mod.rs"]
mod simulation;

use simulation::Simulation;

const SECOND: Duration = Duration::from_secs(1);
const DOMAINS: usize = 2;
const NODES: usize = 6;
/// The number of runs, each with other times at which instances act.
const SEEDS: u64 = 8;
/// The minimum number of seconds, out of 100, in which all screens show the same number.
const MIN_AGREED_SECONDS: u64 = 90;

fn stages(node: u64) -> Event {
    let stage = Stage {
        name: "write".into(),
        busy: node * 36,
        cost: node,
    };
    Event::Publish(Fact::Stages(Stages {
        pipeline: "brief".into(),
        stages: vec![stage],
    }))
}

/// A screen for each instance.
struct Screens {
    world: Simulation,
    screens: Vec<Screen>,
    /// The content shown under each number so far.
    shown: BTreeMap<String, String>,
}

impl Screens {
    fn new(seed: u64) -> Self {
        let screen = Screen::new(configs::screen::Screen::default());
        let mut world = Simulation::new(seed, DOMAINS, NODES, 12);
        for node in 0..NODES {
            world.dispatch(node, stages(node as u64));
        }
        Self {
            world,
            screens: vec![screen; NODES],
            shown: BTreeMap::new(),
        }
    }

    /// Runs for some seconds and returns in how many of them all screens showed the same number.
    fn run(&mut self, seconds: u64) -> u64 {
        let mut equal = 0;
        for _ in 0..seconds {
            self.world.run(SECOND);
            let views: Vec<View> = (0..NODES).filter_map(|at| self.update(at)).collect();
            for view in &views {
                let body = self
                    .shown
                    .entry(view.number.to_string())
                    .or_insert(view.body.clone());
                expect_that!(body.as_str(), eq(view.body.as_str()));
            }
            let is_same = |view: &View| view.number == views[0].number;
            equal += u64::from(views.len() == NODES && views.iter().all(is_same));
        }
        equal
    }

    fn update(&mut self, at: usize) -> Option<View> {
        let view = self.world.nodes[at].roster.view(self.world.now);
        for domain in view.own.iter().chain(&view.domains) {
            self.screens[at].insert_summary(&domain.summary);
        }
        for tally in &view.tallies {
            self.screens[at].insert_tally(tally);
        }
        self.screens[at].view(self.now())
    }

    fn now(&self) -> Stamp {
        self.world.stamp()
    }
}

#[gtest]
fn screens_agree_before_and_after_a_partition() {
    (0..SEEDS).for_each(agree);
}

fn agree(seed: u64) {
    let mut screens = Screens::new(seed);
    screens.run(60);
    let before = screens.run(100);
    expect_that!(before, ge(MIN_AGREED_SECONDS), "seed {seed}");
    screens.world.partitions = screens
        .world
        .nodes
        .iter()
        .map(|node| u8::from(node.domain == 1))
        .collect();
    screens.run(60);
    for (at, other) in [(0, "domain-1"), (1, "domain-0")] {
        let view = screens.update(at).expect("a view");
        let not_heard = format!("Not heard: {other}");
        expect_that!(view.body, contains_substring(not_heard));
        let without = format!("<p class=bad>Without {other}</p>");
        expect_that!(view.body.matches(&without).count(), eq(2));
    }
    screens.world.partitions = vec![0; NODES];
    screens.run(40);
    let after = screens.run(100);
    let complete_row = "<td>brief<td>write<td>0.15<td>0.01";
    let view = screens.update(0).expect("a view");
    expect_that!(view.body, contains_substring(complete_row), "seed {seed}");
    expect_that!(after, ge(MIN_AGREED_SECONDS), "seed {seed}");
    println!(
        "seed {seed}, seconds of 100 in which all screens showed one number: {before} before, {after} after the cut"
    );
}

//! Screens at instances of two failure domains, through a cut and its healing.

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
/// Runs with other moments at which instances act.
const SEEDS: u64 = 8;
/// Seconds of 100 in which all screens have to show one number.
const AGREED: u64 = 90;

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

/// A screen at each instance.
struct Wall {
    world: Simulation,
    screens: Vec<Screen>,
    /// What was ever shown under each number.
    shown: BTreeMap<String, String>,
}

impl Wall {
    fn new(seed: u64) -> Self {
        let screen = Screen::open(configs::screen::Screen::default());
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

    /// Runs for some seconds, and returns in how many all screens showed one number.
    fn run(&mut self, seconds: u64) -> u64 {
        let mut equal = 0;
        for _ in 0..seconds {
            self.world.run(SECOND);
            let views: Vec<View> = (0..NODES).filter_map(|at| self.look(at)).collect();
            for view in &views {
                let body = self
                    .shown
                    .entry(view.number.to_string())
                    .or_insert(view.body.clone());
                expect_that!(body.as_str(), eq(view.body.as_str()));
            }
            let same = |view: &View| view.number == views[0].number;
            equal += u64::from(views.len() == NODES && views.iter().all(same));
        }
        equal
    }

    fn look(&mut self, at: usize) -> Option<View> {
        let seen = self.world.nodes[at].roster.view(self.world.now);
        for domain in seen.own.iter().chain(&seen.domains) {
            self.screens[at].take(&domain.summary);
        }
        for tally in &seen.tallies {
            self.screens[at].take_tally(tally);
        }
        self.screens[at].view(self.now())
    }

    fn now(&self) -> Stamp {
        self.world.stamp()
    }
}

#[gtest]
fn screens_agree_through_a_cut_and_its_healing() {
    (0..SEEDS).for_each(agree);
}

fn agree(seed: u64) {
    let mut wall = Wall::new(seed);
    wall.run(60);
    let before = wall.run(100);
    expect_that!(before, ge(AGREED), "seed {seed}");
    wall.world.partitions = wall
        .world
        .nodes
        .iter()
        .map(|node| u8::from(node.domain == 1))
        .collect();
    wall.run(60);
    for (at, other) in [(0, "domain-1"), (1, "domain-0")] {
        let view = wall.look(at).expect("a view");
        let mark = format!("Not heard: {other}");
        expect_that!(view.body, contains_substring(mark));
        let without = format!("<p class=bad>Without {other}</p>");
        expect_that!(view.body.matches(&without).count(), eq(2));
    }
    wall.world.partitions = vec![0; NODES];
    wall.run(40);
    let after = wall.run(100);
    let whole = "<td>brief<td>write<td>0.15<td>0.01";
    let view = wall.look(0).expect("a view");
    expect_that!(view.body, contains_substring(whole), "seed {seed}");
    expect_that!(after, ge(AGREED), "seed {seed}");
    println!(
        "seed {seed}, seconds of 100 in which all screens showed one number: {before} before, {after} after the cut"
    );
}

//! Rate limits of client accounts over several entry instances.

use admit::limit::{Limits, Peer};
use base::{Name, Tick};
use googletest::prelude::*;

const RATE: f64 = 100.0;
const BURST: u32 = 20;
const STEP_MS: u64 = 5;

struct Simulation {
    instances: Vec<(Name, Limits)>,
    now: u64,
}

impl Simulation {
    fn new(domains: &[&str]) -> Self {
        let limits = |domain: &&str| {
            let mut limits = Limits::default();
            limits.set(&"press".into(), RATE, BURST);
            (Name::from(*domain), limits)
        };
        let mut sim = Self {
            instances: domains.iter().map(limits).collect(),
            now: 0,
        };
        sim.exchange(|_, _| true);
        sim
    }

    fn exchange(&mut self, is_reachable: impl Fn(usize, usize) -> bool) {
        let now = Tick::from_millis(self.now);
        let demands: Vec<_> = self
            .instances
            .iter_mut()
            .map(|(domain, limits)| (domain.clone(), limits.demands(now)))
            .collect();
        for at in 0..self.instances.len() {
            let peers: Vec<Peer> = (0..demands.len())
                .filter(|other| *other != at)
                .map(|other| Peer {
                    domain: demands[other].0.clone(),
                    is_reachable: is_reachable(at, other),
                    demands: demands[other].1.clone(),
                })
                .collect();
            let (domain, limits) = &mut self.instances[at];
            limits.rebalance(now, &domain.clone(), &peers);
        }
    }

    /// Sends requests to the instances at a fixed rate and returns how many each of them admitted.
    fn run(
        &mut self,
        seconds: u64,
        per_step: &[u32],
        is_reachable: impl Fn(usize, usize) -> bool,
    ) -> Vec<u32> {
        let mut admitted = vec![0; self.instances.len()];
        let end = self.now + seconds * 1_000;
        while self.now < end {
            self.now += STEP_MS;
            for (at, count) in per_step.iter().enumerate() {
                for _ in 0..*count {
                    let limits = &mut self.instances[at].1;
                    let result = limits.try_acquire(Tick::from_millis(self.now), &"press".into());
                    admitted[at] += u32::from(result.is_ok());
                }
            }
            if self.now.is_multiple_of(500) {
                self.exchange(&is_reachable);
            }
        }
        admitted
    }
}

#[gtest]
fn the_limit_holds_over_all_instances() {
    let mut sim = Simulation::new(&["a", "a", "b", "b", "c", "c", "d", "d"]);
    sim.run(5, &[1; 8], |_, _| true);
    let admitted: u32 = sim.run(10, &[1; 8], |_, _| true).iter().sum();
    expect_that!(admitted, all!(ge(950), le(1_050)));
}

#[gtest]
fn shares_follow_the_demand() {
    let mut sim = Simulation::new(&["a", "a", "b", "b"]);
    let load = [4, 0, 0, 0];
    sim.run(10, &load, |_, _| true);
    let admitted = sim.run(10, &load, |_, _| true);
    expect_that!(admitted[0], all!(ge(800), le(1_000)));
}

#[gtest]
fn an_isolated_domain_keeps_its_fixed_share() {
    let mut sim = Simulation::new(&["a", "a", "b", "b", "c", "c", "d", "d"]);
    sim.run(5, &[1; 8], |_, _| true);
    let partition = |at: usize, other: usize| (at < 2) == (other < 2);
    sim.run(2, &[1; 8], partition);
    let admitted = sim.run(10, &[1; 8], partition);
    let inside: u32 = admitted[..2].iter().sum();
    let outside: u32 = admitted[2..].iter().sum();
    expect_that!(inside, all!(ge(230), le(270)));
    expect_that!(inside + outside, all!(ge(950), le(1_050)));
}

#[gtest]
fn an_isolated_instance_uses_one_instances_part_of_its_domain() {
    let mut sim = Simulation::new(&["a", "a", "b", "b"]);
    let isolated = |at: usize, other: usize| at != 0 && other != 0;
    sim.run(5, &[1; 4], isolated);
    let admitted = sim.run(10, &[1; 4], isolated);
    expect_that!(admitted[0], all!(ge(230), le(270)));
    expect_that!(admitted.iter().sum::<u32>(), all!(ge(950), le(1_300)));
}

#[gtest]
fn one_burst_is_admitted_after_a_pause() {
    let mut sim = Simulation::new(&["a"]);
    sim.now = 10_000;
    let now = Tick::from_millis(sim.now);
    let limits = &mut sim.instances[0].1;
    let admitted = (0..100)
        .filter(|_| limits.try_acquire(now, &"press".into()).is_ok())
        .count();
    expect_that!(admitted, eq(BURST as usize));
}

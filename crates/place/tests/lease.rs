//! At most one instance holds the lease at a time, and none while an order of another may still take effect.

use core::time::Duration;

use base::{Incarnation, Stamp, Tick};
use googletest::prelude::*;
use place::{
    configs,
    lease::{Action, Event, Lease},
};
use proptest::{collection, prelude::*, test_runner::Config, test_runner::RngSeed};

/// An instance with its pending append and read.
struct Candidate {
    lease: Lease,
    append: Option<String>,
    read: Option<u64>,
    is_paused: bool,
}

#[derive(Default)]
struct Simulation {
    time: Duration,
    log: Vec<String>,
    delayed: Vec<String>,
    candidates: Vec<Candidate>,
    /// The last instance that held the lease, and when.
    last: Option<(usize, Duration)>,
    holders: Vec<usize>,
}

impl Simulation {
    fn new(count: usize) -> Self {
        let mut sim = Self::default();
        for index in 0..count {
            sim.candidates.push(candidate(index, 0));
        }
        sim
    }

    fn now(&self, index: usize) -> Tick {
        // Each clock has its own origin.
        Tick::from_millis(1_000 * index as u64) + self.time
    }

    fn step(&mut self, choice: u32) {
        let rest = (choice >> 8) as usize;
        let index = rest % self.candidates.len();
        match choice % 32 {
            0..=15 => self.run(index),
            16..=22 => self.time += Duration::from_millis(rest as u64 % 2_000),
            23 => self.time += Duration::from_secs(20),
            24 => self.candidates[index].is_paused = true,
            25..=26 => self.candidates[index].is_paused = false,
            27 if rest.is_multiple_of(2) => self.fail_read(index),
            27 => self.fail_append(index, rest),
            28 => self.event(index, Event::Tick),
            29 if !self.delayed.is_empty() => {
                let at = rest % self.delayed.len();
                self.log.push(self.delayed.swap_remove(at));
            }
            30 if rest.is_multiple_of(8) => self.restart(index),
            31 => self.candidates[index].lease.set_wanted(rest % 4 < 3),
            _ => self.run(index),
        }
        self.check_overlap();
    }

    fn run(&mut self, index: usize) {
        if self.candidates[index].is_paused {
            return;
        }
        if let Some(body) = self.candidates[index].append.take() {
            self.log.push(body);
            self.event(index, Event::Appended);
        } else if let Some(from) = self.candidates[index].read.take() {
            let records = (from..).zip(self.log[usize::try_from(from).unwrap()..].iter().cloned());
            let page = Event::Page {
                first: 0,
                end: self.log.len() as u64,
                records: records.take(3).collect(),
            };
            self.event(index, page);
        } else {
            self.event(index, Event::Tick);
        }
    }

    fn event(&mut self, index: usize, event: Event) {
        if self.candidates[index].is_paused {
            return;
        }
        let now = self.now(index);
        for action in self.candidates[index].lease.handle(now, event) {
            match action {
                Action::Append { body } => self.candidates[index].append = Some(body),
                Action::Read { from } => self.candidates[index].read = Some(from),
            }
        }
    }

    fn fail_append(&mut self, index: usize, rest: usize) {
        if self.candidates[index].is_paused {
            return;
        }
        let Some(body) = self.candidates[index].append.take() else {
            return;
        };
        match rest % 4 {
            0 => return self.event(index, Event::AppendRefused),
            1 => self.log.push(body),
            2 => self.delayed.push(body),
            _ => {
                self.log.push(body.clone());
                self.delayed.push(body);
            }
        }
        self.event(index, Event::AppendUnanswered);
    }

    fn fail_read(&mut self, index: usize) {
        let candidate = &mut self.candidates[index];
        if !candidate.is_paused && candidate.read.take().is_some() {
            self.event(index, Event::ReadFailed);
        }
    }

    fn restart(&mut self, index: usize) {
        self.delayed.extend(self.candidates[index].append.take());
        let start_ms = self.time.as_millis().try_into().unwrap();
        self.candidates[index] = candidate(index, start_ms);
    }

    fn check_overlap(&mut self) {
        for index in 0..self.candidates.len() {
            // A paused holder checks its lease when it resumes, which is now at the earliest.
            if self.candidates[index]
                .lease
                .fence(self.now(index))
                .is_none()
            {
                continue;
            }
            if let Some((last, at)) = self.last
                && last != index
            {
                let gap = self.time - at;
                assert!(
                    gap >= configs::Lease::default().order_limit,
                    "{last} {index} {gap:?}"
                );
            }
            if self.last.is_none_or(|(last, _)| last != index) {
                self.holders.push(index);
            }
            self.last = Some((index, self.time));
        }
    }
}

fn candidate(index: usize, start_ms: u64) -> Candidate {
    let holder = Incarnation::new(format!("entry-{index}"), Stamp::from_millis(start_ms));
    Candidate {
        lease: Lease::new(configs::Lease::default(), holder, true),
        append: None,
        read: None,
        is_paused: false,
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    })]

    #[test]
    fn holders_never_overlap(
        count in 2..4_usize,
        choices in collection::vec(any::<u32>(), 1..2_000),
    ) {
        let mut sim = Simulation::new(count);
        for choice in choices {
            sim.step(choice);
        }
    }
}

/// Runs some candidates for a number of seconds.
fn run(sim: &mut Simulation, indexes: &[usize], seconds: u64) {
    for _ in 0..seconds * 10 {
        for index in indexes {
            for _ in 0..3 {
                sim.run(*index);
            }
        }
        sim.time += Duration::from_millis(100);
        sim.check_overlap();
    }
}

fn fence(sim: &Simulation, index: usize) -> Option<u64> {
    sim.candidates[index].lease.fence(sim.now(index))
}

#[gtest]
fn a_holder_renews_before_its_term_ends() {
    let mut sim = Simulation::new(1);
    run(&mut sim, &[0], 1);
    let first = fence(&sim, 0);
    expect_that!(first, some(eq(0)));
    run(&mut sim, &[0], 60);
    expect_that!(fence(&sim, 0), gt(first));
    // One record every 20 s.
    expect_that!(sim.log.len(), eq(4));
}

#[gtest]
fn a_resumed_holder_has_no_lease_and_its_fencing_token_is_lower() {
    let mut sim = Simulation::new(2);
    run(&mut sim, &[0, 1], 10);
    let old = fence(&sim, 0);
    assert_that!(old, some(anything()));
    sim.candidates[0].is_paused = true;
    run(&mut sim, &[1], 80);
    let new = fence(&sim, 1);
    expect_that!(new, gt(old));
    sim.candidates[0].is_paused = false;
    expect_that!(fence(&sim, 0), none());
    run(&mut sim, &[0, 1], 60);
    expect_that!(fence(&sim, 0), none());
    expect_that!(fence(&sim, 1), ge(new));
    expect_that!(sim.holders, elements_are![eq(&0), eq(&1)]);
}

#[gtest]
fn a_holder_without_access_to_the_log_stops_at_the_end_of_its_term() {
    let mut sim = Simulation::new(1);
    run(&mut sim, &[0], 1);
    run(&mut sim, &[], 28);
    expect_that!(fence(&sim, 0), some(anything()));
    run(&mut sim, &[], 2);
    expect_that!(fence(&sim, 0), none());
}

#[gtest]
fn a_holder_loses_the_lease_if_unread_records_were_truncated() {
    let mut sim = Simulation::new(1);
    run(&mut sim, &[0], 1);
    let gap = Event::Page {
        first: 9,
        end: 9,
        records: Vec::new(),
    };
    sim.event(0, gap);
    expect_that!(fence(&sim, 0), none());
}

#[gtest]
fn of_two_concurrent_records_the_first_in_the_log_gets_the_lease() {
    let mut sim = Simulation::new(2);
    for index in [0, 1, 0, 1] {
        // Both read an empty log and then append.
        sim.run(index);
    }
    assert_that!(sim.candidates[0].append, some(anything()));
    assert_that!(sim.candidates[1].append, some(anything()));
    run(&mut sim, &[1, 0], 60);
    expect_that!(sim.holders, elements_are![eq(&1)]);
    expect_that!(fence(&sim, 1), some(anything()));
}

#[gtest]
fn a_record_read_late_is_not_dated_by_a_later_append() {
    let mut sim = Simulation::new(1);
    sim.run(0);
    sim.run(0);
    // The first append takes effect without an answer, and the log cannot be read for a long time.
    let first = sim.candidates[0].append.take();
    sim.log.extend(first);
    sim.event(0, Event::AppendUnanswered);
    for _ in 0..25 {
        sim.time += Duration::from_secs(1);
        sim.fail_read(0);
        if sim.candidates[0].append.take().is_some() {
            sim.event(0, Event::AppendRefused);
        }
        sim.event(0, Event::Tick);
    }
    sim.candidates[0].read = Some(0);
    let records = vec![(0, sim.log[0].clone())];
    let page = Event::Page {
        first: 0,
        end: 1,
        records,
    };
    sim.event(0, page);
    expect_that!(fence(&sim, 0), none());
}

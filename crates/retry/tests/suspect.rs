//! Contents that crash servers are refused, and innocent contents are cleared.

use base::{Digest, Tick};
use googletest::prelude::*;
use member::fact::{Id, Suspect};
use proptest::{
    prelude::{ProptestConfig, Strategy, prop, proptest},
    test_runner::RngSeed,
};
use retry::{
    Arbiter, Registry,
    arbiter::{Decision, Trial},
    configs,
    suspect::{CRASH_LIMIT, Outcome, Verdict},
};

mod domain;

use domain::{Domain, Routing};

/// Number of contents, of which the first crashes servers.
const CONTENTS: usize = 6;
const POISON: usize = 0;
const INSTANCES: usize = 4;
const SERVERS: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(usize, usize),
    Attempt(usize),
    Deliver,
    Finish(usize),
    Settle,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = proptest::prop_oneof![
        4 => (0..INSTANCES, 0..CONTENTS).prop_map(|(instance, content)| Step::Arrive(instance, content)),
        4 => (0..64_usize).prop_map(Step::Attempt),
        3 => (0..64_usize).prop_map(Step::Finish),
        2 => proptest::prelude::Just(Step::Deliver),
        1 => proptest::prelude::Just(Step::Settle),
    ];
    prop::collection::vec(step, 1..120)
}

fn apply(domain: &mut Domain, step: Step) {
    match step {
        Step::Arrive(instance, content) => domain.arrive(instance, content),
        Step::Attempt(pick) => domain.attempt(pick),
        Step::Deliver => domain.deliver(),
        Step::Finish(pick) => domain.finish(pick),
        Step::Settle => domain.settle(),
    }
}

/// Uses the same cases in each run; `PROPTEST_CASES` sets their number.
fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

fn domain(routing: Routing) -> Domain {
    Domain::new(routing, INSTANCES, SERVERS, CONTENTS, POISON + 1)
}

#[gtest]
fn a_resent_poison_crashes_two_servers() {
    let mut domain = domain(Routing::Free);
    for number in 0..20 {
        domain.arrive(number, POISON);
        domain.drain();
    }
    expect_that!(domain.lost[POISON], eq(CRASH_LIMIT));
    expect_that!(domain.refused[POISON], eq(20));
    expect_that!(
        (0..INSTANCES)
            .map(|at| domain.verdict(at, POISON))
            .collect::<Vec<_>>(),
        each(eq(&Verdict::Refused))
    );
}

#[gtest]
fn without_candidates_concurrent_copies_crash_one_server_each() {
    let mut domain = domain(Routing::Free);
    for instance in 0..INSTANCES {
        domain.arrive(instance, POISON);
        domain.attempt(instance);
    }
    domain.drain();
    expect_that!(domain.lost[POISON], eq(INSTANCES));
}

#[gtest]
fn with_candidates_concurrent_copies_crash_two_servers() {
    let mut domain = domain(Routing::Candidates);
    for instance in 0..INSTANCES {
        domain.arrive(instance, POISON);
        domain.attempt(instance);
    }
    domain.drain();
    expect_that!(domain.lost[POISON], eq(CRASH_LIMIT));
}

/// Guards against a permit for a third server while the harmful content still runs on a second one and the
/// first crash is already known.
#[gtest]
fn no_permit_is_granted_while_a_copy_still_runs() {
    let mut domain = domain(Routing::Candidates);
    domain.arrive(0, POISON);
    domain.attempt(0);
    domain.arrive(1, POISON);
    domain.attempt(1);
    domain.finish(0);
    domain.settle();
    domain.arrive(0, POISON);
    domain.drain();
    expect_that!(domain.lost[POISON], eq(CRASH_LIMIT));
}

/// An attempt of the owner itself blocks a permit although it is never reported to the owner.
#[gtest]
fn no_permit_is_granted_while_the_owner_runs_a_copy() {
    let mut registry = Registry::new(configs::suspect::Suspect::default());
    let mut arbiter = Arbiter::default();
    let digest = Digest::of(b"body");
    let suspect = Suspect {
        digest,
        crashed: vec![Id(1)],
        cleared: 0,
    };
    registry.record_start(digest, Id(2));
    registry.merge(Tick::default(), &suspect);
    let trial = Trial {
        suspect,
        holder: Id(9),
        server: Id(3),
    };
    let later = Tick::from_millis(500);
    let decision = arbiter.decide(later, &mut registry, &trial);
    expect_that!(matches!(decision, Decision::Busy(_)), eq(true));
    registry.record_end(later, digest, Id(2), Outcome::Other);
    let decision = arbiter.decide(later, &mut registry, &trial);
    expect_that!(matches!(decision, Decision::Granted(_)), eq(true));
}

proptest! {
    #![proptest_config(config())]

    /// In any order of arrivals, ends and messages, more than two servers are lost only to copies that started
    /// before the first crash became known, one server each.
    #[test]
    fn lost_servers_stay_within_the_limit(steps in steps()) {
        let mut domain = domain(Routing::Free);
        for step in steps {
            apply(&mut domain, step);
        }
        domain.settle();
        domain.drain();
        let bound = domain.unsuspected[POISON].len().max(CRASH_LIMIT);
        proptest::prop_assert!(domain.lost[POISON] <= bound);
    }

    /// With routing to the two candidates, the limit is two servers whatever runs concurrently.
    #[test]
    fn candidates_limit_lost_servers_to_two(steps in steps()) {
        let mut domain = domain(Routing::Candidates);
        for step in steps {
            apply(&mut domain, step);
        }
        domain.settle();
        domain.drain();
        proptest::prop_assert!(domain.lost[POISON] <= CRASH_LIMIT, "lost {}", domain.lost[POISON]);
    }

    /// With one copy of each content at a time, and messages that arrive before the next attempt, every request of
    /// an innocent content is answered, and the content does not stay suspect.
    #[test]
    fn innocent_contents_are_answered_and_cleared(steps in steps()) {
        let mut domain = domain(Routing::Free);
        let mut sent = [0; CONTENTS];
        for step in steps {
            match step {
                Step::Arrive(_, content) if domain.is_open(content) => {}
                Step::Arrive(_, content) => {
                    sent[content] += 1;
                    apply(&mut domain, step);
                }
                step => apply(&mut domain, step),
            }
            domain.settle();
        }
        domain.drain();
        for (content, sent) in sent.iter().enumerate().skip(POISON + 1) {
            proptest::prop_assert_eq!(domain.answered[content], *sent);
            for instance in 0..INSTANCES {
                proptest::prop_assert_eq!(domain.verdict(instance, content), Verdict::Allowed);
            }
        }
        proptest::prop_assert!(domain.lost[POISON] <= CRASH_LIMIT);
    }
}

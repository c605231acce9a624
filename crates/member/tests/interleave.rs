//! What holds whatever lists say, whoever is cut off and whoever restarts.

use std::{collections::BTreeSet, time::Duration};

use base::Incarnation;
use member::fact::State;
use proptest::{
    prelude::{Just, ProptestConfig, Strategy, prop, prop_assert, prop_assert_eq, proptest},
    test_runner::{RngSeed, TestCaseError},
};

mod world;

use world::{List, World};

const NODES: usize = 6;
const BACKENDS: usize = 12;
/// Time in which everybody has heard of everybody at the start.
const SETTLE: Duration = Duration::from_secs(15);
/// Time in which what happened last is known everywhere once nobody is cut off.
const KNOWN: Duration = Duration::from_secs(25);

#[derive(Clone, Copy, Debug)]
enum Step {
    Attempt(usize, usize),
    Cut(u8),
    Heal,
    Jump(usize, i64),
    Kill(usize),
    Leave(usize),
    List(List),
    Lose(u32),
    Renew(usize),
    Restart(usize),
    Run(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let list = proptest::sample::select(vec![
        List::Down,
        List::Empty,
        List::Frozen,
        List::Live,
        List::Stale,
    ]);
    let step = proptest::prop_oneof![
        2 => (0..NODES, 0..BACKENDS).prop_map(|(node, backend)| Step::Attempt(node, backend)),
        1 => (1..63_u8).prop_map(Step::Cut),
        1 => Just(Step::Heal),
        1 => (0..NODES, -4_000_000..4_000_000_i64).prop_map(|(node, millis)| Step::Jump(node, millis)),
        1 => (0..NODES).prop_map(Step::Kill),
        3 => (0..BACKENDS).prop_map(Step::Leave),
        2 => list.prop_map(Step::List),
        1 => (0..40_u32).prop_map(Step::Lose),
        2 => (0..BACKENDS).prop_map(Step::Renew),
        2 => (0..NODES).prop_map(Step::Restart),
        6 => (1..12_000_u64).prop_map(Step::Run),
    ];
    prop::collection::vec(step, 1..30)
}

/// What was seen so far, against which each later view is held.
#[derive(Default)]
struct Seen {
    /// Instance, its start, and a backend server that it showed as leaving.
    left: BTreeSet<(Incarnation, Incarnation)>,
    /// Instance, and a backend server that it showed.
    shown: BTreeSet<(Incarnation, Incarnation)>,
}

impl Seen {
    fn check(&mut self, world: &World) -> Result<(), TestCaseError> {
        for node in world.nodes.iter().filter(|node| node.up) {
            let own = node.own.incarnation.clone();
            let view = node.roster.view(world.now);
            let servers = view.pools.iter().flat_map(|pool| &pool.servers);
            for server in servers.clone() {
                let pair = (own.clone(), server.incarnation.clone());
                match server.state {
                    State::Leaving => self.left.insert(pair.clone()),
                    State::Live => {
                        prop_assert!(!self.left.contains(&pair), "live again: {pair:?}");
                        false
                    }
                };
                self.shown.insert(pair);
            }
            let names: BTreeSet<_> = servers
                .map(|server| server.incarnation.name.clone())
                .collect();
            for backend in world
                .backends
                .iter()
                .filter(|one| one.up && one.state == State::Live)
            {
                let pair = (own.clone(), backend.incarnation.clone());
                let kept = names.contains(&backend.incarnation.name);
                prop_assert!(kept || !self.shown.contains(&pair), "dropped: {pair:?}");
            }
        }
        Ok(())
    }
}

fn take(world: &mut World, step: Step) {
    match step {
        Step::Attempt(node, backend) if world.nodes[node].up => world.attempt(node, backend),
        Step::Attempt(..) => {}
        Step::Cut(mask) => world.sides = (0..NODES).map(|node| mask >> node & 1).collect(),
        Step::Heal => world.sides = vec![0; NODES],
        Step::Jump(node, millis) => world.nodes[node].ahead = millis,
        Step::Kill(node) => world.nodes[node].up = false,
        Step::Leave(backend) => world.backends[backend].state = State::Leaving,
        Step::List(List::Frozen) => world.freeze(),
        Step::List(list) => world.list = list,
        Step::Lose(share) => world.loss = share,
        Step::Renew(backend) => world.renew(backend),
        Step::Restart(node) => world.restart(node),
        Step::Run(millis) => world.run(Duration::from_millis(millis)),
    }
}

/// Ends cuts and losses, while the list stays as bad as it was, and gives time to know.
fn heal(world: &mut World) {
    world.loss = 0;
    world.sides = vec![0; NODES];
    if !world.nodes.iter().any(|node| node.up) {
        world.list = List::Live;
        world.restart(0);
    }
    world.run(KNOWN);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").map_or(48, |cases| cases.parse().unwrap_or(48)),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// At no moment does a leaving server become live again at an instance, nor is a live one dropped; and
    /// in the end each instance that knows a server knows whether its latest life is leaving.
    #[test]
    fn leaving_stays_and_live_is_kept(seed in 0..1_000_u64, domains in 1..3_usize, steps in steps()) {
        let mut world = World::new(seed, domains, NODES, BACKENDS);
        world.run(SETTLE);
        let mut seen = Seen::default();
        seen.check(&world)?;
        for step in steps {
            take(&mut world, step);
            seen.check(&world)?;
        }
        heal(&mut world);
        seen.check(&world)?;
        for node in world.nodes.iter().filter(|node| node.up) {
            let view = node.roster.view(world.now);
            for server in view.pools.iter().flat_map(|pool| &pool.servers) {
                let truth = world.backends.iter().find(|one| one.incarnation.name == server.incarnation.name);
                let truth = truth.expect("no server is made up");
                prop_assert_eq!(&truth.incarnation, &server.incarnation);
                prop_assert_eq!(truth.state, server.state);
            }
        }
    }

    /// With the list down, empty, frozen or stale and all peers dead, an instance keeps every server, even where
    /// none of them answers.
    #[test]
    fn a_bad_list_and_dead_peers_empty_no_pool(
        seed in 0..1_000_u64,
        list in 0..4_usize,
        minutes in 1..40_u64,
        silent: bool,
    ) {
        let mut world = World::new(seed, 1, 3, BACKENDS);
        world.run(SETTLE);
        world.freeze();
        world.list = [List::Down, List::Empty, List::Frozen, List::Stale][list];
        world.nodes[1].up = false;
        world.nodes[2].up = false;
        world.backends.iter_mut().for_each(|backend| backend.up = !silent);
        world.run(Duration::from_secs(minutes * 60));
        let view = world.nodes[0].roster.view(world.now);
        let live = view.pools.iter().flat_map(|pool| &pool.servers).filter(|server| server.state == State::Live);
        prop_assert_eq!(live.count(), BACKENDS);
    }
}

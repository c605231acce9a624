//! Invariants under wrong lists, partitions, restarts and lost messages.

use std::{collections::BTreeSet, time::Duration};

use base::Incarnation;
use member::fact::State;
use proptest::{
    prelude::{Just, ProptestConfig, Strategy, prop, prop_assert, prop_assert_eq, proptest},
    test_runner::{RngSeed, TestCaseError},
};

mod simulation;

use simulation::{List, Simulation};

const NODES: usize = 6;
const BACKENDS: usize = 12;
/// Time in which all instances know each other after the start.
const SETTLE: Duration = Duration::from_secs(15);
/// Time in which the latest state is known everywhere after all partitions have ended.
const CONVERGENCE: Duration = Duration::from_secs(25);

#[derive(Clone, Copy, Debug)]
enum Step {
    PollBackend(usize, usize),
    Partition(u8),
    Heal,
    SetClock(usize, i64),
    Kill(usize),
    Leave(usize),
    List(List),
    Lose(u32),
    RestartBackend(usize),
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
        2 => (0..NODES, 0..BACKENDS).prop_map(|(node, backend)| Step::PollBackend(node, backend)),
        1 => (1..63_u8).prop_map(Step::Partition),
        1 => Just(Step::Heal),
        1 => (0..NODES, -4_000_000..4_000_000_i64).prop_map(|(node, millis)| Step::SetClock(node, millis)),
        1 => (0..NODES).prop_map(Step::Kill),
        3 => (0..BACKENDS).prop_map(Step::Leave),
        2 => list.prop_map(Step::List),
        1 => (0..40_u32).prop_map(Step::Lose),
        2 => (0..BACKENDS).prop_map(Step::RestartBackend),
        2 => (0..NODES).prop_map(Step::Restart),
        6 => (1..12_000_u64).prop_map(Step::Run),
    ];
    prop::collection::vec(step, 1..30)
}

/// The servers that instances have shown so far, to compare with later views.
#[derive(Default)]
struct History {
    /// Instance, and a backend server that it showed as leaving.
    left: BTreeSet<(Incarnation, Incarnation)>,
    /// Instance, and a backend server that it showed.
    shown: BTreeSet<(Incarnation, Incarnation)>,
}

impl History {
    fn check(&mut self, simulation: &Simulation) -> Result<(), TestCaseError> {
        for node in simulation.nodes.iter().filter(|node| node.up) {
            let own = node.own.incarnation.clone();
            let view = node.roster.view(simulation.now);
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
            for backend in simulation
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

fn apply(simulation: &mut Simulation, step: Step) {
    match step {
        Step::PollBackend(node, backend) if simulation.nodes[node].up => {
            simulation.poll_backend(node, backend)
        }
        Step::PollBackend(..) => {}
        Step::Partition(mask) => {
            simulation.partitions = (0..NODES).map(|node| mask >> node & 1).collect()
        }
        Step::Heal => simulation.partitions = vec![0; NODES],
        Step::SetClock(node, millis) => simulation.nodes[node].clock_offset_ms = millis,
        Step::Kill(node) => simulation.nodes[node].up = false,
        Step::Leave(backend) => simulation.backends[backend].state = State::Leaving,
        Step::List(List::Frozen) => simulation.freeze(),
        Step::List(list) => simulation.list = list,
        Step::Lose(share) => simulation.loss_percent = share,
        Step::RestartBackend(backend) => simulation.restart_backend(backend),
        Step::Restart(node) => simulation.restart(node),
        Step::Run(millis) => simulation.run(Duration::from_millis(millis)),
    }
}

/// Ends partitions and losses, but keeps the list as wrong as it is, and waits for convergence.
fn settle(simulation: &mut Simulation) {
    simulation.loss_percent = 0;
    simulation.partitions = vec![0; NODES];
    if !simulation.nodes.iter().any(|node| node.up) {
        simulation.list = List::Live;
        simulation.restart(0);
    }
    simulation.run(CONVERGENCE);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").map_or(48, |cases| cases.parse().unwrap_or(48)),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// At no time does a leaving server become live again at an instance, nor is a live one dropped. In the
    /// end each instance that knows a server knows whether its latest incarnation is leaving.
    #[test]
    fn leaving_stays_and_live_is_kept(seed in 0..1_000_u64, domains in 1..3_usize, steps in steps()) {
        let mut simulation = Simulation::new(seed, domains, NODES, BACKENDS);
        simulation.run(SETTLE);
        let mut history = History::default();
        history.check(&simulation)?;
        for step in steps {
            apply(&mut simulation, step);
            history.check(&simulation)?;
        }
        settle(&mut simulation);
        history.check(&simulation)?;
        for node in simulation.nodes.iter().filter(|node| node.up) {
            let view = node.roster.view(simulation.now);
            for server in view.pools.iter().flat_map(|pool| &pool.servers) {
                let truth = simulation.backends.iter().find(|one| one.incarnation.name == server.incarnation.name);
                let truth = truth.expect("every shown server exists");
                prop_assert_eq!(&truth.incarnation, &server.incarnation);
                prop_assert_eq!(truth.state, server.state);
            }
        }
    }

    /// With the list down, empty, frozen or stale and all peers dead, an instance keeps every server, even if
    /// none of them answers.
    #[test]
    fn a_bad_list_and_dead_peers_empty_no_pool(
        seed in 0..1_000_u64,
        list in 0..4_usize,
        minutes in 1..40_u64,
        silent: bool,
    ) {
        let mut simulation = Simulation::new(seed, 1, 3, BACKENDS);
        simulation.run(SETTLE);
        simulation.freeze();
        simulation.list = [List::Down, List::Empty, List::Frozen, List::Stale][list];
        simulation.nodes[1].up = false;
        simulation.nodes[2].up = false;
        simulation.backends.iter_mut().for_each(|backend| backend.up = !silent);
        simulation.run(Duration::from_secs(minutes * 60));
        let view = simulation.nodes[0].roster.view(simulation.now);
        let live = view.pools.iter().flat_map(|pool| &pool.servers).filter(|server| server.state == State::Live);
        prop_assert_eq!(live.count(), BACKENDS);
    }
}

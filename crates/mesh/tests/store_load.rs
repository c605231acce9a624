//! Calls to the platform's store follow changes and failure domains, not the number of instances, and every instance
//! learns changes in time while its reader is killed, frozen, cut off from the store or slow.

use core::time::Duration;
use std::collections::BTreeMap;

use base::Tick;
use googletest::prelude::*;
use mesh::{Config, Departures, Members, Peer, Reader, configs, reader::Role};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const DOMAINS: usize = 6;

/// The time of one step of the simulation.
const STEP: Duration = Duration::from_millis(100);

/// The pause between two reads of a topic by a reader, for each topic: servers, configuration, instances and crashes.
const READ_INTERVALS: [Duration; 4] = [
    Duration::from_millis(1_450),
    Duration::from_millis(1_200),
    Duration::from_secs(9),
    Duration::from_secs(13),
];

/// The longest backoff of a failed read, for each topic.
const MAX_BACKOFFS: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(2),
    Duration::from_secs(2),
];

/// The time within which a server that left gets no new work on the grown sites.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// How an instance fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// It answers nobody and reads nothing.
    Dead,
    /// It doesn't reach the store.
    CutFromStore,
    /// It reaches the store, but no other instance.
    CutFromPeers,
    /// Its reads take three seconds.
    Slow,
}

struct Node {
    domain: usize,
    members: Members,
    reader: Reader,
    role: Role,
    fault: Fault,
    next_reads: [Tick; 4],
    backoffs: [Duration; 4],
    /// The time as of which the node knows the store.
    known_at: Tick,
    departures: Departures,
    /// When the node learned that the server left.
    learned_at: Option<Tick>,
}

struct Simulation {
    nodes: Vec<Node>,
    rng: SmallRng,
    now: Tick,
    is_store_down: bool,
    calls: usize,
    /// Heartbeats without an answer: their sender and receiver, and when they time out.
    lost: Vec<(usize, base::Name, Tick)>,
    /// The index of each node by its name.
    indices: BTreeMap<base::Name, usize>,
}

impl Simulation {
    fn new(each: usize) -> Self {
        let peers: Vec<_> = (0..DOMAINS)
            .flat_map(|domain| (0..each).map(move |at| (domain, at)))
            .map(|(domain, at)| Peer {
                name: format!("n-{domain}-{at}").into(),
                address: format!("10.{domain}.{}.{}:7740", at / 200, at % 200 + 1)
                    .parse()
                    .unwrap(),
                domain: format!("d-{domain}").into(),
                capacity: if at < 3 { 500 } else { 120 },
            })
            .collect();
        let now = Tick::from_millis(1_000);
        let nodes = peers.iter().enumerate().map(|(own, peer)| {
            let mut members = Members::new(Config::default(), peer.clone());
            peers.iter().for_each(|peer| members.add(peer.clone()));
            Node {
                domain: own / each,
                members,
                reader: Reader::new(configs::Reader::default()),
                role: Role::Wait,
                fault: Fault::None,
                next_reads: [now; 4],
                backoffs: [Duration::from_millis(60); 4],
                known_at: now,
                departures: Departures::default(),
                learned_at: None,
            }
        });
        Self {
            indices: peers
                .iter()
                .map(|peer| peer.name.clone())
                .zip(0..)
                .collect(),
            nodes: nodes.collect(),
            rng: SmallRng::seed_from_u64(7),
            now,
            is_store_down: false,
            calls: 0,
            lost: Vec::new(),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for at in 0..self.nodes.len() {
                if self.nodes[at].fault != Fault::Dead {
                    self.step(at);
                }
            }
            let now = self.now;
            let (due, pending) = self.lost.drain(..).partition(|(_, _, at)| *at <= now);
            self.lost = pending;
            let due: Vec<(usize, base::Name, Tick)> = due;
            for (at, peer, _) in due {
                self.nodes[at].members.mark_lost(&peer);
            }
        }
    }

    fn step(&mut self, at: usize) {
        let (now, draw) = (self.now, self.rng.random::<f64>());
        let node = &mut self.nodes[at];
        node.role = node.reader.role(now, &mut node.members, draw);
        let topics = match &node.role {
            Role::Read => 0..4,
            Role::Follow {
                is_probing: true, ..
            }
            | Role::Probe { is_candidate: true } => 0..1,
            Role::Probe {
                is_candidate: false,
            } => {
                node.next_reads[0] = now;
                0..1
            }
            Role::Follow { .. } | Role::Wait => 0..0,
        };
        for topic in topics {
            self.read(at, topic);
        }
        let due = self.nodes[at].members.due_heartbeats(now);
        for peer in due {
            self.exchange(at, &peer);
        }
    }

    fn read(&mut self, at: usize, topic: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if now < node.next_reads[topic] {
            return;
        }
        self.calls += 1;
        if self.is_store_down || node.fault == Fault::CutFromStore {
            if topic == 0 {
                node.reader.record_failure(now);
            }
            node.next_reads[topic] = now + node.backoffs[topic];
            node.backoffs[topic] = (node.backoffs[topic] * 2).min(MAX_BACKOFFS[topic]);
            return;
        }
        node.backoffs[topic] = Duration::from_millis(60);
        let delay = match node.fault {
            Fault::Slow => Duration::from_secs(3),
            _ => READ_INTERVALS[topic],
        };
        node.next_reads[topic] = now + delay;
        if topic == 0 {
            node.reader.record_success(now);
            node.reader.record_read(now);
            node.known_at = now;
        }
    }

    fn exchange(&mut self, at: usize, peer: &Peer) {
        let now = self.now;
        let other = self.indices[&peer.name];
        let is_cut = |at: usize| self.nodes[at].fault == Fault::CutFromPeers;
        if self.nodes[other].fault == Fault::Dead || is_cut(at) || is_cut(other) {
            let timeout = self.nodes[at].members.heartbeat_timeout();
            self.lost.push((at, peer.name.clone(), now + timeout));
            return;
        }
        // Both messages of an exchange pass on departures.
        for (from, to) in [(at, other), (other, at)] {
            if self.nodes[from].departures.recent(now).next().is_some() {
                self.learn(to);
            }
        }
        let is_reading = self.nodes[other].role == Role::Read;
        let age = self.nodes[other]
            .reader
            .read_age(now)
            .filter(|_| is_reading);
        let node = &mut self.nodes[at];
        node.members.mark_live(now, &peer.name);
        node.reader.record_answer(now, &peer.name, age);
        let is_reader =
            matches!(&node.role, Role::Follow { reader, .. } if reader.name == peer.name);
        if let (true, Some(age)) = (is_reader, age) {
            let read_at = Tick::default() + (now - (Tick::default() + age));
            node.known_at = node.known_at.max(read_at);
        }
    }

    /// Lets a node learn that a server left.
    fn learn(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.learned_at.is_none() {
            node.learned_at = Some(self.now);
            node.departures.record(self.now, &"i-1".into(), 7);
        }
    }

    /// Returns the calls in a period.
    fn calls_during(&mut self, time: Duration) -> usize {
        let before = self.calls;
        self.run(time);
        self.calls - before
    }

    /// Returns the readers of a domain.
    fn readers(&self, domain: usize) -> Vec<usize> {
        let nodes = (0..self.nodes.len()).filter(|at| self.nodes[*at].domain == domain);
        nodes
            .filter(|at| self.nodes[*at].role == Role::Read)
            .collect()
    }

    /// Returns the age of what the live instance of a domain that knows least knows.
    fn worst_age(&self, domain: usize) -> Duration {
        let nodes = self.nodes.iter();
        let live = nodes.filter(|node| node.domain == domain && node.fault == Fault::None);
        live.map(|node| self.now - node.known_at)
            .max()
            .unwrap_or_default()
    }
}

#[gtest]
fn each_domain_has_one_reader() {
    let mut simulation = Simulation::new(49);
    simulation.run(Duration::from_secs(5));
    for domain in 0..DOMAINS {
        expect_that!(simulation.readers(domain).len(), eq(1), "{domain}");
        expect_that!(simulation.worst_age(domain), lt(DRAIN_TIME));
    }
}

#[gtest]
fn steady_calls_do_not_grow_with_the_instances() {
    let calls = [10, 49, 100].map(|each| {
        let mut simulation = Simulation::new(each);
        simulation.run(Duration::from_secs(5));
        simulation.calls_during(Duration::from_secs(13)) / 13
    });
    println!("calls a second of 60, 294 and 600 instances: {calls:?}");
    expect_that!(calls, each(le(DOMAINS * 2)));
}

#[gtest]
fn calls_in_an_outage_do_not_grow_with_the_instances() {
    let calls = [10, 49, 100].map(|each| {
        let mut simulation = Simulation::new(each);
        simulation.run(Duration::from_secs(5));
        simulation.is_store_down = true;
        simulation.calls_during(Duration::from_secs(10))
    });
    println!("calls in an outage of 10 s of 60, 294 and 600 instances: {calls:?}");
    // Three candidates of each domain try every half a second, and some of the others once.
    expect_that!(calls, each(le(DOMAINS * 10 * 3 * 5)));
    expect_that!(calls[2], le(calls[0] * 2));
}

#[gtest]
fn all_instances_follow_one_reader_again_after_an_outage() {
    let mut simulation = Simulation::new(49);
    simulation.run(Duration::from_secs(5));
    simulation.is_store_down = true;
    simulation.run(Duration::from_secs(8));
    simulation.is_store_down = false;
    simulation.run(Duration::from_secs(3));
    for domain in 0..DOMAINS {
        expect_that!(simulation.worst_age(domain), lt(DRAIN_TIME), "{domain}");
        expect_that!(simulation.readers(domain).len(), eq(1), "{domain}");
    }
}

#[gtest]
fn every_instance_learns_changes_in_time_while_its_reader_fails() {
    for fault in [Fault::Dead, Fault::CutFromStore, Fault::Slow] {
        let mut simulation = Simulation::new(49);
        simulation.run(Duration::from_secs(5));
        let reader = simulation.readers(0)[0];
        simulation.nodes[reader].fault = fault;
        let mut worst = Duration::ZERO;
        for _ in 0..100 {
            simulation.run(STEP);
            worst = worst.max(simulation.worst_age(0));
        }
        println!("{fault:?}: what an instance knows is at most {worst:?} old");
        expect_that!(worst, lt(DRAIN_TIME), "{fault:?}");
        let readers = simulation.readers(0);
        expect_that!(
            readers.iter().filter(|at| **at != reader).count(),
            eq(1),
            "{fault:?}"
        );
        // It reads again once it is sound, and the successor follows it.
        simulation.nodes[reader].fault = Fault::None;
        simulation.run(Duration::from_secs(5));
        expect_that!(simulation.readers(0), eq(&vec![reader]), "{fault:?}");
    }
}

#[gtest]
fn instances_read_by_themselves_if_no_candidate_of_their_domain_can() {
    let mut simulation = Simulation::new(49);
    simulation.run(Duration::from_secs(5));
    for at in 0..3 {
        simulation.nodes[at].fault = Fault::CutFromStore;
    }
    simulation.run(Duration::from_secs(15));
    expect_that!(simulation.worst_age(0), lt(DRAIN_TIME));
    // Their first attempts are spread.
    expect_that!(simulation.readers(0).len(), eq(46));
}

#[gtest]
fn a_departure_that_one_instance_learns_reaches_its_domain_in_time() {
    for fault in [Fault::None, Fault::Dead, Fault::CutFromStore] {
        let mut simulation = Simulation::new(49);
        simulation.run(Duration::from_secs(5));
        let reader = simulation.readers(0)[0];
        simulation.nodes[reader].fault = fault;
        let start = simulation.now;
        // One of the instances that read nothing themselves.
        simulation.learn(40);
        simulation.run(DRAIN_TIME);
        let nodes = simulation.nodes.iter();
        let live = nodes.filter(|node| node.domain == 0 && node.fault != Fault::Dead);
        let times: Vec<_> = live
            .map(|node| node.learned_at.map(|at| at - start))
            .collect();
        println!(
            "{fault:?}: learned by all after {:?}",
            times.iter().flatten().max()
        );
        expect_that!(times, each(some(lt(&DRAIN_TIME))), "{fault:?}");
    }
}

#[gtest]
fn instances_that_reach_no_candidate_but_the_store_read_it_themselves() {
    let mut simulation = Simulation::new(49);
    simulation.run(Duration::from_secs(5));
    let cut = 30..47;
    for at in cut.clone() {
        simulation.nodes[at].fault = Fault::CutFromPeers;
    }
    let mut worst = Duration::ZERO;
    for _ in 0..120 {
        simulation.run(STEP);
        for node in &simulation.nodes[cut.clone()] {
            worst = worst.max(simulation.now - node.known_at);
        }
    }
    println!("what a cut instance knows is at most {worst:?} old");
    expect_that!(worst, lt(DRAIN_TIME));
    for at in cut {
        simulation.nodes[at].fault = Fault::None;
    }
    simulation.run(Duration::from_secs(5));
    expect_that!(simulation.readers(0).len(), eq(1));
}

//! Selection of a backend server.

use core::time::Duration;

use base::{Incarnation, Name, Stamp, Tick, attempt::Attempt, request::Id};
use googletest::prelude::*;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use route::{Choice, Context, Error, Event, Failure, Request, Server, Table, cache::Change};

const POOL: &str = "runners";

fn server(number: u32, domain: &str) -> Server {
    Server {
        incarnation: Incarnation::new(format!("runner-{number:03}"), Stamp::from_millis(1)),
        domain: Name::from(domain),
        address: "127.0.0.1:9000".parse().expect("an address"),
        concurrency: 8,
        leaving: false,
    }
}

struct Simulation {
    table: Table,
    rng: ChaCha8Rng,
    now: Tick,
    attempts: u128,
}

impl Simulation {
    fn new(servers: &[Server]) -> Self {
        let mut table = Table::default();
        table.set_servers(POOL, servers);
        Self {
            table,
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Tick::default(),
            attempts: 0,
        }
    }

    fn pick(&mut self, request: &Request<'_>) -> std::result::Result<Choice, Error> {
        let own_domain = Name::from("a");
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
            own_domain: &own_domain,
        };
        self.table.pick(&mut cx, request)
    }

    fn start(&mut self, server: &Incarnation, prefix: Option<u64>) -> Attempt {
        self.attempts += 1;
        let attempt = Attempt::new(Id::from_random(self.attempts), 0, 0);
        let server = server.clone();
        self.table.handle(
            self.now,
            Event::Started {
                attempt,
                server,
                prefix,
            },
        );
        attempt
    }

    fn finish(&mut self, server: &Incarnation, attempt: Attempt, elapsed: Duration) {
        self.table.handle(
            self.now,
            Event::Finished {
                attempt,
                server: server.clone(),
                elapsed,
            },
        );
    }

    fn fail(&mut self, server: &Incarnation, kind: Failure) {
        let attempt = self.start(server, None);
        self.table.handle(
            self.now,
            Event::Failed {
                attempt,
                server: server.clone(),
                kind,
            },
        );
    }

    /// Lets each server finish attempts of a given duration.
    fn warm(&mut self, servers: &[Server], count: usize, elapsed: impl Fn(usize) -> Duration) {
        for _ in 0..count {
            for (at, server) in servers.iter().enumerate() {
                let attempt = self.start(&server.incarnation, None);
                self.finish(&server.incarnation, attempt, elapsed(at));
            }
        }
    }

    /// Counts how often each server is selected, without starting attempts.
    fn counts(&mut self, servers: &[Server], picks: usize) -> Vec<usize> {
        let mut counts = vec![0; servers.len()];
        for _ in 0..picks {
            let Ok(choice) = self.pick(&Request::any(POOL)) else {
                continue;
            };
            let at = servers
                .iter()
                .position(|server| server.incarnation == choice.incarnation);
            counts[at.expect("a known server")] += 1;
        }
        counts
    }
}

fn ten_servers() -> Vec<Server> {
    (0..10).map(|number| server(number, "a")).collect()
}

#[gtest]
fn own_attempts_in_flight_are_spread() {
    let servers = ten_servers();
    let mut sim = Simulation::new(&servers);
    sim.warm(&servers, 10, |_| Duration::from_millis(20));
    for _ in 0..40 {
        let choice = sim.pick(&Request::any(POOL)).expect("a server");
        sim.start(&choice.incarnation, None);
    }
    let pool = &sim.table.pools()[0];
    for state in &pool.servers {
        expect_that!(state.in_flight(), all!(ge(1), le(7)));
    }
}

#[gtest]
fn a_leaving_server_gets_no_new_attempts_even_if_listed_again() {
    let servers = vec![server(0, "a"), server(1, "a")];
    let mut sim = Simulation::new(&servers);
    let first = servers[0].incarnation.clone();
    sim.table.handle(sim.now, Event::Leaving { server: first });
    sim.table.set_servers(POOL, &servers);
    expect_that!(sim.counts(&servers, 50), elements_are![eq(&0), eq(&50)]);
}

#[gtest]
fn a_removed_server_is_kept_until_its_attempts_end() {
    let servers = vec![server(0, "a"), server(1, "a")];
    let mut sim = Simulation::new(&servers);
    let removed = servers[0].incarnation.clone();
    let attempt = sim.start(&removed, None);
    sim.table.set_servers(POOL, &servers[1..]);
    expect_that!(sim.table.pools()[0].servers, len(eq(2)));
    expect_that!(sim.counts(&servers, 50)[0], eq(0));
    sim.finish(&removed, attempt, Duration::from_millis(20));
    expect_that!(sim.table.pools()[0].servers, len(eq(1)));
}

#[gtest]
fn the_own_failure_domain_is_preferred_until_it_is_busy() {
    let servers = vec![server(0, "a"), server(1, "b")];
    let mut sim = Simulation::new(&servers);
    sim.warm(&servers, 20, |_| Duration::from_millis(20));
    expect_that!(sim.counts(&servers, 20), elements_are![eq(&20), eq(&0)]);
    for _ in 0..16 {
        sim.start(&servers[0].incarnation, None);
    }
    expect_that!(sim.counts(&servers, 20), elements_are![eq(&0), eq(&20)]);
}

#[gtest]
fn a_pool_that_is_down_is_probed_and_other_requests_are_refused() {
    let servers = ten_servers();
    let mut sim = Simulation::new(&servers);
    let mut sent = 0;
    for step in 0..1_000 {
        sim.now = Tick::from_millis(step * 10);
        if let Ok(choice) = sim.pick(&Request::any(POOL)) {
            sent += 1;
            sim.fail(&choice.incarnation, Failure::ConnectFailed);
        }
    }
    expect_that!(sent, le(150));
    expect_that!(sim.table.capacity(sim.now, POOL).slots, le(1));
    sim.now = sim.now + Duration::from_secs(1);
    let choice = sim.pick(&Request::any(POOL)).expect("a probe");
    let attempt = sim.start(&choice.incarnation, None);
    sim.finish(&choice.incarnation, attempt, Duration::from_millis(20));
    expect_that!(sim.pick(&Request::any(POOL)).is_ok(), eq(true));
}

#[gtest]
fn a_cancelled_attempt_does_not_affect_the_health_of_the_server() {
    let servers = vec![server(0, "a")];
    let mut sim = Simulation::new(&servers);
    for _ in 0..20 {
        sim.fail(&servers[0].incarnation, Failure::Cancelled);
    }
    expect_that!(sim.pick(&Request::any(POOL)).is_ok(), eq(true));
}

#[gtest]
fn a_slow_server_is_ejected_and_recovers_gradually() {
    let servers = ten_servers();
    let mut sim = Simulation::new(&servers);
    let elapsed = |at| Duration::from_millis(if at == 3 { 200 } else { 20 });
    sim.warm(&servers, 20, elapsed);
    let counts = sim.counts(&servers, 200);
    expect_that!(counts[3], eq(0));
    sim.now = sim.now + Duration::from_secs(6);
    let attempts: Vec<_> = (0..100)
        .filter_map(|_| {
            let choice = sim.pick(&Request::any(POOL)).ok()?;
            Some(sim.start(&choice.incarnation, None))
        })
        .collect();
    expect_that!(attempts, len(eq(100)));
    expect_that!(sim.table.pools()[0].servers[3].in_flight(), le(1));
}

#[gtest]
fn at_most_a_third_of_a_pool_is_ejected() {
    let servers = ten_servers();
    let mut sim = Simulation::new(&servers);
    let elapsed = |at| Duration::from_millis(if at >= 6 { 300 } else { 20 });
    sim.warm(&servers, 20, elapsed);
    sim.counts(&servers, 1);
    let ejected = sim.table.pools()[0]
        .servers
        .iter()
        .filter(|state| state.health.is_ejected())
        .count();
    expect_that!(ejected, eq(3));
}

#[gtest]
fn a_server_holding_the_prefix_is_preferred_until_its_wait_outweighs_the_hit() {
    let servers = ten_servers();
    let mut sim = Simulation::new(&servers);
    sim.warm(&servers, 20, |_| Duration::from_millis(20));
    let holder = servers[4].incarnation.clone();
    sim.table.handle(
        sim.now,
        Event::Cache {
            server: holder.clone(),
            seq: 1,
            change: Change::Added(77),
        },
    );
    let request = Request {
        prefix: Some(77),
        prefill_tokens: 200,
        ..Request::any(POOL)
    };
    expect_that!(
        sim.pick(&request).expect("a server").incarnation,
        eq(&holder)
    );
    for _ in 0..24 {
        sim.start(&holder, None);
    }
    expect_that!(
        sim.pick(&request).expect("a server").incarnation,
        not(eq(&holder))
    );
}

#[gtest]
fn a_cache_miss_or_an_event_gap_lowers_the_trust_in_an_index() {
    let servers = ten_servers();
    let mut sim = Simulation::new(&servers);
    let holder = servers[4].incarnation.clone();
    for seq in [1, 9] {
        let change = Change::Added(seq);
        let server = holder.clone();
        sim.table.handle(
            sim.now,
            Event::Cache {
                server,
                seq,
                change,
            },
        );
    }
    let state = |sim: &Simulation| sim.table.pools()[0].servers[4].index.clone();
    expect_that!(state(&sim).hit_probability(9), eq(0.5));
    let server = holder;
    sim.table
        .handle(sim.now, Event::CacheMiss { server, prefix: 9 });
    expect_that!(state(&sim).hit_probability(9), eq(0.0));
    expect_that!(state(&sim).hit_probability(1), lt(0.5));
}

#[gtest]
fn an_exclusive_request_gets_an_idle_server() {
    let servers = vec![server(0, "a"), server(1, "a")];
    let mut sim = Simulation::new(&servers);
    sim.start(&servers[0].incarnation, None);
    let request = Request {
        exclusive: true,
        ..Request::any(POOL)
    };
    let choice = sim.pick(&request).expect("a server");
    expect_that!(choice.incarnation, eq(&servers[1].incarnation));
    sim.start(&servers[1].incarnation, None);
    expect_that!(sim.pick(&request).is_err(), eq(true));
}

#[gtest]
fn a_large_pool_that_is_down_gets_single_probes_and_recovers_completely() {
    let servers: Vec<_> = (0..98).map(|number| server(number, "a")).collect();
    let mut sim = Simulation::new(&servers);
    let mut sent = 0;
    for step in 0..1_000 {
        sim.now = Tick::from_millis(step * 10);
        if let Ok(choice) = sim.pick(&Request::any(POOL)) {
            sent += 1;
            sim.fail(&choice.incarnation, Failure::ConnectFailed);
        }
    }
    // At most one attempt per server before the pool counts as down, then 4 probes per second for 10 s.
    expect_that!(sent, le(98 + 10 * 4));
    sim.now = sim.now + Duration::from_secs(1);
    let choice = sim.pick(&Request::any(POOL)).expect("a probe");
    let attempt = sim.start(&choice.incarnation, None);
    expect_that!(sim.pick(&Request::any(POOL)).is_err(), eq(true));
    sim.finish(&choice.incarnation, attempt, Duration::from_millis(20));
    expect_that!(sim.table.capacity(sim.now, POOL).slots, ge(98));
}

#[gtest]
fn the_loss_of_a_failure_domain_is_no_outage_of_the_pool() {
    let servers: Vec<_> = (0..8)
        .map(|number| server(number, if number % 4 == 0 { "a" } else { "b" }))
        .collect();
    let mut sim = Simulation::new(&servers);
    for server in servers
        .iter()
        .filter(|server| server.domain.as_str() == "a")
    {
        for _ in 0..10 {
            sim.fail(&server.incarnation, Failure::Slow);
        }
    }
    let picks = sim.counts(&servers, 20);
    expect_that!(picks.iter().sum::<usize>(), eq(20));
}

#[gtest]
fn a_server_with_slow_attempts_in_flight_is_avoided_before_they_end() {
    let servers = vec![server(0, "a"), server(1, "a")];
    let mut sim = Simulation::new(&servers);
    sim.warm(&servers, 20, |_| Duration::from_millis(20));
    for server in &servers {
        for _ in 0..3 {
            sim.start(&server.incarnation, None);
        }
    }
    sim.now = sim.now + Duration::from_millis(200);
    // The second server has answered meanwhile and has newer attempts in flight.
    let second = servers[1].incarnation.clone();
    let pool = &sim.table.pools()[0];
    expect_that!(pool.servers[1].in_flight(), eq(3));
    for attempt in 4..=6 {
        let attempt = Attempt::new(Id::from_random(40 + attempt), 0, 0);
        sim.finish(&second, attempt, Duration::from_millis(20));
        sim.start(&second, None);
    }
    expect_that!(sim.counts(&servers, 40)[0], eq(0));
}

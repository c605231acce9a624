//! Choice of a backend server.

use core::time::Duration;

use base::{Incarnation, Name, Stamp, Tick, attempt::Attempt, request::Id};
use googletest::prelude::*;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use route::{Ask, Context, Error, Event, Failure, Pick, Server, Table, cache::Change};

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

struct World {
    table: Table,
    rng: ChaCha8Rng,
    now: Tick,
    attempts: u128,
}

impl World {
    fn new(servers: &[Server]) -> Self {
        let mut table = Table::default();
        table.set(POOL, servers);
        Self {
            table,
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Tick::default(),
            attempts: 0,
        }
    }

    fn pick(&mut self, ask: &Ask<'_>) -> std::result::Result<Pick, Error> {
        let own_domain = Name::from("a");
        let mut cx = Context {
            now: self.now,
            rng: &mut self.rng,
            own_domain: &own_domain,
        };
        self.table.pick(&mut cx, ask)
    }

    fn start(&mut self, server: &Incarnation, prefix: Option<u64>) -> Attempt {
        self.attempts += 1;
        let attempt = Attempt::new(Id::from_random(self.attempts), 0, 0);
        let server = server.clone();
        self.table.on(
            self.now,
            Event::Started {
                attempt,
                server,
                prefix,
            },
        );
        attempt
    }

    fn finish(&mut self, server: &Incarnation, attempt: Attempt, took: Duration) {
        self.table.on(
            self.now,
            Event::Finished {
                attempt,
                server: server.clone(),
                took,
            },
        );
    }

    fn fail(&mut self, server: &Incarnation, kind: Failure) {
        let attempt = self.start(server, None);
        self.table.on(
            self.now,
            Event::Failed {
                attempt,
                server: server.clone(),
                kind,
            },
        );
    }

    /// Lets each server finish attempts that took a given time.
    fn warm(&mut self, servers: &[Server], count: usize, took: impl Fn(usize) -> Duration) {
        for _ in 0..count {
            for (at, server) in servers.iter().enumerate() {
                let attempt = self.start(&server.incarnation, None);
                self.finish(&server.incarnation, attempt, took(at));
            }
        }
    }

    /// Counts which servers are picked, booking nothing.
    fn counts(&mut self, servers: &[Server], picks: usize) -> Vec<usize> {
        let mut counts = vec![0; servers.len()];
        for _ in 0..picks {
            let Ok(pick) = self.pick(&Ask::any(POOL)) else {
                continue;
            };
            let at = servers
                .iter()
                .position(|server| server.incarnation == pick.incarnation);
            counts[at.expect("a known server")] += 1;
        }
        counts
    }
}

fn ten() -> Vec<Server> {
    (0..10).map(|number| server(number, "a")).collect()
}

#[gtest]
fn own_work_in_flight_is_spread() {
    let servers = ten();
    let mut world = World::new(&servers);
    world.warm(&servers, 10, |_| Duration::from_millis(20));
    for _ in 0..40 {
        let pick = world.pick(&Ask::any(POOL)).expect("a server");
        world.start(&pick.incarnation, None);
    }
    let pool = &world.table.pools()[0];
    for state in &pool.servers {
        expect_that!(state.in_flight(), all!(ge(1), le(7)));
    }
}

#[gtest]
fn a_leaving_server_gets_nothing_new_whatever_a_later_list_says() {
    let servers = vec![server(0, "a"), server(1, "a")];
    let mut world = World::new(&servers);
    let first = servers[0].incarnation.clone();
    world.table.on(world.now, Event::Leaving { server: first });
    world.table.set(POOL, &servers);
    expect_that!(world.counts(&servers, 50), elements_are![eq(&0), eq(&50)]);
}

#[gtest]
fn a_server_gone_from_the_list_is_kept_until_its_attempts_end() {
    let servers = vec![server(0, "a"), server(1, "a")];
    let mut world = World::new(&servers);
    let gone = servers[0].incarnation.clone();
    let attempt = world.start(&gone, None);
    world.table.set(POOL, &servers[1..]);
    expect_that!(world.table.pools()[0].servers, len(eq(2)));
    expect_that!(world.counts(&servers, 50)[0], eq(0));
    world.finish(&gone, attempt, Duration::from_millis(20));
    expect_that!(world.table.pools()[0].servers, len(eq(1)));
}

#[gtest]
fn the_own_failure_domain_goes_first_until_it_is_busy() {
    let servers = vec![server(0, "a"), server(1, "b")];
    let mut world = World::new(&servers);
    world.warm(&servers, 20, |_| Duration::from_millis(20));
    expect_that!(world.counts(&servers, 20), elements_are![eq(&20), eq(&0)]);
    for _ in 0..16 {
        world.start(&servers[0].incarnation, None);
    }
    expect_that!(world.counts(&servers, 20), elements_are![eq(&0), eq(&20)]);
}

#[gtest]
fn a_pool_that_fails_outright_is_probed_and_refused_early() {
    let servers = ten();
    let mut world = World::new(&servers);
    let mut sent = 0;
    for step in 0..1_000 {
        world.now = Tick::from_millis(step * 10);
        if let Ok(pick) = world.pick(&Ask::any(POOL)) {
            sent += 1;
            world.fail(&pick.incarnation, Failure::ConnectFailed);
        }
    }
    expect_that!(sent, le(150));
    expect_that!(world.table.capacity(world.now, POOL).places, le(1));
    world.now = world.now + Duration::from_secs(1);
    let pick = world.pick(&Ask::any(POOL)).expect("a probe");
    let attempt = world.start(&pick.incarnation, None);
    world.finish(&pick.incarnation, attempt, Duration::from_millis(20));
    expect_that!(world.pick(&Ask::any(POOL)).is_ok(), eq(true));
}

#[gtest]
fn a_needless_attempt_is_not_held_against_the_server() {
    let servers = vec![server(0, "a")];
    let mut world = World::new(&servers);
    for _ in 0..20 {
        world.fail(&servers[0].incarnation, Failure::Cancelled);
    }
    expect_that!(world.pick(&Ask::any(POOL)).is_ok(), eq(true));
}

#[gtest]
fn a_slow_server_is_ejected_and_comes_back_slowly() {
    let servers = ten();
    let mut world = World::new(&servers);
    let took = |at| Duration::from_millis(if at == 3 { 200 } else { 20 });
    world.warm(&servers, 20, took);
    let counts = world.counts(&servers, 200);
    expect_that!(counts[3], eq(0));
    world.now = world.now + Duration::from_secs(6);
    let attempts: Vec<_> = (0..100)
        .filter_map(|_| {
            let pick = world.pick(&Ask::any(POOL)).ok()?;
            Some(world.start(&pick.incarnation, None))
        })
        .collect();
    expect_that!(attempts, len(eq(100)));
    expect_that!(world.table.pools()[0].servers[3].in_flight(), le(1));
}

#[gtest]
fn never_more_than_a_third_of_a_pool_is_ejected_for_slowness() {
    let servers = ten();
    let mut world = World::new(&servers);
    let took = |at| Duration::from_millis(if at >= 6 { 300 } else { 20 });
    world.warm(&servers, 20, took);
    world.counts(&servers, 1);
    let ejected = world.table.pools()[0]
        .servers
        .iter()
        .filter(|state| state.health.is_ejected())
        .count();
    expect_that!(ejected, eq(3));
}

#[gtest]
fn a_held_prefix_wins_until_the_wait_outweighs_it() {
    let servers = ten();
    let mut world = World::new(&servers);
    world.warm(&servers, 20, |_| Duration::from_millis(20));
    let holder = servers[4].incarnation.clone();
    world.table.on(
        world.now,
        Event::Cache {
            server: holder.clone(),
            seq: 1,
            change: Change::Added(77),
        },
    );
    let ask = Ask {
        prefix: Some(77),
        prefill_tokens: 200,
        ..Ask::any(POOL)
    };
    expect_that!(world.pick(&ask).expect("a server").incarnation, eq(&holder));
    for _ in 0..24 {
        world.start(&holder, None);
    }
    expect_that!(
        world.pick(&ask).expect("a server").incarnation,
        not(eq(&holder))
    );
}

#[gtest]
fn a_miss_or_a_gap_lowers_the_trust_in_an_index() {
    let servers = ten();
    let mut world = World::new(&servers);
    let holder = servers[4].incarnation.clone();
    for seq in [1, 9] {
        let change = Change::Added(seq);
        let server = holder.clone();
        world.table.on(
            world.now,
            Event::Cache {
                server,
                seq,
                change,
            },
        );
    }
    let state = |world: &World| world.table.pools()[0].servers[4].index.clone();
    expect_that!(state(&world).chance(9), eq(0.5));
    let server = holder;
    world
        .table
        .on(world.now, Event::CacheMiss { server, prefix: 9 });
    expect_that!(state(&world).chance(9), eq(0.0));
    expect_that!(state(&world).chance(1), lt(0.5));
}

#[gtest]
fn a_suspect_runs_alone() {
    let servers = vec![server(0, "a"), server(1, "a")];
    let mut world = World::new(&servers);
    world.start(&servers[0].incarnation, None);
    let ask = Ask {
        alone: true,
        ..Ask::any(POOL)
    };
    let pick = world.pick(&ask).expect("a server");
    expect_that!(pick.incarnation, eq(&servers[1].incarnation));
    world.start(&servers[1].incarnation, None);
    expect_that!(world.pick(&ask).is_err(), eq(true));
}

#[gtest]
fn a_large_pool_that_fails_outright_gets_single_probes_and_comes_back_whole() {
    let servers: Vec<_> = (0..98).map(|number| server(number, "a")).collect();
    let mut world = World::new(&servers);
    let mut sent = 0;
    for step in 0..1_000 {
        world.now = Tick::from_millis(step * 10);
        if let Ok(pick) = world.pick(&Ask::any(POOL)) {
            sent += 1;
            world.fail(&pick.incarnation, Failure::ConnectFailed);
        }
    }
    // At most one attempt for each server before the pool counts as down; then 4 probes a second.
    expect_that!(sent, le(98 + 10 * 4));
    world.now = world.now + Duration::from_secs(1);
    let pick = world.pick(&Ask::any(POOL)).expect("a probe");
    let attempt = world.start(&pick.incarnation, None);
    expect_that!(world.pick(&Ask::any(POOL)).is_err(), eq(true));
    world.finish(&pick.incarnation, attempt, Duration::from_millis(20));
    expect_that!(world.table.capacity(world.now, POOL).places, ge(98));
}

#[gtest]
fn a_lost_failure_domain_is_no_outage_of_the_pool() {
    let servers: Vec<_> = (0..8)
        .map(|number| server(number, if number % 4 == 0 { "a" } else { "b" }))
        .collect();
    let mut world = World::new(&servers);
    for server in servers
        .iter()
        .filter(|server| server.domain.as_str() == "a")
    {
        for _ in 0..10 {
            world.fail(&server.incarnation, Failure::Slow);
        }
    }
    let picks = world.counts(&servers, 20);
    expect_that!(picks.iter().sum::<usize>(), eq(20));
}

#[gtest]
fn a_server_whose_attempts_take_long_is_avoided_before_the_first_of_them_ends() {
    let servers = vec![server(0, "a"), server(1, "a")];
    let mut world = World::new(&servers);
    world.warm(&servers, 20, |_| Duration::from_millis(20));
    for server in &servers {
        for _ in 0..3 {
            world.start(&server.incarnation, None);
        }
    }
    world.now = world.now + Duration::from_millis(200);
    // The second one answered meanwhile and has newer attempts in flight.
    let second = servers[1].incarnation.clone();
    let pool = &world.table.pools()[0];
    expect_that!(pool.servers[1].in_flight(), eq(3));
    for attempt in 4..=6 {
        let attempt = Attempt::new(Id::from_random(40 + attempt), 0, 0);
        world.finish(&second, attempt, Duration::from_millis(20));
        world.start(&second, None);
    }
    expect_that!(world.counts(&servers, 40)[0], eq(0));
}

//! Time to select a server and handle the events of the attempt, with pools of 98 and 780 servers.

use core::{hint::black_box, time::Duration};

use base::{Incarnation, Name, Stamp, Tick, attempt::Attempt, request::Id};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use route::{Context, Event, Request, Server, Table, cache::Change};

const POOL: &str = "runners";
const PREFIXES: u64 = 48;

fn table(servers: usize) -> Table {
    let servers: Vec<Server> = (0..servers)
        .map(|number| Server {
            incarnation: Incarnation::new(format!("runner-{number:03}"), Stamp::from_millis(1)),
            domain: Name::from(format!("domain-{}", number % 8)),
            address: "127.0.0.1:9000".parse().expect("an address"),
            concurrency: 8,
            leaving: false,
        })
        .collect();
    let mut table = Table::default();
    table.set_servers(POOL, &servers);
    for (at, server) in servers.iter().enumerate() {
        for seq in 0..PREFIXES {
            let change = Change::Added(seq * 7 + at as u64);
            let server = server.incarnation.clone();
            table.handle(
                Tick::default(),
                Event::Cache {
                    server,
                    seq,
                    change,
                },
            );
        }
    }
    table
}

fn select_and_finish(table: &mut Table, rng: &mut ChaCha8Rng, domain: &Name, number: u64) {
    let now = Tick::from_micros(number * 100);
    let request = Request {
        prefix: Some(number % 400),
        prefill_tokens: 1_000,
        ..Request::any(POOL)
    };
    let mut cx = Context {
        now,
        rng,
        own_domain: domain,
    };
    let choice = black_box(table.pick(&mut cx, &request).expect("a server"));
    let attempt = Attempt::new(Id::from_random(u128::from(number)), 0, 0);
    let server = choice.incarnation.clone();
    let prefix = request.prefix;
    table.handle(
        now,
        Event::Started {
            attempt,
            server,
            prefix,
        },
    );
    let (server, elapsed) = (choice.incarnation, Duration::from_millis(20));
    table.handle(
        now,
        Event::Finished {
            attempt,
            server,
            elapsed,
        },
    );
}

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pick");
    for servers in [98, 780] {
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            let mut table = table(servers);
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let domain = Name::from("domain-0");
            let mut number = 0;
            bencher.iter(|| {
                number += 1;
                select_and_finish(&mut table, &mut rng, &domain, number);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, pick);
criterion_main!(benches);

//! Time of decisions about evacuations with 780 servers in 8 failure domains, of which two are evacuated.

use core::{hint::black_box, time::Duration};

use base::{Name, Stamp, Tick};
use criterion::{Criterion, criterion_group, criterion_main};
use mesh::Position;
use site::{Roster, roster::Server};

const SERVERS: usize = 780;
const DOMAINS: usize = 8;
const POOLS: usize = 8;
const NOW: Tick = Tick::from_millis(5);

fn domain(at: usize) -> Name {
    format!("domain-{}", at % DOMAINS).into()
}

fn roster(evacuated: usize) -> Roster {
    let mut roster = Roster::default();
    for at in 0..SERVERS {
        let server = Server {
            id: format!("i-{at:03}").into(),
            pool: format!("pool-{}", at / DOMAINS % POOLS).into(),
            address: format!("10.0.{}.{}:80", at / 250, at % 250)
                .parse()
                .unwrap(),
            domain: domain(at),
            slots: 6,
            leaving: false,
            started_at_ms: 7,
            version: Some("v1".into()),
        };
        roster.insert(server, 1);
    }
    read(&mut roster, 1, evacuated);
    roster
}

fn read(roster: &mut Roster, offset: u64, evacuated: usize) {
    let listed: Vec<_> = (0..evacuated).map(domain).collect();
    let (position, grace) = (Position { era: 1, offset }, Duration::from_secs(3));
    let evacuations = &mut roster.evacuations;
    evacuations.record_read(NOW, Stamp::default(), grace, position, &listed, &[]);
}

fn evacuation(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("evacuation");
    let pool = Name::from("pool-1");
    for evacuated in [0, 2] {
        let mut roster = roster(evacuated);
        group.bench_function(
            format!("usable servers, {evacuated} evacuated"),
            |bencher| {
                bencher.iter(|| black_box(&roster).usable(NOW, &pool).count());
            },
        );
        let address = "10.0.3.9:80".parse().unwrap();
        group.bench_function(format!("barrier, {evacuated} evacuated"), |bencher| {
            bencher.iter(|| black_box(&roster).is_evacuated_address(NOW, address));
        });
        let mut offset = 2;
        group.bench_function(format!("news, {evacuated} evacuated"), |bencher| {
            bencher.iter(|| {
                offset += 1;
                read(black_box(&mut roster), offset, evacuated);
            });
        });
    }
}

criterion_group!(benches, evacuation);
criterion_main!(benches);

//! Prints what a decision on a cold server costs with 400 instances and 780 servers: time, bytes and memory.

use core::{hint::black_box, time::Duration};
use std::time::Instant;

use base::{Name, Tick};
use mesh::{Config, Members, Peer};
use quota::{
    Cold, Demand,
    cold::{Bound, Entry, Terms},
};

const INSTANCES: usize = 400;
const SERVERS: usize = 780;
const DOMAINS: usize = 8;

/// The number of rounds over which times are averaged.
const ROUNDS: u32 = 20;

const DEMAND: Demand = Demand::one(Duration::ZERO, Duration::ZERO);

const TERMS: Terms = Terms {
    rate: 8.1,
    bound: Bound {
        over: 1.5,
        slack: 5.0,
    },
};

fn peer(at: usize) -> Peer {
    Peer {
        name: format!("front-{at:03}").into(),
        address: ([10, 0, (at / 250) as u8, (at % 250) as u8], 7740).into(),
        domain: domain(at),
        capacity: 250,
    }
}

fn domain(at: usize) -> Name {
    format!("zone-{}", at % DOMAINS).into()
}

/// Returns the resident memory of the process, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok());
    kb.unwrap_or(0)
}

/// Prints the time of one of the runs of a decision, of which there is one for each server in a round.
fn measure(what: &str, mut run: impl FnMut()) {
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        run();
    }
    let each = started_at.elapsed().as_secs_f64() / f64::from(ROUNDS) / SERVERS as f64;
    println!("{what}: {:.2} us", each * 1e6);
}

fn main() {
    let mut members = Members::new(Config::default(), peer(0));
    (1..INSTANCES).for_each(|at| members.add(peer(at)));
    let servers: Vec<(Name, Name)> = (0..SERVERS)
        .map(|at| (format!("i-{at:010x}").into(), domain(at)))
        .collect();
    let now = Tick::from_millis(60_000);
    let before = resident_kb();
    let mut cold = Cold::default();
    cold.start(Tick::default());
    let mut sequence = 0;
    measure("entry of a server", || {
        sequence += 1;
        for (server, _) in &servers {
            let entry = Entry {
                server,
                started_at_ms: 7,
                sequence,
                left: Duration::from_secs(3),
                start_left: Duration::ZERO,
            };
            black_box(cold.record_entry(now, entry));
        }
    });
    println!(
        "memory for {SERVERS} servers: {} kB",
        resident_kb().saturating_sub(before)
    );
    measure("whether a call needs a turn", || {
        for (server, _) in &servers {
            black_box(cold.is_limited(now, server, 7));
        }
    });
    measure("choice of the granting instance", || {
        for (server, domain) in &servers {
            black_box(members.granter(now, server, domain, 3));
        }
    });
    measure("turn granted or denied, with the rank", || {
        for (server, domain) in &servers {
            let rank = members.standing(now, server, domain);
            black_box(cold.take(now, server, 7, TERMS, rank, DEMAND));
        }
    });
    let granted = servers
        .iter()
        .filter(|(server, domain)| members.standing(now, server, domain) < 3);
    println!(
        "servers at which one instance grants turns: {}",
        granted.count()
    );
    for (server, _) in &servers {
        cold.record_event(now, server, 7, true);
    }
    let reports = cold.recent(now);
    // The fields other than the name take 22 bytes at most.
    let bytes: usize = reports
        .iter()
        .map(|report| report.server.as_str().len() + 22)
        .sum();
    println!(
        "events in a heartbeat while all servers are away: {}, some {bytes} bytes",
        reports.len()
    );
}

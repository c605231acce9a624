//! Measures a choice among the servers of a large deployment: 780 servers, 400 instances, speeds known of each server.
//!
//! Prints the time of a choice, the time to record the speeds that one message tells, and the memory.

use core::time::Duration;
use std::{rc::Rc, time::Instant};

use base::{Name, Tick};
use pick::{
    Fleet,
    engine::{self, Affinity, Part, Prompt},
    fleet::Load,
    plain,
    speed::{MAX_TOLD, Told},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use site::roster::Server;

const SERVERS: usize = 780;
const INSTANCES: usize = 400;
const CHOICES: u32 = 2_000;

/// The copies of the speeds by which their memory is measured.
const COPIES: usize = 50;

/// Returns the resident memory of the process in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn server(at: usize) -> Rc<Server> {
    Rc::new(Server {
        id: format!("server-{at:04}").into(),
        pool: "engines".into(),
        address: ([10, 0, (at / 250) as u8, (at % 250) as u8], 80).into(),
        domain: format!("domain-{}", at % 8).into(),
        slots: 64,
        leaving: false,
        started_at_ms: 5,
        version: None,
    })
}

fn main() {
    let mut rng = SmallRng::seed_from_u64(1);
    let servers: Vec<_> = (0..SERVERS).map(server).collect();
    let listed: Vec<_> = servers.iter().collect();
    let now = Tick::from_millis(1_000);
    let mut fleet = Fleet::default();
    for instance in 0..INSTANCES {
        let loads = (0..8).map(|_| Load {
            server: servers[rng.random_range(0..SERVERS)].id.clone(),
            tokens: rng.random_range(0..4_000),
            running: 1,
        });
        fleet.record_peer_loads(now, &format!("n-{instance}").into(), loads.collect());
    }
    let prompt = Prompt {
        parts: vec![
            Part {
                id: 1,
                tokens: 2_000,
            },
            Part {
                id: 2,
                tokens: 2_000,
            },
        ],
        input_tokens: 4_000,
        max_output_tokens: 200,
    };
    measure("no speed known", &fleet, now, &prompt, &listed);

    let told = servers.iter().map(|server| Told {
        server: server.id.clone(),
        started_at_ms: 5,
        reading: rng.random_range(60..170),
        writing: rng.random_range(60..170),
        weight: 20,
    });
    let told: Vec<_> = told.collect();
    let since = Instant::now();
    for told in &told {
        fleet.speeds.record_told(now, told);
    }
    let per_message = since.elapsed() * MAX_TOLD as u32 / SERVERS as u32;
    println!("message of {MAX_TOLD} speeds recorded in {per_message:?}");
    for server in &servers {
        for _ in 0..2 {
            let reading = fleet.record_prompt_sent(now, server, 4_000);
            let later = now + Duration::from_millis(rng.random_range(90..200));
            fleet.record_first_event(later, server, reading);
        }
    }
    let before = resident_kb();
    let copies = vec![fleet.speeds.clone(); COPIES];
    let memory = (resident_kb() - before) / copies.len() as u64;
    println!("speeds of {SERVERS} servers take {memory} kB");
    let later = now + Duration::from_millis(300);
    measure("all speeds known", &fleet, later, &prompt, &listed);
}

fn measure(title: &str, fleet: &Fleet, now: Tick, prompt: &Prompt, servers: &[&Rc<Server>]) {
    let mut rng = SmallRng::seed_from_u64(2);
    let affinity = Affinity {
        domain: None,
        penalty_ms: 0.0,
    };
    let domain = Name::from("domain-0");
    for is_engine in [true, false] {
        let since = Instant::now();
        for _ in 0..CHOICES {
            let mut cx = plain::Context {
                now,
                domain: &domain,
                tried: &[],
                rng: &mut rng,
            };
            match is_engine {
                true => drop(engine::choose(fleet, &mut cx, prompt, affinity, servers)),
                false => drop(plain::choose(fleet, &mut cx, servers.iter().copied()).cloned()),
            }
        }
        let kind = if is_engine { "engine" } else { "plain" };
        println!(
            "{title}: {kind} choice among {SERVERS} in {:?}",
            since.elapsed() / CHOICES
        );
    }
}

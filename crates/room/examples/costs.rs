//! Prints the time, bytes and memory of admission in a deployment of 400 instances, 780 servers and 7,800 accounts.
//!
//! `cargo run --release -p room --example costs`

use core::time::Duration;
use std::time::Instant;

use base::{Name, Tick};
use batch::{Backlog, Shard, backlog::Level};
use room::{
    Controller,
    controller::{Request, Stage},
};
use site::route::Rank;
use wire::{Message as _, feed};

const POOLS: usize = 6;
const DOMAINS: usize = 8;
const ACCOUNTS: u64 = 7_800;
const DECISIONS: u64 = 20_000;

fn shard(pool: usize, domain: usize) -> Shard {
    Shard {
        pool: format!("pool-{pool}").into(),
        domain: Some(format!("domain-{domain}").into()),
    }
}

fn backlog(wait: u64) -> Backlog {
    let levels = (0..4).map(|rank| Level {
        rank: Rank::new(Some(rank), 0),
        on_time: Duration::from_millis(wait * u64::from(rank)),
        late: Duration::from_millis(4 * wait),
    });
    Backlog {
        free_in: Duration::from_millis(10),
        levels: levels.collect(),
        memory_permille: 300,
    }
}

/// Returns the size of a report in a message, in bytes.
fn message_bytes(shard: &Shard, backlog: &Backlog) -> usize {
    let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    let levels = backlog.levels.iter().map(|level| feed::Level {
        rank: u32::from(level.rank.account),
        route_rank: u32::from(level.rank.route),
        on_time_ms: ms(level.on_time),
        late_ms: ms(level.late),
    });
    let message = feed::Backlog {
        pool: shard.pool.as_str().to_owned(),
        domain: shard.domain.clone().unwrap_or_default().as_str().to_owned(),
        free_ms: ms(backlog.free_in),
        levels: levels.collect(),
        memory_permille: u32::from(backlog.memory_permille),
    };
    message.encoded_len()
}

fn main() {
    let mut controller = Controller::default();
    let owner = Name::from("instance-1");
    let now = |at: u64| Tick::from_millis(10_000 + at);
    let start = Instant::now();
    let reports = POOLS * DOMAINS;
    for pool in 0..POOLS {
        for domain in 0..DOMAINS {
            let backlog = backlog((pool * domain) as u64 * 7);
            let shard = shard(pool, domain);
            controller.forecast.record(now(0), &shard, &owner, backlog);
        }
    }
    let record_time = start.elapsed() / u32::try_from(reports).unwrap_or(1);
    let accounts: Vec<Name> = (0..ACCOUNTS).map(|at| format!("a{at}").into()).collect();
    let chains: Vec<Vec<Stage<'_>>> = (0..DOMAINS)
        .map(|domain| {
            let depends_on: [&[usize]; 3] = [&[], &[0], &[1]];
            let stages = depends_on.into_iter().enumerate();
            let stages = stages.map(|(pool, depends_on)| Stage {
                shard: shard(pool, domain),
                depends_on,
                call_time: Duration::from_millis(275),
                is_omitted: false,
            });
            stages.collect()
        })
        .collect();
    let start = Instant::now();
    let mut refused = 0;
    for at in 0..DECISIONS {
        let account = &accounts[usize::try_from(at * 7_919 % ACCOUNTS).unwrap_or(0)];
        let rank = Rank::new(Some(u8::try_from(at % 4).unwrap_or(0)), 0);
        let request = Request {
            rank,
            account: Some(account),
            objective: Duration::from_millis(1_300),
            waited: Duration::ZERO,
            has_returned: false,
            time_left: Duration::from_secs(5),
            delayed: Duration::ZERO,
            draw: 0.5,
        };
        // The course is estimated in each domain, and in the drawn one again.
        for chain in &chains {
            let engine_time = Duration::from_millis(150);
            core::hint::black_box(controller.estimate(now(0), chain, rank, engine_time));
        }
        let chain = &chains[usize::try_from(at % 8).unwrap_or(0)];
        let estimate = controller.estimate(now(0), chain, rank, Duration::from_millis(150));
        let decision = controller.decide(&request, &estimate);
        refused += u64::from(decision != room::controller::Decision::Start);
        controller.record_decision(&request, decision);
        let work = Duration::from_millis(100);
        controller.accounts.record(now(at / 20), account, work);
    }
    let decision_time = start.elapsed() / u32::try_from(DECISIONS).unwrap_or(1);
    let level_bytes = size_of::<Level>() * 4;
    let shard_bytes = size_of::<Shard>() + size_of::<Backlog>() + level_bytes + 64;
    let account_bytes = size_of::<(Name, f64)>() + 24;
    println!(
        "report recorded in {record_time:?}, decision in {decision_time:?}, {refused} of {DECISIONS} not started"
    );
    println!(
        "a report takes {} bytes in a message",
        message_bytes(&shard(5, 7), &backlog(245))
    );
    println!(
        "memory: about {} bytes for {} shards, {} bytes for {} accounts",
        controller.forecast.len() * shard_bytes,
        controller.forecast.len(),
        controller.accounts.len() * account_bytes,
        controller.accounts.len()
    );
}

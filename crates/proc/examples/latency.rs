//! The time that an entry instance adds to a direct call of the same fake server, its requests per
//! second and core, and the resources that an idle instance uses.
//!
//!     cargo run --release --package proc --example latency

use core::time::Duration;
use std::{fs, time::Instant};

use actix_web::rt::time::sleep;
use awc::Client;
use base::{attempt::Attempt, request::Id};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use proc::{
    caller::{Caller, Request},
    scene::{Builder, Scene},
};
use serde_json::json;

/// The number of calls measured, alternating between direct and through the instance.
const CALLS: usize = 2_000;

/// Requests before anything is measured.
const WARM_UP: usize = 200;

/// Concurrent callers while requests per second are counted.
const CALLERS: usize = 16;

/// How long requests per second are counted.
const BURST: Duration = Duration::from_secs(5);

/// How long an idle instance is measured.
const IDLE: Duration = Duration::from_secs(10);

/// Clock ticks per second in the statistics of a process.
const TICKS_PER_SECOND: f64 = 100.0;

const POOL: &str = "entries-api";

#[actix_web::main]
async fn main() {
    let builder = Builder::new("compas")
        .entries(1)
        .servers(1)
        .pools(&[POOL])
        .unlimited();
    let builder = builder.server_args(POOL, &["--work-ms", "0", "--batch", "64"]);
    let scene = builder.start().await;
    scene.warm_up("stewards", &[status()], WARM_UP).await;
    latency(&scene).await;
    throughput(&scene).await;
    idle(&scene).await;
}

async fn latency(scene: &Scene) {
    let (client, caller) = (Client::new(), Caller::new("stewards"));
    let mut direct_micros = histogram();
    let mut through_micros = histogram();
    let server = scene.urls(POOL).remove(0);
    for _ in 0..CALLS {
        let started_at = Instant::now();
        direct(&client, &server).await;
        record(&mut direct_micros, started_at);
        let started_at = Instant::now();
        let reply = caller.send(&scene.entries[0].url, &status()).await;
        record(&mut through_micros, started_at);
        assert_eq!(reply.expect("an answer").code(), 100);
    }
    println!("{CALLS} calls one after another, direct and through one entry instance in turn:");
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let direct = direct_micros.value_at_quantile(quantile);
        let through = through_micros.value_at_quantile(quantile);
        let ratio = through as f64 / direct as f64;
        println!("  {name}: direct {direct} us, through {through} us, ratio {ratio:.2}");
    }
}

async fn throughput(scene: &Scene) {
    let entry = &scene.entries[0];
    let before = processor_seconds(entry.process.id());
    let started_at = Instant::now();
    let callers = (0..CALLERS).map(|_| send_until(&entry.url, started_at + BURST));
    let counts = join_all(callers).await;
    let (took, spent) = (
        started_at.elapsed().as_secs_f64(),
        processor_seconds(entry.process.id()) - before,
    );
    let answered: u64 = counts.iter().map(|(answered, _)| answered).sum();
    let refused: u64 = counts.iter().map(|(_, refused)| refused).sum();
    println!("{CALLERS} callers without a pause for {took:.1} s:");
    println!(
        "  {answered} answered, {refused} refused: {:.0} a second",
        answered as f64 / took
    );
    println!(
        "  {spent:.2} s of processor time: {:.0} a second and core",
        answered as f64 / spent
    );
}

async fn send_until(url: &str, until: Instant) -> (u64, u64) {
    let caller = Caller::new("adjudicators");
    let (mut answered, mut refused) = (0, 0);
    while Instant::now() < until {
        let reply = caller.send(url, &status()).await;
        match reply.is_ok_and(|reply| reply.code() == 100) {
            true => answered += 1,
            false => refused += 1,
        }
    }
    (answered, refused)
}

async fn idle(scene: &Scene) {
    let id = scene.entries[0].process.id();
    let before = processor_seconds(id);
    sleep(IDLE).await;
    let spent = processor_seconds(id) - before;
    let share = 100.0 * spent / IDLE.as_secs_f64();
    println!(
        "idle for {} s: {share:.2}% of a core, {} KB resident",
        IDLE.as_secs(),
        resident_kb(id)
    );
}

async fn direct(client: &Client, url: &str) {
    let attempt = Attempt::new(Id::from_random(uuid::Uuid::new_v4().as_u128()), 0, 0);
    let mut response = client
        .post(format!("{url}/v1/call"))
        .insert_header(("Limpetstep-Attempt", attempt.to_string()))
        .send_json(&json!({"operation": "status", "account": "stewards", "input": {"entry": 7}}))
        .await
        .expect("an answer");
    assert_eq!(response.status(), 200);
    response.body().await.expect("a body");
}

fn status() -> Request {
    Request::new("status", json!({"entry": 7}))
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("a histogram")
}

fn record(histogram: &mut Histogram<u64>, started_at: Instant) {
    let micros = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
    histogram.record(micros).expect("in range");
}

/// Returns the processor time that a process has used, user and system.
fn processor_seconds(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("the process");
    let after_name = stat.rsplit_once(") ").expect("a name").1;
    let fields: Vec<&str> = after_name.split(' ').collect();
    // Fields 14 and 15 of the whole line.
    let ticks = |at: usize| fields[at].parse::<f64>().expect("a number");
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn resident_kb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let word = line.and_then(|line| line.split_whitespace().next());
    word.and_then(|word| word.parse().ok()).expect("a size")
}

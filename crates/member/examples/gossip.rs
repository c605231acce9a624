//! Bytes, messages, processor time and memory that membership takes at one instance, by size, and the time
//! until a leaving mark is known everywhere in a failure domain.
//!
//! `cargo run --release -p member --example gossip`

use std::time::Duration;

use member::fact::State;

#[path = "../tests/world/mod.rs"]
mod world;

use world::{Node, World, told};

const SECOND: Duration = Duration::from_secs(1);
/// Time until every instance is known everywhere.
const SETTLE: Duration = Duration::from_secs(40);
/// Time over which traffic is counted.
const SPAN: Duration = Duration::from_secs(60);
/// Leaving marks timed at each size.
const MARKS: usize = 12;
/// Bytes of a line of the platform's list, as the stand-in writes it.
const LINE: f64 = 150.0;
/// Framing of a message by HTTP/2, TCP and IP, in bytes: the mean of both sides in the example `framing` of
/// the peer crate, with two segments of 52 bytes each.
const FRAMING: f64 = 154.0;

fn main() {
    println!(
        "domains nodes servers | B/s sent  calls/s  with framing  busiest  with facts  cpu of a core  memory | load age p50 p99 | mark p50 max, with 20% loss p50 max | platform's list read, mean and its reader"
    );
    for (domains, nodes, backends) in [
        (1, 8, 16),
        (1, 16, 32),
        (1, 25, 49),
        (1, 50, 98),
        (4, 200, 390),
        (8, 400, 780),
    ] {
        measure(domains, nodes, backends);
    }
}

fn measure(domains: usize, nodes: usize, backends: usize) {
    let before = resident();
    let mut world = World::new(7, domains, nodes, backends);
    world.run(SETTLE);
    let memory = resident().saturating_sub(before) / nodes as u64;
    world.reset();
    world.run(SPAN);
    let count = nodes as f64 * SPAN.as_secs_f64();
    let bytes = world
        .nodes
        .iter()
        .map(|node| node.bytes as f64)
        .sum::<f64>()
        / count;
    let calls = world
        .nodes
        .iter()
        .map(|node| node.calls as f64)
        .sum::<f64>()
        / count;
    let cpu = world
        .nodes
        .iter()
        .map(|node| node.cpu.as_secs_f64())
        .sum::<f64>()
        / count;
    let reads: Vec<f64> = world.nodes.iter().map(|node| node.reads as f64).collect();
    let line = (nodes + backends) as f64 * LINE / SPAN.as_secs_f64() / 1_000.0;
    let list = reads.iter().sum::<f64>() * line / nodes as f64;
    let reader = reads.iter().copied().fold(0.0, f64::max) * line;
    let framed = calls.mul_add(FRAMING, bytes);
    let (median, worst) = ages(&world);
    let most = world.nodes.iter().map(sent).fold(0.0, f64::max) / SPAN.as_secs_f64();
    let told = framed + told(&mut world) - bytes;
    let clean = marks(&mut world, 0, 0);
    let lossy = marks(&mut world, 20, MARKS);
    println!(
        "{domains:7} {nodes:5} {backends:7} | {bytes:8.0} {calls:8.2} {framed:13.0} {most:8.0} {told:11.0} {:13.3}% {memory:5} KB | {median:7.1} {worst:4.1} s | {clean}, {lossy} | list {list:.2} KB/s, reader {reader:.0} KB/s",
        cpu * 100.0
    );
}

/// Returns the bytes that an instance sent, with framing.
fn sent(node: &Node) -> f64 {
    (node.calls as f64).mul_add(FRAMING, node.bytes as f64)
}

/// Returns the bytes a second while each instance tells its position at every change of configuration and
/// requests and stages of its pipelines.
fn told(world: &mut World) -> f64 {
    told::start(world);
    world.run(SECOND * 10);
    world.reset();
    let span = Duration::from_secs(told::COUNTERS);
    told::tell(world, span.as_secs());
    let bytes = world
        .nodes
        .iter()
        .map(|node| node.bytes as f64)
        .sum::<f64>();
    bytes / world.nodes.len() as f64 / span.as_secs_f64()
}

/// Returns the resident memory of this process, in KB; what the world itself keeps counts as well.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let size = line.and_then(|line| line.split_whitespace().nth(1));
    size.and_then(|size| size.parse().ok()).unwrap_or_default()
}

/// Returns the median and the 99th percentile of the age of the loads that instances see.
fn ages(world: &World) -> (f64, f64) {
    let views = world.nodes.iter().map(|node| node.roster.view(world.now));
    let servers = views
        .flat_map(|view| view.pools)
        .flat_map(|pool| pool.servers);
    let loads = servers.filter_map(|server| server.load);
    let mut ages: Vec<f64> = loads.map(|load| load.age.as_secs_f64()).collect();
    ages.sort_unstable_by(f64::total_cmp);
    (ages[ages.len() / 2], ages[ages.len() * 99 / 100])
}

/// Lets backend servers say that they are leaving, and times until every instance of the domain knows.
fn marks(world: &mut World, loss: u32, first: usize) -> String {
    world.loss = loss;
    let mut times: Vec<Duration> = (first..first + MARKS)
        .map(|at| mark(world, at % world.backends.len()))
        .collect();
    times.sort_unstable();
    let millis = |time: Duration| time.as_secs_f64();
    format!(
        "{:.2} {:.2} s",
        millis(times[MARKS / 2]),
        millis(times[MARKS - 1])
    )
}

fn mark(world: &mut World, backend: usize) -> Duration {
    world.backends[backend].state = State::Leaving;
    let incarnation = world.backends[backend].incarnation.clone();
    let domain = world.backends[backend].domain;
    let began = world.now;
    while world.now - began < SECOND * 60 {
        world.run(Duration::from_millis(50));
        let mut there = world.nodes.iter().filter(|node| node.domain == domain);
        if there.all(|node| node.roster.is_leaving(&incarnation)) {
            break;
        }
    }
    world.now - began
}

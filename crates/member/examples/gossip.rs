//! Measures bytes, messages, processor time and memory of membership per instance at several sizes, and the
//! time until a leaving mark is known everywhere in a failure domain.
//!
//! `cargo run --release -p member --example gossip`

use std::time::Duration;

use member::fact::State;

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use simulation::{Node, Simulation, workload};

const SECOND: Duration = Duration::from_secs(1);
/// Time until every instance is known everywhere.
const SETTLE_TIME: Duration = Duration::from_secs(40);
/// Time over which traffic is counted.
const MEASURED_TIME: Duration = Duration::from_secs(60);
/// Leaving marks timed at each size.
const MARKS: usize = 12;
/// Bytes of a line of the platform's list, as the fake platform writes it.
const LINE_BYTES: f64 = 150.0;
/// Framing of a message by HTTP/2, TCP and IP, in bytes: the mean of both sides in the example `framing` of
/// the peer crate, with two segments of 52 bytes each.
const FRAMING_BYTES: f64 = 154.0;

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
    let before = resident_kb();
    let mut simulation = Simulation::new(7, domains, nodes, backends);
    simulation.run(SETTLE_TIME);
    let memory = resident_kb().saturating_sub(before) / nodes as u64;
    simulation.reset_counters();
    simulation.run(MEASURED_TIME);
    let count = nodes as f64 * MEASURED_TIME.as_secs_f64();
    let bytes = simulation
        .nodes
        .iter()
        .map(|node| node.bytes as f64)
        .sum::<f64>()
        / count;
    let calls = simulation
        .nodes
        .iter()
        .map(|node| node.calls as f64)
        .sum::<f64>()
        / count;
    let cpu = simulation
        .nodes
        .iter()
        .map(|node| node.cpu.as_secs_f64())
        .sum::<f64>()
        / count;
    let reads: Vec<f64> = simulation
        .nodes
        .iter()
        .map(|node| node.reads as f64)
        .collect();
    let line = (nodes + backends) as f64 * LINE_BYTES / MEASURED_TIME.as_secs_f64() / 1_000.0;
    let list = reads.iter().sum::<f64>() * line / nodes as f64;
    let reader = reads.iter().copied().fold(0.0, f64::max) * line;
    let framed = calls.mul_add(FRAMING_BYTES, bytes);
    let (median, worst) = load_ages(&simulation);
    let busiest =
        simulation.nodes.iter().map(sent_bytes).fold(0.0, f64::max) / MEASURED_TIME.as_secs_f64();
    let with_facts = framed + bytes_with_facts(&mut simulation) - bytes;
    let clean = time_marks(&mut simulation, 0, 0);
    let lossy = time_marks(&mut simulation, 20, MARKS);
    println!(
        "{domains:7} {nodes:5} {backends:7} | {bytes:8.0} {calls:8.2} {framed:13.0} {busiest:8.0} {with_facts:11.0} {:13.3}% {memory:5} KB | {median:7.1} {worst:4.1} s | {clean}, {lossy} | list {list:.2} KB/s, reader {reader:.0} KB/s",
        cpu * 100.0
    );
}

/// Returns the bytes that an instance sent, with framing.
fn sent_bytes(node: &Node) -> f64 {
    (node.calls as f64).mul_add(FRAMING_BYTES, node.bytes as f64)
}

/// Returns the bytes per second while each instance publishes its position at every change of configuration,
/// and requests and stages of its pipelines.
fn bytes_with_facts(simulation: &mut Simulation) -> f64 {
    workload::publish_all(simulation);
    simulation.run(SECOND * 10);
    simulation.reset_counters();
    let span = Duration::from_secs(workload::BURN_INTERVAL_SECONDS);
    workload::run(simulation, span.as_secs());
    let bytes = simulation
        .nodes
        .iter()
        .map(|node| node.bytes as f64)
        .sum::<f64>();
    bytes / simulation.nodes.len() as f64 / span.as_secs_f64()
}

/// Returns the resident memory of this process, in KB, which includes the simulation's own data.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let size = line.and_then(|line| line.split_whitespace().nth(1));
    size.and_then(|size| size.parse().ok()).unwrap_or_default()
}

/// Returns the median and the 99th percentile of the age of the loads that instances see.
fn load_ages(simulation: &Simulation) -> (f64, f64) {
    let views = simulation
        .nodes
        .iter()
        .map(|node| node.roster.view(simulation.now));
    let servers = views
        .flat_map(|view| view.pools)
        .flat_map(|pool| pool.servers);
    let loads = servers.filter_map(|server| server.load);
    let mut ages: Vec<f64> = loads.map(|load| load.age.as_secs_f64()).collect();
    ages.sort_unstable_by(f64::total_cmp);
    (ages[ages.len() / 2], ages[ages.len() * 99 / 100])
}

/// Lets backend servers leave one by one, and measures the time until every instance of the domain knows.
fn time_marks(simulation: &mut Simulation, loss_percent: u32, first: usize) -> String {
    simulation.loss_percent = loss_percent;
    let mut times: Vec<Duration> = (first..first + MARKS)
        .map(|at| time_mark(simulation, at % simulation.backends.len()))
        .collect();
    times.sort_unstable();
    let seconds = |time: Duration| time.as_secs_f64();
    format!(
        "{:.2} {:.2} s",
        seconds(times[MARKS / 2]),
        seconds(times[MARKS - 1])
    )
}

fn time_mark(simulation: &mut Simulation, backend: usize) -> Duration {
    simulation.backends[backend].state = State::Leaving;
    let incarnation = simulation.backends[backend].incarnation.clone();
    let domain = simulation.backends[backend].domain;
    let start = simulation.now;
    while simulation.now - start < SECOND * 60 {
        simulation.run(Duration::from_millis(50));
        let mut domain_nodes = simulation.nodes.iter().filter(|node| node.domain == domain);
        if domain_nodes.all(|node| node.roster.is_leaving(&incarnation)) {
            break;
        }
    }
    simulation.now - start
}

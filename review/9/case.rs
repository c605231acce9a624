//! LIMIT: the instance that grants the turns at a runner that limits its requests is stopped, as for a restart. Its successor
//! grants turns at the whole rate at once, while the other instances still use the turns that were granted ahead.

#[path = "../kit-2/mod.rs"]
mod kit;

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

use kit::{Folder, Instance, Record, Server, Store, lock, sleep_ms};

const INSTANCES: usize = 6;
const CALLERS: usize = 360;
/// The requests a second that each runner states in `Server-Limit`.
const RATE: f64 = 40.0;
const RUNNERS: &[&str] = &["w-1"];
/// The instance that grants the turns, which follows from the names of the runner and of the instances.
const HOLDER: usize = 2;
/// The time after the first statement from which arrivals are counted (`stabilityWindowMs`).
const STABILITY_MS: u128 = 4_000;
/// The span in which arrivals are counted, and what they may be.
const SPAN_MS: u128 = 4_000;
const MAX_ARRIVALS: f64 = 1.5 * RATE * 4.0 + 5.0;

/// The arrivals at one runner: when, and from which instance.
type Arrivals = Vec<(u128, usize)>;

/// Returns the most arrivals in any span, and when it begins.
fn most_in_span(arrivals: &[u128]) -> (usize, u128) {
    let spans = arrivals.iter().enumerate().map(|(at, start)| {
        let count = arrivals[at..]
            .iter()
            .take_while(|time| **time <= start + SPAN_MS)
            .count();
        (count, *start)
    });
    spans.max_by_key(|(count, _)| *count).unwrap_or_default()
}

fn main() {
    let has_trouble = kit::has_trouble();
    let record = Record::open();
    let folder = Folder::open();
    let store = Store::open();
    let terms = "\"timeoutMs\":5000,\"targetLatencyMs\":4000,\"maxAttempts\":2,\"gapAimMs\":600,\"resumable\":true,\
                 \"sessionAffinity\":true,\"stages\":[]";
    let service = "{\"name\":\"pool\",\"healthCheckPath\":\"/healthz\",\"maxConnections\":540,\"protocol\":\"h1\",\"tls\":false,\
                   \"engine\":{\"slots\":32,\"kvCapacity\":274968,\"kvBytes\":163840,\"linkMbps\":740000.0}}";
    let routes = [kit::route("note", "streaming", "pool", terms)];
    let config = kit::config(3, &routes, &[service.to_owned()], &["key-1"]);
    let config = config.replace(
        "\"apiKeys\":[\"key-1\"],\"priority\":1",
        "\"apiKeys\":[\"key-1\"],\"priority\":0",
    );
    store.put("keyed.op", "config", config.as_bytes());
    let arrivals: Arc<Vec<Mutex<Arrivals>>> =
        Arc::new(RUNNERS.iter().map(|_| Mutex::default()).collect());
    for (at, id) in RUNNERS.iter().enumerate() {
        let (arrivals, record) = (arrivals.clone(), record.clone());
        let answer = move |request: &kit::Request, writer: &mut std::net::TcpStream| {
            // The id names the instance that the caller sent it to.
            let front = request
                .id()
                .split('-')
                .next()
                .and_then(|text| text.strip_prefix('f'));
            let front = front
                .and_then(|text| text.parse().ok())
                .unwrap_or(INSTANCES);
            lock(&arrivals[at]).push((record.ms(), front));
            record.line(format!("runner {} gets {}", RUNNERS[at], request.id()));
            sleep_ms(20);
            let events = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            let headers = format!("Content-Type: text/event-stream\r\nServer-Limit: {RATE}\r\n");
            writer
                .write_all(&kit::sealed(request, &headers, events))
                .is_ok()
        };
        Server::open(id, "pool", "a", answer).keep_registered(&store);
    }
    let zones = ["a", "a", "b", "b", "c", "c"];
    let instances = Instance::start_all(&folder, store.address, &zones);
    if !instances.iter().all(|instance| instance.wait_ready(15_000)) {
        drop(instances);
        kit::finish(&record, 2, "the instances are not ready");
    }
    sleep_ms(1_000);
    let (stop, served) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            sleep_ms(3);
            let front = caller % INSTANCES;
            let (stop, served, address) = (stop.clone(), served.clone(), instances[front].front);
            thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("f{front}-{caller}-{number}");
                    let prompt = format!(
                        "X-Model: m\r\nX-Token-Usage: 300,30\r\nX-Prompt-Prefix: {:x}:60,{:x}:40\r\n",
                        0x1000 + caller % 50,
                        0x10_0000 + caller * 10_000 + number
                    );
                    let request = kit::request("POST", "/note/x", &id, 5_000, &prompt, id.as_bytes());
                    match kit::exchange(address, &request, 6_000).status {
                        200 => drop(served.fetch_add(1, Ordering::Relaxed)),
                        _ => sleep_ms(300),
                    }
                }
            })
        })
        .collect();
    sleep_ms(10_000);
    let stopped_at = record.ms();
    if has_trouble {
        record.line("disruption: front-3, which grants the turns, gets SIGTERM");
        instances[HOLDER].signal(kit::SIGTERM);
    }
    sleep_ms(8_000);
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(instances);
    let (mut broken, mut texts) = (0, Vec::new());
    for (id, arrivals) in RUNNERS.iter().zip(arrivals.iter()) {
        let mut arrivals = lock(arrivals).clone();
        arrivals.sort_unstable();
        let counted_from = arrivals
            .first()
            .map_or(0, |(first, _)| first + STABILITY_MS);
        // The machine that was stopped is excused.
        let counted = arrivals
            .iter()
            .filter(|(at, front)| *at >= counted_from && (!has_trouble || *front != HOLDER));
        let (most, from) = most_in_span(&counted.map(|(at, _)| *at).collect::<Vec<_>>());
        broken += usize::from(most as f64 > MAX_ARRIVALS);
        texts.push(format!("{id} got {most} in 4 s from {from} ms"));
    }
    let stopped = if has_trouble {
        format!("front-3 got SIGTERM at {stopped_at} ms")
    } else {
        "no process stopped".to_owned()
    };
    let counts = format!(
        "allowed {MAX_ARRIVALS} in 4 s: {}; {stopped}; {} requests served",
        texts.join(", "),
        served.load(Ordering::Relaxed)
    );
    match broken {
        0 => kit::finish(&record, 0, &format!("LIMIT held: {counts}")),
        _ => kit::finish(&record, 1, &format!("LIMIT broken: {counts}")),
    }
}

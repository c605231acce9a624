//! BUDGET: a request that crashes each runner that begins to run it is sent on without end where fewer than three runners
//! serve it that start again under their ids. Each crash ends the other requests at the runner.

#[path = "../kit-2/mod.rs"]
mod kit;

#[path = "../kit-2/crashing.rs"]
mod crashing;

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

use crashing::{Arrivals, HARMFUL, open_runner};
use kit::{Folder, Instance, Record, Server, Store, lock, sleep_ms};

/// The time after the third crash from which retries count (`stabilityWindowMs`).
const STABILITY_MS: u128 = 3_000;
/// The largest number of retries that may reach runners after that.
const MAX_RETRIES: usize = 3;
const LENGTH_MS: u128 = 30_000;

/// The sound payments of one caller: sent, answered, and ended without an answer of a runner after they were sent on.
#[derive(Default)]
struct Sound {
    sent: AtomicU64,
    answered: AtomicU64,
    unknown: AtomicU64,
}

fn main() {
    let has_trouble = kit::has_trouble();
    let record = Record::open();
    let folder = Folder::open();
    let store = Store::open();
    let terms = "\"timeoutMs\":1000,\"targetLatencyMs\":150,\"maxAttempts\":1,\"stages\":[]";
    let routes = [
        kit::route("pay", "unsafe", "ledger", terms),
        kit::route("look", "safe", "pages", terms),
    ];
    let services = [
        kit::plain_service("ledger", 96),
        kit::plain_service("pages", 96),
    ];
    store.put(
        "keyed.op",
        "config",
        kit::config(3, &routes, &services, &["key-1"]).as_bytes(),
    );
    let arrivals = Arrivals::default();
    for id in ["ledger-1", "ledger-2"] {
        open_runner(id, true, &store, &record, &arrivals);
    }
    // Another service, whose runners are reachable all the time.
    for number in 1..=4 {
        let answer = |request: &kit::Request, writer: &mut TcpStream| {
            writer.write_all(&kit::sealed(request, "", b"page")).is_ok()
        };
        Server::open(&format!("pages-{number}"), "pages", "a", answer).keep_registered(&store);
    }
    let instances = Instance::start_all(&folder, store.address, &["a", "b", "c"]);
    if !instances.iter().all(|instance| instance.wait_ready(15_000)) {
        drop(instances);
        kit::finish(&record, 2, "the instances are not ready");
    }
    sleep_ms(1_000);
    let fronts: Vec<_> = instances.iter().map(|instance| instance.front).collect();
    let (sound, stop) = (Arc::new(Sound::default()), Arc::new(AtomicBool::new(false)));
    let callers = (0..6_usize).map(|caller| {
        let (sound, stop, record) = (sound.clone(), stop.clone(), record.clone());
        let front = fronts[caller % fronts.len()];
        thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("sound-{caller}-{number}");
                let request = kit::request("POST", "/pay/x", &id, 1_000, "", id.as_bytes());
                let answer = kit::exchange(front, &request, 2_000);
                sound.sent.fetch_add(1, Ordering::Relaxed);
                match answer.status {
                    200 => sound.answered.fetch_add(1, Ordering::Relaxed),
                    0 | 502 | 504 => {
                        record.line(format!(
                            "caller: {id} answered {}, so that it may have run",
                            answer.status
                        ));
                        sound.unknown.fetch_add(1, Ordering::Relaxed)
                    }
                    _ => 0,
                };
                sleep_ms(100);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    let start = record.ms();
    let mut attempt = 0;
    while record.ms() - start < LENGTH_MS {
        attempt += 1;
        let id = format!("harmful-{attempt}");
        let body: &[u8] = if has_trouble { HARMFUL } else { b"sound" };
        let request = kit::request("POST", "/pay/again", &id, 1_000, "", body);
        let answer = kit::exchange(fronts[attempt % fronts.len()], &request, 2_000);
        record.line(format!("caller: {id} answered {}", answer.status));
        sleep_ms(700);
    }
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(instances);
    let arrivals = lock(&arrivals).clone();
    let late = match arrivals.get(2) {
        Some(third) => arrivals
            .iter()
            .filter(|at| **at > third + STABILITY_MS)
            .count(),
        None => 0,
    };
    let counts = format!(
        "{} crashes, {late} of them later than {STABILITY_MS} ms after the third; of {} sound payments {} were answered, {} ended \
         without it being known whether they ran",
        arrivals.len(),
        sound.sent.load(Ordering::Relaxed),
        sound.answered.load(Ordering::Relaxed),
        sound.unknown.load(Ordering::Relaxed)
    );
    match late {
        0..=MAX_RETRIES => kit::finish(&record, 0, &format!("BUDGET held: {counts}")),
        _ => kit::finish(&record, 1, &format!("BUDGET broken: {counts}")),
    }
}

//! REFUSED: a runner works on a request that may run once and fails it with 503 by itself, without `X-Not-Executed`. The
//! caller gets this 503, which promises that the request has not run, sends it again as it may, and it runs twice.

#[path = "../kit-2/mod.rs"]
mod kit;

use std::{
    collections::BTreeMap,
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use kit::{Folder, Instance, Record, Server, Store, lock, sleep_ms};

const RUNNERS: usize = 7;
const CALLERS: usize = 9;
/// The payments of each caller.
const PAYMENTS: usize = 60;
/// The runner that fails two of five requests while its health check is good.
const GREY: usize = 3;

fn main() {
    let has_trouble = kit::has_trouble();
    let record = Record::open();
    let folder = Folder::open();
    let store = Store::open();
    let terms = "\"timeoutMs\":1000,\"targetLatencyMs\":150,\"maxAttempts\":1,\"stages\":[]";
    let routes = [kit::route("pay", "unsafe", "ledger", terms)];
    let services = [kit::plain_service("ledger", 96)];
    store.put(
        "keyed.op",
        "config",
        kit::config(3, &routes, &services, &["key-1"]).as_bytes(),
    );
    // The attempts that ran, by payment.
    let runs: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
    for number in 0..RUNNERS {
        let (runs, record, count) = (runs.clone(), record.clone(), AtomicU64::new(0));
        let answer = move |request: &kit::Request, writer: &mut std::net::TcpStream| {
            if request.path == "/healthz" {
                let headers = format!("X-Instance-Id: r-{number}\r\n");
                return writer.write_all(&kit::response(200, &headers, b"")).is_ok();
            }
            let payment = String::from_utf8_lossy(&request.body).into_owned();
            sleep_ms(30);
            lock(&runs)
                .entry(payment.clone())
                .or_default()
                .push(request.id().to_owned());
            let fails =
                number == GREY && has_trouble && count.fetch_add(1, Ordering::Relaxed) % 5 < 2;
            let status = if fails { 503 } else { 200 };
            record.line(format!(
                "runner r-{number} has run {} ({payment}), answers {status}",
                request.id()
            ));
            if fails {
                let headers = format!(
                    "X-Request-Id: {}\r\nX-Response-Seal: seal\r\n",
                    request.id()
                );
                return writer
                    .write_all(&kit::response(503, &headers, b"failed"))
                    .is_ok();
            }
            writer
                .write_all(&kit::sealed(request, "", payment.as_bytes()))
                .is_ok()
        };
        Server::open(&format!("r-{number}"), "ledger", "a", answer).keep_registered(&store);
    }
    let instances = Instance::start_all(&folder, store.address, &["a", "b", "c"]);
    if !instances.iter().all(|instance| instance.wait_ready(15_000)) {
        drop(instances);
        kit::finish(&record, 2, "the instances are not ready");
    }
    sleep_ms(1_000);
    let seen: Arc<Mutex<(Vec<String>, usize)>> = Arc::default();
    let callers = (0..CALLERS).map(|caller| {
        let (seen, runs, record) = (seen.clone(), runs.clone(), record.clone());
        let fronts: Vec<_> = instances.iter().map(|instance| instance.front).collect();
        thread::spawn(move || {
            for number in 0..PAYMENTS {
                let payment = format!("payment-{caller}-{number}");
                // A caller retries a request that may run once only after a promise that it has not run.
                for attempt in 1..=2 {
                    let id = format!("{payment}-try-{attempt}");
                    let request =
                        kit::request("POST", "/pay/x", &id, 1_000, "", payment.as_bytes());
                    let answer =
                        kit::exchange(fronts[(caller + attempt) % fronts.len()], &request, 2_000);
                    record.line(format!("caller: {id} answered {}", answer.status));
                    lock(&seen).1 += usize::from(answer.status == 200);
                    if ![408, 421, 429, 503].contains(&answer.status) {
                        break;
                    }
                    if lock(&runs)
                        .get(&payment)
                        .is_some_and(|ids| ids.contains(&id))
                    {
                        lock(&seen).0.push(id);
                    }
                }
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let (promised, answered) = lock(&seen).clone();
    drop(instances);
    let twice = lock(&runs).values().filter(|ids| ids.len() > 1).count();
    let counts = format!(
        "{} payments, {answered} answered 200; {} attempts that ran were answered with a promise that they had not; \
         {twice} payments ran twice",
        CALLERS * PAYMENTS,
        promised.len()
    );
    match promised.len() {
        0 => kit::finish(&record, 0, &format!("REFUSED held: {counts}")),
        _ => kit::finish(&record, 1, &format!("REFUSED broken: {counts}")),
    }
}

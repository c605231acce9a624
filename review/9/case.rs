//! BUDGET: crashes that a machine can't report to the store at once are never told to the other machines, so that a request
//! which has crashed three runners crashes more of them long after the store is back.

#[path = "../kit-2/mod.rs"]
mod kit;

#[path = "../kit-2/crashing.rs"]
mod crashing;

use crashing::{Arrivals, HARMFUL, open_runner};
use kit::{Folder, Instance, Record, Store, Treatment, lock, sleep_ms};

const INSTANCES: usize = 6;
const RUNNERS: usize = 10;
/// The time after the third crash, and after the store's outage, from which retries count (`stabilityWindowMs`).
const STABILITY_MS: u128 = 3_000;
/// The largest number of retries that may reach runners after that.
const MAX_RETRIES: usize = 3;
/// How long the store is down.
const OUTAGE_MS: u64 = 4_000;
/// The pause between two attempts of the request.
const ATTEMPT_GAP_MS: u64 = 150;

fn main() {
    let has_trouble = kit::has_trouble();
    let record = Record::open();
    let folder = Folder::open();
    let store = Store::open();
    let terms = "\"timeoutMs\":1000,\"targetLatencyMs\":150,\"maxAttempts\":1,\"stages\":[]";
    let routes = [kit::route("pay", "unsafe", "ledger", terms)];
    let services = [kit::plain_service("ledger", 96)];
    store.put("keyed.op", "config", kit::config(3, &routes, &services, &["key-1"]).as_bytes());
    let arrivals = Arrivals::default();
    for number in 1..=RUNNERS {
        open_runner(&format!("ledger-{number}"), false, &store, &record, &arrivals);
    }
    let zones = ["a", "a", "b", "b", "c", "c"];
    let instances = Instance::start_all(&folder, store.address, &zones);
    if !instances.iter().all(|instance| instance.wait_ready(15_000)) {
        drop(instances);
        kit::finish(&record, 2, "the instances are not ready");
    }
    sleep_ms(3_000);
    let send = |number: usize, at: usize| {
        let id = format!("harmful-{number}");
        let request = kit::request("POST", "/pay/again", &id, 1_000, "", HARMFUL);
        let answer = kit::exchange(instances[at].front, &request, 2_000);
        record.line(format!("caller: {id} at {} answered {}", instances[at].node, answer.status));
        sleep_ms(ATTEMPT_GAP_MS);
    };
    if has_trouble {
        record.line("disruption: the store is down, it answers 503");
        store.treat(|_| Treatment::Busy);
    }
    let down_at = record.ms();
    let mut number = 0;
    while lock(&arrivals).len() < 3 && record.ms() - down_at < u128::from(OUTAGE_MS) / 2 {
        send(number, number % 3);
        number += 1;
    }
    sleep_ms(OUTAGE_MS - u64::try_from(record.ms() - down_at).unwrap_or_default().min(OUTAGE_MS));
    store.treat(|_| Treatment::Serve);
    record.line("the store is up");
    let back_at = record.ms();
    sleep_ms(u64::try_from(STABILITY_MS).unwrap_or_default() + 1_000);
    record.line("the request comes again, at all machines");
    for at in 0..2 * INSTANCES {
        send(number + at, (3 + at) % INSTANCES);
    }
    sleep_ms(1_000);
    drop(instances);
    let arrivals = lock(&arrivals).clone();
    let third = arrivals.get(2).copied();
    let Some(third) = third else {
        kit::finish(&record, 2, "the request has not crashed three runners");
    };
    let counted_from = third.max(back_at) + STABILITY_MS;
    let late = arrivals.iter().filter(|at| **at > counted_from).count();
    let counts = format!(
        "{} crashes, the third at {third} ms; the store is up from {back_at} ms; {late} retries reached runners later than \
         {STABILITY_MS} ms after both",
        arrivals.len()
    );
    match late {
        0..=MAX_RETRIES => kit::finish(&record, 0, &format!("BUDGET held: {counts}")),
        _ => kit::finish(&record, 1, &format!("BUDGET broken: {counts}")),
    }
}

//! All processes of the system are killed while streams are under way, and clients take the streams up again.

#[path = "../kit/mod.rs"]
mod kit;
#[path = "../kit/streams.rs"]
mod streams;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use kit::{Instance, Log, SIGKILL, Store};
use streams::{DEADLINE_S, EVENTS, Outcome, attempt};

/// The streams that are under way when the processes are killed.
const STREAMS: usize = 30;
const KILLED_AT_S: f64 = 3.0;
const DOWN: Duration = Duration::from_millis(1_000);

/// A machine is in touch once its processes have run for this long (`stabilityWindowMs`).
const STABILITY_S: f64 = 3.0;

/// When clients take their streams up, in seconds after the kill; the sheet has one retry.
const TAKEN_UP_AT_S: f64 = 5.5;

/// When new streams are sent, in seconds after the kill.
const NEW_FROM_S: f64 = 5.0;
const NEW_STREAMS: usize = 30;

fn main() {
    let log = kit::begin();
    let folder = kit::folder();
    let store = Store::open();
    streams::open_runners(&log, &store);
    let mut instances: Vec<Instance> = [("front-1", "a"), ("front-2", "b"), ("front-3", "a")]
        .map(|(name, zone)| Instance::start(&folder, &store, name, zone))
        .into();
    instances.iter().for_each(Instance::wait_ready);
    thread::sleep(Duration::from_secs(2));

    let fronts: Vec<SocketAddr> = instances.iter().map(|instance| instance.front).collect();
    let outcome: Arc<Mutex<Outcome>> = Arc::default();
    let killed_at = log.now() + KILLED_AT_S;
    let back_at: Arc<Mutex<f64>> = Arc::new(Mutex::new(f64::INFINITY));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (log, fronts, outcome, back_at) = (log.clone(), fronts.clone(), outcome.clone(), back_at.clone());
        clients.push(thread::spawn(move || stream(&log, &fronts, number, killed_at, &back_at, &outcome)));
        thread::sleep(Duration::from_millis(30));
    }
    sleep_until(&log, killed_at);
    if kit::has_trouble() {
        log.line("all processes are killed");
        instances.iter().for_each(|instance| instance.signal(SIGKILL));
        instances.iter_mut().for_each(Instance::wait);
        thread::sleep(DOWN);
        instances.iter_mut().for_each(Instance::spawn);
        log.line("all processes are started again");
    }
    *back_at.lock().unwrap() = log.now();
    sleep_until(&log, killed_at + NEW_FROM_S);
    for number in 0..NEW_STREAMS {
        let (log, outcome) = (log.clone(), outcome.clone());
        let front = fronts[number % fronts.len()];
        clients.push(thread::spawn(move || {
            let id = format!("n{number:04}");
            let events = attempt(&log, front, &id, "", DEADLINE_S, 3);
            let mut outcome = outcome.lock().unwrap();
            outcome.sent += 1;
            outcome.began += usize::from(!events.is_empty());
        }));
        thread::sleep(Duration::from_millis(50));
    }
    clients.into_iter().for_each(|client| drop(client.join()));

    let outcome = *outcome.lock().unwrap();
    outcome.judge(&log);
}

fn sleep_until(log: &Log, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - log.now()).max(0.0)));
}

/// A client that begins a stream, and takes it up once, after some seconds, if it breaks.
fn stream(
    log: &Log,
    fronts: &[SocketAddr],
    number: usize,
    killed_at: f64,
    back_at: &Mutex<f64>,
    outcome: &Mutex<Outcome>,
) {
    let sent_at = log.now();
    let first = format!("s{number:04}");
    let events = attempt(log, fronts[number % fronts.len()], &first, "", DEADLINE_S, EVENTS);
    let last = *events.last().unwrap_or(&0);
    if last == 0 || last == EVENTS {
        return;
    }
    sleep_until(log, killed_at + TAKEN_UP_AT_S);
    let left = DEADLINE_S - (log.now() - sent_at);
    let is_in_touch = log.now() - *back_at.lock().unwrap() >= STABILITY_S;
    let went_on = streams::take_up(log, fronts[(number + 1) % fronts.len()], &first, last, left);
    if is_in_touch {
        let mut outcome = outcome.lock().unwrap();
        outcome.taken_up += 1;
        outcome.went_on += usize::from(went_on);
    }
}

//! Machines are removed for good, one after the other, and others are added; later one process is killed while streams are
//! under way, and clients take the streams up at the other machine.

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

use kit::{Instance, Log, SIGKILL, SIGTERM, Store};
use streams::{DEADLINE_S, EVENTS, Outcome, attempt};

/// The machines that each zone has had, of which the last one stays.
const MACHINES: usize = 7;

/// The streams that are under way when a process is killed, and when, in seconds after the first one.
const STREAMS: usize = 30;
const KILLED_AT_S: f64 = 3.0;

/// When clients take their streams up, in seconds after the kill.
const TAKEN_UP_AT_S: f64 = 1.0;
const NEW_STREAMS: usize = 30;

fn main() {
    let log = kit::begin();
    let folder = kit::folder();
    let store = Store::open();
    streams::open_runners(&log, &store);

    // One machine at a time is replaced; its successor is ready before.
    let mut live: Vec<Instance> = Vec::new();
    for number in 1..=MACHINES {
        for (at, zone) in ["b", "c"].into_iter().enumerate() {
            let name = format!("front-{zone}-{number}");
            let instance = Instance::start(&folder, &store, &name, zone);
            instance.wait_ready();
            log.line(format!("{name} is added"));
            if live.len() <= at {
                live.push(instance);
                continue;
            }
            let mut old = std::mem::replace(&mut live[at], instance);
            let (how, signal) = match kit::has_trouble() {
                true => ("without", SIGKILL),
                false => ("with", SIGTERM),
            };
            old.signal(signal);
            log.line(format!("{} is removed for good, {how} SIGTERM", old.name));
            if !kit::has_trouble() {
                thread::spawn(move || old.wait());
            } else {
                old.wait();
            }
        }
    }
    // The last ones that were stopped have ended after `graceS`; all machines that stay are in touch.
    thread::sleep(Duration::from_secs(9));

    let (fronts, outcome) = ([live[0].front, live[1].front], Arc::new(Mutex::new(Outcome::default())));
    let killed_at = log.now() + KILLED_AT_S;
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (log, outcome) = (log.clone(), outcome.clone());
        clients.push(thread::spawn(move || stream(&log, fronts, number, killed_at, &outcome)));
        thread::sleep(Duration::from_millis(30));
    }
    sleep_until(&log, killed_at);
    log.line(format!("{} is killed", live[0].name));
    live[0].signal(SIGKILL);
    live[0].wait();
    sleep_until(&log, killed_at + TAKEN_UP_AT_S);
    for number in 0..NEW_STREAMS {
        let (log, outcome) = (log.clone(), outcome.clone());
        clients.push(thread::spawn(move || {
            let events = attempt(&log, fronts[1], &format!("n{number:04}"), "", DEADLINE_S, 3);
            let mut outcome = outcome.lock().unwrap();
            outcome.sent += 1;
            outcome.began += usize::from(!events.is_empty());
        }));
        thread::sleep(Duration::from_millis(30));
    }
    sleep_until(&log, killed_at + 3.5);
    live[0].spawn();
    log.line(format!("{} is started again", live[0].name));
    clients.into_iter().for_each(|client| drop(client.join()));
    let outcome = *outcome.lock().unwrap();
    outcome.judge(&log);
}

fn sleep_until(log: &Log, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - log.now()).max(0.0)));
}

/// A client that begins a stream at the first machine, and takes it up once at the second one, if it breaks.
fn stream(log: &Log, fronts: [SocketAddr; 2], number: usize, killed_at: f64, outcome: &Mutex<Outcome>) {
    let sent_at = log.now();
    let first = format!("s{number:04}");
    let events = attempt(log, fronts[0], &first, "", DEADLINE_S, EVENTS);
    let last = *events.last().unwrap_or(&0);
    if last == 0 || last == EVENTS {
        return;
    }
    sleep_until(log, killed_at + TAKEN_UP_AT_S);
    let went_on = streams::take_up(log, fronts[1], &first, last, DEADLINE_S - (log.now() - sent_at));
    let mut outcome = outcome.lock().unwrap();
    outcome.taken_up += 1;
    outcome.went_on += usize::from(went_on);
}

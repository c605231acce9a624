//! All machines are stopped and started in turn while streams are under way, and clients take up those that are cut.

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

use kit::{Instance, Log, SIGTERM, Store};
use streams::{DEADLINE_S, EVENTS, Outcome, attempt};

/// The streams that are under way at the machine that is stopped last.
const STREAMS: usize = 30;

/// When the first machine is stopped, in seconds after the last stream began, and the pause until the next one.
const ROLL_FROM_S: f64 = 0.5;
const ROLL_GAP_S: f64 = 1.3;

/// How soon the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(500);

/// How soon a client takes up a stream that breaks.
const RETRY: Duration = Duration::from_millis(200);

const NEW_FROM_S: f64 = 10.0;
const NEW_STREAMS: usize = 30;

fn main() {
    let log = kit::begin();
    let folder = kit::folder();
    let store = Store::open();
    streams::open_runners(&log, &store);
    let instances: Vec<Instance> = [("front-1", "a"), ("front-2", "b"), ("front-3", "a")]
        .map(|(name, zone)| Instance::start(&folder, &store, name, zone))
        .into();
    instances.iter().for_each(Instance::wait_ready);
    // All machines are in touch.
    thread::sleep(Duration::from_secs(4));

    let fronts: Vec<SocketAddr> = instances.iter().map(|instance| instance.front).collect();
    let outcome: Arc<Mutex<Outcome>> = Arc::default();
    // When each machine is in touch.
    let in_touch_from = Arc::new(Mutex::new(vec![0.0; fronts.len()]));
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        let (log, fronts, outcome, in_touch_from) = (log.clone(), fronts.clone(), outcome.clone(), in_touch_from.clone());
        threads.push(thread::spawn(move || stream(&log, &fronts, number, &in_touch_from, &outcome)));
        thread::sleep(Duration::from_millis(10));
    }
    let roll_from = log.now() + ROLL_FROM_S;
    // The machine with the streams is the last one.
    for (at, mut instance) in instances.into_iter().enumerate().rev() {
        let (log, in_touch_from) = (log.clone(), in_touch_from.clone());
        let stopped_at = roll_from + ROLL_GAP_S * (2 - at) as f64;
        threads.push(thread::spawn(move || {
            if !kit::has_trouble() {
                return;
            }
            sleep_until(&log, stopped_at);
            in_touch_from.lock().unwrap()[at] = f64::INFINITY;
            log.line(format!("{} gets SIGTERM", instance.name));
            instance.signal(SIGTERM);
            instance.wait();
            log.line(format!("{} has ended", instance.name));
            thread::sleep(RESTART);
            instance.spawn();
            in_touch_from.lock().unwrap()[at] = log.now() + 3.0;
            instance.wait_ready();
            log.line(format!("{} is ready again", instance.name));
            sleep_until(&log, roll_from + 30.0);
        }));
    }
    sleep_until(&log, roll_from + NEW_FROM_S);
    for number in 0..NEW_STREAMS {
        let (log, outcome) = (log.clone(), outcome.clone());
        let front = fronts[1 + number % 2];
        threads.push(thread::spawn(move || {
            let events = attempt(&log, front, &format!("n{number:04}"), "", DEADLINE_S, 3);
            let mut outcome = outcome.lock().unwrap();
            outcome.sent += 1;
            outcome.began += usize::from(!events.is_empty());
        }));
        thread::sleep(Duration::from_millis(30));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let outcome = *outcome.lock().unwrap();
    outcome.judge(&log);
}

fn sleep_until(log: &Log, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - log.now()).max(0.0)));
}

/// A client that begins a stream at the first machine, and takes it up once at another one, if it breaks.
fn stream(log: &Log, fronts: &[SocketAddr], number: usize, in_touch_from: &Mutex<Vec<f64>>, outcome: &Mutex<Outcome>) {
    let sent_at = log.now();
    let first = format!("s{number:04}");
    let events = attempt(log, fronts[0], &first, "", DEADLINE_S, EVENTS);
    let last = *events.last().unwrap_or(&0);
    if last == 0 || last == EVENTS {
        return;
    }
    thread::sleep(RETRY);
    let other = 1 + number % 2;
    let is_in_touch = log.now() >= in_touch_from.lock().unwrap()[other];
    let went_on = streams::take_up(log, fronts[other], &first, last, DEADLINE_S - (log.now() - sent_at));
    if is_in_touch {
        let mut outcome = outcome.lock().unwrap();
        outcome.taken_up += 1;
        outcome.went_on += usize::from(went_on);
    }
}

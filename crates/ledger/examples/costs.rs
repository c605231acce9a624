//! Prints the costs of the ledger: memory per slot, bytes per record, and appends per call at
//! several batch windows.

use core::time::Duration;
use std::{collections::BTreeMap, fs};

use argh::FromArgs;
use base::{Code, Digest, Incarnation, Key, Stamp, Tick};
use ledger::{
    Now, configs,
    owner::{Action, Event, Owner, Verdict},
    partition,
    projection::Projection,
    record::{self, Answer, Record},
    slot::{Nonce, Slot},
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ISSUED: Stamp = Stamp::from_millis(1_000_000_000);
const SEED: u64 = 7;

/// The simulated time of an append, and of a call whose claim won.
const APPEND_TIME: Duration = Duration::from_millis(5);
const CALL_TIME: Duration = Duration::from_millis(50);

/// Calls per partition and second at the design size: 360 calls/s over 32 partitions.
const CALLS_PER_SECOND: f64 = 360.0 / 32.0;

/// Print what the ledger costs for each slot, record and call.
#[derive(FromArgs)]
struct Options {
    /// the bytes of each answer (default 200)
    #[argh(option, default = "200")]
    answer: usize,
}

fn main() {
    let options: Options = argh::from_env();
    print_record_bytes(options.answer);
    print_memory(options.answer);
    for factor in [0.01, 0.125, 1.0, 4.0] {
        for window in [20, 50, 100, 150, 200] {
            print_appends(
                CALLS_PER_SECOND * factor,
                Duration::from_millis(window),
                options.answer,
            );
        }
    }
}

fn slot(at: u64) -> Slot {
    let issued = Stamp::from_millis(ISSUED.as_millis() + at);
    Slot::new("adinkra", &Key::from_parts(issued, at.into()), "deposit")
}

fn claim(slot: Slot, at: u64) -> Record {
    Record::Claim {
        slot,
        nonce: nonce(at),
        holder: Incarnation::new("entry-17", ISSUED),
        body: Digest::of(&at.to_be_bytes()),
    }
}

fn nonce(at: u64) -> Nonce {
    let digest = Digest::of(&at.to_be_bytes());
    Nonce::from_random(u128::from(digest.prefix()) << 64 | u128::from(at))
}

fn done(slot: Slot, at: u64, body: usize) -> Record {
    let answer = Answer::new(Code::Answered, "x".repeat(body), 1).unwrap();
    let nonce = nonce(at);
    Record::Done {
        slot,
        nonce,
        answer,
    }
}

/// Prints the size of each kind of record in a batch of eight.
fn print_record_bytes(body: usize) {
    let claims: Vec<Record> = (1..=8).map(|at| claim(slot(at), at)).collect();
    let outcomes: Vec<Record> = (1..=8).map(|at| done(slot(at), at, body)).collect();
    println!(
        "record: claim {} B, outcome with an answer of {body} B {} B",
        record::encode(&claims).len() / 8,
        record::encode(&outcomes).len() / 8
    );
}

/// Prints how the resident memory of the process grows with the slots of a projection.
fn print_memory(body: usize) {
    let mut projection = Projection::new(configs::Projection::default());
    projection.set_log_start(0, ISSUED);
    let start = resident_kb();
    let mut offset = 0;
    for size in [100_000, 200_000, 400_000] {
        while offset / 2 < size {
            let at = offset / 2;
            projection.apply_body(offset, &record::encode(&[claim(slot(at), at)]), ISSUED);
            let outcome = record::encode(&[done(slot(at), at, body)]);
            projection.apply_body(offset + 1, &outcome, ISSUED);
            offset += 2;
        }
        let grown = resident_kb().saturating_sub(start);
        println!(
            "memory: {size} slots done, answers of {body} B: {grown} KB, {} B a slot",
            grown * 1024 / size
        );
    }
}

/// Returns the resident memory of this process, in KB.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// An event that is due at a simulated time, in microseconds.
enum Due {
    Call(u64),
    Done(u64),
    Appended(u64),
    Wake,
}

/// Prints the appends per call at a rate of calls, in simulated time.
fn print_appends(rate: f64, window: Duration, body: usize) {
    const SECONDS: u64 = 600;
    let config = configs::Owner {
        batch_window: window,
        ..configs::Owner::default()
    };
    let mut owner = Owner::new(config, 0, None);
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut due = BTreeMap::new();
    let slots: Vec<Slot> = (0..)
        .map(slot)
        .filter(|slot| partition::for_slot(slot) == 0)
        .take(40_000)
        .collect();
    let mut order = 0;
    let mut time = 0.0;
    let mut calls = 0;
    while time < (SECONDS * 1_000_000) as f64 {
        due.insert((time as u64, order), Due::Call(order));
        order += 1;
        calls += 1;
        let share = f64::from(random.next_u32()) / f64::from(u32::MAX);
        time -= share.max(1e-9).ln() / rate * 1e6;
    }
    let mut end = 0;
    let mut waits = Vec::new();
    let mut started = BTreeMap::new();
    owner.handle(now(0), Event::Tick);
    let page = Event::Page {
        first: 0,
        end: 0,
        records: Vec::new(),
    };
    owner.handle(now(0), page);
    while let Some(((at, _), what)) = due.pop_first() {
        let event = match what {
            Due::Call(call) => {
                started.insert(call, at);
                let record = claim(slots[call as usize], call);
                Event::Submit {
                    token: 2 * call,
                    record,
                }
            }
            Due::Done(call) => {
                let record = done(slots[call as usize], call, body);
                Event::Submit {
                    token: 2 * call + 1,
                    record,
                }
            }
            Due::Appended(offset) => Event::Appended { offset },
            Due::Wake => Event::Tick,
        };
        let mut actions = owner.handle(now(at), event);
        for action in actions.drain(..) {
            order += 1;
            match action {
                Action::Append { .. } => {
                    let landed = at + APPEND_TIME.as_micros() as u64;
                    due.insert((landed, order), Due::Appended(end));
                    end += 1;
                }
                Action::Reply {
                    token,
                    verdict: Verdict::Won,
                } => {
                    waits.push(at - started[&(token / 2)]);
                    let answered = at + CALL_TIME.as_micros() as u64;
                    due.insert((answered, order), Due::Done(token / 2));
                }
                Action::Reply { .. } | Action::Read { .. } => {}
            }
        }
        if let Some(wake) = owner.next_wakeup() {
            order += 1;
            due.insert((wake.as_micros().max(at + 1), order), Due::Wake);
        }
    }
    waits.sort_unstable();
    let stats = owner.stats();
    println!(
        "appends: {rate:.2} calls/s, window {window:?}: {:.2} a call, {:.1}/s, reads {}, \
         claim decided p50 {} ms, p99 {} ms, {:.0} B/s",
        stats.appends as f64 / f64::from(calls),
        stats.appends as f64 / SECONDS as f64,
        stats.reads,
        waits[waits.len() / 2] / 1000,
        waits[waits.len() * 99 / 100] / 1000,
        stats.append_bytes as f64 / SECONDS as f64,
    );
}

fn now(micros: u64) -> Now {
    Now {
        tick: Tick::from_micros(micros),
        // Later than the issue of the last key.
        wall: ISSUED + Duration::from_secs(7_200),
    }
}

//! Prints the costs of deferred requests: bytes per record and task, time per record and scheduling run.

use std::{fs, time::Instant};

use argh::FromArgs;
use base::{Code, Digest, Incarnation, Key, Outcome, Stamp, Tick};
use defer::{
    Projection, Record, Scheduler,
    configs::Config,
    record::{Ending, Request},
    scheduler::Context,
};

const PAGE_BYTES: f64 = 4_096.0;
const START: Stamp = Stamp::from_millis(1_000_000_000);

/// The number of scheduling runs over which the time is averaged.
const RUNS: u32 = 10;

/// Print what deferred requests cost at several numbers of tasks.
#[derive(FromArgs)]
struct Options {
    /// the bytes of each input and output (default 2000)
    #[argh(option, default = "2_000")]
    body: usize,
}

fn main() {
    let options: Options = argh::from_env();
    let body = "x".repeat(options.body);
    println!("body {} B", options.body);
    println!("accepted {} B", encode_request(0, &body).len());
    println!("ended {} B", encode_ending(0, &body).len());
    for tasks in [1_000, 10_000, 100_000] {
        measure(tasks, &body);
    }
}

fn measure(tasks: u128, body: &str) {
    let mut projection = Projection::new(Config::default().outcome_retention);
    let before = resident_bytes();
    let open = time_records(tasks, |at| encode_request(at, body), &mut projection);
    let held = resident_bytes() - before;
    let mut scheduler = Scheduler::new(Config::default());
    let first = time_scheduling(&mut scheduler, &projection);
    let next: f64 = (0..RUNS)
        .map(|_| time_scheduling(&mut scheduler, &projection))
        .sum();
    let ended = time_records(tasks, |at| encode_ending(at, body), &mut projection);
    println!(
        "{tasks} tasks: {:.0} B each, accepted {open:.1} us, ended {ended:.1} us, \
         first run {first:.1} ms, later runs {:.1} ms",
        held / tasks as f64,
        next / f64::from(RUNS),
    );
}

/// Applies a record of each task, and returns the microseconds per record.
fn time_records(tasks: u128, text: impl Fn(u128) -> String, projection: &mut Projection) -> f64 {
    let mut micros = 0.0;
    for at in 0..tasks {
        let text = text(at);
        let offset = projection.next_offset();
        let start = Instant::now();
        projection.apply(offset, &text);
        micros += start.elapsed().as_secs_f64() * 1e6;
    }
    micros / tasks as f64
}

/// Runs the scheduler once, and returns the milliseconds that it took.
fn time_scheduling(scheduler: &mut Scheduler, projection: &Projection) -> f64 {
    let own = Incarnation::new("entry-1", START);
    let members = [own.clone()];
    let cx = Context {
        members: &members,
        now: Tick::default(),
        own: &own,
        partition: 0,
        wall: START,
    };
    let start = Instant::now();
    let actions = scheduler.next_actions(cx, projection);
    let millis = start.elapsed().as_secs_f64() * 1e3;
    assert!(actions.len() <= Config::default().max_running);
    millis
}

fn new_request(at: u128, body: &str) -> Request {
    Request {
        account: "authors".into(),
        at: START,
        body: Digest::of(&at.to_be_bytes()),
        deadline: START + Config::default().outcome_retention,
        input: body.into(),
        key: Key::from_parts(START, at),
        pipeline: "manuscript-report".into(),
    }
}

fn encode_request(at: u128, body: &str) -> String {
    Record::Accepted(new_request(at, body)).to_json()
}

fn encode_ending(at: u128, body: &str) -> String {
    let request = new_request(at, "");
    Record::Ended(Ending {
        at: START,
        body: request.body,
        carries: None,
        code: Code::Answered,
        deadline: request.deadline,
        outcome: Outcome::Answered,
        output: body.into(),
        task: request.task(),
    })
    .to_json()
}

/// Returns the resident memory of the process, in bytes.
fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").expect("statm");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.expect("a number of pages") * PAGE_BYTES
}

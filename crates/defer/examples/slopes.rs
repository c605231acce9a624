//! Prints what deferred requests cost: bytes for each record and task, time for each record and look.

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

/// Looks over which the time of one is averaged.
const LOOKS: u32 = 10;

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
    println!("accepted {} B", request(0, &body).len());
    println!("ended {} B", ending(0, &body).len());
    for tasks in [1_000, 10_000, 100_000] {
        measure(tasks, &body);
    }
}

fn measure(tasks: u128, body: &str) {
    let mut projection = Projection::new(Config::default().outcome_retention);
    let before = resident();
    let open = time(tasks, |at| request(at, body), &mut projection);
    let held = resident() - before;
    let mut scheduler = Scheduler::new(Config::default());
    let first = look(&mut scheduler, &projection);
    let next: f64 = (0..LOOKS).map(|_| look(&mut scheduler, &projection)).sum();
    let ended = time(tasks, |at| ending(at, body), &mut projection);
    println!(
        "{tasks} tasks: {:.0} B each, accepted {open:.1} us, ended {ended:.1} us, \
         first look {first:.1} ms, later looks {:.1} ms",
        held / tasks as f64,
        next / f64::from(LOOKS),
    );
}

/// Applies a record for each task, written beforehand a few at a time; returns microseconds each.
fn time(tasks: u128, text: impl Fn(u128) -> String, projection: &mut Projection) -> f64 {
    let mut micros = 0.0;
    for at in 0..tasks {
        let text = text(at);
        let offset = projection.next_offset();
        let began = Instant::now();
        projection.apply(offset, &text);
        micros += began.elapsed().as_secs_f64() * 1e6;
    }
    micros / tasks as f64
}

/// Looks once; returns milliseconds.
fn look(scheduler: &mut Scheduler, projection: &Projection) -> f64 {
    let own = Incarnation::new("entry-1", START);
    let members = [own.clone()];
    let cx = Context {
        members: &members,
        now: Tick::default(),
        own: &own,
        partition: 0,
        wall: START,
    };
    let began = Instant::now();
    let actions = scheduler.next_actions(cx, projection);
    let millis = began.elapsed().as_secs_f64() * 1e3;
    assert!(actions.len() <= Config::default().max_running);
    millis
}

fn asked(at: u128, body: &str) -> Request {
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

fn request(at: u128, body: &str) -> String {
    Record::Accepted(asked(at, body)).to_json()
}

fn ending(at: u128, body: &str) -> String {
    let request = asked(at, "");
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

/// Returns the resident bytes of the process.
fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").expect("statm");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.expect("a number of pages") * PAGE_BYTES
}

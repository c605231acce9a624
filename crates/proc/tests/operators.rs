//! Concurrent roll-outs by operators in separate processes, with lost answers.

use core::{cell::Cell, time::Duration};
use std::{fs, path::PathBuf, rc::Rc};

use actix_web::rt::{spawn, task::JoinHandle, time::sleep};
use base::Digest;
use bundle::sign::Key;
use googletest::prelude::*;
use proc::{
    fakes, poll,
    process::Process,
    scene::{Builder, Scene},
};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(30);

/// The interval at which the configuration in force is read.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

const POOL: &str = "entries-api";

/// The number of races; each starts from the bundle that won the race before.
const RACES: u64 = 3;

/// The result of an operator's process.
struct Output {
    code: Option<i32>,
    text: String,
}

/// Records which bundles one instance has in force.
struct Watch {
    digests: JoinHandle<Vec<Digest>>,
    stopped: Rc<Cell<bool>>,
}

async fn in_force(url: &str) -> Option<Digest> {
    let position = fakes::get(&format!("{url}/v1/position")).await;
    serde_json::from_value(position["digest"].clone()).ok()
}

fn watch(url: &str) -> Watch {
    let (stopped, url) = (Rc::new(Cell::new(false)), url.to_owned());
    let stop_flag = Rc::clone(&stopped);
    let digests = spawn(async move {
        let mut digests: Vec<Digest> = Vec::new();
        loop {
            // The last read comes after the end of the races.
            let last = stop_flag.get();
            let digest = in_force(&url).await;
            digests.extend(digest.filter(|digest| digests.last() != Some(digest)));
            if last {
                return digests;
            }
            sleep(POLL_INTERVAL).await;
        }
    });
    Watch { digests, stopped }
}

/// Writes an example's key to a temporary file.
fn key_file(role: &str) -> PathBuf {
    let name = format!("limpetstep-{role}-{}.key", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, Key::example(role).secret()).expect("a file");
    path
}

/// Starts an operator's process that rolls out a bundle.
fn operator(scene: &Scene, key: &str, digest: Digest, base: Digest) -> Process {
    let roots = ["author", "steward"].map(|role| Key::example(role).public().to_string());
    let args = [
        "--platform",
        &scene.platform.url,
        "--roots",
        &roots.join(","),
        "--key",
        key,
        "--timeout-ms",
        "1000",
        "roll-out",
        &digest.to_string(),
        "--base",
        &base.to_string(),
    ];
    Process::spawn("limpetstep-ctl", &args.map(str::to_owned))
}

async fn outcome(mut process: Process) -> Output {
    let code = process.wait(TIMEOUT).await.and_then(|exit| exit.code());
    // The last lines of output may still be in the pipe.
    let output = poll::until(TIMEOUT, async || {
        let lines = process.lines();
        (!lines.is_empty()).then(|| lines.join("\n"))
    });
    Output {
        code,
        text: output.await.unwrap_or_default(),
    }
}

fn is_subsequence(part: &[Digest], whole: &[Digest]) -> bool {
    let mut rest = whole.iter();
    part.iter().all(|one| rest.any(|other| other == one))
}

#[gtest]
#[actix_web::test]
async fn two_operators_roll_out_at_once_and_one_wins_everywhere() {
    let builder = Builder::new("compas").domains(2).entries(2);
    let scene = builder.pools(&[POOL]).start().await;
    let (file, url) = (key_file("author"), &scene.entries[0].url);
    let key = file.to_str().expect("a path");
    let watches: Vec<Watch> = scene.entries.iter().map(|one| watch(&one.url)).collect();
    let mut order = vec![in_force(url).await.expect("a bundle in force")];
    for race in 1..=RACES {
        let base = *order.last().expect("a base");
        let mut rivals = Vec::new();
        for version in [2 * race, 2 * race + 1] {
            rivals.push(scene.propose(version, &format!("v{version}"), POOL).await);
        }
        let faults = json!({"slow_ms": 20, "lose_answers": race % 3});
        fakes::set_faults(&scene.platform.url, faults).await;
        let operators: Vec<Process> = rivals
            .iter()
            .map(|digest| operator(&scene, key, *digest, base))
            .collect();
        let mut outputs = Vec::new();
        for operator in operators {
            outputs.push(outcome(operator).await);
        }
        fakes::set_faults(
            &scene.platform.url,
            json!({"slow_ms": 0, "lose_answers": 0}),
        )
        .await;
        let codes: Vec<_> = outputs.iter().map(|output| output.code).collect();
        let texts: Vec<_> = outputs.iter().map(|output| &output.text).collect();
        expect_that!(
            codes,
            unordered_elements_are![some(eq(&0)), some(eq(&1))],
            "{texts:#?}"
        );
        let winner = usize::from(codes[0] != Some(0));
        expect_that!(*texts[winner], contains_substring("rolled out"));
        let lost = format!("{} is in force", rivals[winner]);
        expect_that!(*texts[1 - winner], contains_substring(lost));
        order.push(rivals[winner]);
        for entry in &scene.entries {
            let reached = poll::until(TIMEOUT, async || {
                (in_force(&entry.url).await? == rivals[winner]).then_some(())
            });
            expect_that!(reached.await, some(anything()), "{}", entry.name);
        }
    }
    for watch in watches {
        watch.stopped.set(true);
        let digests = watch.digests.await.expect("the recorded digests");
        expect_that!(
            is_subsequence(&digests, &order),
            eq(true),
            "{digests:?} {order:?}"
        );
        expect_that!(digests.last(), eq(order.last()));
    }
    fs::remove_file(file).expect("the key's file");
}

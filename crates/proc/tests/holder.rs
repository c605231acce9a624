//! Claim holders that are killed before the log has the outcome of their calls.

use core::time::Duration;

use actix_web::rt::spawn;
use base::{Incarnation, Key, Stamp};
use googletest::prelude::*;
use ledger::{partition, slot::Slot};
use member::rendezvous;
use proc::{
    caller::{self, Caller, Reply, Request},
    fakes, poll,
    process::Signal,
    scene::{Builder, Scene},
};
use serde_json::json;

const ACCOUNT: &str = "contest-office";

/// Longer than the timeout after which an instance counts as gone.
const TIMEOUT: Duration = Duration::from_secs(40);

const POOL: &str = "entries-api";

/// More appends than a test makes.
const ALL_APPENDS: u64 = 10_000;

async fn scene(domains: usize, entries: usize) -> Scene {
    let builder = Builder::new("compas").domains(domains).entries(entries);
    let builder = builder.servers(2).unlimited();
    builder.pools(&[POOL, "roster-sync"]).start().await
}

fn pay(key: Key, within: Duration) -> Request {
    let request = Request::new("fee-payment", json!({"band": "Quetzal"}));
    request.key(key).within(within)
}

fn incarnation(scene: &Scene, entry: usize) -> Incarnation {
    let text = scene.entries[entry].process.wait_for_word("incarnation ");
    let (name, start) = text.rsplit_once('@').expect("name and start");
    Incarnation::new(name, Stamp::from_millis(start.parse().expect("a start")))
}

/// Returns a key whose records the instance appends itself, so that they are lost with it.
fn key_owned_by(scene: &Scene, owner: usize) -> Key {
    let mut names: Vec<_> = (0..scene.entries.len())
        .filter(|at| scene.entries[*at].domain == scene.entries[owner].domain)
        .map(|at| incarnation(scene, at))
        .collect();
    names.sort();
    let wanted = incarnation(scene, owner);
    let owned = |key: &Key| {
        let stream = partition::stream_name(partition::for_slot(&Slot::new(ACCOUNT, key, "")));
        rendezvous::owner(&names, stream.as_bytes()) == Some(&wanted)
    };
    core::iter::repeat_with(caller::key)
        .find(owned)
        .expect("a key")
}

async fn runs(scene: &Scene, key: Key) -> u64 {
    fakes::runs(&scene.urls(POOL), key).await
}

/// Kills the first instance after its caller has the answer and before the log has the outcome.
async fn kill_unrecorded(scene: &Scene) -> (Key, Reply) {
    let key = key_owned_by(scene, 0);
    scene.set_faults(POOL, json!({"slow_ms": 400})).await;
    let (url, request) = (scene.entries[0].url.clone(), pay(key, TIMEOUT));
    let sent = spawn(async move { Caller::new(ACCOUNT).send(&url, &request).await.ok() });
    let ran = poll::until(TIMEOUT, async || {
        (runs(scene, key).await == 1).then_some(())
    });
    assert_that!(ran.await, some(anything()));
    // The call ran, so the claim is in the log. The outcome must not reach it.
    fakes::set_faults(
        &scene.platform.url,
        json!({"hang_appends_before": ALL_APPENDS}),
    )
    .await;
    let first = sent.await.unwrap().expect("an answer");
    scene.entries[0].process.signal(Signal::Kill);
    fakes::set_faults(&scene.platform.url, json!({"hang_appends_before": 0})).await;
    scene.set_faults(POOL, json!({"slow_ms": 0})).await;
    (key, first)
}

/// Repeats the request until its outcome is final, then once more with a short and a long deadline.
async fn expect_unknown(scene: &Scene, entry: usize, key: Key) {
    let url = &scene.entries[entry].url;
    let caller = Caller::new(ACCOUNT);
    let known = poll::until(TIMEOUT, async || {
        let asked = caller.send(url, &pay(key, Duration::from_secs(2))).await;
        let reply = asked.ok()?;
        expect_that!(reply.outcome(), not(eq("not_run")), "{:#}", reply.body);
        (reply.code() == 400).then_some(())
    });
    assert_that!(known.await, some(anything()), "entry {entry}");
    for within in [Duration::from_secs(2), TIMEOUT] {
        let reply = caller.send(url, &pay(key, within)).await.unwrap();
        // A request that waits until its deadline gets another code.
        expect_that!(reply.code(), eq(400), "entry {entry}: {:#}", reply.body);
    }
    let reply = caller.status(url, key).await.unwrap();
    expect_that!(reply.code(), eq(400), "{:#}", reply.body);
}

#[gtest]
#[actix_web::test]
async fn the_holder_is_killed_between_its_answer_and_the_record() {
    let mut scene = scene(1, 2).await;
    let (key, first) = kill_unrecorded(&scene).await;
    expect_that!(first.code(), eq(100), "{:#}", first.body);
    expect_unknown(&scene, 1, key).await;
    let name = scene.entries[0].name.clone();
    let again = scene.start_entry("domain-1", &name);
    scene.wait_entry_ready(again).await;
    expect_unknown(&scene, again, key).await;
    expect_unknown(&scene, 1, key).await;
    expect_that!(runs(&scene, key).await, eq(1));
}

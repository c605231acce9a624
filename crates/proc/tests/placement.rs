//! Model placement: the lease holder orders engines to load models, in separate processes.

use core::time::Duration;
use std::time::Instant;

use awc::Client;
use googletest::prelude::*;
use proc::{
    caller::{Caller, Request},
    fakes, poll,
    process::Signal,
    scene::{Builder, Entry, Scene},
};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(60);
const POOL: &str = "planned";
const PIPELINES: [&str; 2] = ["ask-alpha", "ask-beta"];

/// The lease term that the entry instances are configured with.
const LEASE_TERM: Duration = Duration::from_millis(1_500);

/// Polls of the holder, about 25 rounds, during which the other instance must make none.
const POLLS: u64 = 50;

/// Returns a pool whose engines have memory for one model each; no pipeline needs `gamma`.
fn bundle(checks_fencing: bool) -> String {
    let models = ["alpha", "beta", "gamma"];
    let weights =
        models.map(|model| format!("\n[[pools.weights]]\nmodel = \"{model}\"\nbytes = 10\n"));
    let pipelines = ["alpha", "beta"].map(|model| {
        format!(
            "\n[[pipelines]]\nname = \"ask-{model}\"\ndeadline_ms = 5000\n\
             [[pipelines.stages]]\nname = \"encode\"\npool = \"{POOL}\"\nmodel = \"{model}\"\n"
        )
    });
    format!(
        "\n[[pools]]\nname = \"{POOL}\"\nkind = \"encode\"\nmodels = {models:?}\n\
         checks_fencing = {checks_fencing}\nmemory_bytes = 15\n{}{}",
        weights.concat(),
        pipelines.concat()
    )
}

async fn scene(checks_fencing: bool) -> Scene {
    builder(checks_fencing).start().await
}

fn builder(checks_fencing: bool) -> Builder {
    let term = LEASE_TERM.as_millis().to_string();
    let args = ["--lease-term-ms", &term, "--order-limit-ms", "300"];
    Builder::new("compas")
        .extra_bundle(&bundle(checks_fencing))
        .entry_args(&args)
        .pools(&[POOL])
        .servers(2)
        .unlimited()
}

async fn orders(url: &str) -> Value {
    fakes::get(&format!("{url}/v1/orders")).await
}

/// Sends an order as a planner would, and returns the status of the answer.
async fn order(url: &str, fence: u64, models: &[&str]) -> u16 {
    let body = json!({"fence": fence, "want": {"models": models}});
    let sent = Client::new()
        .post(format!("{url}/v1/orders"))
        .send_json(&body);
    sent.await.expect("an answer").status().as_u16()
}

/// Returns the models that each engine holds, sorted.
async fn held(urls: &[String]) -> Vec<Value> {
    let mut held = Vec::new();
    for url in urls {
        held.push(orders(url).await["held"].clone());
    }
    held.sort_by_key(Value::to_string);
    held
}

/// Waits until one engine holds each requested model and none holds another.
async fn converged(urls: &[String]) -> Option<()> {
    poll::until(TIMEOUT, async || {
        (held(urls).await == [json!(["alpha"]), json!(["beta"])]).then_some(())
    })
    .await
}

/// Returns one of an instance's placement metrics.
async fn metric(entry: &Entry, name: &str) -> u64 {
    let mut response = Client::new()
        .get(format!("{}/metrics", entry.url))
        .send()
        .await
        .expect("an answer");
    let text = response.body().await.expect("a body");
    let text = String::from_utf8_lossy(&text).into_owned();
    let mut lines = text
        .lines()
        .filter(|line| line.starts_with("limpetstep_placement"));
    let line = lines.find(|line| line.contains(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or_default()
}

/// Waits until one of some instances holds the lease, and returns its index.
async fn holder(scene: &Scene, among: &[usize]) -> usize {
    let found = poll::until(TIMEOUT, async || {
        for at in among {
            if metric(&scene.entries[*at], "placement_lease").await == 1 {
                return Some(*at);
            }
        }
        None
    });
    found.await.expect("a holder")
}

async fn every_pipeline_is_answered(scene: &Scene, entry: &Entry) {
    let caller = Caller::new(scene.bundle.accounts[0].name.as_str());
    for pipeline in PIPELINES {
        let reply = caller
            .send(&entry.url, &Request::new(pipeline, json!({})))
            .await;
        let reply = reply.unwrap();
        expect_that!(reply.code(), eq(100), "{:#}", reply.body);
    }
}

#[gtest]
#[actix_web::test]
async fn empty_engines_load_what_is_asked_for_and_only_the_holder_asks_them() {
    let scene = scene(true).await;
    let urls = scene.urls(POOL);
    assert_that!(converged(&urls).await, some(anything()));
    // An effect is counted once the holder has polled the engine again, which is after the engine
    // converged. The lease changes hands once while the instances discover each other, so that one
    // effect may be counted by neither and an engine may get the same order twice.
    let effects = poll::until(TIMEOUT, async || {
        let mut effects = 0;
        for entry in &scene.entries {
            effects += metric(entry, "\"effect\"").await;
        }
        (effects >= 1).then_some(())
    });
    expect_that!(effects.await, some(anything()));
    for url in &urls {
        let orders = orders(url).await;
        expect_that!(orders["taken"].as_u64(), some(le(2)));
        expect_that!(orders["refused"], eq(&json!(0)));
    }
    let only = poll::until(TIMEOUT, async || {
        let before = polls(&scene).await;
        let holder = holder(&scene, &[0, 1]).await;
        let enough = poll::until(TIMEOUT, async || {
            (polls(&scene).await[holder] >= before[holder] + POLLS).then_some(())
        });
        let other = 1 - holder;
        (enough.await.is_some() && polls(&scene).await[other] == before[other]).then_some(())
    });
    expect_that!(only.await, some(anything()));
}

async fn polls(scene: &Scene) -> [u64; 2] {
    let [first, second] = [&scene.entries[0], &scene.entries[1]];
    [
        metric(first, "\"poll\"").await,
        metric(second, "\"poll\"").await,
    ]
}

/// Pauses the holder beyond its term, lets the other instance send orders, and resumes the first.
///
/// The test sends the late order of the first holder itself, with its fencing number.
async fn a_paused_holder_does_no_harm(checks_fencing: bool) {
    let mut scene = scene(checks_fencing).await;
    assert_that!(converged(&scene.urls(POOL)).await, some(anything()));
    let first = holder(&scene, &[0, 1]).await;
    let old = orders(&scene.urls(POOL)[0]).await["fence"]
        .as_u64()
        .unwrap();
    scene.entries[first].process.signal(Signal::Stop);

    // An engine is replaced by an empty one, to which only another holder can send orders.
    let lost = scene.servers.remove(0);
    drop(lost);
    let fresh = scene.start_server("domain-1", POOL, "domain-1-planned-3");
    let second = holder(&scene, &[1 - first]).await;
    expect_that!(converged(&scene.urls(POOL)).await, some(anything()));
    let fresh = scene.servers[fresh].url.clone();
    let new = orders(&fresh).await["fence"].as_u64().unwrap();
    expect_that!(new, gt(old));

    let status = order(&fresh, old, &["gamma"]).await;
    expect_that!(status, eq(if checks_fencing { 409 } else { 200 }));
    expect_that!(converged(&scene.urls(POOL)).await, some(anything()));

    // The first holder resumes just when an order is due.
    order(&fresh, new, &["gamma"]).await;
    scene.entries[first].process.signal(Signal::Continue);
    expect_that!(converged(&scene.urls(POOL)).await, some(anything()));
    holder(&scene, &[first]).await;
    let given_up = poll::until(TIMEOUT, async || {
        (metric(&scene.entries[second], "placement_lease").await == 0).then_some(())
    });
    expect_that!(given_up.await, some(anything()));
    expect_that!(converged(&scene.urls(POOL)).await, some(anything()));
    let refused = orders(&fresh).await["refused"].clone();
    expect_that!(refused, eq(&json!(u8::from(checks_fencing))));
    for entry in &scene.entries {
        expect_that!(metric(entry, "\"refused\"").await, eq(0), "{}", entry.name);
        every_pipeline_is_answered(&scene, entry).await;
    }
}

#[gtest]
#[actix_web::test]
async fn a_paused_holder_does_no_harm_on_engines_that_check_fencing_numbers() {
    a_paused_holder_does_no_harm(true).await;
}

#[gtest]
#[actix_web::test]
async fn a_paused_holder_does_no_harm_on_engines_that_ignore_fencing_numbers() {
    a_paused_holder_does_no_harm(false).await;
}

#[gtest]
#[actix_web::test]
async fn while_the_platform_is_down_engines_keep_what_they_hold_and_requests_go_on() {
    let scene = scene(true).await;
    let urls = scene.urls(POOL);
    assert_that!(converged(&urls).await, some(anything()));
    let holder = holder(&scene, &[0, 1]).await;
    fakes::set_faults(&scene.platform.url, json!({"down": true})).await;
    let ended = poll::until(TIMEOUT, async || {
        (metric(&scene.entries[holder], "placement_lease").await == 0).then_some(())
    });
    assert_that!(ended.await, some(anything()));

    // One engine is emptied; without a lease no instance may refill it.
    let fence = orders(&urls[0]).await["fence"].as_u64().unwrap();
    order(&urls[0], fence, &[]).await;
    let kept = orders(&urls[1]).await;
    let taken = orders(&urls[0]).await["taken"].clone();
    let until = Instant::now() + 3 * LEASE_TERM;
    while Instant::now() < until {
        for entry in &scene.entries {
            every_pipeline_is_answered(&scene, entry).await;
        }
        expect_that!(orders(&urls[0]).await["taken"], eq(&taken));
    }
    expect_that!(orders(&urls[1]).await, eq(&kept));

    fakes::set_faults(&scene.platform.url, json!({"down": false})).await;
    expect_that!(converged(&urls).await, some(anything()));
}

/// The number of log reads during which the holder's polls and appends are counted.
const READS: u64 = 200;

#[gtest]
#[actix_web::test]
async fn polls_and_appends_do_not_grow_with_the_engines() {
    let mut rates = Vec::new();
    for engines in [2, 8] {
        let scene = builder(true).entries(1).servers(engines).start().await;
        let entry = &scene.entries[0];
        holder(&scene, &[0]).await;
        let events = ["\"read\"", "\"poll\"", "\"append\""];
        let mut before = [0; 3];
        for (count, event) in before.iter_mut().zip(events) {
            *count = metric(entry, event).await;
        }
        let enough = poll::until(TIMEOUT, async || {
            (metric(entry, events[0]).await >= before[0] + READS).then_some(())
        });
        assert_that!(enough.await, some(anything()));
        let mut counts = [0; 3];
        for at in 0..3 {
            counts[at] = metric(entry, events[at]).await - before[at];
        }
        let [reads, polls, appends] = counts;
        println!("{engines} engines: {reads} reads, {polls} polls, {appends} appends");
        // One record every two thirds of a term, which is 20 rounds.
        expect_that!(appends, le(reads / 10), "{engines}");
        rates.push(polls as f64 / reads as f64);
    }
    expect_that!(rates[1], le(1.25 * rates[0]));
}

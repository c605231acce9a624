//! Deferred requests under failure.

use core::time::Duration;

use actix_web::rt::time::sleep;
use base::Key;
use futures_util::future::join_all;
use googletest::prelude::*;
use proc::{
    caller::{self, Caller, Reply, Request},
    expect, fakes, poll,
    process::Signal,
    scene::{Builder, Scene},
};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(40);
const PIPELINE: &str = "manuscript-report";
const PARTITIONS: u16 = 8;
const POOLS: [&str; 3] = ["artist-portfolio", "author-portal", "brief-writer"];

/// Longer than an instance takes to start a task and to retry it once.
const OUTAGE: Duration = Duration::from_secs(4);

struct Report<'a> {
    request: Request,
    caller: Caller,
    input: Value,
    key: Key,
    scene: &'a Scene,
}

async fn scene() -> Scene {
    let builder = Builder::new("adinkra").servers(2).unlimited();
    builder.pools(&POOLS).start().await
}

impl<'a> Report<'a> {
    fn new(scene: &'a Scene, text: &str) -> Self {
        let (input, key) = (json!({ "text": text }), caller::key());
        Self {
            request: Request::new(PIPELINE, input.clone()).key(key),
            caller: Caller::new("authors"),
            input,
            key,
            scene,
        }
    }

    async fn send(&self, entry: usize) -> Reply {
        let url = &self.scene.entries[entry].url;
        self.caller.send(url, &self.request).await.unwrap()
    }

    async fn status(&self, entry: usize) -> Reply {
        let url = &self.scene.entries[entry].url;
        self.caller.status(url, self.key).await.unwrap()
    }

    /// Waits until an instance reports the final outcome of the request.
    async fn end(&self, entry: usize) -> Reply {
        let ended = poll::until(TIMEOUT, async || {
            let reply = self.status(entry).await;
            (reply.code() != 101).then_some(reply)
        });
        ended.await.expect("the request ends in time")
    }

    async fn expect_whole(&self, entry: usize) {
        let reply = self.end(entry).await;
        expect_that!(reply.code(), eq(100), "{:#}", reply.body);
        let bundle = &self.scene.bundle;
        let output = expect::output(bundle, PIPELINE, &self.input, Some(self.key));
        expect_that!(reply.body["output"], eq(&output));
    }
}

async fn platform(scene: &Scene, change: Value) {
    fakes::set_faults(&scene.platform.url, change).await;
}

/// Returns the number of records of deferred requests in the log.
async fn records(scene: &Scene) -> u64 {
    let mut total = 0;
    for partition in 0..PARTITIONS {
        let url = format!("{}/log/work-{partition}?from=0&limit=1", scene.platform.url);
        total += fakes::get(&url).await["end"].as_u64().expect("an offset");
    }
    total
}

fn expect_stored(reply: &Reply) {
    let told = (reply.status, reply.code(), reply.outcome());
    expect_that!(told, eq((202, 101, "in_progress")), "{:#}", reply.body);
}

#[gtest]
#[actix_web::test]
async fn another_instance_answers_when_the_one_that_stored_is_killed() {
    let scene = scene().await;
    let reports: Vec<_> = (0..16)
        .map(|at| Report::new(&scene, &format!("chapter {at}")))
        .collect();
    let stored = join_all(reports.iter().map(|report| report.send(0))).await;
    scene.entries[0].process.signal(Signal::Kill);
    stored.iter().for_each(expect_stored);
    for report in &reports {
        report.expect_whole(1).await;
    }
}

#[gtest]
#[actix_web::test]
async fn nothing_is_stored_while_the_platform_is_down() {
    let scene = scene().await;
    let report = Report::new(&scene, "a chapter");
    platform(&scene, json!({"down": true})).await;
    // Only the caller knows that a key is new; for a repeat, `not_run` would be a guess.
    let request = report.request.clone().first_use();
    let first = report.caller.send(&scene.entries[0].url, &request).await;
    let first = first.unwrap();
    expect_that!(first.outcome(), eq("not_run"), "{:#}", first.body);
    expect_that!(first.body["retry_after_ms"].as_u64(), some(gt(0)));
    let again = report.send(1).await;
    expect_that!(again.outcome(), eq("unknown"), "{:#}", again.body);
    let status = report.status(0).await;
    expect_that!(status.outcome(), eq("unknown"), "{:#}", status.body);
    platform(&scene, json!({"down": false})).await;
    sleep(OUTAGE).await;
    expect_that!(records(&scene).await, eq(0));
    let status = report.status(0).await;
    expect_that!(
        status.code(),
        not(any!(eq(100), eq(101))),
        "{:#}",
        status.body
    );
    expect_stored(&report.send(1).await);
    report.expect_whole(0).await;
    // At least the request and its outcome; this shows that the count of 0 above was valid.
    expect_that!(records(&scene).await, ge(2));
}

#[gtest]
#[actix_web::test]
async fn answers_of_appends_are_lost() {
    let scene = scene().await;
    for fault in ["lose_answers", "hang_appends", "hang_appends_before"] {
        let report = Report::new(&scene, fault);
        platform(&scene, json!({fault: 1})).await;
        let first = report.send(0).await;
        match (fault, first.code()) {
            // Nothing was stored, so the answer must not claim that it was.
            ("hang_appends_before", code) => expect_that!(code, eq(401), "{:#}", first.body),
            // Another instance completed it before the append timed out.
            ("hang_appends", 100) => {}
            _ => expect_stored(&first),
        }
        let again = report.send(1).await;
        expect_that!(
            again.code(),
            any!(eq(100), eq(101)),
            "{fault}: {:#}",
            again.body
        );
        report.expect_whole(1).await;
    }
}

#[gtest]
#[actix_web::test]
async fn one_key_has_one_outcome_and_one_body() {
    let scene = scene().await;
    let report = Report::new(&scene, "a chapter");
    let stored = join_all([0, 1, 0, 1].map(|entry| report.send(entry))).await;
    for reply in &stored {
        expect_that!(reply.code(), any!(eq(100), eq(101)), "{:#}", reply.body);
    }
    let mut other = Report::new(&scene, "another chapter");
    other.request.key = Some(report.key);
    for entry in [0, 1] {
        let refused = other.send(entry).await;
        expect_that!(refused.code(), eq(207), "{:#}", refused.body);
    }
    report.expect_whole(0).await;
    report.expect_whole(1).await;
    let ended = report.send(1).await;
    expect_that!(ended.code(), eq(100), "{:#}", ended.body);
    expect_that!(
        ended.body["output"],
        eq(&report.status(0).await.body["output"])
    );
    expect_that!(other.send(0).await.code(), eq(207));
}

#[gtest]
#[actix_web::test]
async fn a_task_outlives_an_outage_of_a_pool() {
    let scene = scene().await;
    scene
        .set_faults("brief-writer", json!({"down": true}))
        .await;
    let report = Report::new(&scene, "a chapter");
    expect_stored(&report.send(0).await);
    sleep(OUTAGE).await;
    expect_stored(&report.status(1).await);
    scene
        .set_faults("brief-writer", json!({"down": false}))
        .await;
    report.expect_whole(1).await;
}

#[gtest]
#[actix_web::test]
async fn a_task_whose_deadline_passes_ends_so() {
    let scene = scene().await;
    scene
        .set_faults("brief-writer", json!({"down": true}))
        .await;
    let mut report = Report::new(&scene, "a chapter");
    report.request = report.request.within(OUTAGE);
    expect_stored(&report.send(0).await);
    for entry in [0, 1] {
        let reply = report.end(entry).await;
        expect_that!(
            reply.body["title"].as_str(),
            some(contains_substring("deadline")),
            "{:#}",
            reply.body
        );
        expect_that!(reply.outcome(), not(eq("answered")), "{:#}", reply.body);
    }
}

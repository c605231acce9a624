//! The status screens of instances in two failure domains.

use core::time::Duration;
use std::collections::BTreeMap;

use actix_web::rt::time::sleep;
use awc::Client;
use googletest::prelude::*;
use proc::{
    caller::{self, Caller, Request},
    poll,
    process::Signal,
    scene::{Builder, Scene},
};
use serde_json::json;

/// How long the screens are compared in each state: five of their periods of 10 s.
const WATCH_TIME: Duration = Duration::from_secs(50);
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A minute until an instance publishes its counts, one until they are summed, and the settle time.
const COUNT_TIMEOUT: Duration = Duration::from_secs(150);

/// The views that the screens showed: the content by view number, and how often all numbers agreed.
#[derive(Default)]
struct Observation {
    contents: BTreeMap<String, String>,
    agreed: usize,
}

impl Observation {
    /// Reads every screen repeatedly and expects one content for each view number.
    async fn watch(&mut self, urls: &[String]) {
        let reads = WATCH_TIME.as_millis() / POLL_INTERVAL.as_millis();
        for _ in 0..reads {
            let mut numbers = Vec::new();
            for url in urls {
                if let Some((number, content)) = read_screen(url).await {
                    let known = self
                        .contents
                        .entry(number.clone())
                        .or_insert_with(|| content.clone());
                    assert_that!(*known, eq(&content), "view {number}");
                    numbers.push(number);
                }
            }
            let same = numbers.windows(2).all(|pair| pair[0] == pair[1]);
            self.agreed += usize::from(same && numbers.len() == urls.len());
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the view number and the content of a screen; none before its first view.
async fn read_screen(url: &str) -> Option<(String, String)> {
    let mut response = Client::default()
        .get(format!("{url}/screen"))
        .send()
        .await
        .ok()?;
    let body = response.body().await.ok()?;
    let page = String::from_utf8_lossy(&body).into_owned();
    let number = page
        .split_once("<h1>View ")?
        .1
        .split_once('<')?
        .0
        .to_owned();
    let content = page
        .split_once("<main>")?
        .1
        .split_once("</main>")?
        .0
        .to_owned();
    Some((number, content))
}

fn urls(scene: &Scene) -> Vec<String> {
    scene
        .entries
        .iter()
        .map(|entry| entry.url.clone())
        .collect()
}

/// Sends a request to each entry instance and returns the screen's table cells for the pipeline and
/// its first stage.
async fn serve(scene: &Scene) -> (String, String) {
    let mut pipelines = scene.bundle.pipelines.iter();
    let pipeline = pipelines
        .find(|one| !one.deferred && one.non_idempotent_stage().is_none())
        .expect("a pipeline");
    let account = pipeline.accounts.first();
    let account = account.unwrap_or(&scene.bundle.accounts[0].name);
    let name = pipeline.name.as_str();
    for entry in &scene.entries {
        let request = Request::new(name, json!({ "text": "a word" })).key(caller::key());
        let reply = Caller::new(account.as_str())
            .send(&entry.url, &request)
            .await;
        expect_that!(reply.expect("a reply").code(), eq(100));
    }
    let stage = pipeline.stages[0].name.as_str();
    let burn = format!("<tr><td>{name}<td>{:.2}%<td>", pipeline.objective * 100.0);
    (burn, format!("<tr><td>{name}<td>{stage}<td>"))
}

#[gtest]
#[actix_web::test]
async fn one_number_shows_one_thing_and_a_silent_domain_is_marked() {
    let scene = Builder::new("compas").domains(2).entries(1).start().await;
    let urls = urls(&scene);
    let (burn, stage) = serve(&scene).await;
    let mut observation = Observation::default();
    observation.watch(&urls).await;
    expect_that!(observation.agreed, gt(0));

    scene.entries[1].process.signal(Signal::Stop);
    observation.watch(&urls[..1]).await;
    let (_, content) = read_screen(&urls[0]).await.expect("a view");
    expect_that!(content, contains_substring("NOT HEARD"));

    scene.entries[1].process.signal(Signal::Continue);
    let before = observation.agreed;
    observation.watch(&urls).await;
    expect_that!(observation.agreed, gt(before));

    for url in &urls {
        let shown = poll::until(COUNT_TIMEOUT, async || {
            let (_, content) = read_screen(url).await?;
            let whole = content.contains(&burn) && content.contains(&stage);
            whole.then_some(())
        });
        expect_that!(shown.await, some(anything()), "{burn} and {stage} at {url}");
    }
}

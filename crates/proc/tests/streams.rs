//! Streamed answers that are cut, stalled, resumed, or interrupted by a killed instance.

use core::time::Duration;

use googletest::prelude::*;
use proc::{
    caller::{Caller, Events, Request},
    fakes,
    process::Signal,
    scene::{Builder, Scene},
};
use serde_json::{Value, json};

const POOL: &str = "limpet-pool";
const WHOLE: usize = usize::MAX;

async fn scene() -> Scene {
    let builder = Builder::new("compas").servers(2).unlimited();
    let builder = builder.progress(Duration::from_millis(500));
    builder
        .pools(&[POOL, "draw-board", "notify-bands", "roster-sync"])
        .start()
        .await
}

fn summary(tokens: u64) -> Request {
    let input = json!({"band": "Quetzal", "max_tokens": tokens});
    Request::new("scoring-summary", input).within(Duration::from_secs(20))
}

async fn read(scene: &Scene, entry: usize, request: &Request, most: usize) -> Events {
    let caller = Caller::new("adjudicators");
    let events = caller
        .stream(&scene.entries[entry].url, request, most)
        .await;
    events.unwrap_or_else(|problem| panic!("{problem:#?}"))
}

fn expect_whole(parts: &[&Events], whole: &Events) {
    let texts: Vec<String> = parts.iter().flat_map(|part| part.texts.clone()).collect();
    expect_that!(texts, eq(&whole.texts));
    let Some((name, data)) = parts.last().and_then(|part| part.end.as_ref()) else {
        return add_failure!("the stream has no end");
    };
    let Some((_, undisturbed)) = &whole.end else {
        return add_failure!("the undisturbed stream has no end");
    };
    expect_that!(name, eq("done"), "{data:#}");
    for field in ["count", "digest"] {
        expect_that!(data[field], eq(&undisturbed[field]));
    }
}

#[gtest]
#[actix_web::test]
async fn a_stream_goes_on_when_servers_cut_or_stall() {
    let scene = scene().await;
    let request = summary(40);
    let whole = read(&scene, 0, &request, WHOLE).await;
    assert_that!(whole.is_complete(), eq(true));
    for fault in ["cut_stream_after", "stall_stream_after"] {
        let broken = &scene.urls(POOL)[0];
        fakes::set_faults(broken, json!({fault: 7})).await;
        for _ in 0..6 {
            let events = read(&scene, 0, &request, WHOLE).await;
            expect_whole(&[&events], &whole);
        }
        fakes::set_faults(broken, json!({fault: null})).await;
    }
}

#[gtest]
#[actix_web::test]
async fn a_caller_resumes_on_either_instance() {
    let scene = scene().await;
    let request = summary(40);
    let whole = read(&scene, 0, &request, WHOLE).await;
    for entry in [0, 1] {
        let head = read(&scene, 0, &request, 9).await;
        let rest = request.clone().resume_after(head.last_id.clone());
        let tail = read(&scene, entry, &rest, WHOLE).await;
        expect_whole(&[&head, &tail], &whole);
    }
}

#[gtest]
#[actix_web::test]
async fn an_instance_is_killed_in_the_middle_of_a_stream() {
    let scene = scene().await;
    let request = summary(400);
    let whole = read(&scene, 1, &request, WHOLE).await;
    let caller = Caller::new("adjudicators");
    let url = scene.entries[0].url.clone();
    let killing = async {
        actix_web::rt::time::sleep(Duration::from_millis(200)).await;
        scene.entries[0].process.signal(Signal::Kill);
    };
    let (head, ()) = futures_util::join!(caller.stream(&url, &request, WHOLE), killing);
    let head = head.unwrap();
    expect_that!(head.end, none());
    expect_that!(head.texts.len(), all!(gt(0), lt(400)));
    let rest = request.clone().resume_after(head.last_id.clone());
    let tail = read(&scene, 1, &rest, WHOLE).await;
    expect_whole(&[&head, &tail], &whole);
}

#[gtest]
#[actix_web::test]
async fn a_stream_that_would_go_on_differently_is_refused() {
    let scene = scene().await;
    let head = read(&scene, 0, &summary(40), 9).await;
    let mut other = summary(40);
    other.input["band"] = json!("Ceiba");
    let rest = other.resume_after(head.last_id);
    let caller = Caller::new("adjudicators");
    let answer = caller.stream(&scene.entries[1].url, &rest, WHOLE).await;
    let code = match &answer {
        Ok(events) => events
            .end
            .as_ref()
            .map_or(Value::Null, |(_, data)| data["code"].clone()),
        Err(problem) => problem.body["code"].clone(),
    };
    expect_that!(code, eq(&json!(403)));
    expect_that!(answer.map_or(0, |events| events.texts.len()), eq(0));
}

#[gtest]
#[actix_web::test]
async fn a_caller_that_goes_away_frees_the_engine() {
    let scene = scene().await;
    let request = summary(100_000);
    read(&scene, 0, &request, 5).await;
    let running = proc::poll::until(Duration::from_secs(10), async || {
        let mut running = 0;
        for url in scene.urls(POOL) {
            running += fakes::get(&format!("{url}/v1/load")).await["running"].as_u64()?;
        }
        (running == 0).then_some(())
    });
    expect_that!(running.await, some(anything()));
}

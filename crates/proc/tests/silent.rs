//! Connections to callers and servers that go silent during a stream or a planned stop.

use core::time::Duration;

use actix_web::rt::{spawn, task::JoinHandle};
use futures_util::future::join_all;
use googletest::prelude::*;
use proc::{
    caller::{Caller, Events, Reply, Request},
    fakes,
    link::{Link, State},
    poll,
    process::Signal,
    scene::{Builder, Scene},
};
use serde_json::json;

/// The deadline of requests on silent connections during a stop.
const DEADLINE: Duration = Duration::from_secs(5);

/// Tokens of an answer that takes far longer than the detection of silence.
const ANSWER_TOKENS: u64 = 6_000;

/// Tokens of an answer that is larger than the buffers of its connections.
const UNBOUNDED_TOKENS: u64 = 1_000_000;

/// Longer than every stated limit on the detection of silence.
const TIMEOUT: Duration = Duration::from_secs(40);

const ENGINE_POOL: &str = "limpet-pool";

/// A pool that no other request in flight uses.
const SILENT_POOL: &str = "entries-api";

type Streamed = JoinHandle<std::result::Result<Events, Reply>>;

async fn scene() -> Scene {
    let builder = Builder::new("compas").entries(1).servers(1).unlimited();
    builder
        .pools(&[
            ENGINE_POOL,
            "draw-board",
            SILENT_POOL,
            "notify-bands",
            "roster-sync",
        ])
        .start()
        .await
}

async fn link(scene: &Scene) -> Link {
    let address = scene.entries[0].process.wait_for_word("listening ");
    Link::open(address.parse().unwrap()).await.unwrap()
}

fn summary(tokens: u64, within: Duration) -> Request {
    let input = json!({"band": "Quetzal", "max_tokens": tokens});
    Request::new("scoring-summary", input).within(within)
}

fn stream(url: String, request: &Request) -> Streamed {
    let request = request.clone();
    spawn(async move {
        let caller = Caller::new("adjudicators");
        caller.stream(&url, &request, usize::MAX).await
    })
}

async fn engine(scene: &Scene, path: &str, field: &str) -> u64 {
    let url = &scene.urls(ENGINE_POOL)[0];
    let value = fakes::get(&format!("{url}{path}")).await;
    value[field].as_u64().expect("a count")
}

async fn await_tokens(scene: &Scene, least: u64) {
    let begun = poll::until(TIMEOUT, async || {
        (engine(scene, "/stats", "tokens").await >= least).then_some(())
    });
    assert_that!(begun.await, some(anything()));
}

#[gtest]
#[actix_web::test]
async fn a_silent_caller_frees_the_engine_and_comes_back() {
    let scene = scene().await;
    let link = link(&scene).await;
    let request = summary(ANSWER_TOKENS, 2 * TIMEOUT);
    let before = engine(&scene, "/stats", "tokens").await;
    let streamed = stream(link.url(), &request);
    await_tokens(&scene, before + 100).await;
    link.set(State::Silent);
    let freed = poll::until(TIMEOUT, async || {
        (engine(&scene, "/v1/load", "running").await == 0).then_some(())
    });
    assert_that!(freed.await, some(anything()));
    // The engine was freed because of the silence, not because the answer ended.
    let tokens = engine(&scene, "/stats", "tokens").await - before;
    expect_that!(tokens, lt(ANSWER_TOKENS));
    link.set(State::Cut);
    let head = streamed.await.unwrap().unwrap();
    expect_that!(head.end, none());
    let rest = request.resume_after(head.last_id.clone());
    let tail = stream(scene.entries[0].url.clone(), &rest);
    let tail = tail.await.unwrap().unwrap();
    let whole = Events {
        texts: [head.texts, tail.texts].concat(),
        ..tail
    };
    expect_that!(
        whole.texts.len(),
        eq(usize::try_from(ANSWER_TOKENS).unwrap())
    );
    expect_that!(whole.is_complete(), eq(true));
}

#[gtest]
#[actix_web::test]
async fn a_stop_ends_while_connections_are_silent_and_cuts_nothing_else() {
    let mut scene = scene().await;
    let link = link(&scene).await;
    let url = scene.entries[0].url.clone();
    let before = engine(&scene, "/stats", "tokens").await;
    let silent = stream(link.url(), &summary(UNBOUNDED_TOKENS, DEADLINE));
    await_tokens(&scene, before + 100).await;
    link.set(State::Silent);
    scene.set_faults(SILENT_POOL, json!({"silent": true})).await;
    let status = Request::new("status", json!({"band": "Quetzal"})).within(DEADLINE);
    let caller = Caller::new("adjudicators");
    let unanswered = caller.send(&url, &status);
    let whole = summary(1_000, 2 * TIMEOUT);
    let streams = join_all((0..3).map(|_| caller.stream(&url, &whole, usize::MAX)));
    let stopping = async {
        await_tokens(&scene, before + 300).await;
        scene.entries[0].process.signal(Signal::Terminate);
    };
    let (unanswered, streams, ()) = futures_util::join!(unanswered, streams, stopping);
    for stream in streams {
        let whole = stream.as_ref().is_ok_and(Events::is_complete);
        expect_that!(whole, eq(true), "{stream:#?}");
    }
    let unanswered = unanswered.unwrap();
    expect_that!(unanswered.code(), not(eq(100)), "{:#}", unanswered.body);
    let exit = scene.entries[0].process.wait(TIMEOUT).await;
    expect_that!(exit.and_then(|exit| exit.code()), some(eq(0)));
    link.set(State::Cut);
    let cut = silent.await.unwrap();
    expect_that!(cut.is_ok_and(|events| events.is_complete()), eq(false));
}

//! Every pipeline of both examples, served by separate processes.

use core::time::Duration;

use futures_util::future::join_all;
use googletest::prelude::*;
use proc::{
    caller::{self, Caller, Request},
    expect, fakes,
    scene::Builder,
};
use serde_json::json;

async fn every_pipeline_is_served(example: &str) {
    let scene = Builder::new(example).domains(3).entries(2).start().await;
    let servers: Vec<_> = scene
        .servers
        .iter()
        .map(|server| server.url.clone())
        .collect();
    for entry in &scene.entries {
        for pipeline in &scene.bundle.pipelines {
            let account = pipeline.accounts.first();
            let account = account.unwrap_or(&scene.bundle.accounts[0].name);
            let caller = Caller::new(account.as_str());
            let name = pipeline.name.as_str();
            let input = json!({ "text": format!("for {}", entry.name) });
            let key = caller::key();
            let request = Request::new(name, input.clone()).key(key);
            let mut reply = caller.send(&entry.url, &request).await.unwrap();
            if pipeline.deferred {
                expect_that!(reply.code(), eq(101), "{name}: {:#}", reply.body);
                reply = caller.wait(&entry.url, key).await.unwrap();
            }
            expect_that!(reply.code(), eq(100), "{name}: {:#}", reply.body);
            let expected = expect::output(&scene.bundle, name, &input, Some(key));
            expect_that!(reply.body["output"], eq(&expected), "{name}");
            if pipeline.non_idempotent_stage().is_some() {
                expect_that!(fakes::runs(&servers, key).await, eq(1), "{name}");
            }
        }
    }
}

#[gtest]
#[actix_web::test]
async fn adinkra() {
    every_pipeline_is_served("adinkra").await;
}

#[gtest]
#[actix_web::test]
async fn compas() {
    every_pipeline_is_served("compas").await;
}

#[gtest]
#[actix_web::test]
async fn a_burst_on_new_servers_waits_for_its_turn() {
    let scene = Builder::new("compas").servers(2).start().await;
    let caller = Caller::new("adjudicators");
    let request =
        Request::new("status", json!({"band": "Quetzal"})).within(Duration::from_secs(20));
    let url = &scene.entries[0].url;
    let replies = join_all((0..24).map(|_| caller.send(url, &request))).await;
    for reply in replies {
        let reply = reply.unwrap();
        expect_that!(reply.code(), eq(100), "{:#}", reply.body);
    }
}

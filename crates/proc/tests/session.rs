//! A session of each example's user, compared with a snapshot.

use core::time::Duration;

use googletest::prelude::*;
use proc::{
    caller::{self, Caller, Reply, Request},
    scene::{Builder, Scene},
};
use serde_json::{Value, json};

/// One line of a session: the request and its answer.
fn line(request: &Request, reply: &Reply) -> Value {
    json!({
        "pipeline": request.pipeline,
        "input": request.input,
        "key": request.key.is_some(),
        "status": reply.status,
        "body": redacted(&reply.body),
    })
}

/// Replaces ids, times and costs by placeholders.
fn redacted(value: &Value) -> Value {
    const VARYING: [&str; 6] = [
        "cost",
        "key",
        "request",
        "retry_after_ms",
        "took_ms",
        "detail",
    ];
    match value {
        Value::Array(items) => items.iter().map(redacted).collect(),
        Value::Object(fields) => fields
            .iter()
            .map(
                |(name, value)| match VARYING.contains(&name.as_str()) && !value.is_null() {
                    true => (name.clone(), json!(format!("[{name}]"))),
                    false => (name.clone(), redacted(value)),
                },
            )
            .collect(),
        other => other.clone(),
    }
}

struct Session {
    caller: Caller,
    lines: Vec<Value>,
    scene: Scene,
}

impl Session {
    async fn open(example: &str, account: &str) -> Self {
        Self {
            caller: Caller::new(account),
            lines: Vec::new(),
            scene: Builder::new(example).start().await,
        }
    }

    async fn send(&mut self, entry: usize, request: Request) {
        let url = &self.scene.entries[entry].url;
        let reply = self.caller.send(url, &request).await.unwrap();
        self.lines.push(line(&request, &reply));
    }

    async fn stream(&mut self, entry: usize, request: Request) {
        let url = &self.scene.entries[entry].url;
        let events = self.caller.stream(url, &request, usize::MAX).await.unwrap();
        let (name, data) = events.end.unwrap();
        self.lines.push(json!({
            "pipeline": request.pipeline,
            "input": request.input,
            "tokens": events.texts,
            "end": name,
            "data": redacted(&data),
        }));
    }

    async fn status(&mut self, entry: usize, key: base::Key) {
        let url = &self.scene.entries[entry].url;
        let reply = self.caller.status(url, key).await.unwrap();
        let body = redacted(&reply.body);
        self.lines
            .push(json!({ "status_of_key": reply.status, "body": body }));
    }
}

#[gtest]
#[actix_web::test]
async fn adinkra() {
    let mut session = Session::open("adinkra", "authors").await;
    let request =
        |pipeline: &str, text: &str| Request::new(pipeline, json!({"text": text, "max_tokens": 8}));
    session
        .send(0, request("artist-question", "Which paper for gouache?"))
        .await;
    let key = caller::key();
    let release = request("deposit-release", "commission 7").key(key);
    session.send(0, release.clone()).await;
    session.send(1, release).await;
    session.status(1, key).await;
    session
        .send(1, request("deposit-release", "commission 8").key(key))
        .await;
    session
        .send(0, request("deposit-release", "commission 9"))
        .await;
    session
        .send(1, request("deposit-status", "commission 7"))
        .await;
    session.send(0, request("no-such-pipeline", "")).await;
    insta::assert_json_snapshot!(session.lines);
}

#[gtest]
#[actix_web::test]
async fn compas() {
    let mut session = Session::open("compas", "adjudicators").await;
    let request =
        |pipeline: &str, text: &str| Request::new(pipeline, json!({"text": text, "max_tokens": 8}));
    let key = caller::key();
    let registration = request("contest-registration", "Banda Quetzal").key(key);
    session.send(0, registration.clone()).await;
    session.send(1, registration).await;
    session.status(0, key).await;
    session
        .send(
            1,
            request("fee-payment", "Banda Quetzal").key(caller::key()),
        )
        .await;
    session
        .send(0, request("repertoire-check", "La Flor del Cafe"))
        .await;
    session
        .stream(0, request("scoring-summary", "Banda Quetzal"))
        .await;
    session.send(1, request("status", "Banda Quetzal")).await;
    let late = request("status", "Banda Quetzal").within(Duration::ZERO);
    session.send(1, late).await;
    insta::assert_json_snapshot!(session.lines);
}

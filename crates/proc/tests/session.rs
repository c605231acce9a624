//! A session of each example's user, compared with a snapshot.

use core::time::Duration;

use googletest::prelude::*;
use proc::{
    caller::{self, Ask, Caller, Reply},
    scene::{Builder, Scene},
};
use serde_json::{Value, json};

/// One line of a session: the request and its answer.
fn line(ask: &Ask, reply: &Reply) -> Value {
    json!({
        "pipeline": ask.pipeline,
        "input": ask.input,
        "key": ask.key.is_some(),
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
            caller: Caller::open(account),
            lines: Vec::new(),
            scene: Builder::new(example).start().await,
        }
    }

    async fn send(&mut self, entry: usize, ask: Ask) {
        let url = &self.scene.entries[entry].url;
        let reply = self.caller.send(url, &ask).await.unwrap();
        self.lines.push(line(&ask, &reply));
    }

    async fn stream(&mut self, entry: usize, ask: Ask) {
        let url = &self.scene.entries[entry].url;
        let events = self.caller.stream(url, &ask, usize::MAX).await.unwrap();
        let (name, data) = events.end.unwrap();
        self.lines.push(json!({
            "pipeline": ask.pipeline,
            "input": ask.input,
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
    let ask =
        |pipeline: &str, text: &str| Ask::new(pipeline, json!({"text": text, "max_tokens": 8}));
    session
        .send(0, ask("artist-question", "Which paper for gouache?"))
        .await;
    let key = caller::key();
    let release = ask("deposit-release", "commission 7").key(key);
    session.send(0, release.clone()).await;
    session.send(1, release).await;
    session.status(1, key).await;
    session
        .send(1, ask("deposit-release", "commission 8").key(key))
        .await;
    session
        .send(0, ask("deposit-release", "commission 9"))
        .await;
    session.send(1, ask("deposit-status", "commission 7")).await;
    session.send(0, ask("no-such-pipeline", "")).await;
    insta::assert_json_snapshot!(session.lines);
}

#[gtest]
#[actix_web::test]
async fn compas() {
    let mut session = Session::open("compas", "adjudicators").await;
    let ask =
        |pipeline: &str, text: &str| Ask::new(pipeline, json!({"text": text, "max_tokens": 8}));
    let key = caller::key();
    let registration = ask("contest-registration", "Banda Quetzal").key(key);
    session.send(0, registration.clone()).await;
    session.send(1, registration).await;
    session.status(0, key).await;
    session
        .send(1, ask("fee-payment", "Banda Quetzal").key(caller::key()))
        .await;
    session
        .send(0, ask("repertoire-check", "La Flor del Cafe"))
        .await;
    session
        .stream(0, ask("scoring-summary", "Banda Quetzal"))
        .await;
    session.send(1, ask("status", "Banda Quetzal")).await;
    let late = ask("status", "Banda Quetzal").within(Duration::ZERO);
    session.send(1, late).await;
    insta::assert_json_snapshot!(session.lines);
}

//! Tests of the backend server's stand-in over HTTP.

use core::time::Duration;

use awc::{Client, error::SendRequestError};
use base::{Digest, attempt::Attempt, request::Id};
use fake::{
    Handle,
    configs::server::Config,
    server::{Kind, output},
};
use futures_util::StreamExt as _;
use googletest::prelude::*;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_millis(400);

fn start(kind: Kind) -> Handle {
    let config = Config {
        kind,
        ..Config::default()
    };
    fake::server::bind(config).unwrap()
}

fn attempt() -> Attempt {
    Attempt::new(Id::from_random(1), 2, 0)
}

/// The parts of an answer that were received.
struct Reply {
    attempt: Option<String>,
    body: String,
    leaving: bool,
    status: u16,
}

impl Reply {
    fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }
}

async fn send(
    handle: &Handle,
    path: &str,
    body: Value,
) -> std::result::Result<Reply, SendRequestError> {
    let mut response = Client::builder()
        .timeout(TIMEOUT)
        .finish()
        .post(format!("{}{path}", handle.url()))
        .insert_header(("Limpetstep-Attempt", attempt().to_string()))
        .insert_header(("Idempotency-Key", "k"))
        .send_json(&body)
        .await?;
    let mut text = Vec::new();
    while let Some(Ok(chunk)) = response.next().await {
        text.extend_from_slice(&chunk);
    }
    let header = |name| {
        response
            .headers()
            .get(name)?
            .to_str()
            .ok()
            .map(str::to_owned)
    };
    Ok(Reply {
        attempt: header("Limpetstep-Attempt"),
        body: String::from_utf8(text).unwrap(),
        leaving: header("Limpetstep-Leaving").is_some(),
        status: response.status().as_u16(),
    })
}

async fn set_faults(handle: &Handle, change: Value) {
    let url = format!("{}/faults", handle.url());
    let response = Client::new().put(url).send_json(&change).await.unwrap();
    assert_that!(response.status().as_u16(), eq(200));
}

async fn get(handle: &Handle, path: &str) -> Value {
    let url = format!("{}{path}", handle.url());
    Client::new()
        .get(url)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap()
}

fn payment() -> Value {
    json!({"operation": "pay", "account": "a", "input": {"fee": 1}})
}

#[actix_web::test]
async fn a_call_is_answered_and_counted() {
    let handle = start(Kind::Service);
    let response = send(&handle, "/v1/call", payment()).await.unwrap();
    assert_that!(response.status, eq(200));
    assert_that!(response.attempt, some(eq(&attempt().to_string())));
    let answer = response.json();
    let expected = output::compute(Kind::Service, "pay", Some("k"), &json!({"fee": 1}), 0);
    assert_that!(answer["output"], eq(&expected));
    let runs = get(&handle, "/v1/runs/k").await;
    assert_that!(runs["runs"][0]["count"], eq(&json!(1)));
}

#[actix_web::test]
async fn refused_calls_did_not_run() {
    let handle = start(Kind::Service);
    for (change, status) in [
        (json!({"leaving": true}), 503),
        (json!({"leaving": false, "down": true}), 503),
        (json!({"down": false, "refuse_on": "fee"}), 422),
    ] {
        set_faults(&handle, change).await;
        let response = send(&handle, "/v1/call", payment()).await.unwrap();
        assert_that!(response.status, eq(status));
        let leaving = get(&handle, "/faults").await["leaving"] == true;
        assert_that!(response.leaving, eq(leaving));
    }
    assert_that!(get(&handle, "/v1/runs").await["runs"], eq(&json!([])));
}

#[actix_web::test]
async fn silence_and_closed_connections_give_no_answer() {
    let handle = start(Kind::Service);
    for (fault, runs) in [
        ("silent", 0),
        ("close_after_read", 0),
        ("silent_after_run", 1),
        ("close_after_run", 2),
    ] {
        set_faults(&handle, json!({fault: true})).await;
        assert_that!(
            send(&handle, "/v1/call", payment()).await.is_err(),
            eq(true)
        );
        set_faults(&handle, json!({fault: false})).await;
        let listed = get(&handle, "/v1/runs").await;
        assert_that!(listed["runs"][0]["count"].as_u64().unwrap_or(0), eq(runs));
    }
}

#[actix_web::test]
async fn crossed_answers_name_another_attempt() {
    let handle = start(Kind::Encode);
    set_faults(&handle, json!({"cross_answers": true})).await;
    let response = send(&handle, "/v1/call", payment()).await.unwrap();
    assert_that!(
        response.json()["attempt"],
        not(eq(&json!(attempt().to_string())))
    );
}

#[actix_web::test]
async fn a_crash_ends_the_server() {
    let handle = start(Kind::Encode);
    set_faults(&handle, json!({"crash_on": "fee"})).await;
    assert_that!(
        send(&handle, "/v1/call", payment()).await.is_err(),
        eq(true)
    );
    assert_that!(
        send(&handle, "/v1/call", payment()).await.is_err(),
        eq(true)
    );
}

fn generation(from: u64) -> Value {
    json!({"operation": "draft", "account": "a", "input": {"prompt": "a brief", "max_tokens": 6}, "from": from, "stream": "s"})
}

async fn events(handle: &Handle, from: u64) -> (String, Option<Value>) {
    let response = send(handle, "/v1/generate", generation(from))
        .await
        .unwrap();
    let mut whole = String::new();
    let mut last = None;
    for event in response.body.split_terminator("\n\n") {
        let data = event.split_once("data: ").unwrap().1;
        let data: Value = serde_json::from_str(data).unwrap();
        match event.contains("event: done") {
            true => last = Some(data),
            false => whole.push_str(data["text"].as_str().unwrap()),
        }
    }
    (whole, last)
}

#[actix_web::test]
async fn a_cut_stream_resumes_from_its_next_token() {
    let handle = start(Kind::Generate);
    let (whole, last) = events(&handle, 0).await;
    let last = last.unwrap();
    assert_that!(last["count"], eq(&json!(6)));
    assert_that!(last["digest"], eq(&json!(Digest::of(whole.as_bytes()))));
    set_faults(&handle, json!({"cut_stream_after": 2})).await;
    let (head, end) = events(&handle, 0).await;
    assert_that!(end, none());
    set_faults(&handle, json!({"cut_stream_after": null})).await;
    let (tail, end) = events(&handle, 2).await;
    assert_that!(head + &tail, eq(&whole));
    assert_that!(end.unwrap()["digest"], eq(&last["digest"]));
    assert_that!(last["cached_tokens"], eq(&json!(0)));
}

#[actix_web::test]
async fn an_old_fence_is_refused_where_it_is_checked() {
    for (checks_fencing, status) in [(true, 409), (false, 200)] {
        let handle = fake::server::bind(Config {
            checks_fencing,
            ..Config::default()
        })
        .unwrap();
        let url = format!("{}/v1/orders", handle.url());
        for (fence, expected) in [(2, 200), (1, status)] {
            let order = json!({"fence": fence, "want": {"models": ["m"]}});
            let response = Client::new().post(&url).send_json(&order).await.unwrap();
            assert_that!(response.status().as_u16(), eq(expected));
        }
    }
}

#[actix_web::test]
async fn open_connections_hang_and_new_ones_work() {
    let handle = start(Kind::Encode);
    let client = Client::builder().timeout(TIMEOUT).finish();
    let url = format!("{}/v1/load", handle.url());
    client.get(&url).send().await.unwrap().body().await.unwrap();
    set_faults(&handle, json!({"silence_open": true})).await;
    assert_that!(client.get(&url).send().await.is_err(), eq(true));
    let new = Client::builder().timeout(TIMEOUT).finish();
    assert_that!(new.get(&url).send().await.is_ok(), eq(true));
    assert_that!(
        get(&handle, "/faults").await["silence_open"],
        eq(&json!(false))
    );
}

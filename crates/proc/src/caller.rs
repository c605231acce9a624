//! A caller of the system.

use core::time::Duration;
use std::time::{SystemTime, UNIX_EPOCH};

use awc::{Client, ClientRequest, error::SendRequestError};
use base::{Digest, Key, Stamp};
use futures_util::StreamExt as _;
use serde_json::{Value, json};

use crate::poll;

/// The timeout of requests and of waiting for a deferred request.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The result code of a request that is stored and not answered yet.
const STORED_CODE: u64 = 101;

/// Sends requests for one client account.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    token: String,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The pipeline.
    pub pipeline: String,
    /// The input.
    pub input: Value,
    /// The idempotency key.
    pub key: Option<Key>,
    /// The time until the deadline; the pipeline's default if none.
    pub deadline: Option<Duration>,
    /// Whether the caller states that it never sent the key before.
    pub is_first_use: bool,
    /// The id of the last event received, to resume a stream.
    pub last_event: Option<String>,
}

/// An answer, a refusal or a problem.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body; null if it is not JSON.
    pub body: Value,
}

/// The received part of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Events {
    /// The id of the last token.
    pub last_id: Option<String>,
    /// The texts of the tokens.
    pub texts: Vec<String>,
    /// The name and the data of the final event; none if the stream was cut.
    pub end: Option<(String, Value)>,
}

impl Request {
    /// Returns a request without a key.
    pub fn new(pipeline: &str, input: Value) -> Self {
        Self {
            pipeline: pipeline.to_owned(),
            input,
            key: None,
            deadline: None,
            is_first_use: false,
            last_event: None,
        }
    }

    /// Sets the idempotency key.
    pub fn key(mut self, key: Key) -> Self {
        self.key = Some(key);
        self
    }

    /// Sets the time until the deadline.
    pub fn within(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// States that the key was never sent before.
    pub fn first_use(mut self) -> Self {
        self.is_first_use = true;
        self
    }

    /// Resumes a stream after an event.
    pub fn resume_after(mut self, last_event: Option<String>) -> Self {
        self.last_event = last_event;
        self
    }
}

impl Reply {
    /// Returns the result code, or 0 if there is none.
    pub fn code(&self) -> u64 {
        self.body["code"].as_u64().unwrap_or_default()
    }

    /// Returns the outcome of the request.
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }
}

impl Events {
    /// Returns the whole text.
    pub fn text(&self) -> String {
        self.texts.concat()
    }

    /// Returns whether the stream ended with `done` and its digest matches the text.
    pub fn is_complete(&self) -> bool {
        let Some((name, data)) = &self.end else {
            return false;
        };
        name == "done" && data["digest"] == json!(Digest::of(self.text().as_bytes()))
    }
}

impl Caller {
    /// Returns a caller of one of the examples' client accounts.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # async fn run() {
    /// let caller = proc::caller::Caller::new("stewards");
    /// let request = proc::caller::Request::new("status", serde_json::json!({"entry": 7}));
    /// let reply = caller.send("http://127.0.0.1:8080", &request).await.unwrap();
    /// assert_eq!(reply.code(), 100);
    /// # }
    /// ```
    pub fn new(account: &str) -> Self {
        Self {
            client: Client::builder()
                .disable_redirects()
                .timeout(TIMEOUT)
                .finish(),
            token: format!("{account}-token"),
        }
    }

    /// Sends a request and returns the whole answer.
    ///
    /// # Errors
    ///
    /// No answer arrived.
    pub async fn send(&self, url: &str, request: &Request) -> Result<Reply, SendRequestError> {
        let builder = self.post(url, request);
        let mut response = builder
            .send_json(&json!({ "input": request.input }))
            .await?;
        let status = response.status().as_u16();
        let body = response.body().await.unwrap_or_default();
        let body = serde_json::from_slice(&body).unwrap_or_default();
        Ok(Reply { status, body })
    }

    /// Sends a request and returns its stream up to `max_tokens` tokens.
    ///
    /// # Errors
    ///
    /// The answer is a problem instead of a stream.
    pub async fn stream(
        &self,
        url: &str,
        request: &Request,
        max_tokens: usize,
    ) -> Result<Events, Reply> {
        let builder = self
            .post(url, request)
            .insert_header(("Accept", "text/event-stream"));
        let sent = builder.send_json(&json!({ "input": request.input })).await;
        let Ok(mut response) = sent else {
            return Ok(Events::default());
        };
        let status = response.status().as_u16();
        if status != 200 {
            let body = response.body().await.unwrap_or_default();
            let body = serde_json::from_slice(&body).unwrap_or_default();
            return Err(Reply { status, body });
        }
        let mut events = Events::default();
        let mut pending = String::new();
        while let Some(Ok(chunk)) = response.next().await {
            pending.push_str(&String::from_utf8_lossy(&chunk));
            while let Some((event, rest)) = pending.split_once("\n\n") {
                events.push(event);
                pending = rest.to_owned();
            }
            if events.end.is_some() || events.texts.len() >= max_tokens {
                break;
            }
        }
        Ok(events)
    }

    /// Polls a stored request until it has ended; returns none after the timeout.
    pub async fn wait(&self, url: &str, key: Key) -> Option<Reply> {
        poll::until(TIMEOUT, async || {
            let reply = self.status(url, key).await.ok()?;
            (reply.code() != STORED_CODE).then_some(reply)
        })
        .await
    }

    /// Reads the status of a request.
    ///
    /// # Errors
    ///
    /// No answer arrived.
    pub async fn status(&self, url: &str, key: Key) -> Result<Reply, SendRequestError> {
        let url = format!("{url}/v1/requests/{key}");
        let mut response = self.authorize(self.client.get(url)).send().await?;
        let status = response.status().as_u16();
        let body = response.body().await.unwrap_or_default();
        let body = serde_json::from_slice(&body).unwrap_or_default();
        Ok(Reply { status, body })
    }

    fn post(&self, url: &str, request: &Request) -> ClientRequest {
        let url = format!("{url}/v1/pipelines/{}", request.pipeline);
        let mut builder = self.authorize(self.client.post(url));
        if let Some(key) = request.key {
            builder = builder.insert_header(("Idempotency-Key", key.to_string()));
        }
        if let Some(left) = request.deadline {
            let deadline = (now() + left).as_millis().to_string();
            builder = builder.insert_header(("Limpetstep-Deadline", deadline));
        }
        if request.is_first_use {
            builder = builder.insert_header(("Limpetstep-First", "?1"));
        }
        if let Some(id) = &request.last_event {
            builder = builder.insert_header(("Last-Event-ID", id.clone()));
        }
        builder
    }

    fn authorize(&self, builder: ClientRequest) -> ClientRequest {
        builder.insert_header(("Authorization", format!("Bearer {}", self.token)))
    }
}

impl Events {
    fn push(&mut self, event: &str) {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let data: Value = field("data: ")
            .and_then(|data| serde_json::from_str(data).ok())
            .unwrap_or_default();
        match field("event: ") {
            Some("token") => {
                self.last_id = field("id: ").map(str::to_owned);
                self.texts.extend(data["text"].as_str().map(str::to_owned));
            }
            Some(name) => self.end = Some((name.to_owned(), data)),
            None => {}
        }
    }
}

/// Returns a new idempotency key, issued now.
pub fn key() -> Key {
    Key::from_parts(now(), uuid::Uuid::new_v4().as_u128())
}

/// Returns the wall-clock time.
pub fn now() -> Stamp {
    let passed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Stamp::from_millis(u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
}

//! A client of a deployment.

use core::{net::SocketAddr, time::Duration};
use std::error::Error;

use eventsource_stream::Eventsource as _;
use futures_util::StreamExt as _;
use serde_json::{Value, json};
use uuid::Uuid;

/// The interval at which the answer of a stored request is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends requests to one entry instance.
pub(crate) struct Caller {
    address: SocketAddr,
    client: awc::Client,
}

/// The content of a request.
pub(crate) struct Message<'a> {
    pub(crate) account: &'a str,
    pub(crate) key: Option<Uuid>,
    pub(crate) pipeline: &'a str,
    pub(crate) text: &'a str,
}

impl Caller {
    /// Returns a caller of an instance.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: awc::Client::builder().disable_timeout().finish(),
        }
    }

    /// Sends a request and returns the answer.
    pub(crate) async fn send(&self, message: &Message<'_>) -> Result<Value, Box<dyn Error>> {
        let mut response = self.request(message).send_json(&body(message)).await?;
        Ok(serde_json::from_slice(&response.body().await?)?)
    }

    /// Sends a request, prints the tokens as they arrive, and returns the terminal event.
    pub(crate) async fn stream(&self, message: &Message<'_>) -> Result<Value, Box<dyn Error>> {
        let request = self
            .request(message)
            .insert_header(("Accept", "text/event-stream"));
        let mut events = request.send_json(&body(message)).await?.eventsource();
        print!("   ");
        while let Some(event) = events.next().await {
            let event = event.map_err(|error| error.to_string())?;
            let data: Value = serde_json::from_str(&event.data)?;
            if event.event != "token" {
                println!();
                return Ok(data);
            }
            print!("{}", data["text"].as_str().unwrap_or_default());
        }
        Err("the stream ended without a terminal event".into())
    }

    /// Polls the answer of a stored request until it is no longer in progress.
    pub(crate) async fn wait(&self, message: &Message<'_>) -> Result<Value, Box<dyn Error>> {
        let key = message
            .key
            .ok_or("cannot poll a request without an idempotency key")?;
        let url = format!("http://{}/v1/requests/{key}", self.address);
        loop {
            let token = format!("Bearer {}-token", message.account);
            let request = self
                .client
                .get(&url)
                .insert_header(("Authorization", token));
            let answer: Value = serde_json::from_slice(&request.send().await?.body().await?)?;
            if answer["outcome"] != "in_progress" {
                return Ok(answer);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn request(&self, message: &Message<'_>) -> awc::ClientRequest {
        let url = format!("http://{}/v1/pipelines/{}", self.address, message.pipeline);
        let token = format!("Bearer {}-token", message.account);
        let mut request = self
            .client
            .post(url)
            .insert_header(("Authorization", token));
        if let Some(key) = message.key {
            request = request.insert_header(("Idempotency-Key", key.to_string()));
        }
        request
    }
}

fn body(message: &Message<'_>) -> Value {
    json!({ "input": message.text })
}

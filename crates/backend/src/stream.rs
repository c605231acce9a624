//! A streamed answer.

use core::{net::SocketAddr, time::Duration};

use awc::ClientResponse;
use base::attempt::Attempt;
use eventsource_stream::{Event, EventStream, Eventsource as _};
use flow::Failure;
use futures_util::StreamExt as _;
use serde::Deserialize;
use tokio::time;

use crate::{Call, Client, head};

/// A part of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// The next token.
    Token {
        /// Its place in the answer, from 0.
        index: u64,
        /// Its text.
        text: String,
    },
    /// The end of the whole answer.
    Done {
        /// The number of tokens from the first on.
        count: u64,
        /// The SHA-256 digest of all texts joined, in hexadecimal digits.
        digest: String,
        /// The server's own time on the call, in milliseconds.
        cost_ms: f64,
        /// Tokens of the prompt that the server's prefix cache held, where it says so.
        cached_tokens: Option<u64>,
    },
}

/// A running streamed answer; dropping it closes the connection, which cancels the work.
pub struct Stream {
    address: SocketAddr,
    attempt: Attempt,
    client: Client,
    events: EventStream<ClientResponse>,
    leaving: bool,
    limit: Duration,
    next: u64,
}

#[derive(Deserialize)]
struct Token {
    attempt: String,
    index: u64,
    text: String,
}

#[derive(Deserialize)]
struct Done {
    attempt: String,
    count: u64,
    digest: String,
    #[serde(default)]
    cost_ms: f64,
    #[serde(default)]
    cached_tokens: Option<u64>,
}

impl Stream {
    pub(crate) fn new(client: Client, call: &Call, response: ClientResponse) -> Self {
        Self {
            address: call.address,
            attempt: call.attempt,
            leaving: head::leaving(response.headers()),
            limit: call.part_timeout,
            client,
            next: call.first_token,
            events: response.eventsource(),
        }
    }

    /// Tells whether the server said that it is leaving.
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the next part.
    ///
    /// # Errors
    ///
    /// - The stream ended before its terminal event.
    /// - No part arrived within the progress limit.
    /// - A part names another attempt, or is out of order.
    pub async fn next_part(&mut self) -> Result<Part, Failure> {
        match time::timeout(self.limit, self.events.next()).await {
            Ok(Some(Ok(event))) => self.take(&event),
            Ok(Some(Err(_)) | None) => Err(Failure::Disconnected),
            Err(_) => Err(self.client.silent(self.address, true)),
        }
    }

    fn take(&mut self, event: &Event) -> Result<Part, Failure> {
        if event.event == "done" {
            return self.take_done(&event.data);
        }
        let token: Token = serde_json::from_str(&event.data).map_err(|_| Failure::Mismatched)?;
        self.check(&token.attempt)?;
        if token.index != self.next {
            return Err(Failure::Mismatched);
        }
        self.next += 1;
        Ok(Part::Token {
            index: token.index,
            text: token.text,
        })
    }

    fn take_done(&self, data: &str) -> Result<Part, Failure> {
        let done: Done = serde_json::from_str(data).map_err(|_| Failure::Mismatched)?;
        self.check(&done.attempt)?;
        if done.count != self.next {
            return Err(Failure::Mismatched);
        }
        Ok(Part::Done {
            count: done.count,
            digest: done.digest,
            cost_ms: done.cost_ms,
            cached_tokens: done.cached_tokens,
        })
    }

    fn check(&self, attempt: &str) -> Result<(), Failure> {
        if Attempt::parse(attempt) == Some(self.attempt) {
            return Ok(());
        }
        Err(Failure::Mismatched)
    }
}

//! Streamed answers.

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
        /// The index of the token in the answer, from 0.
        index: u64,
        /// The text of the token.
        text: String,
    },
    /// The end of a complete answer.
    Done {
        /// The number of tokens in the complete answer.
        count: u64,
        /// The SHA-256 digest of the joined texts of all tokens, in hexadecimal digits.
        digest: String,
        /// The processing time that the server reports, in milliseconds.
        cost_ms: f64,
        /// The number of prompt tokens found in the server's prefix cache, if the server states it.
        cached_tokens: Option<u64>,
    },
}

/// A streamed answer. Dropping it closes the connection, which cancels the call.
pub struct Stream {
    address: SocketAddr,
    attempt: Attempt,
    client: Client,
    events: EventStream<ClientResponse>,
    leaving: bool,
    part_timeout: Duration,
    next_index: u64,
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
            leaving: head::is_leaving(response.headers()),
            part_timeout: call.part_timeout,
            client,
            next_index: call.first_token,
            events: response.eventsource(),
        }
    }

    /// Returns whether the server announced that it is leaving.
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the next part.
    ///
    /// # Errors
    ///
    /// - The stream ended before its terminal event.
    /// - No part arrived within the timeout.
    /// - A part belongs to another attempt, is malformed or is out of order.
    pub async fn next_part(&mut self) -> Result<Part, Failure> {
        match time::timeout(self.part_timeout, self.events.next()).await {
            Ok(Some(Ok(event))) => self.parse_part(&event),
            Ok(Some(Err(_)) | None) => Err(Failure::Disconnected),
            Err(_) => Err(self.client.record_timeout(self.address, true)),
        }
    }

    fn parse_part(&mut self, event: &Event) -> Result<Part, Failure> {
        if event.event == "done" {
            return self.parse_done(&event.data);
        }
        let token: Token = serde_json::from_str(&event.data).map_err(|_| Failure::Mismatched)?;
        self.check_attempt(&token.attempt)?;
        if token.index != self.next_index {
            return Err(Failure::Mismatched);
        }
        self.next_index += 1;
        Ok(Part::Token {
            index: token.index,
            text: token.text,
        })
    }

    fn parse_done(&self, data: &str) -> Result<Part, Failure> {
        let done: Done = serde_json::from_str(data).map_err(|_| Failure::Mismatched)?;
        self.check_attempt(&done.attempt)?;
        if done.count != self.next_index {
            return Err(Failure::Mismatched);
        }
        Ok(Part::Done {
            count: done.count,
            digest: done.digest,
            cost_ms: done.cost_ms,
            cached_tokens: done.cached_tokens,
        })
    }

    fn check_attempt(&self, attempt: &str) -> Result<(), Failure> {
        if Attempt::parse(attempt) == Some(self.attempt) {
            return Ok(());
        }
        Err(Failure::Mismatched)
    }
}

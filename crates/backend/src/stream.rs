//! Streamed answers.

use core::{
    cell::Cell,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use std::rc::Rc;

use awc::{ClientResponse, error::PayloadError};
use base::attempt::Attempt;
use bytes::Bytes;
use eventsource_stream::{Event, EventStream};
use flow::Failure;
use futures_util::{Stream as Source, StreamExt as _};
use serde::Deserialize;
use tokio::time;

use crate::{Call, Client, head};

/// The number of bytes that may arrive while a part of an answer is awaited.
const MAX_PART_BYTES: usize = 1024 * 1024;

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
    events: EventStream<Body>,
    /// The number of bytes that may still arrive before the next part.
    bytes_left: Rc<Cell<usize>>,
    leaving: bool,
    part_timeout: Duration,
    next_index: u64,
}

/// The body of an answer, which fails when too many bytes arrive before the next part is awaited.
struct Body {
    response: ClientResponse,
    bytes_left: Rc<Cell<usize>>,
}

impl Source for Body {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = ready!(Pin::new(&mut self.response).poll_next(cx));
        Poll::Ready(match next {
            Some(Ok(bytes)) => match self.bytes_left.get().checked_sub(bytes.len()) {
                Some(left) => {
                    self.bytes_left.set(left);
                    Some(Ok(bytes))
                }
                None => Some(Err(PayloadError::Overflow)),
            },
            other => other,
        })
    }
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
        let bytes_left = Rc::new(Cell::new(MAX_PART_BYTES));
        Self {
            address: call.address,
            attempt: call.attempt,
            leaving: head::is_leaving(response.headers()),
            part_timeout: call.part_timeout,
            client,
            next_index: call.first_token,
            events: EventStream::new(Body {
                response,
                bytes_left: bytes_left.clone(),
            }),
            bytes_left,
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
    /// - No part arrived within the timeout, or too many bytes arrived without one.
    /// - A part belongs to another attempt, is malformed or is out of order.
    pub async fn next_part(&mut self) -> Result<Part, Failure> {
        self.bytes_left.set(MAX_PART_BYTES);
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

//! Events handled by a [`crate::Table`].

use core::time::Duration;

use base::{Incarnation, attempt::Attempt};

use crate::cache;

/// An event about an attempt or a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt is about to be sent.
    Started {
        /// The attempt.
        attempt: Attempt,
        /// The selected server.
        server: Incarnation,
        /// The digest of the prompt prefix, if there is one.
        prefix: Option<u64>,
    },
    /// The first byte of an answer arrived.
    FirstByte {
        /// The attempt.
        attempt: Attempt,
        /// The server.
        server: Incarnation,
    },
    /// The complete answer arrived.
    Finished {
        /// The attempt.
        attempt: Attempt,
        /// The server.
        server: Incarnation,
        /// The time since the attempt was sent.
        elapsed: Duration,
    },
    /// The attempt ended without an answer.
    Failed {
        /// The attempt.
        attempt: Attempt,
        /// The server.
        server: Incarnation,
        /// The kind of failure.
        kind: Failure,
    },
    /// A load report arrived.
    Load {
        /// The server.
        server: Incarnation,
        /// Requests in its batch.
        running: u32,
        /// Requests in its queue.
        waiting: u32,
        /// The age of the report when it arrived.
        age: Duration,
    },
    /// A cache event arrived.
    Cache {
        /// The server.
        server: Incarnation,
        /// The sequence number of the event, which each server increments by one.
        seq: u64,
        /// What changed.
        change: cache::Change,
    },
    /// An answer reported that the prefix was not in the server's cache.
    CacheMiss {
        /// The server.
        server: Incarnation,
        /// The prefix.
        prefix: u64,
    },
    /// The server reported that it is leaving.
    Leaving {
        /// The server.
        server: Incarnation,
    },
}

/// The kind of failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The attempt was cancelled by its caller or a hedge, which says nothing about the server.
    Cancelled,
    /// No connection could be opened.
    ConnectFailed,
    /// The server died with the attempt in flight.
    Crashed,
    /// The server refused the attempt before running it.
    Refused,
    /// The server made no progress in time.
    Slow,
}

impl Event {
    /// Returns the server that the event is about.
    pub const fn server(&self) -> &Incarnation {
        match self {
            Self::Started { server, .. }
            | Self::FirstByte { server, .. }
            | Self::Finished { server, .. }
            | Self::Failed { server, .. }
            | Self::Load { server, .. }
            | Self::Cache { server, .. }
            | Self::CacheMiss { server, .. }
            | Self::Leaving { server } => server,
        }
    }
}

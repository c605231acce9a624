//! What a [`crate::Table`] is told.

use core::time::Duration;

use base::{Incarnation, attempt::Attempt};

use crate::cache;

/// Something that happened to an attempt or to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt is about to be sent.
    Started {
        /// The attempt.
        attempt: Attempt,
        /// The server picked.
        server: Incarnation,
        /// The digest of the prompt prefix, where there is one.
        prefix: Option<u64>,
    },
    /// The first byte of an answer arrived.
    FirstByte {
        /// The attempt.
        attempt: Attempt,
        /// The server.
        server: Incarnation,
    },
    /// The whole answer arrived.
    Finished {
        /// The attempt.
        attempt: Attempt,
        /// The server.
        server: Incarnation,
        /// The time since the attempt was sent.
        took: Duration,
    },
    /// The attempt ended without an answer.
    Failed {
        /// The attempt.
        attempt: Attempt,
        /// The server.
        server: Incarnation,
        /// In which way.
        kind: Failure,
    },
    /// A load report.
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
    /// A cache event.
    Cache {
        /// The server.
        server: Incarnation,
        /// The number of the event; each server counts up by one.
        seq: u64,
        /// What changed.
        change: cache::Change,
    },
    /// An answer told that the prefix was not in the server's cache.
    CacheMiss {
        /// The server.
        server: Incarnation,
        /// The prefix.
        prefix: u64,
    },
    /// The server said that it is leaving.
    Leaving {
        /// The server.
        server: Incarnation,
    },
}

/// In which way an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The caller or a hedge made the attempt needless; the server is not to blame.
    Cancelled,
    /// No connection could be opened.
    ConnectFailed,
    /// The server died with the attempt in flight.
    Crashed,
    /// The server turned the attempt away before running it.
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

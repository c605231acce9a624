//! The interface to the platform's append-only log service.

use core::future::Future;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The offset of the record in its stream.
    pub offset: u64,
    /// The content of the record.
    pub body: String,
}

/// Records read from a stream, in the order of their offsets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The lowest offset that the log still keeps.
    pub first: u64,
    /// The offset of the next append, as of this read.
    pub end: u64,
    /// The records from the requested offset or from `first`, whichever is higher.
    pub records: Vec<Record>,
}

/// The reason why a call to the log failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The log refused the call before it took effect.
    #[error("the log refused the call: {0}")]
    Refused(String),
    /// There was no valid answer; an append may have taken effect.
    #[error("no answer from the log: {0}")]
    Unanswered(String),
}

/// The platform's log service.
pub trait Log {
    /// Appends a record to a stream and returns its offset.
    ///
    /// # Errors
    ///
    /// - `Refused`: the record is not in the log and will not be appended.
    /// - `Unanswered`: the record may be in the log, or may still be appended.
    fn append(&self, stream: &str, body: String) -> impl Future<Output = Result<u64, Error>>;

    /// Reads at most `limit` records of a stream, from an offset on.
    ///
    /// # Errors
    ///
    /// After an error, nothing is known about the contents of the stream.
    fn read(
        &self,
        stream: &str,
        from: u64,
        limit: usize,
    ) -> impl Future<Output = Result<Page, Error>>;
}

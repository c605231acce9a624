//! The port to the platform's append-only log service.

use core::future::Future;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The place of the record in its stream.
    pub offset: u64,
    /// The content, a text.
    pub body: String,
}

/// Records read from a stream, in the order of their offsets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The lowest offset that the log still keeps; records below it are gone.
    pub first: u64,
    /// The offset that the next append will get, as of this read.
    pub end: u64,
    /// The records, from the offset asked for or from `first`, whichever is higher.
    pub records: Vec<Record>,
}

/// Why a call to the log gave no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The log refused the call before it took effect.
    #[error("the log refused the call: {0}")]
    Refused(String),
    /// No answer arrived; an append may have taken effect.
    #[error("no answer from the log: {0}")]
    Unanswered(String),
}

/// The platform's log service.
pub trait Log {
    /// Appends a record to a stream and returns its offset.
    ///
    /// # Errors
    ///
    /// - `Refused`: the record is not in the log and never will be.
    /// - `Unanswered`: the record may be in the log, or may get there yet.
    fn append(&self, stream: &str, body: String) -> impl Future<Output = Result<u64, Error>>;

    /// Reads at most `limit` records of a stream, from an offset on.
    ///
    /// # Errors
    ///
    /// Any error means that nothing was learnt.
    fn read(
        &self,
        stream: &str,
        from: u64,
        limit: usize,
    ) -> impl Future<Output = Result<Page, Error>>;
}

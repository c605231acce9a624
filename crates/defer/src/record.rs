//! Records of deferred requests and their JSON encoding in the log.

use base::{Code, Digest, Key, Name, Outcome, Stamp};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::Task;

/// The version of a record's encoding.
const VERSION: u8 = 1;

/// One record about one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The request is stored.
    Accepted(Request),
    /// The request has ended.
    Ended(Ending),
}

/// A stored request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The client account.
    pub account: Name,
    /// When this record was written.
    pub at: Stamp,
    /// The digest of pipeline and input.
    pub body: Digest,
    /// When the answer is no longer needed.
    pub deadline: Stamp,
    /// The pipeline's input.
    pub input: Value,
    /// The caller's idempotency key.
    pub key: Key,
    /// The pipeline.
    pub pipeline: Name,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ending {
    /// When this record was written.
    pub at: Stamp,
    /// The digest of pipeline and input.
    pub body: Digest,
    /// The offset of the first record of this ending, if this one carries it forward.
    pub carries: Option<u64>,
    /// The result code.
    pub code: Code,
    /// The deadline that the request had.
    pub deadline: Stamp,
    /// What is known of the request.
    pub outcome: Outcome,
    /// The output, if the request was answered.
    pub output: Value,
    /// The task.
    pub task: Task,
}

/// Why a text is not a valid record.
#[derive(Debug, Error)]
pub enum Error {
    /// The text is not JSON of the expected shape.
    #[error("invalid record of a deferred request: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The record was written by a later version.
    #[error("record has version {0}; this release reads version {VERSION}")]
    Version(u8),
}

/// A record that was read from the log and is carried forward, that is, written again.
#[derive(Clone, Debug, PartialEq)]
pub struct Carried(Record);

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    version: u8,
    record: T,
    /// Whether an instance that had read the whole stream wrote the record again.
    #[serde(default)]
    carried: bool,
}

impl Request {
    /// Returns the task.
    pub fn task(&self) -> Task {
        Task::new(&self.account, &self.key)
    }
}

impl Record {
    /// Returns the task.
    pub fn task(&self) -> Task {
        match self {
            Self::Accepted(request) => request.task(),
            Self::Ended(ending) => ending.task,
        }
    }

    /// Returns a copy of the record at an offset with a later time, to be appended before the log
    /// drops the original.
    ///
    /// Only the record in force for a task may be carried, by an instance that has read the stream
    /// to its end: for a reader whose log begins later, the copy outranks requests that lost to the
    /// original.
    #[must_use]
    pub fn carry(self, offset: u64, now: Stamp) -> Carried {
        Carried(match self {
            Self::Accepted(request) => Self::Accepted(Request { at: now, ..request }),
            Self::Ended(ending) => Self::Ended(Ending {
                at: now,
                carries: ending.carries.or(Some(offset)),
                ..ending
            }),
        })
    }

    /// Encodes the record.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Code, Key, Outcome, Stamp};
    /// use defer::{Record, Task, record::Ending};
    /// let key = Key::from_parts(Stamp::from_millis(5), 1);
    /// let record = Record::Ended(Ending {
    ///     at: Stamp::from_millis(9),
    ///     body: base::Digest::of(b"text"),
    ///     carries: None,
    ///     code: Code::Answered,
    ///     deadline: Stamp::from_millis(90),
    ///     outcome: Outcome::Answered,
    ///     output: "text".into(),
    ///     task: Task::new(&"authors".into(), &key),
    /// });
    /// assert_eq!(Record::parse(&record.to_json()).unwrap(), record);
    /// ```
    pub fn to_json(&self) -> String {
        self.encode(false)
    }

    /// Decodes a record from its text.
    ///
    /// # Errors
    ///
    /// - `Syntax`: the text is not a record.
    /// - `Version`: the record was written by a later version.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Ok(Self::parse_carried(text)?.0)
    }

    /// Decodes a record, and returns it with whether it was carried.
    pub(crate) fn parse_carried(text: &str) -> Result<(Self, bool), Error> {
        let envelope: Envelope<Value> = serde_json::from_str(text)?;
        if envelope.version != VERSION {
            return Err(Error::Version(envelope.version));
        }
        Ok((serde_json::from_value(envelope.record)?, envelope.carried))
    }

    fn encode(&self, carried: bool) -> String {
        let envelope = Envelope {
            version: VERSION,
            record: self,
            carried,
        };
        serde_json::to_string(&envelope).expect("records have no maps with non-string keys")
    }
}

impl Carried {
    /// Encodes the record.
    pub fn to_json(&self) -> String {
        self.0.encode(true)
    }
}

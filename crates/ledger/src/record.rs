//! Records of the ledger and their JSON encoding in the log.

use base::{Code, Digest, Incarnation};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::slot::{Nonce, Slot};

/// The largest body that an answer in the ledger may have, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4096;

/// The version of a batch's encoding.
const VERSION: u8 = 1;

/// One record about one slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The holder claims the right to make the call.
    #[serde(rename = "c")]
    Claim {
        /// The call.
        #[serde(rename = "s")]
        slot: Slot,
        /// The attempt.
        #[serde(rename = "n")]
        nonce: Nonce,
        /// The instance that would make the call.
        #[serde(rename = "h")]
        holder: Incarnation,
        /// The digest of the caller's request.
        #[serde(rename = "b")]
        body: Digest,
    },
    /// The holder made the call; this is the outcome.
    #[serde(rename = "d")]
    Done {
        /// The call.
        #[serde(rename = "s")]
        slot: Slot,
        /// The attempt.
        #[serde(rename = "n")]
        nonce: Nonce,
        /// The answer, or a code if no answer is known.
        #[serde(rename = "a")]
        answer: Answer,
    },
    /// The holder did not make the call and never will under this nonce.
    #[serde(rename = "r")]
    Released {
        /// The call.
        #[serde(rename = "s")]
        slot: Slot,
        /// The attempt.
        #[serde(rename = "n")]
        nonce: Nonce,
    },
}

impl Record {
    /// Returns the slot that the record is about.
    pub const fn slot(&self) -> &Slot {
        match self {
            Self::Claim { slot, .. } | Self::Done { slot, .. } | Self::Released { slot, .. } => {
                slot
            }
        }
    }

    /// Returns the attempt that the record is about.
    pub const fn nonce(&self) -> Nonce {
        match self {
            Self::Claim { nonce, .. } | Self::Done { nonce, .. } | Self::Released { nonce, .. } => {
                *nonce
            }
        }
    }
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The result code.
    #[serde(rename = "c")]
    pub code: Code,
    /// The body of the answer.
    #[serde(rename = "b")]
    pub body: String,
    /// What the call cost, in the unit of the bundle.
    #[serde(rename = "u")]
    pub cost: u64,
}

impl Answer {
    /// Builds an answer that is small enough for the ledger.
    ///
    /// # Errors
    ///
    /// - `TooLarge`: the body has more than [`MAX_ANSWER_BYTES`].
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Code;
    /// use ledger::record::{MAX_ANSWER_BYTES, Answer};
    /// assert!(Answer::new(Code::Answered, "paid", 1).is_ok());
    /// assert!(Answer::new(Code::Answered, "x".repeat(MAX_ANSWER_BYTES + 1), 1).is_err());
    /// ```
    pub fn new(code: Code, body: impl Into<String>, cost: u64) -> Result<Self, Error> {
        let body = body.into();
        if body.len() > MAX_ANSWER_BYTES {
            return Err(Error::TooLarge(body.len()));
        }
        Ok(Self { code, body, cost })
    }

    /// Builds an answer from a code, without body or cost.
    pub const fn from_code(code: Code) -> Self {
        Self {
            code,
            body: String::new(),
            cost: 0,
        }
    }
}

/// Why a text or an answer is not a valid record of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The body of an answer is over its limit.
    #[error("answer body has {0} bytes; the limit is {MAX_ANSWER_BYTES}")]
    TooLarge(usize),
    /// The text is not a batch.
    #[error("invalid batch of ledger records: {0}")]
    Syntax(String),
    /// The batch was written by a later version.
    #[error("batch has version {0}; this release reads version {VERSION}")]
    Version(u8),
}

#[derive(Serialize)]
struct BatchRef<'a> {
    v: u8,
    r: &'a [Record],
}

#[derive(Deserialize)]
struct Batch {
    v: u8,
    r: Vec<Record>,
}

/// Encodes several records as the body of one log record.
///
/// # Examples
///
/// ```
/// use base::{Key, Stamp};
/// use ledger::{record::{self, Record}, slot::{Nonce, Slot}};
/// let slot = Slot::new("adinkra", &Key::from_parts(Stamp::from_millis(5), 1), "deposit");
/// let batch = [Record::Released { slot, nonce: Nonce::from_random(2) }];
/// assert_eq!(record::decode(&record::encode(&batch)).unwrap(), batch);
/// ```
pub fn encode(records: &[Record]) -> String {
    let batch = BatchRef {
        v: VERSION,
        r: records,
    };
    serde_json::to_string(&batch).expect("records have no maps with non-string keys")
}

/// Decodes the records from the body of a log record.
///
/// # Errors
///
/// - `Syntax`: the text is not a batch.
/// - `Version`: the batch was written by a later version.
pub fn decode(body: &str) -> Result<Vec<Record>, Error> {
    let batch: Batch =
        serde_json::from_str(body).map_err(|error| Error::Syntax(error.to_string()))?;
    if batch.v != VERSION {
        return Err(Error::Version(batch.v));
    }
    Ok(batch.r)
}

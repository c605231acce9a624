//! Records of the ledger and their text in the log.

use base::{Code, Digest, Incarnation};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::slot::{Nonce, Slot};

/// The largest body that an answer in the ledger may have, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4096;

/// The version of the text of a batch.
const VERSION: u8 = 1;

/// One statement about one slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The holder wants to make the call.
    #[serde(rename = "c")]
    Claim {
        /// The call.
        #[serde(rename = "s")]
        slot: Slot,
        /// The attempt.
        #[serde(rename = "n")]
        nonce: Nonce,
        /// Who would call.
        #[serde(rename = "h")]
        holder: Incarnation,
        /// The digest of the caller's request.
        #[serde(rename = "b")]
        body: Digest,
    },
    /// The holder made the call and found this out.
    #[serde(rename = "d")]
    Done {
        /// The call.
        #[serde(rename = "s")]
        slot: Slot,
        /// The attempt.
        #[serde(rename = "n")]
        nonce: Nonce,
        /// What it found out.
        #[serde(rename = "a")]
        answer: Answer,
    },
    /// The holder did not call and never will under this nonce.
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

/// What is known of a call.
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
    /// Builds an answer that fits the ledger.
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

    /// Builds an answer that is a code alone.
    pub const fn from_code(code: Code) -> Self {
        Self {
            code,
            body: String::new(),
            cost: 0,
        }
    }
}

/// Why something is not a record of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The body of an answer is over its limit.
    #[error("the answer has {0} bytes; at most {MAX_ANSWER_BYTES} are kept")]
    TooLarge(usize),
    /// The text is not a batch.
    #[error("not a batch of records: {0}")]
    Syntax(String),
    /// The batch was written by a later version.
    #[error("batch of version {0}, known is {VERSION}")]
    Version(u8),
}

#[derive(Serialize)]
struct Written<'a> {
    v: u8,
    r: &'a [Record],
}

#[derive(Deserialize)]
struct Read {
    v: u8,
    r: Vec<Record>,
}

/// Writes several records as the body of one record of the log.
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
    let written = Written {
        v: VERSION,
        r: records,
    };
    serde_json::to_string(&written).expect("records have no map with keys that are not texts")
}

/// Reads the records from the body of a record of the log.
///
/// # Errors
///
/// - `Syntax`: the text is not a batch.
/// - `Version`: the batch was written by a later version.
pub fn decode(body: &str) -> Result<Vec<Record>, Error> {
    let read: Read =
        serde_json::from_str(body).map_err(|error| Error::Syntax(error.to_string()))?;
    if read.v != VERSION {
        return Err(Error::Version(read.v));
    }
    Ok(read.r)
}

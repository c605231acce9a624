//! Records of the configuration stream.

use base::{Digest, Name, Stamp};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{approval::Fault, delta::Delta, document::Document, proof::Proof, sign::Signature};

/// The version of the records' layout.
const LAYOUT_VERSION: u32 = 1;

/// One record of the stream [`crate::STREAM`].
///
/// # Examples
///
/// ```
/// use bundle::{Record, record::SignOff, sign::{Key, Message}};
/// let digest = base::Digest::of(b"bundle");
/// let signature = Key::example("steward").sign(&Message::sign_off(1, None, digest));
/// let record = Record::SignOff(SignOff { digest, signer: "steward".into(), signature });
/// assert_eq!(Record::parse(&record.to_json()).unwrap(), record);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// An author proposes a bundle.
    Publish(Publish),
    /// A signer approves a proposed bundle.
    SignOff(SignOff),
    /// An operator puts a bundle in force.
    RollOut(RollOut),
    /// An instance writes a snapshot of the state before the log drops the records it came from.
    Carry(Box<Carry>),
}

/// An author proposes a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// The version; higher than that of the base.
    pub version: u64,
    /// The bundle in force that this one replaces; none for the first.
    pub base: Option<Digest>,
    /// The digest over the whole bundle.
    pub digest: Digest,
    /// The name of the author, one of the signers in force.
    pub author: Name,
    /// The content of the bundle.
    pub content: Content,
    /// The author's signature.
    pub signature: Signature,
}

/// The content of a proposed bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// The changes against the base, or against an empty document for a first bundle.
    Delta(Delta),
    /// The whole bundle as TOML.
    Whole(String),
}

impl Content {
    /// Returns the length of the content within a record, in bytes.
    pub fn encoded_len(&self) -> usize {
        serde_json::to_string(self).map_or(0, |json| json.len())
    }

    /// Returns the whole bundle, with a delta applied to its base.
    ///
    /// # Errors
    ///
    /// The text is not TOML.
    pub fn to_document(&self, base: Option<&Document>) -> Result<Document, Fault> {
        match self {
            Self::Delta(delta) => Ok(delta.apply(base.unwrap_or(&Document::default()))),
            Self::Whole(text) => {
                Document::from_toml(text).map_err(|error| Fault::Content(error.to_string()))
            }
        }
    }
}

/// A signer approves a proposed bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignOff {
    /// The digest of the bundle.
    pub digest: Digest,
    /// The name of the signer, one of the signers in force other than the author.
    pub signer: Name,
    /// The signer's signature over version, base and digest.
    pub signature: Signature,
}

/// An operator puts a bundle in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollOut {
    /// The digest of the bundle.
    pub digest: Digest,
    /// The bundle in force when the order was issued.
    pub base: Option<Digest>,
    /// The name of the operator, one of the signers in force.
    pub author: Name,
    /// A random number by which the operator finds this record in the log.
    pub nonce: u64,
    /// The operator's signature.
    pub signature: Signature,
}

/// A snapshot of the state, written by an instance; several of them do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carry {
    /// When it was written, by the instance's clock; used only to decide when the next one is due.
    pub at: Stamp,
    /// The state with all its signatures.
    pub proof: Proof,
}

/// An error in parsing a record.
#[derive(Debug, Error)]
pub enum Error {
    /// The layout is newer than this release.
    #[error("layout {0} of the record is unknown to this release")]
    Layout(u32),
    /// The text is not JSON of the expected shape.
    #[error("{0}")]
    Syntax(#[from] serde_json::Error),
}

/// Who appended a record and when, for the audit trail. It is not signed and has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// When it was appended, by the clock of the process that appended it.
    pub at: Stamp,
    /// The program or the instance that appended it.
    pub by: Name,
}

#[derive(Serialize)]
struct Encoded<'a> {
    layout: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    note: Option<&'a Note>,
    #[serde(flatten)]
    record: &'a Record,
}

#[derive(Deserialize)]
struct Envelope {
    layout: u32,
    #[serde(default)]
    note: Option<Note>,
}

impl Note {
    /// Reads the note of a record, if it has one.
    ///
    /// # Examples
    ///
    /// ```
    /// use bundle::{Record, record::{Note, SignOff}, sign::{Key, Message}};
    /// let digest = base::Digest::of(b"bundle");
    /// let signature = Key::example("steward").sign(&Message::sign_off(1, None, digest));
    /// let record = Record::SignOff(SignOff { digest, signer: "steward".into(), signature });
    /// let note = Note { at: base::Stamp::from_millis(7), by: "entry-1".into() };
    /// let text = record.to_json_with(Some(&note));
    /// assert_eq!(Note::parse(&text), Some(note));
    /// assert_eq!(Record::parse(&text).unwrap(), record);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str::<Envelope>(text).ok()?.note
    }
}

impl Record {
    /// Writes the record as JSON.
    pub fn to_json(&self) -> String {
        self.to_json_with(None)
    }

    /// Writes the record as JSON, with a note of who appends it and when.
    pub fn to_json_with(&self, note: Option<&Note>) -> String {
        let encoded = Encoded {
            layout: LAYOUT_VERSION,
            note,
            record: self,
        };
        // Serialization cannot fail: every map has string keys and there are no floats.
        serde_json::to_string(&encoded).unwrap_or_default()
    }

    /// Reads a record from JSON.
    ///
    /// # Errors
    ///
    /// - The layout is newer than this release.
    /// - The text is not JSON of the expected shape.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let envelope: Envelope = serde_json::from_str(text)?;
        if envelope.layout != LAYOUT_VERSION {
            return Err(Error::Layout(envelope.layout));
        }
        Ok(serde_json::from_str(text)?)
    }
}

//! Effects of the records of the log.

use core::fmt;

use base::{Digest, Name};

use crate::{approval::Fault, position::Position};

/// The effect of a record or of a proof.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A proposal was signed off.
    Approved {
        /// The offset of the record.
        offset: u64,
        /// The digest of the proposal.
        digest: Digest,
        /// The signer.
        signer: Name,
    },
    /// A peer's proof names another bundle than the log for the same offset; the log takes precedence.
    Disagreed {
        /// The position in the peer's proof.
        peer: Position,
        /// The position according to the log.
        log: Option<Position>,
    },
    /// The bundle in force for this reader changed.
    InForce(Position),
    /// The reader has the complete state of the log.
    Synced,
    /// A bundle was proposed.
    Proposed {
        /// The offset of the record.
        offset: u64,
        /// The digest of the proposal.
        digest: Digest,
        /// Its version.
        version: u64,
        /// Its author.
        author: Name,
    },
    /// A record was rejected and has no effect.
    Refused {
        /// The offset of the record.
        offset: u64,
        /// The author that the record names; empty if it could not be parsed.
        author: Name,
        /// The reason.
        fault: Fault,
    },
    /// A record repeats an earlier one and has no effect.
    Repeated {
        /// The offset of the record.
        offset: u64,
    },
    /// A roll-out took effect at its offset in the log.
    RolledOut {
        /// The bundle.
        position: Position,
        /// The operator who ordered it.
        author: Name,
        /// The number that the operator gave the order.
        nonce: u64,
    },
}

impl Event {
    /// Returns the offset of the record that caused the event; none if no record did.
    pub const fn offset(&self) -> Option<u64> {
        match self {
            Self::Approved { offset, .. }
            | Self::Proposed { offset, .. }
            | Self::Refused { offset, .. }
            | Self::Repeated { offset } => Some(*offset),
            Self::RolledOut { position, .. } => Some(position.offset),
            Self::Disagreed { .. } | Self::InForce(_) | Self::Synced => None,
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Approved {
                offset,
                digest,
                signer,
            } => write!(f, "{offset}: {signer} signed {digest} off"),
            Self::Disagreed { peer, log } => {
                let log = log.map_or_else(|| "none".to_owned(), |log| log.digest.to_string());
                let (offset, digest) = (peer.offset, peer.digest);
                write!(
                    f,
                    "{offset}: a peer had {digest} in force, the log has {log}"
                )
            }
            Self::InForce(position) => {
                write!(
                    f,
                    "in force: version {} {}",
                    position.version, position.digest
                )
            }
            Self::Synced => f.write_str("the state of the log is known"),
            Self::Proposed {
                offset,
                digest,
                version,
                author,
            } => write!(f, "{offset}: {author} proposed version {version} {digest}"),
            Self::Refused {
                offset,
                author,
                fault,
            } => write!(f, "{offset}: refused to {author}: {fault}"),
            Self::Repeated { offset } => write!(f, "{offset}: known already"),
            Self::RolledOut {
                position, author, ..
            } => write!(
                f,
                "{}: {author} rolled out version {} {}",
                position.offset, position.version, position.digest
            ),
        }
    }
}

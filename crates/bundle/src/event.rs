//! What the records of the log did.

use core::fmt;

use base::{Digest, Name};

use crate::{approval::Fault, position::Position};

/// What a record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A proposal got a sign-off.
    Approved {
        /// The offset of the record.
        offset: u64,
        /// The proposal.
        digest: Digest,
        /// Who signed it off.
        signer: Name,
    },
    /// A peer's proof and the log disagree over what was in force at a place; the log holds.
    Disagreed {
        /// What the peer's proof said.
        peer: Position,
        /// What the log says.
        log: Option<Position>,
    },
    /// Another bundle is in force for this reader.
    InForce(Position),
    /// The state of the log is known to this reader.
    Synced,
    /// A bundle was proposed.
    Proposed {
        /// The offset of the record.
        offset: u64,
        /// The proposal.
        digest: Digest,
        /// Its version.
        version: u64,
        /// Its author.
        author: Name,
    },
    /// A record counts for nothing.
    Refused {
        /// The offset of the record.
        offset: u64,
        /// Who wrote it, where it says so.
        author: Name,
        /// Why.
        fault: Fault,
    },
    /// A record says what was known already.
    Repeated {
        /// The offset of the record.
        offset: u64,
    },
    /// A roll-out won at its place in the log.
    RolledOut {
        /// The bundle.
        position: Position,
        /// Who ordered it.
        author: Name,
        /// The number that the operator gave to the order.
        nonce: u64,
    },
}

impl Event {
    /// Returns the offset of the record that the event is about, if it is about one.
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

//! What one reader hands to another that cannot reach the log, or no longer finds its head there.
//!
//! A verifier needs nothing but the root keys from its settings. It can trust:
//!
//! - the content: its digest is what author, signers and the operator who rolled it out signed;
//! - the signers: each change of who may sign is signed by those who might before it;
//! - the order: versions are signed and only rise, so an older proof never replaces a newer one.
//!
//! It cannot trust, since nothing signed says it:
//!
//! - that there is nothing newer: a reader is as far as what it was shown;
//! - `offset` and `as_of`: they are used only within what the reader saw of the log itself;
//! - that a signed and ordered bundle won its race: of two roll-outs on one base only the log tells
//!   the winner. A dishonest peer can show the loser; the log, once read, overrules it;
//! - a signer who was removed later, if the proof ends before the removal.

use base::Digest;
use serde::{Deserialize, Serialize};

use crate::{
    approval::{Fault, Proposal},
    chain::Chain,
    content::Bundle,
    document::Head,
    position::Position,
};

/// The state of the fold at one place in the log, with all signatures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Every record below this offset is accounted for.
    pub as_of: u64,
    /// The bundle in force.
    pub chain: Chain,
    /// Bundles proposed on top of it.
    pub pending: Vec<Proposal>,
}

impl Proof {
    /// Checks all signatures and returns the bundle in force.
    ///
    /// # Errors
    ///
    /// - A signature is missing or doesn't verify, or a digest is not that of its content.
    /// - The content is valid but this release can't read it.
    ///
    /// # Examples
    ///
    /// ```
    /// use bundle::{Proof, sign::Key};
    /// fn read(json: &str) -> Option<bundle::Bundle> {
    ///     let proof: Proof = serde_json::from_str(json).ok()?;
    ///     proof.verify(&[Key::example("author").public()]).ok()
    /// }
    /// assert!(read("{}").is_none());
    /// ```
    pub fn verify(&self, roots: &[Digest]) -> Result<Bundle, Fault> {
        self.authority(roots)?;
        self.chain
            .document
            .bundle()
            .map_err(|error| Fault::Content(error.to_string()))
    }

    /// Returns the position of the bundle in force.
    pub fn position(&self) -> Position {
        self.chain.position()
    }

    /// Checks all signatures of the bundle in force and returns its head.
    pub(crate) fn authority(&self, roots: &[Digest]) -> Result<Head, Fault> {
        if self.chain.offset >= self.as_of {
            return Err(Fault::Offset);
        }
        self.chain.verify(roots)
    }
}

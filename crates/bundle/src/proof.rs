//! The state that one reader passes to another that cannot reach the log, or whose log no longer
//! has its first records.
//!
//! A verifier needs only the root keys from its settings. A verified proof guarantees:
//!
//! - the content: the author, the signers and the operator who rolled it out signed its digest;
//! - the signers: each change of the signers is signed by those in force before it;
//! - the order: versions are signed and only increase, so an older proof never replaces a newer one.
//!
//! No signature covers the following, so a verifier cannot rely on it:
//!
//! - that there is no newer bundle: a reader knows only what it was shown;
//! - `offset` and `as_of`: they are used only within the part of the log that the reader has read;
//! - that a signed roll-out took effect: of two roll-outs on one base only the log determines the
//!   winner. A dishonest peer can present the loser, until the reader has read the log;
//! - that a signer is still valid, if the proof ends before the signer's removal.

use base::Digest;
use serde::{Deserialize, Serialize};

use crate::{
    approval::{Fault, Proposal},
    chain::Chain,
    content::Bundle,
    document::Head,
    position::Position,
};

/// The state of the projection at one offset of the log, with all signatures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// All records below this offset are included.
    pub as_of: u64,
    /// The bundle in force.
    pub chain: Chain,
    /// Open proposals based on it.
    pub pending: Vec<Proposal>,
}

impl Proof {
    /// Verifies all signatures and returns the bundle in force.
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
        self.verify_head(roots)?;
        self.chain
            .document
            .bundle()
            .map_err(|error| Fault::Content(error.to_string()))
    }

    /// Returns the position of the bundle in force.
    pub fn position(&self) -> Position {
        self.chain.position()
    }

    /// Verifies all signatures of the bundle in force and returns its head.
    pub(crate) fn verify_head(&self, roots: &[Digest]) -> Result<Head, Fault> {
        if self.chain.offset >= self.as_of {
            return Err(Fault::Offset);
        }
        self.chain.verify(roots)
    }
}

//! The bundle in force with the signatures that lead to it from the root keys.

use std::sync::Arc;

use base::{Digest, Name};
use serde::{Deserialize, Serialize};

use crate::{
    approval::{Evidence, Fault, Proposal, check_roots},
    document::{self, Document, Head},
    position::Position,
    record::RollOut,
};

/// The bundle in force with the signatures that lead to it from the root keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// The offset of the roll-out.
    pub offset: u64,
    /// The content of the bundle.
    #[serde(rename = "sheet")]
    pub document: Arc<Document>,
    /// The signatures that put it in force.
    pub evidence: Evidence,
    /// The first bundle and every later one that changed the signers or the number of sign-offs, in order.
    pub links: Vec<Link>,
}

/// A bundle that changed the signers or the number of sign-offs; only its head is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// The head.
    pub head: Name,
    /// The digest of the items.
    pub rest: Digest,
    /// The signatures that put it in force.
    pub evidence: Evidence,
}

impl Chain {
    /// Returns the position of the bundle in force.
    pub fn position(&self) -> Position {
        Position {
            offset: self.offset,
            digest: self.evidence.approval.digest,
            version: self.evidence.approval.version,
        }
    }

    /// Verifies every signature, starting from the root keys, and returns the head in force.
    ///
    /// # Errors
    ///
    /// - The first bundle has a signer that is not in the root set.
    /// - A digest is not that of its content, a version is not above the previous one, or a
    ///   signature is missing or doesn't verify.
    pub fn verify(&self, roots: &[Digest]) -> Result<Head, Fault> {
        let mut authority: Option<Head> = None;
        for link in &self.links {
            let digest = document::bundle_digest(&link.head, link.rest);
            authority = Some(verify_link(
                authority,
                &link.head,
                digest,
                &link.evidence,
                roots,
            )?);
        }
        let digest = self.document.digest();
        let last = self.links.last().ok_or(Fault::Digest)?;
        // If the last link is the bundle in force itself, its signatures have just been verified.
        if last.evidence == self.evidence && last.head == self.document.head {
            if digest != self.evidence.approval.digest {
                return Err(Fault::Digest);
            }
            return authority.ok_or(Fault::Digest);
        }
        verify_link(
            authority,
            &self.document.head,
            digest,
            &self.evidence,
            roots,
        )
    }

    /// Returns the chain with a bundle that has just been rolled out.
    pub(crate) fn extend(
        before: Option<(&Self, &Head)>,
        proposal: Proposal,
        roll_out: RollOut,
        offset: u64,
        head: &Head,
    ) -> Self {
        let evidence = Evidence {
            approval: proposal.approval,
            roll_out,
        };
        let mut links = before.map_or_else(Vec::new, |(chain, _)| chain.links.clone());
        if before.is_none_or(|(_, old)| !old.has_same_authority(head)) {
            links.push(Link {
                head: proposal.document.head.clone(),
                rest: proposal.document.items_digest(),
                evidence: evidence.clone(),
            });
        }
        Self {
            offset,
            document: proposal.document,
            evidence,
            links,
        }
    }
}

/// Verifies one bundle against the head in force before it.
fn verify_link(
    before: Option<Head>,
    json: &Name,
    digest: Digest,
    evidence: &Evidence,
    roots: &[Digest],
) -> Result<Head, Fault> {
    let approval = &evidence.approval;
    let head = Head::parse(json.as_str()).map_err(|error| Fault::Content(error.to_string()))?;
    if digest != approval.digest {
        return Err(Fault::Digest);
    }
    let previous = before.as_ref().map_or(0, |old| old.version);
    if head.version != approval.version || head.version <= previous {
        return Err(Fault::Version(approval.version));
    }
    match &before {
        None => {
            check_roots(&head, roots)?;
            if approval.base.is_some() {
                return Err(Fault::Base {
                    named: approval.base,
                    in_force: None,
                });
            }
            evidence.check(&head)?;
        }
        Some(old) if old.name != head.name => return Err(Fault::Deployment(head.name)),
        Some(old) => evidence.check(old)?,
    }
    Ok(head)
}

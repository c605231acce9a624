//! Approvals of a bundle and the checks of their signatures.

use std::sync::Arc;

use base::{Digest, Name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    document::{Document, Head},
    record::{RollOut, SignOff},
    sign::{Message, Signature},
};

/// The reason why a record or a proof is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The author signed off their own bundle.
    #[error("{0} is the author and may not sign the bundle off")]
    Author(Name),
    /// The record names another base than the bundle in force at its offset in the log.
    #[error("lost: based on {}, but {} is in force", digest_text(.named), digest_text(.in_force))]
    Base {
        /// The base that the record names.
        named: Option<Digest>,
        /// The bundle in force.
        in_force: Option<Digest>,
    },
    /// There are two bundles with the same version.
    #[error("version {0} is known with another content")]
    Conflict(u64),
    /// The content can't be read.
    #[error("{0}")]
    Content(String),
    /// The digest is not that of the content.
    #[error("the digest is not that of the content")]
    Digest,
    /// The bundle is for another deployment.
    #[error("the bundle is for {0}")]
    Deployment(Name),
    /// The offsets contradict each other.
    #[error("the offsets contradict each other")]
    Offset,
    /// No proposal with this digest is open.
    #[error("no open proposal has the digest {0}")]
    Proposal(Digest),
    /// The first bundle has a signer whose key is not in the root set.
    #[error("the key of {0} is not in the root set")]
    Root(Name),
    /// A signature doesn't verify.
    #[error("the signature of {0} does not verify")]
    Signature(Name),
    /// The name is not that of a signer in force.
    #[error("{0} is no signer of the bundle in force")]
    Signer(Name),
    /// There are too few sign-offs.
    #[error("{have} of {need} sign-offs")]
    SignOffs {
        /// The number of valid sign-offs.
        have: usize,
        /// The number of sign-offs required.
        need: usize,
    },
    /// The version is not higher than that of the base, or not the one in the content.
    #[error("version {0} is not the one in the content or not above the version in force")]
    Version(u64),
}

fn digest_text(digest: &Option<Digest>) -> String {
    digest.map_or_else(|| "none".to_owned(), |digest| digest.to_string())
}

/// The author of a proposed bundle and its sign-offs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Approval {
    /// The version.
    pub version: u64,
    /// The bundle that this one replaces.
    pub base: Option<Digest>,
    /// The digest over the whole bundle.
    pub digest: Digest,
    /// The author.
    pub author: Name,
    /// The author's signature.
    pub signature: Signature,
    /// The sign-offs, sorted by signer.
    pub sign_offs: Vec<SignOff>,
}

/// A bundle that is waiting for sign-offs or for its roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Its approval.
    pub approval: Approval,
    /// Its content.
    #[serde(rename = "sheet")]
    pub document: Arc<Document>,
}

/// All signatures that put a bundle in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Its approval.
    pub approval: Approval,
    /// The order that put it in force.
    pub roll_out: RollOut,
}

impl Approval {
    /// Checks the author's and the signers' signatures against the signers in force.
    ///
    /// # Errors
    ///
    /// - The author or a signer is not among the signers in force.
    /// - A signature doesn't verify, or a sign-off is for another bundle.
    /// - A sign-off has the author's key, or two sign-offs have the same key.
    pub fn check(&self, authority: &Head) -> Result<(), Fault> {
        let message = Message::publish(self.version, self.base, self.digest);
        check_signature(authority, &self.author, &self.signature, &message)?;
        let mut keys = vec![key_of(authority, &self.author)?];
        for sign_off in &self.sign_offs {
            self.check_sign_off(authority, sign_off)?;
            let key = key_of(authority, &sign_off.signer)?;
            if keys.contains(&key) {
                return Err(Fault::Author(sign_off.signer.clone()));
            }
            keys.push(key);
        }
        Ok(())
    }

    /// Checks that there are enough sign-offs. Their signatures must have been checked before.
    ///
    /// # Errors
    ///
    /// There are too few.
    pub fn check_count(&self, authority: &Head) -> Result<(), Fault> {
        let (have, need) = (self.sign_offs.len(), authority.sign_offs());
        if have < need {
            return Err(Fault::SignOffs { have, need });
        }
        Ok(())
    }

    fn check_sign_off(&self, authority: &Head, sign_off: &SignOff) -> Result<(), Fault> {
        if sign_off.digest != self.digest {
            return Err(Fault::Digest);
        }
        let message = Message::sign_off(self.version, self.base, self.digest);
        check_signature(authority, &sign_off.signer, &sign_off.signature, &message)
    }
}

impl Evidence {
    /// Checks all signatures that put the bundle in force.
    ///
    /// # Errors
    ///
    /// - Any signature is missing or doesn't verify.
    /// - The roll-out is for another bundle or base.
    pub fn check(&self, authority: &Head) -> Result<(), Fault> {
        self.approval.check(authority)?;
        self.approval.check_count(authority)?;
        if self.roll_out.digest != self.approval.digest {
            return Err(Fault::Digest);
        }
        if self.roll_out.base != self.approval.base {
            return Err(Fault::Base {
                named: self.roll_out.base,
                in_force: self.approval.base,
            });
        }
        check_roll_out(authority, &self.roll_out)
    }
}

/// Checks the signature of a roll-out.
///
/// # Errors
///
/// - Its author is not among the signers in force.
/// - The signature doesn't verify.
pub fn check_roll_out(authority: &Head, order: &RollOut) -> Result<(), Fault> {
    let message = Message::roll_out(order.base, order.digest, order.nonce);
    check_signature(authority, &order.author, &order.signature, &message)
}

/// Checks that a first bundle has at least one signer and only signers with root keys.
///
/// # Errors
///
/// A signer's key is not in the root set, or there is no signer.
pub fn check_roots(head: &Head, roots: &[Digest]) -> Result<(), Fault> {
    if head.signers.is_empty() {
        return Err(Fault::Root(head.name.clone()));
    }
    match head
        .signers
        .iter()
        .find(|signer| !roots.contains(&signer.public_key))
    {
        Some(unknown) => Err(Fault::Root(unknown.name.clone())),
        None => Ok(()),
    }
}

fn key_of(authority: &Head, name: &Name) -> Result<Digest, Fault> {
    authority
        .signer(name.as_str())
        .map(|signer| signer.public_key)
        .ok_or_else(|| Fault::Signer(name.clone()))
}

fn check_signature(
    authority: &Head,
    name: &Name,
    signature: &Signature,
    message: &Message,
) -> Result<(), Fault> {
    let key = key_of(authority, name)?;
    if signature.verifies(message, &key) {
        Ok(())
    } else {
        Err(Fault::Signature(name.clone()))
    }
}

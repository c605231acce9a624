//! Checks of viewers: their keys, and that no key is both viewer and signer.

use super::{Fault, fault};
use crate::{content::Bundle, sign};

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    for (index, viewer) in bundle.viewers.iter().enumerate() {
        let path = || format!("viewers.{}.public_key", viewer.name);
        let key = viewer.public_key;
        if !sign::is_valid_key(&key) {
            found.push(fault(path(), "is not an ed25519 public key"));
        }
        if let Some(signer) = bundle.signers.iter().find(|one| one.public_key == key) {
            let reason = format!("is also that of signer `{}`", signer.name);
            found.push(fault(path(), reason));
        }
        if let Some(other) = bundle.viewers[..index]
            .iter()
            .find(|one| one.public_key == key)
        {
            let reason = format!("is also that of viewer `{}`", other.name);
            found.push(fault(path(), reason));
        }
    }
}

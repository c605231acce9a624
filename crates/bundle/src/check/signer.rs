//! Checks of signers, and that there are enough of them for the sign-offs required.

use super::{Fault, fault};
use crate::{content::Bundle, sign};

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    if bundle.limits.sign_offs == 0 {
        found.push(fault(
            "limits.sign_offs".into(),
            "at least one signer other than the author must sign off",
        ));
    }
    let mut keys: Vec<_> = bundle.signers.iter().collect();
    keys.sort_by_key(|signer| signer.public_key);
    for signer in &keys {
        if !sign::is_valid_key(&signer.public_key) {
            found.push(fault(
                format!("signers.{}.public_key", signer.name),
                "is not an ed25519 public key",
            ));
        }
    }
    for pair in keys.windows(2) {
        if pair[0].public_key == pair[1].public_key {
            found.push(fault(
                format!("signers.{}.public_key", pair[1].name),
                format!("is also that of signer `{}`", pair[0].name),
            ));
        }
    }
    keys.dedup_by_key(|signer| signer.public_key);
    let possible = keys.len().saturating_sub(1);
    if bundle.limits.sign_offs > possible {
        found.push(fault(
            "limits.sign_offs".into(),
            format!(
                "{} are needed, but only {possible} signers could give one beside the author",
                bundle.limits.sign_offs
            ),
        ));
    }
}

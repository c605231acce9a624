//! Authorization of operators.

use core::time::Duration;

use base::{Code, Digest, Name, Stamp};
use bundle::Bundle;
use ctl::request::Credential;
use flow::Answer;

/// The role of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Read-only access.
    View,
    /// Read access, and appending signed records.
    Act,
}

/// An operator, identified by their public key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name in the bundle in force; `root` before there is one.
    pub name: Name,
    /// The public key.
    pub key: Digest,
    /// The role.
    pub role: Role,
}

/// The keys that an instance trusts, and the clock that requests are checked against.
#[derive(Clone, Copy, Debug)]
pub struct Trust<'a> {
    /// The bundle in force, whose signers may act and whose viewers have read-only access.
    pub bundle: Option<&'a Bundle>,
    /// The keys that may act while no bundle is in force.
    pub root_keys: &'a [Digest],
    /// The instance's wall-clock time.
    pub now: Stamp,
    /// The maximum difference between it and the time of a request.
    pub max_clock_skew: Duration,
}

impl Operator {
    /// Finds the operator of a credential and checks that they have the required role.
    ///
    /// The signature itself is verified after the body was read, by [`Credential::verifies`].
    ///
    /// # Errors
    ///
    /// - `OperatorUnknown`: no operator has the key.
    /// - `OperatorStale`: the request was signed too long ago or in the future.
    /// - `OperatorForbidden`: the operator has read-only access.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use admin::operator::{Operator, Role, Trust};
    /// use base::Stamp;
    /// use bundle::sign::Key;
    /// let key = Key::example("author");
    /// let roots = [key.public()];
    /// let now = Stamp::from_millis(1_000_000);
    /// let trust = Trust { bundle: None, root_keys: &roots, now, max_clock_skew: Duration::from_secs(60) };
    /// let credential = ctl::request::sign(&key, "GET", "/admin/v1/pools", "", now);
    /// assert_eq!(Operator::authorize(&credential, trust, Role::Act).unwrap().name.as_str(), "root");
    /// ```
    pub fn authorize(
        credential: &Credential,
        trust: Trust<'_>,
        required: Role,
    ) -> Result<Self, Answer> {
        let key = credential.key;
        let operator = match trust.bundle {
            Some(bundle) => operator_in_bundle(bundle, key),
            None => root_operator(trust.root_keys, key),
        };
        let operator = operator
            .ok_or_else(|| Answer::refusal(Code::OperatorUnknown, "nobody has this public key"))?;
        let (at, now) = (credential.at, trust.now);
        if at - now > trust.max_clock_skew || now - at > trust.max_clock_skew {
            let limit = trust.max_clock_skew.as_secs();
            let detail = format!(
                "signed at {}, but it is {} here; the limit is {limit} s",
                at.as_millis(),
                now.as_millis()
            );
            return Err(Answer::refusal(Code::OperatorStale, detail));
        }
        if operator.role < required {
            let detail = format!("{} may only look", operator.name);
            return Err(Answer::refusal(Code::OperatorForbidden, detail));
        }
        Ok(operator)
    }
}

fn operator_in_bundle(bundle: &Bundle, key: Digest) -> Option<Operator> {
    let signers = bundle.signers.iter();
    let signers = signers.map(|signer| (&signer.name, signer.public_key, Role::Act));
    let viewers = bundle.viewers.iter();
    let viewers = viewers.map(|viewer| (&viewer.name, viewer.public_key, Role::View));
    let (name, key, role) = signers.chain(viewers).find(|(_, known, _)| *known == key)?;
    let name = name.clone();
    Some(Operator { name, key, role })
}

fn root_operator(keys: &[Digest], key: Digest) -> Option<Operator> {
    keys.contains(&key).then(|| Operator {
        name: Name::from("root"),
        key,
        role: Role::Act,
    })
}

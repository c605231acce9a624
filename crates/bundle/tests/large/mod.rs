//! Bundles with many client accounts.
#![allow(dead_code)] // Each test and bench uses only a part of this module.

use base::Digest;
use bundle::{
    Document, Projection, Record,
    delta::Delta,
    record::{Content, Publish, RollOut, SignOff},
    sign::{Key, Message},
};

/// Returns the keys of the author and of the other signer.
pub(crate) fn keys() -> (Key, Key) {
    (Key::example("author"), Key::example("steward"))
}

/// Returns the text of a bundle with 11 pipelines of four stages; `variant` changes one account.
pub(crate) fn text(accounts: usize, version: u64, variant: usize) -> String {
    let mut text = format!("name = \"large\"\nversion = {version}\n");
    for role in ["author", "steward"] {
        let public = Key::example(role).public();
        text.push_str(&format!(
            "[[signers]]\nname = \"{role}\"\npublic_key = \"{public}\"\n"
        ));
    }
    for (pool, kind) in POOLS {
        text.push_str(&format!(
            "[[pools]]\nname = \"{pool}\"\nkind = \"{kind}\"\n"
        ));
    }
    for pipeline in 0..11 {
        text.push_str(&format!(
            "[[pipelines]]\nname = \"pipeline-{pipeline}\"\ndeadline_ms = 5000\n"
        ));
        for (pool, _) in POOLS {
            text.push_str(&format!(
                "[[pipelines.stages]]\nname = \"{pool}\"\npool = \"{pool}\"\n"
            ));
        }
    }
    for account in 0..accounts {
        let name = format!("account-{account:05}");
        let token = Digest::of(name.as_bytes());
        let rate = if account == accounts / 2 {
            50 + variant
        } else {
            50
        };
        text.push_str(&format!(
            "[[accounts]]\nname = \"{name}\"\ntoken_digest = \"{token}\"\n\
             requests_per_second = {rate}.0\nburst_requests = 100\nweight = 1\n"
        ));
    }
    text
}

const POOLS: [(&str, &str); 4] = [
    ("encoders", "encode"),
    ("retrievers", "retrieve"),
    ("rerankers", "rerank"),
    ("engines", "generate"),
];

/// Returns the three records that put the bundle of a text in force.
pub(crate) fn change(projection: &Projection, text: &str, delta: bool) -> [Record; 3] {
    let (author, steward) = keys();
    let document = Document::from_toml(text).unwrap();
    let (version, digest) = (document.head().unwrap().version, document.digest());
    let base = projection.position().map(|position| position.digest);
    let old = projection.document().map(|old| Document::clone(old));
    let content = if delta {
        Content::Delta(Delta::between(&old.unwrap_or_default(), &document))
    } else {
        Content::Whole(text.to_owned())
    };
    [
        Record::Publish(Publish {
            version,
            base,
            digest,
            author: "author".into(),
            content,
            signature: author.sign(&Message::publish(version, base, digest)),
        }),
        Record::SignOff(SignOff {
            digest,
            signer: "steward".into(),
            signature: steward.sign(&Message::sign_off(version, base, digest)),
        }),
        Record::RollOut(RollOut {
            digest,
            base,
            author: "author".into(),
            nonce: version,
            signature: author.sign(&Message::roll_out(base, digest, version)),
        }),
    ]
}

/// Puts the bundle of a text in force.
pub(crate) fn roll_out_text(projection: &mut Projection, text: &str, delta: bool) {
    for record in change(projection, text, delta) {
        projection.apply(projection.next(), &record);
    }
    assert_eq!(
        projection.document().unwrap().digest(),
        Document::from_toml(text).unwrap().digest()
    );
}

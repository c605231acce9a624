//! The example bundles.

use bundle::{Bundle, Document, check, sign::Key};
use googletest::prelude::*;

const ADINKRA: &str = include_str!("../../../examples/adinkra.toml");
const COMPAS: &str = include_str!("../../../examples/compas.toml");

#[gtest]
fn the_examples_have_no_faults() {
    for (file, text) in [("adinkra.toml", ADINKRA), ("compas.toml", COMPAS)] {
        expect_that!(check::parse(file, text), ok(anything()));
    }
}

#[gtest]
fn the_examples_are_equal_parsed_from_toml_and_from_the_canonical_form() {
    for text in [ADINKRA, COMPAS] {
        let document = Document::from_toml(text).unwrap();
        expect_that!(
            document.bundle().unwrap(),
            eq(&Bundle::from_toml(text).unwrap())
        );
    }
}

#[gtest]
fn keys_and_tokens_of_the_examples_are_derived_from_their_names() {
    for text in [ADINKRA, COMPAS] {
        let bundle = Bundle::from_toml(text).unwrap();
        for signer in &bundle.signers {
            let key = Key::example(signer.name.as_str());
            expect_that!(signer.public_key, eq(key.public()));
        }
        expect_that!(bundle.accounts.len(), eq(5));
        for account in &bundle.accounts {
            let token = format!("{}-token", account.name);
            expect_that!(account.token_digest, eq(base::Digest::of(token.as_bytes())));
        }
    }
}

#[gtest]
fn viewers_are_unique_and_not_signers() {
    let viewer = |name: &str, key: &str| {
        format!("\n[[viewers]]\nname = \"{name}\"\npublic_key = \"{key}\"\n")
    };
    let [door, author] = ["door", "author"].map(|role| Key::example(role).public().to_string());
    let good = format!("{COMPAS}{}", viewer("door", &door));
    expect_that!(check::parse("compas.toml", &good), ok(anything()));
    for (path, added) in [
        ("viewers.boss.public_key", viewer("boss", &author)),
        ("viewers.gate.public_key", viewer("gate", &door)),
        // All zeros are a weak key.
        ("viewers.gate.public_key", viewer("gate", &"0".repeat(64))),
        (
            "viewers.door",
            viewer("door", &Key::example("gate").public().to_string()),
        ),
    ] {
        let faults = check::parse("compas.toml", &(good.clone() + &added)).unwrap_err();
        let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
        expect_that!(paths, elements_are![eq(&path)], "{added}");
    }
}

//! The example bundles.

use bundle::{Bundle, Sheet, check, sign::Key};
use googletest::prelude::*;

const ADINKRA: &str = include_str!("../../../examples/adinkra.toml");
const COMPAS: &str = include_str!("../../../examples/compas.toml");

#[gtest]
fn the_examples_have_no_faults() {
    for (file, text) in [("adinkra.toml", ADINKRA), ("compas.toml", COMPAS)] {
        expect_that!(check::read(file, text), ok(anything()));
    }
}

#[gtest]
fn the_examples_are_read_alike_from_toml_and_from_the_canonical_form() {
    for text in [ADINKRA, COMPAS] {
        let sheet = Sheet::from_toml(text).unwrap();
        expect_that!(
            sheet.bundle().unwrap(),
            eq(&Bundle::from_toml(text).unwrap())
        );
    }
}

#[gtest]
fn keys_and_tokens_of_the_examples_follow_their_rule() {
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

//! The rules for records, one test for each.

mod simulation;

use core::time::Duration;

use base::{Digest, Stamp};
use bundle::{
    Document, Event, Projection, Record,
    approval::Fault,
    record::{Content, Publish, RollOut, SignOff},
    sign::{Key, Message},
};
use googletest::prelude::*;
use simulation::{publish, roll_out, roots, sign_off, text};

fn apply(projection: &mut Projection, record: &Record) -> Event {
    let offset = projection.next();
    projection.apply(offset, record).remove(0)
}

/// Applies a record and returns why it is rejected, if it is.
fn apply_fault(projection: &mut Projection, record: &Record) -> Option<Fault> {
    match apply(projection, record) {
        Event::Refused { fault, .. } => Some(fault),
        _ => None,
    }
}

/// Returns a proposal of the given text.
fn propose(base: Option<Digest>, author: &str, key: &str, text: &str) -> Record {
    let document = Document::from_toml(text).unwrap();
    let (version, digest) = (document.head().unwrap().version, document.digest());
    Record::Publish(Publish {
        version,
        base,
        digest,
        author: author.into(),
        content: Content::Whole(text.to_owned()),
        signature: Key::example(key).sign(&Message::publish(version, base, digest)),
    })
}

fn advance(projection: &mut Projection, variant: u64) {
    let record = publish(projection, "ana", variant, false);
    apply(projection, &record);
    let record = sign_off(projection, "ben", 0).unwrap();
    apply(projection, &record);
    let record = roll_out(projection, "eva", 0, variant).unwrap();
    apply(projection, &record);
}

fn projection_with_bundle() -> Projection {
    let mut projection = Projection::new(roots());
    advance(&mut projection, 0);
    projection
}

#[gtest]
fn an_author_cannot_sign_off_and_a_signer_only_once() {
    let mut projection = Projection::new(roots());
    let record = publish(&projection, "ana", 0, false);
    apply(&mut projection, &record);
    let Some(Record::SignOff(other)) = sign_off(&projection, "ben", 0) else {
        panic!("no open proposal to sign off")
    };
    let message = Message::sign_off(1, None, other.digest);
    let own = Record::SignOff(SignOff {
        signer: "ana".into(),
        signature: Key::example("ana").sign(&message),
        ..other.clone()
    });
    expect_that!(
        apply_fault(&mut projection, &own),
        some(eq(&Fault::Author("ana".into())))
    );
    let other = Record::SignOff(other);
    expect_that!(
        apply(&mut projection, &other),
        matches_pattern!(Event::Approved { .. })
    );
    expect_that!(
        apply(&mut projection, &other),
        matches_pattern!(Event::Repeated { .. })
    );
    expect_that!(projection.pending()[0].approval.sign_offs.len(), eq(1));
}

#[gtest]
fn two_signers_with_the_same_key_count_once() {
    let mut projection = Projection::new(roots());
    let key = Key::example("ben").public();
    let text = text(1, 0).replace(
        "[[pools]]",
        &format!("[[signers]]\nname = \"ben-again\"\npublic_key = \"{key}\"\n[[pools]]"),
    );
    let text = format!("limits = {{ sign_offs = 2 }}\n{text}");
    apply(&mut projection, &propose(None, "ana", "ana", &text));
    let record = sign_off(&projection, "ben", 0).unwrap();
    apply(&mut projection, &record);
    let Record::SignOff(again) = record else {
        unreachable!()
    };
    let again = Record::SignOff(SignOff {
        signer: "ben-again".into(),
        ..again
    });
    expect_that!(apply_fault(&mut projection, &again), some(anything()));
    let order = roll_out(&projection, "eva", 0, 1).unwrap();
    let missing = Fault::SignOffs { have: 1, need: 2 };
    expect_that!(apply_fault(&mut projection, &order), some(eq(&missing)));
}

#[gtest]
fn a_roll_out_needs_a_sign_off() {
    let mut projection = projection_with_bundle();
    let record = publish(&projection, "ana", 1, false);
    apply(&mut projection, &record);
    let order = roll_out(&projection, "ben", 0, 1).unwrap();
    let missing = Fault::SignOffs { have: 0, need: 1 };
    expect_that!(apply_fault(&mut projection, &order), some(eq(&missing)));
}

#[gtest]
fn signatures_with_wrong_keys_are_rejected() {
    let mut projection = projection_with_bundle();
    let base = projection.position().map(|position| position.digest);
    let forged = propose(base, "ana", "mallory", &text(2, 1));
    expect_that!(
        apply_fault(&mut projection, &forged),
        some(eq(&Fault::Signature("ana".into())))
    );
    let unknown = propose(base, "mallory", "mallory", &text(2, 1));
    expect_that!(
        apply_fault(&mut projection, &unknown),
        some(eq(&Fault::Signer("mallory".into())))
    );
    apply(&mut projection, &propose(base, "ana", "ana", &text(2, 1)));
    let Some(Record::SignOff(sign)) = sign_off(&projection, "ben", 0) else {
        unreachable!()
    };
    let forged = Record::SignOff(SignOff {
        signer: "eva".into(),
        ..sign.clone()
    });
    expect_that!(
        apply_fault(&mut projection, &forged),
        some(eq(&Fault::Signature("eva".into())))
    );
    apply(&mut projection, &Record::SignOff(sign));
    let Some(Record::RollOut(order)) = roll_out(&projection, "ben", 0, 1) else {
        unreachable!()
    };
    let forged = Record::RollOut(RollOut { nonce: 2, ..order });
    expect_that!(
        apply_fault(&mut projection, &forged),
        some(eq(&Fault::Signature("ben".into())))
    );
}

#[gtest]
fn the_first_bundle_may_only_have_root_keys() {
    let mut projection = Projection::new(roots()[..2].to_vec());
    let record = propose(None, "ana", "ana", &text(1, 0));
    expect_that!(
        apply_fault(&mut projection, &record),
        some(eq(&Fault::Root("eva".into())))
    );
    let mut projection = Projection::new(roots());
    let record = propose(None, "ana", "ana", "name = 'trial'\nversion = 1");
    expect_that!(
        apply_fault(&mut projection, &record),
        some(eq(&Fault::Root("trial".into())))
    );
}

#[gtest]
fn versions_increase_and_the_deployment_name_is_fixed() {
    let mut projection = projection_with_bundle();
    let base = projection.position().map(|position| position.digest);
    let old = propose(base, "ana", "ana", &text(1, 1));
    expect_that!(
        apply_fault(&mut projection, &old),
        some(eq(&Fault::Version(1)))
    );
    let other = text(2, 1).replace("trial", "other");
    let other = propose(base, "ana", "ana", &other);
    expect_that!(
        apply_fault(&mut projection, &other),
        some(eq(&Fault::Deployment("other".into())))
    );
    let Record::Publish(record) = propose(base, "ana", "ana", &text(2, 1)) else {
        unreachable!()
    };
    let content = Content::Whole(text(2, 2));
    let swapped = Record::Publish(Publish { content, ..record });
    expect_that!(
        apply_fault(&mut projection, &swapped),
        some(eq(&Fault::Digest))
    );
}

#[gtest]
fn the_loser_of_a_race_is_rejected_with_both_digests() {
    let mut projection = projection_with_bundle();
    let view = projection.clone();
    let lost = publish(&view, "ben", 2, false);
    advance(&mut projection, 1);
    let in_force = projection.position().map(|position| position.digest);
    let named = view.position().map(|position| position.digest);
    expect_that!(
        apply_fault(&mut projection, &lost),
        some(eq(&Fault::Base { named, in_force }))
    );
}

#[gtest]
fn a_rollback_is_a_new_version_with_old_content() {
    let mut projection = projection_with_bundle();
    advance(&mut projection, 1);
    let old = projection.position().unwrap();
    advance(&mut projection, 0);
    expect_that!(projection.position().unwrap().follows(&old), eq(true));
    expect_that!(
        projection.document().unwrap().bundle().unwrap().pools[0].concurrency,
        eq(1)
    );
}

#[gtest]
fn a_record_below_the_next_offset_has_no_effect() {
    let mut projection = projection_with_bundle();
    let record = publish(&projection, "ana", 1, false);
    expect_that!(projection.apply(1, &record), is_empty());
    expect_that!(projection.apply_text(1, "no record"), is_empty());
    expect_that!(projection.pending(), is_empty());
}

#[gtest]
fn an_invalid_record_is_skipped() {
    let mut projection = projection_with_bundle();
    let newer = publish(&projection, "ana", 1, false)
        .to_json()
        .replace("\"layout\":1", "\"layout\":2");
    for text in ["", "{}", newer.as_str()] {
        let events = projection.apply_text(projection.next(), text);
        expect_that!(
            events,
            elements_are![matches_pattern!(Event::Refused { .. })]
        );
    }
    advance(&mut projection, 1);
    expect_that!(projection.position().unwrap().version, eq(2));
}

#[gtest]
fn a_carry_is_due_again_after_the_interval_and_not_before() {
    const INTERVAL: Duration = Duration::from_secs(60);
    let at = |seconds: u64| Stamp::from_millis(seconds * 1_000);
    let mut projection = projection_with_bundle();
    let carry = projection.carry(at(100), INTERVAL).unwrap();
    apply(&mut projection, &Record::Carry(Box::new(carry)));
    expect_that!(projection.carry(at(159), INTERVAL), none());
    expect_that!(projection.carry(at(160), INTERVAL), some(anything()));
    // The clock of the instance that wrote this carry was far ahead.
    let ahead = projection.carry(at(9_000), INTERVAL).unwrap();
    apply(&mut projection, &Record::Carry(Box::new(ahead)));
    expect_that!(projection.carry(at(161), INTERVAL), some(anything()));
    expect_that!(Projection::new(roots()).carry(at(1), INTERVAL), none());
}

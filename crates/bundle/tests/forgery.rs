//! Forged and outdated proofs.

mod simulation;

use bundle::{
    Document, Event, Projection, Proof, Record,
    approval::Fault,
    record::Carry,
    sign::{Key, Message},
};
use googletest::prelude::*;
use simulation::{publish, roll_out, roots, sign_off};

/// Puts another bundle in force and returns its proof.
fn advance(projection: &mut Projection, variant: u64) -> Proof {
    let record = publish(projection, "ana", variant, false);
    projection.apply(projection.next(), &record);
    let record = sign_off(projection, "ben", 0).unwrap();
    projection.apply(projection.next(), &record);
    let record = roll_out(projection, "eva", 0, variant).unwrap();
    projection.apply(projection.next(), &record);
    projection.proof().unwrap()
}

fn proofs(count: u64) -> Vec<Proof> {
    let mut projection = Projection::new(roots());
    (0..count)
        .map(|variant| advance(&mut projection, variant))
        .collect()
}

fn carry(proof: &Proof) -> Record {
    Record::Carry(Box::new(Carry {
        at: base::Stamp::default(),
        proof: proof.clone(),
    }))
}

/// Replaces all signatures over a proof's bundle by signatures with another key.
fn sign_with(proof: &mut Proof, key: &str) {
    let evidence = &mut proof.chain.evidence;
    let approval = &mut evidence.approval;
    let (version, base, digest) = (approval.version, approval.base, approval.digest);
    let key = Key::example(key);
    approval.signature = key.sign(&Message::publish(version, base, digest));
    approval.sign_offs[0].digest = digest;
    approval.sign_offs[0].signature = key.sign(&Message::sign_off(version, base, digest));
    let order = &mut evidence.roll_out;
    order.digest = digest;
    order.signature = key.sign(&Message::roll_out(order.base, digest, order.nonce));
}

#[gtest]
fn a_valid_proof_verifies_before_and_after_serialization() {
    for proof in proofs(3) {
        let json = serde_json::to_string(&proof).unwrap();
        let parsed: Proof = serde_json::from_str(&json).unwrap();
        expect_that!(parsed, eq(&proof));
        expect_that!(parsed.verify(&roots()), ok(anything()));
        expect_that!(
            parsed.verify(&roots()[..2]),
            err(eq(&Fault::Root("eva".into())))
        );
    }
}

#[gtest]
fn replaced_content_is_rejected() {
    for mut proof in proofs(2) {
        let text = simulation::text(proof.position().version, 9);
        proof.chain.document = Document::from_toml(&text).unwrap().into();
        expect_that!(proof.verify(&roots()), err(eq(&Fault::Digest)));
    }
}

#[gtest]
fn signatures_with_unknown_keys_are_rejected() {
    let mut proof = proofs(2).pop().unwrap();
    sign_with(&mut proof, "mallory");
    expect_that!(proof.verify(&roots()), err(anything()));
}

#[gtest]
fn a_forged_first_bundle_is_rejected() {
    let mut proof = proofs(1).pop().unwrap();
    let public = Key::example("mallory").public();
    let text = format!(
        "name = \"trial\"\nversion = 9\n[[signers]]\nname = \"ana\"\npublic_key = \"{public}\"\n"
    );
    let document = Document::from_toml(&text).unwrap();
    proof.chain.evidence.approval.version = 9;
    proof.chain.evidence.approval.digest = document.digest();
    proof.chain.links[0].head = document.head.clone();
    proof.chain.links[0].rest = document.items_digest();
    proof.chain.document = document.into();
    sign_with(&mut proof, "mallory");
    proof.chain.links[0].evidence = proof.chain.evidence.clone();
    expect_that!(proof.verify(&roots()), err(eq(&Fault::Root("ana".into()))));
}

#[gtest]
fn a_raised_version_is_rejected() {
    let mut proof = proofs(2).pop().unwrap();
    proof.chain.evidence.approval.version = 9;
    expect_that!(proof.verify(&roots()), err(anything()));
    let mut proof = proofs(2).pop().unwrap();
    proof.chain.links.push(proof.chain.links[0].clone());
    expect_that!(proof.verify(&roots()), err(anything()));
}

#[gtest]
fn missing_sign_offs_and_links_are_rejected() {
    let mut proof = proofs(2).pop().unwrap();
    proof.chain.evidence.approval.sign_offs.clear();
    expect_that!(
        proof.verify(&roots()),
        err(eq(&Fault::SignOffs { have: 0, need: 1 }))
    );
    let mut proof = proofs(2).pop().unwrap();
    proof.chain.links.clear();
    expect_that!(proof.verify(&roots()), err(anything()));
    let mut proof = proofs(1).pop().unwrap();
    proof.as_of = proof.chain.offset;
    expect_that!(proof.verify(&roots()), err(eq(&Fault::Offset)));
}

#[gtest]
fn an_older_proof_has_no_effect() {
    let proofs = proofs(3);
    let mut projection = Projection::new(roots());
    projection.apply_proof(&proofs[2]).unwrap();
    expect_that!(projection.apply_proof(&proofs[0]).unwrap(), is_empty());
    expect_that!(projection.position().unwrap().version, eq(3));
}

#[gtest]
fn an_old_carry_does_not_revert_a_reader() {
    let proofs = proofs(3);
    let mut projection = Projection::new(roots());
    projection.skip_to(3);
    projection.apply(9, &carry(&proofs[2]));
    expect_that!(projection.position().unwrap().version, eq(3));
    // The reader pauses until the log has dropped the records it needs, then reads an old carry.
    projection.skip_to(20);
    let outdated = Proof {
        as_of: 30,
        ..proofs[0].clone()
    };
    projection.apply(30, &carry(&outdated));
    expect_that!(projection.is_synced(), eq(false));
    expect_that!(projection.position().unwrap().version, eq(3));
}

#[gtest]
fn the_log_overrules_a_signed_bundle_that_lost_its_race() {
    let mut winner = Projection::new(roots());
    advance(&mut winner, 0);
    let mut loser = winner.clone();
    let (won, lost) = (advance(&mut winner, 1), advance(&mut loser, 2));
    let mut projection = winner.clone();
    expect_that!(projection.apply_proof(&lost), err(eq(&Fault::Conflict(2))));
    // A reader without the log cannot detect this, and is corrected by the log.
    let mut projection = Projection::new(roots());
    projection.apply_proof(&lost).unwrap();
    expect_that!(
        projection.position().unwrap().digest,
        eq(lost.position().digest)
    );
    projection.skip_to(4);
    let events = projection.apply(won.as_of, &carry(&won));
    let disagreed = Event::Disagreed {
        peer: lost.position(),
        log: Some(won.position()),
    };
    expect_that!(events, contains(eq(&disagreed)));
    expect_that!(
        projection.position().unwrap().digest,
        eq(won.position().digest)
    );
}

#[gtest]
fn a_change_of_signers_is_part_of_the_proof() {
    let mut projection = Projection::new(roots());
    advance(&mut projection, 0);
    let base = projection.position().map(|position| position.digest);
    let added = Key::example("zoe").public();
    let text = simulation::text(2, 1).replace(
        "[[pools]]",
        &format!("[[signers]]\nname = \"zoe\"\npublic_key = \"{added}\"\n[[pools]]"),
    );
    let document = Document::from_toml(&text).unwrap();
    let digest = document.digest();
    let message = Message::publish(2, base, digest);
    let record = Record::Publish(bundle::record::Publish {
        version: 2,
        base,
        digest,
        author: "ana".into(),
        content: bundle::record::Content::Whole(text),
        signature: Key::example("ana").sign(&message),
    });
    projection.apply(projection.next(), &record);
    expect_that!(
        sign_off(&projection, "ben", 0).map(|record| projection.apply(projection.next(), &record)),
        some(not(is_empty()))
    );
    let order = roll_out(&projection, "ben", 0, 2).unwrap();
    projection.apply(projection.next(), &order);
    let proof = projection.proof().unwrap();
    expect_that!(proof.chain.links.len(), eq(2));
    expect_that!(proof.verify(&roots()), ok(anything()));
    // A bundle by the new signer does not verify without the link that added the signer.
    let record = publish(&projection, "zoe", 3, false);
    projection.apply(projection.next(), &record);
    let record = sign_off(&projection, "ben", 0).unwrap();
    projection.apply(projection.next(), &record);
    let record = roll_out(&projection, "ben", 0, 3).unwrap();
    projection.apply(projection.next(), &record);
    let mut proof = projection.proof().unwrap();
    expect_that!(proof.position().version, eq(3));
    expect_that!(proof.verify(&roots()), ok(anything()));
    proof.chain.links.remove(1);
    expect_that!(
        proof.verify(&roots()),
        err(eq(&Fault::Signer("zoe".into())))
    );
}

#[gtest]
fn a_roll_out_with_another_base_is_rejected() {
    let mut proof = proofs(2).pop().unwrap();
    let order = &mut proof.chain.evidence.roll_out;
    order.base = None;
    let message = Message::roll_out(None, order.digest, order.nonce);
    order.signature = Key::example("eva").sign(&message);
    expect_that!(
        proof.verify(&roots()),
        err(matches_pattern!(Fault::Base { .. }))
    );
}

#[gtest]
fn a_forged_proposal_in_a_carry_is_dropped() {
    let mut projection = Projection::new(roots());
    advance(&mut projection, 0);
    for author in ["ana", "ben"] {
        let variant = author.len() as u64 + u64::from(author == "ben");
        let record = publish(&projection, author, variant, false);
        projection.apply(projection.next(), &record);
    }
    let mut proof = projection.proof().unwrap();
    expect_that!(proof.pending, len(eq(2)));
    let approval = &mut proof.pending[1].approval;
    let message = Message::publish(approval.version, approval.base, approval.digest);
    approval.signature = Key::example("mallory").sign(&message);
    let mut reader = Projection::new(roots());
    reader.skip_to(1);
    reader.apply(9, &carry(&proof));
    expect_that!(reader.is_synced(), eq(true));
    expect_that!(reader.pending(), len(eq(1)));
}

#[gtest]
fn a_loser_with_a_higher_version_is_overruled_at_its_offset() {
    let mut winner = Projection::new(roots());
    advance(&mut winner, 0);
    let base = winner.clone();
    // Two more versions that are not in the log.
    let mut loser = base.clone();
    advance(&mut loser, 1);
    let lost = advance(&mut loser, 2);
    // A reader that is behind accepts the proof, and is corrected once it reads that offset.
    let mut behind = base.clone();
    behind.apply_proof(&lost).unwrap();
    expect_that!(behind.position().unwrap().version, eq(3));
    let mut events = Vec::new();
    while behind.next() <= lost.position().offset {
        expect_that!(events, is_empty());
        let record = publish(&winner, "ana", behind.next(), false);
        let effects = behind.apply(behind.next(), &record);
        events.extend(effects.into_iter().filter(|event| event.offset().is_none()));
        winner.apply(winner.next(), &record);
    }
    let disagreed = Event::Disagreed {
        peer: lost.position(),
        log: winner.position(),
    };
    expect_that!(events, contains(eq(&disagreed)));
    expect_that!(behind.position(), eq(winner.position()));
    // A reader that has read beyond that offset rejects the proof.
    expect_that!(behind.apply_proof(&lost), err(eq(&Fault::Offset)));
}

#[gtest]
fn a_late_carry_does_not_revert_a_peers_proof() {
    let mut projection = Projection::new(roots());
    let first = advance(&mut projection, 0);
    let mut records = Vec::new();
    let record = publish(&projection, "ana", 1, false);
    records.push(record.clone());
    projection.apply(projection.next(), &record);
    let record = sign_off(&projection, "ben", 0).unwrap();
    records.push(record.clone());
    projection.apply(projection.next(), &record);
    let record = roll_out(&projection, "eva", 0, 1).unwrap();
    records.push(record.clone());
    projection.apply(projection.next(), &record);
    // The carry was written before the roll-out and is appended after it.
    records.push(carry(&first));
    let mut reader = Projection::new(roots());
    reader.skip_to(first.as_of);
    reader.apply_proof(&projection.proof().unwrap()).unwrap();
    let events: Vec<Event> = (first.as_of..)
        .zip(&records)
        .flat_map(|(offset, record)| reader.apply(offset, record))
        .collect();
    expect_that!(reader.is_synced(), eq(true));
    expect_that!(
        events,
        not(contains(any![
            matches_pattern!(Event::Disagreed { .. }),
            matches_pattern!(Event::InForce(_))
        ]))
    );
    expect_that!(reader.position(), eq(projection.position()));
}

//! Rules by which the projection applies records.

use base::{Code, Digest, Incarnation, Key, Stamp};
use googletest::prelude::*;
use ledger::{
    configs,
    projection::{Projection, State, Status},
    record::{self, Answer, Record},
    slot::{Nonce, Slot},
};

const NOW: Stamp = Stamp::from_millis(1_000_000_000);

fn slot_issued_at(issued: Stamp) -> Slot {
    Slot::new("compas", &Key::from_parts(issued, 1), "entries-api")
}

fn slot() -> Slot {
    slot_issued_at(NOW)
}

fn nonce(bits: u128) -> Nonce {
    Nonce::from_random(bits)
}

fn claim(bits: u128) -> Record {
    Record::Claim {
        slot: slot(),
        nonce: nonce(bits),
        holder: Incarnation::new("entry-1", NOW),
        body: Digest::of(b"registration"),
    }
}

fn done(bits: u128, body: &str) -> Record {
    Record::Done {
        slot: slot(),
        nonce: nonce(bits),
        answer: Answer::new(Code::Answered, body, 1).unwrap(),
    }
}

fn released(bits: u128) -> Record {
    Record::Released {
        slot: slot(),
        nonce: nonce(bits),
    }
}

fn projection_of(records: &[Record]) -> Projection {
    let mut projection = Projection::new(configs::Projection::default());
    projection.set_log_start(0, NOW);
    for (offset, record) in records.iter().enumerate() {
        projection.apply(offset as u64, record);
    }
    projection
}

fn statuses(records: &[Record]) -> Vec<Status> {
    let projection = projection_of(records);
    let status = |bits| projection.status(&slot(), nonce(bits));
    vec![status(1), status(2)]
}

#[gtest]
fn first_claim_wins_and_second_is_void() {
    expect_that!(
        statuses(&[claim(1), claim(2)]),
        elements_are![eq(&Status::Won), eq(&Status::Void)]
    );
}

#[gtest]
fn a_duplicate_claim_counts_once() {
    expect_that!(
        statuses(&[claim(1), claim(1), claim(2)]),
        elements_are![eq(&Status::Won), eq(&Status::Void)]
    );
}

#[gtest]
fn a_release_frees_the_slot_for_later_claims_only() {
    expect_that!(
        statuses(&[claim(1), claim(2), released(1)]),
        each(eq(&Status::Void))
    );
    expect_that!(
        statuses(&[claim(1), released(1), claim(2)]),
        elements_are![eq(&Status::Void), eq(&Status::Won)]
    );
}

#[gtest]
fn a_release_before_its_claim_voids_it() {
    expect_that!(
        statuses(&[released(1), claim(1)]),
        elements_are![eq(&Status::Void), eq(&Status::Unseen)]
    );
}

#[gtest]
fn a_late_copy_of_a_lost_claim_does_not_win_after_a_release() {
    expect_that!(
        statuses(&[claim(1), claim(2), released(1), claim(2)]),
        each(eq(&Status::Void))
    );
}

#[gtest]
fn an_outcome_counts_from_the_winner_only_and_once() {
    let projection = projection_of(&[claim(1), claim(2), done(2, "b"), done(1, "a"), done(1, "c")]);
    let state = State::Done {
        answer: Answer::new(Code::Answered, "a", 1).unwrap(),
        body: Digest::of(b"registration"),
    };
    expect_that!(projection.state(&slot()), eq(&state));
}

#[gtest]
fn a_release_does_not_remove_an_outcome() {
    let projection = projection_of(&[claim(1), done(1, "a"), released(1), claim(2)]);
    expect_that!(
        projection.state(&slot()),
        matches_pattern!(State::Done { .. })
    );
}

#[gtest]
fn records_at_unexpected_offsets_are_ignored() {
    let mut projection = projection_of(&[claim(1)]);
    projection.apply(0, &claim(2));
    projection.apply(5, &claim(2));
    expect_that!(projection.status(&slot(), nonce(2)), eq(Status::Unseen));
    expect_that!(projection.position(), some(eq(1)));
}

#[gtest]
fn slots_past_the_horizon_stay_refused_when_the_clock_steps_back() {
    let mut projection = projection_of(&[claim(1)]);
    let horizon = configs::Projection::default().horizon;
    projection.expire(NOW + horizon);
    expect_that!(projection.len(), eq(1));
    expect_false!(projection.is_refused(&slot(), NOW + horizon));
    let later = NOW + horizon + core::time::Duration::from_millis(1);
    projection.expire(later);
    expect_that!(projection.len(), eq(0));
    expect_true!(projection.is_refused(&slot(), later));
    projection.expire(NOW);
    expect_true!(projection.is_refused(&slot(), NOW));
    projection.apply(1, &claim(1));
    expect_that!(projection.len(), eq(0));
}

#[gtest]
fn a_key_further_ahead_than_the_clock_error_is_refused() {
    let projection = projection_of(&[]);
    let error = configs::Projection::default().clock_error;
    expect_false!(projection.is_refused(&slot_issued_at(NOW + error), NOW));
    let ahead = NOW + error + core::time::Duration::from_millis(1);
    expect_true!(projection.is_refused(&slot_issued_at(ahead), NOW));
}

#[gtest]
fn records_dropped_before_they_were_read_leave_a_gap_for_a_horizon() {
    let config = configs::Projection::default();
    let mut projection = projection_of(&[claim(1)]);
    projection.set_log_start(9, NOW);
    expect_that!(projection.position(), some(eq(9)));
    expect_true!(projection.has_gap(&slot()));
    expect_true!(projection.has_gap(&slot_issued_at(NOW + config.clock_error)));
    let after = NOW + config.clock_error + core::time::Duration::from_millis(1);
    expect_false!(projection.has_gap(&slot_issued_at(after)));
    projection.expire(after + config.horizon);
    expect_false!(projection.has_gap(&slot()));
}

#[gtest]
fn a_body_of_another_version_leaves_a_gap() {
    let mut projection = projection_of(&[]);
    projection.apply_body(0, &record::encode(&[claim(1)]), NOW);
    expect_false!(projection.has_gap(&slot()));
    projection.apply_body(1, r#"{"v":2,"r":[]}"#, NOW);
    expect_true!(projection.has_gap(&slot()));
}

#[gtest]
fn a_restored_snapshot_applies_records_like_its_original() {
    let mut projection = projection_of(&[claim(1), claim(2), released(2)]);
    let text = serde_json::to_string(&projection.snapshot().unwrap()).unwrap();
    let mut other = Projection::restore(
        configs::Projection::default(),
        serde_json::from_str(&text).unwrap(),
    );
    for projection in [&mut projection, &mut other] {
        projection.apply(3, &done(1, "a"));
    }
    expect_that!(other.snapshot(), eq(&projection.snapshot()));
}

#[gtest]
fn retention_must_exceed_the_horizon_and_its_margins() {
    let config = configs::Projection::default();
    let needed = config.horizon + 3 * config.clock_error + config.max_pause;
    let with = |retention| configs::Projection {
        retention,
        ..config.clone()
    };
    expect_that!(with(needed).validate(), err(anything()));
    let above = needed + core::time::Duration::from_millis(1);
    expect_that!(with(above).validate(), ok(anything()));
}

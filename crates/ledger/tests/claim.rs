//! The state machine of a claim.

use core::time::Duration;

use base::{Code, Digest, Incarnation, Key, Stamp, Tick};
use googletest::prelude::*;
use ledger::{
    Now,
    claim::{Action, Call, Claim, Event},
    configs,
    owner::Verdict,
    projection::State,
    record::{Answer, Record},
    slot::{Nonce, Slot},
};

const ISSUED: Stamp = Stamp::from_millis(1_000_000_000);
const REFUSED: Verdict = Verdict::Unavailable {
    may_have_landed: false,
};

fn now() -> Now {
    after(Duration::ZERO)
}

fn after(span: Duration) -> Now {
    Now {
        tick: Tick::from_millis(1) + span,
        wall: ISSUED + span,
    }
}

fn slot() -> Slot {
    Slot::new("adinkra", &Key::from_parts(ISSUED, 1), "commission-ledger")
}

fn body() -> Digest {
    Digest::of(b"release deposit 12")
}

fn holder() -> Incarnation {
    Incarnation::new("entry-2", ISSUED)
}

fn new_claim(first: bool) -> Claim {
    let call = Call {
        slot: slot(),
        nonce: Nonce::from_random(1),
        holder: Incarnation::new("entry-1", ISSUED),
        body: body(),
        first,
    };
    Claim::new(configs::Claim::default(), call)
}

fn started_claim(first: bool) -> Claim {
    let mut claim = new_claim(first);
    claim.handle(now(), Event::Start);
    claim
}

fn won_claim() -> Claim {
    let mut claim = started_claim(false);
    let actions = claim.handle(now(), Event::Claimed(Verdict::Won));
    assert_that!(actions, elements_are![eq(&Action::Prepare)]);
    claim
}

fn sent_claim() -> Claim {
    let mut claim = won_claim();
    let actions = claim.handle(now(), Event::CallWritten);
    assert_that!(actions, elements_are![eq(&Action::Write)]);
    claim
}

fn attached_claim() -> Claim {
    let mut claim = started_claim(false);
    let lost = Verdict::Lost(in_progress(body()));
    assert_that!(claim.handle(now(), Event::Claimed(lost)), is_empty());
    claim
}

fn in_progress(body: Digest) -> State {
    let holder = holder();
    State::InProgress { holder, body }
}

fn done(body: Digest) -> State {
    let answer = paid_answer();
    State::Done { answer, body }
}

fn paid_answer() -> Answer {
    Answer::new(Code::Answered, "paid", 1).unwrap()
}

fn answer_code(code: Code) -> Action {
    Action::Answer(Answer::from_code(code))
}

fn submit_release() -> Action {
    Action::Submit(Record::Released {
        slot: slot(),
        nonce: Nonce::from_random(1),
    })
}

fn submit_outcome(answer: Answer) -> Action {
    Action::Submit(Record::Done {
        slot: slot(),
        nonce: Nonce::from_random(1),
        answer,
    })
}

#[gtest]
fn a_refused_claim_answers_not_run_only_for_a_first_request() {
    expect_that!(
        started_claim(true).handle(now(), Event::Claimed(REFUSED)),
        elements_are![eq(&answer_code(Code::LogUnavailable))]
    );
    expect_that!(
        started_claim(false).handle(now(), Event::Claimed(REFUSED)),
        elements_are![eq(&answer_code(Code::EarlierUnknown))]
    );
}

#[gtest]
fn a_claim_that_may_have_landed_is_released() {
    let mut claim = started_claim(false);
    expect_that!(
        claim.handle(now(), Event::Claimed(Verdict::UNANSWERED)),
        elements_are![
            eq(&submit_release()),
            eq(&answer_code(Code::EarlierUnknown))
        ]
    );
    expect_false!(claim.is_ended());
    expect_that!(
        claim.handle(now(), Event::Claimed(Verdict::Won)),
        is_empty()
    );
    claim.handle(now(), Event::Closed(Verdict::Recorded));
    expect_true!(claim.is_ended());
}

#[gtest]
fn a_winner_abandoned_before_writing_answers_not_run_and_never_writes() {
    let mut claim = won_claim();
    expect_that!(
        claim.handle(now(), Event::Abandon(Code::DeadlinePassed)),
        elements_are![
            eq(&Action::Cancel),
            eq(&answer_code(Code::DeadlinePassed)),
            eq(&submit_release())
        ]
    );
    // The release is not acknowledged, the holder is paused, and then tries to send the call.
    claim.handle(now(), Event::Closed(Verdict::UNANSWERED));
    let late = after(Duration::from_secs(600));
    expect_that!(
        claim.handle(late, Event::CallWritten),
        elements_are![eq(&Action::Cancel)]
    );
    expect_that!(
        claim.handle(late, Event::Tick),
        elements_are![eq(&submit_release())]
    );
    expect_that!(
        claim.handle(late, Event::CallWritten),
        elements_are![eq(&Action::Cancel)]
    );
}

#[gtest]
fn a_paused_winner_still_calls() {
    let mut claim = won_claim();
    let late = after(Duration::from_secs(86_400));
    expect_that!(
        claim.handle(late, Event::CallWritten),
        elements_are![eq(&Action::Write)]
    );
}

#[gtest]
fn a_call_is_written_once() {
    let mut claim = sent_claim();
    expect_that!(claim.handle(now(), Event::CallWritten), is_empty());
    expect_that!(
        claim.handle(now(), Event::Claimed(Verdict::Won)),
        is_empty()
    );
    expect_that!(claim.handle(now(), Event::Start), is_empty());
}

#[gtest]
fn a_written_call_without_an_answer_is_immediately_unknown() {
    let unknown = Answer::from_code(Code::CallUnknown);
    let failed = Event::CallFailed {
        written: true,
        code: Code::StageUnavailable,
    };
    for event in [failed, Event::Abandon(Code::DeadlinePassed)] {
        let mut claim = sent_claim();
        expect_that!(
            claim.handle(now(), event),
            elements_are![
                eq(&Action::Answer(unknown.clone())),
                eq(&submit_outcome(unknown.clone()))
            ]
        );
        expect_that!(
            claim.handle(now(), Event::CallAnswered(paid_answer())),
            is_empty()
        );
        expect_that!(
            claim.handle(now(), Event::CallWritten),
            elements_are![eq(&Action::Cancel)]
        );
    }
}

#[gtest]
fn a_failure_before_anything_was_written_is_not_run() {
    let failed = Event::CallFailed {
        written: false,
        code: Code::StageUnavailable,
    };
    expect_that!(
        won_claim().handle(now(), failed.clone()),
        elements_are![
            eq(&Action::Cancel),
            eq(&answer_code(Code::StageUnavailable)),
            eq(&submit_release())
        ]
    );
    // A driver that has reported the write cannot report it as not written.
    expect_that!(
        sent_claim().handle(now(), failed),
        contains(eq(&answer_code(Code::CallUnknown)))
    );
}

#[gtest]
fn an_outcome_is_resubmitted_until_it_is_recorded() {
    let mut claim = sent_claim();
    expect_that!(
        claim.handle(now(), Event::CallAnswered(paid_answer())),
        elements_are![
            eq(&Action::Answer(paid_answer())),
            eq(&submit_outcome(paid_answer()))
        ]
    );
    claim.handle(now(), Event::Closed(REFUSED));
    let second = after(Duration::from_secs(1));
    expect_that!(claim.next_wakeup(), some(eq(second.tick)));
    expect_that!(
        claim.handle(second, Event::Tick),
        elements_are![eq(&submit_outcome(paid_answer()))]
    );
    expect_that!(
        claim.next_wakeup(),
        some(eq(after(Duration::from_secs(3)).tick))
    );
    claim.handle(second, Event::Closed(Verdict::Recorded));
    expect_true!(claim.is_ended());
    expect_that!(claim.next_wakeup(), none());
}

#[gtest]
fn a_loser_waits_for_the_winners_answer() {
    let mut claim = attached_claim();
    let next = after(Duration::from_millis(250));
    expect_that!(
        claim.handle(next, Event::Tick),
        elements_are![eq(&Action::Lookup(slot()))]
    );
    expect_that!(claim.handle(next, Event::Found(REFUSED)), is_empty());
    let next = after(Duration::from_millis(500));
    expect_that!(
        claim.handle(next, Event::Tick),
        elements_are![eq(&Action::Lookup(slot()))]
    );
    let found = Event::Found(Verdict::Found(done(body())));
    expect_that!(
        claim.handle(next, found),
        elements_are![eq(&Action::Answer(paid_answer()))]
    );
    expect_true!(claim.is_ended());
}

#[gtest]
fn a_loser_claims_again_with_a_new_nonce_after_a_release() {
    let mut claim = attached_claim();
    let next = after(Duration::from_millis(250));
    claim.handle(next, Event::Tick);
    let actions = claim.handle(next, Event::Found(Verdict::Found(State::Free)));
    let [Action::Submit(Record::Claim { nonce, .. })] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    expect_that!(*nonce, eq(Nonce::from_random(1).next()));
}

#[gtest]
fn a_loser_answers_at_once_when_abandoned_or_when_the_holder_ended() {
    expect_that!(
        attached_claim().handle(now(), Event::Abandon(Code::DeadlinePassed)),
        elements_are![eq(&answer_code(Code::InProgress))]
    );
    let other = Incarnation::new("entry-2", ISSUED + Duration::from_secs(1));
    let mut claim = attached_claim();
    expect_that!(claim.handle(now(), Event::HolderLost(other)), is_empty());
    expect_that!(
        claim.handle(now(), Event::HolderLost(holder())),
        elements_are![eq(&answer_code(Code::CallUnknown))]
    );
}

#[gtest]
fn a_reused_key_never_gets_the_answer_to_another_body() {
    let other = Digest::of(b"release deposit 13");
    let lost = |state| started_claim(false).handle(now(), Event::Claimed(Verdict::Lost(state)));
    expect_that!(
        lost(done(other)),
        elements_are![eq(&answer_code(Code::KeyReused))]
    );
    expect_that!(
        lost(in_progress(other)),
        elements_are![eq(&answer_code(Code::EarlierUnknown))]
    );
    let mut claim = attached_claim();
    let next = after(Duration::from_millis(250));
    claim.handle(next, Event::Tick);
    expect_that!(
        claim.handle(next, Event::Found(Verdict::Found(done(other)))),
        elements_are![eq(&answer_code(Code::KeyReused))]
    );
}

#[gtest]
fn an_expired_key_answers_not_run_only_for_a_first_request() {
    let expired = |first| started_claim(first).handle(now(), Event::Claimed(Verdict::Expired));
    expect_that!(
        expired(true),
        elements_are![eq(&answer_code(Code::KeyExpired))]
    );
    expect_that!(
        expired(false),
        elements_are![eq(&answer_code(Code::EarlierUnknown))]
    );
}

#[gtest]
fn a_refused_call_may_be_written_again_or_abandoned() {
    let mut claim = sent_claim();
    expect_that!(claim.handle(now(), Event::CallRefused), is_empty());
    expect_that!(
        claim.handle(now(), Event::CallWritten),
        elements_are![eq(&Action::Write)]
    );
    expect_that!(claim.handle(now(), Event::CallRefused), is_empty());
    expect_that!(
        claim.handle(now(), Event::Abandon(Code::StageUnavailable)),
        elements_are![
            eq(&Action::Cancel),
            eq(&answer_code(Code::StageUnavailable)),
            eq(&submit_release())
        ]
    );
    // A claim that was abandoned or answered as unknown never sends the call.
    for mut claim in [claim, sent_claim()] {
        claim.handle(now(), Event::Abandon(Code::DeadlinePassed));
        claim.handle(now(), Event::CallRefused);
        expect_that!(
            claim.handle(now(), Event::CallWritten),
            elements_are![eq(&Action::Cancel)]
        );
    }
}

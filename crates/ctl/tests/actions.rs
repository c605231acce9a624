//! Operators' actions against a log with injected failures.

mod common;

use base::Digest;
use bundle::{approval::Fault, sign::Key};
use common::{Failure, Memory};
use ctl::{Error, Session, View, publish, roll_out, roll_out_all, sign_off};
use googletest::prelude::*;

const COMPAS: &str = include_str!("../../../examples/compas.toml");

fn keys() -> (Key, Key) {
    (Key::example("author"), Key::example("steward"))
}

fn session(log: &Memory) -> Session<'_, Memory> {
    let (author, steward) = keys();
    Session {
        appender: "tests".into(),
        log,
        roots: vec![author.public(), steward.public()],
        dry_run: false,
    }
}

/// Two proposals on the same base, one of which is in force.
struct Race {
    base: Digest,
    loser: Digest,
    winner: Digest,
}

async fn race(session: &Session<'_, Memory>) -> Race {
    let (author, steward) = keys();
    let first = roll_out_all(session.log, COMPAS, &author, &steward).await;
    let two = publish(session, "two", &version(2), &author).await;
    let three = publish(session, "three", &version(3), &steward).await;
    let race = Race {
        base: first.unwrap().digest,
        loser: three.unwrap().digest,
        winner: two.unwrap().digest,
    };
    sign_off(session, race.winner, &steward).await.unwrap();
    sign_off(session, race.loser, &author).await.unwrap();
    let won = roll_out(session, race.winner, Some(race.base), &author, 1).await;
    won.unwrap();
    race
}

impl Race {
    async fn expect_lost(&self, session: &Session<'_, Memory>) {
        let (_, steward) = keys();
        let base = Some(self.base);
        let error = roll_out(session, self.loser, base, &steward, 2).await;
        let fault = Fault::Base {
            named: base,
            in_force: Some(self.winner),
        };
        expect_that!(
            error.unwrap_err(),
            matches_pattern!(Error::Refused(eq(&fault)))
        );
    }
}

fn version(number: u64) -> String {
    COMPAS.replace("version = 1", &format!("version = {number}"))
}

#[gtest]
#[actix_web::test]
async fn a_bundle_is_published_signed_off_and_rolled_out() {
    let log = Memory::default();
    let (author, steward) = keys();
    let done = roll_out_all(&log, COMPAS, &author, &steward).await.unwrap();
    let view = View::read(&log, &session(&log).roots).await.unwrap();
    expect_that!(view.projection.position().unwrap().digest, eq(done.digest));
    expect_that!(done.offset, some(eq(2)));
    let done = roll_out_all(&log, &version(2), &author, &steward).await;
    expect_that!(done.unwrap().version, eq(2));
}

#[gtest]
#[actix_web::test]
async fn after_a_lost_answer_the_record_is_found_and_not_appended_again() {
    let log = Memory::default();
    let (author, _) = keys();
    log.failure.set(Failure::AnswerLost);
    let done = publish(&session(&log), "compas", COMPAS, &author).await;
    expect_that!(done.unwrap().offset, some(eq(0)));
    expect_that!(log.appends.get(), eq(1));
}

#[gtest]
#[actix_web::test]
async fn a_record_appended_after_the_first_search_is_found() {
    let log = Memory::default();
    let (author, _) = keys();
    log.failure.set(Failure::Late);
    let done = publish(&session(&log), "compas", COMPAS, &author).await;
    expect_that!(done.unwrap().offset, some(eq(0)));
    expect_that!(log.appends.get(), eq(1));
}

#[gtest]
#[actix_web::test]
async fn a_record_that_is_not_found_is_unknown_and_not_appended_again() {
    let log = Memory::default();
    let (author, _) = keys();
    log.failure.set(Failure::Lost);
    let error = publish(&session(&log), "compas", COMPAS, &author).await;
    expect_that!(error.unwrap_err().exit_code(), eq(4));
    expect_that!(log.appends.get(), eq(1));
}

#[gtest]
#[actix_web::test]
async fn a_refused_append_changes_nothing() {
    let log = Memory::default();
    let (author, _) = keys();
    log.failure.set(Failure::Refused);
    let error = publish(&session(&log), "compas", COMPAS, &author).await;
    expect_that!(error.unwrap_err().exit_code(), eq(3));
}

#[gtest]
#[actix_web::test]
async fn the_loser_of_a_race_is_refused() {
    let log = Memory::default();
    let session = session(&log);
    let race = race(&session).await;
    race.expect_lost(&session).await;
}

#[gtest]
#[actix_web::test]
async fn an_author_cannot_sign_their_own_bundle_off() {
    let log = Memory::default();
    let (author, _) = keys();
    let session = session(&log);
    let done = publish(&session, "compas", COMPAS, &author).await.unwrap();
    let error = sign_off(&session, done.digest, &author).await.unwrap_err();
    expect_that!(
        error,
        matches_pattern!(Error::Refused(eq(&Fault::Author("author".into()))))
    );
}

#[gtest]
#[actix_web::test]
async fn a_roll_out_overtaken_between_read_and_append_is_refused() {
    let log = Memory::default();
    let session = session(&log);
    let race = race(&session).await;
    let winner = log.records.borrow_mut().pop();
    log.overtaking.replace(winner);
    race.expect_lost(&session).await;
}

#[gtest]
#[actix_web::test]
async fn the_effect_of_a_record_is_unknown_while_the_log_cannot_be_read() {
    let log = Memory::default();
    let (author, _) = keys();
    log.reads.set(Some(1));
    let error = publish(&session(&log), "compas", COMPAS, &author).await;
    expect_that!(error.unwrap_err().exit_code(), eq(4));
    log.reads.set(Some(0));
    let error = publish(&session(&log), "compas", COMPAS, &author).await;
    expect_that!(error.unwrap_err().exit_code(), eq(3));
    expect_that!(log.appends.get(), eq(1));
}

#[gtest]
#[actix_web::test]
async fn nothing_is_appended_to_a_truncated_log() {
    let log = Memory::default();
    let (author, steward) = keys();
    roll_out_all(&log, COMPAS, &author, &steward).await.unwrap();
    log.first.set(1);
    let error = publish(&session(&log), "two", &version(2), &author).await;
    expect_that!(error.unwrap_err(), matches_pattern!(Error::Truncated));
    expect_that!(log.appends.get(), eq(3));
}

#[gtest]
#[actix_web::test]
async fn a_dry_run_and_a_faulty_bundle_append_nothing() {
    let log = Memory::default();
    let (author, _) = keys();
    let dry = Session {
        dry_run: true,
        ..session(&log)
    };
    expect_that!(
        publish(&dry, "compas", COMPAS, &author)
            .await
            .unwrap()
            .offset,
        none()
    );
    let faulty = COMPAS.replace("weight = 4", "weight = 0");
    let error = publish(&session(&log), "compas", &faulty, &author).await;
    expect_that!(
        error.unwrap_err(),
        matches_pattern!(Error::Faults(len(eq(2))))
    );
    expect_that!(log.appends.get(), eq(0));
}

#[gtest]
#[actix_web::test]
async fn a_small_change_is_sent_as_a_delta() {
    let log = Memory::default();
    let (author, steward) = keys();
    roll_out_all(&log, COMPAS, &author, &steward).await.unwrap();
    let done = roll_out_all(&log, &version(2), &author, &steward)
        .await
        .unwrap();
    expect_that!(log.records.borrow()[3], contains_substring("\"delta\""));
    expect_that!(
        log.records.borrow()[3].len(),
        lt(log.records.borrow()[0].len() / 2)
    );
    let view = View::read(&log, &session(&log).roots).await.unwrap();
    expect_that!(view.projection.position().unwrap().digest, eq(done.digest));
}

#[gtest]
#[actix_web::test]
async fn records_too_large_for_one_answer_are_read_one_by_one() {
    let log = Memory::default();
    let (author, steward) = keys();
    roll_out_all(&log, COMPAS, &author, &steward).await.unwrap();
    roll_out_all(&log, &version(2), &author, &steward)
        .await
        .unwrap();
    let longest = log.records.borrow().iter().map(String::len).max().unwrap();
    log.max_answer_bytes.set(longest);
    let view = View::read(&log, &session(&log).roots).await.unwrap();
    expect_that!(view.projection.position().unwrap().version, eq(2));
}

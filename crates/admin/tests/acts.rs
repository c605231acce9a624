//! Actions: the records they append, authorization, and answers.

#[allow(dead_code, reason = "each test program uses only a part")]
mod fixture;

use std::rc::Rc;

use bundle::{Record, record::Note};
use fixture::{Instance, NOW, Reply, Request, common::Failure, key, send, with_viewer};
use googletest::prelude::*;
use serde_json::json;

/// Returns the signed record of a proposal.
async fn proposal(instance: &Instance, text: &str) -> Record {
    let session = instance.session(true);
    let done = ctl::publish(&session, "bundle", text, &key("author")).await;
    done.expect("a proposal").record
}

/// Publishes a version and signs it off, and returns its digest.
async fn open_proposal(instance: &Instance, version: u64) -> base::Digest {
    let session = instance.session(false);
    let text = with_viewer(version);
    let done = ctl::publish(&session, "bundle", &text, &key("author")).await;
    let digest = done.expect("a proposal").digest;
    let done = ctl::sign_off(&session, digest, &key("steward")).await;
    done.expect("a sign-off");
    instance.log.appends.set(0);
    digest
}

/// Returns the signed record of a roll-out.
async fn roll_out(instance: &Instance, digest: base::Digest, role: &str, nonce: u64) -> Record {
    let session = instance.session(true);
    let view = ctl::View::read(session.log, &session.roots).await.unwrap();
    let base = view.projection.position().map(|now| now.digest);
    let done = ctl::roll_out(&session, digest, base, &key(role), nonce).await;
    done.expect("a roll-out").record
}

async fn post_record(instance: &Rc<Instance>, role: &str, path: &str, record: &Record) -> Reply {
    send(instance, &Request::post(role, path, &record.to_json())).await
}

#[gtest]
#[actix_web::test]
async fn a_version_is_published_signed_off_and_rolled_out_and_audited() {
    let instance = Instance::with_bundle().await;
    let record = proposal(&instance, &with_viewer(2)).await;
    let done = post_record(&instance, "author", "/publish", &record)
        .await
        .body;
    expect_that!(done["version"], eq(&json!(2)));
    let digest = base::Digest::parse(done["digest"].as_str().unwrap()).unwrap();
    let session = instance.session(true);
    let record = ctl::sign_off(&session, digest, &key("steward")).await;
    let record = record.unwrap().record;
    post_record(&instance, "steward", "/sign-off", &record).await;
    let record = roll_out(&instance, digest, "author", 7).await;
    let done = post_record(&instance, "author", "/roll-out", &record)
        .await
        .body;
    expect_that!(done["offset"], eq(&json!(5)));
    expect_that!(done["repeated"], eq(&json!(false)));
    expect_that!(instance.log.appends.get(), eq(3));

    let page = send(&instance, &Request::get("viewer", "/audit?from=3&limit=2")).await;
    let entries = page.body["entries"].as_array().unwrap().clone();
    let acts: Vec<_> = entries
        .iter()
        .map(|entry| (entry["who"].as_str(), entry["act"].as_str()))
        .collect();
    expect_that!(
        acts,
        elements_are![
            eq(&(Some("author"), Some("publish"))),
            eq(&(Some("steward"), Some("sign_off")))
        ]
    );
    for entry in &entries {
        expect_that!(entry["by"], eq(&json!("entry-1@7")));
        expect_that!(entry["at_ms"].as_u64(), some(gt(NOW.as_millis())));
        expect_that!(entry["outcome"], eq(&json!("accepted")));
    }
    expect_that!(page.body["next"], eq(&json!(5)));
    let last = send(&instance, &Request::get("viewer", "/audit?from=5")).await;
    expect_that!(last.body["entries"][0]["act"], eq(&json!("roll_out")));
    expect_that!(last.body["next"], eq(&json!(null)));
}

#[gtest]
#[actix_web::test]
async fn only_the_signer_of_a_record_may_send_it() {
    let instance = Instance::with_bundle().await;
    let digest = open_proposal(&instance, 2).await;
    let record = roll_out(&instance, digest, "author", 7).await;
    for (role, code) in [("viewer", 602), ("steward", 602), ("nobody", 600)] {
        let reply = post_record(&instance, role, "/roll-out", &record).await;
        expect_that!(reply.code(), eq(code), "{role}");
    }
    // A viewer is refused before the record is parsed.
    let reply = send(&instance, &Request::post("viewer", "/publish", "{}")).await;
    expect_that!(reply.code(), eq(602));
    expect_that!(instance.log.appends.get(), eq(0));
}

#[gtest]
#[actix_web::test]
async fn invalid_input_gets_a_result_code_and_changes_nothing() {
    let instance = Instance::with_bundle().await;
    let digest = open_proposal(&instance, 2).await;
    let roll_out = roll_out(&instance, digest, "author", 7).await.to_json();
    let faulty = with_viewer(3).replace("weight = 4", "weight = 0");
    let Record::Publish(mut unchecked) = proposal(&instance, &with_viewer(3)).await else {
        panic!("no proposal");
    };
    let document = bundle::Document::from_toml(&faulty).unwrap();
    unchecked.digest = document.digest();
    unchecked.content = bundle::record::Content::Whole(faulty.clone());
    let message = bundle::sign::Message::publish(3, unchecked.base, unchecked.digest);
    unchecked.signature = key("author").sign(&message);
    let unchecked = Record::Publish(unchecked).to_json();
    let forged = roll_out.replace("\"nonce\":7", "\"nonce\":8");
    let newer = roll_out.replace("\"layout\":1", "\"layout\":2");
    let unknown = roll_out.replace(&digest.to_string(), &"0".repeat(64));
    let large = "#".repeat(4 * 1024 * 1024 + 1);
    let cases = [
        ("/publish", 606, ""),
        ("/publish", 606, "{}"),
        ("/publish", 606, roll_out.as_str()),
        ("/publish", 607, unchecked.as_str()),
        ("/sign-off", 606, "\u{0}"),
        ("/roll-out", 606, newer.as_str()),
        ("/roll-out", 602, forged.as_str()),
        ("/roll-out", 602, unknown.as_str()),
        ("/roll-out", 201, large.as_str()),
        ("/diff", 607, faulty.as_str()),
        ("/diff", 607, "name = 1"),
        ("/diff?a=b", 605, ""),
    ];
    for (path, code, body) in cases {
        let reply = send(&instance, &Request::post("author", path, body)).await;
        expect_that!(reply.code(), eq(code), "{path} {}", reply.body);
        let kind = format!("urn:limpetstep:code:{code}");
        expect_that!(reply.body["type"], eq(&json!(kind)));
        expect_that!(reply.detail(), not(eq("")));
    }
    for query in [
        "from=-1",
        "from",
        "limit=0",
        "limit=1001",
        "limit=2;",
        "page=2",
    ] {
        let request = Request::get("author", &format!("/audit?{query}"));
        expect_that!(send(&instance, &request).await.code(), eq(605), "{query}");
    }
    let check = send(&instance, &Request::post("viewer", "/check", &faulty)).await;
    expect_that!(check.body["faults"].as_array().unwrap(), not(is_empty()));
    expect_that!(instance.log.appends.get(), eq(0));
}

#[gtest]
#[actix_web::test]
async fn the_loser_of_a_race_learns_the_winner() {
    let instance = Instance::with_bundle().await;
    let (first, second) = (
        open_proposal(&instance, 2).await,
        open_proposal(&instance, 3).await,
    );
    let winning = roll_out(&instance, first, "steward", 1).await;
    let losing = roll_out(&instance, second, "author", 2).await;
    // The other operator's record is appended between this one's read and append.
    *instance.log.overtaking.borrow_mut() = Some(winning.to_json());
    let lost = post_record(&instance, "author", "/roll-out", &losing).await;
    expect_that!(lost.code(), eq(609));
    expect_that!(
        lost.detail(),
        contains_substring("steward won with version 2")
    );
    // Once the result is in the log, nothing is appended.
    let appends = instance.log.appends.get();
    expect_that!(
        post_record(&instance, "author", "/roll-out", &losing)
            .await
            .code(),
        eq(609)
    );
    expect_that!(instance.log.appends.get(), eq(appends));
    let trail = send(&instance, &Request::get("viewer", "/audit?from=7")).await;
    let outcomes: Vec<_> = trail.body["entries"]
        .as_array()
        .unwrap()
        .iter()
        .map(|entry| entry["outcome"].clone())
        .collect();
    expect_that!(outcomes, eq(&[json!("accepted"), json!("refused")]));
}

#[gtest]
#[actix_web::test]
async fn a_repeated_record_is_not_appended() {
    let instance = Instance::with_bundle().await;
    let record = proposal(&instance, &with_viewer(2)).await;
    for repeated in [false, true] {
        let done = post_record(&instance, "author", "/publish", &record).await;
        expect_that!(done.body["repeated"], eq(&json!(repeated)));
    }
    expect_that!(instance.log.appends.get(), eq(1));
}

#[gtest]
#[actix_web::test]
async fn an_outage_and_a_lost_answer_have_different_codes() {
    for (failure, status, code, outcome) in [
        (Failure::AnswerLost, 200, 0, ""),
        (Failure::Late, 200, 0, ""),
        (Failure::Lost, 504, 612, "unknown"),
        (Failure::Refused, 503, 610, "not_run"),
    ] {
        let instance = Instance::with_bundle().await;
        let record = proposal(&instance, &with_viewer(2)).await;
        instance.log.failure.set(failure);
        let reply = post_record(&instance, "author", "/publish", &record).await;
        expect_that!(
            (reply.status, reply.code()),
            eq((status, code)),
            "{failure:?}"
        );
        if code > 0 {
            expect_that!(reply.body["outcome"], eq(&json!(outcome)));
            expect_that!(reply.retry_after, eq(true));
        }
        expect_that!(instance.log.appends.get(), eq(1));
        // The same record sent again is appended once.
        let again = post_record(&instance, "author", "/publish", &record).await;
        expect_that!(again.status, eq(200));
        let records = instance.log.records.borrow();
        let kept = records.iter().skip(3).map(|text| Note::parse(text));
        expect_that!(kept.count(), eq(1));
    }
}

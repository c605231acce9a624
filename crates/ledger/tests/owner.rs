//! The owner of one partition, with a log that loses answers.

use core::time::Duration;

use base::{Code, Digest, Incarnation, Key, Stamp, Tick};
use googletest::prelude::*;
use ledger::{
    Now, configs,
    owner::{Action, Event, Owner, Token, Verdict},
    partition,
    projection::State,
    record::{self, Answer, Record},
    slot::{Nonce, Slot},
};

const ISSUED: Stamp = Stamp::from_millis(1_000_000_000);
const WINDOW: Duration = Duration::from_millis(150);

fn after(span: Duration) -> Now {
    Now {
        tick: Tick::from_millis(1) + span,
        wall: ISSUED + span,
    }
}

fn now() -> Now {
    after(Duration::ZERO)
}

fn slot(index: u128) -> Slot {
    let keys = (index * 1_000..).map(|random| Key::from_parts(ISSUED, random));
    let mut slots = keys.map(|key| Slot::new("compas", &key, "entries-api"));
    slots.find(|slot| partition::for_slot(slot) == 3).unwrap()
}

fn holder() -> Incarnation {
    Incarnation::new("entry-1", ISSUED)
}

fn body() -> Digest {
    Digest::of(b"registration")
}

fn claim(at: u128, nonce: u128) -> Record {
    Record::Claim {
        slot: slot(at),
        nonce: Nonce::from_random(nonce),
        holder: holder(),
        body: body(),
    }
}

fn done(at: u128, nonce: u128) -> Record {
    Record::Done {
        slot: slot(at),
        nonce: Nonce::from_random(nonce),
        answer: Answer::from_code(Code::Answered),
    }
}

fn released(at: u128, nonce: u128) -> Record {
    Record::Released {
        slot: slot(at),
        nonce: Nonce::from_random(nonce),
    }
}

fn page(from: u64, end: u64, batches: &[&[Record]]) -> Event {
    let records = batches.iter().enumerate();
    Event::Page {
        first: 0,
        end,
        records: records
            .map(|(at, batch)| (from + at as u64, record::encode(batch)))
            .collect(),
    }
}

fn submit(token: Token, record: Record) -> Event {
    Event::Submit { token, record }
}

fn lookup(token: Token, at: u128) -> Event {
    let slot = slot(at);
    Event::Lookup { token, slot }
}

fn reply(token: Token, verdict: Verdict) -> Action {
    Action::Reply { token, verdict }
}

fn append(batch: &[Record]) -> Action {
    let stream = "ledger-03".to_owned();
    let body = record::encode(batch);
    Action::Append { stream, body }
}

fn read(from: u64) -> Action {
    let stream = "ledger-03".to_owned();
    Action::Read { stream, from }
}

fn unavailable(may_have_landed: bool) -> Verdict {
    Verdict::Unavailable { may_have_landed }
}

/// Returns an owner that has read an empty log.
fn ready_owner() -> Owner {
    let mut owner = Owner::new(configs::Owner::default(), 3, None);
    assert_that!(
        owner.handle(now(), Event::Tick),
        elements_are![eq(&read(0))]
    );
    assert_that!(owner.handle(now(), page(0, 0, &[])), is_empty());
    owner
}

/// Returns an owner whose append of one claim is in flight.
fn owner_with_append_in_flight() -> Owner {
    let mut owner = ready_owner();
    let actions = owner.handle(now(), submit(1, claim(1, 1)));
    assert_that!(actions, elements_are![eq(&append(&[claim(1, 1)]))]);
    owner
}

#[gtest]
fn submissions_within_a_window_share_an_append_and_need_no_read() {
    let mut owner = owner_with_append_in_flight();
    let won = owner.handle(now(), Event::Appended { offset: 0 });
    expect_that!(won, elements_are![eq(&reply(1, Verdict::Won))]);
    expect_that!(owner.handle(now(), submit(2, claim(2, 2))), is_empty());
    expect_that!(owner.next_wakeup(), some(eq(after(WINDOW).tick)));
    owner.handle(now(), submit(3, claim(2, 3)));
    owner.handle(now(), submit(4, claim(3, 4)));
    expect_that!(
        owner.handle(after(WINDOW), Event::Tick),
        elements_are![eq(&append(&[claim(2, 2), claim(2, 3), claim(3, 4)]))]
    );
    let state = State::InProgress {
        holder: holder(),
        body: body(),
    };
    expect_that!(
        owner.handle(after(WINDOW), Event::Appended { offset: 1 }),
        elements_are![
            eq(&reply(2, Verdict::Won)),
            eq(&reply(3, Verdict::Lost(state))),
            eq(&reply(4, Verdict::Won))
        ]
    );
    expect_that!(owner.stats().appends, eq(2));
    expect_that!(owner.stats().reads, eq(1));
}

#[gtest]
fn a_full_batch_does_not_wait_for_the_window() {
    let mut owner = owner_with_append_in_flight();
    owner.handle(now(), Event::Appended { offset: 0 });
    let records = configs::Owner::default().max_batch_records as u64;
    for token in 2..=records {
        let actions = owner.handle(now(), submit(token, released(2, token.into())));
        expect_that!(actions, is_empty());
    }
    let full = owner.handle(now(), submit(records + 1, released(2, 1)));
    expect_that!(full, elements_are![matches_pattern!(Action::Append { .. })]);
}

#[gtest]
fn a_claim_after_another_owners_append_is_decided_after_a_read() {
    let mut owner = owner_with_append_in_flight();
    expect_that!(
        owner.handle(now(), Event::Appended { offset: 1 }),
        elements_are![eq(&read(0))]
    );
    let batches: [&[Record]; 2] = [&[claim(1, 9)], &[claim(1, 1)]];
    let replies = owner.handle(now(), page(0, 2, &batches));
    expect_that!(
        replies,
        elements_are![matches_pattern!(Action::Reply {
            token: eq(&1),
            verdict: matches_pattern!(Verdict::Lost(_))
        })]
    );
}

#[gtest]
fn an_unanswered_append_is_found_in_the_log_and_not_appended_again() {
    let mut owner = owner_with_append_in_flight();
    expect_that!(
        owner.handle(now(), Event::AppendUnanswered),
        elements_are![eq(&read(0))]
    );
    expect_that!(
        owner.handle(now(), page(0, 1, &[&[claim(1, 1)]])),
        elements_are![eq(&reply(1, Verdict::Won))]
    );
    expect_that!(owner.stats().appends, eq(1));
}

#[gtest]
fn an_unanswered_append_that_is_not_in_the_log_is_appended_again() {
    let mut owner = owner_with_append_in_flight();
    owner.handle(now(), Event::AppendUnanswered);
    expect_that!(owner.handle(now(), page(0, 0, &[])), is_empty());
    let later = after(Duration::from_millis(200));
    expect_that!(
        owner.handle(later, Event::Tick),
        elements_are![eq(&append(&[claim(1, 1)]))]
    );
    // The first append takes effect after all, before the second.
    expect_that!(
        owner.handle(later, Event::Appended { offset: 1 }),
        elements_are![eq(&read(0))]
    );
    let batch: &[Record] = &[claim(1, 1)];
    expect_that!(
        owner.handle(later, page(0, 2, &[batch, batch])),
        elements_are![eq(&reply(1, Verdict::Won))]
    );
}

#[gtest]
fn an_unanswered_append_may_have_landed_at_the_timeout() {
    let late = after(Duration::from_secs(2));
    let mut owner = owner_with_append_in_flight();
    owner.handle(now(), Event::AppendUnanswered);
    expect_that!(
        owner.handle(late, Event::ReadFailed),
        elements_are![eq(&reply(1, unavailable(true)))]
    );
    let mut owner = owner_with_append_in_flight();
    owner.handle(now(), Event::AppendRefused);
    expect_that!(
        owner.handle(late, Event::Tick),
        elements_are![eq(&reply(1, unavailable(false)))]
    );
}

#[gtest]
fn a_claim_is_not_lost_while_it_may_land_after_a_release() {
    let mut owner = owner_with_append_in_flight();
    owner.handle(now(), Event::AppendUnanswered);
    expect_that!(
        owner.handle(now(), page(0, 1, &[&[claim(1, 9)]])),
        is_empty()
    );
    let later = after(Duration::from_millis(200));
    expect_that!(
        owner.handle(later, Event::Tick),
        elements_are![eq(&append(&[claim(1, 1)]))]
    );
}

#[gtest]
fn a_claim_of_a_finished_call_needs_no_append() {
    let mut owner = owner_with_append_in_flight();
    owner.handle(now(), Event::Appended { offset: 0 });
    owner.handle(now(), submit(2, done(1, 1)));
    owner.handle(after(WINDOW), Event::Tick);
    expect_that!(
        owner.handle(now(), Event::Appended { offset: 1 }),
        elements_are![eq(&reply(2, Verdict::Recorded))]
    );
    expect_that!(
        owner.handle(now(), submit(3, claim(1, 2))),
        elements_are![eq(&read(2))]
    );
    let state = State::Done {
        answer: Answer::from_code(Code::Answered),
        body: body(),
    };
    expect_that!(
        owner.handle(now(), page(2, 2, &[])),
        elements_are![eq(&reply(3, Verdict::Lost(state)))]
    );
    expect_that!(owner.stats().appends, eq(2));
}

#[gtest]
fn a_lookup_is_answered_from_a_read_that_began_after_it() {
    let mut owner = ready_owner();
    expect_that!(
        owner.handle(now(), lookup(1, 1)),
        elements_are![eq(&read(0))]
    );
    // The second arrives while that read is in flight, and needs another.
    owner.handle(now(), lookup(2, 1));
    expect_that!(
        owner.handle(now(), page(0, 0, &[])),
        elements_are![eq(&reply(1, Verdict::Found(State::Free))), eq(&read(0))]
    );
    let state = State::InProgress {
        holder: holder(),
        body: body(),
    };
    expect_that!(
        owner.handle(now(), page(0, 1, &[&[claim(1, 1)]])),
        elements_are![eq(&reply(2, Verdict::Found(state)))]
    );
}

#[gtest]
fn a_lookup_is_answered_only_after_its_read_reaches_the_end() {
    let mut owner = ready_owner();
    owner.handle(now(), lookup(1, 1));
    expect_that!(
        owner.handle(now(), page(0, 2, &[&[claim(1, 1)]])),
        elements_are![eq(&read(1))]
    );
    let replies = owner.handle(now(), page(1, 3, &[&[released(1, 1)]]));
    expect_that!(
        replies,
        elements_are![eq(&reply(1, Verdict::Found(State::Free)))]
    );
}

#[gtest]
fn a_log_behind_the_position_answers_nothing() {
    let mut owner = owner_with_append_in_flight();
    owner.handle(now(), Event::Appended { offset: 0 });
    owner.handle(now(), lookup(2, 1));
    expect_that!(owner.handle(now(), page(0, 0, &[])), is_empty());
    let late = after(Duration::from_secs(3));
    expect_that!(
        owner.handle(late, Event::Tick),
        contains(eq(&reply(2, unavailable(false))))
    );
}

#[gtest]
fn slots_with_missed_records_are_unavailable() {
    let mut owner = ready_owner();
    owner.handle(now(), lookup(1, 1));
    let records = Vec::new();
    let gap = Event::Page {
        first: 7,
        end: 7,
        records,
    };
    expect_that!(
        owner.handle(now(), gap),
        elements_are![eq(&reply(1, unavailable(false)))]
    );
    expect_that!(
        owner.handle(now(), submit(2, claim(1, 2))),
        elements_are![eq(&reply(2, unavailable(false)))]
    );
}

#[gtest]
fn a_snapshot_older_than_the_log_is_discarded() {
    let mut owner = owner_with_append_in_flight();
    owner.handle(now(), Event::Appended { offset: 0 });
    let mut other = Owner::new(configs::Owner::default(), 3, owner.snapshot());
    expect_that!(
        other.handle(now(), Event::Tick),
        elements_are![eq(&read(1))]
    );
    let records = vec![(5, record::encode(&[claim(2, 2)]))];
    let first = 5;
    let end = 6;
    other.handle(
        now(),
        Event::Page {
            first,
            end,
            records,
        },
    );
    expect_that!(other.projection().state(&slot(1)), eq(&State::Free));
    expect_false!(other.projection().has_gap(&slot(1)));
    expect_that!(other.projection().position(), some(eq(6)));
}

#[gtest]
fn an_outage_refuses_all_claims_but_one_probe() {
    let mut owner = owner_with_append_in_flight();
    owner.handle(now(), Event::AppendRefused);
    let later = after(Duration::from_millis(1_500));
    expect_that!(
        owner.handle(later, submit(2, claim(2, 2))),
        contains(eq(&reply(2, unavailable(false))))
    );
    expect_that!(owner.handle(later, submit(3, done(2, 2))), is_empty());
    owner.handle(after(Duration::from_secs(4)), Event::AppendRefused);
    let probe = owner.handle(after(Duration::from_secs(5)), submit(4, claim(2, 2)));
    expect_that!(probe, elements_are![eq(&append(&[claim(2, 2)]))]);
}

#[gtest]
fn slots_of_another_partition_are_refused() {
    let mut owner = Owner::new(configs::Owner::default(), 4, None);
    expect_that!(
        owner.handle(now(), submit(1, claim(1, 1))),
        contains(eq(&reply(1, unavailable(false))))
    );
}

//! A report over condensed parts equals the report over the whole books.

use core::time::Duration;

use base::{Code, Incarnation, Name, Stamp};
use burn::{
    Book, Config, Event, Report,
    bucket::OTHERS,
    event::{Called, Objective, Objectives},
    part::{Part, Parts},
};
use googletest::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};

const MINUTE: Duration = Duration::from_secs(60);
const INSTANCES: u64 = 6;
const CODES: [Code; 5] = [
    Code::Answered,
    Code::Answered,
    Code::Overloaded,
    Code::AccountLimited,
    Code::StageUnavailable,
];

/// A book of some hours; what it holds differs by instance, and so does the bundle it knows.
fn book(instance: u64, accounts: u64, minutes: u64) -> (Book, Stamp) {
    let mut now = Stamp::from_millis(600_000);
    let mut book = Book::open(Incarnation::new(format!("entry-{instance}").as_str(), now));
    let objective = |at: u64| Objective {
        pipeline: format!("pipeline-{at:02}").into(),
        share: 0.99 - 0.01 * instance as f64,
    };
    let objectives = Objectives {
        version: instance + 1,
        pipelines: (0..11).map(objective).collect(),
    };
    book.on(now, &Event::InForce(objectives));
    for minute in 0..minutes {
        now = now + MINUTE;
        for at in 0..36 {
            let at = minute * 36 + at * (instance + 3);
            let pipeline = Name::from(format!("pipeline-{:02}", at % 11));
            let account = Name::from(format!("account-{}", at % accounts));
            let (code, in_time) = (CODES[at as usize % 5], !at.is_multiple_of(7));
            let stage = Name::from(format!("stage-{}", at % 4));
            let told = (code != Code::Answered).then(|| stage.clone());
            let ended = Event::ended(pipeline.clone(), account, code, in_time, told);
            book.on(now, &ended.expect("an end that counts"));
            let called = Called {
                pipeline,
                stage,
                busy: Duration::from_millis(at % 500),
                cost_per_second: 2.0,
                repeat: at.is_multiple_of(9),
                wasted: at.is_multiple_of(19),
            };
            book.on(now, &Event::Called(called));
        }
    }
    (book, now)
}

fn books() -> (Vec<Book>, Stamp) {
    let books: Vec<_> = (0..INSTANCES).map(|at| book(at, 40, 150)).collect();
    let now = books[0].1;
    (books.into_iter().map(|(book, _)| book).collect(), now)
}

fn sum(parts: impl IntoIterator<Item = Part>) -> Part {
    let mut all = Parts::default();
    parts.into_iter().for_each(|part| all.take(part));
    all.sum("accra-1".into(), &Config::default())
}

fn merged(books: &[Book], now: Stamp) -> Report {
    let mut all = Book::open(Incarnation::new("report", now));
    books.iter().for_each(|book| all.merge(book));
    all.report(now)
}

#[gtest]
fn the_report_over_parts_is_that_over_books() {
    let (books, now) = books();
    let parts = books.iter().map(|book| book.part(now));
    let report = sum(parts).report(&Config::default());
    expect_that!(report.accounts.len(), gt(100));
    expect_that!(report, eq(&merged(&books, now)));
}

#[gtest]
fn sums_of_failure_domains_add_up_to_the_same_report() {
    let (books, now) = books();
    let domain = |name: &str, books: &[Book]| {
        let mut parts = Parts::default();
        books.iter().for_each(|book| parts.take(book.part(now)));
        parts.sum(name.into(), &Config::default())
    };
    let told = [
        domain("accra-1", &books[..2]),
        domain("accra-2", &books[2..]),
    ];
    // Through JSON, as it is served.
    let told = told.map(|part| {
        let text = serde_json::to_string(&part).expect("a part as JSON");
        serde_json::from_str::<Part>(&text).expect("a part")
    });
    expect_that!(
        sum(told).report(&Config::default()),
        eq(&merged(&books, now))
    );
}

#[gtest]
fn a_book_that_took_in_others_tells_only_its_own() {
    let (mut books, now) = books();
    let other = books[1].clone();
    books[0].merge(&other);
    let report = sum(books.iter().map(|book| book.part(now))).report(&Config::default());
    expect_that!(report, eq(&merged(&books, now)));
}

#[gtest]
fn of_two_parts_of_one_instance_the_later_one_counts() {
    let (mut book, now) = book(0, 3, 5);
    let before = book.part(now);
    let ended = Event::ended("pipeline-00".into(), "a".into(), Code::Answered, true, None);
    book.on(now, &ended.expect("an end that counts"));
    let after = book.part(now);
    expect_that!(
        sum([before.clone(), after.clone()]),
        eq(&sum([after.clone()]))
    );
    expect_that!(sum([after.clone(), before]), eq(&sum([after])));
}

#[gtest]
fn small_accounts_are_folded_and_none_is_lost() {
    let (book, now) = book(1, 400, 150);
    let config = Config {
        part_accounts: 10,
        ..Config::default()
    };
    let mut parts = Parts::default();
    parts.take(book.part(now));
    let part = parts.sum("accra-1".into(), &config);
    let mut names: Vec<&str> = part
        .accounts
        .iter()
        .map(|one| one.account.as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    expect_that!(names.len(), eq(11));
    expect_that!(names[0], eq(OTHERS));
    let all: u64 = part.accounts.iter().map(|one| one.budget.0).sum();
    let lines: u64 = part.pipelines.iter().map(|line| line.budget.0).sum();
    expect_that!(all, eq(lines));
}

/// Bytes of a part, for a small and a large number of client accounts, and beside its book.
#[gtest]
fn a_part_is_a_small_share_of_its_book() {
    let bytes = |value: String| value.len();
    for accounts in [32, 128, 512] {
        let (book, now) = book(1, accounts, 180);
        let part = bytes(serde_json::to_string(&book.part(now)).expect("JSON"));
        let whole = bytes(serde_json::to_string(&book).expect("JSON"));
        println!("{accounts} accounts: a part of {part} B, a book of {whole} B");
        expect_that!(part * 4, lt(whole), "{accounts} accounts");
    }
    for count in [1, 2, 8, 32] {
        let books: Vec<Book> = (0..count).map(|at| book(at, 128, 180).0).collect();
        let now = book(0, 1, 180).1;
        let domain = sum(books.iter().map(|book| book.part(now)));
        let size = bytes(serde_json::to_string(&domain).expect("JSON"));
        println!("{count} instances: a domain's sum of {size} B");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Parts come in any order and more than once.
    #[test]
    fn neither_order_nor_repeats_matter(
        order in prop::collection::vec(0..INSTANCES as usize, 0..20),
    ) {
        let parts: Vec<Part> = (0..INSTANCES)
            .map(|at| { let (book, now) = book(at, 10, 4); book.part(now) })
            .collect();
        let whole = sum(parts.clone());
        let mixed = order.iter().map(|at| parts[*at].clone()).chain(parts.iter().rev().cloned());
        prop_assert_eq!(sum(mixed), whole);
    }
}

//! Evacuations under news that is late, restored copies of the store, and records that are deleted and written again.

use core::{net::SocketAddr, time::Duration};

use base::{Name, Stamp, Tick};
use googletest::prelude::*;
use mesh::Position;
use site::{
    Evacuations, Roster,
    evacuation::{Change, Evacuation, News},
    roster::Server,
};

const GRACE: Duration = Duration::from_millis(3_600);
const NOW: Tick = Tick::from_millis(10_000);

fn at(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

fn names(domains: &[&str]) -> Vec<Name> {
    domains.iter().map(|domain| (*domain).into()).collect()
}

/// Records a read of the store, whose time of day is its offset in seconds.
fn read(
    evacuations: &mut Evacuations,
    now: Tick,
    position: Position,
    listed: &[&str],
    deleted: &[&str],
) -> Vec<Change> {
    let clock = Stamp::from_millis(position.offset * 1_000);
    let (listed, deleted) = (names(listed), names(deleted));
    evacuations.record_read(now, clock, GRACE, position, &listed, &deleted)
}

fn news(position: Position, listed: &[&str], held: &[(&str, Tick)]) -> News {
    let evacuation = |domain: &str, until| Evacuation {
        domain: domain.into(),
        since: Stamp::from_millis(1),
        until,
    };
    let listed = listed.iter().map(|domain| evacuation(domain, None));
    let held = held
        .iter()
        .map(|(domain, until)| evacuation(domain, Some(*until)));
    News {
        position,
        evacuations: listed.chain(held).collect(),
    }
}

fn in_force(evacuations: &Evacuations, now: Tick) -> Vec<&str> {
    let evacuations = evacuations.in_force(now);
    evacuations.map(|one| one.domain.as_str()).collect()
}

/// Guards against a revoked evacuation that returns, or one that ends, because of news that overtook each other.
#[gtest]
fn the_newest_position_holds_in_whatever_order_news_arrive() {
    let mut orders = vec![vec![]];
    for next in 0..4 {
        let insert = |order: &Vec<usize>| {
            let places = 0..=order.len();
            let order = order.clone();
            places
                .map(move |place| {
                    let mut order = order.clone();
                    order.insert(place, next);
                    order
                })
                .collect::<Vec<_>>()
        };
        orders = orders.iter().flat_map(insert).collect();
    }
    let states: [(Position, &[&str]); 4] = [
        (at(1, 4), &["a"]),
        (at(1, 9), &["a", "b"]),
        (at(1, 12), &["b"]),
        (at(1, 13), &["b", "c"]),
    ];
    expect_that!(orders.len(), eq(24));
    for order in orders {
        let mut evacuations = Evacuations::default();
        for index in &order {
            let (position, listed) = states[*index];
            evacuations.record_news(NOW, GRACE, news(position, listed, &[]));
        }
        expect_that!(
            in_force(&evacuations, NOW),
            eq(&vec!["b", "c"]),
            "{order:?}"
        );
        expect_that!(evacuations.position(), some(eq(at(1, 13))), "{order:?}");
    }
}

#[gtest]
fn a_record_that_is_deleted_and_written_again_keeps_the_domain_evacuated() {
    let mut evacuations = Evacuations::default();
    let begun = read(&mut evacuations, NOW, at(1, 3), &["a"], &[]);
    expect_that!(begun, eq(&vec![Change::Evacuated("a".into())]));
    // Both records come with one read.
    expect_that!(
        read(&mut evacuations, NOW, at(1, 5), &["a"], &[]),
        is_empty()
    );
    let since = evacuations.in_force(NOW).next().unwrap().since;
    expect_that!(since, eq(Stamp::from_millis(3_000)));
    // Each comes with a read of its own.
    let revoked = read(&mut evacuations, NOW, at(1, 6), &[], &["a"]);
    expect_that!(revoked, eq(&vec![Change::Revoked("a".into())]));
    let begun = read(&mut evacuations, NOW, at(1, 7), &["a"], &[]);
    expect_that!(begun, eq(&vec![Change::Evacuated("a".into())]));
}

/// Guards against a domain that gets work again because the store was restored from a copy before its evacuation.
#[gtest]
fn an_evacuation_that_a_restored_store_lacks_is_held_until_the_copy_is_confirmed() {
    let mut evacuations = Evacuations::default();
    read(&mut evacuations, NOW, at(1, 30), &["a", "b", "c"], &[]);
    expect_that!(
        read(&mut evacuations, NOW, at(2, 9), &["b"], &[]),
        is_empty()
    );
    // The writer of `a` writes again, and `c` is revoked meanwhile.
    let later = NOW + GRACE / 2;
    expect_that!(
        read(&mut evacuations, later, at(2, 10), &["a", "b"], &[]),
        is_empty()
    );
    let revoked = read(&mut evacuations, later, at(2, 11), &["a", "b"], &["c"]);
    expect_that!(revoked, eq(&vec![Change::Revoked("c".into())]));
    let end = NOW + GRACE;
    expect_that!(evacuations.sweep(end), is_empty());
    expect_that!(in_force(&evacuations, end), eq(&vec!["a", "b"]));
}

#[gtest]
fn an_evacuation_that_is_not_written_again_ends_with_the_grace_period() {
    let mut evacuations = Evacuations::default();
    read(&mut evacuations, NOW, at(1, 30), &["a"], &[]);
    read(&mut evacuations, NOW, at(2, 9), &[], &[]);
    let end = NOW + GRACE;
    expect_that!(
        in_force(&evacuations, Tick::from_micros(end.as_micros() - 1)),
        eq(&vec!["a"])
    );
    expect_that!(
        evacuations.sweep(end),
        eq(&vec![Change::Revoked("a".into())])
    );
    // A slower instance still holds it.
    let slow = news(at(2, 9), &[], &[("a", end + GRACE)]);
    expect_that!(evacuations.record_news(end, GRACE, slow), is_empty());
    expect_that!(in_force(&evacuations, end), is_empty());
}

/// Guards against an instance that starts while others hold an evacuation which the restored store lacks.
#[gtest]
fn an_instance_that_starts_after_a_restore_holds_what_the_others_hold() {
    let mut old = Evacuations::default();
    read(&mut old, NOW, at(1, 30), &["a"], &[]);
    read(&mut old, NOW, at(2, 9), &[], &[]);
    let later = NOW + GRACE / 2;
    for is_store_first in [true, false] {
        let mut new = Evacuations::default();
        if is_store_first {
            read(&mut new, later, at(2, 9), &[], &[]);
        }
        new.record_news(later, GRACE, old.news(later).unwrap());
        read(&mut new, later, at(2, 9), &[], &[]);
        expect_that!(in_force(&new, later), eq(&vec!["a"]));
        expect_that!(in_force(&new, NOW + GRACE), is_empty());
    }
    // An instance that is behind by an era knows of nothing newer.
    let before = news(at(1, 40), &["z"], &[]);
    expect_that!(old.record_news(later, GRACE, before), is_empty());
}

/// Guards against servers that are picked although their domain is evacuated, and against others that are not.
#[gtest]
fn servers_of_evacuated_domains_are_not_usable() {
    let address = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    let server = |id: &str, domain: &str, port| Server {
        id: id.into(),
        pool: "ledger".into(),
        address: address(port),
        domain: domain.into(),
        slots: 6,
        leaving: false,
        started_at_ms: 0,
        version: None,
    };
    let pool = Name::from("ledger");
    let mut roster = Roster::default();
    roster.insert(server("i-1", "a", 1), 1);
    roster.insert(server("i-2", "b", 2), 1);
    let count = |roster: &Roster| roster.usable(NOW, &pool).count();
    // A domain that no server belongs to changes nothing.
    read(&mut roster.evacuations, NOW, at(1, 1), &["unknown"], &[]);
    expect_that!(count(&roster), eq(2));
    read(
        &mut roster.evacuations,
        NOW,
        at(1, 2),
        &["a", "unknown"],
        &[],
    );
    expect_that!(count(&roster), eq(1));
    expect_that!(roster.is_evacuated(NOW, &pool), eq(false));
    expect_that!(roster.is_evacuated_address(NOW, address(1)), eq(true));
    expect_that!(roster.is_evacuated_address(NOW, address(2)), eq(false));
    read(&mut roster.evacuations, NOW, at(1, 3), &["a", "b"], &[]);
    expect_that!(count(&roster), eq(0));
    expect_that!(roster.is_evacuated(NOW, &pool), eq(true));
    expect_that!(roster.is_evacuated(NOW, &"other".into()), eq(false));
}

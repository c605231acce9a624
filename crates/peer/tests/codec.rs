//! Round trips of summaries through their encoding.

use std::time::Duration;

use base::{Digest, Incarnation, Stamp};
use googletest::prelude::*;
use member::{
    Fact, Summary,
    event::{Listing, Role},
    fact::{
        Burn, Count, Demand, Domain, Id, Instance, Load, Pool, Position, Server, Stage, Stages,
        State, Suspect, Tally,
    },
    summary::{Body, Delta, Row},
};
use peer::codec;
use wire::Message as _;

const NOW: u64 = 17_000_000_000;

fn incarnation(name: &str) -> Incarnation {
    Incarnation::new(name, Stamp::from_millis(1_700_000_000_123))
}

fn load() -> Load {
    Load {
        running: 7,
        waiting: 2,
        memory: 430,
        age: Duration::from_millis(250),
    }
}

fn facts() -> Vec<Fact> {
    let instance = Instance {
        incarnation: incarnation("entry-1"),
        domain: "accra-1".into(),
        address: "10.0.0.1:7001".into(),
        state: State::Leaving,
    };
    let server = Server {
        incarnation: incarnation("runner-1"),
        domain: "accra-1".into(),
        address: "10.0.1.1:9000".into(),
        pool: "brief-writer".into(),
        state: State::Live,
        load: Some(load()),
    };
    let pool = Pool {
        name: "brief-writer".into(),
        live: 5,
        leaving: 1,
        running: 40,
        waiting: 3,
    };
    let position = Position {
        offset: 44,
        digest: Digest::of(b"bundle"),
    };
    let burn = Burn {
        pipeline: "brief".into(),
        allowed: 10_000,
        short: Count {
            good: 1,
            late: 2,
            refused: 3,
        },
        long: Count {
            good: 4,
            late: 5,
            refused: 6,
        },
    };
    let stages = Stages {
        pipeline: "brief".into(),
        stages: vec![Stage {
            name: "write".into(),
            busy: 7,
            cost: 8,
        }],
    };
    let tally = Tally {
        domain: "accra-2".into(),
        version: NOW,
        burns: vec![burn.clone()],
        stages: vec![stages.clone()],
        unheard: 1,
    };
    let domain = Domain {
        name: "accra-2".into(),
        version: NOW,
        pools: vec![pool],
        instances: vec![instance.clone()],
        count: 4,
        leaving: 2,
        unheard: 1,
        positions: vec![position],
    };
    let demand = Demand {
        account: "adinkra".into(),
        asked: 12,
        admitted: 10,
    };
    let suspect = Suspect {
        digest: Digest::of(b"body"),
        crashed: vec![Id(5), Id(6)],
        cleared: 1,
    };
    vec![
        Fact::Burn(burn),
        Fact::Tally(tally),
        Fact::Demand(demand),
        Fact::Domain(domain),
        Fact::Instance(instance),
        Fact::Listed(listing("limpet-pool")),
        Fact::Listed(Listing {
            role: Role::Entry,
            ..listing("")
        }),
        Fact::Position(position),
        Fact::Reading(7),
        Fact::Server(server),
        Fact::Stages(stages),
        Fact::Suspect(suspect),
    ]
}

fn listing(pool: &str) -> Listing {
    Listing {
        incarnation: incarnation("runner-3"),
        domain: "accra-2".into(),
        address: "127.0.0.1:7003".into(),
        role: Role::Backend(pool.into()),
        state: State::Leaving,
    }
}

fn round_trip(summary: &Summary) -> std::result::Result<Summary, peer::Error> {
    let bytes = codec::encode(summary).encode_to_vec();
    codec::decode(wire::Summary::decode(bytes.as_slice()).expect("a decodable message"))
}

#[gtest]
fn every_fact_and_body_is_unchanged_by_a_round_trip() {
    let mut bodies: Vec<Body> = facts().into_iter().map(Body::Whole).collect();
    bodies.extend([Body::Load(load()), Body::Withdrawn]);
    let row = |(slot, body)| Row {
        slot,
        version: NOW - u64::from(slot),
        body,
    };
    let summary = Summary {
        sender: Id(3),
        origins_digest: 9,
        versions: vec![NOW, 0, NOW - 12],
        origins: vec![Id(1), Id(3), Id(8)],
        deltas: vec![Delta {
            origin: 2,
            rows: (0..).zip(bodies).map(row).collect(),
        }],
        leaving: vec![incarnation("runner-2")],
        facts: facts(),
    };
    expect_that!(round_trip(&summary), eq(&Ok(summary)));
}

/// Guards against a row with a lag out of range that was decoded with version 0 and therefore not forwarded.
#[gtest]
fn a_very_old_row_keeps_a_version() {
    let row = Row {
        slot: 0,
        version: 1,
        body: Body::Withdrawn,
    };
    let summary = Summary {
        versions: vec![NOW],
        deltas: vec![Delta {
            origin: 0,
            rows: vec![row],
        }],
        ..Summary::default()
    };
    let row = round_trip(&summary).expect("a summary").deltas[0].rows[0].clone();
    expect_that!(row.version, all![gt(0), lt(NOW)]);
}

#[gtest]
fn a_digest_of_a_wrong_length_is_rejected() {
    let suspect = wire::Suspect {
        digest: vec![1; 31],
        ..wire::Suspect::default()
    };
    expect_that!(codec::decode_suspect(suspect), err(anything()));
}

//! Requests share prompt parts, which engines cache, and wait behind the prompts of others.

use std::rc::Rc;

use base::{Name, Tick};
use googletest::prelude::*;
use pick::{
    Fleet,
    configs::Config,
    engine::{self, Affinity, Part, Prompt},
    fleet::Load,
    plain,
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use site::roster::Server;

const NO_AFFINITY: Affinity<'static> = Affinity {
    domain: None,
    penalty_ms: 0.0,
};

fn engines(count: u8) -> Vec<Rc<Server>> {
    let engine = |at: u8| {
        Rc::new(Server {
            id: format!("i-{at}").into(),
            pool: "engines".into(),
            address: format!("10.0.0.{at}:80").parse().unwrap(),
            domain: if at.is_multiple_of(2) { "a" } else { "b" }.into(),
            slots: 64,
            leaving: false,
            started_at_ms: 0,
            version: Some("v1".into()),
        })
    };
    (0..count).map(engine).collect()
}

/// Returns a prompt of a session with 6,300 shared tokens and 2,890 of its own.
fn prompt(session: u64, own: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        parts: vec![part(1, 2_520), part(session, 3_780), part(own, 2_890)],
        input_tokens: 9_190,
        max_output_tokens: 60,
    }
}

struct Choice {
    id: Name,
    tokens: u64,
    fetch_from: Option<core::net::SocketAddr>,
}

fn choose(fleet: &Fleet, seed: u64, prompt: &Prompt, affinity: Affinity<'_>) -> Choice {
    choose_among(&engines(18), fleet, seed, prompt, affinity)
}

fn choose_among(
    engines: &[Rc<Server>],
    fleet: &Fleet,
    seed: u64,
    prompt: &Prompt,
    affinity: Affinity<'_>,
) -> Choice {
    let servers: Vec<_> = engines.iter().collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cx = plain::Context {
        now: Tick::from_millis(1_000),
        domain: &"a".into(),
        tried: &[],
        rng: &mut rng,
    };
    let choice = engine::choose(fleet, &mut cx, prompt, affinity, &servers).unwrap();
    Choice {
        id: choice.server.id.clone(),
        tokens: choice.tokens,
        fetch_from: choice.fetch_from,
    }
}

#[gtest]
fn instances_select_the_same_engine_for_a_session_without_communication() {
    for session in 10..40 {
        let one = choose(&Fleet::default(), 1, &prompt(session, 100), NO_AFFINITY);
        let other = choose(&Fleet::default(), 2, &prompt(session, 101), NO_AFFINITY);
        expect_that!(one.id, eq(&other.id));
    }
}

#[gtest]
fn sessions_spread_over_the_engines() {
    let homes =
        (10..310).map(|session| choose(&Fleet::default(), 1, &prompt(session, 7), NO_AFFINITY).id);
    let mut homes: Vec<_> = homes.collect();
    homes.sort();
    homes.dedup();
    expect_that!(homes.len(), ge(17));
}

#[gtest]
fn a_session_leaves_a_home_engine_with_a_long_queue_and_fetches_from_it() {
    let now = Tick::from_millis(900);
    let mut fleet = Fleet::new(Config::default());
    let home = choose(&fleet, 1, &prompt(10, 100), NO_AFFINITY);
    fleet.record_cached_prompt(now, &home.id, &prompt(10, 100));
    fleet.record_start(now, &home.id, 40_000);
    let away = choose(&fleet, 1, &prompt(10, 101), NO_AFFINITY);
    expect_that!(away.id, not(eq(&home.id)));
    let address = engines(18)
        .iter()
        .find(|engine| engine.id == home.id)
        .unwrap()
        .address;
    expect_that!(away.fetch_from, some(eq(address)));
}

/// Prompt memory of an engine was fetched by an engine of another software version.
#[gtest]
fn prompt_memory_is_fetched_only_from_an_engine_of_the_same_version() {
    let now = Tick::from_millis(900);
    for version in [Some("v2"), None] {
        let mut fleet = Fleet::new(Config::default());
        let home = choose(&fleet, 1, &prompt(10, 100), NO_AFFINITY);
        fleet.record_start(now, &home.id, 40_000);
        let engines: Vec<_> = engines(18)
            .into_iter()
            .map(|engine| {
                let mut engine = Server::clone(&engine);
                if engine.id == home.id {
                    engine.version = version.map(Into::into);
                }
                Rc::new(engine)
            })
            .collect();
        // Neither as the home of the session's parts nor as an engine known to have cached them.
        for is_cached in [false, true] {
            if is_cached {
                fleet.record_cached_prompt(now, &home.id, &prompt(10, 100));
            }
            let away = choose_among(&engines, &fleet, 1, &prompt(10, 101), NO_AFFINITY);
            expect_that!(away.id, not(eq(&home.id)));
            expect_that!(away.fetch_from, none());
        }
    }
}

#[gtest]
fn load_reports_of_other_instances_count_until_they_expire() {
    let now = Tick::from_millis(900);
    let mut fleet = Fleet::new(Config::default());
    let home = choose(&fleet, 1, &prompt(10, 100), NO_AFFINITY);
    let load = Load {
        server: home.id.clone(),
        tokens: 40_000,
        running: 5,
    };
    fleet.record_peer_loads(now, &"b".into(), vec![load]);
    expect_that!(
        choose(&fleet, 1, &prompt(10, 101), NO_AFFINITY).id,
        not(eq(&home.id))
    );
    // A load report that is too old no longer counts.
    let mut fleet = Fleet::new(Config::default());
    let old = Tick::from_micros(0);
    let load = Load {
        server: home.id.clone(),
        tokens: 40_000,
        running: 5,
    };
    fleet.record_peer_loads(old, &"b".into(), vec![load]);
    expect_that!(
        choose(&fleet, 1, &prompt(10, 101), NO_AFFINITY).id,
        eq(&home.id)
    );
}

#[gtest]
fn cached_parts_are_not_read_again() {
    let now = Tick::from_millis(900);
    let mut fleet = Fleet::new(Config::default());
    let home = choose(&fleet, 1, &prompt(10, 100), NO_AFFINITY);
    fleet.record_cached_prompt(now, &home.id, &prompt(10, 100));
    let again = choose(&fleet, 1, &prompt(10, 101), NO_AFFINITY);
    expect_that!(again.tokens, eq(2_890));
    expect_that!(again.fetch_from, none());
    fleet.clear_cached(&home.id);
    expect_that!(fleet.cache_updates(now).count(), eq(2));
}

#[gtest]
fn large_results_attract_a_request_to_their_domain() {
    let domain = Name::from("b");
    let affinity = Affinity {
        domain: Some(&domain),
        penalty_ms: 1_000.0,
    };
    for session in 10..30 {
        let choice = choose(&Fleet::default(), 1, &prompt(session, 100), affinity);
        let engine = engines(18)
            .into_iter()
            .find(|engine| engine.id == choice.id)
            .unwrap();
        expect_that!(engine.domain, eq(&domain));
    }
}

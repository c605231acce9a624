//! Selection of the route and the account of a request.

use base::Name;
use googletest::prelude::*;
use site::{
    Config, Route,
    config::Account,
    route::{Kind, Stage},
};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        ..Route::default()
    }
}

fn route_name(config: &Config, host: &str, path: &str) -> Option<String> {
    let route = config.route(host, path)?;
    Some(route.name.to_string())
}

#[gtest]
fn a_path_matches_the_longest_prefix_of_its_host() {
    let routes = vec![
        route("a", "/x/"),
        route("a", "/x/y/"),
        route("b", "/x/y/z/"),
    ];
    let config = Config::new(1, routes, Vec::new(), None);
    for (host, path, expected) in [
        ("a", "/x/1", Some("a/x/")),
        ("a", "/x/y/1", Some("a/x/y/")),
        ("a", "/x/y", Some("a/x/")),
        ("a", "/x/y/z/1", Some("a/x/y/")),
        ("b", "/x/y/1", None),
        ("a", "/", None),
        ("a", "x", None),
    ] {
        let expected = expected.map(str::to_owned);
        expect_that!(
            route_name(&config, host, path),
            eq(&expected),
            "{host}{path}"
        );
    }
}

#[gtest]
fn a_key_identifies_its_account() {
    let account = Account {
        allowed_regions: Vec::new(),
        name: "press".into(),
        priority: Some(1),
    };
    let keys = vec![
        (Name::from("k2"), account.clone()),
        (Name::from("k1"), account.clone()),
    ];
    let config = Config::new(1, Vec::new(), Vec::new(), Some(keys));
    expect_that!(config.account("k1"), some(eq(&account)));
    expect_that!(config.account("k"), none());
    expect_that!(config.allows_anonymous(), eq(false));
}

#[gtest]
fn pools_are_selected_by_weight() {
    let route = Route {
        pools: vec![("a".into(), 90), ("b".into(), 10)],
        ..Route::default()
    };
    let draws = (0..100).map(|draw| f64::from(draw) / 100.0);
    let to_a = draws.filter(|draw| route.pool(*draw) == Some(&"a".into()));
    expect_that!(to_a.count(), eq(90));
}

#[gtest]
fn the_depth_of_a_stage_is_its_longest_chain_of_dependents() {
    let stage = |depends_on: &[usize]| Stage {
        depends_on: depends_on.to_vec(),
        ..Stage::default()
    };
    let route = Route {
        stages: vec![stage(&[]), stage(&[]), stage(&[1]), stage(&[2])],
        ..Route::default()
    };
    let depths: Vec<_> = (0..4).map(|at| route.depth_after(at)).collect();
    expect_that!(depths, eq(&vec![0, 2, 1, 0]));
    expect_that!(route.last_stages().collect::<Vec<_>>(), eq(&vec![0, 3]));
}

#[gtest]
fn only_requests_that_may_run_twice_are_repeatable() {
    for (kind, resumable, expected) in [
        (Kind::Idempotent, false, true),
        (Kind::AtMostOnce, true, false),
        (Kind::Streaming, false, false),
        (Kind::Streaming, true, true),
    ] {
        let route = Route {
            kind,
            resumable,
            ..Route::default()
        };
        expect_that!(route.is_repeatable(), eq(expected), "{kind:?}");
    }
}

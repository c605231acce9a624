//! Order of loads and evictions.

use base::{Incarnation, Name, Stamp};
use googletest::prelude::*;
use place::{
    order::Engine,
    plan::{self, Input, Model},
};

/// More loads than any of these plans needs, so that a plan that repeats itself ends.
const LIMIT: usize = 20;

fn engine(name: &str, models: &[&str]) -> Engine {
    Engine {
        server: Incarnation::new(name, Stamp::from_millis(5)),
        models: models.iter().map(|model| Name::from(*model)).collect(),
        memory: 10,
        is_fenced: false,
    }
}

fn model(name: &str, bytes: u64, demand: f64) -> Model {
    Model {
        name: name.into(),
        bytes,
        demand,
        engine_rate: 4.0,
    }
}

fn loads(models: &[Model], engines: &[Engine]) -> Vec<String> {
    let input = Input {
        models,
        engines,
        store_bandwidth: 2.0,
    };
    let loads = plan::loads(&input, LIMIT);
    let text = |load: plan::Load| {
        let names: Vec<&str> = load.models.iter().map(Name::as_str).collect();
        format!("{}: {}", load.server.name, names.join(" "))
    };
    loads.into_iter().map(text).collect()
}

#[gtest]
fn loads_are_sorted_by_gain_per_second() {
    let models = [model("a", 10, 3.0), model("b", 5, 2.0), model("c", 1, 0.5)];
    let engines = [engine("e1", &[]), engine("e2", &[])];
    expect_that!(
        loads(&models, &engines),
        elements_are![eq("e1: c"), eq("e1: b c"), eq("e2: a")]
    );
}

#[gtest]
fn a_model_is_loaded_by_as_many_engines_as_its_demand_requires() {
    let engines = [engine("e1", &[]), engine("e2", &[]), engine("e3", &[])];
    expect_that!(loads(&[model("a", 4, 6.0)], &engines), len(eq(2)));
    expect_that!(loads(&[model("a", 4, 0.0)], &engines), is_empty());
}

#[gtest]
fn a_model_is_evicted_only_for_one_of_higher_value() {
    let engines = [engine("e1", &["a"])];
    let more = [model("a", 8, 1.0), model("b", 8, 3.0)];
    expect_that!(loads(&more, &engines), elements_are![eq("e1: b")]);
    let less = [model("a", 8, 3.0), model("b", 8, 1.0)];
    expect_that!(loads(&less, &engines), is_empty());
}

#[gtest]
fn the_model_with_the_lowest_value_for_its_size_is_evicted() {
    let engines = [engine("e1", &["a", "b"])];
    let models = [model("a", 4, 0.1), model("b", 4, 2.0), model("c", 6, 3.0)];
    expect_that!(loads(&models, &engines), elements_are![eq("e1: b c")]);
}

#[gtest]
fn a_model_larger_than_an_engine_is_not_loaded() {
    expect_that!(
        loads(&[model("a", 11, 1.0)], &[engine("e1", &[])]),
        is_empty()
    );
}

#[gtest]
fn a_model_of_slightly_higher_value_evicts_nothing() {
    let engines = [engine("e1", &["b"])];
    let models = |demand| [model("a", 10, demand), model("b", 10, 2.0)];
    expect_that!(loads(&models(2.4), &engines), is_empty());
    expect_that!(loads(&models(2.6), &engines), elements_are![eq("e1: a")]);
}

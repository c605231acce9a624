//! Time to compute one plan, with the engines of a whole and of half a failure domain.

use core::hint::black_box;

use base::{Incarnation, Stamp};
use criterion::{Criterion, criterion_group, criterion_main};
use place::{
    order::Engine,
    plan::{self, Input, Model},
};

const LOADS: usize = 32;
const MODELS: usize = 33;
const GIB: u64 = 1 << 30;

fn plan(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    for count in [49, 98] {
        let models: Vec<Model> = (0..MODELS).map(model).collect();
        let engines: Vec<Engine> = (0..count).map(|at| engine(at, &models)).collect();
        group.bench_function(format!("{count} engines, {MODELS} models"), |bencher| {
            bencher.iter(|| {
                let input = Input {
                    models: black_box(&models),
                    engines: black_box(&engines),
                    store_bandwidth: 1e9,
                };
                plan::loads(&input, LOADS)
            });
        });
    }
}

fn model(at: usize) -> Model {
    Model {
        name: format!("model-{at:02}").into(),
        bytes: (8 + at as u64) * GIB,
        demand: 400.0 / (1.0 + at as f64),
        engine_rate: 10.0,
    }
}

/// Returns an engine that holds two models from a plan for a different demand.
fn engine(at: usize, models: &[Model]) -> Engine {
    let mut models_held = vec![at % models.len(), (at * 7 + 1) % models.len()];
    models_held.sort_unstable();
    models_held.dedup();
    Engine {
        server: Incarnation::new(format!("runner-{at:02}"), Stamp::from_millis(5)),
        models: models_held
            .into_iter()
            .map(|at| models[at].name.clone())
            .collect(),
        memory: 80 * GIB,
        is_fenced: true,
    }
}

criterion_group!(benches, plan);
criterion_main!(benches);

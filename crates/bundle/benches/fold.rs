//! The processor time of one change as the number of client accounts grows.
#![allow(missing_docs)] // The macros of criterion generate undocumented items.

#[path = "../tests/large/mod.rs"]
mod large;

use bundle::{Bundle, Projection, check};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use large::{change, keys, roll_out_text, text};

const ACCOUNTS: [usize; 3] = [100, 1_000, 7_800];

/// Measures parsing and applying the three records of a change.
fn bench_change(criterion: &mut Criterion) {
    let (author, steward) = keys();
    for (name, delta) in [("fold_delta", true), ("fold_whole", false)] {
        let mut group = criterion.benchmark_group(name);
        for accounts in ACCOUNTS {
            let mut projection = Projection::new(vec![author.public(), steward.public()]);
            roll_out_text(&mut projection, &text(accounts, 1, 0), false);
            let records = change(&projection, &text(accounts, 2, 1), delta);
            let texts = records.map(|record| record.to_json());
            let apply = |mut projection: Projection| {
                for text in &texts {
                    projection.apply_text(projection.next(), text);
                }
                projection
            };
            group.bench_function(BenchmarkId::from_parameter(accounts), |bencher| {
                bencher.iter_batched(|| projection.clone(), apply, BatchSize::LargeInput);
            });
        }
        group.finish();
    }
}

/// Measures parsing the bundle from the document in force.
fn bench_read(criterion: &mut Criterion) {
    let (author, steward) = keys();
    let mut group = criterion.benchmark_group("sheet_to_bundle");
    for accounts in ACCOUNTS {
        let mut projection = Projection::new(vec![author.public(), steward.public()]);
        roll_out_text(&mut projection, &text(accounts, 1, 0), false);
        let document = projection
            .document()
            .cloned()
            .unwrap_or_else(|| unreachable!());
        group.bench_function(BenchmarkId::from_parameter(accounts), |bencher| {
            bencher.iter(|| document.bundle());
        });
    }
    group.finish();
}

fn bench_check(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("check");
    for accounts in ACCOUNTS {
        let bundle = Bundle::from_toml(&text(accounts, 1, 0)).unwrap_or_else(|_| unreachable!());
        group.bench_function(BenchmarkId::from_parameter(accounts), |bencher| {
            bencher.iter(|| check::faults(&bundle));
        });
    }
    group.finish();
}

/// Measures parsing and verifying a proof, as a restarted instance does.
fn bench_verify(criterion: &mut Criterion) {
    let (author, steward) = keys();
    let roots = [author.public(), steward.public()];
    let mut group = criterion.benchmark_group("verify_proof");
    for accounts in ACCOUNTS {
        let mut projection = Projection::new(roots.to_vec());
        roll_out_text(&mut projection, &text(accounts, 1, 0), false);
        let json = serde_json::to_string(&projection.proof()).unwrap_or_default();
        group.bench_function(BenchmarkId::from_parameter(accounts), |bencher| {
            bencher.iter(|| {
                let proof: bundle::Proof =
                    serde_json::from_str(&json).unwrap_or_else(|_| unreachable!());
                proof.verify(&roots)
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10);
    targets = bench_change, bench_read, bench_check, bench_verify
}
criterion_main!(benches);

//! The cost of counting, merging and reporting.
#![allow(missing_docs)] // The macros of criterion generate undocumented items.

use base::{Code, Incarnation, Name, Stamp};
use burn::{Event, Tracker};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Requests that an instance finishes in a minute, at 18 per second.
const REQUESTS_PER_MINUTE: usize = 1_080;

/// Minutes that each instance has counted.
const MINUTES: u64 = 180;

fn minute(count: u64) -> Stamp {
    Stamp::from_millis(count * 60_000)
}

/// Returns the events of one minute: requests of 502 client accounts over 11 pipelines.
fn events() -> Vec<Event> {
    (0..REQUESTS_PER_MINUTE)
        .filter_map(|at| {
            let account = match at % 4 {
                0 | 1 => format!("large-{}", at % 2),
                _ => format!("small-{}", at % 500),
            };
            let code = if at % 97 == 0 {
                Code::Overloaded
            } else {
                Code::Answered
            };
            let pipeline = Name::from(format!("pipeline-{}", at % 11));
            Event::ended(pipeline, account.into(), code, true, None)
        })
        .collect()
}

fn tracker(instance: usize, events: &[Event]) -> Tracker {
    let mut tracker = Tracker::new(Incarnation::new(format!("entry-{instance}"), minute(0)));
    for at in 0..MINUTES {
        for event in events {
            tracker.record(minute(at), event);
        }
    }
    tracker.compact(minute(MINUTES));
    tracker
}

fn bench_count(criterion: &mut Criterion) {
    let events = events();
    criterion.bench_function("count_a_minute", |bencher| {
        bencher.iter(|| {
            let mut tracker = Tracker::new(Incarnation::new("entry", minute(0)));
            for event in &events {
                tracker.record(minute(0), event);
            }
            tracker.compact(minute(1));
            tracker
        });
    });
}

fn bench_report(criterion: &mut Criterion) {
    let events = events();
    let trackers: Vec<Tracker> = (0..32).map(|instance| tracker(instance, &events)).collect();
    let bytes = serde_json::to_string(&trackers[0]).map_or(0, |json| json.len());
    println!("the tracker of one instance: {bytes} B of JSON");
    let mut group = criterion.benchmark_group("merge_and_report");
    for instances in [2, 8, 32] {
        let merged = || {
            let mut reader = Tracker::new(Incarnation::new("reader", minute(0)));
            for tracker in &trackers[..instances] {
                reader.merge(tracker);
            }
            reader.report(minute(MINUTES))
        };
        group.bench_function(BenchmarkId::from_parameter(instances), |bencher| {
            bencher.iter(merged);
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10);
    targets = bench_count, bench_report
}
criterion_main!(benches);

//! Time of one admission and its end, with an empty and a long queue.

use core::time::Duration;

use admit::{Ask, Context, Event, Gate};
use base::{Name, Tick, request::Id};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const ACCOUNTS: u64 = 50;

fn ask(number: u64, now: Tick, within: Duration) -> Ask {
    Ask {
        request: Id::from_random(u128::from(number)),
        account: Name::from(format!("account-{:02}", number % ACCOUNTS)),
        pipeline: "draft".into(),
        priority: 0,
        deadline: now + within,
        age_from: now,
    }
}

fn gate(rng: &mut ChaCha8Rng, waiting: u64) -> Gate {
    let mut gate = Gate::default();
    gate.pipeline(&"draft".into(), &["encoders".into(), "runners".into()]);
    let now = Tick::default();
    let mut cx = Context { now, rng };
    if waiting > 0 {
        gate.on(
            &mut cx,
            Event::Capacity {
                pool: "runners".into(),
                places: 1.0,
                retry_after: Duration::ZERO,
            },
        );
    }
    for number in 0..waiting {
        gate.offer(&mut cx, ask(number, now, Duration::from_secs(600)));
    }
    gate
}

fn offer(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("offer");
    for waiting in [0, 900] {
        group.bench_function(BenchmarkId::from_parameter(waiting), |bencher| {
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let mut gate = gate(&mut rng, waiting);
            let mut number = 1_000_000;
            bencher.iter(|| {
                number += 1;
                let now = Tick::from_micros(number);
                let mut cx = Context { now, rng: &mut rng };
                let ask = ask(number, now, Duration::from_secs(600));
                let request = ask.request;
                gate.offer(&mut cx, ask);
                // One of the two applies: it waits or it runs.
                gate.on(&mut cx, Event::Cancelled { request });
                gate.on(&mut cx, Event::Finished { request, cost: 1.0 });
            });
        });
    }
    group.finish();
}

criterion_group!(benches, offer);
criterion_main!(benches);

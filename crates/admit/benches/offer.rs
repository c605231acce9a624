//! Time to admit a request and to end it, by number of waiting requests and of client accounts.

use core::time::Duration;

use admit::{Context, Controller, Event, Request};
use base::{Name, Tick, request::Id};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

fn request(number: u64, accounts: u64, now: Tick, within: Duration) -> Request {
    Request {
        id: Id::from_random(u128::from(number)),
        account: Name::from(format!("account-{:03}", number % accounts)),
        pipeline: "draft".into(),
        priority: 0,
        deadline: now + within,
        issued_at: now,
    }
}

fn controller(rng: &mut ChaCha8Rng, waiting: u64, accounts: u64) -> Controller {
    let mut controller = Controller::default();
    controller.set_pipeline(&"draft".into(), &["encoders".into(), "runners".into()]);
    let now = Tick::default();
    let mut cx = Context { now, rng };
    if waiting > 0 {
        controller.handle(
            &mut cx,
            Event::Capacity {
                pool: "runners".into(),
                slots: 1.0,
                retry_after: Duration::ZERO,
            },
        );
    }
    for number in 0..waiting {
        controller.offer(
            &mut cx,
            request(number, accounts, now, Duration::from_secs(600)),
        );
    }
    controller
}

fn offer(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("offer");
    for (waiting, accounts) in [(0, 50), (900, 50), (900, 900)] {
        group.bench_function(BenchmarkId::new(waiting.to_string(), accounts), |bencher| {
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let mut controller = controller(&mut rng, waiting, accounts);
            let mut number = 1_000_000;
            bencher.iter(|| {
                number += 1;
                let now = Tick::from_micros(number);
                let mut cx = Context { now, rng: &mut rng };
                let request = request(number, accounts, now, Duration::from_secs(600));
                let id = request.id;
                controller.offer(&mut cx, request);
                // One of the two events applies, as the request either waits or runs.
                controller.handle(&mut cx, Event::Cancelled { request: id });
                controller.handle(
                    &mut cx,
                    Event::Finished {
                        request: id,
                        cost: 1.0,
                    },
                );
            });
        });
    }
    group.finish();
}

criterion_group!(benches, offer);
criterion_main!(benches);

//! Time that a projection and an owner take for each record.

use core::hint::black_box;

use base::{Code, Digest, Incarnation, Key, Stamp, Tick};
use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use ledger::{
    Now, configs,
    owner::{Action, Event, Owner},
    partition,
    projection::Projection,
    record::{self, Answer, Record},
    slot::{Nonce, Slot},
};

const ISSUED: Stamp = Stamp::from_millis(1_000_000_000);
const SIZES: [u64; 2] = [10_000, 100_000];
const BATCH_RECORDS: usize = 8;

/// Returns the claims and outcomes of calls whose keys were issued one after the other.
fn records(calls: u64) -> Vec<Record> {
    let holder = Incarnation::new("entry-17", ISSUED);
    let slots = (0..).map(|at| {
        let issued = Stamp::from_millis(ISSUED.as_millis() + at / 100);
        Slot::new("adinkra", &Key::from_parts(issued, at.into()), "deposit")
    });
    let own_slots = slots.filter(|slot| partition::for_slot(slot) == 0);
    let calls = usize::try_from(calls).unwrap();
    let pairs = own_slots.take(calls).zip(1..).flat_map(|(slot, at)| {
        let nonce = Nonce::from_random(at);
        let claim = Record::Claim {
            slot,
            nonce,
            holder: holder.clone(),
            body: Digest::of(&at.to_be_bytes()),
        };
        let answer = Answer::new(Code::Answered, "x".repeat(200), 1).unwrap();
        [
            claim,
            Record::Done {
                slot,
                nonce,
                answer,
            },
        ]
    });
    pairs.collect()
}

fn projection(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fold");
    for size in SIZES {
        let bodies: Vec<String> = records(size)
            .chunks(BATCH_RECORDS)
            .map(record::encode)
            .collect();
        group.throughput(Throughput::Elements(2 * size));
        group.sample_size(10);
        group.bench_function(format!("records of {size} calls"), |bencher| {
            bencher.iter_batched(
                || Projection::new(configs::Projection::default()),
                |mut projection| {
                    projection.set_log_start(0, ISSUED);
                    for (offset, body) in (0..).zip(&bodies) {
                        projection.apply_body(offset, black_box(body), ISSUED);
                    }
                    projection
                },
                BatchSize::LargeInput,
            );
        });
    }
}

fn owner(criterion: &mut Criterion) {
    let records = records(1_000);
    let mut group = criterion.benchmark_group("owner");
    group.throughput(Throughput::Elements(records.len() as u64));
    for chunk_records in [1, 64] {
        group.bench_function(format!("records, {chunk_records} an append"), |bencher| {
            bencher.iter(|| submit_all(black_box(&records), chunk_records));
        });
    }
}

/// Submits records in chunks and completes the append of each chunk.
fn submit_all(records: &[Record], chunk_records: usize) -> Owner {
    let mut owner = Owner::new(configs::Owner::default(), 0, None);
    let window = configs::Owner::default().batch_window;
    let mut now = Now {
        tick: Tick::from_millis(1),
        wall: ISSUED,
    };
    owner.handle(now, Event::Tick);
    let records_read = Vec::new();
    owner.handle(
        now,
        Event::Page {
            first: 0,
            end: 0,
            records: records_read,
        },
    );
    // The first record is appended at once; later ones wait for the batch window.
    let first = Record::Released {
        slot: *records[0].slot(),
        nonce: Nonce::from_random(u128::MAX),
    };
    let token = 0;
    owner.handle(
        now,
        Event::Submit {
            token,
            record: first,
        },
    );
    owner.handle(now, Event::Appended { offset: 0 });
    let mut token = 0;
    for (offset, chunk) in (1..).zip(records.chunks(chunk_records)) {
        for record in chunk {
            token += 1;
            let record = record.clone();
            owner.handle(now, Event::Submit { token, record });
        }
        now.tick = now.tick + window;
        let actions = owner.handle(now, Event::Tick);
        assert!(matches!(actions.as_slice(), [Action::Append { .. }]));
        owner.handle(now, Event::Appended { offset });
    }
    owner
}

criterion_group!(benches, projection, owner);
criterion_main!(benches);

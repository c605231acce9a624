//! Runs the interleavings of `tests/interleaving.rs` for many seeds and prints what happened.

#[path = "../tests/world/mod.rs"]
mod world;

use argh::FromArgs;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use world::{Counts, Setup, World};

/// Run interleaved steps of the claim protocol; a broken promise panics with its seed.
#[derive(FromArgs)]
struct Options {
    /// the first seed (default 1000)
    #[argh(option, default = "1000")]
    seed: u64,
    /// how many seeds (default 400)
    #[argh(option, default = "400")]
    seeds: u64,
    /// steps for each seed (default 5000)
    #[argh(option, default = "5000")]
    steps: u64,
}

fn main() {
    let options: Options = argh::from_env();
    let last = options.seed + options.seeds;
    let mut total = Counts::default();
    for seed in options.seed..last {
        total += run(seed, options.steps);
    }
    println!("seeds {} to {}: {total:?}", options.seed, last - 1);
}

fn run(seed: u64, steps: u64) -> Counts {
    let _reports = Reports(seed);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::open(Setup {
        instances: if seed.is_multiple_of(2) { 2 } else { 3 },
        slots: [1, 3][usize::from(seed % 4 < 2)],
        expiry: !seed.is_multiple_of(3),
    });
    for _ in 0..steps {
        world.step(random.next_u32());
    }
    world.heal();
    world.counts
}

/// Prints the seed where a promise broke.
struct Reports(u64);

impl Drop for Reports {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {} broke a promise", self.0);
        }
    }
}

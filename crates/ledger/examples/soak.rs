//! Runs the simulation of `tests/interleaving.rs` for many seeds and prints the counts.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use argh::FromArgs;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use simulation::{Counts, Setup, Simulation};

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
    let _report = SeedReport(seed);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = Simulation::new(Setup {
        instances: if seed.is_multiple_of(2) { 2 } else { 3 },
        slots: [1, 3][usize::from(seed % 4 < 2)],
        expiry: !seed.is_multiple_of(3),
    });
    for _ in 0..steps {
        simulation.step(random.next_u32());
    }
    simulation.settle();
    simulation.counts
}

/// Prints the seed if the run panics.
struct SeedReport(u64);

impl Drop for SeedReport {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {} violates an invariant", self.0);
        }
    }
}

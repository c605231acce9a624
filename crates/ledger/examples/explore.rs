//! Visits every state of a small protocol instance and prints how many there are.

#[path = "../tests/explorer/mod.rs"]
mod explorer;

use argh::FromArgs;

use explorer::{Bounds, explore};

/// Visit every state of the claim protocol within bounds; a broken promise panics.
#[derive(FromArgs)]
struct Options {
    /// how many claims of one slot (default 2)
    #[argh(option, default = "2")]
    claims: usize,
    /// how many faults in all (default 2)
    #[argh(option, default = "2")]
    faults: u8,
    /// how many look-ups for each claim (default 1)
    #[argh(option, default = "1")]
    lookups: u8,
}

fn main() {
    let options: Options = argh::from_env();
    let bounds = Bounds {
        claims: options.claims,
        faults: options.faults,
        lookups: options.lookups,
    };
    println!("{bounds:?}: {:?}", explore(bounds));
}

//! Prints the size of bundles as the number of client accounts grows.
//!
//! `write ACCOUNTS FILE whole|delta` writes the records that put a bundle in force and prints
//! their sizes. `read FILE` applies them in a separate process and prints the memory used, since memory
//! freed after building the bundle would distort the figure.

#[path = "../tests/large/mod.rs"]
mod large;

use core::time::Duration;
use std::fs;

use base::Stamp;
use bundle::{Projection, Record};
use large::{change, keys, roll_out_text, text};

/// The size of a memory page, in bytes.
const PAGE_BYTES: usize = 4_096;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[..] {
        ["write", accounts, file, form] => {
            write(accounts.parse().unwrap_or(7_800), file, form == "delta");
        }
        ["read", file] => read(file),
        _ => eprintln!("write ACCOUNTS FILE whole|delta, or read FILE"),
    }
}

fn write(accounts: usize, file: &str, delta: bool) {
    let (first, next) = (text(accounts, 1, 0), text(accounts, 2, 1));
    let mut projection = open();
    let records = change(&projection, &first, delta);
    let lines: Vec<String> = records.iter().map(Record::to_json).collect();
    fs::write(file, lines.join("\n")).unwrap_or_else(|error| eprintln!("{file}: {error}"));
    roll_out_text(&mut projection, &first, delta);
    let bytes =
        |records: &[Record]| -> usize { records.iter().map(|record| record.to_json().len()).sum() };
    println!("{accounts} accounts");
    println!(
        "change as delta: {} B",
        bytes(&change(&projection, &next, true))
    );
    println!(
        "change as whole: {} B",
        bytes(&change(&projection, &next, false))
    );
    if let Some(carry) = projection.carry(Stamp::default(), Duration::ZERO) {
        println!("carry: {} B", bytes(&[Record::Carry(Box::new(carry))]));
    }
}

fn read(file: &str) {
    let before = resident();
    let mut projection = open();
    let mut longest = 0;
    for line in fs::read_to_string(file).unwrap_or_default().lines() {
        longest = longest.max(line.len());
        projection.apply_text(projection.next(), line);
    }
    println!(
        "in force: {:?}",
        projection.position().map(|position| position.version)
    );
    println!(
        "fold: {} KiB, of it up to {} KiB the text",
        (resident() - before) / 1024,
        longest / 1024
    );
    let before = resident();
    let bundle = projection.document().map(|document| document.bundle());
    println!("bundle read from it: {} KiB", (resident() - before) / 1024);
    drop(bundle);
}

fn open() -> Projection {
    let (author, steward) = keys();
    Projection::new(vec![author.public(), steward.public()])
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<usize> = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

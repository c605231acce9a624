//! Writes the generated code of the wire crate.

use std::io;

fn main() -> io::Result<()> {
    wiregen::generate(&wiregen::home().join("src/generated"))
}

//! Writes the generated code of the wire crate into its source folder.

use std::io;

fn main() -> io::Result<()> {
    wiregen::generate(&wiregen::wire_dir().join("src/generated"))
}

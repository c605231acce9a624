//! Writes the generated code of the wire crate.

fn main() {}

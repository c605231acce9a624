//! Placeholder of the demo.

fn main() {}

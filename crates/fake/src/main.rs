//! The limpetstep-fake program.

fn main() {}

//! The limpetstep-entry program.

fn main() {}

//! The limpetstep-report program.

fn main() {}

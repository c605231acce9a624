//! The limpetstep-ctl program.

fn main() {}

//! Settings of the stand-ins, one structure for each.

pub mod platform;
pub mod server;

//! Settings of the stand-ins, one structure per kind.

pub mod platform;
pub mod server;

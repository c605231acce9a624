//! Settings of the administration interface.

pub mod admin;

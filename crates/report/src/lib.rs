//! Report on service-level burn.
//!
//! Reads what entry instances count, merges it and prints it as text, JSON or a page with plots.
//! Instances that gave no answer are named, so that a report never passes for the whole.

pub mod cli;
pub mod configs;
pub mod error;
pub mod fetch;
pub mod show;

pub use self::{configs::Config, error::Error, fetch::Reading};

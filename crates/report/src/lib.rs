//! Report on attainment and error-budget burn.
//!
//! Fetches the counts of entry instances, merges them and prints a report as text, JSON or an HTML page
//! with plots. Instances that did not answer are named, so that an incomplete report is recognizable.

pub mod cli;
pub mod configs;
pub mod error;
pub mod fetch;
pub mod show;

pub use self::{configs::Config, error::Error, fetch::Reading};

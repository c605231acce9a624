//! Settings.

pub mod report;

pub use report::{Config, Format};

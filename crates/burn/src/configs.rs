//! Settings.

pub mod burn;

pub use burn::Config;

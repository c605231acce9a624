//! Configuration bundles: types, checks, signatures and the fold over the log.
//!
//! A bundle is published as records of the log stream [`STREAM`]. [`Fold`] computes the bundle in
//! force from these records, and [`Proof`] carries it to a reader that cannot reach the log.

pub mod approval;
pub mod chain;
pub mod check;
pub mod content;
pub mod delta;
pub mod diff;
pub mod document;
pub mod event;
pub mod fold;
pub mod position;
pub mod proof;
pub mod record;
pub mod sign;
mod state;

pub use self::{
    content::Bundle, document::Document, event::Event, fold::Fold, position::Position,
    proof::Proof, record::Record,
};

/// The log stream that carries the configuration.
pub const STREAM: &str = "config";

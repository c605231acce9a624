//! Configuration bundles: types, checks, signatures and the projection of the log.
//!
//! A bundle is published as records of the log stream [`STREAM`]. [`Projection`] computes the bundle in
//! force from these records, and [`Proof`] carries it to a reader that cannot reach the log.

pub mod approval;
pub mod chain;
pub mod check;
pub mod content;
pub mod delta;
pub mod diff;
pub mod document;
pub mod event;
pub mod position;
pub mod projection;
pub mod proof;
pub mod record;
pub mod sign;
mod state;

pub use self::{
    content::Bundle, document::Document, event::Event, position::Position, projection::Projection,
    proof::Proof, record::Record,
};

/// The log stream that carries the configuration.
pub const STREAM: &str = "config";

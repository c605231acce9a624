//! The messages that instances exchange.

use base::Incarnation;

use crate::fact::{Fact, Id, Load};

/// The versions that the sender holds, and rows that the receiver may lack.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The sender.
    pub sender: Id,
    /// Digest of the sorted ids of the origins that the sender knows.
    pub origins_digest: u64,
    /// The known version of each origin, in the order of their ids.
    pub versions: Vec<u64>,
    /// The ids themselves; empty if the receiver is assumed to know the same origins.
    pub origins: Vec<Id>,
    /// Rows by origin.
    pub deltas: Vec<Delta>,
    /// Incarnations seen leaving, sent without a comparison of versions.
    pub leaving: Vec<Incarnation>,
    /// Facts for another failure domain.
    pub facts: Vec<Fact>,
}

/// Rows of one origin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Position of the origin in the order of the sender's ids.
    pub origin: usize,
    /// The rows.
    pub rows: Vec<Row>,
}

/// A row that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Number of the row at its origin.
    pub slot: u32,
    /// Version at which it changed.
    pub version: u64,
    /// Its content.
    pub body: Body,
}

/// The content of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Only the load of the backend server changed.
    Load(Load),
    /// The whole fact.
    Whole(Fact),
    /// The origin has withdrawn the fact.
    Withdrawn,
}

//! Operators' command line: check, sign, publish, sign off, roll out.
//!
//! Every action reads the log first, appends at most one record and reads the log again to tell
//! what the record did there. After a lost answer it looks for its own record and never appends
//! again.

mod append;
pub mod audit;
pub mod cli;
mod error;
pub mod publish;
pub mod request;
pub mod roll_out;
pub mod sign_off;
pub mod spread;
pub mod status;
pub mod submit;
pub mod view;

pub use self::{
    error::Error,
    publish::publish,
    roll_out::{roll_out, roll_out_all},
    sign_off::sign_off,
    submit::submit,
    view::View,
};

use base::{Digest, Name};
use bundle::Record;
use serde::Serialize;

/// What every action needs.
#[derive(Clone, Debug)]
pub struct Session<'a, L> {
    /// The platform's log.
    pub log: &'a L,
    /// The root keys that the first bundle is checked with.
    pub roots: Vec<Digest>,
    /// Whether to stop before the append.
    pub dry_run: bool,
    /// The program or the instance that appends, for the audit trail.
    pub appender: Name,
}

/// What an action did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Receipt {
    /// The bundle.
    pub digest: Digest,
    /// Its version.
    pub version: u64,
    /// The offset of the record; none in a dry run.
    pub offset: Option<u64>,
    /// Whether the log said the same before this record.
    pub repeated: bool,
    /// The signed record.
    #[serde(skip)]
    pub record: Record,
}

//! The operators' command line: check, sign, publish, sign off and roll out bundles.
//!
//! Every action reads the log, appends at most one record, and reads the log again to report the
//! record's effect. If the answer to the append is lost, the action searches the log for its record;
//! it never appends again.

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

/// The context of an action.
#[derive(Clone, Debug)]
pub struct Session<'a, L> {
    /// The platform's log.
    pub log: &'a L,
    /// The root keys, which the signers of the first bundle must have.
    pub roots: Vec<Digest>,
    /// Whether to stop before the append.
    pub dry_run: bool,
    /// The program or instance that appends, for the audit trail.
    pub appender: Name,
}

/// The result of an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Receipt {
    /// The bundle.
    pub digest: Digest,
    /// Its version.
    pub version: u64,
    /// The offset of the record; none in a dry run.
    pub offset: Option<u64>,
    /// Whether this record repeats an earlier one.
    pub repeated: bool,
    /// The signed record.
    #[serde(skip)]
    pub record: Record,
}

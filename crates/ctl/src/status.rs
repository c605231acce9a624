//! The bundle in force and the open proposals.

use core::fmt;

use base::{Digest, Name};
use bundle::{Position, approval::Proposal};
use serde::Serialize;

use crate::{View, spread::Spread};

/// The state of the configuration and its spread over the instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The state by the log.
    #[serde(flatten)]
    pub state: State,
    /// The entry instances that were queried.
    pub spread: Spread,
}

/// The bundle in force and the open proposals, by the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct State {
    /// The bundle in force by the log.
    pub in_force: Option<Position>,
    /// Whether the state is complete, so that no records were dropped unread.
    pub known: bool,
    /// The offset that the next record will get.
    pub next_offset: u64,
    /// The open proposals.
    pub proposed: Vec<Proposed>,
}

/// An open proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Proposed {
    /// The version.
    pub version: u64,
    /// The digest.
    pub digest: Digest,
    /// The bundle that it replaces.
    pub base: Option<Digest>,
    /// The author.
    pub author: Name,
    /// The signers who signed it off.
    pub signed_off_by: Vec<Name>,
}

impl Status {
    /// Returns the status of a view.
    ///
    /// # Examples
    ///
    /// ```
    /// use bundle::Projection;
    /// use ctl::{View, spread::Spread, status::Status};
    /// let view = View { projection: Projection::new(Vec::new()), events: Vec::new() };
    /// assert_eq!(Status::from_view(&view, Spread::default()).to_string(), "in force: none");
    /// ```
    pub fn from_view(view: &View, spread: Spread) -> Self {
        Self {
            state: State::from_view(view),
            spread,
        }
    }
}

impl State {
    /// Returns the state of a view.
    pub fn from_view(view: &View) -> Self {
        Self {
            in_force: view.projection.position(),
            known: view.projection.is_synced(),
            next_offset: view.projection.next(),
            proposed: view
                .projection
                .pending()
                .iter()
                .map(Proposed::from_proposal)
                .collect(),
        }
    }
}

impl Proposed {
    fn from_proposal(proposal: &Proposal) -> Self {
        let approval = &proposal.approval;
        let signers = approval.sign_offs.iter();
        Self {
            version: approval.version,
            digest: approval.digest,
            base: approval.base,
            author: approval.author.clone(),
            signed_off_by: signers.map(|sign_off| sign_off.signer.clone()).collect(),
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.state.in_force {
            Some(position) => write!(
                f,
                "in force: version {} {} since offset {}",
                position.version, position.digest, position.offset
            )?,
            None => f.write_str("in force: none")?,
        }
        if !self.state.known {
            f.write_str("\nthe log's head is gone and no record tells the state yet")?;
        }
        for proposed in &self.state.proposed {
            let signers: Vec<&str> = proposed.signed_off_by.iter().map(Name::as_str).collect();
            write!(
                f,
                "\nproposed: version {} {} by {}, signed off by [{}]",
                proposed.version,
                proposed.digest,
                proposed.author,
                signers.join(", ")
            )?;
        }
        write!(f, "{}", self.spread)
    }
}

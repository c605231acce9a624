//! What the roster asks its driver to do.

use base::{Incarnation, Name};

use crate::{
    fact::{Fact, Id},
    summary::Summary,
};

/// An action of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer the exchange that was asked for.
    Answer(Summary),
    /// Start an exchange with a peer; its answer comes back as [`crate::Event::Answered`].
    Exchange {
        /// Where the peer is reached.
        address: Name,
        /// What to send.
        summary: Summary,
    },
    /// Read the platform's list; it comes back as [`crate::Event::Listed`].
    ReadList,
    /// Take in what another instance told about something that the roster itself does not use.
    Deliver {
        /// Who told it.
        origin: Id,
        /// What it told.
        fact: Fact,
    },
    /// Ask a backend server for its state and load; its answer comes back as [`crate::Event::Heard`].
    Poll {
        /// The backend server.
        server: Incarnation,
        /// Where it is reached.
        address: Name,
    },
}

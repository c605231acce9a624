//! Actions of the roster, which its driver carries out.

use base::{Incarnation, Name};

use crate::{
    fact::{Fact, Id},
    summary::Summary,
};

/// An action of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer the requested exchange.
    Answer(Summary),
    /// Start an exchange with a peer; its answer comes back as [`crate::Event::ExchangeAnswered`].
    Exchange {
        /// The address of the peer.
        address: Name,
        /// The summary to send.
        summary: Summary,
    },
    /// Read the platform's list; it comes back as [`crate::Event::ListReceived`].
    ReadList,
    /// Pass on a fact of another instance that the roster itself does not use.
    Deliver {
        /// The instance that published the fact.
        origin: Id,
        /// The fact.
        fact: Fact,
    },
    /// Ask a backend server for its state and load; its answer comes back as [`crate::Event::ServerReported`].
    Poll {
        /// The backend server.
        server: Incarnation,
        /// Its address.
        address: Name,
    },
}

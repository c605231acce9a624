//! Membership: which instances and backend servers are live or leaving.
//!
//! [`Roster`] is a deterministic core. Its inputs are the platform's list, summaries of peers and
//! answers of backend servers; its outputs are exchanges, polls, and the [`Roster::view`] of usable
//! processes.
//!
//! An instance is heard from when the version of its own rows grows, which serves as its heartbeat. An
//! incarnation that was seen leaving is marked, and a mark is never
//! revoked; it is removed once no source has mentioned the name for a long time.

pub mod action;
pub mod configs;
pub mod event;
pub mod fact;
pub mod mark;
mod peers;
pub mod rendezvous;
pub mod roster;
mod servers;
pub mod summary;
mod table;
pub mod view;

pub use self::{
    action::Action,
    event::{Context, Event},
    fact::Fact,
    roster::Roster,
    summary::Summary,
    view::View,
};

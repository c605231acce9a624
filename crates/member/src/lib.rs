//! Instances and backend servers that are live or leaving.
//!
//! [`Roster`] is a deterministic core: lists of the platform, summaries of peers and answers of
//! backend servers go in, exchanges and polls come out, and [`Roster::view`] tells whom to use.

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

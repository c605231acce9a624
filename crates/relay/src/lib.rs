//! The course of a request that is passed on unread.
//!
//! - [`Ask`] is a request as its caller sent it; [`serve`](serve::serve) takes it through its stages
//!   to a backend server and returns the server's answer or a refusal.
//! - [`judge`] decides what follows a failed attempt; it does no I/O.
//! - [`Edge`] is what the process brings: how calls reach servers.
//! - [`Hub`] holds what all requests of an instance share.

pub mod ask;
pub mod body;
pub mod call;
pub mod configs;
pub mod events;
pub mod hub;
pub mod judge;
mod lease;
pub mod pace;
pub mod serve;
pub mod spread;
mod stages;

pub use self::{
    ask::Ask,
    body::Body,
    call::{Call, Edge, Failure, Reply},
    hub::Hub,
    serve::{Answer, Refusal},
};

//! The course of a request that is passed on unread.
//!
//! - [`Job`] is a request as its caller sent it; [`serve`](serve::serve) takes it through its stages
//!   to a backend server and returns the server's answer or a refusal.
//! - [`policy`] decides what follows a failed attempt; it does no I/O.
//! - [`Transport`] is what the process brings: how calls reach servers.
//! - [`Hub`] holds what all requests of an instance share.

pub mod balance;
pub mod body;
pub mod call;
pub mod configs;
pub mod estimate;
pub mod events;
pub mod hub;
pub mod job;
mod lease;
pub mod policy;
pub mod serve;
mod stages;

pub use self::{
    body::Body,
    call::{Call, Failure, Reply, Transport},
    hub::Hub,
    job::Job,
    serve::{Answer, Refusal},
};

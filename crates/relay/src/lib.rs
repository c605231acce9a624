//! Forwarding of requests to backend servers without parsing their bodies.
//!
//! - [`Job`] is an admitted request; [`serve`](serve::serve) runs its stages, sends it to a backend
//!   server and returns the server's answer or a refusal.
//! - [`policy`] decides what follows a failed attempt; it does no I/O.
//! - [`Transport`] is implemented by the process and makes the calls to servers and instances.
//! - [`Hub`] holds the state that all requests of an instance share.

mod admission;
mod attempt;
pub mod balance;
mod batches;
pub mod body;
pub mod call;
mod cold;
pub mod configs;
pub mod crash;
pub mod estimate;
pub mod events;
mod guard;
pub mod hold;
pub mod hub;
pub mod job;
mod links;
pub mod memory;
mod notices;
mod origin;
mod pace;
mod pending;
mod pieces;
pub mod policy;
pub mod queue;
mod release;
pub mod serve;
mod stages;
pub mod stop;
mod turns;
pub mod uploads;

pub use self::{
    body::Body,
    call::{Call, Failure, Notice, Rate, Reply, Transport},
    hub::Hub,
    job::{Job, Resumption},
    memory::Share,
    queue::Queue,
    serve::{Answer, Refusal},
    stop::Stop,
};

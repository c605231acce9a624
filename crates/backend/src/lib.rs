//! HTTP client of backend servers.
//!
//! [`Client`] makes one call and reports what is known about its execution: nothing was sent, the server
//! refused the call without running it, or the call may have run. It never sends a call twice.

pub mod call;
pub mod client;
pub mod load;
pub mod orders;
pub mod presence;
pub mod stream;

mod configs;
mod connection;
mod head;

pub use self::{
    call::{Call, Reply},
    client::Client,
    configs::Config,
    stream::Stream,
};

//! HTTP towards backend servers.
//!
//! [`Client`] makes one call and reports truthfully what is known of it: no byte left, the
//! server refused it untouched, or it may have run. It never sends a call twice.

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

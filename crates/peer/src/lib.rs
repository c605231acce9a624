//! gRPC calls between instances, based on tonic.
//!
//! [`bind`] starts the server of an instance inside an actix runtime; [`Client`] calls another instance.
//! All calls are idempotent: repeated exchanges and look-ups have no further effect, and ledger records
//! contain nonces. So a call with an unknown result may be sent again, also by a library that retries.

pub mod client;
pub mod codec;
pub mod configs;
pub mod error;
pub mod server;

pub use self::{
    client::Client,
    error::Error,
    server::{Handle, Handler, bind, serve},
};

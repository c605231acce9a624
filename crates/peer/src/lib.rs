//! Messages between instances over tonic.
//!
//! [`bind`] serves this instance's side inside an actix runtime; [`Client`] is the way to another one.
//! Every call is idempotent: exchanges and look-ups change nothing that matters twice, and ledger
//! records carry nonces. So a call whose effect is unknown may be sent again, by a library as well.

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

//! Client interface to the platform's services: an append-only log and a list of instances.

pub mod http;
pub mod list;
pub mod log;

pub use self::{http::Http, list::Instance, log::Log};

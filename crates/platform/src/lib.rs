//! The platform as the system sees it: a log service with offsets and an instance list.

pub mod http;
pub mod list;
pub mod log;

pub use self::{http::Http, list::Instance, log::Log};

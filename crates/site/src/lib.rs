//! What is known of a deployment whose requests are passed on unread.
//!
//! - [`Config`] holds the routes, pools, client accounts and limits that the operator states.
//! - [`Roster`] holds the backend servers that registered, and those that are leaving.

pub mod config;
pub mod pool;
pub mod roster;
pub mod route;

pub use self::{config::Config, pool::Pool, roster::Roster, route::Route};

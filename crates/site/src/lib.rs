//! The configuration and the backend servers of a deployment.
//!
//! - [`Config`] holds the routes, pools, client accounts and limits that the operator configures.
//! - [`History`] remembers since when the servers of a pool run one software.
//! - [`Roster`] holds the registered backend servers, including those that are leaving.

pub mod config;
pub mod history;
pub mod pool;
pub mod roster;
pub mod route;

pub use self::{config::Config, history::History, pool::Pool, roster::Roster, route::Route};

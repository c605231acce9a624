//! The configuration and the backend servers of a deployment.
//!
//! - [`Config`] holds the routes, pools, client accounts and limits that the operator configures.
//! - [`Evacuations`] holds the failure domains that the operator has evacuated.
//! - [`History`] remembers since when the servers of a pool run one software.
//! - [`Regions`] tells which failure domains a request may reach that must stay in some regions.
//! - [`Roster`] holds the registered backend servers, including those that are leaving.

pub mod config;
pub mod evacuation;
pub mod history;
pub mod pool;
pub mod region;
pub mod roster;
pub mod route;

pub use self::{
    config::Config, evacuation::Evacuations, history::History, pool::Pool, region::Regions,
    roster::Roster, route::Route,
};

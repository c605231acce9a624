//! The administration interface over HTTP, served by every entry instance.
//!
//! It has the acts of `limpetstep-ctl` and read views of the instance that is asked. It changes
//! nothing but by records of the platform's log that the operator signed; the private key never
//! reaches the system. [`Service`] is where an instance plugs in, [`route::ALL`] the one table
//! from which requests are served and the OpenAPI description is built.

pub mod configs;
pub mod openapi;
pub mod operator;
pub mod route;
pub mod schema;
pub mod service;
pub mod view;

mod act;
mod problem;
mod read;
mod routes;

pub use self::{routes::configure, service::Service};

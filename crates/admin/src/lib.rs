//! The administration interface over HTTP, served by every entry instance.
//!
//! It offers the actions of `limpetstep-ctl` and read views of the instance that serves the request.
//! Changes are made only by appending records that the operator signed to the platform's log; the
//! private key never reaches the system. An instance implements [`Service`]. [`route::ALL`] is the
//! table from which requests are served and the OpenAPI description is built.

pub mod configs;
pub mod openapi;
pub mod operator;
pub mod route;
pub mod schema;
pub mod service;
pub mod view;

mod action;
mod problem;
mod query;
mod routes;

pub use self::{routes::configure, service::Service};

//! Placement of models on engines.
//!
//! - [`lease`] elects one instance of a failure domain as the planner, by records in the platform's
//!   log; the offset of the valid record is the fencing token of every order.
//! - [`plan`] selects what to load next, by the attainment gained per second of loading.
//! - [`planner`] compares the models observed on engines with the plan, and orders the difference. An
//!   order names the target state, so that it may arrive twice, late, or from a replaced planner: the
//!   planner corrects the effect after its next observation.
//! - [`poller`] selects which engines to poll next for the models that they hold, a few at a time.
//!
//! # Wiring
//!
//! A driver executes the actions of [`planner::Planner`] and reports each result exactly once.
//! It calls [`planner::Planner::fence`] right before it sends an order, and drops the order if there
//! is no fencing token or if it differs from that of the order.

pub mod configs;
pub mod lease;
pub mod order;
pub mod plan;
pub mod planner;
pub mod poller;

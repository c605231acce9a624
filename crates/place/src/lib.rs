//! Orders to engines: which models each of them is to hold.
//!
//! - [`lease`] makes one instance of a failure domain the planner, by records in the platform's
//!   log; the offset of the valid record is the fencing number of every order.
//! - [`plan`] chooses what to load next, by the attainment that a second of loading buys.
//! - [`planner`] compares what engines were seen to hold with what is wanted, and orders the
//!   difference. An order names the state wanted, so that it may come twice, late, or from a
//!   planner that was replaced: the next observation repairs what it did.
//! - [`poller`] says which engines to ask next what they hold, a few at a time.
//!
//! # Wiring
//!
//! A driver carries out the actions of [`planner::Planner`] and reports each result exactly once.
//! It asks [`planner::Planner::fence`] right before it sends an order, and drops the order if
//! there is none or if the number differs.

pub mod configs;
pub mod lease;
pub mod order;
pub mod plan;
pub mod planner;
pub mod poller;

//! Configuration of each part, with its defaults.

mod lease;
mod planner;

pub use self::{lease::Lease, planner::Planner};

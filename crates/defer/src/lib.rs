//! Deferred requests, which are stored in the platform's log and run later.
//!
//! A pipeline that the bundle marks as deferred answers 202 once the request is in the log. Every
//! instance derives the same state from the records of a partition, so any instance can return the
//! status of a task, and the one that owns the partition ([`scheduler::owner`]) runs it. Two
//! instances that both believe they own a partition do no harm: the first outcome in the log is in
//! force.

pub mod configs;
pub mod projection;
pub mod record;
pub mod scheduler;
pub mod task;

pub use self::{
    projection::{Projection, State},
    record::Record,
    scheduler::Scheduler,
    task::Task,
};

//! Requests that are stored in the platform's log and worked on later.
//!
//! A pipeline that the bundle marks as deferred answers 202 once the request is in the log. Every
//! instance folds the records of a partition in the same way, so any of them can tell what became
//! of a task, and the one that [`scheduler::Scheduler`] names works on it. Two instances that both
//! believe themselves named do no harm: the first outcome in the log is the task's.

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

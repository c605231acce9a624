//! Attainment, cost and error-budget burn.
//!
//! Attainment is the share of requests completely answered within their deadline. Each instance
//! counts the requests it finishes in buckets of one minute. Buckets of many instances are merged
//! without counting anything twice, so any instance can report on all instances it has buckets of.

pub mod bucket;
pub mod cause;
pub mod configs;
pub mod event;
pub mod recent;
pub mod report;
pub mod summary;
pub mod tracker;
pub mod window;

pub use self::{
    bucket::Bucket, cause::Cause, configs::Config, event::Event, report::Report, tracker::Tracker,
};

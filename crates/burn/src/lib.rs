//! Attainment, cost and error-budget burn.
//!
//! Attainment is the share of requests wholly answered within their deadline. Each instance
//! counts what it ends into buckets of a minute; buckets of many instances merge without counting
//! anything twice, so any instance can report for all it has heard from.

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

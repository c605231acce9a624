//! One entry instance: every core and every edge in one process.
//!
//! - [`control`] follows the platform and the peers, on a thread of its own.
//! - [`plane`] serves callers, on another.
//! - [`instance`] starts and stops both.

pub mod clock;
mod console;
pub mod control;
pub mod instance;
pub mod logs;
pub mod metrics;
pub mod plane;
pub mod settings;
pub mod shared;
pub mod view;

mod routes;

pub use self::instance::{Handle, spawn};

//! One entry instance: connects the decision crates, which do no input or output themselves, to
//! sockets in one process.
//!
//! - [`control`] tracks the platform and the peers, on one thread.
//! - [`plane`] serves callers, on another thread.
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

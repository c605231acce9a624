//! Small stand-ins for the platform and for backend servers.
//!
//! Both serve HTTP on loopback, run in the caller's process or in one of their own, and
//! accept fault settings while they run. All state is in memory: a restart begins empty.

pub mod configs;
pub mod handle;
mod merge;
pub mod platform;
pub mod server;
mod socket;

pub use self::handle::Handle;

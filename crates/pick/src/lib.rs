//! Choice of a backend server for a request that is passed on unread.
//!
//! - [`Fleet`] keeps what an instance saw of each server: its own calls under way, answers and failures.
//! - [`plain`] chooses among servers that answer requests.
//! - [`engine`] chooses among engines by tokens in line and by the parts of prompts they keep.
//! - [`Reachability`] tells which failure domains are cut off.

pub mod configs;
pub mod engine;
pub mod fleet;
pub mod plain;
pub mod reachability;

pub use self::{fleet::Fleet, reachability::Reachability};

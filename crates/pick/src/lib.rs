//! Selection of a backend server for a request that is forwarded without parsing its body.
//!
//! - [`Fleet`] keeps an instance's load estimates for each server: calls in flight, latency and failures.
//! - [`plain`] selects among servers that answer requests.
//! - [`engine`] selects among engines by queued tokens and by the prompt parts in their caches.
//! - [`Links`] tracks whether the instance reaches servers at all.
//! - [`speed`] learns how fast each server is relative to its pool.
//! - [`Reachability`] tracks which failure domains are unreachable.

pub mod configs;
pub mod engine;
pub mod fleet;
pub mod links;
pub mod plain;
pub mod reachability;
pub mod speed;

pub use self::{fleet::Fleet, links::Links, reachability::Reachability};

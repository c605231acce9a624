//! Configuration of claims, owners and projections, with defaults.

mod claim;
mod owner;
mod projection;

pub use self::{claim::Claim, owner::Owner, projection::Error, projection::Projection};

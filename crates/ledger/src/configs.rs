//! Configuration of each part, with its defaults.

mod claim;
mod owner;
mod projection;

pub use self::{claim::Claim, owner::Owner, projection::Error, projection::Projection};

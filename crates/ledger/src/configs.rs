//! Configuration of each part, with its defaults.

mod claim;
mod fold;
mod owner;

pub use self::{claim::Claim, fold::Error, fold::Fold, owner::Owner};

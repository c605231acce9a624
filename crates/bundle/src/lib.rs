//! Configuration: types, checks, signatures and the fold over the log.

pub mod content;

pub use content::Bundle;

//! Configuration of retries.

pub mod budget;
pub mod hedge;
pub mod silence;
pub mod suspect;

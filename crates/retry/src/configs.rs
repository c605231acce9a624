//! Configuration of retries.

pub mod budget;
pub mod hedge;
pub mod suspect;
pub mod timeout;

//! Runs the programs as separate processes on loopback, for tests that make them fail.
//!
//! A test builds a [`scene::Scene`], sends requests with a [`caller::Caller`], breaks something,
//! and checks what the fake servers counted.

pub mod caller;
pub mod expect;
pub mod fakes;
pub mod link;
pub mod metrics;
pub mod poll;
pub mod process;
pub mod programs;
pub mod scene;
pub mod settle;
pub mod view;

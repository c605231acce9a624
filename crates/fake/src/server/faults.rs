//! Faults of a backend server, which can be changed while it runs.

use serde::{Deserialize, Serialize};

/// Faults of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with 503 without having run.
    pub down: bool,
    /// Every connection with a call is closed before its call is processed.
    pub refuse: bool,
    /// The server is leaving: it refuses new calls and says so in a header.
    pub leaving: bool,
    /// Multiplies the time that work takes.
    pub slow_factor: f64,
    /// Added to the time that work takes, in milliseconds.
    pub slow_ms: u64,
    /// Added between the end of the work and the answer, in milliseconds.
    pub late_answers_ms: u64,
    /// Requests on connections open when this is set are never answered; the setting itself
    /// returns to false at once.
    pub silence_open: bool,
    /// Calls are read, not run and never answered.
    pub silent: bool,
    /// Calls are run and never answered.
    pub silent_after_run: bool,
    /// Calls are read, not run, and their connections closed.
    pub close_after_read: bool,
    /// Calls are run and their connections closed without an answer.
    pub close_after_run: bool,
    /// The connection of a stream is closed after this many tokens.
    pub cut_stream_after: Option<u64>,
    /// A stream stops sending after this many tokens and stays open.
    pub stall_stream_after: Option<u64>,
    /// A call whose body contains this text crashes the server.
    pub crash_on: Option<String>,
    /// How long a server hangs before it crashes, in milliseconds.
    pub crash_after_ms: u64,
    /// A call whose body contains this text is refused with 422.
    pub refuse_on: Option<String>,
    /// Answers name another attempt.
    pub cross_answers: bool,
    /// Events of a stream after this many tokens name another attempt; its response header names
    /// the right one.
    pub cross_stream_after: Option<u64>,
    /// Answers on connections that carried a call before name another attempt.
    pub cross_reused: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            refuse: false,
            leaving: false,
            slow_factor: 1.0,
            slow_ms: 0,
            late_answers_ms: 0,
            silence_open: false,
            silent: false,
            silent_after_run: false,
            close_after_read: false,
            close_after_run: false,
            cut_stream_after: None,
            stall_stream_after: None,
            crash_on: None,
            crash_after_ms: 0,
            refuse_on: None,
            cross_answers: false,
            cross_stream_after: None,
            cross_reused: false,
        }
    }
}

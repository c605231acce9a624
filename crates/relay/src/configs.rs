//! Settings of request forwarding.

use core::time::Duration;

/// Settings with their defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The largest answer that is buffered until it is complete, in bytes.
    pub max_buffered_bytes: usize,
    /// The largest number of bytes that are held for callers: requests, answers that are buffered until they, or an event of
    /// theirs, are complete, and answers that slow callers have not taken.
    pub max_kept_bytes: usize,
    /// The size up to which an answer is buffered whatever others take, in bytes.
    pub small_answer_bytes: usize,
    /// The number of unreachable servers after which a request is refused.
    pub max_unreachable: usize,
    /// The shortest silence before the head of an answer after which another server is tried.
    pub min_attempt_timeout: Duration,
    /// The longest silence within a stream after which another server is tried; a sound server may be silent for a second
    /// or so.
    pub max_stream_silence: Duration,
    /// The largest event of a stream, in bytes.
    pub max_event_bytes: usize,
    /// The number of parts without a complete event from which on bytes that arrive over a long time are no event.
    pub max_event_parts: usize,
    /// The longest time from the head to the end of an answer that isn't a stream after which another server is tried; a
    /// sound server may be silent for a second or so.
    pub max_body_time: Duration,
    /// The shortest retry delay that a refused caller is told.
    pub min_retry_after: Duration,
    /// The retry delay for requests with a part that crashes servers. A wrong verdict is taken back within about this time.
    pub harmful_retry_after: Duration,
    /// How long a server must have been writing an answer for the run to speak for the parts of its prompt.
    pub min_writing_time: Duration,
    /// The time over which the retries of refused callers are spread.
    pub retry_after_jitter: Duration,
    /// The smallest and largest share of the time left after which a caller that was refused for the load on stages
    /// retries: bursts last seconds, and the platform's callers wait for at most a third of their time left.
    pub overload_retry_share: (f64, f64),
    /// The cost of fetching results from another failure domain, in milliseconds of waiting for an engine.
    pub remote_results_penalty_ms: f64,
    /// The size from which results attract a request to an engine in their domain, in bytes.
    pub large_result_bytes: u64,
    /// The maximum number of calls that a piece of a stage may be part of.
    pub max_piece_attempts: u32,
    /// How long a stage call that is overdue still goes on; a sound server may be silent for a second or so.
    pub max_stage_silence: Duration,
    /// The longest pause that a server may ask for.
    pub max_pause: Duration,
    /// The longest time over which the first requests after a pause are spread; at most a quarter of the pause.
    pub max_pause_spread: Duration,
    /// How long the release of results waits for the end of a server's pause; results expire by themselves after some
    /// seconds.
    pub max_release_delay: Duration,
    /// The number of requests without failures per logged one.
    pub log_sample_interval: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_buffered_bytes: 4 * 1024 * 1024,
            max_kept_bytes: 32 * 1024 * 1024,
            small_answer_bytes: 64 * 1024,
            max_unreachable: 4,
            min_attempt_timeout: Duration::from_millis(400),
            max_stream_silence: Duration::from_secs(2),
            max_event_bytes: 1024 * 1024,
            max_event_parts: 16,
            max_body_time: Duration::from_secs(2),
            min_retry_after: Duration::from_millis(150),
            harmful_retry_after: Duration::from_secs(2),
            min_writing_time: Duration::from_secs(1),
            retry_after_jitter: Duration::from_millis(500),
            overload_retry_share: (0.2, 0.33),
            remote_results_penalty_ms: 60.0,
            large_result_bytes: 500_000,
            max_piece_attempts: 3,
            max_stage_silence: Duration::from_secs(2),
            max_pause: Duration::from_secs(600),
            max_pause_spread: Duration::from_millis(500),
            max_release_delay: Duration::from_secs(4),
            log_sample_interval: 64,
        }
    }
}

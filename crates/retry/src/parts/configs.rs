//! Settings of the judgement of parts.

use core::time::Duration;

/// The limits and times by which parts are judged.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The number of crashed servers at which a part without good runs is harmful.
    pub min_servers: usize,
    /// The number of different requests with such a part that must have been at them; one may crash several.
    pub min_requests: usize,
    /// The number of times apart at which they must have crashed.
    pub min_times: usize,
    /// The number of crashed servers at which a part with good runs is harmful, or one of several that came together.
    pub max_servers: usize,
    /// The number of crashed runs of a part with good runs that must have begun after its first crash.
    pub min_later_crashes: usize,
    /// How long a server must have been writing an answer when it crashed for the request not to be the cause.
    pub min_writing_time: Duration,
    /// How improbable it must be that a part with good runs was at so many crashes by chance, as a negative natural
    /// logarithm.
    pub min_excess: f64,
    /// The difference up to which crashes count as being at the same time; the clocks of instances differ.
    pub same_time: Duration,
    /// The number of servers that crash at the same time from which on a part is the cause only if it was at all of them.
    pub min_wave: usize,
    /// How long a verdict is taken back if later records of the same crashes show another cause.
    pub review_time: Duration,
    /// The time after the first crash of such a part in which another run may still speak for it.
    pub defense_time: Duration,
    /// How long good runs and crashes are remembered, and a harmful part after the last request with it.
    pub retention: Duration,
    /// The delays after which one request with a harmful part is tried: the first after the verdict, each other one
    /// after the trial before. After the last, none is tried while such requests come.
    pub trial_delays: [Duration; 3],
    /// The interval at which other instances are told of a harmful part while requests with it come.
    pub harmful_interval: Duration,
    /// The shortest time between two reports of a part that runs well though servers crash.
    pub sound_interval: Duration,
    /// The largest number of crashes that are remembered.
    pub max_records: usize,
    /// The largest number of parts with good runs that are remembered.
    pub max_sound: usize,
    /// The largest number of harmful parts.
    pub max_harmful: usize,
    /// The largest number of parts of a request that are judged.
    pub max_parts: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            min_servers: 4,
            min_requests: 2,
            min_times: 3,
            max_servers: 5,
            min_later_crashes: 2,
            min_writing_time: Duration::from_millis(500),
            min_excess: 0.5,
            same_time: Duration::from_millis(100),
            min_wave: 3,
            review_time: Duration::from_secs(5),
            defense_time: Duration::from_secs(2),
            retention: Duration::from_secs(3_600),
            trial_delays: [
                Duration::from_secs(2),
                Duration::from_secs(60),
                Duration::from_secs(3_600),
            ],
            harmful_interval: Duration::from_secs(60),
            sound_interval: Duration::from_secs(2),
            max_records: 512,
            max_sound: 4_096,
            max_harmful: 256,
            max_parts: 16,
        }
    }
}

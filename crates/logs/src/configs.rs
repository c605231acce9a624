//! Settings of the log.

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The lowest level that is written for the project's own areas.
    pub level: log::LevelFilter,
    /// The project's own areas; lines of libraries are written from warnings on.
    pub targets: Vec<&'static str>,
    /// Lines a second; more are dropped and counted.
    pub lines_per_second: u32,
    /// Lines that wait for a slow reader; more are dropped and counted.
    pub queue_capacity: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            targets: vec![
                "config", "ingress", "instance", "peers", "relay", "servers", "stages", "store",
            ],
            lines_per_second: 200,
            queue_capacity: 1_024,
        }
    }
}

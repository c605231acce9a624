//! Configuration of logging.

/// Log levels and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The least severe level that is written for the project's own targets.
    pub level: log::LevelFilter,
    /// The project's own log targets; other targets, such as libraries, are limited to warnings and errors.
    pub targets: Vec<&'static str>,
    /// The maximum number of lines per second; further lines are dropped and counted.
    pub lines_per_second: u32,
    /// The maximum number of lines that wait to be written; further lines are dropped and counted.
    pub queue_capacity: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            targets: vec![
                "config", "http", "ingress", "instance", "peers", "relay", "servers", "stages",
                "store",
            ],
            lines_per_second: 200,
            queue_capacity: 1_024,
        }
    }
}

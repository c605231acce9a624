//! Structured, rate-limited and non-blocking logging to standard output.
//!
//! Each line is a JSON object with `time`, `level`, `area`, `message` and the key-value pairs of the record.
//! Lines over [`Config::lines_per_second`](configs::Config) and lines that the reader of standard output is too
//! slow to accept are dropped; their number follows the next line that is written.

pub mod configs;
mod line;
mod writer;

use std::io::{self, Write};

pub use configs::Config;
pub use line::format;
pub use writer::Writer;

/// Starts logging to standard output and returns the writer, which counts dropped lines.
///
/// A second call in the same process leaves the global logger as it is and returns a separate writer.
///
/// # Examples
///
/// ```
/// let writer = logs::start(logs::Config::default());
/// log::info!(target: "start", version = 1; "started");
/// assert_eq!(writer.dropped_lines(), 0);
/// ```
pub fn start(config: Config) -> Writer {
    start_with_output(config, io::stdout())
}

/// Starts logging to an output.
pub fn start_with_output(config: Config, output: impl Write + Send + 'static) -> Writer {
    let writer = Writer::spawn(&config, output);
    let queue = writer.clone();
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .format(|out, message, record| {
            let text = message.to_string();
            out.finish(format_args!("{}", line::format(&text, record)));
        })
        .chain(fern::Output::call(move |record| {
            queue.push(record.args().to_string());
        }));
    let dispatch = config.targets.iter().fold(dispatch, |dispatch, target| {
        dispatch.level_for(*target, config.level)
    });
    if dispatch.apply().is_err() {
        writer.push("{\"message\":\"logging has already been started\"}".to_owned());
    }
    writer
}

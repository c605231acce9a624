//! Structured log lines on standard output, bounded in number and never blocking.
//!
//! Each line is a JSON object with `time`, `level`, `area`, `message` and the fields of the decision.
//! Lines over [`Config::lines_per_second`](configs::Config) and lines that the reader of standard output is too
//! slow for are dropped; the next line that is written tells how many.

pub mod configs;
mod line;
mod writer;

use std::io::{self, Write};

pub use configs::Config;
pub use line::format;
pub use writer::Writer;

/// Starts logging to standard output and returns the writer, which counts dropped lines.
///
/// A second start in one process changes nothing but returns a writer of its own.
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

/// Starts logging to any output.
pub fn start_with_output(config: Config, output: impl Write + Send + 'static) -> Writer {
    let writer = Writer::spawn(&config, output);
    let lines = writer.clone();
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .format(|out, message, record| {
            let text = message.to_string();
            out.finish(format_args!("{}", line::format(&text, record)));
        })
        .chain(fern::Output::call(move |record| {
            lines.push(record.args().to_string());
        }));
    let dispatch = config.targets.iter().fold(dispatch, |dispatch, target| {
        dispatch.level_for(*target, config.level)
    });
    if dispatch.apply().is_err() {
        writer.push("{\"message\":\"logging was started before\"}".to_owned());
    }
    writer
}

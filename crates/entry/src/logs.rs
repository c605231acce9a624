//! Logging: one line for each change of state. Repeated events are counted in the metrics instead.

use std::io;

use serde_json::json;

pub use log::LevelFilter;

use crate::settings::{Format, Settings};

/// Starts logging to standard error; later calls have no effect.
///
/// # Examples
///
/// ```
/// use entry::settings::Format;
/// entry::logs::start(Format::Json, log::LevelFilter::Info);
/// ```
pub fn start(format: Format, level: log::LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("entry", level)
        .format(move |out, message, record| {
            let stamp = stamp();
            let (level, target) = (record.level(), record.target());
            match format {
                Format::Json => {
                    let text = message.to_string();
                    let line = json!({
                        "time": stamp, "level": level.as_str(), "target": target, "message": text,
                    });
                    out.finish(format_args!("{line}"));
                }
                Format::Text => {
                    out.finish(format_args!("{stamp} {level:5} {target}: {message}"));
                }
            }
        })
        .chain(io::stderr());
    // Several instances in one process share the logger of the first one.
    let _already_started = dispatch.apply();
}

/// Starts logging as configured by the settings.
pub(crate) fn start_from(settings: &Settings) {
    start(settings.log_format, settings.log_level);
}

fn stamp() -> String {
    time::OffsetDateTime::now_utc()
        .format(&time::format_description::well_known::Rfc3339)
        .unwrap_or_default()
}

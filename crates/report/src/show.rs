//! Output formats of the report.

mod html;
mod plot;
mod text;

use base::Stamp;
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::{configs::Format, fetch::Reading};

/// The maximum number of rows of a list.
const MAX_ROWS: usize = 20;

/// Returns the report in an output format.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Stamp};
/// use report::{Reading, configs::Format, show};
/// let tracker = burn::Tracker::new(Incarnation::new("entry-1", Stamp::default()));
/// let reading = Reading { report: tracker.report(Stamp::default()), silent: Vec::new() };
/// assert!(show::print(&reading, Format::Html).starts_with("<!DOCTYPE html>"));
/// ```
pub fn print(reading: &Reading, format: Format) -> String {
    match format {
        Format::Html => html::page(reading),
        // Serialization cannot fail, since every map has string keys.
        Format::Json => serde_json::to_string(reading).unwrap_or_default(),
        Format::Text => text::lines(reading),
    }
}

/// Formats a time as RFC 3339 in UTC, to the second.
fn time_of(stamp: Stamp) -> String {
    let seconds = i64::try_from(stamp.as_millis() / 1_000).unwrap_or(i64::MAX);
    OffsetDateTime::from_unix_timestamp(seconds)
        .ok()
        .and_then(|time| time.format(&Rfc3339).ok())
        .unwrap_or_else(|| format!("{seconds} s"))
}

/// Formats a share as a percentage.
fn percent(share: f64) -> String {
    format!("{:.3}%", share * 100.0)
}

/// Formats the attainment of a window.
fn attained(window: &burn::window::Window) -> String {
    match window.total {
        0 => "no requests".to_owned(),
        total => format!("{} of {total} requests in time", percent(window.attainment)),
    }
}

/// Formats millionths of the operators' cost unit.
fn units(micros: u64) -> String {
    format!("{:.3}", micros as f64 / 1e6)
}

fn blame_of(spent: &burn::report::BlameCount) -> String {
    match &spent.blame.stage {
        Some(stage) => format!("{} ({stage})", spent.blame.cause.as_str()),
        None => spent.blame.cause.as_str().to_owned(),
    }
}

fn origin_of(origin: &burn::report::Origin) -> String {
    let missing = match origin.missing {
        0 => String::new(),
        count => format!(", {count} buckets missing"),
    };
    format!(
        "{} from {} to {}{missing}",
        origin.incarnation,
        time_of(origin.since),
        time_of(origin.until)
    )
}

//! The audit trail: the actions of operators and their outcomes, by the log.

use base::{Digest, Name, Stamp};
use bundle::{Event, Record, record::Note};
use platform::{Log, log};
use serde::Serialize;

use crate::{Error, View};

/// One action of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The offset of the record.
    pub offset: u64,
    /// When it was appended, by the clock of the process that appended it; none if the record has no note.
    pub at_ms: Option<Stamp>,
    /// The program or instance that appended it; none if the record has no note.
    pub by: Option<Name>,
    /// The author that the record names; verified by its signature unless the record was refused.
    pub who: Name,
    /// The kind of action.
    pub act: Act,
    /// The bundle.
    pub digest: Option<Digest>,
    /// The outcome.
    pub outcome: Outcome,
    /// A description of the outcome.
    pub detail: String,
}

/// The kind of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// Proposed a bundle.
    Publish,
    /// Put a bundle in force.
    RollOut,
    /// Signed a proposal off.
    SignOff,
    /// Appended a text that is not a valid record.
    Unreadable,
}

/// The outcome of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It took effect.
    Accepted,
    /// It was rejected.
    Refused,
    /// It repeats an earlier record.
    Repeated,
    /// The records that it depends on were dropped from the log.
    Unknown,
}

/// A page of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Page {
    /// The actions, in the order of the log.
    pub entries: Vec<Entry>,
    /// The offset at which the next page starts; none after the last page.
    pub next: Option<u64>,
}

/// Reads at most `limit` actions from an offset on.
///
/// The log is read from its first record, since the effect of a record depends on those before it.
///
/// # Errors
///
/// A read failed.
///
/// # Examples
///
/// ```no_run
/// # async fn run(log: platform::Http, roots: Vec<base::Digest>) -> Result<(), ctl::Error> {
/// let page = ctl::audit::read(&log, &roots, 0, 100).await?;
/// println!("{} actions", page.entries.len());
/// # Ok(()) }
/// ```
pub async fn read<L: Log>(
    log: &L,
    roots: &[Digest],
    from: u64,
    limit: usize,
) -> Result<Page, Error> {
    let mut entries = Vec::new();
    View::read_with(log, roots, |record, events| {
        // One more entry than the limit is read, to get the offset of the next page.
        if record.offset >= from && entries.len() <= limit {
            entries.extend(entry(record, events));
        }
    })
    .await?;
    let next = entries.get(limit).map(|entry: &Entry| entry.offset);
    entries.truncate(limit);
    Ok(Page { entries, next })
}

/// Returns the action of a record; none if the record was written by an instance.
fn entry(record: &log::Record, events: &[Event]) -> Option<Entry> {
    let (act, who, digest) = match Record::parse(&record.body) {
        Ok(Record::Publish(publish)) => (Act::Publish, publish.author, Some(publish.digest)),
        Ok(Record::SignOff(sign_off)) => (Act::SignOff, sign_off.signer, Some(sign_off.digest)),
        Ok(Record::RollOut(order)) => (Act::RollOut, order.author, Some(order.digest)),
        Ok(Record::Carry(_)) => return None,
        Err(_) => (Act::Unreadable, Name::default(), None),
    };
    let event = events
        .iter()
        .find(|event| event.offset() == Some(record.offset));
    let outcome = match event {
        None => Outcome::Unknown,
        Some(Event::Refused { .. }) => Outcome::Refused,
        Some(Event::Repeated { .. }) => Outcome::Repeated,
        Some(_) => Outcome::Accepted,
    };
    let note = Note::parse(&record.body);
    Some(Entry {
        offset: record.offset,
        at_ms: note.as_ref().map(|note| note.at),
        by: note.map(|note| note.by),
        who,
        act,
        digest,
        outcome,
        detail: event.map(ToString::to_string).unwrap_or_default(),
    })
}

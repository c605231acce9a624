//! Who did what, when, and what came of it, as the log tells.

use base::{Digest, Name, Stamp};
use bundle::{Event, Record, record::Note};
use platform::{Log, log};
use serde::Serialize;

use crate::{Error, View};

/// One operator's act.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The offset of the record.
    pub offset: u64,
    /// When it was appended, by the clock of the one who did; none if the record doesn't say.
    pub at_ms: Option<Stamp>,
    /// The program or the instance that appended it; none if the record doesn't say.
    pub by: Option<Name>,
    /// Who signed the record; proved by the signature unless it was refused.
    pub who: Name,
    /// What they did.
    pub act: Act,
    /// The bundle.
    pub digest: Option<Digest>,
    /// What came of it.
    pub outcome: Outcome,
    /// The same in words.
    pub detail: String,
}

/// What an operator did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// Proposed a bundle.
    Publish,
    /// Put a bundle in force.
    RollOut,
    /// Signed a proposal off.
    SignOff,
    /// Wrote what is no record.
    Unreadable,
}

/// What came of an act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It counts.
    Accepted,
    /// It counts for nothing.
    Refused,
    /// The log said the same before.
    Repeated,
    /// The records that would tell are gone.
    Unknown,
}

/// Acts that the log keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Page {
    /// The acts, in the order of the log.
    pub entries: Vec<Entry>,
    /// The offset that the next page begins at; none after the last page.
    pub next: Option<u64>,
}

/// Reads at most `limit` acts from an offset on.
///
/// The log is read from its head, since what a record did depends on those before it.
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
/// println!("{} acts", page.entries.len());
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
        // One more than asked for tells where the next page begins.
        if record.offset >= from && entries.len() <= limit {
            entries.extend(entry(record, events));
        }
    })
    .await?;
    let next = entries.get(limit).map(|entry: &Entry| entry.offset);
    entries.truncate(limit);
    Ok(Page { entries, next })
}

/// Returns the act that a record of the log is, unless it is an instance's own.
fn entry(line: &log::Record, events: &[Event]) -> Option<Entry> {
    let (act, who, digest) = match Record::parse(&line.body) {
        Ok(Record::Publish(publish)) => (Act::Publish, publish.author, Some(publish.digest)),
        Ok(Record::SignOff(sign_off)) => (Act::SignOff, sign_off.signer, Some(sign_off.digest)),
        Ok(Record::RollOut(order)) => (Act::RollOut, order.author, Some(order.digest)),
        Ok(Record::Carry(_)) => return None,
        Err(_) => (Act::Unreadable, Name::default(), None),
    };
    let event = events
        .iter()
        .find(|event| event.offset() == Some(line.offset));
    let outcome = match event {
        None => Outcome::Unknown,
        Some(Event::Refused { .. }) => Outcome::Refused,
        Some(Event::Repeated { .. }) => Outcome::Repeated,
        Some(_) => Outcome::Accepted,
    };
    let note = Note::parse(&line.body);
    Some(Entry {
        offset: line.offset,
        at_ms: note.as_ref().map(|note| note.at),
        by: note.map(|note| note.by),
        who,
        act,
        digest,
        outcome,
        detail: event.map(ToString::to_string).unwrap_or_default(),
    })
}

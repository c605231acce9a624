//! The current state of the configuration by the log.

use base::{Digest, Name};
use bundle::{
    Projection, Record, STREAM, approval::Proposal, document::Head, event::Event, sign::Key,
};
use platform::{
    Log,
    log::{self, Page},
};

use crate::Error;

/// The page sizes tried in turn, in records. A smaller one is used if a read fails, since a page of whole
/// bundles and carries can exceed the size limit of an answer.
const PAGE_SIZES: [usize; 3] = [200, 8, 1];

/// The current state of the configuration by the log.
#[derive(Debug)]
pub struct View {
    /// The state after the last record.
    pub projection: Projection,
    /// The effects of all records, in the order of the log.
    pub events: Vec<Event>,
}

impl View {
    /// Reads the log to its end.
    ///
    /// # Errors
    ///
    /// A read failed.
    pub async fn read<L: Log>(log: &L, roots: &[Digest]) -> Result<Self, Error> {
        Self::read_with(log, roots, |_, _| ()).await
    }

    /// Reads the log to its end and passes each record with its effects to a closure.
    ///
    /// # Errors
    ///
    /// A read failed.
    pub async fn read_with<L: Log>(
        log: &L,
        roots: &[Digest],
        mut visit: impl FnMut(&log::Record, &[Event]),
    ) -> Result<Self, Error> {
        let mut projection = Projection::new(roots.to_vec());
        let mut events = Vec::new();
        loop {
            let page = read_page(log, projection.next())
                .await
                .map_err(|error| Error::Outage(error.to_string()))?;
            projection.skip_to(page.first);
            for record in &page.records {
                let effects = projection.apply_text(record.offset, &record.body);
                visit(record, &effects);
                events.extend(effects);
                // In an instance this runs on the thread that serves callers' requests.
                tokio::task::yield_now().await;
            }
            if page.records.is_empty() || projection.next() >= page.end {
                return Ok(Self { projection, events });
            }
        }
    }

    /// Returns the view if it is synced.
    ///
    /// # Errors
    ///
    /// The first records of the log were dropped and no `Carry` has the state.
    pub fn require_synced(self) -> Result<Self, Error> {
        if self.projection.is_synced() {
            Ok(self)
        } else {
            Err(Error::Truncated)
        }
    }

    /// Returns the effect that a record would have if it were the next one.
    ///
    /// # Errors
    ///
    /// It would be rejected.
    pub fn preview(&self, record: &Record) -> Result<Option<Event>, Error> {
        let mut preview = self.projection.clone();
        match preview.apply(preview.next(), record).into_iter().next() {
            Some(Event::Refused { fault, .. }) => Err(Error::Refused(fault)),
            event => Ok(event),
        }
    }

    /// Returns the head whose signers may approve a proposal.
    pub(crate) fn authority(&self, proposal: &Proposal) -> Result<Head, Error> {
        match self.projection.head() {
            Some(head) => Ok(head.clone()),
            None => proposal
                .document
                .head()
                .map_err(|error| Error::Usage(error.to_string())),
        }
    }

    /// Returns the event of the record at an offset.
    pub fn event_at(&self, offset: u64) -> Option<&Event> {
        self.events
            .iter()
            .find(|event| event.offset() == Some(offset))
    }
}

/// Reads a page of records from an offset on, with the largest page size for which the read succeeds.
pub(crate) async fn read_page<L: Log>(log: &L, from: u64) -> Result<Page, log::Error> {
    let mut result = Err(log::Error::Unanswered(String::new()));
    for limit in PAGE_SIZES {
        result = log.read(STREAM, from, limit).await;
        if result.is_ok() {
            break;
        }
    }
    result
}

/// Returns the name of the signer with a key.
pub(crate) fn name_of(head: &Head, key: &Key) -> Result<Name, Error> {
    let public = key.public();
    head.signer_with(&public)
        .map(|signer| signer.name.clone())
        .ok_or_else(|| Error::Usage(format!("no signer in force has the public key {public}")))
}

//! The state of the configuration as the log tells it now.

use base::{Digest, Name};
use bundle::{
    Projection, Record, STREAM, approval::Proposal, document::Head, event::Event, sign::Key,
};
use platform::{
    Log,
    log::{self, Page},
};

use crate::Error;

/// Records read at once; fewer where an answer with so many doesn't come through, since whole
/// bundles and carries can be larger than an answer may be.
const PAGES: [usize; 3] = [200, 8, 1];

/// The state of the configuration as the log tells it now.
#[derive(Debug)]
pub struct View {
    /// The state.
    pub projection: Projection,
    /// What each record did, in the order of the log.
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

    /// Reads the log to its end and shows each record with what it did.
    ///
    /// # Errors
    ///
    /// A read failed.
    pub async fn read_with<L: Log>(
        log: &L,
        roots: &[Digest],
        mut show: impl FnMut(&log::Record, &[Event]),
    ) -> Result<Self, Error> {
        let mut projection = Projection::new(roots.to_vec());
        let mut events = Vec::new();
        loop {
            let page = read_page(log, projection.next())
                .await
                .map_err(|error| Error::Outage(error.to_string()))?;
            projection.skip_to(page.first);
            for record in &page.records {
                let done = projection.apply_text(record.offset, &record.body);
                show(record, &done);
                events.extend(done);
                // In an instance, callers' requests are served on the same thread.
                tokio::task::yield_now().await;
            }
            if page.records.is_empty() || projection.next() >= page.end {
                return Ok(Self { projection, events });
            }
        }
    }

    /// Returns the view if the state is known.
    ///
    /// # Errors
    ///
    /// The log's head is gone and no record tells the state.
    pub fn require_synced(self) -> Result<Self, Error> {
        if self.projection.is_synced() {
            Ok(self)
        } else {
            Err(Error::Truncated)
        }
    }

    /// Tells what a record would do if it were the next one.
    ///
    /// # Errors
    ///
    /// It would count for nothing.
    pub fn preview(&self, record: &Record) -> Result<Option<Event>, Error> {
        let mut trial = self.projection.clone();
        match trial.apply(trial.next(), record).into_iter().next() {
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

/// Reads records from an offset on, as many at once as come through.
pub(crate) async fn read_page<L: Log>(log: &L, from: u64) -> Result<Page, log::Error> {
    let mut result = Err(log::Error::Unanswered(String::new()));
    for limit in PAGES {
        result = log.read(STREAM, from, limit).await;
        if result.is_ok() {
            break;
        }
    }
    result
}

/// Returns the name under which a key may sign.
pub(crate) fn name_of(head: &Head, key: &Key) -> Result<Name, Error> {
    let public = key.public();
    head.signer_with(&public)
        .map(|signer| signer.name.clone())
        .ok_or_else(|| Error::Usage(format!("no signer in force has the public key {public}")))
}

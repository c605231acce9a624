//! A log in memory with injected faults.

use std::cell::{Cell, RefCell};

use platform::log::{Error, Log, Page, Record};

/// A fault injected into the next append.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No fault.
    #[default]
    None,
    /// The record is appended and the answer is lost.
    AnswerLost,
    /// There is no answer, and the record is appended after the next read.
    Late,
    /// There is no answer, and the record is never appended.
    Lost,
    /// The append is refused.
    Refused,
}

/// A log in memory.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    pub(crate) records: RefCell<Vec<String>>,
    pub(crate) appends: Cell<usize>,
    pub(crate) failure: Cell<Failure>,
    /// A record of another operator that is appended just before the next one.
    pub(crate) overtaking: RefCell<Option<String>>,
    /// A record that is appended after the next read.
    pub(crate) late: RefCell<Option<String>>,
    /// The number of reads that still succeed; none if all do.
    pub(crate) reads: Cell<Option<usize>>,
    /// The maximum size of an answer in bytes; 0 for no limit.
    pub(crate) max_answer_bytes: Cell<usize>,
    /// The lowest offset kept.
    pub(crate) first: Cell<usize>,
}

impl Log for Memory {
    async fn append(&self, _stream: &str, body: String) -> Result<u64, Error> {
        self.appends.set(self.appends.get() + 1);
        let failure = self.failure.take();
        if failure == Failure::Refused {
            return Err(Error::Refused("down".into()));
        }
        let mut records = self.records.borrow_mut();
        records.extend(self.overtaking.take());
        match failure {
            Failure::Lost => {}
            Failure::Late => *self.late.borrow_mut() = Some(body),
            _ => records.push(body),
        }
        match failure {
            Failure::None => Ok(records.len() as u64 - 1),
            _ => Err(Error::Unanswered("cut".into())),
        }
    }

    async fn read(&self, _stream: &str, from: u64, limit: usize) -> Result<Page, Error> {
        if let Some(left) = self.reads.get() {
            let left = left
                .checked_sub(1)
                .ok_or_else(|| Error::Unanswered("down".into()))?;
            self.reads.set(Some(left));
        }
        let records = self.records.borrow();
        let from = self.first.get().max(from as usize);
        let kept = records.iter().enumerate().skip(from).take(limit);
        let bytes: usize = kept.clone().map(|(_, body)| body.len()).sum();
        let limit = self.max_answer_bytes.get();
        if limit > 0 && bytes > limit {
            return Err(Error::Unanswered("too long".into()));
        }
        let page = Page {
            first: self.first.get() as u64,
            end: records.len() as u64,
            records: kept
                .map(|(at, body)| Record {
                    offset: at as u64,
                    body: body.clone(),
                })
                .collect(),
        };
        drop(records);
        self.records.borrow_mut().extend(self.late.take());
        Ok(page)
    }
}

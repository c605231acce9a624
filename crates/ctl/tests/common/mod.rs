//! A log in memory that loses answers when told to.

use std::cell::{Cell, RefCell};

use platform::log::{Error, Log, Page, Record};

/// What the log does to the next append.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mishap {
    /// Nothing.
    #[default]
    None,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// There is no answer, and it takes effect after the next read.
    Late,
    /// It never takes effect and there is no answer.
    Lost,
    /// It is refused.
    Refused,
}

/// A log in memory.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    pub(crate) records: RefCell<Vec<String>>,
    pub(crate) appends: Cell<usize>,
    pub(crate) mishap: Cell<Mishap>,
    /// A record of another operator that gets in just before the next append.
    pub(crate) ahead: RefCell<Option<String>>,
    /// A record that is on its way.
    pub(crate) late: RefCell<Option<String>>,
    /// Reads that still succeed; none for all.
    pub(crate) reads: Cell<Option<usize>>,
    /// The most bytes that an answer may have; 0 for any number.
    pub(crate) answer_bytes: Cell<usize>,
    /// The lowest offset kept.
    pub(crate) first: Cell<usize>,
}

impl Log for Memory {
    async fn append(&self, _stream: &str, body: String) -> Result<u64, Error> {
        self.appends.set(self.appends.get() + 1);
        let mishap = self.mishap.take();
        if mishap == Mishap::Refused {
            return Err(Error::Refused("down".into()));
        }
        let mut records = self.records.borrow_mut();
        records.extend(self.ahead.take());
        match mishap {
            Mishap::Lost => {}
            Mishap::Late => *self.late.borrow_mut() = Some(body),
            _ => records.push(body),
        }
        match mishap {
            Mishap::None => Ok(records.len() as u64 - 1),
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
        let limit = self.answer_bytes.get();
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

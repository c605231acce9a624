//! One partition of deferred requests, projected from the log.

use core::cell::{Cell, RefCell};

use base::{Code, Tick};
use defer::{Fold, Record, Shift, State, Task, configs::Config, fold::Ended, shift, task};
use flow::Answer;
use platform::{Http, Log as _, log};

/// The maximum number of records in one read of the log.
const MAX_READ_RECORDS: usize = 200;

/// The number of reads after an append before its record counts as not found.
const MAX_FIND_READS: usize = 5;

/// One partition of deferred requests.
pub(super) struct Partition {
    pub(super) number: u16,
    fold: RefCell<Fold>,
    is_scanning: Cell<bool>,
    platform: Http,
    shift: RefCell<Shift>,
    stream: String,
}

impl Partition {
    pub(super) fn new(number: u16, platform: Http, config: &Config) -> Self {
        Self {
            number,
            fold: RefCell::new(Fold::open(config.keep)),
            is_scanning: Cell::new(false),
            platform,
            shift: RefCell::new(Shift::open(config.clone())),
            stream: task::stream(number),
        }
    }

    /// Marks the partition as being scanned; returns `false` if it already is.
    pub(super) fn begin_scan(&self) -> bool {
        !self.is_scanning.replace(true)
    }

    pub(super) fn end_scan(&self) {
        self.is_scanning.set(false);
    }

    /// Reads to the end of the log.
    pub(super) async fn refresh(&self) -> Result<(), log::Error> {
        loop {
            let from = self.fold.borrow().next();
            let page = self
                .platform
                .read(&self.stream, from, MAX_READ_RECORDS)
                .await?;
            let mut fold = self.fold.borrow_mut();
            fold.begin(page.first);
            for record in &page.records {
                fold.apply(record.offset, &record.body);
            }
            if fold.next() >= page.end || page.records.is_empty() {
                return Ok(());
            }
        }
    }

    pub(super) async fn append(&self, body: String) -> Result<u64, log::Error> {
        self.platform.append(&self.stream, body).await
    }

    /// Reads until a task is in the log; returns `false` if it is not there after a few reads.
    pub(super) async fn find(&self, task: &Task) -> bool {
        for _ in 0..MAX_FIND_READS {
            if self.refresh().await.is_ok() && self.fold.borrow().state(task).is_some() {
                return true;
            }
        }
        false
    }

    pub(super) fn state(&self, task: &Task) -> Option<State> {
        self.fold.borrow().state(task).cloned()
    }

    /// Reads the record at an offset, if the log still has it.
    pub(super) async fn record(&self, offset: u64) -> Option<Record> {
        let page = self.platform.read(&self.stream, offset, 1).await.ok()?;
        let record = page
            .records
            .first()
            .filter(|record| record.offset == offset)?;
        Record::parse(&record.body).ok()
    }

    /// Returns the answer that a task ended with.
    pub(super) async fn answer(&self, ended: &Ended) -> Answer {
        let Some(Record::Ended(ending)) = self.record(ended.offset).await else {
            let answer = Answer::refusal(Code::EarlierUnknown, "the log cannot be read now");
            return answer;
        };
        Answer {
            output: ending.output,
            ..Answer::refusal(ending.code, ending.code.title()).with_outcome(ending.outcome)
        }
    }

    /// Returns the status of a task after reading the log again, or `None` if it is not there.
    pub(super) async fn status(&self, task: &Task) -> Option<Answer> {
        if self.refresh().await.is_err() {
            return Some(Answer::refusal(
                Code::EarlierUnknown,
                "the log cannot be read now",
            ));
        }
        match self.state(task)? {
            State::Open(_) => Some(super::accepted()),
            State::Ended(ended) => Some(self.answer(&ended).await),
        }
    }

    pub(super) fn due_actions(&self, context: shift::Context<'_>) -> Vec<shift::Action> {
        let mut fold = self.fold.borrow_mut();
        fold.expire(context.wall);
        self.shift.borrow_mut().look(context, &fold)
    }

    pub(super) fn record_ended(&self, now: Tick, task: &Task) {
        self.shift.borrow_mut().ended(now, task);
    }
}

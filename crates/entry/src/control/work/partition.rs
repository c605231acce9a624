//! One partition of deferred requests, projected from the log.

use core::cell::{Cell, RefCell};

use base::{Code, Tick};
use defer::{
    Projection, Record, Scheduler, State, Task, configs::Config, projection::Ended, scheduler, task,
};
use flow::Answer;
use platform::{Http, Log as _, log};

/// The maximum number of records in one read of the log.
const MAX_READ_RECORDS: usize = 200;

/// The number of reads after an append before its record counts as not found.
const MAX_FIND_READS: usize = 5;

/// One partition of deferred requests.
pub(super) struct Partition {
    pub(super) number: u16,
    projection: RefCell<Projection>,
    is_scanning: Cell<bool>,
    platform: Http,
    scheduler: RefCell<Scheduler>,
    stream: String,
}

impl Partition {
    pub(super) fn new(number: u16, platform: Http, config: &Config) -> Self {
        Self {
            number,
            projection: RefCell::new(Projection::new(config.outcome_retention)),
            is_scanning: Cell::new(false),
            platform,
            scheduler: RefCell::new(Scheduler::new(config.clone())),
            stream: task::stream_name(number),
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
            let from = self.projection.borrow().next_offset();
            let page = self
                .platform
                .read(&self.stream, from, MAX_READ_RECORDS)
                .await?;
            let mut projection = self.projection.borrow_mut();
            projection.set_log_start(page.first);
            for record in &page.records {
                projection.apply(record.offset, &record.body);
            }
            if projection.next_offset() >= page.end || page.records.is_empty() {
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
            if self.refresh().await.is_ok() && self.projection.borrow().state(task).is_some() {
                return true;
            }
        }
        false
    }

    pub(super) fn state(&self, task: &Task) -> Option<State> {
        self.projection.borrow().state(task).cloned()
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

    pub(super) fn due_actions(&self, context: scheduler::Context<'_>) -> Vec<scheduler::Action> {
        let mut projection = self.projection.borrow_mut();
        projection.expire(context.wall);
        self.scheduler
            .borrow_mut()
            .next_actions(context, &projection)
    }

    pub(super) fn record_ended(&self, now: Tick, task: &Task) {
        self.scheduler.borrow_mut().record_attempt_end(now, task);
    }
}

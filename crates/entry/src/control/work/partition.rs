//! One partition of deferred requests, read from the log.

use core::cell::{Cell, RefCell};

use base::{Code, Tick};
use defer::{
    Projection, Record, Scheduler, State, Task, configs::Config, projection::Ended, scheduler, task,
};
use flow::Answer;
use platform::{Http, Log as _, log};

/// Records read from the log at once.
const READ_RECORDS: usize = 200;

/// Reads after an append until its record is taken as not found.
const FIND_READS: usize = 5;

/// One partition.
pub(super) struct Partition {
    pub(super) number: u16,
    projection: RefCell<Projection>,
    looking: Cell<bool>,
    platform: Http,
    scheduler: RefCell<Scheduler>,
    stream: String,
}

impl Partition {
    pub(super) fn open(number: u16, platform: Http, config: &Config) -> Self {
        Self {
            number,
            projection: RefCell::new(Projection::new(config.outcome_retention)),
            looking: Cell::new(false),
            platform,
            scheduler: RefCell::new(Scheduler::new(config.clone())),
            stream: task::stream_name(number),
        }
    }

    /// Begins a look, unless one is under way.
    pub(super) fn begin_look(&self) -> bool {
        !self.looking.replace(true)
    }

    pub(super) fn end_look(&self) {
        self.looking.set(false);
    }

    /// Reads to the log's end.
    pub(super) async fn refresh(&self) -> Result<(), log::Error> {
        loop {
            let from = self.projection.borrow().next_offset();
            let page = self.platform.read(&self.stream, from, READ_RECORDS).await?;
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

    /// Reads until a task is there, a few times at most.
    pub(super) async fn find(&self, task: &Task) -> bool {
        for _ in 0..FIND_READS {
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

    /// Tells what became of a task, from a fresh read; nothing if it is not in the log.
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

    pub(super) fn look(&self, cx: scheduler::Context<'_>) -> Vec<scheduler::Action> {
        let mut projection = self.projection.borrow_mut();
        projection.expire(cx.wall);
        self.scheduler.borrow_mut().next_actions(cx, &projection)
    }

    pub(super) fn ended(&self, now: Tick, task: &Task) {
        self.scheduler.borrow_mut().record_attempt_end(now, task);
    }
}

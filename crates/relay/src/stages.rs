//! The stages of a request: which can begin, and where their results lie.

use std::rc::Rc;

use base::{Code, Name};
use batch::{
    Piece,
    piece::{Handle, Made, Reason, Source},
};
use tokio::{sync::mpsc, time};

use crate::{Ask, Edge, Hub, hub::Delivery};

/// Results of the last stages; they are given up when this is dropped.
pub(crate) struct Inputs<E: Edge> {
    hub: Rc<Hub<E>>,
    pub(crate) handles: Vec<Handle>,
    pub(crate) bytes: u64,
}

impl<E: Edge> Inputs<E> {
    pub(crate) fn none(hub: &Rc<Hub<E>>) -> Self {
        Self {
            hub: hub.clone(),
            handles: Vec::new(),
            bytes: 0,
        }
    }

    /// Returns the failure domain in which most of the results lie, where they are large.
    pub(crate) fn domain(&self) -> Option<Name> {
        if self.bytes < self.hub.settings.result_heavy {
            return None;
        }
        let first = self.handles.first()?;
        self.hub.domain_of(first.maker)
    }
}

impl<E: Edge> Drop for Inputs<E> {
    fn drop(&mut self) {
        self.hub.free(core::mem::take(&mut self.handles));
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Pending,
    Begun,
    /// Every result was made, or the stage is omitted.
    Whole,
}

/// The work on one request's stages.
struct Work<'a, E: Edge> {
    hub: &'a Rc<Hub<E>>,
    ask: &'a Ask<E::Request>,
    to: mpsc::UnboundedSender<Delivery>,
    phases: Vec<Phase>,
    /// By stage, the results that are there and were not given up.
    results: Vec<Vec<Option<Handle>>>,
    domain: Option<Name>,
}

impl<E: Edge> Drop for Work<'_, E> {
    fn drop(&mut self) {
        self.hub.withdraw(&self.ask.id, &self.to);
        let left = self.results.iter_mut().flatten().filter_map(Option::take);
        self.hub.free(left.collect());
    }
}

/// Works on the stages of a request and returns the results that it reads.
///
/// # Errors
///
/// - The code with which the request is refused; the request itself has not run.
pub(crate) async fn run<E: Edge>(
    hub: &Rc<Hub<E>>,
    ask: &Ask<E::Request>,
    domain: Option<Name>,
) -> Result<Inputs<E>, Code> {
    let stages = &ask.route.stages;
    if ask.pieces.iter().take(stages.len()).all(|count| *count == 0) {
        return Ok(Inputs::none(hub));
    }
    let (to, mut from) = mpsc::unbounded_channel();
    let count = |at: usize| ask.pieces.get(at).copied().unwrap_or(0) as usize;
    let mut work = Work {
        hub,
        ask,
        to,
        phases: (0..stages.len())
            .map(|at| if count(at) == 0 { Phase::Whole } else { Phase::Pending })
            .collect(),
        results: (0..stages.len()).map(|at| vec![None; count(at)]).collect(),
        domain,
    };
    loop {
        work.begin();
        if work.is_done() {
            return Ok(work.inputs());
        }
        let left = ask.left(hub.edge.now());
        let Ok(delivery) = time::timeout(left, from.recv()).await else {
            return Err(Code::DeadlinePassed);
        };
        let Some(Delivery { piece, made }) = delivery else {
            return Err(Code::Internal);
        };
        match made {
            Made::Result(handle) => work.made(&piece, handle),
            Made::Failed(Reason::Late) => return Err(Code::DeadlineUnmeetable),
            Made::Failed(_) => return Err(Code::StageUnavailable),
        }
    }
}

impl<E: Edge> Work<'_, E> {
    /// Begins every stage whose inputs are there.
    fn begin(&mut self) {
        for stage in 0..self.results.len() {
            let after = &self.ask.route.stages[stage].after;
            let is_ready = after.iter().all(|before| self.phases[*before] == Phase::Whole);
            if self.phases[stage] != Phase::Pending || !is_ready {
                continue;
            }
            self.phases[stage] = Phase::Begun;
            let pieces = self.pieces(stage);
            let pool = &self.ask.route.stages[stage].pool;
            self.hub.offer(pool, pieces, &self.to);
        }
    }

    fn pieces(&self, stage: usize) -> Vec<Piece> {
        let stated = &self.ask.route.stages[stage];
        let source = if stated.after.is_empty() {
            Source::Key(self.ask.piece_key.clone())
        } else {
            let before = stated.after.iter().flat_map(|before| &self.results[*before]);
            Source::Results(before.flatten().cloned().collect())
        };
        let count = u32::try_from(self.results[stage].len()).unwrap_or(u32::MAX);
        // What follows the stage needs its time, too.
        let after = self.after(stage);
        let pieces = (0..count).map(|number| Piece {
            ticket: 0,
            request: self.ask.id.clone(),
            stage,
            number,
            source: source.clone(),
            due: self.ask.arrived + self.ask.route.objective.saturating_sub(after),
            deadline: self.ask.limit(),
            bytes: stated.bytes,
            domain: self.domain.clone(),
            tries: 0,
        });
        pieces.collect()
    }

    /// Returns the usual time of the stages in a row that follow a stage.
    fn after(&self, stage: usize) -> core::time::Duration {
        const USUAL: core::time::Duration = core::time::Duration::from_millis(250);
        USUAL * self.ask.route.depth_after(stage)
    }

    fn made(&mut self, piece: &Piece, handle: Handle) {
        self.results[piece.stage][piece.number as usize] = Some(handle);
        if !self.results[piece.stage].iter().all(Option::is_some) {
            return;
        }
        self.phases[piece.stage] = Phase::Whole;
        // The results that only this stage reads are of no more use.
        let stages = &self.ask.route.stages;
        for before in &stages[piece.stage].after {
            let mut readers = (0..stages.len()).filter(|at| stages[*at].after.contains(before));
            if readers.all(|reader| self.phases[reader] == Phase::Whole) {
                let over = self.results[*before].iter_mut().filter_map(Option::take);
                self.hub.free(over.collect());
            }
        }
    }

    fn is_done(&self) -> bool {
        let mut last = self.ask.route.last_stages();
        last.all(|stage| self.phases[stage] == Phase::Whole)
    }

    fn inputs(&mut self) -> Inputs<E> {
        let mut inputs = Inputs::none(self.hub);
        for stage in self.ask.route.last_stages() {
            let bytes = self.ask.route.stages[stage].bytes;
            for handle in self.results[stage].iter_mut().filter_map(Option::take) {
                inputs.handles.push(handle);
                inputs.bytes += bytes;
            }
        }
        inputs
    }
}

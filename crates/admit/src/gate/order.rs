//! Which of the waiting requests goes first.

use base::{Name, Tick};

use crate::{
    budget::share,
    gate::Gate,
    line::{Kind, Line, Place},
};

impl Gate {
    /// Finds the request that goes first, among those whose pools have room.
    pub(super) fn first(&self, now: Tick) -> Option<(usize, usize)> {
        let open = self.open(now);
        if let Some(patient) = self.turn_of_oldest() {
            let sort = |patient| {
                let lines = open.iter().copied();
                lines.filter(move |at| self.lines[*at].kind.patient == patient)
            };
            let oldest = self.oldest(sort(patient));
            let oldest = oldest.or_else(|| self.oldest(sort(!patient)));
            if oldest.is_some() {
                return oldest;
            }
        }
        open.into_iter()
            .map(|at| (at, self.place(now, &self.lines[at])))
            .min_by(|a, b| a.1.compare(&b.1))
            .map(|(at, _)| (at, 0))
    }

    /// Returns the lines whose pools have room; lines are sorted by pipeline, so each is asked once.
    fn open(&self, now: Tick) -> Vec<usize> {
        let loads = self.loads(now);
        let mut open = Vec::new();
        let mut last: Option<(&Name, bool)> = None;
        for (at, line) in self.lines.iter().enumerate() {
            let pipeline = &line.kind.pipeline;
            let room = match last {
                Some((name, room)) if name == pipeline => room,
                _ => self.has_room(now, &loads, &line.kind),
            };
            last = Some((pipeline, room));
            if room {
                open.push(at);
            }
        }
        open
    }

    fn place(&self, now: Tick, line: &Line) -> Place {
        Place {
            patient: line.kind.patient,
            rank: self.rank(now, line),
            served: self.accounts.served(&line.kind.account),
            due: line.entries[0].due,
        }
    }

    /// Tells whether the next start goes to the oldest request, and if so, whether to a patient one.
    const fn turn_of_oldest(&self) -> Option<bool> {
        let every = self.config.gate.oldest_every;
        if self.starts % every == every - 1 {
            return Some(self.starts / every % 2 == 1);
        }
        None
    }

    fn oldest(&self, lines: impl Iterator<Item = usize>) -> Option<(usize, usize)> {
        lines
            .filter_map(|at| {
                let entries = &self.lines[at].entries;
                let oldest = (0..entries.len()).min_by_key(|at| entries[*at].age_from)?;
                Some((at, oldest))
            })
            .min_by_key(|(line, entry)| self.lines[*line].entries[*entry].age_from)
    }

    /// Returns the priority of a line, raised by the wait of its first request.
    fn rank(&self, now: Tick, line: &Line) -> u128 {
        let waited = now - line.entries[0].age_from;
        let raised = waited.as_micros() / self.config.gate.aging.as_micros().max(1);
        u128::from(line.kind.priority) + raised
    }

    /// Returns the requests expected to be in each pool.
    fn loads(&self, now: Tick) -> Vec<f64> {
        let mut loads = vec![0.0; self.pools.len()];
        for pipeline in &self.pipelines {
            let times = pipeline.times(&self.config.budget, now);
            for (at, stage) in pipeline.stages.iter().enumerate() {
                if let Ok(pool) = self.find_pool(&stage.pool) {
                    loads[pool] += stage.ahead as f64 * share(&times, at);
                }
            }
        }
        loads
    }

    fn has_room(&self, now: Tick, loads: &[f64], kind: &Kind) -> bool {
        let Ok(at) = self.find_pipeline(&kind.pipeline) else {
            return true;
        };
        let pipeline = &self.pipelines[at];
        let times = pipeline.times(&self.config.budget, now);
        (0..pipeline.stages.len()).all(|stage| {
            self.find_pool(&pipeline.stages[stage].pool)
                .is_ok_and(|at| {
                    let (load, more) = (loads[at], share(&times, stage));
                    self.pools[at].has_room(&self.config.pool, load, more, times[stage])
                })
        })
    }
}

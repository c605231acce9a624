//! Selection of the next waiting request.

use base::{Name, Tick};

use crate::{
    controller::Controller,
    estimate::occupancy,
    queue::{Class, Position, Queue},
};

impl Controller {
    /// Selects the next request among those whose pools have capacity, and returns the indexes of its queue and
    /// of its entry there.
    pub(super) fn select(&self, now: Tick) -> Option<(usize, usize)> {
        let eligible = self.eligible(now);
        if let Some(background) = self.oldest_turn() {
            let in_group = |background| {
                let queues = eligible.iter().copied();
                queues.filter(move |at| self.queues[*at].class.background == background)
            };
            let oldest = self.oldest(in_group(background));
            let oldest = oldest.or_else(|| self.oldest(in_group(!background)));
            if oldest.is_some() {
                return oldest;
            }
        }
        eligible
            .into_iter()
            .map(|at| (at, self.position(now, &self.queues[at])))
            .min_by(|a, b| a.1.compare(&b.1))
            .map(|(at, _)| (at, 0))
    }

    /// Returns the queues whose pools have capacity; queues are sorted by pipeline, so that each pipeline is checked
    /// once.
    fn eligible(&self, now: Tick) -> Vec<usize> {
        let loads = self.loads(now);
        let mut eligible = Vec::new();
        let mut last: Option<(&Name, bool)> = None;
        for (at, queue) in self.queues.iter().enumerate() {
            let pipeline = &queue.class.pipeline;
            let room = match last {
                Some((name, room)) if name == pipeline => room,
                _ => self.has_room(now, &loads, &queue.class),
            };
            last = Some((pipeline, room));
            if room {
                eligible.push(at);
            }
        }
        eligible
    }

    fn position(&self, now: Tick, queue: &Queue) -> Position {
        Position {
            background: queue.class.background,
            priority: self.priority(now, queue),
            served: self.accounts.served(&queue.class.account),
            effective_deadline: queue.entries[0].effective_deadline,
        }
    }

    /// Returns `Some` if the next start goes to the oldest request, with `true` for the oldest background request.
    const fn oldest_turn(&self) -> Option<bool> {
        let every = self.config.queue.oldest_every;
        if self.starts % every == every - 1 {
            return Some(self.starts / every % 2 == 1);
        }
        None
    }

    /// Returns the request that was issued first, as the indexes of its queue and of its entry there.
    fn oldest(&self, queues: impl Iterator<Item = usize>) -> Option<(usize, usize)> {
        queues
            .filter_map(|at| {
                let entries = &self.queues[at].entries;
                let oldest = (0..entries.len()).min_by_key(|at| entries[*at].issued_at)?;
                Some((at, oldest))
            })
            .min_by_key(|(queue, entry)| self.queues[*queue].entries[*entry].issued_at)
    }

    /// Returns the priority of a queue, raised by the waiting time of its first request.
    fn priority(&self, now: Tick, queue: &Queue) -> u128 {
        let waited = now - queue.entries[0].issued_at;
        let raise = waited.as_micros() / self.config.queue.aging_interval.as_micros().max(1);
        u128::from(queue.class.priority) + raise
    }

    /// Returns the expected number of requests in each pool.
    fn loads(&self, now: Tick) -> Vec<f64> {
        let mut loads = vec![0.0; self.pools.len()];
        for pipeline in &self.pipelines {
            let times = pipeline.stage_times(&self.config.estimate, now);
            for (at, stage) in pipeline.stages.iter().enumerate() {
                if let Ok(pool) = self.find_pool(&stage.pool) {
                    loads[pool] += stage.pending as f64 * occupancy(&times, at);
                }
            }
        }
        loads
    }

    /// Returns whether every pool of a pipeline's stages has capacity for one more request.
    fn has_room(&self, now: Tick, loads: &[f64], class: &Class) -> bool {
        let Ok(at) = self.find_pipeline(&class.pipeline) else {
            return true;
        };
        let pipeline = &self.pipelines[at];
        let times = pipeline.stage_times(&self.config.estimate, now);
        (0..pipeline.stages.len()).all(|stage| {
            self.find_pool(&pipeline.stages[stage].pool)
                .is_ok_and(|at| {
                    let (load, added) = (loads[at], occupancy(&times, stage));
                    self.pools[at].has_room(&self.config.pool, load, added, times[stage])
                })
        })
    }
}

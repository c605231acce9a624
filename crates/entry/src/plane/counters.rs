//! Counters by pipeline that peers and shared screens see.

use core::time::Duration;
use std::rc::Weak;

use base::{Code, Name};
use member::{Fact, fact::Burn};

use crate::{control::roster::Tell, plane::Plane};

/// How often counters that have changed are told.
const PERIOD: Duration = Duration::from_secs(40);

/// Counters of every pipeline since the start, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct Counters(Vec<(Burn, bool)>);

impl Counters {
    /// Counts the end of a request; `cost` is in thousandths of operators' units.
    pub(crate) fn count(&mut self, pipeline: &Name, code: Code, in_time: bool, cost: u64) {
        let at = self
            .0
            .binary_search_by(|(burn, _)| burn.pipeline.cmp(pipeline));
        let at = at.unwrap_or_else(|at| {
            let burn = Burn {
                pipeline: pipeline.clone(),
                ..Burn::default()
            };
            self.0.insert(at, (burn, false));
            at
        });
        let (burn, changed) = &mut self.0[at];
        match (code, in_time) {
            (Code::Answered, true) => burn.good += 1,
            (Code::Answered, false) => burn.late += 1,
            _ => burn.refused += 1,
        }
        burn.cost += cost;
        *changed = true;
    }

    fn take_changed(&mut self) -> Vec<Burn> {
        let changed = self.0.iter_mut().filter(|(_, changed)| *changed);
        changed
            .map(|(burn, changed)| {
                *changed = false;
                burn.clone()
            })
            .collect()
    }
}

/// Tells the peers of counters that have changed, until the plane is gone.
pub(crate) async fn tell(plane: Weak<Plane>) {
    let mut interval = tokio::time::interval(PERIOD);
    loop {
        interval.tick().await;
        let Some(plane) = plane.upgrade() else {
            return;
        };
        let changed = plane.inner.borrow_mut().counters.take_changed();
        for burn in changed {
            plane.shared.roster.do_send(Tell(Fact::Burn(burn)));
        }
    }
}

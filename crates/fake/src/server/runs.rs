//! Counts the runs of each service call, which show whether one ran twice.

use serde::Serialize;

#[derive(Default)]
pub(super) struct Runs {
    runs: Vec<Run>,
}

/// The runs of one operation under one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Run {
    pub(super) key: String,
    pub(super) operation: String,
    pub(super) count: u64,
    /// The attempts that ran, in their order.
    pub(super) attempts: Vec<String>,
}

impl Runs {
    /// Counts a run when it takes effect.
    pub(super) fn record(&mut self, operation: &str, key: &str, attempt: String) {
        let found = self.runs.binary_search_by(|run| {
            (run.key.as_str(), run.operation.as_str()).cmp(&(key, operation))
        });
        let index = found.unwrap_or_else(|index| {
            let run = Run {
                key: key.to_owned(),
                operation: operation.to_owned(),
                count: 0,
                attempts: Vec::new(),
            };
            self.runs.insert(index, run);
            index
        });
        self.runs[index].count += 1;
        self.runs[index].attempts.push(attempt);
    }

    /// Returns the runs under every key, or under one.
    pub(super) fn list(&self, key: Option<&str>) -> Vec<Run> {
        let wanted = |run: &&Run| key.is_none_or(|key| run.key == key);
        self.runs.iter().filter(wanted).cloned().collect()
    }
}

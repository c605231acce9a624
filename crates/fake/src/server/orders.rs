//! Orders to load models and adapters or to change role.

use base::Name;
use serde::{Deserialize, Serialize};

/// The state that an order wants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Want {
    pub(super) models: Vec<Name>,
    pub(super) adapters: Vec<Name>,
    pub(super) role: Option<Name>,
}

/// One order.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Order {
    pub(super) fence: u64,
    pub(super) want: Want,
}

/// The orders taken so far.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Orders {
    pub(super) fence: u64,
    pub(super) taken: u64,
    pub(super) refused: u64,
    pub(super) want: Want,
}

impl Orders {
    pub(super) fn new(models: &[Name]) -> Self {
        let want = Want {
            models: models.to_vec(),
            ..Want::default()
        };
        Self {
            want,
            ..Self::default()
        }
    }

    /// Carries an order out, unless its fencing number is old and the server checks that.
    pub(super) fn take(&mut self, order: Order, checks_fencing: bool) -> bool {
        if checks_fencing && order.fence < self.fence {
            self.refused += 1;
            return false;
        }
        self.fence = self.fence.max(order.fence);
        self.taken += 1;
        self.want = order.want;
        true
    }
}

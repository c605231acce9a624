//! Orders to load models and adapters or to change role.

use core::{sync::atomic::Ordering, time::Duration};

use actix_web::{rt, web};
use awc::Client;
use base::Name;
use serde::{Deserialize, Serialize};

use super::State;

/// The time limit of one fetch of weights, in milliseconds.
const LIMIT_MS: u64 = 5_000;

/// The largest weights read, in bytes.
const WEIGHT_BYTES: usize = 16 * 1024 * 1024;

/// The wait after a fetch that failed, in milliseconds.
const RETRY_MS: u64 = 100;

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
    /// The models whose weights are here, sorted.
    pub(super) held: Vec<Name>,
    #[serde(skip)]
    is_loading: bool,
}

impl Orders {
    pub(super) fn new(models: &[Name]) -> Self {
        let want = Want {
            models: models.to_vec(),
            ..Want::default()
        };
        let mut held = models.to_vec();
        held.sort();
        Self {
            want,
            held,
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
        let wanted = &self.want.models;
        self.held.retain(|model| wanted.contains(model));
        true
    }

    /// Returns the next model to fetch.
    fn missing(&self) -> Option<Name> {
        let is_missing = |model: &&Name| self.held.binary_search(model).is_err();
        self.want.models.iter().find(is_missing).cloned()
    }

    /// Takes note that the weights of a model are here, if they are still wanted.
    fn hold(&mut self, model: Name) {
        if self.want.models.contains(&model)
            && let Err(at) = self.held.binary_search(&model)
        {
            self.held.insert(at, model);
        }
    }
}

/// Fetches what is wanted and not held, unless that is under way.
pub(super) fn load(state: &web::Data<State>) {
    if core::mem::replace(&mut state.lock().orders.is_loading, true) {
        return;
    }
    let state = state.clone();
    rt::spawn(async move {
        let limit = Duration::from_millis(LIMIT_MS);
        let client = Client::builder().timeout(limit).finish();
        while let Some(model) = next(&state) {
            if fetch(&client, &state, &model).await {
                state.lock().orders.hold(model);
            } else {
                rt::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    });
}

fn next(state: &State) -> Option<Name> {
    let mut inner = state.lock();
    let missing = inner.orders.missing();
    let next = missing.filter(|_| !state.stopped.load(Ordering::Relaxed));
    inner.orders.is_loading = next.is_some();
    next
}

/// Reads the weights of a model to their end; a server without a platform has them at hand.
async fn fetch(client: &Client, state: &State, model: &Name) -> bool {
    let Some(platform) = &state.config.platform else {
        return true;
    };
    let url = format!("{}/weights/{model}", platform.trim_end_matches('/'));
    let Ok(mut response) = client.get(url).send().await else {
        return false;
    };
    response.status().is_success() && response.body().limit(WEIGHT_BYTES).await.is_ok()
}

//! Orders to load models and adapters or to change role.

use core::{sync::atomic::Ordering, time::Duration};

use actix_web::{rt, web};
use awc::Client;
use base::Name;
use serde::{Deserialize, Serialize};

use super::State;

/// The timeout of one fetch of weights, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 5_000;

/// The largest weights read, in bytes.
const MAX_WEIGHT_BYTES: usize = 16 * 1024 * 1024;

/// The delay after a failed fetch, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// The target state of an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Target {
    pub(super) models: Vec<Name>,
    pub(super) adapters: Vec<Name>,
    pub(super) role: Option<Name>,
}

/// One order.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Order {
    pub(super) fence: u64,
    pub(super) want: Target,
}

/// The result of the orders accepted so far.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Orders {
    pub(super) fence: u64,
    pub(super) taken: u64,
    pub(super) refused: u64,
    pub(super) want: Target,
    /// The models whose weights are loaded, sorted.
    pub(super) held: Vec<Name>,
    #[serde(skip)]
    is_loading: bool,
}

impl Orders {
    pub(super) fn new(models: &[Name]) -> Self {
        let want = Target {
            models: models.to_vec(),
            ..Target::default()
        };
        let mut held = models.to_vec();
        held.sort();
        Self {
            want,
            held,
            ..Self::default()
        }
    }

    /// Applies an order, unless its fencing number is old and the server checks it.
    pub(super) fn accept(&mut self, order: Order, checks_fencing: bool) -> bool {
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
    fn next_missing(&self) -> Option<Name> {
        let is_missing = |model: &&Name| self.held.binary_search(model).is_err();
        self.want.models.iter().find(is_missing).cloned()
    }

    /// Records that the weights of a model are loaded, if the model is still wanted.
    fn record_loaded(&mut self, model: Name) {
        if self.want.models.contains(&model)
            && let Err(at) = self.held.binary_search(&model)
        {
            self.held.insert(at, model);
        }
    }
}

/// Starts a task that fetches the missing models, unless one is running.
pub(super) fn spawn_load(state: &web::Data<State>) {
    if core::mem::replace(&mut state.lock().orders.is_loading, true) {
        return;
    }
    let state = state.clone();
    rt::spawn(async move {
        let timeout = Duration::from_millis(FETCH_TIMEOUT_MS);
        let client = Client::builder().timeout(timeout).finish();
        while let Some(model) = next_to_load(&state) {
            if fetch_weights(&client, &state, &model).await {
                state.lock().orders.record_loaded(model);
            } else {
                rt::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    });
}

fn next_to_load(state: &State) -> Option<Name> {
    let mut inner = state.lock();
    let missing = inner.orders.next_missing();
    let next = missing.filter(|_| !state.stopped.load(Ordering::Relaxed));
    inner.orders.is_loading = next.is_some();
    next
}

/// Reads the weights of a model to their end; without a platform the fetch succeeds at once.
async fn fetch_weights(client: &Client, state: &State, model: &Name) -> bool {
    let Some(platform) = &state.config.platform else {
        return true;
    };
    let url = format!("{}/weights/{model}", platform.trim_end_matches('/'));
    let Ok(mut response) = client.get(url).send().await else {
        return false;
    };
    response.status().is_success() && response.body().limit(MAX_WEIGHT_BYTES).await.is_ok()
}

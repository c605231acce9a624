//! Selection of the models to load next, by the attainment gained per second of loading.

use base::{Incarnation, Name};

use crate::order::Engine;

/// Size, demand and throughput of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The name with its version; adapters are separate models.
    pub name: Name,
    /// The size of its weights, in bytes.
    pub bytes: u64,
    /// Requests per second for the model.
    pub demand: f64,
    /// Requests per second that one engine answers within their deadlines.
    pub engine_rate: f64,
}

/// The input of a plan.
#[derive(Clone, Debug)]
pub struct Input<'a> {
    /// The models, sorted by name.
    pub models: &'a [Model],
    /// The engines with the models that they hold or are ordered to hold, sorted by server.
    pub engines: &'a [Engine],
    /// Bandwidth of the weight store for one load, in bytes per second.
    pub store_bandwidth: f64,
}

/// A load of one model by one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The engine.
    pub server: Incarnation,
    /// All models that it holds after the load, sorted.
    pub models: Vec<Name>,
    /// Additional requests per second that are answered in time after the load.
    pub gain: f64,
    /// Time for which the load uses the weight store, in seconds.
    pub seconds: f64,
}

/// Returns at most `limit` useful loads, sorted by attainment gained per second of loading.
///
/// Each load is evaluated as if those before it were complete.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Stamp};
/// use place::{order::Engine, plan::{self, Model, Input}};
/// let engine = Engine {
///     server: Incarnation::new("runner-1", Stamp::from_millis(5)),
///     models: Vec::new(),
///     memory: 10,
///     is_fenced: true,
/// };
/// let model = |name: &str, bytes, demand| Model { name: name.into(), bytes, demand, engine_rate: 4.0 };
/// let models = [model("brief", 10, 2.0), model("summary", 2, 1.0)];
/// let input = Input { models: &models, engines: &[engine], store_bandwidth: 1.0 };
/// // The small model gains 1/2 request per second of loading, the large one 2/10.
/// assert_eq!(plan::loads(&input, 1)[0].models, ["summary".into()]);
/// ```
pub fn loads(input: &Input<'_>, limit: usize) -> Vec<Load> {
    let mut plan = Plan::new(input);
    let mut loads = Vec::new();
    while loads.len() < limit
        && let Some((at, load)) = plan.best_load()
    {
        plan.apply(at, &load);
        loads.push(load);
    }
    loads
}

/// Minimum gain of a load, in requests per second.
const MIN_GAIN: f64 = 1e-6;

/// Minimum net gain of a load that evicts models, as a share of the loss from evicting them. Measured demand
/// varies, so two models of similar value would otherwise evict each other repeatedly.
const MIN_SWAP_GAIN_SHARE: f64 = 0.25;

/// The models that engines hold after the loads selected so far.
struct Plan<'a> {
    input: &'a Input<'a>,
    /// For each engine, the sorted indexes of the models that it holds.
    holdings: Vec<Vec<usize>>,
    /// For each model, the number of engines that hold it.
    holders: Vec<usize>,
}

impl<'a> Plan<'a> {
    fn new(input: &'a Input<'a>) -> Self {
        let holdings = input
            .engines
            .iter()
            .map(|engine| engine_models(input, engine));
        let holdings: Vec<Vec<usize>> = holdings.collect();
        let mut holders = vec![0; input.models.len()];
        for model in holdings.iter().flatten() {
            holders[*model] += 1;
        }
        Self {
            input,
            holdings,
            holders,
        }
    }

    /// Returns the load with the highest gain per second and the index of its engine.
    fn best_load(&self) -> Option<(usize, Load)> {
        let mut best: Option<(usize, Load)> = None;
        for engine in 0..self.holdings.len() {
            for model in 0..self.holders.len() {
                let Some(load) = self.load(engine, model) else {
                    continue;
                };
                // Of equal loads the first engine's is selected, so that two planners make the same plan.
                if best
                    .as_ref()
                    .is_none_or(|(_, current)| gain_per_second(&load) > gain_per_second(current))
                {
                    best = Some((engine, load));
                }
            }
        }
        best
    }

    /// Updates the holdings of an engine as if a load were complete.
    fn apply(&mut self, engine: usize, load: &Load) {
        for model in &self.holdings[engine] {
            self.holders[*model] -= 1;
        }
        self.holdings[engine] = model_indexes(self.input, &load.models);
        for model in &self.holdings[engine] {
            self.holders[*model] += 1;
        }
    }

    /// Returns the load of a model by an engine, if it gains more than the evictions lose.
    fn load(&self, engine: usize, model: usize) -> Option<Load> {
        if self.holdings[engine].binary_search(&model).is_ok() {
            return None;
        }
        // The maximum gain is cheap to compute, and zero in most cases.
        let gross_gain = self.served(model, 1) - self.served(model, 0);
        if gross_gain <= MIN_GAIN {
            return None;
        }
        let (mut kept, lost) = self.make_room(engine, model)?;
        let gain = gross_gain - lost;
        if gain <= MIN_GAIN.max(lost * MIN_SWAP_GAIN_SHARE) {
            return None;
        }
        kept.push(model);
        kept.sort_unstable();
        let models = kept
            .into_iter()
            .map(|kept| self.input.models[kept].name.clone());
        Some(Load {
            server: self.input.engines[engine].server.clone(),
            models: models.collect(),
            gain,
            seconds: self.input.models[model].bytes as f64 / self.input.store_bandwidth,
        })
    }

    /// Returns the models that an engine keeps beside a new one, and the requests per second lost by evicting
    /// the others; models with the lowest value for their size are evicted first.
    fn make_room(&self, engine: usize, model: usize) -> Option<(Vec<usize>, f64)> {
        let memory = self.input.engines[engine].memory;
        let mut free_bytes = memory.checked_sub(self.input.models[model].bytes)?;
        let mut candidates = self.holdings[engine].clone();
        candidates.sort_by(|one, other| {
            self.loss_per_byte(*other)
                .total_cmp(&self.loss_per_byte(*one))
        });
        let mut kept = Vec::new();
        let mut lost = 0.0;
        for model in candidates {
            match free_bytes.checked_sub(self.input.models[model].bytes) {
                Some(rest) => {
                    free_bytes = rest;
                    kept.push(model);
                }
                None => lost += self.eviction_loss(model),
            }
        }
        Some((kept, lost))
    }

    /// Returns the requests per second lost for each byte that evicting a model frees.
    fn loss_per_byte(&self, model: usize) -> f64 {
        self.eviction_loss(model) / self.input.models[model].bytes.max(1) as f64
    }

    /// Returns the requests per second lost if one engine evicts a model.
    fn eviction_loss(&self, model: usize) -> f64 {
        self.served(model, 0) - self.served(model, -1)
    }

    /// Returns the requests per second answered if the number of holders of a model changes by `added`.
    fn served(&self, model: usize, added: isize) -> f64 {
        let holders = self.holders[model].saturating_add_signed(added);
        let model = &self.input.models[model];
        model.demand.min(model.engine_rate * holders as f64)
    }
}

fn engine_models(input: &Input<'_>, engine: &Engine) -> Vec<usize> {
    model_indexes(input, &engine.models)
}

fn model_indexes(input: &Input<'_>, names: &[Name]) -> Vec<usize> {
    let find = |name| input.models.binary_search_by(|model| model.name.cmp(name));
    names.iter().filter_map(|name| find(name).ok()).collect()
}

fn gain_per_second(load: &Load) -> f64 {
    load.gain / load.seconds
}

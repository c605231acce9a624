//! Which model to load next, by the attainment that a second of loading buys.

use base::{Incarnation, Name};

use crate::order::Engine;

/// What a model needs and what an engine does with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The name with its version; adapters are models of their own.
    pub name: Name,
    /// The bytes of its weights.
    pub bytes: u64,
    /// Requests a second that want it.
    pub demand: f64,
    /// Requests a second that one engine answers within their deadlines.
    pub engine_rate: f64,
}

/// What a plan sees.
#[derive(Clone, Debug)]
pub struct Input<'a> {
    /// The models, sorted by name.
    pub models: &'a [Model],
    /// The engines with what they hold or are being ordered to hold, sorted by server.
    pub engines: &'a [Engine],
    /// Bytes a second that the weight store gives to one load.
    pub store_bandwidth: f64,
}

/// One model to be loaded by one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The engine.
    pub server: Incarnation,
    /// All models that it is to hold then, sorted.
    pub models: Vec<Name>,
    /// Requests a second that will be answered in time and are not now.
    pub gain: f64,
    /// Seconds that the weight store is taken up.
    pub seconds: f64,
}

/// Returns at most `limit` loads worth making, the one that buys most attainment a second first.
///
/// Each load is judged with those before it made.
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
/// // The small model buys 1/2 a second of loading, the large one 2/10.
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

/// The least gain, in requests a second, for which a load is made.
const MIN_GAIN: f64 = 1e-6;

/// The least gain for which models are evicted, as a share of what that loses; measured demand
/// varies, and two models of about the same worth would drive each other out again and again.
const MIN_SWAP_GAIN_SHARE: f64 = 0.25;

/// What engines would hold with the loads chosen so far.
struct Plan<'a> {
    input: &'a Input<'a>,
    /// For each engine, the indexes of the models that it holds, sorted.
    holdings: Vec<Vec<usize>>,
    /// For each model, how many engines hold it.
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

    fn best_load(&self) -> Option<(usize, Load)> {
        let mut best: Option<(usize, Load)> = None;
        for engine in 0..self.holdings.len() {
            for model in 0..self.holders.len() {
                let Some(load) = self.load(engine, model) else {
                    continue;
                };
                // Equal loads go to the first engine, so that two planners choose alike.
                if best
                    .as_ref()
                    .is_none_or(|(_, best)| gain_per_second(&load) > gain_per_second(best))
                {
                    best = Some((engine, load));
                }
            }
        }
        best
    }

    fn apply(&mut self, engine: usize, load: &Load) {
        for model in &self.holdings[engine] {
            self.holders[*model] -= 1;
        }
        self.holdings[engine] = model_indexes(self.input, &load.models);
        for model in &self.holdings[engine] {
            self.holders[*model] += 1;
        }
    }

    /// Returns the load of a model by an engine, if it gains more than it evicts.
    fn load(&self, engine: usize, model: usize) -> Option<Load> {
        if self.holdings[engine].binary_search(&model).is_ok() {
            return None;
        }
        // What it gains at most is cheap to tell, and mostly nothing.
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

    /// Returns what an engine keeps beside a model, and the requests a second that this loses;
    /// what is worth least for its size goes first.
    fn make_room(&self, engine: usize, model: usize) -> Option<(Vec<usize>, f64)> {
        let memory = self.input.engines[engine].memory;
        let mut room = memory.checked_sub(self.input.models[model].bytes)?;
        let mut candidates = self.holdings[engine].clone();
        candidates.sort_by(|one, other| self.density(*other).total_cmp(&self.density(*one)));
        let mut kept = Vec::new();
        let mut lost = 0.0;
        for model in candidates {
            match room.checked_sub(self.input.models[model].bytes) {
                Some(rest) => {
                    room = rest;
                    kept.push(model);
                }
                None => lost += self.eviction_loss(model),
            }
        }
        Some((kept, lost))
    }

    fn density(&self, model: usize) -> f64 {
        self.eviction_loss(model) / self.input.models[model].bytes.max(1) as f64
    }

    /// Returns the requests a second that are lost if one engine drops a model.
    fn eviction_loss(&self, model: usize) -> f64 {
        self.served(model, 0) - self.served(model, -1)
    }

    /// Returns the requests a second that are answered with more or fewer holders of a model.
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

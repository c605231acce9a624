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
    pub rate: f64,
}

/// What a plan sees.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The models, sorted by name.
    pub models: &'a [Model],
    /// The engines with what they hold or are being ordered to hold, sorted by server.
    pub engines: &'a [Engine],
    /// Bytes a second that the weight store gives to one load.
    pub store_rate: f64,
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
/// use place::{order::Engine, plan::{self, Model, View}};
/// let engine = Engine {
///     server: Incarnation::new("runner-1", Stamp::from_millis(5)),
///     models: Vec::new(),
///     memory: 10,
///     is_fenced: true,
/// };
/// let model = |name: &str, bytes, demand| Model { name: name.into(), bytes, demand, rate: 4.0 };
/// let models = [model("brief", 10, 2.0), model("summary", 2, 1.0)];
/// let view = View { models: &models, engines: &[engine], store_rate: 1.0 };
/// // The small model buys 1/2 a second of loading, the large one 2/10.
/// assert_eq!(plan::loads(&view, 1)[0].models, ["summary".into()]);
/// ```
pub fn loads(view: &View<'_>, limit: usize) -> Vec<Load> {
    let mut state = State::open(view);
    let mut loads = Vec::new();
    while loads.len() < limit
        && let Some((at, load)) = state.best()
    {
        state.make(at, &load);
        loads.push(load);
    }
    loads
}

/// The least gain, in requests a second, for which a load is made.
const GAIN_LIMIT: f64 = 1e-6;

/// The least gain for which models are evicted, as a share of what that loses; measured demand
/// varies, and two models of about the same worth would drive each other out again and again.
const SWAP_SHARE: f64 = 0.25;

/// What engines would hold with the loads chosen so far.
struct State<'a> {
    view: &'a View<'a>,
    /// For each engine, the indexes of the models that it holds, sorted.
    held: Vec<Vec<usize>>,
    /// For each model, how many engines hold it.
    holders: Vec<usize>,
}

impl<'a> State<'a> {
    fn open(view: &'a View<'a>) -> Self {
        let held = view.engines.iter().map(|engine| indexes(view, engine));
        let held: Vec<Vec<usize>> = held.collect();
        let mut holders = vec![0; view.models.len()];
        for model in held.iter().flatten() {
            holders[*model] += 1;
        }
        Self {
            view,
            held,
            holders,
        }
    }

    fn best(&self) -> Option<(usize, Load)> {
        let mut best: Option<(usize, Load)> = None;
        for engine in 0..self.held.len() {
            for model in 0..self.holders.len() {
                let Some(load) = self.load(engine, model) else {
                    continue;
                };
                // Equal loads go to the first engine, so that two planners choose alike.
                if best
                    .as_ref()
                    .is_none_or(|(_, kept)| value(&load) > value(kept))
                {
                    best = Some((engine, load));
                }
            }
        }
        best
    }

    fn make(&mut self, engine: usize, load: &Load) {
        for model in &self.held[engine] {
            self.holders[*model] -= 1;
        }
        self.held[engine] = find(self.view, &load.models);
        for model in &self.held[engine] {
            self.holders[*model] += 1;
        }
    }

    /// Returns the load of a model by an engine, if it gains more than it evicts.
    fn load(&self, engine: usize, model: usize) -> Option<Load> {
        if self.held[engine].binary_search(&model).is_ok() {
            return None;
        }
        // What it gains at most is cheap to tell, and mostly nothing.
        let more = self.served(model, 1) - self.served(model, 0);
        if more <= GAIN_LIMIT {
            return None;
        }
        let (mut kept, lost) = self.make_room(engine, model)?;
        let gain = more - lost;
        if gain <= GAIN_LIMIT.max(lost * SWAP_SHARE) {
            return None;
        }
        kept.push(model);
        kept.sort_unstable();
        let models = kept
            .into_iter()
            .map(|kept| self.view.models[kept].name.clone());
        Some(Load {
            server: self.view.engines[engine].server.clone(),
            models: models.collect(),
            gain,
            seconds: self.view.models[model].bytes as f64 / self.view.store_rate,
        })
    }

    /// Returns what an engine keeps beside a model, and the requests a second that this loses;
    /// what is worth least for its size goes first.
    fn make_room(&self, engine: usize, model: usize) -> Option<(Vec<usize>, f64)> {
        let memory = self.view.engines[engine].memory;
        let mut room = memory.checked_sub(self.view.models[model].bytes)?;
        let mut held = self.held[engine].clone();
        held.sort_by(|one, other| self.density(*other).total_cmp(&self.density(*one)));
        let mut kept = Vec::new();
        let mut lost = 0.0;
        for model in held {
            match room.checked_sub(self.view.models[model].bytes) {
                Some(rest) => {
                    room = rest;
                    kept.push(model);
                }
                None => lost += self.worth(model),
            }
        }
        Some((kept, lost))
    }

    fn density(&self, model: usize) -> f64 {
        self.worth(model) / self.view.models[model].bytes.max(1) as f64
    }

    /// Returns the requests a second that are lost if one engine drops a model.
    fn worth(&self, model: usize) -> f64 {
        self.served(model, 0) - self.served(model, -1)
    }

    /// Returns the requests a second that are answered with more or fewer holders of a model.
    fn served(&self, model: usize, more: isize) -> f64 {
        let holders = self.holders[model].saturating_add_signed(more);
        let model = &self.view.models[model];
        model.demand.min(model.rate * holders as f64)
    }
}

fn indexes(view: &View<'_>, engine: &Engine) -> Vec<usize> {
    find(view, &engine.models)
}

fn find(view: &View<'_>, names: &[Name]) -> Vec<usize> {
    let find = |name| view.models.binary_search_by(|model| model.name.cmp(name));
    names.iter().filter_map(|name| find(name).ok()).collect()
}

fn value(load: &Load) -> f64 {
    load.gain / load.seconds
}

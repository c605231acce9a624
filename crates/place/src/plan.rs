//! Which model to load next, by the attainment that a second of loading buys.

use core::cmp::Ordering;

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

/// Returns the loads worth making, the one that buys most attainment a second first.
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
/// assert_eq!(plan::loads(&view)[0].models, ["summary".into()]);
/// ```
pub fn loads(view: &View<'_>) -> Vec<Load> {
    let mut engines = view.engines.to_vec();
    let mut loads = Vec::new();
    while let Some((at, load)) = best(view, &engines) {
        engines[at].models.clone_from(&load.models);
        loads.push(load);
    }
    loads
}

fn best(view: &View<'_>, engines: &[Engine]) -> Option<(usize, Load)> {
    let candidates = engines.iter().enumerate().flat_map(|(at, engine)| {
        let absent = view.models.iter().filter(|model| !holds(engine, model));
        absent.filter_map(move |model| Some((at, load(view, engines, engine, model)?)))
    });
    candidates.max_by(|(at, one), (other_at, other)| {
        let by_value = value(one).total_cmp(&value(other));
        // Equal loads go to the first engine, so that two planners choose alike.
        by_value.then_with(|| other_at.cmp(at))
    })
}

fn value(load: &Load) -> f64 {
    load.gain / load.seconds
}

/// Returns the load of a model by an engine, if it gains more than it evicts.
fn load(view: &View<'_>, engines: &[Engine], engine: &Engine, model: &Model) -> Option<Load> {
    let kept = kept(view, engines, engine, model)?;
    let lost: f64 = view
        .models
        .iter()
        .filter(|held| holds(engine, held) && kept.binary_search(&held.name).is_err())
        .map(|held| worth(engines, held))
        .sum();
    let gain = served(engines, model, 1) - served(engines, model, 0) - lost;
    let mut models = kept;
    let place = models.binary_search(&model.name).unwrap_err();
    models.insert(place, model.name.clone());
    (gain > GAIN_LIMIT).then(|| Load {
        server: engine.server.clone(),
        models,
        gain,
        seconds: model.bytes as f64 / view.store_rate,
    })
}

/// The least gain, in requests a second, for which a load is made.
const GAIN_LIMIT: f64 = 1e-6;

/// Returns what an engine keeps to make room, dropping what is worth least for its size first.
fn kept(view: &View<'_>, engines: &[Engine], engine: &Engine, model: &Model) -> Option<Vec<Name>> {
    let mut held: Vec<&Model> = view.models.iter().filter(|m| holds(engine, m)).collect();
    held.sort_by(|one, other| by_density(engines, one, other));
    let mut room = engine.memory.checked_sub(model.bytes)?;
    let mut kept = Vec::new();
    for model in held {
        if let Some(rest) = room.checked_sub(model.bytes) {
            room = rest;
            kept.push(model.name.clone());
        }
    }
    kept.sort_unstable();
    Some(kept)
}

fn by_density(engines: &[Engine], one: &Model, other: &Model) -> Ordering {
    let density = |model: &Model| worth(engines, model) / model.bytes.max(1) as f64;
    density(other).total_cmp(&density(one))
}

/// Returns the requests a second that are lost if one engine drops a model.
fn worth(engines: &[Engine], model: &Model) -> f64 {
    let holders = holders(engines, model);
    let rest = model.rate * holders.saturating_sub(1) as f64;
    served(engines, model, 0) - model.demand.min(rest)
}

/// Returns the requests a second that are answered if more engines held a model.
fn served(engines: &[Engine], model: &Model, more: usize) -> f64 {
    let capacity = model.rate * (holders(engines, model) + more) as f64;
    model.demand.min(capacity)
}

fn holders(engines: &[Engine], model: &Model) -> usize {
    engines.iter().filter(|engine| holds(engine, model)).count()
}

fn holds(engine: &Engine, model: &Model) -> bool {
    engine.models.binary_search(&model.name).is_ok()
}

//! Selection among engines, by queued tokens and by the prompt parts in their caches.

use core::{hash::Hasher, net::SocketAddr};
use std::rc::Rc;

use base::{Name, Tick, hash::Stable};
use rand::Rng;
use site::roster::Server;

use crate::{
    Fleet,
    plain::{self, Context},
    speed::Usual,
};

/// A prompt as described by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one is not shared with other requests or sessions.
    pub parts: Vec<Part>,
    /// Prompt tokens to read.
    pub input_tokens: u64,
    /// The maximum number of tokens to generate.
    pub max_output_tokens: u64,
}

impl Prompt {
    /// Returns the tokens of the parts that other requests share.
    pub fn shared_tokens(&self) -> u64 {
        let parts = self.parts.len().saturating_sub(1);
        self.parts[..parts].iter().map(|part| part.tokens).sum()
    }

    /// Returns the ids of the parts that other requests may share.
    pub fn shared_ids(&self) -> Vec<u64> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.id).collect()
    }

    /// Returns the tokens that no other request shares.
    pub fn own_tokens(&self) -> u64 {
        self.input_tokens.saturating_sub(self.shared_tokens())
    }
}

/// A part of a prompt, shared by all requests that name its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The part's id.
    pub id: u64,
    /// The number of its tokens.
    pub tokens: u64,
}

/// A chain of prompt parts that an engine is assumed to have cached.
#[derive(Clone, Debug)]
pub(crate) struct CachedChain {
    chain: u64,
    server: Name,
    cached_at: Tick,
}

/// A chain that an engine added to its cache recently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The engine.
    pub server: Name,
    /// A digest of the parts of the chain.
    pub chain: u64,
    /// When the engine read it.
    pub read_at: Tick,
}

/// The engine selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice<'a> {
    /// The engine.
    pub server: &'a Rc<Server>,
    /// The approximate number of tokens that it has to read itself.
    pub tokens: u64,
    /// An engine of the same software with more of the prompt in its cache, to fetch from.
    pub fetch_from: Option<SocketAddr>,
}

/// A preference for one failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Affinity<'a> {
    /// The domain that stores the results of earlier stages.
    pub domain: Option<&'a Name>,
    /// The cost of leaving it, in milliseconds of waiting.
    pub penalty_ms: f64,
}

/// Returns the engine with the lowest expected time to the first token.
///
/// The shared parts of a prompt have a home engine, which is the same on all instances that know
/// the same engines. A request goes to another engine if waiting in the home engine's queue costs
/// more than reading those parts again.
///
/// # Examples
///
/// ```
/// use base::Tick;
/// use pick::{Fleet, engine, plain::Context};
/// use rand::{SeedableRng, rngs::SmallRng};
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut cx = Context { now: Tick::default(), domain: &"a".into(), tried: &[], rng: &mut rng };
/// let affinity = engine::Affinity { domain: None, penalty_ms: 0.0 };
/// let prompt = engine::Prompt::default();
/// assert!(engine::choose(&Fleet::default(), &mut cx, &prompt, affinity, &[]).is_none());
/// ```
pub fn choose<'a, R: Rng>(
    fleet: &Fleet,
    cx: &mut Context<'_, R>,
    prompt: &Prompt,
    affinity: Affinity<'_>,
    servers: &[&'a Rc<Server>],
) -> Option<Choice<'a>> {
    let config = &fleet.config;
    let chains = chains(prompt);
    let home = prompt.parts.len().checked_sub(2).map(|at| chains[at]);
    let home = home.and_then(|chain| servers.iter().max_by_key(|server| weight(chain, server)));
    let usable = servers
        .iter()
        .filter(|server| !cx.tried.contains(&server.id) && !fleet.is_blocked(cx.now, &server.id));
    let rated = usable.map(|server| (server, fleet.speeds.reading(cx.now, &server.id)));
    let rated: Vec<_> = rated.collect();
    // Requests that share parts are spread by their homes, and a draw by speed would lead them away from there.
    let reference = match home {
        Some(_) => None,
        None => plain::reference(cx.rng, rated.iter().map(|(_, ratio)| *ratio)),
    };
    let mut best: Option<(f64, Choice<'a>)> = None;
    let mut usual: Option<(&Name, Usual)> = None;
    for (at, (server, ratio)) in rated.into_iter().enumerate() {
        let usual = match usual {
            Some((pool, usual)) if *pool == server.pool => usual,
            _ => {
                let found = fleet.speeds.usual(&server.pool, config.tokens_per_ms);
                usual = Some((&server.pool, found));
                found
            }
        };
        let cached = fleet.cached_tokens(cx.now, &server.id, &chains, prompt);
        let is_home = home.is_some_and(|home| home.id == server.id);
        let shared = if is_home { prompt.shared_tokens() } else { 0 };
        let tokens = prompt.input_tokens.saturating_sub(cached.max(shared));
        let (queued_tokens, running, failures) =
            fleet.get(&server.id).map_or((0, 0, 0.0), |stats| {
                (
                    stats.queued_tokens,
                    stats.running,
                    stats.failures(cx.now, config),
                )
            });
        let (peer_tokens, peer_running) = fleet.peer_load(cx.now, &server.id);
        let queued_tokens = (queued_tokens + peer_tokens) as f64;
        let running = running + peer_running;
        let (new_ratio, is_reference) = plain::credit(reference, at, ratio);
        let jitter = plain::jitter(config.jitter, cx.rng, is_reference);
        // Where no speed is known, both ratios are 1.
        let work = queued_tokens * ratio + tokens as f64 * new_ratio;
        // With a learned rate of 157 tokens per ms instead of the assumed one, requests left the engines that have their
        // shared parts, and 1.6 times as many tokens were read again.
        let tokens_per_ms = match home {
            Some(_) => config.tokens_per_ms,
            None => usual.tokens_per_ms,
        };
        let mut cost = work / tokens_per_ms * jitter;
        // Each call in flight counts as 1 ms of waiting.
        cost += f64::from(running) * ratio + config.failure_penalty_ms * failures;
        if home.is_none() {
            cost += usual.fixed_ms * (new_ratio - 1.0);
            let queue_ms = queued_tokens * ratio / usual.tokens_per_ms;
            cost += writing_cost(fleet, cx.now, server, prompt, usual, queue_ms, ratio);
        }
        if affinity
            .domain
            .is_some_and(|domain| *domain != server.domain)
        {
            cost += affinity.penalty_ms;
        }
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            let choice = Choice {
                server,
                tokens,
                fetch_from: None,
            };
            best = Some((cost, choice));
        }
    }
    let (_, mut choice) = best?;
    // The cache of the home engine may be unknown if other instances sent it the parts.
    let home = home.filter(|home| {
        home.id != choice.server.id
            && !fleet.is_blocked(cx.now, &home.id)
            && home.runs(&choice.server.software())
    });
    choice.fetch_from = fleet
        .fetch_source(cx.now, &choice, &chains, prompt, servers)
        .or_else(|| home.map(|home| home.address));
    Some(choice)
}

/// Returns the additional cost of writing the output at an engine, compared with one of usual speed.
///
/// Prompts that an engine reads meanwhile stall the events of its streams. A slow engine needs longer for the part of a
/// prompt that it reads between two events, which matters more the longer the output is.
fn writing_cost(
    fleet: &Fleet,
    now: Tick,
    server: &Server,
    prompt: &Prompt,
    usual: Usual,
    queue_ms: f64,
    ratio: f64,
) -> f64 {
    let config = &fleet.config;
    let output_tokens = prompt.max_output_tokens as f64;
    let writing_ratio = fleet.speeds.writing(now, &server.id);
    let writing = output_tokens * usual.gap_ms * (writing_ratio - 1.0) * config.writing_weight;
    let length = (output_tokens / config.long_output_tokens).min(1.0);
    let stalls = queue_ms * (ratio - 1.0).max(0.0) * length * config.stall_weight;
    writing + stalls
}

impl Fleet {
    /// Records that an engine has read a prompt and cached its shared parts.
    pub fn record_cached_prompt(&mut self, now: Tick, server: &Name, prompt: &Prompt) {
        let shared = prompt.parts.len().saturating_sub(1);
        for chain in chains(prompt).into_iter().take(shared) {
            if self.record_cached_chain(now, server, chain) {
                self.cache_updates.push(Update {
                    server: server.clone(),
                    chain,
                    read_at: now,
                });
            }
        }
        let ttl = self.config.update_ttl;
        self.cache_updates
            .retain(|update| now - update.read_at < ttl);
    }

    /// Returns the chains that engines cached recently, to be sent to other instances.
    pub fn cache_updates(&self, now: Tick) -> impl Iterator<Item = &Update> {
        let ttl = self.config.update_ttl;
        self.cache_updates
            .iter()
            .filter(move |update| now - update.read_at < ttl)
    }

    /// Records that an engine has cached a chain, and returns whether that is worth reporting: it is new, or its last
    /// record is older than a quarter of the TTL.
    pub fn record_cached_chain(&mut self, now: Tick, server: &Name, chain: u64) -> bool {
        let ttl = self.config.part_ttl;
        if self.cached_chains.len() >= self.config.max_parts {
            self.cached_chains
                .retain(|cached| now - cached.cached_at < ttl / 2);
        }
        let at = self
            .cached_chains
            .binary_search_by(|cached| (cached.chain, &cached.server).cmp(&(chain, server)));
        match at {
            Ok(at) => {
                let previous = core::mem::replace(&mut self.cached_chains[at].cached_at, now);
                now - previous >= ttl / 4
            }
            Err(at) => {
                let cached = CachedChain {
                    chain,
                    server: server.clone(),
                    cached_at: now,
                };
                self.cached_chains.insert(at, cached);
                true
            }
        }
    }

    /// Forgets the cached chains of an engine.
    pub fn clear_cached(&mut self, server: &Name) {
        self.cached_chains.retain(|cached| cached.server != *server);
    }

    /// Returns the tokens of a prompt that an engine is assumed to have cached.
    fn cached_tokens(&self, now: Tick, server: &Name, chains: &[u64], prompt: &Prompt) -> u64 {
        let is_cached = |chain: u64| {
            let at = self
                .cached_chains
                .binary_search_by(|cached| (cached.chain, &cached.server).cmp(&(chain, server)));
            at.is_ok_and(|at| now - self.cached_chains[at].cached_at < self.config.part_ttl)
        };
        let parts = prompt.parts.iter().zip(chains);
        let cached = parts.take_while(|(_, chain)| is_cached(**chain));
        cached.map(|(part, _)| part.tokens).sum()
    }

    /// Returns the engine with the most cached tokens of a prompt, if it has more than the selected one.
    fn fetch_source(
        &self,
        now: Tick,
        choice: &Choice<'_>,
        chains: &[u64],
        prompt: &Prompt,
        servers: &[&Rc<Server>],
    ) -> Option<SocketAddr> {
        let own = self.cached_tokens(now, &choice.server.id, chains, prompt);
        let others = servers
            .iter()
            .filter(|server| server.id != choice.server.id && !self.is_blocked(now, &server.id))
            .filter(|server| server.runs(&choice.server.software()));
        let best = others
            .map(|server| (self.cached_tokens(now, &server.id, chains, prompt), server))
            .max_by_key(|(cached, server)| (*cached, server.domain == choice.server.domain))?;
        (best.0 > own).then_some(best.1.address)
    }
}

/// Returns the digest of each prefix of the prompt's parts.
fn chains(prompt: &Prompt) -> Vec<u64> {
    let mut hasher = Stable::new();
    let digests = prompt.parts.iter().map(|part| {
        hasher.write(&part.id.to_le_bytes());
        hasher.finish()
    });
    digests.collect()
}

/// Returns a server's weight for a chain in rendezvous hashing.
fn weight(chain: u64, server: &Server) -> u64 {
    let mut hasher = Stable::new();
    hasher.write(&chain.to_le_bytes());
    hasher.write(server.id.as_str().as_bytes());
    hasher.finish()
}

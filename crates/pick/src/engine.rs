//! Choice among engines, by tokens in line and by the parts of prompts that they keep.

use core::{hash::Hasher, net::SocketAddr};
use std::{hash::DefaultHasher, rc::Rc};

use base::{Name, Tick};
use rand::{Rng, RngExt};
use site::roster::Server;

use crate::{Fleet, plain::Context};

/// A prompt, as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one belongs to this request or its session alone.
    pub parts: Vec<Part>,
    /// Tokens to read.
    pub input_tokens: u64,
    /// The most tokens to generate.
    pub max_output_tokens: u64,
}

impl Prompt {
    /// Returns the tokens of the parts that other requests name, too.
    pub fn shared_tokens(&self) -> u64 {
        let parts = self.parts.len().saturating_sub(1);
        self.parts[..parts].iter().map(|part| part.tokens).sum()
    }

    /// Returns the tokens that no other request names.
    pub fn own_tokens(&self) -> u64 {
        self.input_tokens.saturating_sub(self.shared_tokens())
    }
}

/// A part of a prompt, shared by all requests that name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The part's id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// A chain of parts that an engine is taken to keep.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    chain: u64,
    server: Name,
    since: Tick,
}

/// A chain that an engine has just read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The engine.
    pub server: Name,
    /// A digest of the parts.
    pub chain: u64,
    /// When it was read.
    pub read_at: Tick,
}

/// An engine for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice<'a> {
    /// The engine.
    pub server: &'a Rc<Server>,
    /// Tokens that it has to read itself, about.
    pub tokens: u64,
    /// An engine that keeps more of the prompt, to fetch from.
    pub fetch_from: Option<SocketAddr>,
}

/// What speaks for a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Affinity<'a> {
    /// The domain in which the results of earlier stages lie.
    pub domain: Option<&'a Name>,
    /// What leaving it costs, in milliseconds of waiting.
    pub penalty_ms: f64,
}

/// Returns the engine with the least expected time to the first token.
///
/// The shared parts of a prompt have a home engine, the same at every instance as long as the
/// instances know the same engines; a request leaves it when the line there costs more than
/// reading those parts again.
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
    let home = home.and_then(|chain| servers.iter().max_by_key(|one| weight(chain, one)));
    let mut best: Option<(f64, Choice<'a>)> = None;
    for server in servers {
        if cx.tried.contains(&server.id) || fleet.is_blocked(cx.now, &server.id) {
            continue;
        }
        let kept = fleet.kept(cx.now, &server.id, &chains, prompt);
        let is_home = home.is_some_and(|home| home.id == server.id);
        let shared = if is_home { prompt.shared_tokens() } else { 0 };
        let tokens = prompt.input_tokens.saturating_sub(kept.max(shared));
        let (line, running, failures) = fleet.get(&server.id).map_or((0, 0, 0.0), |seen| {
            (seen.line, seen.running, seen.failures(cx.now, config))
        });
        let (others_line, others_running) = fleet.others(cx.now, &server.id);
        let line = (line + others_line) as f64;
        let running = running + others_running;
        let chance = 1.0 + config.jitter * cx.rng.random::<f64>();
        let mut cost = (line + tokens as f64) / config.tokens_per_ms * chance;
        cost += f64::from(running) + config.failure_penalty_ms * failures;
        if affinity
            .domain
            .is_some_and(|domain| *domain != server.domain)
        {
            cost += affinity.penalty_ms;
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let choice = Choice {
                server,
                tokens,
                fetch_from: None,
            };
            best = Some((cost, choice));
        }
    }
    let (_, mut choice) = best?;
    // Nothing may be known of the home of parts that other instances had read.
    let home =
        home.filter(|home| home.id != choice.server.id && !fleet.is_blocked(cx.now, &home.id));
    choice.fetch_from = fleet
        .source(cx.now, &choice, &chains, prompt, servers)
        .or_else(|| home.map(|home| home.address));
    Some(choice)
}

impl Fleet {
    /// Takes note that an engine has read a prompt.
    pub fn record_cached_prompt(&mut self, now: Tick, server: &Name, prompt: &Prompt) {
        let shared = prompt.parts.len().saturating_sub(1);
        for chain in chains(prompt).into_iter().take(shared) {
            if self.record_cached_chain(now, server, chain) {
                self.news.push(Update {
                    server: server.clone(),
                    chain,
                    read_at: now,
                });
            }
        }
        let span = self.config.update_ttl;
        self.news.retain(|news| now - news.read_at < span);
    }

    /// Returns the chains that engines have read lately, for other instances.
    pub fn cache_updates(&self, now: Tick) -> impl Iterator<Item = &Update> {
        let span = self.config.update_ttl;
        self.news
            .iter()
            .filter(move |news| now - news.read_at < span)
    }

    /// Takes note that an engine keeps a chain, and tells whether that was not known.
    pub fn record_cached_chain(&mut self, now: Tick, server: &Name, chain: u64) -> bool {
        let memory = self.config.part_ttl;
        if self.parts.len() >= self.config.max_parts {
            self.parts.retain(|held| now - held.since < memory / 2);
        }
        let at = self
            .parts
            .binary_search_by(|held| (held.chain, &held.server).cmp(&(chain, server)));
        match at {
            Ok(at) => {
                let known = core::mem::replace(&mut self.parts[at].since, now);
                now - known >= memory / 4
            }
            Err(at) => {
                let held = Held {
                    chain,
                    server: server.clone(),
                    since: now,
                };
                self.parts.insert(at, held);
                true
            }
        }
    }

    /// Forgets what an engine kept.
    pub fn clear_cached(&mut self, server: &Name) {
        self.parts.retain(|held| held.server != *server);
    }

    /// Returns the tokens of a prompt that an engine is taken to keep.
    fn kept(&self, now: Tick, server: &Name, chains: &[u64], prompt: &Prompt) -> u64 {
        let known = |chain: u64| {
            let at = self
                .parts
                .binary_search_by(|held| (held.chain, &held.server).cmp(&(chain, server)));
            at.is_ok_and(|at| now - self.parts[at].since < self.config.part_ttl)
        };
        let parts = prompt.parts.iter().zip(chains);
        let kept = parts.take_while(|(_, chain)| known(**chain));
        kept.map(|(part, _)| part.tokens).sum()
    }

    /// Returns the engine that keeps most of a prompt beyond what the chosen one keeps.
    fn source(
        &self,
        now: Tick,
        choice: &Choice<'_>,
        chains: &[u64],
        prompt: &Prompt,
        servers: &[&Rc<Server>],
    ) -> Option<SocketAddr> {
        let own = self.kept(now, &choice.server.id, chains, prompt);
        let others = servers
            .iter()
            .filter(|server| server.id != choice.server.id && !self.is_blocked(now, &server.id));
        let best = others
            .map(|server| (self.kept(now, &server.id, chains, prompt), server))
            .max_by_key(|(kept, server)| (*kept, server.domain == choice.server.domain))?;
        (best.0 > own).then_some(best.1.address)
    }
}

/// Returns a digest of the parts up to each one.
fn chains(prompt: &Prompt) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    let digests = prompt.parts.iter().map(|part| {
        hasher.write_u64(part.id);
        hasher.finish()
    });
    digests.collect()
}

/// Returns a server's weight for a chain in rendezvous hashing.
fn weight(chain: u64, server: &Server) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u64(chain);
    hasher.write(server.id.as_str().as_bytes());
    hasher.finish()
}

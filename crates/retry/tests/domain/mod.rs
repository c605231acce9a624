//! A simulated failure domain of instances and backend servers, in which some contents crash servers.

#![allow(unreachable_pub, reason = "a module of a test")]

use std::{collections::VecDeque, time::Duration};

use base::{Digest, Incarnation, Stamp, Tick};
use member::fact::{Id, Suspect};
use retry::{
    Arbiter, Registry,
    arbiter::{Decision, Trial},
    configs,
    suspect::{self, Action, Outcome, Verdict},
};

/// How instances choose a server for a content that is not suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// Any server.
    Free,
    /// One of the two candidates that the content's digest selects.
    Candidates,
}

/// An attempt that runs on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Run {
    instance: usize,
    content: usize,
}

#[derive(Debug)]
struct Server {
    incarnation: Incarnation,
    up: bool,
    runs: Vec<Run>,
}

/// A request that waits for its next attempt.
#[derive(Clone, Copy, Debug)]
struct Request {
    instance: usize,
    content: usize,
}

#[derive(Debug)]
pub struct Domain {
    /// Number of servers that each content crashed.
    pub lost: Vec<usize>,
    /// Servers on which each content ran without a permit.
    pub unsuspected: Vec<Vec<Id>>,
    /// Number of answered and of refused requests, by content.
    pub answered: Vec<usize>,
    pub refused: Vec<usize>,
    poison: usize,
    routing: Routing,
    registries: Vec<Registry>,
    arbiter: Arbiter,
    servers: Vec<Server>,
    waiting: VecDeque<Request>,
    messages: VecDeque<(usize, Suspect)>,
    now: Tick,
}

impl Domain {
    /// Creates a failure domain in which contents with an index below `poison` are harmful and crash their server.
    pub fn new(
        routing: Routing,
        instances: usize,
        servers: usize,
        contents: usize,
        poison: usize,
    ) -> Self {
        let server = |at: usize| Server {
            incarnation: Incarnation::new(format!("runner-{at}"), Stamp::from_millis(1)),
            up: true,
            runs: Vec::new(),
        };
        let registry = Registry::new(configs::suspect::Suspect::default());
        Self {
            lost: vec![0; contents],
            unsuspected: vec![Vec::new(); contents],
            answered: vec![0; contents],
            refused: vec![0; contents],
            poison,
            routing,
            registries: vec![registry; instances],
            arbiter: Arbiter::default(),
            servers: (0..servers).map(server).collect(),
            waiting: VecDeque::new(),
            messages: VecDeque::new(),
            now: Tick::default(),
        }
    }

    /// Adds a request that arrives at an instance.
    pub fn arrive(&mut self, instance: usize, content: usize) {
        let instance = instance % self.registries.len();
        let content = content % self.lost.len();
        self.waiting.push_back(Request { instance, content });
    }

    /// Attempts the request that has waited longest.
    pub fn attempt(&mut self, pick: usize) {
        let Some(request) = self.waiting.pop_front() else {
            return;
        };
        let digest = digest(request.content);
        match self.registries[request.instance].verdict(&digest) {
            Verdict::Refused => self.refused[request.content] += 1,
            Verdict::Allowed => self.run(request, pick, false),
            Verdict::PermitOnly => self.ask_permit(request, pick),
        }
    }

    /// Lets a server finish its attempts: it answers them, or crashes if one of them runs a harmful
    /// content.
    pub fn finish(&mut self, pick: usize) {
        let busy: Vec<usize> = (0..self.servers.len())
            .filter(|at| !self.servers[*at].runs.is_empty())
            .collect();
        if busy.is_empty() {
            return;
        }
        let at = busy[pick % busy.len()];
        let runs = core::mem::take(&mut self.servers[at].runs);
        let culprit = runs.iter().find(|run| run.content < self.poison).copied();
        match culprit {
            Some(run) => self.crash(at, run.content, &runs),
            None => runs.iter().for_each(|run| self.answer(at, *run)),
        }
    }

    /// Delivers one message.
    pub fn deliver(&mut self) {
        if let Some((to, fact)) = self.messages.pop_front() {
            let actions = self.registries[to].merge(self.now, &fact);
            self.execute(to, actions);
        }
    }

    /// Delivers all messages, waits until permits may be granted, and restarts crashed servers.
    pub fn settle(&mut self) {
        while !self.messages.is_empty() {
            self.deliver();
        }
        self.now = self.now + configs::suspect::Suspect::default().crash_cooldown;
        for server in self.servers.iter_mut().filter(|server| !server.up) {
            server.incarnation.start = server.incarnation.start + Duration::from_millis(1);
            server.up = true;
        }
    }

    /// Continues until no request waits or runs.
    pub fn drain(&mut self) {
        for pick in 0..10_000 {
            if self.waiting.is_empty() && self.servers.iter().all(|server| server.runs.is_empty()) {
                return;
            }
            self.attempt(pick);
            self.finish(pick);
            self.settle();
        }
        panic!("requests still wait: {:?}", self.waiting);
    }

    pub fn verdict(&self, instance: usize, content: usize) -> Verdict {
        self.registries[instance].verdict(&digest(content))
    }

    /// Returns whether a copy of a content runs or waits.
    pub fn is_open(&self, content: usize) -> bool {
        let is_waiting = self
            .waiting
            .iter()
            .any(|request| request.content == content);
        is_waiting
            || self
                .servers
                .iter()
                .flat_map(|server| &server.runs)
                .any(|run| run.content == content)
    }

    /// Asks the owner of suspects, instance 0, for a permit.
    fn ask_permit(&mut self, request: Request, pick: usize) {
        let Some(at) = self.choose(request.content, pick) else {
            self.waiting.push_back(request);
            return;
        };
        let server = Id::from_incarnation(&self.servers[at].incarnation);
        let trial = self.trial(request.instance, digest(request.content), server);
        let actions = self.registries[0].merge(self.now, &trial.suspect);
        self.execute(0, actions);
        match self
            .arbiter
            .decide(self.now, &mut self.registries[0], &trial)
        {
            Decision::Busy(_) => self.waiting.push_back(request),
            Decision::Granted(_) => self.start(request, at, true),
            Decision::Free => {
                let known = self.registries[0].get(&trial.suspect.digest).cloned();
                self.registries[request.instance].merge(self.now, &known.expect("a known suspect"));
                self.waiting.push_back(request);
            }
            Decision::Refused => self.refused[request.content] += 1,
        }
    }

    fn run(&mut self, request: Request, pick: usize, has_permit: bool) {
        match self.choose(request.content, pick) {
            Some(at) => self.start(request, at, has_permit),
            None => self.waiting.push_back(request),
        }
    }

    fn choose(&self, content: usize, pick: usize) -> Option<usize> {
        let names: Vec<Incarnation> = self
            .servers
            .iter()
            .map(|server| server.incarnation.clone())
            .collect();
        let allowed: Vec<usize> = match self.routing {
            Routing::Free => (0..names.len()).collect(),
            Routing::Candidates => {
                let candidates = suspect::candidates(&names, &digest(content));
                (0..names.len())
                    .filter(|at| candidates.contains(&&names[*at]))
                    .collect()
            }
        };
        let up: Vec<usize> = allowed
            .into_iter()
            .filter(|at| self.servers[*at].up)
            .collect();
        (!up.is_empty()).then(|| up[pick % up.len()])
    }

    fn start(&mut self, request: Request, at: usize, has_permit: bool) {
        let server = Id::from_incarnation(&self.servers[at].incarnation);
        let Request { instance, content } = request;
        self.registries[instance].record_start(digest(content), server);
        if !has_permit && !self.unsuspected[content].contains(&server) {
            self.unsuspected[content].push(server);
        }
        self.servers[at].runs.push(Run { instance, content });
    }

    fn answer(&mut self, at: usize, run: Run) {
        let server = Id::from_incarnation(&self.servers[at].incarnation);
        let registry = &mut self.registries[run.instance];
        let actions =
            registry.record_end(self.now, digest(run.content), server, Outcome::Completed);
        self.execute(run.instance, actions);
        self.answered[run.content] += 1;
    }

    fn crash(&mut self, at: usize, culprit: usize, runs: &[Run]) {
        let server = Id::from_incarnation(&self.servers[at].incarnation);
        self.lost[culprit] += 1;
        self.servers[at].up = false;
        for instance in 0..self.registries.len() {
            let actions = self.registries[instance].record_server_death(self.now, server);
            self.execute(instance, actions);
        }
        for Run { instance, content } in runs.iter().copied() {
            self.waiting.push_back(Request { instance, content });
        }
    }

    /// Executes the actions of an instance's registry; reports reach the owner immediately.
    fn execute(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Forget(_) => {}
                Action::Report {
                    digest,
                    server,
                    step,
                } => {
                    let trial = self.trial(from, digest, server);
                    let actions =
                        self.arbiter
                            .report(self.now, &mut self.registries[0], &trial, step);
                    self.execute(0, actions);
                }
                Action::Broadcast(fact) => {
                    let others = (0..self.registries.len()).filter(|to| *to != from);
                    self.messages.extend(others.map(|to| (to, fact.clone())));
                }
            }
        }
    }

    fn trial(&self, instance: usize, digest: Digest, server: Id) -> Trial {
        let known = self.registries[instance].get(&digest).cloned();
        let unknown = Suspect {
            digest,
            crashed: Vec::new(),
            cleared: 0,
        };
        Trial {
            suspect: known.unwrap_or(unknown),
            holder: Id(u64::try_from(instance).unwrap_or_default()),
            server,
        }
    }
}

fn digest(content: usize) -> Digest {
    Digest::of(&content.to_be_bytes())
}

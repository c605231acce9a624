//! Which pieces the next call to each server takes.

use std::rc::Rc;

use base::{Name, Tick};
use pick::Fleet;
use site::{Config, Roster, pool::Pieces, pool::Work, roster::Server};

use crate::{Piece, configs};

/// What a decision may see.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The present instant.
    pub now: Tick,
    /// The configuration in force.
    pub config: &'a Config,
    /// The servers that are listed.
    pub roster: &'a Roster,
    /// What was seen of them.
    pub fleet: &'a Fleet,
}

/// Pieces that wait, and calls that are under way, by pool.
#[derive(Clone, Debug, Default)]
pub struct Desk {
    config: configs::Config,
    lines: Vec<Line>,
}

/// A call to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The pool.
    pub pool: Name,
    /// The server.
    pub server: Rc<Server>,
    /// What the call holds.
    pub pieces: Vec<Piece>,
}

/// What a server tells of its load in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that it works on.
    pub running: u32,
    /// Calls that wait there.
    pub waiting: u32,
}

#[derive(Clone, Debug, Default)]
struct Line {
    pool: Name,
    waiting: Vec<(Tick, Piece)>,
    feeds: Vec<Feed>,
}

/// One server, as this instance feeds it.
#[derive(Clone, Debug)]
struct Feed {
    server: Name,
    calls: u32,
    /// Until when calls of other instances are taken to keep it busy.
    taken_until: Tick,
    last: Tick,
}

impl Desk {
    /// Makes a desk on which nothing waits.
    pub fn new(config: configs::Config) -> Self {
        Self {
            config,
            lines: Vec::new(),
        }
    }

    /// Adds a piece for a pool.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use batch::{Desk, Piece, piece::Source};
    /// let piece = Piece {
    ///     ticket: 1,
    ///     request: "r".into(),
    ///     stage: 0,
    ///     number: 0,
    ///     source: Source::Key("k".into()),
    ///     due: Tick::from_millis(100),
    ///     deadline: Tick::from_millis(900),
    ///     bytes: 8_000,
    ///     domain: None,
    ///     tries: 0,
    /// };
    /// let mut desk = Desk::default();
    /// desk.offer(Tick::default(), &"board".into(), piece);
    /// assert_eq!(desk.waiting(&"board".into()), 1);
    /// ```
    pub fn offer(&mut self, now: Tick, pool: &Name, piece: Piece) {
        self.line(pool).waiting.push((now, piece));
    }

    /// Drops pieces that wait, by their tickets.
    pub fn withdraw(&mut self, tickets: core::ops::Range<u64>) {
        for line in &mut self.lines {
            line.waiting
                .retain(|(_, piece)| !tickets.contains(&piece.ticket));
        }
    }

    /// Returns the number of pieces that wait for a pool.
    pub fn waiting(&self, pool: &Name) -> usize {
        self.find(pool).map_or(0, |at| self.lines[at].waiting.len())
    }

    /// Takes note that a call ended, and of the load that its answer told.
    pub fn done(
        &mut self,
        now: Tick,
        pool: &Name,
        server: &Name,
        load: Option<Load>,
        work: &Pieces,
    ) {
        let line = self.line(pool);
        let Some(feed) = line.feeds.iter_mut().find(|feed| feed.server == *server) else {
            return;
        };
        feed.calls = feed.calls.saturating_sub(1);
        let others = load.map_or(0, |load| load.running + load.waiting);
        feed.taken_until = now + usual(work) * others;
    }

    /// Takes note that a server has no place for a call now.
    pub fn full(&mut self, now: Tick, pool: &Name, server: &Name, work: &Pieces) {
        let line = self.line(pool);
        if let Some(feed) = line.feeds.iter_mut().find(|feed| feed.server == *server) {
            feed.calls = feed.calls.saturating_sub(1);
            feed.taken_until = now + usual(work);
        }
    }

    /// Returns the calls to send now.
    pub fn next(&mut self, cx: Context<'_>) -> Vec<Order> {
        let mut orders = Vec::new();
        let config = self.config.clone();
        for line in &mut self.lines {
            let Some(Work::Pieces(work)) = cx.config.pool(&line.pool).map(|pool| pool.work) else {
                continue;
            };
            line.waiting.retain(|(_, piece)| cx.now < piece.deadline);
            while let Some(order) = line.next(cx, &config, &work) {
                orders.push(order);
            }
        }
        orders
    }

    fn line(&mut self, pool: &Name) -> &mut Line {
        let at = match self.find(pool) {
            Ok(at) => at,
            Err(at) => {
                let line = Line {
                    pool: pool.clone(),
                    ..Line::default()
                };
                self.lines.insert(at, line);
                at
            }
        };
        &mut self.lines[at]
    }

    fn find(&self, pool: &Name) -> Result<usize, usize> {
        self.lines.binary_search_by(|line| line.pool.cmp(pool))
    }
}

impl Line {
    /// Returns the next call, none if no server is free for what waits.
    fn next(&mut self, cx: Context<'_>, config: &configs::Config, work: &Pieces) -> Option<Order> {
        if self.waiting.is_empty() {
            return None;
        }
        let servers: Vec<_> = cx.roster.usable(cx.now, &self.pool).collect();
        self.feeds
            .retain(|feed| feed.calls > 0 || servers.iter().any(|one| one.id == feed.server));
        let free = servers.into_iter().filter(|server| {
            let calls = self.feed(&server.id).map_or(0, |feed| feed.calls);
            calls < config.calls && !cx.fleet.is_blocked(cx.now, &server.id)
        });
        let server = free.min_by_key(|server| self.rank(cx, server))?.clone();
        let pieces = self.take(cx, config, work, &server);
        if pieces.is_empty() {
            return None;
        }
        match self.feeds.iter_mut().find(|feed| feed.server == server.id) {
            Some(feed) => {
                feed.calls += 1;
                feed.last = cx.now;
            }
            None => self.feeds.push(Feed {
                server: server.id.clone(),
                calls: 1,
                taken_until: Tick::default(),
                last: cx.now,
            }),
        }
        Some(Order {
            pool: self.pool.clone(),
            server,
            pieces,
        })
    }

    /// Orders servers: the soonest free first, among those the last used.
    fn rank(
        &self,
        cx: Context<'_>,
        server: &Server,
    ) -> (core::time::Duration, core::cmp::Reverse<Tick>) {
        let feed = self.feed(&server.id);
        let taken = feed.map_or(core::time::Duration::ZERO, |feed| feed.taken_until - cx.now);
        let last = feed.map_or(Tick::default(), |feed| feed.last);
        (taken, core::cmp::Reverse(last))
    }

    /// Takes what a call to a server holds: what can be on time goes first, then what is due first.
    fn take(
        &mut self,
        cx: Context<'_>,
        config: &configs::Config,
        work: &Pieces,
        server: &Server,
    ) -> Vec<Piece> {
        let stays = |since: Tick, piece: &Piece| {
            piece.bytes >= config.heavy
                && piece
                    .domain
                    .as_ref()
                    .is_some_and(|domain| *domain != server.domain)
                && cx.now - since < config.stay
        };
        self.waiting.sort_by_key(|(since, piece)| {
            (
                stays(*since, piece),
                piece.due < cx.now,
                piece.due,
                piece.ticket,
            )
        });
        let fit = self.waiting.iter().take(work.batch.max(1));
        let count = fit
            .take_while(|(since, piece)| !stays(*since, piece))
            .count();
        let taken = self.waiting.drain(..count);
        taken.map(|(_, piece)| piece).collect()
    }

    fn feed(&self, server: &Name) -> Option<&Feed> {
        self.feeds.iter().find(|feed| feed.server == *server)
    }
}

/// Returns the time of a call of usual size.
fn usual(work: &Pieces) -> core::time::Duration {
    work.call + work.piece * (u32::try_from(work.batch).unwrap_or(1) / 3)
}

//! The budget of bytes that an instance holds for callers: their requests, and answers that they don't take.
//!
//! Answers share half of the budget by a threshold that moves with what is left: a caller's answer is read as long as it
//! holds no more than is free. So reading stops first for the caller that holds most, and a caller that takes its answer
//! at once is never held up by those that don't.

use base::Name;

/// The part of the budget that streams may take, as a divisor. The rest is left to requests and whole answers, which can't
/// be passed on before they are complete.
const STREAMS_DIVISOR: usize = 2;

/// The part of the budget that the streams of one server may take, as a divisor.
const SERVER_DIVISOR: usize = 4;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The body of a caller's request.
    Request,
    /// An answer, or an event of one, that is passed on when it is complete.
    Whole,
    /// The events of a stream that its caller has not taken.
    Stream,
}

/// The budget.
///
/// # Examples
///
/// ```
/// use relay::hold::{Budget, Kind};
///
/// let mut budget = Budget::new(8_000);
/// let (slow, fast) = (budget.open(Kind::Stream), budget.open(Kind::Stream));
/// budget.resize(slow, 1_900);
/// assert!(!budget.may_read(slow));
/// assert!(budget.may_read(fast));
/// budget.resize(slow, 400);
/// assert!(budget.may_read(slow));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    limit: usize,
    /// What is held, by ascending id.
    holders: Vec<Holder>,
    /// The servers whose streams are held, with their bytes.
    servers: Vec<(Name, usize)>,
    total: usize,
    streams: usize,
    next_id: u64,
}

#[derive(Clone, Debug)]
struct Holder {
    id: u64,
    kind: Kind,
    server: Option<Name>,
    bytes: usize,
}

impl Budget {
    /// Returns a budget of a number of bytes.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            holders: Vec::new(),
            servers: Vec::new(),
            total: 0,
            streams: 0,
            next_id: 0,
        }
    }

    /// Begins to hold bytes, and returns the id under which they are counted.
    pub fn open(&mut self, kind: Kind) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.holders.push(Holder {
            id,
            kind,
            server: None,
            bytes: 0,
        });
        id
    }

    /// Counts the bytes of a stream to the server that goes on with it.
    pub fn set_server(&mut self, id: u64, server: &Name) {
        let Some(at) = self.find(id) else {
            return;
        };
        let bytes = self.holders[at].bytes;
        let before = self.holders[at].server.replace(server.clone());
        if let Some(before) = before {
            self.count_at(&before, bytes, 0);
        }
        self.count_at(server, 0, bytes);
    }

    /// Changes the number of bytes.
    pub fn resize(&mut self, id: u64, bytes: usize) {
        let Some(at) = self.find(id) else {
            return;
        };
        let holder = &mut self.holders[at];
        let before = core::mem::replace(&mut holder.bytes, bytes);
        let (kind, server) = (holder.kind, holder.server.clone());
        self.total = self.total - before + bytes;
        if kind == Kind::Stream {
            self.streams = self.streams - before + bytes;
        }
        if let Some(server) = server {
            self.count_at(&server, before, bytes);
        }
    }

    /// Changes the number of bytes if there is room. A small number is always granted, so that ordinary answers pass beside
    /// those that use up the budget.
    pub fn try_resize(&mut self, id: u64, bytes: usize, small: usize) -> bool {
        let before = self.bytes(id);
        let has_room = self.total - before + bytes <= self.limit;
        let is_granted = has_room || bytes <= before || bytes <= small;
        if is_granted {
            self.resize(id, bytes);
        }
        is_granted
    }

    /// Ends what is held under an id.
    pub fn close(&mut self, id: u64) {
        self.resize(id, 0);
        if let Some(at) = self.find(id) {
            self.holders.remove(at);
        }
    }

    /// Returns whether more bytes may be read. Without any it always may, so that a stream whose caller takes its events is
    /// passed on whatever others hold. The oldest request always may as well, as it can't go on before it is complete.
    pub fn may_read(&self, id: u64) -> bool {
        let Some(at) = self.find(id) else {
            return true;
        };
        let holder = &self.holders[at];
        let mut free = self.limit.saturating_sub(self.total);
        if holder.kind == Kind::Stream {
            free = free.min((self.limit / STREAMS_DIVISOR).saturating_sub(self.streams));
            let at_server = holder.server.as_ref().map(|server| self.at_server(server));
            let limit = self.limit / SERVER_DIVISOR;
            free = free.min(limit.saturating_sub(at_server.unwrap_or(holder.bytes)));
        }
        holder.bytes == 0
            || holder.bytes <= free
            || (holder.kind == Kind::Request && self.is_oldest_request(id))
    }

    fn is_oldest_request(&self, id: u64) -> bool {
        let is_held = |holder: &&Holder| holder.kind == Kind::Request && holder.bytes > 0;
        self.holders.iter().find(is_held).map(|holder| holder.id) == Some(id)
    }

    /// Returns the bytes that are held under an id.
    pub fn bytes(&self, id: u64) -> usize {
        self.find(id).map_or(0, |at| self.holders[at].bytes)
    }

    /// Returns the bytes of the streams of a server.
    pub fn at_server(&self, server: &Name) -> usize {
        let found = self
            .servers
            .binary_search_by(|(known, _)| known.cmp(server));
        found.map_or(0, |at| self.servers[at].1)
    }

    /// Returns all bytes that are held.
    pub const fn total(&self) -> usize {
        self.total
    }

    /// Returns the bytes of streams.
    pub const fn streams(&self) -> usize {
        self.streams
    }

    /// Returns the number of bytes that may be held.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    fn find(&self, id: u64) -> Option<usize> {
        self.holders
            .binary_search_by_key(&id, |holder| holder.id)
            .ok()
    }

    fn count_at(&mut self, server: &Name, before: usize, bytes: usize) {
        let found = self
            .servers
            .binary_search_by(|(known, _)| known.cmp(server));
        match found {
            Ok(at) => {
                let held = &mut self.servers[at].1;
                *held = *held - before + bytes;
                if *held == 0 {
                    self.servers.remove(at);
                }
            }
            Err(at) if bytes > 0 => self.servers.insert(at, (server.clone(), bytes)),
            Err(_) => {}
        }
    }
}

//! Grants turns at servers that fall over when they have to turn too many requests away.

use core::time::Duration;

use base::{Name, Tick};

use crate::{Demand, Turn, configs::Config};

/// What is known of a brittle server and of its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The requests that the server works on at the same time.
    pub slots: u32,
    /// The requests of all instances at the server, as far as they told.
    pub running: u32,
    /// The requests that it turns away in a second at most before it falls over.
    pub max_rejections: f64,
}

/// The turns that one instance grants at brittle servers for all instances. A turn lasts until its request has ended.
///
/// A server gets no more requests at a time than it has slots, so that none waits. After a rejection it gets fewer, and one
/// more at a time as long as it takes them.
#[derive(Clone, Debug, Default)]
pub struct Brittle {
    config: Config,
    accounts: Vec<Account>,
}

#[derive(Clone, Debug)]
struct Account {
    server: Name,
    /// When the turns end at the latest, as the end of one may not be told.
    turns: Vec<Tick>,
    /// The requests that it may have at a time since it turned one away.
    room: Option<u32>,
    rejections: Vec<Tick>,
    opened_at: Tick,
    updated_at: Tick,
}

impl Brittle {
    /// Grants a turn at a server if it has room for the request that takes a slot.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use quota::{Brittle, Demand, Turn, brittle::Load};
    /// let (mut brittle, now, server) = (Brittle::default(), Tick::from_millis(5), "i-1".into());
    /// let load = Load { slots: 1, running: 0, max_rejections: 3.0 };
    /// let demand = Demand::one(Duration::ZERO, Duration::from_secs(1));
    /// assert!(matches!(brittle.take(now, &server, load, demand), Turn::Granted { .. }));
    /// assert!(matches!(brittle.take(now, &server, load, demand), Turn::Denied { .. }));
    /// brittle.record_end(now, &server, false);
    /// assert!(matches!(brittle.take(now, &server, load, demand), Turn::Granted { .. }));
    /// ```
    pub fn take(&mut self, now: Tick, server: &Name, load: Load, demand: Demand) -> Turn {
        let config = self.config.clone();
        let account = self.account(now, server);
        account.updated_at = now;
        account.turns.retain(|end| now < *end);
        if let Some(retry_in) = account.pause_left(now, load.max_rejections, &config) {
            return Turn::Denied { retry_in };
        }
        let room = account.room(now, load.slots, &config);
        let mut running = u32::try_from(account.turns.len()).unwrap_or(u32::MAX);
        // Requests that began before the server was brittle, or at another instance's grant, took no turn here.
        if now - account.opened_at < config.brittle_warmup {
            running = running.max(load.running);
        }
        if running >= room {
            return Turn::Denied {
                retry_in: config.full_retry,
            };
        }
        account.turns.push(now + demand.duration);
        Turn::Granted {
            requests: demand.requests,
            wait: Duration::ZERO,
            next_in: Duration::ZERO,
        }
    }

    /// Records that the request of a turn has ended, and whether the server turned it away.
    pub fn record_end(&mut self, now: Tick, server: &Name, is_rejected: bool) {
        let account = self.account(now, server);
        if is_rejected {
            let had = u32::try_from(account.turns.len()).unwrap_or(u32::MAX);
            let room = had.saturating_sub(1).max(1);
            account.room = Some(account.room.map_or(room, |known| known.min(room)));
            account.rejections.push(now);
        }
        let first = (0..account.turns.len()).min_by_key(|at| account.turns[*at]);
        if let Some(first) = first {
            account.turns.swap_remove(first);
        }
    }

    /// Forgets servers at which no turn was granted for long.
    pub fn sweep(&mut self, now: Tick) {
        let idle = self.config.idle_timeout;
        self.accounts
            .retain(|account| now - account.updated_at < idle);
    }

    fn account(&mut self, now: Tick, server: &Name) -> &mut Account {
        let find = |account: &Account| account.server.cmp(server);
        let at = match self.accounts.binary_search_by(find) {
            Ok(at) => at,
            Err(at) => {
                let account = Account {
                    server: server.clone(),
                    turns: Vec::new(),
                    room: None,
                    rejections: Vec::new(),
                    opened_at: now,
                    updated_at: now,
                };
                self.accounts.insert(at, account);
                at
            }
        };
        &mut self.accounts[at]
    }
}

impl Account {
    /// Returns how long the server gets nothing, as it is near the rejections in a second by which it falls over.
    fn pause_left(&mut self, now: Tick, max_rejections: f64, config: &Config) -> Option<Duration> {
        let window = config.rejection_window;
        let recent = self.rejections.iter().filter(|at| now - **at < window);
        let allowed = max_rejections * config.rejection_share;
        let is_near = recent.clone().count() as f64 >= allowed.max(1.0);
        let last = recent.max().copied()?;
        is_near.then(|| window - (now - last))
    }

    /// Returns the requests that the server may have at a time.
    fn room(&mut self, now: Tick, slots: u32, config: &Config) -> u32 {
        let (Some(room), Some(last)) = (self.room, self.rejections.last()) else {
            return slots.max(1);
        };
        let grown = (now - *last).div_duration_f64(config.growth_interval) as u32;
        let room = room.saturating_add(grown);
        if room >= slots {
            self.room = None;
            self.rejections.clear();
        }
        room.clamp(1, slots.max(1))
    }
}

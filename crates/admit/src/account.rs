//! Weighted fair sharing between client accounts, by served cost.

use base::Name;

/// The share of a client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// The name.
    pub name: Name,
    /// Its weight under contention, relative to other accounts.
    pub weight: f64,
    /// Served cost divided by weight; the account with the smallest value goes first.
    pub served: f64,
    /// Number of waiting requests.
    pub waiting: usize,
}

/// All accounts, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    accounts: Vec<Account>,
    /// The served value that idle accounts are raised to, so that they gain nothing by being idle; it never
    /// decreases.
    floor: f64,
}

impl Accounts {
    /// Sets the weight of an account.
    pub fn set_weight(&mut self, name: &Name, weight: u32) {
        self.get_or_insert(name).weight = f64::from(weight.max(1));
    }

    /// Returns an account, and adds it with a weight of one if it is missing.
    pub fn get_or_insert(&mut self, name: &Name) -> &mut Account {
        let at = self.find(name).unwrap_or_else(|at| {
            let account = Account {
                name: name.clone(),
                weight: 1.0,
                served: self.floor,
                waiting: 0,
            };
            self.accounts.insert(at, account);
            at
        });
        &mut self.accounts[at]
    }

    /// Returns the served cost of an account, divided by its weight.
    pub fn served(&self, name: &Name) -> f64 {
        self.find(name)
            .map_or(self.floor, |at| self.accounts[at].served)
    }

    /// Returns the weight of an account.
    pub fn weight(&self, name: &Name) -> f64 {
        self.find(name).map_or(1.0, |at| self.accounts[at].weight)
    }

    /// Records that a request waits; an account gains nothing by having been idle.
    pub fn record_queued(&mut self, name: &Name) {
        let floor = self.floor;
        let account = self.get_or_insert(name);
        if account.waiting == 0 {
            account.served = account.served.max(floor);
        }
        account.waiting += 1;
    }

    /// Records that a request no longer waits.
    pub fn record_dequeued(&mut self, name: &Name) {
        let account = self.get_or_insert(name);
        account.waiting = account.waiting.saturating_sub(1);
    }

    /// Records that a request with an estimated cost started.
    pub fn record_started(&mut self, name: &Name, cost: f64) {
        let floor = self.floor;
        let account = self.get_or_insert(name);
        account.served = account.served.max(floor);
        let start = account.served;
        account.served += cost / account.weight;
        self.floor = self
            .floor
            .max(start.min(self.min_waiting_served().unwrap_or(start)));
    }

    /// Replaces the estimated cost of a request by the measured cost.
    pub fn record_finished(&mut self, name: &Name, estimate: f64, cost: f64) {
        let account = self.get_or_insert(name);
        account.served += (cost - estimate) / account.weight;
    }

    /// Returns the smallest served value among accounts with waiting requests.
    fn min_waiting_served(&self) -> Option<f64> {
        self.accounts
            .iter()
            .filter(|account| account.waiting > 0)
            .map(|account| account.served)
            .min_by(f64::total_cmp)
    }

    fn find(&self, name: &Name) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|account| account.name.cmp(name))
    }
}

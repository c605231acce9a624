//! Fair shares of client accounts, by served cost.

use base::Name;

/// A client account as the queue sees it.
#[derive(Clone, Debug)]
pub struct Account {
    /// The name.
    pub name: Name,
    /// The share under contention, relative to the other accounts.
    pub weight: f64,
    /// Served cost divided by weight; the account with the least goes first.
    pub served: f64,
    /// Requests that wait.
    pub waiting: usize,
}

/// Every account, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    accounts: Vec<Account>,
    /// The least served cost of an account that started last.
    floor: f64,
}

impl Accounts {
    /// Sets the weight of an account.
    pub fn set_weight(&mut self, name: &Name, weight: u32) {
        self.get_or_insert(name).weight = f64::from(weight.max(1));
    }

    /// Finds an account, or adds it with a weight of one.
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

    /// Returns served cost divided by weight.
    pub fn served(&self, name: &Name) -> f64 {
        self.find(name)
            .map_or(self.floor, |at| self.accounts[at].served)
    }

    /// Returns the weight.
    pub fn weight(&self, name: &Name) -> f64 {
        self.find(name).map_or(1.0, |at| self.accounts[at].weight)
    }

    /// Notes that a request waits; an account that was idle gains nothing by it.
    pub fn record_queued(&mut self, name: &Name) {
        let floor = self.floor;
        let account = self.get_or_insert(name);
        if account.waiting == 0 {
            account.served = account.served.max(floor);
        }
        account.waiting += 1;
    }

    /// Notes that a request waits no more.
    pub fn record_dequeued(&mut self, name: &Name) {
        let account = self.get_or_insert(name);
        account.waiting = account.waiting.saturating_sub(1);
    }

    /// Notes that a request started, at an estimated cost.
    pub fn record_started(&mut self, name: &Name, cost: f64) {
        let floor = self.floor;
        let account = self.get_or_insert(name);
        account.served = account.served.max(floor);
        let start = account.served;
        account.served += cost / account.weight;
        self.floor = self
            .floor
            .max(start.min(self.min_waiting().unwrap_or(start)));
    }

    /// Corrects an estimated cost by the measured one.
    pub fn record_finished(&mut self, name: &Name, estimate: f64, cost: f64) {
        let account = self.get_or_insert(name);
        account.served += (cost - estimate) / account.weight;
    }

    fn min_waiting(&self) -> Option<f64> {
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

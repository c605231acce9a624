//! How many attempts may be made again.

/// Tokens that a retry takes.
const RETRY: f64 = 100.0;

/// Retries that may be made at once, also before any first attempt was counted.
const FLOOR: f64 = 10.0 * RETRY;

/// Allows retries as a share of first attempts.
#[derive(Debug)]
pub(crate) struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: FLOOR }
    }
}

impl Budget {
    /// Counts a first attempt, which earns a share of a retry in hundredths.
    pub(crate) fn earn(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent)).min(FLOOR);
    }

    /// Takes one retry, if there is one.
    pub(crate) fn spend(&mut self) -> bool {
        let granted = self.tokens >= RETRY;
        if granted {
            self.tokens -= RETRY;
        }
        granted
    }
}

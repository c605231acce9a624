//! Settings of requests in flight towards one pool.

/// Settings of requests in flight towards one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Requests let through for each place of the pool.
    pub headroom: f64,
    /// The most that time in earlier stages may add, in units of the pool's own places.
    pub upstream: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            headroom: 1.25,
            upstream: 4.0,
        }
    }
}

//! Settings of the prefix indexes.

/// Settings of the prefix index of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Trust put into an index right after a gap in its events, from 0 to 1.
    pub gap_trust: f64,
    /// Prefixes kept for one server.
    pub max_prefixes: usize,
    /// Weight of one hit or miss in the trust put into an index.
    pub trust_weight: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            gap_trust: 0.5,
            max_prefixes: 256,
            trust_weight: 0.1,
        }
    }
}

//! Settings of the prefix cache indexes.

/// Settings of the prefix cache index of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Maximum trust in an index after a gap in its events, from 0 to 1.
    pub gap_trust: f64,
    /// Maximum number of prefixes kept for one server.
    pub max_prefixes: usize,
    /// Weight of one hit or miss in the trust in an index.
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

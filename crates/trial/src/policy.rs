//! The policies compared.

/// How a backend server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The one with the fewest own attempts in flight.
    Fewest,
    /// Any.
    Random,
    /// Each in turn.
    RoundRobin,
    /// By [`route::Table`].
    Table,
}

/// How often a failed attempt is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retries {
    /// Within a budget that is a share of first attempts.
    Budget,
    /// Up to a number for each stage.
    Fixed(u32),
    /// Until the deadline.
    Unlimited,
}

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The name.
    pub name: &'static str,
    /// How a backend server is chosen.
    pub route: Route,
    /// Whether [`admit::Controller`] decides what starts.
    pub gate: bool,
    /// How often a failed attempt is tried again.
    pub retries: Retries,
    /// Whether requests whose server crashed run alone and end after two crashes.
    pub suspects: bool,
}

impl Policy {
    /// What limpetstep does.
    pub const fn ours() -> Self {
        Self {
            name: "ours",
            route: Route::Table,
            gate: true,
            retries: Retries::Budget,
            suspects: true,
        }
    }

    /// The plain baselines.
    pub fn baselines() -> Vec<Self> {
        let plain = |name, route| Self {
            name,
            route,
            gate: false,
            retries: Retries::Fixed(2),
            suspects: false,
        };
        vec![
            plain("random", Route::Random),
            plain("round-robin", Route::RoundRobin),
            plain("fewest", Route::Fewest),
            Self {
                name: "no-admission",
                gate: false,
                ..Self::ours()
            },
            Self {
                name: "unlimited-retries",
                retries: Retries::Unlimited,
                suspects: false,
                ..Self::ours()
            },
        ]
    }

    /// Ours, then the baselines.
    pub fn all() -> Vec<Self> {
        let mut all = vec![Self::ours()];
        all.extend(Self::baselines());
        all
    }
}

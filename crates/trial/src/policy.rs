//! The policies that are compared.

/// How a backend server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The server with the fewest attempts in flight from this instance.
    FewestInFlight,
    /// A random server.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// By [`route::Table`].
    Table,
}

/// How often a failed attempt is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retries {
    /// Within a budget that is a share of first attempts.
    Budget,
    /// Up to this many retries for each stage.
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
    /// Whether [`admit::Controller`] decides which requests start.
    pub admission: bool,
    /// How often a failed attempt is retried.
    pub retries: Retries,
    /// Whether requests whose server crashed run on a server of their own and are refused after two
    /// crashes.
    pub isolates_suspects: bool,
}

impl Policy {
    /// The policy of limpetstep.
    pub const fn ours() -> Self {
        Self {
            name: "ours",
            route: Route::Table,
            admission: true,
            retries: Retries::Budget,
            isolates_suspects: true,
        }
    }

    /// The plain baselines.
    pub fn baselines() -> Vec<Self> {
        let plain = |name, route| Self {
            name,
            route,
            admission: false,
            retries: Retries::Fixed(2),
            isolates_suspects: false,
        };
        vec![
            plain("random", Route::Random),
            plain("round-robin", Route::RoundRobin),
            plain("fewest", Route::FewestInFlight),
            Self {
                name: "no-admission",
                admission: false,
                ..Self::ours()
            },
            Self {
                name: "unlimited-retries",
                retries: Retries::Unlimited,
                isolates_suspects: false,
                ..Self::ours()
            },
        ]
    }

    /// The policy of limpetstep, then the baselines.
    pub fn all() -> Vec<Self> {
        let mut all = vec![Self::ours()];
        all.extend(Self::baselines());
        all
    }
}

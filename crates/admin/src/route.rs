//! The one table of routes, from which requests are served and the description is built.

use base::Code;

use crate::operator::Role;

/// The path under which every route lies.
pub const ROOT: &str = "/admin/v1";

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// The path below [`ROOT`].
    pub path: &'static str,
    /// What it does.
    pub call: Call,
    /// What it takes.
    pub body: Body,
    /// What is needed to call it; none for everyone.
    pub role: Option<Role>,
    /// The schema of its answer.
    pub answer: &'static str,
    /// The refusals of its own, beside those of every route.
    pub refusals: &'static [Code],
    /// What it does, in one line.
    pub summary: &'static str,
}

/// What a route does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Shows client accounts.
    Accounts,
    /// Reads the audit trail.
    Audit,
    /// Checks a bundle.
    Check,
    /// Compares a bundle with the one in force.
    Diff,
    /// Tells what each record did.
    History,
    /// Shows what is in flight.
    InFlight,
    /// Shows limits.
    Limits,
    /// Describes the interface.
    OpenApi,
    /// Shows pipelines.
    Pipelines,
    /// Shows pools and backend servers.
    Pools,
    /// Appends a signed proposal.
    Publish,
    /// Appends a signed roll-out.
    RollOut,
    /// Appends a signed sign-off.
    SignOff,
    /// Tells what is in force and proposed.
    Status,
    /// Shows suspected contents.
    Suspects,
}

/// What a route takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// A bundle in TOML.
    Bundle,
    /// Nothing, by `GET`.
    Nothing,
    /// A page in the query, by `GET`.
    Page,
    /// A signed record in JSON.
    Record,
}

impl Body {
    /// Returns the method of a route that takes this.
    pub const fn method(self) -> &'static str {
        match self {
            Self::Bundle | Self::Record => "POST",
            Self::Nothing | Self::Page => "GET",
        }
    }
}

/// Refusals of a route that reads the log.
const READ: &[Code] = &[Code::ConfigUnavailable];

/// Refusals of a route that appends.
const APPEND: &[Code] = &[
    Code::RecordInvalid,
    Code::RecordRefused,
    Code::RaceLost,
    Code::ConfigUnavailable,
    Code::ConfigCut,
    Code::AppendUnknown,
];

/// Refusals of a route that appends a bundle.
const PUBLISH: &[Code] = &[
    Code::RecordInvalid,
    Code::BundleFaulty,
    Code::RecordRefused,
    Code::RaceLost,
    Code::ConfigUnavailable,
    Code::ConfigCut,
    Code::AppendUnknown,
];

const fn view(
    path: &'static str,
    call: Call,
    answer: &'static str,
    summary: &'static str,
) -> Route {
    Route {
        path,
        call,
        body: Body::Nothing,
        role: Some(Role::View),
        answer,
        refusals: &[],
        summary,
    }
}

const fn act(path: &'static str, call: Call, summary: &'static str) -> Route {
    Route {
        path,
        call,
        body: Body::Record,
        role: Some(Role::Act),
        answer: "Done",
        refusals: APPEND,
        summary,
    }
}

/// Every route, sorted by path.
pub const ALL: &[Route] = &[
    view(
        "/accounts",
        Call::Accounts,
        "Accounts",
        "Client accounts and their rates.",
    ),
    Route {
        body: Body::Page,
        refusals: &[Code::QueryInvalid, Code::ConfigUnavailable],
        ..view(
            "/audit",
            Call::Audit,
            "Audit",
            "Who did what, when, and what came of it.",
        )
    },
    Route {
        body: Body::Bundle,
        refusals: &[],
        ..view("/check", Call::Check, "Check", "Every fault of a bundle.")
    },
    Route {
        body: Body::Bundle,
        refusals: &[Code::BundleFaulty, Code::ConfigUnavailable],
        ..view(
            "/diff",
            Call::Diff,
            "Diff",
            "What a bundle changes against the one in force.",
        )
    },
    Route {
        refusals: READ,
        ..view(
            "/history",
            Call::History,
            "History",
            "What each record that the log keeps did.",
        )
    },
    view(
        "/in-flight",
        Call::InFlight,
        "InFlight",
        "What is in flight in this instance.",
    ),
    view(
        "/limits",
        Call::Limits,
        "Limits",
        "Limits, and the demand that other instances told.",
    ),
    Route {
        role: None,
        ..view(
            "/openapi.json",
            Call::OpenApi,
            "OpenApi",
            "This description.",
        )
    },
    view("/pipelines", Call::Pipelines, "Pipelines", "Pipelines."),
    view(
        "/pools",
        Call::Pools,
        "Pools",
        "Pools and the backend servers known here.",
    ),
    Route {
        refusals: PUBLISH,
        ..act("/publish", Call::Publish, "Proposes a bundle.")
    },
    act("/roll-out", Call::RollOut, "Puts a bundle in force."),
    act("/sign-off", Call::SignOff, "Signs a proposed bundle off."),
    Route {
        refusals: READ,
        ..view(
            "/status",
            Call::Status,
            "Status",
            "What is in force by the log, and what is proposed.",
        )
    },
    view(
        "/suspects",
        Call::Suspects,
        "Suspects",
        "Contents suspected of crashing backend servers.",
    ),
];

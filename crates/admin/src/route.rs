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
    pub operation: Operation,
    /// What it takes.
    pub input: Input,
    /// What is needed to call it; none for everyone.
    pub role: Option<Role>,
    /// The schema of its answer.
    pub answer_schema: &'static str,
    /// The refusals of its own, beside those of every route.
    pub refusals: &'static [Code],
    /// What it does, in one line.
    pub summary: &'static str,
}

/// What a route does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
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
pub enum Input {
    /// A bundle in TOML.
    Bundle,
    /// Nothing, by `GET`.
    Empty,
    /// A page in the query, by `GET`.
    PageQuery,
    /// A signed record in JSON.
    Record,
}

impl Input {
    /// Returns the method of a route that takes this.
    pub const fn method(self) -> &'static str {
        match self {
            Self::Bundle | Self::Record => "POST",
            Self::Empty | Self::PageQuery => "GET",
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
    operation: Operation,
    answer_schema: &'static str,
    summary: &'static str,
) -> Route {
    Route {
        path,
        operation,
        input: Input::Empty,
        role: Some(Role::View),
        answer_schema,
        refusals: &[],
        summary,
    }
}

const fn act(path: &'static str, operation: Operation, summary: &'static str) -> Route {
    Route {
        path,
        operation,
        input: Input::Record,
        role: Some(Role::Act),
        answer_schema: "Done",
        refusals: APPEND,
        summary,
    }
}

/// Every route, sorted by path.
pub const ALL: &[Route] = &[
    view(
        "/accounts",
        Operation::Accounts,
        "Accounts",
        "Client accounts and their rates.",
    ),
    Route {
        input: Input::PageQuery,
        refusals: &[Code::QueryInvalid, Code::ConfigUnavailable],
        ..view(
            "/audit",
            Operation::Audit,
            "Audit",
            "Who did what, when, and what came of it.",
        )
    },
    Route {
        input: Input::Bundle,
        refusals: &[],
        ..view(
            "/check",
            Operation::Check,
            "Check",
            "Every fault of a bundle.",
        )
    },
    Route {
        input: Input::Bundle,
        refusals: &[Code::BundleFaulty, Code::ConfigUnavailable],
        ..view(
            "/diff",
            Operation::Diff,
            "Diff",
            "What a bundle changes against the one in force.",
        )
    },
    Route {
        refusals: READ,
        ..view(
            "/history",
            Operation::History,
            "History",
            "What each record that the log keeps did.",
        )
    },
    view(
        "/in-flight",
        Operation::InFlight,
        "InFlight",
        "What is in flight in this instance.",
    ),
    view(
        "/limits",
        Operation::Limits,
        "Limits",
        "Limits, and the demand that other instances told.",
    ),
    Route {
        role: None,
        ..view(
            "/openapi.json",
            Operation::OpenApi,
            "OpenApi",
            "This description.",
        )
    },
    view(
        "/pipelines",
        Operation::Pipelines,
        "Pipelines",
        "Pipelines.",
    ),
    view(
        "/pools",
        Operation::Pools,
        "Pools",
        "Pools and the backend servers known here.",
    ),
    Route {
        refusals: PUBLISH,
        ..act("/publish", Operation::Publish, "Proposes a bundle.")
    },
    act("/roll-out", Operation::RollOut, "Puts a bundle in force."),
    act(
        "/sign-off",
        Operation::SignOff,
        "Signs a proposed bundle off.",
    ),
    Route {
        refusals: READ,
        ..view(
            "/status",
            Operation::Status,
            "Status",
            "What is in force by the log, and what is proposed.",
        )
    },
    view(
        "/suspects",
        Operation::Suspects,
        "Suspects",
        "Contents suspected of crashing backend servers.",
    ),
];

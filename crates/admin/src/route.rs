//! The table of routes, from which requests are served and the OpenAPI description is built.

use base::Code;

use crate::operator::Role;

/// The common path prefix of all routes.
pub const ROOT: &str = "/admin/v1";

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// The path below [`ROOT`].
    pub path: &'static str,
    /// Its operation.
    pub operation: Operation,
    /// Its input.
    pub input: Input,
    /// The role that it requires; none if it needs no credential.
    pub role: Option<Role>,
    /// The name of the schema of its answer.
    pub answer_schema: &'static str,
    /// Refusals in addition to those common to all routes.
    pub refusals: &'static [Code],
    /// A summary in one line.
    pub summary: &'static str,
}

/// The operation of a route.
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
    /// Shows the effect of each record.
    History,
    /// Shows the work in flight.
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
    /// Shows the bundle in force and the open proposals.
    Status,
    /// Shows request contents suspected of crashes.
    Suspects,
}

/// The input of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A bundle in TOML.
    Bundle,
    /// No input, by `GET`.
    Empty,
    /// A page given in the query, by `GET`.
    PageQuery,
    /// A signed record in JSON.
    Record,
}

impl Input {
    /// Returns the HTTP method of a route with this input.
    pub const fn method(self) -> &'static str {
        match self {
            Self::Bundle | Self::Record => "POST",
            Self::Empty | Self::PageQuery => "GET",
        }
    }
}

/// Refusals of a route that reads the log.
const READ_REFUSALS: &[Code] = &[Code::ConfigUnavailable];

/// Refusals of a route that appends.
const APPEND_REFUSALS: &[Code] = &[
    Code::RecordInvalid,
    Code::RecordRefused,
    Code::RaceLost,
    Code::ConfigUnavailable,
    Code::ConfigCut,
    Code::AppendUnknown,
];

/// Refusals of a route that appends a bundle.
const PUBLISH_REFUSALS: &[Code] = &[
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

const fn action(path: &'static str, operation: Operation, summary: &'static str) -> Route {
    Route {
        path,
        operation,
        input: Input::Record,
        role: Some(Role::Act),
        answer_schema: "Done",
        refusals: APPEND_REFUSALS,
        summary,
    }
}

/// All routes, sorted by path.
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
        refusals: READ_REFUSALS,
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
        refusals: PUBLISH_REFUSALS,
        ..action("/publish", Operation::Publish, "Proposes a bundle.")
    },
    action("/roll-out", Operation::RollOut, "Puts a bundle in force."),
    action(
        "/sign-off",
        Operation::SignOff,
        "Signs a proposed bundle off.",
    ),
    Route {
        refusals: READ_REFUSALS,
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

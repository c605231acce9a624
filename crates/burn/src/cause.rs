//! Causes that spend the error budget.

use base::{Code, Name};
use serde::{Deserialize, Serialize};

/// The reason why a request was not completely answered within its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The client account was over its limit.
    AccountLimit,
    /// The request crashed backend servers.
    Harmful,
    /// An internal error.
    Internal,
    /// The answer came after the deadline.
    Late,
    /// The queue was full.
    Overload,
    /// The platform could not be reached.
    Platform,
    /// The request was refused early, since its deadline could not be met.
    RefusedEarly,
    /// The retry budget was spent.
    Retries,
    /// A stage had no available backend server.
    StageDown,
    /// A backend server refused the request.
    StageRefused,
    /// The deadline passed during a stage.
    StageSlow,
    /// The instance was stopping.
    Stopping,
    /// The stream was cut.
    StreamCut,
    /// It is unknown whether the call was executed.
    Unknown,
}

impl Cause {
    /// Returns the name that reports use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AccountLimit => "account over its limit",
            Self::Harmful => "request harmful",
            Self::Internal => "internal fault",
            Self::Late => "answered late",
            Self::Overload => "queue full",
            Self::Platform => "platform down",
            Self::RefusedEarly => "refused early",
            Self::Retries => "retries spent",
            Self::StageDown => "stage down",
            Self::StageRefused => "stage refused",
            Self::StageSlow => "stage slow",
            Self::Stopping => "instance stopping",
            Self::StreamCut => "stream cut",
            Self::Unknown => "call unknown",
        }
    }
}

/// A cause with the stage in which it occurred.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Blame {
    /// The cause.
    pub cause: Cause,
    /// The stage; none if the cause lies outside the stages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<Name>,
}

/// The outcome of a request with regard to attainment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request does not count: it was invalid itself, or is still in progress.
    Excluded,
    /// Completely answered.
    Answered,
    /// Not completely answered.
    Missed(Cause),
}

impl Outcome {
    /// Returns the outcome of a result code.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Code;
    /// use burn::cause::{Cause, Outcome};
    /// assert_eq!(Outcome::from_code(Code::Answered), Outcome::Answered);
    /// assert_eq!(Outcome::from_code(Code::KeyMissing), Outcome::Excluded);
    /// assert_eq!(Outcome::from_code(Code::Overloaded), Outcome::Missed(Cause::Overload));
    /// ```
    pub const fn from_code(code: Code) -> Self {
        let cause = match code {
            Code::Answered => return Self::Answered,
            Code::Accepted
            | Code::AnswerNotKept
            | Code::InProgress
            | Code::BodyInvalid
            | Code::BodyTooLarge
            | Code::PipelineUnknown
            | Code::AccountUnknown
            | Code::AccountForbidden
            | Code::KeyMissing
            | Code::KeyInvalid
            | Code::KeyReused
            | Code::KeyExpired
            | Code::DeadlineInvalid
            | Code::RequestUnknown
            | Code::ResumeInvalid
            | Code::OperatorUnknown
            | Code::OperatorStale
            | Code::OperatorForbidden
            | Code::RouteUnknown
            | Code::MethodUnknown
            | Code::QueryInvalid
            | Code::RecordInvalid
            | Code::BundleFaulty
            | Code::RecordRefused
            | Code::RaceLost
            | Code::ConfigUnavailable
            | Code::ConfigCut
            | Code::AppendUnknown => return Self::Excluded,
            Code::DeadlineUnmeetable => Cause::RefusedEarly,
            Code::AccountLimited => Cause::AccountLimit,
            Code::Overloaded => Cause::Overload,
            Code::StageUnavailable => Cause::StageDown,
            Code::DeadlinePassed => Cause::StageSlow,
            Code::RetriesSpent => Cause::Retries,
            Code::RequestHarmful => Cause::Harmful,
            Code::StageRefused => Cause::StageRefused,
            Code::BundleMissing | Code::LogUnavailable => Cause::Platform,
            Code::Stopping => Cause::Stopping,
            Code::CallUnknown | Code::EarlierUnknown => Cause::Unknown,
            Code::StreamCut
            | Code::StreamDiverged
            | Code::OriginUnknown
            | Code::OriginUnavailable
            | Code::VersionGone => Cause::StreamCut,
            Code::Internal => Cause::Internal,
        };
        Self::Missed(cause)
    }
}

//! Numbered result codes.

use core::fmt;

use serde::{Deserialize, Serialize};

/// What an answer states about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer is complete.
    Answered,
    /// An attempt with this key is running or may still run; its status can be queried.
    InProgress,
    /// There is no complete answer. Idempotent stages may have run, the non-idempotent call did not,
    /// so sending the request again is safe.
    Incomplete,
    /// No stage of this request (this key with this body) has run, and none of this attempt will run.
    NotRun,
    /// The non-idempotent call with this key may have run and is not repeated; its status can be queried.
    Unknown,
}

impl Outcome {
    /// Returns the name of the outcome as it appears in answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::InProgress => "in_progress",
            Self::Incomplete => "incomplete",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $outcome:ident, $retry:ident;)+) => {
        /// A numbered result code. `docs/CODES.md` lists all of them.
        ///
        /// # Examples
        ///
        /// ```
        /// use base::{Code, Outcome};
        /// assert_eq!(Code::Answered.number(), 100);
        /// assert_eq!(Code::from_number(100), Some(Code::Answered));
        /// assert_eq!(Code::KeyMissing.outcome(), Outcome::NotRun);
        /// ```
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Code {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// Returns the number of the code.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Returns the HTTP status of the code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Returns the outcome of the code, which applies unless the answer states a more
            /// specific one.
            pub const fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)+ }
            }

            /// Returns whether sending the same request again later may succeed.
            pub const fn is_retryable(self) -> bool {
                match self { $(Self::$name => codes!(@retry $retry),)+ }
            }

            /// Returns a one-line description of the code.
            pub const fn title(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),+).trim_ascii(),)+ }
            }
        }
    };
    (@retry retryable) => { true };
    (@retry permanent) => { false };
}

codes! {
    /// The whole answer.
    Answered = 100, 200, Answered, permanent;
    /// The request is stored and will be worked on; ask at the place given.
    Accepted = 101, 202, InProgress, retryable;
    /// An attempt under this key is in progress; ask for its status.
    InProgress = 102, 409, InProgress, retryable;
    /// The body is not JSON of the expected shape.
    BodyInvalid = 200, 400, NotRun, permanent;
    /// The body is over its limit.
    BodyTooLarge = 201, 413, NotRun, permanent;
    /// No pipeline has this name.
    PipelineUnknown = 202, 404, NotRun, permanent;
    /// No client account has this credential.
    AccountUnknown = 203, 401, NotRun, permanent;
    /// The client account may not use this pipeline.
    AccountForbidden = 204, 403, NotRun, permanent;
    /// The pipeline holds a call that may not be repeated, and the request has no key.
    KeyMissing = 205, 400, NotRun, permanent;
    /// The key is not a UUID of version 7.
    KeyInvalid = 206, 400, NotRun, permanent;
    /// The key was used with another body.
    KeyReused = 207, 422, NotRun, permanent;
    /// The key was issued too long ago or in the future.
    KeyExpired = 208, 422, NotRun, permanent;
    /// The deadline is malformed or has passed.
    DeadlineInvalid = 209, 400, NotRun, permanent;
    /// No request is known under this key.
    RequestUnknown = 210, 404, Unknown, permanent;
    /// The place to resume from is malformed or not of this stream.
    ResumeInvalid = 211, 400, NotRun, permanent;
    /// The deadline cannot be met at the present load.
    DeadlineUnmeetable = 300, 503, NotRun, retryable;
    /// The client account is over its limit.
    AccountLimited = 301, 429, NotRun, retryable;
    /// The queue is full.
    Overloaded = 302, 503, NotRun, retryable;
    /// A stage of the pipeline has no backend server that can take the request.
    StageUnavailable = 303, 503, NotRun, retryable;
    /// The deadline passed before the request was answered.
    DeadlinePassed = 304, 504, Incomplete, retryable;
    /// The retry budget is spent.
    RetriesSpent = 305, 503, Incomplete, retryable;
    /// The request crashed backend servers and is refused for good.
    RequestHarmful = 306, 422, Incomplete, permanent;
    /// A backend server refused the request.
    StageRefused = 307, 422, Incomplete, permanent;
    /// No signed-off configuration is in force yet.
    BundleMissing = 308, 503, NotRun, retryable;
    /// The instance is stopping.
    Stopping = 309, 503, NotRun, retryable;
    /// The platform's log cannot be reached, so a call that may not be repeated was not started.
    LogUnavailable = 310, 503, NotRun, retryable;
    /// It is unknown which software version began the stream; begin it anew.
    OriginUnknown = 311, 503, NotRun, permanent;
    /// The instances that may know which software version began the stream cannot be reached.
    OriginUnavailable = 312, 503, NotRun, retryable;
    /// No backend server of the software version that began the stream is left; begin it anew.
    VersionGone = 313, 503, NotRun, permanent;
    /// The call may have run; it will not be repeated.
    CallUnknown = 400, 504, Unknown, permanent;
    /// This attempt did not run; whether an earlier one under the key ran cannot be told now.
    EarlierUnknown = 401, 503, Unknown, retryable;
    /// The stream was cut; resume it from the last event received.
    StreamCut = 402, 502, Incomplete, retryable;
    /// The stream cannot be continued as it began.
    StreamDiverged = 403, 409, Incomplete, permanent;
    /// The call has run; its answer was too large to be kept for a repeat.
    AnswerNotKept = 404, 410, Unknown, permanent;
    /// A fault of the system itself.
    Internal = 500, 500, Unknown, retryable;
    /// No operator's credential signs the request, or its signature does not verify.
    OperatorUnknown = 600, 401, NotRun, permanent;
    /// The operator's request was signed too long ago or in the future.
    OperatorStale = 601, 401, NotRun, permanent;
    /// The operator may not do this.
    OperatorForbidden = 602, 403, NotRun, permanent;
    /// No route of the administration interface has this path.
    RouteUnknown = 603, 404, NotRun, permanent;
    /// The route does not take this method.
    MethodUnknown = 604, 405, NotRun, permanent;
    /// The query of the path is malformed.
    QueryInvalid = 605, 400, NotRun, permanent;
    /// The body is not a signed record of the kind that the route takes.
    RecordInvalid = 606, 400, NotRun, permanent;
    /// The bundle has faults.
    BundleFaulty = 607, 422, NotRun, permanent;
    /// The record would count for nothing, or counts for nothing at its place in the log.
    RecordRefused = 608, 409, NotRun, permanent;
    /// Another bundle got in force first.
    RaceLost = 609, 409, NotRun, permanent;
    /// The platform's log cannot be reached; nothing was changed.
    ConfigUnavailable = 610, 503, NotRun, retryable;
    /// The log no longer keeps the records that tell the state, until an instance carries it forward.
    ConfigCut = 611, 503, NotRun, retryable;
    /// The record may be in the log; the audit trail tells once the log can be read.
    AppendUnknown = 612, 504, Unknown, retryable;
}

impl Code {
    /// Returns the code with a number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .binary_search_by_key(&number, |code| code.number())
            .ok()
            .map(|index| Self::ALL[index])
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.title())
    }
}

impl Serialize for Code {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.number())
    }
}

impl<'de> Deserialize<'de> for Code {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = u16::deserialize(deserializer)?;
        Self::from_number(number).ok_or_else(|| serde::de::Error::custom("no such result code"))
    }
}

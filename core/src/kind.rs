//! The closed list of error kinds and the table from kind to answer.

use std::fmt;

use crate::units::TimeSpan;

plain_data! {
    /// Whether the work of a refused or failed command has run.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RunStatus {
        /// No part of the work has run or will run.
        NotRun,
        /// The work may have run or may still run.
        MayHaveRun,
        /// The work has run.
        HasRun,
    }

    /// The kind of an error, which decides the whole answer.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum ErrorKind {
        /// The command is malformed.
        BadRequest,
        /// The command, its body or one of its fields is too large.
        TooLarge,
        /// The caller's key does not belong to the team it names.
        Forbidden,
        /// The team is not in the configuration.
        UnknownTeam,
        /// The service is not in the team's file.
        UnknownService,
        /// The failure domain is not known.
        UnknownDomain,
        /// The job or key is not known.
        NotFound,
        /// No set of workers could ever hold the job.
        NeverFits,
        /// The key was used before for different work.
        KeyConflict,
        /// Another operator's change came first.
        LostRace,
        /// The change would break a guarantee and was not confirmed.
        BreaksGuarantee,
        /// The configuration is not valid as a whole.
        BadConfig,
        /// A limit of the team or of the daemon is reached.
        Overloaded,
        /// The log is out of reach, so nothing new is accepted.
        LogUnavailable,
        /// The daemon is stopping or has not caught up with the log.
        NotReady,
        /// No endpoint could be reached, and no byte of the request was sent.
        NoEndpoint,
        /// The deadline passed before the request was sent.
        DeadlineBeforeRun,
        /// The deadline passed while the work ran.
        DeadlineWhileRunning,
        /// The endpoint failed or its answer was lost or incomplete.
        EndpointFailed,
        /// The append's outcome is unknown.
        OutcomeUnknown,
        /// The same key is in progress.
        InProgress,
        /// The log is out of reach, so this daemon cannot tell whether the key was used before.
        KeyUnverified,
        /// No queue has this host and path.
        UnknownQueue,
        /// No team has the key that the caller presented.
        UnknownKey,
    }
}

/// The answer that belongs to an [`ErrorKind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The kind described by this row.
    pub kind: ErrorKind,
    /// The HTTP status code.
    pub status: u16,
    /// Whether the work has run.
    pub run: RunStatus,
    /// When to try again with the same key, or `None` when trying again cannot help.
    pub retry_after: Option<TimeSpan>,
    /// A short title for people.
    pub title: &'static str,
}

const SHORT_RETRY_DELAY: Option<TimeSpan> = Some(TimeSpan(1_000));
const LONG_RETRY_DELAY: Option<TimeSpan> = Some(TimeSpan(5_000));

const fn row(
    kind: ErrorKind,
    status: u16,
    run: RunStatus,
    retry_after: Option<TimeSpan>,
    title: &'static str,
) -> ErrorResponse {
    ErrorResponse {
        kind,
        status,
        run,
        retry_after,
        title,
    }
}

/// One row for each kind, in the order of the enum.
pub const KIND_TABLE: [ErrorResponse; 24] = [
    row(
        ErrorKind::BadRequest,
        400,
        RunStatus::NotRun,
        None,
        "malformed request",
    ),
    row(
        ErrorKind::TooLarge,
        413,
        RunStatus::NotRun,
        None,
        "request too large",
    ),
    row(
        ErrorKind::Forbidden,
        403,
        RunStatus::NotRun,
        None,
        "key does not belong to the team",
    ),
    row(
        ErrorKind::UnknownTeam,
        404,
        RunStatus::NotRun,
        None,
        "unknown team",
    ),
    row(
        ErrorKind::UnknownService,
        404,
        RunStatus::NotRun,
        None,
        "unknown service",
    ),
    row(
        ErrorKind::UnknownDomain,
        404,
        RunStatus::NotRun,
        None,
        "unknown failure domain",
    ),
    row(
        ErrorKind::NotFound,
        404,
        RunStatus::NotRun,
        None,
        "not found",
    ),
    row(
        ErrorKind::NeverFits,
        422,
        RunStatus::NotRun,
        None,
        "job can never run",
    ),
    row(
        ErrorKind::KeyConflict,
        409,
        RunStatus::NotRun,
        None,
        "key used for different work",
    ),
    row(
        ErrorKind::LostRace,
        409,
        RunStatus::NotRun,
        None,
        "another change came first",
    ),
    row(
        ErrorKind::BreaksGuarantee,
        409,
        RunStatus::NotRun,
        None,
        "change breaks a guarantee",
    ),
    row(
        ErrorKind::BadConfig,
        422,
        RunStatus::NotRun,
        None,
        "configuration is not valid",
    ),
    row(
        ErrorKind::Overloaded,
        429,
        RunStatus::NotRun,
        SHORT_RETRY_DELAY,
        "limit reached",
    ),
    row(
        ErrorKind::LogUnavailable,
        503,
        RunStatus::NotRun,
        LONG_RETRY_DELAY,
        "log out of reach",
    ),
    row(
        ErrorKind::NotReady,
        503,
        RunStatus::NotRun,
        SHORT_RETRY_DELAY,
        "daemon not ready",
    ),
    row(
        ErrorKind::NoEndpoint,
        503,
        RunStatus::NotRun,
        SHORT_RETRY_DELAY,
        "no endpoint reachable",
    ),
    row(
        ErrorKind::DeadlineBeforeRun,
        504,
        RunStatus::NotRun,
        None,
        "deadline passed in the queue",
    ),
    row(
        ErrorKind::DeadlineWhileRunning,
        504,
        RunStatus::MayHaveRun,
        None,
        "deadline passed",
    ),
    row(
        ErrorKind::EndpointFailed,
        502,
        RunStatus::MayHaveRun,
        SHORT_RETRY_DELAY,
        "endpoint failed",
    ),
    row(
        ErrorKind::OutcomeUnknown,
        504,
        RunStatus::MayHaveRun,
        SHORT_RETRY_DELAY,
        "outcome unknown",
    ),
    row(
        ErrorKind::InProgress,
        409,
        RunStatus::MayHaveRun,
        SHORT_RETRY_DELAY,
        "key in progress",
    ),
    row(
        ErrorKind::KeyUnverified,
        503,
        RunStatus::MayHaveRun,
        SHORT_RETRY_DELAY,
        "key cannot be looked up",
    ),
    row(
        ErrorKind::UnknownQueue,
        404,
        RunStatus::NotRun,
        None,
        "unknown queue",
    ),
    row(
        ErrorKind::UnknownKey,
        401,
        RunStatus::NotRun,
        None,
        "unknown key",
    ),
];

impl ErrorKind {
    /// Returns the row of [`KIND_TABLE`] for this kind.
    #[must_use]
    pub fn response(self) -> &'static ErrorResponse {
        &KIND_TABLE[self as usize]
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.response().title)
    }
}

plain_data! {
    /// An error as a caller receives it.
    pub struct FailureReport {
        /// The kind, which gives status, run status and retry advice.
        pub kind: ErrorKind,
        /// What went wrong in this case.
        pub detail: String,
    }
}

impl FailureReport {
    /// Creates a report.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

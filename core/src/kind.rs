//! Error kinds and the table that maps each kind to its response.

use std::fmt;

use crate::units::TimeSpan;

plain_data! {
    /// Whether the work of a failed command has run, which determines whether a retry is safe.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RunStatus {
        /// No part of the work ran or will run.
        NotRun,
        /// The work may have run or may run later.
        MayHaveRun,
        /// The work ran. No kind in [`KIND_TABLE`] has this status.
        HasRun,
    }

    /// The kind of an error, which determines the status, run status, retry advice and title of the
    /// response.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum ErrorKind {
        /// The command is malformed.
        BadRequest,
        /// The command, its body or one of its fields exceeds a size limit.
        TooLarge,
        /// The caller's key is not the key of the team that the command names.
        Forbidden,
        /// The active configuration has no such team.
        UnknownTeam,
        /// The team's file declares no such service.
        UnknownService,
        /// The failure domain has no workers and no committed state.
        UnknownDomain,
        /// The job or key does not exist or is not visible to the caller.
        NotFound,
        /// The job does not fit on any set of workers.
        NeverFits,
        /// The idempotency key was used before for different work.
        KeyConflict,
        /// A concurrent change by another operator was committed first.
        LostRace,
        /// The change would break a guarantee and the operator did not confirm it.
        BreaksGuarantee,
        /// The configuration with the change applied is invalid.
        BadConfig,
        /// A limit of the team or of the daemon has been reached.
        Overloaded,
        /// The log is unreachable and no new work is accepted.
        LogUnavailable,
        /// The daemon is shutting down or has not caught up with the log.
        NotReady,
        /// No endpoint was reachable and no byte of the request was sent.
        NoEndpoint,
        /// The deadline passed before the request was sent.
        DeadlineBeforeRun,
        /// The deadline passed after the request was sent.
        DeadlineWhileRunning,
        /// The endpoint failed, or its response was lost or incomplete.
        EndpointFailed,
        /// The outcome of the append is unknown.
        OutcomeUnknown,
        /// A request with the same idempotency key is in progress.
        InProgress,
        /// The log is unreachable, so the daemon cannot check whether the idempotency key was used
        /// before.
        KeyUnverified,
        /// No queue matches the host and path.
        UnknownQueue,
        /// The key that the caller presented belongs to no team.
        UnknownKey,
    }
}

/// The response to an error of one [`ErrorKind`], without the case-specific detail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The kind that the response is for.
    pub kind: ErrorKind,
    /// The HTTP status code.
    pub status: u16,
    /// Whether the work has run.
    pub run: RunStatus,
    /// Delay before a retry with the same idempotency key, or `None` if a retry cannot succeed.
    pub retry_after: Option<TimeSpan>,
    /// Short human-readable title.
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

/// The response of each kind, in the order of the enum.
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
    /// Returns the entry of [`KIND_TABLE`] for this kind.
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
    /// An error, as returned to a caller.
    pub struct FailureReport {
        /// The kind, which determines status, run status and retry advice.
        pub kind: ErrorKind,
        /// Human-readable description of this occurrence.
        pub detail: String,
        /// Delay before a retry; absent for that of the kind.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after: Option<TimeSpan>,
    }
}

impl FailureReport {
    /// Creates a report.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }
}

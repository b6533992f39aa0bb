//! Records of the log, from which every daemon derives its ledger.

use crate::config::ServiceSpec;
use crate::config::TeamFile;
use crate::ids::ConfigVersion;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::JobId;
use crate::ids::LogOffset;
use crate::ids::RequestKey;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::ids::TermNumber;
use crate::ids::WorkerName;
use crate::ids::WriterId;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Format version of each record. Readers ignore unknown fields and skip unknown kinds, because two
/// versions of the daemon always run side by side.
pub const RECORD_VERSION: u16 = 1;

plain_data! {
    /// A record with its writer and sequence number.
    pub struct LogRecord {
        /// Format version; see [`RECORD_VERSION`].
        pub version: u16,
        /// The daemon and incarnation that appended the record.
        pub writer: WriterId,
        /// Increases by 1 with each record of the writer. A record at or below the last applied
        /// sequence number is a duplicate.
        pub sequence: u64,
        /// Time of the append, by the writer's clock.
        pub at: ClockTime,
        /// What happened. Determines how the ledger changes.
        pub body: RecordBody,
    }

    /// A record with its offset in a stream.
    pub struct StoredRecord {
        /// Position in the stream.
        pub offset: LogOffset,
        /// The record; `None` when it could not be decoded.
        pub record: Option<LogRecord>,
    }

    /// A submitted job. It holds a full copy of the service's declaration, so a later configuration
    /// cannot change it.
    pub struct JobOrder {
        /// The team that submitted the job.
        pub team: TeamName,
        /// The service that the job runs.
        pub service: ServiceName,
        /// The idempotency key, unique within the team.
        pub key: RequestKey,
        /// The service's declaration at acceptance, with the caller's overrides applied.
        pub spec: ServiceSpec,
        /// Input of the tasks. Dropped from the ledger when the job ends.
        pub payload: String,
    }
}

plain_data! {
    /// The end of one attempt of a job.
    #[serde(tag = "end", rename_all = "snake_case")]
    pub enum AttemptEnd {
        /// All members finished.
        Finished {
            /// The result of member 0.
            result: String,
        },
        /// A worker reported the failure of a member.
        Failed {
            /// The worker that reported the failure.
            worker: WorkerName,
            /// The reason that the worker reported.
            reason: String,
        },
        /// A member or its worker was lost.
        Lost {
            /// The worker of the lost member.
            worker: WorkerName,
        },
        /// The planner preempted the attempt to free capacity.
        Preempted,
        /// No member ever started.
        NotStarted,
        /// The caller cancelled the job.
        Cancelled,
        /// It cannot be determined whether the work ran.
        Unknown,
    }

    /// The event that a record describes.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum RecordBody {
        /// A daemon claims a term. Valid when the term is the current one plus 1.
        TermClaimed {
            /// The ledger's term plus 1. A record with another term is rejected.
            term: TermNumber,
            /// The claiming daemon's name. The ledger takes the holder from the record's writer.
            daemon: DaemonName,
        },
        /// The holder renews the term.
        TermRenewed {
            /// The current term, which the record's writer must hold.
            term: TermNumber,
        },
        /// The holder releases the term.
        TermReleased {
            /// The current term, which the record's writer must hold.
            term: TermNumber,
        },
        /// A job is accepted. Its id is the offset of this record.
        JobAccepted {
            /// The submission with the service's declaration at the time of acceptance.
            order: JobOrder,
        },
        /// A caller cancels a job.
        JobCancelled {
            /// The job to cancel.
            job: JobId,
        },
        /// The planner is about to start an attempt. All members have reservations.
        JobPlaced {
            /// The planner's term.
            term: TermNumber,
            /// The job to place, which must be queued.
            job: JobId,
            /// The attempt number, above all earlier ones of the job.
            attempt: u32,
            /// The worker of each member, by member index.
            workers: Vec<WorkerName>,
        },
        /// An attempt has ended and none of its members is running.
        AttemptEnded {
            /// The planner's term.
            term: TermNumber,
            /// The job of the attempt.
            job: JobId,
            /// The job's current attempt. A record of another attempt is rejected.
            attempt: u32,
            /// The reason for the end.
            end: AttemptEnd,
            /// Progress that the next attempt can resume from.
            checkpoint: TimeSpan,
        },
        /// The planner ends a job that can never run.
        JobRefused {
            /// The planner's term.
            term: TermNumber,
            /// The job to end, which must be queued.
            job: JobId,
            /// Why the job cannot run, as shown to the caller.
            reason: String,
        },
        /// A daemon is about to send a non-repeatable request.
        RequestIntent {
            /// The team that sent the request.
            team: TeamName,
            /// The idempotency key. Only the first intent with a key is valid.
            key: RequestKey,
            /// The service that the request is for.
            service: ServiceName,
            /// Digest of the request body, to detect a key that is reused for different work.
            digest: u64,
        },
        /// A non-repeatable request has ended.
        RequestDone {
            /// The team that sent the request.
            team: TeamName,
            /// The idempotency key of the intent.
            key: RequestKey,
            /// The outcome of the request.
            end: RequestEnd,
        },
        /// Team files change. Valid when `base` is the current version.
        ConfigChanged {
            /// The version that the change is based on.
            base: ConfigVersion,
            /// Team files to add or replace.
            upsert: Vec<TeamFile>,
            /// Teams to remove.
            remove: Vec<TeamName>,
            /// The operator who made the change.
            operator: String,
        },
        /// A failure domain is taken out of service or returned to it. Valid when `base` is the
        /// domain's current version.
        DomainSet {
            /// The failure domain to change.
            domain: DomainName,
            /// Whether the domain is taken out of service.
            out: bool,
            /// The version of the domain that the change is based on.
            base: u64,
            /// The operator who made the change.
            operator: String,
        },
        /// A kind that this version of the daemon does not support.
        #[serde(other)]
        Unknown,
    }

    /// The end of a non-repeatable request.
    #[serde(tag = "end", rename_all = "snake_case")]
    pub enum RequestEnd {
        /// The endpoint sent a complete response, of any HTTP status.
        Answered {
            /// The HTTP status.
            status: u16,
            /// The body; `None` when it was too large to keep or has been evicted.
            body: Option<String>,
        },
        /// The request did not run: it was never sent, or the endpoint refused it.
        NotRun,
        /// It cannot be determined whether the request ran.
        Unknown,
    }
}

/// Encodes a record as JSON for the log.
#[must_use]
pub fn encode(record: &LogRecord) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// Decodes a record. Returns `None` when the bytes are not a valid record.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<LogRecord> {
    serde_json::from_slice(bytes).ok()
}

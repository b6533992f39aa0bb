//! Records of the log. Every daemon derives its ledger from them.

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

/// Version written into each record. Readers ignore fields they do not know and skip kinds they
/// do not know, because two versions of the daemon always run together.
pub const RECORD_VERSION: u16 = 1;

plain_data! {
    /// A record with its writer.
    pub struct LogRecord {
        /// Version of the format.
        pub version: u16,
        /// The writer.
        pub writer: WriterId,
        /// Rises by 1 with each record of the writer; a record that does not rise is void.
        pub sequence: u64,
        /// The writer's time.
        pub at: ClockTime,
        /// What is recorded.
        pub body: RecordBody,
    }

    /// A record at its place in a stream.
    pub struct StoredRecord {
        /// The place.
        pub offset: LogOffset,
        /// The record, or `None` when it could not be decoded.
        pub record: Option<LogRecord>,
    }

    /// A job as its caller submitted it, complete so that a later configuration cannot change it.
    pub struct JobOrder {
        /// The team.
        pub team: TeamName,
        /// The service.
        pub service: ServiceName,
        /// The idempotency key.
        pub key: RequestKey,
        /// The service's declaration when the job was accepted.
        pub spec: ServiceSpec,
        /// The payload.
        pub payload: String,
    }
}

plain_data! {
    /// How one attempt of a job ended.
    #[serde(tag = "end", rename_all = "snake_case")]
    pub enum AttemptEnd {
        /// All members finished.
        Finished {
            /// The result of member 0.
            result: String,
        },
        /// A member failed.
        Failed {
            /// The worker that reported the failure.
            worker: WorkerName,
            /// What it said.
            reason: String,
        },
        /// A member or its worker was lost.
        Lost {
            /// The worker.
            worker: WorkerName,
        },
        /// The planner stopped the attempt to free capacity.
        Preempted,
        /// No member ever started.
        NotStarted,
        /// The caller cancelled the job.
        Cancelled,
        /// Whether the work ran cannot be found out.
        Unknown,
    }

    /// What a record says.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum RecordBody {
        /// A daemon claims a term. Valid when the term is the current one plus 1.
        TermClaimed {
            /// The term.
            term: TermNumber,
            /// The daemon.
            daemon: DaemonName,
        },
        /// The holder goes on.
        TermRenewed {
            /// The term.
            term: TermNumber,
        },
        /// The holder gives the term up.
        TermReleased {
            /// The term.
            term: TermNumber,
        },
        /// A job is accepted; its id is this record's offset.
        JobAccepted {
            /// The job.
            order: JobOrder,
        },
        /// A caller cancels a job.
        JobCancelled {
            /// The job.
            job: JobId,
        },
        /// The planner intends to start an attempt; all members are reserved.
        JobPlaced {
            /// The planner's term.
            term: TermNumber,
            /// The job.
            job: JobId,
            /// The attempt, above all earlier ones.
            attempt: u32,
            /// The worker of each member, by member index.
            workers: Vec<WorkerName>,
        },
        /// An attempt has ended and none of its members runs.
        AttemptEnded {
            /// The planner's term.
            term: TermNumber,
            /// The job.
            job: JobId,
            /// The attempt.
            attempt: u32,
            /// How it ended.
            end: AttemptEnd,
            /// Progress that the next attempt can start from.
            checkpoint: TimeSpan,
        },
        /// The planner ends a job that can never run.
        JobRefused {
            /// The planner's term.
            term: TermNumber,
            /// The job.
            job: JobId,
            /// Why.
            reason: String,
        },
        /// A daemon is about to send a request that may not be repeated.
        RequestIntent {
            /// The team.
            team: TeamName,
            /// The idempotency key; only the first intent with a key is valid.
            key: RequestKey,
            /// The service.
            service: ServiceName,
            /// Digest of the request's body, to tell a repeat from different work.
            digest: u64,
        },
        /// A request that may not be repeated has ended.
        RequestDone {
            /// The team.
            team: TeamName,
            /// The idempotency key.
            key: RequestKey,
            /// How it ended.
            end: RequestEnd,
        },
        /// Team files change. Valid when `base` is the version in force.
        ConfigChanged {
            /// The version that the change was made against.
            base: ConfigVersion,
            /// Files that are new or changed.
            upsert: Vec<TeamFile>,
            /// Teams that are removed.
            remove: Vec<TeamName>,
            /// The operator.
            operator: String,
        },
        /// A failure domain is taken out or brought back. Valid when `base` is its version.
        DomainSet {
            /// The failure domain.
            domain: DomainName,
            /// Whether it is out.
            out: bool,
            /// The domain's version that the change was made against.
            base: u64,
            /// The operator.
            operator: String,
        },
        /// A kind that this version does not know.
        #[serde(other)]
        Unknown,
    }

    /// How a request that may not be repeated ended.
    #[serde(tag = "end", rename_all = "snake_case")]
    pub enum RequestEnd {
        /// The endpoint answered.
        Answered {
            /// The HTTP status.
            status: u16,
            /// The body, or `None` when it is too large to keep.
            body: Option<String>,
        },
        /// No byte was sent.
        NotRun,
        /// Whether it ran cannot be found out.
        Unknown,
    }
}

/// Encodes a record for the log.
#[must_use]
pub fn encode(record: &LogRecord) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// Decodes a record. Returns `None` when the bytes are not a record.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<LogRecord> {
    serde_json::from_slice(bytes).ok()
}

//! Everything that can happen to a daemon, as one closed set.

use crate::batch::message::BatchInput;
use crate::batch::settings::BatchSettings;
use crate::config::KeyDigest;
use crate::config::TeamFile;
use crate::effect::PeerMessage;
use crate::ids::BatchId;
use crate::ids::CallId;
use crate::ids::CallerId;
use crate::ids::ConfigVersion;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::JobId;
use crate::ids::LogOffset;
use crate::ids::RequestId;
use crate::ids::RequestKey;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::ids::WorkerName;
use crate::ledger::LedgerState;
use crate::record::StoredRecord;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::worker::DaemonInfo;
use crate::worker::TaskStatus;
use crate::worker::WorkerInfo;
use crate::worker::WorkerReply;

plain_data! {
    /// One event with its time.
    pub struct ControlEvent {
        /// When it happened, by the clock of the control thread.
        pub at: ClockTime,
        /// What happened.
        pub input: EventInput,
    }

    /// Who a caller claims to be.
    #[derive(Default)]
    pub struct CallerCredential {
        /// Digest of the key that the caller presented.
        pub digest: Option<KeyDigest>,
    }

    /// A short request without its body, which stays with the traffic thread.
    pub struct RequestHead {
        /// The team.
        pub team: TeamName,
        /// The service.
        pub service: ServiceName,
        /// The idempotency key; required when the service's work may not be repeated.
        pub key: Option<RequestKey>,
        /// Time left until the caller's deadline.
        pub deadline: Option<TimeSpan>,
        /// Digest of the body.
        pub digest: u64,
        /// Length of the body in bytes.
        pub length: u64,
    }

    /// A job as a caller submits it.
    pub struct JobRequest {
        /// The team.
        pub team: TeamName,
        /// The service.
        pub service: ServiceName,
        /// The idempotency key.
        pub key: RequestKey,
        /// Members of the gang, when they differ from the service's declaration.
        pub members: Option<u32>,
        /// Declared run time, when it differs from the service's declaration.
        pub run_time: Option<TimeSpan>,
        /// Time left until the caller's deadline, when it differs from the declaration.
        pub deadline: Option<TimeSpan>,
        /// The payload.
        pub payload: String,
    }
}

plain_data! {
    /// What a caller or an operator asks for.
    #[serde(tag = "command", rename_all = "snake_case")]
    pub enum CallerCommand {
        /// Submits a job.
        Submit(JobRequest),
        /// Reads a job's state.
        JobStatus {
            /// The team.
            team: TeamName,
            /// The job.
            job: JobId,
        },
        /// Waits until a job ends.
        JobWait {
            /// The team.
            team: TeamName,
            /// The job.
            job: JobId,
            /// Longest wait; the state at its end is the answer.
            wait: TimeSpan,
        },
        /// Cancels a job.
        JobCancel {
            /// The team.
            team: TeamName,
            /// The job.
            job: JobId,
        },
        /// Asks why a job waits.
        JobExplain {
            /// The job.
            job: JobId,
        },
        /// Reads what became of an idempotency key.
        KeyStatus {
            /// The team.
            team: TeamName,
            /// The key.
            key: RequestKey,
        },
        /// Sends a short request.
        Send(RequestHead),
        /// Reads the team files in force.
        ConfigGet,
        /// Reads the version in force at each daemon.
        ConfigStatus,
        /// Publishes a change of team files.
        ConfigPublish {
            /// The version that the change was made against.
            base: ConfigVersion,
            /// Files that are new or changed.
            upsert: Vec<TeamFile>,
            /// Teams that are removed.
            remove: Vec<TeamName>,
            /// The operator.
            operator: String,
        },
        /// Takes a failure domain out or brings it back.
        DomainSet {
            /// The failure domain.
            domain: DomainName,
            /// Whether it goes out.
            out: bool,
            /// The operator.
            operator: String,
            /// Whether a broken guarantee is accepted.
            confirmed: bool,
        },
        /// Reads the failure domains with the progress of their drain.
        DomainStatus,
        /// Reads the teams against their guarantees.
        TeamStatus,
        /// Reads the state of this daemon.
        Dump,
        /// Asks whether this daemon takes new work.
        Ready,
    }

    /// What a read of a stream brought.
    #[serde(tag = "outcome", rename_all = "snake_case")]
    pub enum ReadOutcome {
        /// Records in order, possibly none.
        Records {
            /// The records.
            records: Vec<StoredRecord>,
            /// The offset after the last record of the stream when the log answered.
            tail: LogOffset,
            /// When the read was sent. The records are complete up to the tail at this time.
            sent: ClockTime,
        },
        /// The offset is no longer kept.
        Expired {
            /// The oldest offset kept.
            oldest: LogOffset,
        },
        /// The log could not be read.
        Failed,
    }

    /// What became of an append.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum AppendOutcome {
        /// The log has stored the batch.
        Stored,
        /// The log has refused the batch and stored nothing.
        Refused,
        /// The answer was lost; the batch may be stored now or later.
        Unknown,
    }

    /// What became of a call to a worker.
    #[serde(tag = "outcome", rename_all = "snake_case")]
    pub enum CallOutcome {
        /// The worker replied.
        Reply {
            /// The reply.
            reply: WorkerReply,
        },
        /// No connection was made, so the command was not delivered.
        Undelivered,
        /// The command may have been carried out, now or later.
        Unknown,
    }

    /// What became of one attempt of a short request.
    #[serde(tag = "outcome", rename_all = "snake_case")]
    pub enum EndpointOutcome {
        /// A whole answer with the request's id and attempt arrived; the traffic thread holds it.
        Answered {
            /// The HTTP status.
            status: u16,
            /// Length of the body in bytes.
            length: u64,
            /// The body when it is text of at most [`crate::record`]'s kept size.
            kept: Option<String>,
        },
        /// The endpoint refused the request without running it.
        Refused,
        /// No connection was made, so no byte was sent.
        Undelivered,
        /// The answer was lost, incomplete or belonged to another request.
        Unknown,
    }

    /// What the platform's VM list answered.
    #[serde(tag = "outcome", rename_all = "snake_case")]
    pub enum VmOutcome {
        /// Workers that changed since the version asked for.
        Changes {
            /// The list's version.
            version: u64,
            /// The changed workers.
            workers: Vec<WorkerInfo>,
            /// The changed entry VMs.
            daemons: Vec<DaemonInfo>,
        },
        /// The list could not be read.
        Failed,
    }

    /// How urgently the process has to stop.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum ShutdownLevel {
        /// Finish open work first.
        Drain,
        /// Stop at once.
        Now,
    }
}

plain_data! {
    /// What happened.
    #[serde(tag = "input", rename_all = "snake_case")]
    pub enum EventInput {
        /// Time has passed.
        Tick,
        /// No other event waits, or enough of them were taken in. What looks at the whole state is
        /// done now and not at each event, so that its cost is shared when events come fast.
        BurstEnd,
        /// A caller or an operator sent a command.
        Caller {
            /// The exchange that takes the answer.
            caller: CallerId,
            /// Who the caller claims to be.
            credential: CallerCredential,
            /// The command.
            request: CallerCommand,
        },
        /// A caller's connection closed before its answer.
        CallerDisconnected {
            /// The exchange.
            caller: CallerId,
        },
        /// A read of the control stream ended.
        LogRead {
            /// The offset that the read began at.
            from: LogOffset,
            /// What it brought.
            outcome: ReadOutcome,
        },
        /// A read of the snapshot stream ended.
        SnapshotRead {
            /// The newest whole snapshot, or `None` when the stream holds none.
            ledger: Option<Box<LedgerState>>,
            /// Whether the log could be read.
            reachable: bool,
        },
        /// A snapshot was written, or could not be.
        SnapshotWritten {
            /// Whether all pieces are stored.
            stored: bool,
        },
        /// An append ended.
        AppendCompleted {
            /// The batch.
            batch: BatchId,
            /// What became of it.
            outcome: AppendOutcome,
        },
        /// A call to a worker ended.
        WorkerCallCompleted {
            /// The call.
            call: CallId,
            /// The worker.
            worker: WorkerName,
            /// What became of it.
            outcome: CallOutcome,
        },
        /// A worker pushed the ends of tasks.
        WorkerReport {
            /// The worker.
            worker: WorkerName,
            /// The tasks.
            tasks: Vec<TaskStatus>,
        },
        /// An attempt of a short request ended.
        EndpointCallCompleted {
            /// The request.
            request: RequestId,
            /// The attempt, from 1.
            attempt: u32,
            /// What became of it.
            outcome: EndpointOutcome,
        },
        /// A message from another daemon.
        Peer {
            /// The sender.
            from: DaemonName,
            /// The message.
            message: PeerMessage,
        },
        /// The VM list answered.
        VmList {
            /// The answer.
            outcome: VmOutcome,
        },
        /// Something happened to the batch subsystem.
        Batch(BatchInput),
        /// The settings were read anew.
        Reload {
            /// The settings of the batch subsystem.
            settings: Box<BatchSettings>,
        },
        /// The process has been told to stop.
        Shutdown {
            /// How urgently.
            level: ShutdownLevel,
        },
    }
}

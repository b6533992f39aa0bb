//! Inputs of the reducer, as a closed set of events.

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
    /// An event with its timestamp.
    pub struct ControlEvent {
        /// When the control thread received the event, by its own clock.
        pub at: ClockTime,
        /// The input to apply.
        pub input: EventInput,
    }

    /// Unverified credential of a caller.
    #[derive(Default)]
    pub struct CallerCredential {
        /// Digest of the key that the caller presented; absent without a key.
        pub digest: Option<KeyDigest>,
    }

    /// A short request without its body. The traffic thread keeps the body.
    pub struct RequestHead {
        /// The team that owns the service.
        pub team: TeamName,
        /// The service that handles the request.
        pub service: ServiceName,
        /// The idempotency key. Required when the service's work is not repeatable.
        pub key: Option<RequestKey>,
        /// Time until the caller's deadline; absent for the default deadline.
        pub deadline: Option<TimeSpan>,
        /// Digest of the body, which detects reuse of a key for different work.
        pub digest: u64,
        /// Length of the body in bytes.
        pub length: u64,
    }

    /// A job submission. The service's declaration supplies the absent values.
    pub struct JobRequest {
        /// The team that submits the job.
        pub team: TeamName,
        /// The service that declares the job's defaults.
        pub service: ServiceName,
        /// The idempotency key, unique within the team.
        pub key: RequestKey,
        /// Gang size; absent for the service's declared size.
        pub members: Option<u32>,
        /// Expected run time; absent for the service's declared run time.
        pub run_time: Option<TimeSpan>,
        /// Time until the caller's deadline; absent for the service's declared deadline.
        pub deadline: Option<TimeSpan>,
        /// Opaque input that is passed to the workers.
        pub payload: String,
    }
}

plain_data! {
    /// A command of a caller or an operator.
    #[serde(tag = "command", rename_all = "snake_case")]
    pub enum CallerCommand {
        /// Submits a job.
        Submit(JobRequest),
        /// Reads a job's state.
        JobStatus {
            /// The team that owns the job.
            team: TeamName,
            /// The id that the submission returned.
            job: JobId,
        },
        /// Waits until a job ends.
        JobWait {
            /// The team that owns the job.
            team: TeamName,
            /// The id that the submission returned.
            job: JobId,
            /// Longest wait, after which the current state is returned.
            wait: TimeSpan,
        },
        /// Cancels a job.
        JobCancel {
            /// The team that owns the job.
            team: TeamName,
            /// The id that the submission returned.
            job: JobId,
        },
        /// Reads the reasons why a job is waiting.
        JobExplain {
            /// The id that the submission returned. A job that the caller may not see is reported
            /// as not found.
            job: JobId,
        },
        /// Reads the outcome recorded for an idempotency key.
        KeyStatus {
            /// The team that owns the key.
            team: TeamName,
            /// The key of a job submission or a short request.
            key: RequestKey,
        },
        /// Sends a short request.
        Send(RequestHead),
        /// Reads the team files of the active configuration.
        ConfigGet,
        /// Reads the active configuration version of each daemon.
        ConfigStatus,
        /// Publishes a change to the team files.
        ConfigPublish {
            /// The version that the change is based on. Any other active version is a conflict.
            base: ConfigVersion,
            /// New and changed files.
            upsert: Vec<TeamFile>,
            /// Teams to remove.
            remove: Vec<TeamName>,
            /// Name of the operator, for the audit record.
            operator: String,
        },
        /// Takes a failure domain out of service or returns it to service.
        DomainSet {
            /// The failure domain to change. It must have workers or committed changes.
            domain: DomainName,
            /// Whether the domain is taken out of service.
            out: bool,
            /// Name of the operator, for the audit record.
            operator: String,
            /// Whether the operator accepts that the change breaks a guarantee.
            confirmed: bool,
        },
        /// Reads the failure domains with their drain progress.
        DomainStatus,
        /// Reads the resource usage of each team against its guarantees.
        TeamStatus,
        /// Reads a diagnostic dump of this daemon's state.
        Dump,
        /// Checks whether this daemon accepts new work.
        Ready,
    }

    /// The outcome of a read of a stream.
    #[serde(tag = "outcome", rename_all = "snake_case")]
    pub enum ReadOutcome {
        /// The read succeeded. The list of records may be empty.
        Records {
            /// The records in log order.
            records: Vec<StoredRecord>,
            /// The end of the stream, one past its last record, when the log responded.
            tail: LogOffset,
            /// When the read was sent. The reader has caught up with the log as of this time.
            sent_at: ClockTime,
        },
        /// The requested offset has been removed by retention.
        Expired {
            /// The oldest retained offset.
            oldest: LogOffset,
        },
        /// The log could not be read.
        Failed,
    }

    /// The outcome of an append.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum AppendOutcome {
        /// The log stored the batch.
        Stored,
        /// The log refused the batch and stored none of it.
        Refused,
        /// The response was lost. The batch may be stored, now or later.
        Unknown,
    }

    /// The outcome of a call to a worker.
    #[serde(tag = "outcome", rename_all = "snake_case")]
    pub enum CallOutcome {
        /// A reply arrived within the time limit. The worker may have refused the command.
        Reply {
            /// [`WorkerReply::Refused`] if the worker did not execute the command.
            reply: WorkerReply,
        },
        /// No connection was made, so the command was not delivered.
        Undelivered,
        /// The response was lost. The worker may execute the command, now or later.
        Unknown,
    }

    /// The outcome of one attempt of a short request.
    #[serde(tag = "outcome", rename_all = "snake_case")]
    pub enum EndpointOutcome {
        /// A complete response to this request and attempt arrived. The traffic thread holds it.
        Answered {
            /// The HTTP status.
            status: u16,
            /// Length of the body in bytes.
            length: u64,
            /// The body, if it is UTF-8 text within the `kept_answer` limit. It is stored for the
            /// idempotency key.
            kept_body: Option<String>,
        },
        /// The endpoint refused the request without executing it.
        Refused,
        /// No connection was made, so no byte was sent.
        Undelivered,
        /// The response was lost, incomplete or for another request.
        Unknown,
    }

    /// The outcome of a read of the platform's VM list.
    #[serde(tag = "outcome", rename_all = "snake_case")]
    pub enum VmOutcome {
        /// Changes since the requested version.
        Changes {
            /// The list's version.
            version: u64,
            /// New and changed workers.
            workers: Vec<WorkerInfo>,
            /// New and changed entry VMs.
            daemons: Vec<DaemonInfo>,
        },
        /// The list could not be read.
        Failed,
    }

    /// How the process shuts down.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum ShutdownLevel {
        /// Finish open work, then exit.
        Drain,
        /// Exit immediately.
        Now,
    }
}

plain_data! {
    /// The input of the reducer.
    #[serde(tag = "input", rename_all = "snake_case")]
    pub enum EventInput {
        /// Periodic timer.
        Tick,
        /// The event queue is empty, or many events have been applied since the last burst end.
        /// Passes over the whole state run here and not per event, which amortizes their cost under
        /// load.
        BurstEnd,
        /// A caller or an operator sent a command.
        Caller {
            /// Open exchange of this daemon process, to which the response goes.
            caller: CallerId,
            /// The credential that the caller presented.
            credential: CallerCredential,
            /// The reducer checks whether `credential` authorizes it.
            request: CallerCommand,
        },
        /// A caller disconnected before it received a response.
        CallerDisconnected {
            /// The exchange, which is closed before this event. It gets no response.
            caller: CallerId,
        },
        /// A read of the control stream completed.
        LogRead {
            /// The offset that the read started at.
            from: LogOffset,
            /// The records, or why there are none.
            outcome: ReadOutcome,
        },
        /// A read of the snapshot stream completed.
        SnapshotRead {
            /// The newest complete snapshot, or `None` if the stream holds none.
            ledger: Option<Box<LedgerState>>,
            /// Whether the log was reachable.
            is_reachable: bool,
        },
        /// A write of a snapshot completed or failed.
        SnapshotWritten {
            /// Whether all pieces were stored.
            is_stored: bool,
        },
        /// An append to the control stream succeeded or failed, or its outcome is unknown.
        AppendCompleted {
            /// The id from the `Append` effect. Ignored unless this batch is in flight.
            batch: BatchId,
            /// Whether the log stored the batch, if that is known.
            outcome: AppendOutcome,
        },
        /// A call to a worker completed.
        WorkerCallCompleted {
            /// The id from the `CallWorker` effect. An unknown or repeated id is ignored.
            call: CallId,
            /// The worker that the call was sent to.
            worker: WorkerName,
            /// The reply, or whether the worker may have received the command.
            outcome: CallOutcome,
        },
        /// A worker pushed a report of ended tasks.
        WorkerReport {
            /// The worker's name, as given in the report.
            worker: WorkerName,
            /// Tasks of the worker. Only ended ones are reported to the planner.
            tasks: Vec<TaskStatus>,
        },
        /// An attempt of a short request completed.
        EndpointCallCompleted {
            /// The id from the `SendRequest` effect. The request may have been closed since.
            request: RequestId,
            /// The attempt, from 1.
            attempt: u32,
            /// Status and length of the response, or whether the endpoint may have run the request.
            outcome: EndpointOutcome,
        },
        /// A message from another daemon.
        Peer {
            /// The sending daemon's name, as given in the message.
            from: DaemonName,
            /// Messages may arrive late, repeatedly or not at all.
            message: PeerMessage,
        },
        /// A read of the VM list completed.
        VmList {
            /// Changes of the list, or `Failed` when it could not be read.
            outcome: VmOutcome,
        },
        /// Input of the batch subsystem.
        Batch(BatchInput),
        /// The settings file was reloaded.
        Reload {
            /// The new settings of the batch subsystem.
            settings: Box<BatchSettings>,
        },
        /// The process received a shutdown signal.
        Shutdown {
            /// Whether to drain first.
            level: ShutdownLevel,
        },
    }
}

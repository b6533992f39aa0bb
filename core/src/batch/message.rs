//! Inputs and effects of the batch subsystem, as closed sets of plain data.

use crate::batch::catalog::QueueCatalog;
use crate::batch::dump::BatchDump;
use crate::batch::job::JobPhase;
use crate::batch::job::JobSubmission;
use crate::batch::job::QueueName;
use crate::batch::job::RunKey;
use crate::batch::job::WorkerEntry;
use crate::batch::record::BatchRecord;
use crate::config::KeyDigest;
use crate::ids::BatchId;
use crate::ids::CallId;
use crate::ids::CallerId;
use crate::ids::DomainName;
use crate::ids::OrderToken;
use crate::ids::TermNumber;
use crate::ids::WorkerName;
use crate::kind::FailureReport;
use crate::units::TimeSpan;

plain_data! {
    /// Operation that a caller requests on a queue or a job.
    pub enum CallAction {
        /// Submits a job.
        Submit(Box<JobSubmission>),
        /// Reads a job's phase, or the number of a queue's jobs that have not started.
        Read,
        /// Cancels a job.
        Cancel,
    }

    /// A caller's request concerning a queue or one of its jobs.
    pub struct QueueCall {
        /// Host name from the request, which selects the queue together with the path.
        pub host: String,
        /// Path of the request: a queue's prefix, followed by a job's key or nothing.
        pub path: String,
        /// Digest of the API key, absent if the caller sent none.
        pub credential: Option<KeyDigest>,
        /// Time for which the caller waits, absent if it specified none.
        pub timeout: Option<TimeSpan>,
        /// Operation on the queue or on the job that the path names.
        pub action: CallAction,
    }

    /// The response to a [`QueueCall`].
    pub enum QueueResponse {
        /// The job's acceptance is stored.
        Accepted,
        /// The job's phase.
        Phase(JobPhase),
        /// Number of accepted jobs of the queue that have not started.
        Pending(u64),
        /// The job's cancellation is stored, or the job has ended.
        Cancelled,
        /// The call failed or was refused.
        Failure(FailureReport),
    }
}

plain_data! {
    /// A topic that the daemon reads.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum StoreStream {
        /// Records of jobs, tasks and the planner's term, written by the daemons.
        Batch,
        /// Configuration and availability of failure domains, written by operators.
        Operator,
        /// Entries of workers, written by the workers.
        Workers,
    }

    /// Decoded record of a topic.
    pub enum StreamChange {
        /// A record of the batch topic.
        Batch(Box<BatchRecord>),
        /// A version of the configuration.
        Catalog(Box<QueueCatalog>),
        /// A failure domain goes out of service or comes back.
        Domain {
            /// Name of the failure domain, which is part of the record's key.
            domain: DomainName,
            /// Whether it is out of service.
            is_out: bool,
        },
        /// A worker's entry was written or deleted.
        Worker {
            /// Name of the worker, which is the record's key.
            worker: WorkerName,
            /// The entry, or `None` if it was deleted.
            entry: Option<Box<WorkerEntry>>,
        },
        /// A record that this daemon cannot decode.
        Unreadable {
            /// Key of the record; empty if it cannot be decoded.
            key: String,
            /// Why it cannot be decoded.
            reason: String,
        },
        /// A term record in a form that this daemon does not know, so a newer version plans.
        UnknownTermForm {
            /// First byte of the record.
            form: u8,
        },
    }

    /// A record with its offset.
    pub struct StreamRecord {
        /// Offset in the topic.
        pub offset: u64,
        /// The change that the record describes, or why the record cannot be decoded.
        pub change: StreamChange,
    }

    /// Outcome of a read of a topic.
    pub enum StreamOutcome {
        /// Records from the requested offset on.
        Records {
            /// Records in the order of the topic; empty if none arrived within the wait.
            records: Vec<StreamRecord>,
            /// Offset after the last record, at which the next read begins.
            next: u64,
            /// End of the topic when the response was sent.
            end: u64,
            /// Size of the response in bytes.
            bytes: u64,
        },
        /// A page of the newest record of each key.
        Newest {
            /// Records of the page, in the order in which the store returned them.
            records: Vec<StreamRecord>,
            /// Key after which the next page begins; `None` for the last page.
            after: Option<String>,
            /// End of the topic when the response was sent.
            end: u64,
            /// Size of the response in bytes.
            bytes: u64,
        },
        /// The records at the requested offset have expired from the log.
        Expired,
        /// The store refused the read or did not answer it.
        Failed,
    }

    /// Outcome of an append.
    #[derive(Copy, Hash)]
    pub enum WriteOutcome {
        /// The records are stored.
        Stored {
            /// Offset of the first record.
            offset: u64,
        },
        /// The store refused it without storing anything; a retry may succeed.
        Refused,
        /// The store refused it for its content or its size, so a retry cannot succeed.
        Rejected,
        /// The store fenced the writer: a newer epoch has written, or the sequence number is not
        /// the next one.
        Fenced,
        /// The request was not sent.
        Undelivered,
        /// The records may be stored, now or later.
        Unknown,
    }

    /// Identity under which a batch is appended.
    #[derive(Copy, Hash)]
    pub enum WriterIdentity {
        /// Records of callers' commands, without fencing.
        Intake,
        /// Records of the planner, fenced by its term.
        Planner {
            /// The term, which the store uses as the writer's epoch.
            term: TermNumber,
            /// Sequence number of the append within the term, from 0.
            sequence: u64,
        },
    }
}

plain_data! {
    /// A command of the planner to a worker.
    pub enum WorkerOrder {
        /// Renews the worker's lease and requests the lists of its runs.
        Hold {
            /// End of the lease in milliseconds of the worker's clock; `None` while its clock is
            /// unknown.
            lease_end: Option<u64>,
            /// Number up to which all ends are recorded, so that the worker may discard them; 0
            /// discards none.
            acknowledged_end: u64,
            /// Long-poll wait for a run to end.
            wait: TimeSpan,
        },
        /// Starts a run of a task.
        Start {
            /// Task and attempt to start.
            run: RunKey,
            /// Opaque job specification from the caller.
            spec: String,
            /// Checkpoint from which the run resumes; empty for a start from the beginning.
            checkpoint: String,
            /// End of the lease in milliseconds of the worker's clock.
            lease_end: u64,
        },
        /// Stops a run of a task.
        Stop {
            /// Task and attempt to stop.
            run: RunKey,
        },
    }

    /// How a run ended.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RunEnding {
        /// It completed its work.
        Done,
        /// It failed, because of its task or of the worker.
        Failed,
        /// It was stopped by an order.
        Stopped,
        /// The worker's lease expired.
        Lapsed,
        /// Another member of its gang ended.
        Broken,
        /// The other members of its gang did not start in time.
        Alone,
    }

    /// A run that a worker lists as running.
    pub struct RunningRow {
        /// Task and attempt in progress.
        pub run: RunKey,
        /// Newest checkpoint; empty without one.
        pub checkpoint: String,
        /// Progress in percent.
        pub percent: u32,
    }

    /// A run that a worker lists as ended.
    pub struct EndedRow {
        /// Number of the end within the worker's incarnation, from 1.
        pub number: u64,
        /// Task and attempt that ended.
        pub run: RunKey,
        /// How it ended.
        pub ending: RunEnding,
        /// Last checkpoint; empty without one.
        pub checkpoint: String,
    }

    /// The running and the ended runs of a worker.
    #[derive(Default)]
    pub struct WorkerLists {
        /// Start time of the worker's process in milliseconds, absent if the worker does not report
        /// it.
        pub incarnation: Option<u64>,
        /// Runs in progress.
        pub running: Vec<RunningRow>,
        /// Ended runs that were not acknowledged, in the order of their numbers.
        pub ended: Vec<EndedRow>,
        /// Whether the worker may have more ends than it lists. A run that is missing from both
        /// lists may then have ended.
        pub has_more_ends: bool,
    }

    /// Reason for which a worker refused an order.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum OrderRefusal {
        /// It has seen a higher fencing token.
        Fenced,
        /// A run of the task with the same or a higher attempt has ended or was stopped there.
        Old,
        /// The end of the lease has passed by its clock.
        Late,
        /// Its free capacity is too small.
        Room,
        /// The order was for a worker of another name.
        OtherLife,
        /// It is unhealthy and did not carry out the order.
        Unhealthy,
        /// It cannot decode the order.
        Malformed,
    }

    /// Outcome of an order.
    pub enum OrderOutcome {
        /// The worker carried it out.
        Done {
            /// Reading of the worker's clock in milliseconds.
            clock: u64,
            /// The worker's lists, in the response to a hold only.
            lists: Option<Box<WorkerLists>>,
        },
        /// The worker refused it without carrying it out.
        Refused {
            /// Reading of the worker's clock in milliseconds, if the response has one.
            clock: Option<u64>,
            /// Reason for the refusal, as reported by the worker.
            refusal: OrderRefusal,
        },
        /// No byte of the request was sent. This says nothing about the worker's runs: a cut on the
        /// way can refuse connections too.
        Undelivered,
        /// The worker may carry it out, now or later.
        Unknown,
    }
}

impl OrderOutcome {
    /// Returns the name of the outcome in log lines.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::Refused { refusal, .. } => match refusal {
                OrderRefusal::Fenced => "fenced",
                OrderRefusal::Old => "old",
                OrderRefusal::Late => "late",
                OrderRefusal::Room => "room",
                OrderRefusal::OtherLife => "other_life",
                OrderRefusal::Unhealthy => "unhealthy",
                OrderRefusal::Malformed => "malformed",
            },
            Self::Undelivered => "undelivered",
            Self::Unknown => "unknown",
        }
    }
}

plain_data! {
    /// An interval in the life cycle of a job, measured by a histogram.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum JobStage {
        /// From the submission to the first start of a task.
        FirstStart,
        /// From the submission to the recorded end.
        Completion,
        /// Difference between the declared and the true run time of a task.
        DeclaredError,
        /// Difference between the learned and the true run time of a task.
        LearnedError,
    }

    /// An input of the batch reducer.
    pub enum BatchInput {
        /// A caller has sent a request.
        Call {
            /// The caller's open exchange, for [`BatchEffect::Respond`].
            caller: CallerId,
            /// The decoded request, which is not authorized yet.
            call: Box<QueueCall>,
        },
        /// A read of a topic has ended.
        Read {
            /// Topic that was read. At most one read of a topic is pending.
            stream: StoreStream,
            /// Records that were read, or why there are none.
            outcome: StreamOutcome,
        },
        /// An append has ended.
        Written {
            /// Number of the batch, from [`BatchEffect::Write`].
            batch: BatchId,
            /// Whether the records are stored.
            outcome: WriteOutcome,
        },
        /// An order has ended.
        Order {
            /// Number of the call, from [`BatchEffect::Order`].
            call: CallId,
            /// Whether the worker carried out the order, with its run lists if it was a hold.
            outcome: OrderOutcome,
        },
        /// A client requests a dump of the daemon's state.
        Dump {
            /// The client's open exchange, for [`BatchEffect::RespondDump`].
            caller: CallerId,
        },
        /// The platform's readiness probe.
        Probe {
            /// The probe's open exchange, for [`BatchEffect::RespondReadiness`].
            caller: CallerId,
        },
    }

    /// An effect of the batch reducer, which the process carries out.
    pub enum BatchEffect {
        /// Read a topic from an offset on.
        Read {
            /// Topic to read.
            stream: StoreStream,
            /// Offset of the first record to return.
            from: u64,
            /// Long-poll wait for a new record.
            wait: TimeSpan,
            /// Maximum size of the response in kilobytes; a single larger record exceeds it.
            page_kb: u32,
            /// Timeout for the response.
            timeout: TimeSpan,
        },
        /// Read a page of the newest record of each key.
        ReadNewest {
            /// Topic to read.
            stream: StoreStream,
            /// Key after which the page begins; `None` for the first page.
            after: Option<String>,
            /// Timeout for the response.
            timeout: TimeSpan,
        },
        /// Append records in one call.
        Write {
            /// Number of the batch, returned with its outcome. A resend keeps the number.
            batch: BatchId,
            /// Identity under which the records are appended.
            writer: WriterIdentity,
            /// Records in the order in which they are stored, all of them or none.
            records: Vec<BatchRecord>,
            /// Timeout for the response.
            timeout: TimeSpan,
        },
        /// Send an order to a worker.
        Order {
            /// Number of the call, returned with its outcome.
            call: CallId,
            /// Recipient of the order. Any other process at the address refuses it.
            worker: WorkerName,
            /// IP address and port from the worker's entry in the store.
            address: String,
            /// Fencing token of the worker's session.
            token: OrderToken,
            /// Lease renewal, start or stop that the worker carries out.
            order: WorkerOrder,
            /// Timeout for the response.
            timeout: TimeSpan,
        },
        /// Respond to a caller.
        Respond {
            /// Exchange to respond to, from [`BatchInput::Call`].
            caller: CallerId,
            /// Result of the call. Sending it closes the exchange.
            response: QueueResponse,
        },
        /// Respond with a dump of the daemon's state.
        RespondDump {
            /// Exchange to respond to, from [`BatchInput::Dump`].
            caller: CallerId,
            /// State at the time of the request.
            dump: Box<BatchDump>,
        },
        /// Add an observation to the histogram of a job stage.
        Observe {
            /// Interval that was measured.
            stage: JobStage,
            /// Queue of the job, which labels the observation.
            queue: QueueName,
            /// Length of the interval.
            span: TimeSpan,
        },
        /// Close callers' connections after the next response.
        CloseConnections,
        /// Respond to a readiness probe.
        RespondReadiness {
            /// Exchange to respond to, from [`BatchInput::Probe`].
            caller: CallerId,
            /// Whether the daemon takes callers.
            is_ready: bool,
        },
    }
}

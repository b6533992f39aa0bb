//! Inputs and outputs of the batch subsystem, as closed sets of data.

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
use crate::ids::TermNumber;
use crate::ids::WorkerName;
use crate::kind::FailureReport;
use crate::units::TimeSpan;

plain_data! {
    /// What a caller asks of a queue or a job.
    pub enum CallAction {
        /// Hands a job in.
        Submit(Box<JobSubmission>),
        /// Asks for a job's phase, or for a queue's number of waiting jobs.
        Read,
        /// Cancels a job.
        Cancel,
    }

    /// One call of a caller.
    pub struct QueueCall {
        /// The host that the caller named.
        pub host: String,
        /// The path, which begins with a queue's prefix.
        pub path: String,
        /// Digest of the key that the caller presented.
        pub credential: Option<KeyDigest>,
        /// How long the caller waits.
        pub timeout: Option<TimeSpan>,
        /// What is asked.
        pub action: CallAction,
    }

    /// The answer to a caller.
    pub enum QueueResponse {
        /// The job is stored.
        Accepted,
        /// The job's phase.
        Phase(JobPhase),
        /// Accepted jobs of the queue for which no task has begun.
        Pending(u64),
        /// The job is cancelled or has ended.
        Cancelled,
        /// The call failed.
        Failure(FailureReport),
    }
}

plain_data! {
    /// A topic that the daemon follows.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum StoreStream {
        /// The system's own records.
        Batch,
        /// Configuration and orders of the operators.
        Operator,
        /// Entries of the workers.
        Workers,
    }

    /// What the operators or the workers wrote.
    pub enum StreamChange {
        /// A record of the system.
        Batch(Box<BatchRecord>),
        /// A configuration.
        Catalog(Box<QueueCatalog>),
        /// A failure domain is taken out of service, or brought back.
        Domain {
            /// The failure domain.
            domain: DomainName,
            /// Whether it is out of service.
            is_out: bool,
        },
        /// A worker's entry, or none when it is gone or does not have the form of one.
        Worker {
            /// The worker.
            worker: WorkerName,
            /// The entry.
            entry: Option<Box<WorkerEntry>>,
        },
        /// A record that means nothing to this daemon.
        Unreadable {
            /// Its key.
            key: String,
            /// Why it cannot be used.
            reason: String,
        },
    }

    /// One change with its place in its topic.
    pub struct StreamRecord {
        /// The offset.
        pub offset: u64,
        /// The change.
        pub change: StreamChange,
    }

    /// What became of reading a topic.
    pub enum StreamOutcome {
        /// Records from the asked offset on.
        Records {
            /// The records.
            records: Vec<StreamRecord>,
            /// The offset that reading continues from.
            next: u64,
            /// The end of the topic when the answer was made.
            end: u64,
            /// Size of the answer in bytes.
            bytes: u64,
        },
        /// A page of the newest record of each key.
        Newest {
            /// The records.
            records: Vec<StreamRecord>,
            /// The key after which the next page begins, unless this is the last.
            after: Option<String>,
            /// The end of the topic when the page was made.
            end: u64,
            /// Size of the answer in bytes.
            bytes: u64,
        },
        /// The asked records are gone.
        Expired,
        /// The store refused or could not be reached.
        Failed,
    }

    /// What became of an append.
    #[derive(Copy, Hash)]
    pub enum WriteOutcome {
        /// It is stored.
        Stored {
            /// The offset of its first record.
            offset: u64,
        },
        /// The store refused it and did nothing; trying again may help.
        Refused,
        /// A newer epoch has written, or the sequence does not follow.
        Fenced,
        /// It was not sent.
        Undelivered,
        /// It may have been stored, now or later.
        Unknown,
    }

    /// Who writes a batch of records.
    #[derive(Copy, Hash)]
    pub enum WriterIdentity {
        /// Records of callers' commands, without a condition.
        Intake,
        /// Records of the planner, fenced by its term.
        Planner {
            /// The term, which is the epoch at the store.
            term: TermNumber,
            /// Number of the append within the term, from 0.
            sequence: u64,
        },
    }
}

plain_data! {
    /// An order to a worker.
    pub enum WorkerOrder {
        /// Renews the lease and asks for the lists.
        Hold {
            /// The end of the lease by the worker's clock.
            lease_end: Option<u64>,
            /// Ends up to this number are recorded.
            acknowledged_end: u64,
            /// Longest wait for an end.
            wait: TimeSpan,
        },
        /// Starts a run.
        Start {
            /// The run.
            run: RunKey,
            /// Opaque text of the job.
            spec: String,
            /// Where the run resumes; empty at the start.
            checkpoint: String,
            /// The end of the lease by the worker's clock.
            lease_end: u64,
        },
        /// Stops a run.
        Stop {
            /// The run.
            run: RunKey,
        },
    }

    /// How a run ended.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RunEnding {
        /// Its work is done.
        Done,
        /// It failed, by its own fault or the worker's.
        Failed,
        /// It was stopped.
        Stopped,
        /// The worker's lease ended.
        Lapsed,
        /// Another member of its gang ended.
        Broken,
        /// The other members of its gang did not come in time.
        Alone,
    }

    /// A run that a worker lists as running.
    pub struct RunningRow {
        /// The run.
        pub run: RunKey,
        /// Its newest checkpoint.
        pub checkpoint: String,
        /// Its progress in percent.
        pub percent: u32,
    }

    /// A run that a worker lists as ended.
    pub struct EndedRow {
        /// Number of the end within the worker's life, from 1.
        pub number: u64,
        /// The run.
        pub run: RunKey,
        /// How it ended.
        pub ending: RunEnding,
        /// Its last checkpoint.
        pub checkpoint: String,
    }

    /// What a worker runs and what has ended there.
    #[derive(Default)]
    pub struct WorkerLists {
        /// When the worker's life began, if it says so.
        pub incarnation: Option<u64>,
        /// Runs in progress.
        pub running: Vec<RunningRow>,
        /// Ends that were not acknowledged.
        pub ended: Vec<EndedRow>,
    }

    /// Why a worker refused an order.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum OrderRefusal {
        /// It has seen a newer term.
        Fenced,
        /// A run that is not lower has ended or was stopped there.
        Old,
        /// The end of the lease has passed on its clock.
        Late,
        /// It has no room.
        Room,
        /// It is a later life of the worker.
        OtherLife,
        /// It is unhealthy and has done nothing.
        Unhealthy,
        /// It does not understand the order.
        Malformed,
    }

    /// What became of an order.
    pub enum OrderOutcome {
        /// The worker carried it out.
        Done {
            /// The worker's clock, in milliseconds.
            clock: u64,
            /// The lists, in the answer to a hold.
            lists: Option<Box<WorkerLists>>,
        },
        /// The worker refused it and has not carried it out.
        Refused {
            /// The worker's clock, if it was told.
            clock: Option<u64>,
            /// Why.
            refusal: OrderRefusal,
        },
        /// No byte of it was sent.
        Undelivered,
        /// No process listens at the worker's address.
        NoListener,
        /// It may be carried out, now or later.
        Unknown,
    }
}

plain_data! {
    /// A part of a job's way, whose length is measured.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum JobStage {
        /// From the submission to the first start of a task.
        FirstStart,
        /// From the submission to the recorded end.
        Completion,
    }

    /// What can happen to the batch subsystem.
    pub enum BatchInput {
        /// A caller's call.
        Call {
            /// The open exchange.
            caller: CallerId,
            /// The call.
            call: Box<QueueCall>,
        },
        /// A read of a topic has ended.
        Read {
            /// The topic.
            stream: StoreStream,
            /// What became of it.
            outcome: StreamOutcome,
        },
        /// An append has ended.
        Written {
            /// The batch.
            batch: BatchId,
            /// What became of it.
            outcome: WriteOutcome,
        },
        /// An order has ended.
        Order {
            /// The order.
            call: CallId,
            /// What became of it.
            outcome: OrderOutcome,
        },
        /// Somebody asks for the state of the daemon.
        Dump {
            /// The open exchange.
            caller: CallerId,
        },
        /// The platform asks whether the daemon takes callers.
        Probe {
            /// The open exchange.
            caller: CallerId,
        },
    }

    /// What the process has to do for the batch subsystem.
    pub enum BatchEffect {
        /// Read a topic from an offset on.
        Read {
            /// The topic.
            stream: StoreStream,
            /// The first offset.
            from: u64,
            /// Longest wait for a record.
            wait: TimeSpan,
            /// Size of the answer in kilobytes, which is exceeded for one larger record.
            page_kb: u32,
            /// Longest time to an answer.
            timeout: TimeSpan,
        },
        /// Read a page of the newest record of each key.
        ReadNewest {
            /// The topic.
            stream: StoreStream,
            /// The key after which the page begins.
            after: Option<String>,
            /// Longest time to an answer.
            timeout: TimeSpan,
        },
        /// Append records in one call.
        Write {
            /// The batch.
            batch: BatchId,
            /// Who writes.
            writer: WriterIdentity,
            /// The records.
            records: Vec<BatchRecord>,
            /// Longest time to an answer.
            timeout: TimeSpan,
        },
        /// Send an order to a worker.
        Order {
            /// The order.
            call: CallId,
            /// The worker.
            worker: WorkerName,
            /// IP number and port.
            address: String,
            /// The planner's term, which is the fencing token.
            term: TermNumber,
            /// The order.
            order: WorkerOrder,
            /// Longest time to an answer.
            timeout: TimeSpan,
        },
        /// Answer a caller.
        Respond {
            /// The exchange.
            caller: CallerId,
            /// The answer.
            response: QueueResponse,
        },
        /// Answer with the state of the daemon.
        RespondDump {
            /// The exchange.
            caller: CallerId,
            /// The state.
            dump: Box<BatchDump>,
        },
        /// Add the length of a part of a job's way to its histogram.
        Observe {
            /// The part.
            stage: JobStage,
            /// The queue.
            queue: QueueName,
            /// The length.
            span: TimeSpan,
        },
        /// Tell callers to close their connections after the next answer.
        CloseConnections,
        /// Answer the platform's question whether the daemon takes callers.
        RespondReadiness {
            /// The exchange.
            caller: CallerId,
            /// Whether it does.
            is_ready: bool,
        },
    }
}

//! Outputs of the reducer, as a closed set of effects, and the data that they carry.

use indexmap::IndexMap;

use crate::batch::message::BatchEffect;
use crate::config::TeamFile;
use crate::ids::BatchId;
use crate::ids::CallId;
use crate::ids::CallerId;
use crate::ids::ConfigVersion;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::JobId;
use crate::ids::LogOffset;
use crate::ids::RegionName;
use crate::ids::RequestId;
use crate::ids::RequestKey;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::ids::WorkerName;
use crate::kind::FailureReport;
use crate::ledger::LedgerState;
use crate::record::LogRecord;
use crate::units::TimeSpan;
use crate::worker::TaskStatus;
use crate::worker::WorkerCommand;

plain_data! {
    /// An operator's request to take a failure domain out of service that is not committed yet.
    /// Every daemon that has received the hold places no new work in the domain.
    pub struct DomainHold {
        /// The failure domain to take out. A daemon has at most one hold per domain.
        pub domain: DomainName,
        /// The domain's version when the hold was placed. A committed change with a higher version
        /// releases the hold.
        pub base: u64,
    }

    /// Status that a daemon broadcasts to the others every 2 s by default.
    pub struct PeerHeartbeat {
        /// Random number that identifies the daemon's process and changes at each restart.
        pub incarnation: u64,
        /// IP address and port that receives pushed reports from workers.
        pub address: String,
        /// IP address and port of the peer interface.
        pub peer_address: String,
        /// The daemon's region.
        pub region: RegionName,
        /// The daemon's failure domain.
        pub domain: DomainName,
        /// The next log offset that the daemon reads.
        pub next: LogOffset,
        /// The daemon's active configuration version.
        pub config: ConfigVersion,
        /// Failure domains in which the daemon places no new work, by committed change or by hold.
        pub held_domains: Vec<DomainName>,
        /// The daemon's holds whose change is not committed yet.
        pub holds: Vec<DomainHold>,
        /// Assigned workers that have not responded for the `suspicion` time.
        pub silent_workers: Vec<WorkerName>,
        /// Assigned workers that have not responded and whose lease has certainly expired.
        pub lost_workers: Vec<WorkerName>,
        /// Whether the daemon is shutting down.
        pub draining: bool,
    }
}

plain_data! {
    /// A message between daemons. Delivery may fail, repeat or be delayed.
    #[serde(tag = "message", rename_all = "snake_case")]
    pub enum PeerMessage {
        /// Liveness and status of the sender.
        Heartbeat(PeerHeartbeat),
        /// Ended tasks, forwarded to the planner.
        Reports {
            /// The ended tasks of each worker.
            reports: Vec<WorkerTasks>,
        },
        /// The sender has no ledger, cannot reach the log and requests a copy from its peers.
        StateRequest,
        /// A copy of the sender's ledger.
        State {
            /// The receiver loads it only while it cannot read the log and its own ledger is older.
            ledger: Box<LedgerState>,
        },
    }
}

plain_data! {
    /// Tasks of one worker.
    pub struct WorkerTasks {
        /// The worker that the tasks were assigned to.
        pub worker: WorkerName,
        /// Ended tasks. A task that the worker no longer reports is included as stopped.
        pub tasks: Vec<TaskStatus>,
    }

    /// Status of a job, as returned to its caller.
    pub struct JobView {
        /// The offset of the job's acceptance record in the log.
        pub job: JobId,
        /// The service that the job was submitted to.
        pub service: ServiceName,
        /// The idempotency key of the submission, unique within the team.
        pub key: RequestKey,
        /// The phase: `queued`, `placed` or `ended`.
        pub phase: String,
        /// The number of the last attempt; 0 before the first.
        pub attempt: u32,
        /// Workers of the current attempt; empty unless the job is placed.
        pub workers: Vec<WorkerName>,
        /// The outcome of the job; absent until it ends.
        pub end: Option<JobEnd>,
        /// Whether the submission was a duplicate of an accepted one.
        pub duplicate: bool,
    }

    /// The outcome recorded for an idempotency key.
    pub struct KeyView {
        /// The key that was looked up, unique within the caller's team.
        pub key: RequestKey,
        /// `job`, `in_progress`, `answered`, `not_run` or `unknown`.
        pub state: String,
        /// The job that was submitted with the key; absent for short requests.
        pub job: Option<JobId>,
        /// HTTP status of the stored response, if there is one.
        pub status: Option<u16>,
        /// Body of the stored response, if it has been kept.
        pub body: Option<String>,
        /// Which daemon has the request, while it is in progress.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub detail: Option<String>,
    }

    /// Status of one daemon.
    pub struct DaemonView {
        /// The daemon's name, unique among all daemons.
        pub daemon: DaemonName,
        /// Whether a heartbeat arrived within the `daemon_silence` time.
        pub live: bool,
        /// The daemon's active configuration version.
        pub config: ConfigVersion,
        /// The next log offset that the daemon reads.
        pub next: LogOffset,
        /// Failure domains in which the daemon places no new work.
        pub held_domains: Vec<DomainName>,
    }

    /// Status of one failure domain.
    pub struct DomainView {
        /// A failure domain that has workers or committed changes.
        pub domain: DomainName,
        /// Whether the domain is out of service, by committed change or by a hold of this daemon.
        pub out: bool,
        /// Whether `out` is the committed state.
        pub recorded: bool,
        /// Version of the committed state; 0 if it never changed.
        pub version: u64,
        /// The operator who made the last committed change.
        pub operator: String,
        /// Number of workers in the domain, without those that are gone.
        pub workers: u32,
        /// Number of tasks placed in the domain.
        pub tasks: u32,
        /// Live daemons that have not confirmed the domain's state.
        pub unconfirmed: Vec<DaemonName>,
        /// Estimated time until no task runs in the domain; absent while it is in service.
        pub empty_in: Option<TimeSpan>,
    }

    /// Resource usage of one team against its guarantees, in accelerators.
    pub struct TeamView {
        /// A team of the active configuration.
        pub team: TeamName,
        /// Accelerators in its guaranteed shapes.
        pub guaranteed: u32,
        /// Accelerators that the team's placed jobs use.
        pub used: u32,
        /// Accelerators used in excess of the guarantee.
        pub borrowed: u32,
        /// Unused guaranteed accelerators that other teams borrow.
        pub lent: u32,
        /// Accelerators that are being reclaimed for the team.
        pub reclaiming: u32,
        /// Number of waiting jobs.
        pub waiting: u32,
        /// Number of guaranteed shapes that do not fit on the workers in service.
        pub suspended_shapes: u32,
    }
}

plain_data! {
    /// The outcome of a job, as returned to its caller.
    #[serde(tag = "end", rename_all = "snake_case")]
    pub enum JobEnd {
        /// All members of an attempt finished.
        Finished {
            /// Result text from the worker.
            result: String,
        },
        /// Every permitted attempt failed.
        Failed {
            /// The cause of the last failure.
            reason: String,
        },
        /// The caller cancelled it.
        Cancelled,
        /// The job can never be placed.
        Refused {
            /// What makes the job infeasible.
            reason: String,
        },
        /// The job is not repeatable and it cannot be determined whether it ran.
        Unknown,
    }

    /// The response to a caller's command.
    #[serde(tag = "answer", rename_all = "snake_case")]
    pub enum CallerAnswer {
        /// Status of a job.
        Job(JobView),
        /// Reasons why a job is waiting.
        Reasons {
            /// Sentences, the most important first.
            reasons: Vec<String>,
        },
        /// Outcome of an idempotency key.
        Key(KeyView),
        /// The endpoint's response, which the traffic thread holds.
        Endpoint {
            /// The id from the [`SendRequest`](ControlEffect::SendRequest) effect.
            request: RequestId,
            /// The attempt that received the response.
            attempt: u32,
        },
        /// A response stored earlier for the same idempotency key.
        Kept {
            /// The HTTP status.
            status: u16,
            /// The body as text. A response whose body was not stored is reported as an error.
            body: String,
        },
        /// The configuration that this daemon has applied from the log.
        Config {
            /// The base version for a change to these files; 0 before the first change.
            version: ConfigVersion,
            /// Team files by team name.
            teams: IndexMap<TeamName, TeamFile>,
        },
        /// The configuration change is active.
        Published {
            /// The version that the change created.
            version: ConfigVersion,
        },
        /// Status of all daemons.
        Daemons {
            /// This daemon first, then the others.
            daemons: Vec<DaemonView>,
        },
        /// Status of all failure domains.
        Domains {
            /// All failure domains that have workers or committed changes.
            domains: Vec<DomainView>,
        },
        /// Resource usage of all teams.
        Teams {
            /// All teams of the active configuration.
            teams: Vec<TeamView>,
        },
        /// A diagnostic dump of this daemon.
        Dump {
            /// The state as JSON text.
            json: String,
        },
        /// The daemon accepts new work.
        Ready,
        /// An error. Its kind determines whether the work of the command may have run.
        Failure(FailureReport),
    }

    /// The target of a log line: the component that writes it, shown as a prefix.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum LogTarget {
        /// The planner's term and its takeover.
        Term,
        /// Appends and reads of the platform's log.
        Log,
        /// Snapshots and state recovery.
        Snapshot,
        /// Membership of daemons and workers, and the VM list.
        Member,
        /// Worker leases.
        Lease,
        /// Gang placement and termination.
        Gang,
        /// Planning.
        Plan,
        /// Short requests.
        Request,
        /// Configuration and failure domains.
        Config,
        /// Startup and shutdown of the process.
        Process,
    }

    /// Severity of a log line.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum LogLevel {
        /// A change of state.
        Info,
        /// A condition that may need an operator's attention.
        Warn,
    }

    /// Names of counters and gauges. Each daemon counts for itself.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum MetricName {
        /// Submissions to this daemon whose acceptance is confirmed.
        JobsAccepted,
        /// Jobs ended. Each daemon counts all jobs; in the batch subsystem only the planner counts.
        JobsEnded,
        /// Attempts that this daemon preempted as the planner.
        AttemptsPreempted,
        /// Short requests that ended with a response of the endpoint, of any HTTP status.
        RequestsAnswered,
        /// Commands that failed with an error whose run status is `not_run`.
        Refused,
        /// Retries of short requests whose previous attempt may have run.
        Retries,
        /// Commands that failed with an error whose run status is `may_have_run`.
        OutcomesUnknown,
        /// Records sent to the log. A record that is sent again counts again.
        RecordsAppended,
        /// Appends whose outcome was unknown.
        AppendsUnknown,
        /// Claims of the term that this daemon appended. The batch subsystem counts only successful
        /// claims.
        TermsClaimed,
        /// Workers of this daemon's share whose lease expired without an answer.
        WorkersLost,
        /// Short requests that were refused because a limit was reached.
        LimitsReached,
        /// Task starts that a worker confirmed.
        RunsStarted,
        /// Task starts that were withdrawn or not confirmed.
        RunsNotStarted,
        /// Runs that a worker was ordered to stop.
        RunsStopped,
        /// Runs that ended with a failure.
        RunsFailed,
        /// Runs that disappeared without a reported end.
        RunsLost,
        /// Connections of clients that were closed to make room for others.
        ClientsShed,
        /// Connections of clients that were refused because all others were busy.
        ClientsRefused,
        /// Requests that were refused because the memory for clients was used up.
        ClientMemoryRefused,
        /// Requests with a head over the limit.
        ClientHeadsRefused,
        /// Requests with a body over the limit.
        ClientBodiesRefused,
        /// Connections of clients that exceeded a time limit.
        ClientsTimedOut,
        /// Log lines dropped by the rate limit.
        LinesOmitted,
        /// Jobs waiting (gauge).
        JobsWaiting,
        /// Jobs placed (gauge).
        JobsPlaced,
        /// Requests open (gauge).
        RequestsOpen,
        /// Age in ms of the last read that reached the end of the log (gauge).
        LogAge,
    }
}

impl LogTarget {
    /// Returns the prefix of the component's log lines.
    #[must_use]
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Term => "term:",
            Self::Log => "log:",
            Self::Snapshot => "snapshot:",
            Self::Member => "member:",
            Self::Lease => "lease:",
            Self::Gang => "gang:",
            Self::Plan => "plan:",
            Self::Request => "request:",
            Self::Config => "config:",
            Self::Process => "process:",
        }
    }
}

plain_data! {
    /// An action that the process carries out after an event.
    #[serde(tag = "effect", rename_all = "snake_case")]
    pub enum ControlEffect {
        /// Append a batch of records to the control stream in one write.
        Append {
            /// Identifies the outcome of the append. A retry of the same records has a new id.
            batch: BatchId,
            /// Unconfirmed records of this daemon, in the order of their sequence numbers.
            records: Vec<LogRecord>,
        },
        /// Read the control stream.
        ReadLog {
            /// The offset of the first record to read.
            from: LogOffset,
            /// How long the log may block until a record is available.
            wait: TimeSpan,
        },
        /// Read the newest complete snapshot.
        ReadSnapshot,
        /// Encode a snapshot and write it in pieces.
        WriteSnapshot {
            /// The ledger to encode.
            ledger: Box<LedgerState>,
        },
        /// Send a command to a worker.
        CallWorker {
            /// The call, which identifies the response.
            call: CallId,
            /// The worker's name in the VM list.
            worker: WorkerName,
            /// IP address and port of the worker interface, from the VM list.
            address: String,
            /// The worker refuses a command with an outdated term. `Renew` and `Forget` have no
            /// term.
            command: WorkerCommand,
            /// Time limit for the response.
            timeout: TimeSpan,
        },
        /// Send a short request whose body the traffic thread holds.
        SendRequest {
            /// The exchange that holds the body.
            caller: CallerId,
            /// Identifies the request within this process; counts from 1.
            request: RequestId,
            /// The attempt, from 1.
            attempt: u32,
            /// The worker whose endpoint serves the request.
            worker: WorkerName,
            /// IP address and port of the worker that the endpoint runs on, from the VM list.
            address: String,
            /// The service that the caller requested; part of the path at the endpoint.
            service: ServiceName,
            /// Time limit for the response.
            timeout: TimeSpan,
        },
        /// Cancel an attempt at its endpoint.
        CancelRequest {
            /// The closed request, by the id from [`SendRequest`](ControlEffect::SendRequest).
            request: RequestId,
            /// The attempt in flight, from 1.
            attempt: u32,
            /// IP address and port that the attempt was sent to.
            address: String,
        },
        /// Send a message to another daemon.
        SendPeer {
            /// The receiving daemon's name in the VM list.
            to: DaemonName,
            /// IP address and port of the daemon's peer interface.
            address: String,
            /// A heartbeat, ended tasks, or a request or response of a state transfer.
            message: PeerMessage,
        },
        /// Read changes of the VM list.
        FetchVms {
            /// The last version received.
            since: u64,
        },
        /// Respond to a caller.
        Reply {
            /// The exchange that waits for the response.
            caller: CallerId,
            /// The result of the caller's command, or an error.
            reply: CallerAnswer,
        },
        /// Write a log line.
        LogLine {
            /// The component that writes the line.
            target: LogTarget,
            /// Severity.
            level: LogLevel,
            /// The text without the prefix.
            line: String,
        },
        /// An effect of the batch subsystem.
        Batch(BatchEffect),
        /// Add to a counter or set a gauge.
        UpdateMetric {
            /// Determines whether `amount` is an increment or a value.
            metric: MetricName,
            /// The increment of a counter or the value of a gauge.
            amount: u64,
        },
        /// Exit the process.
        Exit,
    }
}

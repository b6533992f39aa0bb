//! Everything that a daemon can do, as one closed set of data.

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
    /// A take-out of a failure domain that is not on record yet.
    pub struct DomainHold {
        /// The failure domain.
        pub domain: DomainName,
        /// The domain's version that the take-out was made against. A record with a higher
        /// version ends the hold.
        pub base: u64,
    }

    /// What one daemon tells the others about itself every 2 s.
    pub struct PeerHeartbeat {
        /// Number that changes when the daemon's process restarts.
        pub incarnation: u64,
        /// IP number and port that takes pushed reports from workers.
        pub address: String,
        /// IP number and port of its peer interface.
        pub peer_address: String,
        /// Its region.
        pub region: RegionName,
        /// Its failure domain.
        pub domain: DomainName,
        /// The offset that it reads next.
        pub next: LogOffset,
        /// The configuration in force at this daemon.
        pub config: ConfigVersion,
        /// Failure domains that it keeps out of use, recorded or not.
        pub held_domains: Vec<DomainName>,
        /// Take-outs that are not on record yet.
        pub holds: Vec<DomainHold>,
        /// Workers of its share that have not answered for the suspicion time.
        pub silent_workers: Vec<WorkerName>,
        /// Workers of its share whose lease is certain to have lapsed without an answer.
        pub lost_workers: Vec<WorkerName>,
        /// Whether it is stopping.
        pub draining: bool,
    }
}

plain_data! {
    /// A message between daemons. Messages may be lost, doubled or late.
    #[serde(tag = "message", rename_all = "snake_case")]
    pub enum PeerMessage {
        /// The sender is alive.
        Heartbeat(PeerHeartbeat),
        /// Ends of tasks for the planner.
        Reports {
            /// The tasks of each worker.
            reports: Vec<WorkerTasks>,
        },
        /// The sender has no ledger and the log is out of reach.
        StateRequest,
        /// The sender's ledger.
        State {
            /// The ledger.
            ledger: Box<LedgerState>,
        },
    }
}

plain_data! {
    /// Tasks of one worker.
    pub struct WorkerTasks {
        /// The worker.
        pub worker: WorkerName,
        /// The tasks.
        pub tasks: Vec<TaskStatus>,
    }

    /// Where a job stands, as its caller sees it.
    pub struct JobView {
        /// The job.
        pub job: JobId,
        /// The service.
        pub service: ServiceName,
        /// The idempotency key.
        pub key: RequestKey,
        /// The phase: `queued`, `placed` or `ended`.
        pub phase: String,
        /// The number of the last attempt; 0 when there was none.
        pub attempt: u32,
        /// Workers of the running attempt.
        pub workers: Vec<WorkerName>,
        /// How the job ended.
        pub end: Option<JobEnd>,
        /// Whether the submission repeated one that was already accepted.
        pub duplicate: bool,
    }

    /// What became of an idempotency key.
    pub struct KeyView {
        /// The key.
        pub key: RequestKey,
        /// `job`, `in_progress`, `answered`, `not_run` or `unknown`.
        pub state: String,
        /// The job that the key belongs to.
        pub job: Option<JobId>,
        /// The kept answer's HTTP status.
        pub status: Option<u16>,
        /// The kept answer's body.
        pub body: Option<String>,
    }

    /// The version in force at one daemon.
    pub struct DaemonView {
        /// The daemon.
        pub daemon: DaemonName,
        /// Whether it sent a heartbeat in time.
        pub live: bool,
        /// The configuration in force there.
        pub config: ConfigVersion,
        /// The offset that it reads next.
        pub next: LogOffset,
        /// Failure domains that it holds out of use.
        pub held_domains: Vec<DomainName>,
    }

    /// One failure domain.
    pub struct DomainView {
        /// The failure domain.
        pub domain: DomainName,
        /// Whether it is out, by record or held by this daemon.
        pub out: bool,
        /// Whether the state is on record.
        pub recorded: bool,
        /// The record's version; 0 when it never changed.
        pub version: u64,
        /// The operator who changed it last.
        pub operator: String,
        /// Usable workers.
        pub workers: u32,
        /// Tasks that still run there.
        pub tasks: u32,
        /// Live daemons that do not hold it yet, when it is out.
        pub unconfirmed: Vec<DaemonName>,
        /// Estimated time until it is empty.
        pub empty_in: Option<TimeSpan>,
    }

    /// One team against its guarantees, in accelerators.
    pub struct TeamView {
        /// The team.
        pub team: TeamName,
        /// Accelerators in its guaranteed shapes.
        pub guaranteed: u32,
        /// Accelerators that it uses.
        pub used: u32,
        /// Accelerators used beyond the guarantee.
        pub borrowed: u32,
        /// Accelerators of the guarantee that others use.
        pub lent: u32,
        /// Accelerators that are being reclaimed for it.
        pub reclaiming: u32,
        /// Jobs that wait.
        pub waiting: u32,
        /// Guaranteed shapes that cannot be met while failure domains are out.
        pub suspended_shapes: u32,
    }
}

plain_data! {
    /// How a job ended, as its caller sees it.
    #[serde(tag = "end", rename_all = "snake_case")]
    pub enum JobEnd {
        /// The work is done.
        Finished {
            /// The result.
            result: String,
        },
        /// The work failed on each attempt that was allowed.
        Failed {
            /// Why.
            reason: String,
        },
        /// The caller cancelled it.
        Cancelled,
        /// It can never run.
        Refused {
            /// Why.
            reason: String,
        },
        /// It may not be repeated and whether it ran cannot be found out.
        Unknown,
    }

    /// The answer to a caller.
    #[serde(tag = "answer", rename_all = "snake_case")]
    pub enum CallerAnswer {
        /// A job.
        Job(JobView),
        /// Reasons why a job waits.
        Reasons {
            /// Sentences, the most important first.
            reasons: Vec<String>,
        },
        /// A key.
        Key(KeyView),
        /// The endpoint's answer, which the traffic thread holds.
        Endpoint {
            /// The request.
            request: RequestId,
            /// The attempt whose answer it is.
            attempt: u32,
        },
        /// An answer that was kept for the key.
        Kept {
            /// The HTTP status.
            status: u16,
            /// The body.
            body: String,
        },
        /// Team files in force.
        Config {
            /// The version.
            version: ConfigVersion,
            /// The files by team.
            teams: IndexMap<TeamName, TeamFile>,
        },
        /// A change is in force.
        Published {
            /// The version.
            version: ConfigVersion,
        },
        /// Daemons and the version in force at each.
        Daemons {
            /// The daemons.
            daemons: Vec<DaemonView>,
        },
        /// Failure domains.
        Domains {
            /// The failure domains.
            domains: Vec<DomainView>,
        },
        /// Teams.
        Teams {
            /// The teams.
            teams: Vec<TeamView>,
        },
        /// The state of this daemon.
        Dump {
            /// The state as JSON text.
            json: String,
        },
        /// The daemon takes new work.
        Ready,
        /// The command failed.
        Failure(FailureReport),
    }

    /// Parts that write log lines; each has a fixed prefix.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum LogTarget {
        /// Term and takeover.
        Term,
        /// Appends and reads of the platform's log.
        Log,
        /// Snapshots and rebuild.
        Snapshot,
        /// Daemons and the VM list.
        Member,
        /// Leases of workers.
        Lease,
        /// Gangs.
        Gang,
        /// The planner.
        Plan,
        /// Short requests.
        Request,
        /// Configuration and failure domains.
        Config,
        /// Start and stop of the process.
        Process,
    }

    /// How important a log line is.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum LogLevel {
        /// A change of state.
        Info,
        /// Something that an operator may have to look at.
        Warn,
    }

    /// Counters and gauges.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum MetricName {
        /// Jobs accepted.
        JobsAccepted,
        /// Jobs ended.
        JobsEnded,
        /// Attempts preempted.
        AttemptsPreempted,
        /// Requests answered.
        RequestsAnswered,
        /// Commands refused, by any kind that says "not run".
        Refused,
        /// Retries of short requests.
        Retries,
        /// Requests whose outcome is unknown.
        OutcomesUnknown,
        /// Records appended.
        RecordsAppended,
        /// Appends whose outcome was unknown.
        AppendsUnknown,
        /// Terms claimed by this daemon.
        TermsClaimed,
        /// Workers lost.
        WorkersLost,
        /// Limits reached.
        LimitsReached,
        /// Starts of tasks that workers confirmed.
        RunsStarted,
        /// Starts that were taken back or not answered.
        RunsNotStarted,
        /// Runs that were told to stop.
        RunsStopped,
        /// Ends of runs that failed.
        RunsFailed,
        /// Runs that went without an end.
        RunsLost,
        /// Log lines left out because there were too many of their kind.
        LinesOmitted,
        /// Jobs waiting (gauge).
        JobsWaiting,
        /// Jobs placed (gauge).
        JobsPlaced,
        /// Requests open (gauge).
        RequestsOpen,
        /// Age of the last confirmed read of the log's tail, in ms (gauge).
        LogAge,
    }
}

impl LogTarget {
    /// Returns the prefix of the target's log lines.
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
    /// What the process has to do after an event.
    #[serde(tag = "effect", rename_all = "snake_case")]
    pub enum ControlEffect {
        /// Append a batch to the control stream. The records share one append.
        Append {
            /// The batch.
            batch: BatchId,
            /// The records.
            records: Vec<LogRecord>,
        },
        /// Read the control stream.
        ReadLog {
            /// The first offset.
            from: LogOffset,
            /// Longest wait for a record.
            wait: TimeSpan,
        },
        /// Read the newest whole snapshot.
        ReadSnapshot,
        /// Encode a snapshot and write it in pieces.
        WriteSnapshot {
            /// The ledger.
            ledger: Box<LedgerState>,
        },
        /// Send a command to a worker.
        CallWorker {
            /// The call, named by its answer.
            call: CallId,
            /// The worker.
            worker: WorkerName,
            /// IP number and port.
            address: String,
            /// The command.
            command: WorkerCommand,
            /// Longest time to an answer.
            timeout: TimeSpan,
        },
        /// Send a short request whose body the traffic thread holds.
        SendRequest {
            /// The exchange that holds the body.
            caller: CallerId,
            /// The request.
            request: RequestId,
            /// The attempt, from 1.
            attempt: u32,
            /// The endpoint.
            worker: WorkerName,
            /// IP number and port.
            address: String,
            /// The service.
            service: ServiceName,
            /// Longest time to an answer.
            timeout: TimeSpan,
        },
        /// Tell the endpoint that the answer is no longer wanted.
        CancelRequest {
            /// The request.
            request: RequestId,
            /// The attempt.
            attempt: u32,
            /// IP number and port.
            address: String,
        },
        /// Send a message to another daemon.
        SendPeer {
            /// The daemon.
            to: DaemonName,
            /// IP number and port of its peer interface.
            address: String,
            /// The message.
            message: PeerMessage,
        },
        /// Read changes of the VM list.
        FetchVms {
            /// The last version seen.
            since: u64,
        },
        /// Answer a caller.
        Reply {
            /// The exchange.
            caller: CallerId,
            /// The answer.
            reply: CallerAnswer,
        },
        /// Write a log line.
        LogLine {
            /// The target that writes it.
            target: LogTarget,
            /// How important it is.
            level: LogLevel,
            /// One short sentence.
            line: String,
        },
        /// Do something for the batch subsystem.
        Batch(BatchEffect),
        /// Add to a counter or set a gauge.
        UpdateMetric {
            /// The metric.
            metric: MetricName,
            /// The amount.
            amount: u64,
        },
        /// End the process.
        Exit,
    }
}

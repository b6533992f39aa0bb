//! Settings of a daemon.

use serde_with::serde_as;

use crate::config::KeyDigest;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::RegionName;
use crate::policy::PolicyKind;
use crate::units::ByteCount;
use crate::units::BytesText;
use crate::units::SpanText;
use crate::units::TimeSpan;

/// Settings of one daemon. Fields of `timing` and `limits` that a file leaves out keep their
/// defaults.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The daemon's name, unique among all daemons.
    pub daemon: DaemonName,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: DomainName,
    /// IP number and port for callers, operators and pushed reports of workers.
    pub caller_address: String,
    /// IP number and port for other daemons.
    pub peer_address: String,
    /// IP number and port of the platform's log.
    pub log_address: String,
    /// IP number and port of the platform's VM list.
    pub vms_address: String,
    /// IP number and port of a statsd server; no metrics are sent without it.
    #[serde(default)]
    pub statsd_address: Option<String>,
    /// SHA-256 of the operators' key.
    pub operator_key_sha256: KeyDigest,
    /// The policy that orders, places and reclaims.
    #[serde(default)]
    pub policy: PolicyKind,
    /// Spans of time.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Bounds of queues, tables and sizes.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Spans of time that the reducer works with.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingSettings {
    /// Length of a term from the moment before its renewal was sent.
    #[serde_as(as = "SpanText")]
    pub term: TimeSpan,
    /// Time between renewals of the term.
    #[serde_as(as = "SpanText")]
    pub term_renewal: TimeSpan,
    /// Allowance for clocks that run at different speeds, on terms and leases.
    #[serde_as(as = "SpanText")]
    pub clock_margin: TimeSpan,
    /// Extra wait of each further daemon before it claims a term, to avoid competing claims.
    #[serde_as(as = "SpanText")]
    pub claim_step: TimeSpan,
    /// Greatest age of a confirmed read of the log's tail at which a task may be started.
    #[serde_as(as = "SpanText")]
    pub freshness: TimeSpan,
    /// Longest wait of one read of the log.
    #[serde_as(as = "SpanText")]
    pub log_wait: TimeSpan,
    /// Wait before a failed read is tried again.
    #[serde_as(as = "SpanText")]
    pub log_retry: TimeSpan,
    /// Time between two appends of this daemon, for group commit.
    #[serde_as(as = "SpanText")]
    pub append_interval: TimeSpan,
    /// Time after which a caller is told that the outcome of its append is unknown.
    #[serde_as(as = "SpanText")]
    pub append_patience: TimeSpan,
    /// Life of a reservation on a worker.
    #[serde_as(as = "SpanText")]
    pub reservation: TimeSpan,
    /// Length of a worker's lease.
    #[serde_as(as = "SpanText")]
    pub lease: TimeSpan,
    /// Time between renewals of a worker's lease.
    #[serde_as(as = "SpanText")]
    pub lease_renewal: TimeSpan,
    /// Silence after which a worker is suspected and the rest of its gangs is stopped.
    #[serde_as(as = "SpanText")]
    pub suspicion: TimeSpan,
    /// Time a victim has to checkpoint before it is stopped.
    #[serde_as(as = "SpanText")]
    pub reclaim: TimeSpan,
    /// Longest time to an answer of a worker to a control command.
    #[serde_as(as = "SpanText")]
    pub call: TimeSpan,
    /// Time between heartbeats.
    #[serde_as(as = "SpanText")]
    pub heartbeat: TimeSpan,
    /// Silence after which a daemon no longer counts as live.
    #[serde_as(as = "SpanText")]
    pub daemon_silence: TimeSpan,
    /// Time between reads of the VM list.
    #[serde_as(as = "SpanText")]
    pub vm_poll: TimeSpan,
    /// Time between snapshots.
    #[serde_as(as = "SpanText")]
    pub snapshot: TimeSpan,
    /// Time that ended jobs and keys are kept.
    #[serde_as(as = "SpanText")]
    pub retention: TimeSpan,
    /// Time from a stop signal until the balancer has turned away.
    #[serde_as(as = "SpanText")]
    pub balancer_delay: TimeSpan,
    /// Longest drain at shutdown.
    #[serde_as(as = "SpanText")]
    pub drain: TimeSpan,
    /// Deadline of a short request that names none.
    #[serde_as(as = "SpanText")]
    pub request_deadline: TimeSpan,
    /// Longest time of one attempt of a short request.
    #[serde_as(as = "SpanText")]
    pub attempt: TimeSpan,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            term: TimeSpan::from_secs(6),
            term_renewal: TimeSpan::from_secs(2),
            clock_margin: TimeSpan(500),
            claim_step: TimeSpan(200),
            freshness: TimeSpan::from_secs(2),
            log_wait: TimeSpan::from_secs(1),
            log_retry: TimeSpan(500),
            append_interval: TimeSpan(50),
            append_patience: TimeSpan::from_secs(3),
            reservation: TimeSpan::from_secs(3),
            lease: TimeSpan::from_secs(45),
            lease_renewal: TimeSpan::from_secs(15),
            suspicion: TimeSpan::from_secs(10),
            reclaim: TimeSpan::from_secs(2),
            call: TimeSpan::from_secs(1),
            heartbeat: TimeSpan::from_secs(2),
            daemon_silence: TimeSpan::from_secs(6),
            vm_poll: TimeSpan::from_secs(5),
            snapshot: TimeSpan::from_secs(600),
            retention: TimeSpan::from_secs(86_400),
            balancer_delay: TimeSpan::from_secs(1),
            drain: TimeSpan::from_secs(30),
            request_deadline: TimeSpan::from_secs(10),
            attempt: TimeSpan::from_secs(5),
        }
    }
}

/// Bounds of queues, tables and sizes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Records that wait to be appended; beyond it new work is refused.
    pub outbox_records: u32,
    /// Records in one append.
    pub batch_records: u32,
    /// Records between snapshots.
    pub snapshot_records: u32,
    /// Size of one snapshot piece.
    #[serde_as(as = "BytesText")]
    pub snapshot_piece: ByteCount,
    /// Keys of requests that may not be repeated.
    pub request_keys: u32,
    /// Bytes of answers kept for keys; the oldest bodies go first.
    #[serde_as(as = "BytesText")]
    pub kept_answers: ByteCount,
    /// Size of one answer that is kept.
    #[serde_as(as = "BytesText")]
    pub kept_answer: ByteCount,
    /// Jobs that wait, over all teams.
    pub waiting_jobs: u32,
    /// Short requests open at this daemon.
    pub open_requests: u32,
    /// Short requests that wait for a slot at this daemon.
    pub queued_requests: u32,
    /// Size of a request's body.
    #[serde_as(as = "BytesText")]
    pub body: ByteCount,
    /// Size of a job's payload.
    #[serde_as(as = "BytesText")]
    pub payload: ByteCount,
    /// Length of a key or name in bytes.
    pub name_bytes: u32,
    /// Members of a gang.
    pub gang_members: u32,
    /// Slots of each worker that jobs leave to short requests.
    pub request_slots: u32,
    /// Retries as a share of first attempts, in percent.
    pub retry_percent: u32,
    /// Attempts of a repeatable job that may fail before the job ends as failed.
    pub job_failures: u32,
    /// Moves of running work an hour to repair fragmentation.
    pub moves_per_hour: u32,
    /// Placements a second while capacity returns.
    pub starts_per_second: u32,
    /// Callers that wait for an answer of the control thread.
    pub waiting_callers: u32,
    /// Threads that take callers' connections.
    pub caller_threads: u32,
    /// Threads that call workers and endpoints.
    pub call_threads: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            outbox_records: 4_096,
            batch_records: 256,
            snapshot_records: 5_000,
            snapshot_piece: ByteCount(32 << 10),
            request_keys: 100_000,
            kept_answers: ByteCount(16 << 20),
            kept_answer: ByteCount(2 << 10),
            waiting_jobs: 20_000,
            open_requests: 1_000,
            queued_requests: 500,
            body: ByteCount(1 << 20),
            payload: ByteCount(16 << 10),
            name_bytes: 128,
            gang_members: 64,
            request_slots: 2,
            retry_percent: 10,
            job_failures: 3,
            moves_per_hour: 4,
            starts_per_second: 10,
            waiting_callers: 2_000,
            caller_threads: 64,
            call_threads: 32,
        }
    }
}

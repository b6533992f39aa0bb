//! Settings file of a daemon: data types, defaults and validation.

use std::net::SocketAddr;

use serde_json::Value;
use serde_with::serde_as;

use crate::batch::settings::BatchSettings;
use crate::config::KeyDigest;
use crate::document::FieldPath;
use crate::document::FileProblem;
use crate::document::JsonDocument;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::RegionName;
use crate::ids::check_name;
use crate::policy::PolicyKind;
use crate::units::ByteCount;
use crate::units::BytesText;
use crate::units::SpanText;
use crate::units::TimeSpan;
use crate::units::format_span;
use crate::units::parse_span;

/// Settings of one daemon. Omitted fields of `timing` and `limits` have their default values.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The daemon's name, unique among all daemons.
    pub daemon: DaemonName,
    /// The daemon's region.
    pub region: RegionName,
    /// The daemon's failure domain.
    pub domain: DomainName,
    /// IP address and port that serves callers, operators and pushed reports from workers.
    pub caller_address: String,
    /// IP address and port that serves other daemons.
    pub peer_address: String,
    /// IP address and port of the platform's log.
    pub log_address: String,
    /// IP address and port of the platform's VM list.
    pub vms_address: String,
    /// IP address and port of a statsd server. Without it, no metrics are sent.
    #[serde(default)]
    pub statsd_address: Option<String>,
    /// SHA-256 of the key that operators present.
    pub operator_key_sha256: KeyDigest,
    /// The algorithm that the planner uses to place jobs; `mustardpath` by default.
    #[serde(default)]
    pub policy: PolicyKind,
    /// Intervals and time-outs.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Limits on queues, tables and sizes.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Settings of the batch subsystem. Without them, the daemon runs its own log and workers.
    #[serde(default)]
    pub batch: Option<BatchSettings>,
}

/// Intervals and time-outs of the control state.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingSettings {
    /// Duration of the planner's term, counted from before its renewal was sent.
    #[serde_as(as = "SpanText")]
    pub term: TimeSpan,
    /// Interval between renewals of the term.
    #[serde_as(as = "SpanText")]
    pub term_renewal: TimeSpan,
    /// Safety margin on terms and leases for clocks that run at different rates.
    #[serde_as(as = "SpanText")]
    pub clock_margin: TimeSpan,
    /// Additional delay of each successive daemon before it claims a term. The delays avoid
    /// competing claims; zero disables them.
    #[serde_as(as = "SpanText")]
    pub claim_step: TimeSpan,
    /// Maximum age of the last read that reached the end of the log. Beyond it, no task is started.
    #[serde_as(as = "SpanText")]
    pub freshness: TimeSpan,
    /// How long one read of the log may block for new records.
    #[serde_as(as = "SpanText")]
    pub log_wait: TimeSpan,
    /// Delay before a failed read of the log is retried.
    #[serde_as(as = "SpanText")]
    pub log_retry: TimeSpan,
    /// Minimum interval between appends, for group commit.
    #[serde_as(as = "SpanText")]
    pub append_interval: TimeSpan,
    /// Time after which a caller gets an error because its append is not confirmed.
    #[serde_as(as = "SpanText")]
    pub append_timeout: TimeSpan,
    /// Time-to-live of a reservation on a worker.
    #[serde_as(as = "SpanText")]
    pub reservation: TimeSpan,
    /// Duration of a worker's lease.
    #[serde_as(as = "SpanText")]
    pub lease: TimeSpan,
    /// Interval between renewals of a worker's lease.
    #[serde_as(as = "SpanText")]
    pub lease_renewal: TimeSpan,
    /// Time without a response after which a worker is suspected and the remaining members of its
    /// gangs are stopped.
    #[serde_as(as = "SpanText")]
    pub suspicion: TimeSpan,
    /// Time in which a preempted task can write a checkpoint before it is stopped.
    #[serde_as(as = "SpanText")]
    pub reclaim: TimeSpan,
    /// Time limit for a worker's response to a control command.
    #[serde_as(as = "SpanText")]
    pub call: TimeSpan,
    /// Interval between heartbeats to other daemons.
    #[serde_as(as = "SpanText")]
    pub heartbeat: TimeSpan,
    /// Time without a heartbeat after which a daemon is no longer live.
    #[serde_as(as = "SpanText")]
    pub daemon_silence: TimeSpan,
    /// Interval between reads of the VM list.
    #[serde_as(as = "SpanText")]
    pub vm_poll: TimeSpan,
    /// Maximum interval between snapshots.
    #[serde_as(as = "SpanText")]
    pub snapshot: TimeSpan,
    /// Retention period of ended jobs and of idempotency keys. Accepted but not applied: the ledger
    /// uses a constant.
    #[serde_as(as = "SpanText")]
    pub retention: TimeSpan,
    /// Time from the shutdown signal until the load balancer has stopped sending callers; zero
    /// without a load balancer.
    #[serde_as(as = "SpanText")]
    pub balancer_delay: TimeSpan,
    /// Time limit for finishing open work at shutdown.
    #[serde_as(as = "SpanText")]
    pub drain: TimeSpan,
    /// Deadline of short requests that specify none.
    #[serde_as(as = "SpanText")]
    pub request_deadline: TimeSpan,
    /// Time limit of one attempt of a short request.
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
            log_wait: TimeSpan(500),
            log_retry: TimeSpan(500),
            append_interval: TimeSpan(50),
            append_timeout: TimeSpan::from_secs(3),
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

/// Limits on queues, tables and sizes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum number of records that wait for append. New work is refused beyond it.
    pub outbox_records: u32,
    /// Maximum number of records in one append.
    pub batch_records: u32,
    /// Maximum number of records between snapshots.
    pub snapshot_records: u32,
    /// Maximum size of one piece of a snapshot.
    #[serde_as(as = "BytesText")]
    pub snapshot_piece: ByteCount,
    /// Maximum number of idempotency keys of requests that are not repeatable. Accepted but not
    /// applied.
    pub request_keys: u32,
    /// Maximum total size of response bodies stored for keys. Accepted but not applied: the ledger
    /// uses a constant.
    #[serde_as(as = "BytesText")]
    pub kept_answers: ByteCount,
    /// Maximum size of one stored response body.
    #[serde_as(as = "BytesText")]
    pub kept_answer: ByteCount,
    /// Maximum number of waiting jobs of all teams.
    pub waiting_jobs: u32,
    /// Maximum number of open short requests at this daemon.
    pub open_requests: u32,
    /// Maximum number of short requests that wait for a slot at this daemon.
    pub queued_requests: u32,
    /// Maximum size of a request body.
    #[serde_as(as = "BytesText")]
    pub body: ByteCount,
    /// Maximum size of a job's payload.
    #[serde_as(as = "BytesText")]
    pub payload: ByteCount,
    /// Maximum length of a key or name in bytes.
    pub name_bytes: u32,
    /// Maximum number of members of a gang.
    pub gang_members: u32,
    /// Slots of each worker that are reserved for short requests; zero reserves none.
    pub request_slots: u32,
    /// Retry budget of short requests, in percent of first attempts; zero disables retries.
    pub retry_percent: u32,
    /// Number of failed attempts after which a repeatable job ends as failed. Accepted but not
    /// applied: the ledger uses a constant, because all daemons must apply the same rule.
    pub job_failures: u32,
    /// Maximum relocations of running work per hour for defragmentation; zero disables them.
    pub moves_per_hour: u32,
    /// Maximum placements per second while capacity is returning. Accepted but not applied.
    pub starts_per_second: u32,
    /// Maximum number of callers that wait for a response of the control thread.
    pub waiting_callers: u32,
    /// Threads that serve connections of callers.
    pub caller_threads: u32,
    /// Threads that execute calls to workers and endpoints.
    pub call_threads: u32,
    /// Memory of the VM. A part of it is the budget for connections of clients.
    #[serde_as(as = "BytesText")]
    pub memory: ByteCount,
    /// Maximum number of open descriptors of the process.
    pub descriptors: u32,
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
            memory: ByteCount(512 << 20),
            descriptors: 10_240,
        }
    }
}

/// Fields in which zero disables a feature. Zero is invalid in all other fields.
const ZERO_ALLOWED: [&str; 5] = [
    "balancer_delay",
    "claim_step",
    "moves_per_hour",
    "request_slots",
    "retry_percent",
];

/// Pairs of spans in `timing` whose first must be less than the second, with the reason.
const ORDERED_SPANS: [(&str, &str, &str); 6] = [
    (
        "term_renewal",
        "term",
        "the term would end between renewals",
    ),
    ("clock_margin", "term", "the term would have no time left"),
    (
        "lease_renewal",
        "lease",
        "leases would end between renewals",
    ),
    (
        "suspicion",
        "lease",
        "a lease would end before its worker is suspected",
    ),
    (
        "heartbeat",
        "daemon_silence",
        "daemons would not count as live between heartbeats",
    ),
    (
        "call",
        "reservation",
        "reservations would expire before the worker responds",
    ),
];

/// Largest supported gang. The sizes of log records and plans are designed for it.
const MAX_GANG_MEMBERS: u32 = 64;

/// Smallest supported memory in bytes. The daemon itself takes about 15 MB.
const MIN_MEMORY: u64 = 32_000_000;

/// Smallest supported number of descriptors. Half of them are left to files, workers and the store.
const MIN_DESCRIPTORS: u32 = 128;

/// Parses and validates the settings of a daemon from JSON with comments.
///
/// # Errors
///
/// Returns all problems, ordered by position.
pub fn parse(name: &str, text: &str) -> Result<DaemonSettings, Vec<FileProblem>> {
    let mut document = JsonDocument::parse(name, text).map_err(|problem| vec![problem])?;
    let settings = document.deserialize::<DaemonSettings>(&template());
    if let Some(settings) = &settings {
        check_names(&mut document, settings);
        check_addresses(&mut document, settings);
        check_nonzero(&mut document, settings);
        check_span_order(&mut document, settings);
        check_freshness(&mut document, settings);
        check_ranges(&mut document, settings);
        check_machine(&mut document, settings);
    }
    let problems = document.into_problems();
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(problems),
    }
}

/// Returns valid settings that supply substitutes for invalid fields.
fn template() -> Value {
    serde_json::json!({
        "daemon": "daemon",
        "region": "region",
        "domain": "domain",
        "caller_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "log_address": "127.0.0.1:3",
        "vms_address": "127.0.0.1:4",
        "statsd_address": "127.0.0.1:5",
        "operator_key_sha256": KeyDigest::of(""),
        "policy": PolicyKind::default(),
        "timing": TimingSettings::default(),
        "limits": LimitSettings::default(),
        "batch": Value::Null,
    })
}

fn check_names(document: &mut JsonDocument<'_>, settings: &DaemonSettings) {
    let names = [
        ("daemon", settings.daemon.as_str()),
        ("region", settings.region.as_str()),
        ("domain", settings.domain.as_str()),
    ];
    for (field, name) in names {
        if let Err(message) = check_name(name) {
            document.report(&FieldPath::default().key(field), message);
        }
    }
    if !settings.operator_key_sha256.is_well_formed() {
        let path = FieldPath::default().key("operator_key_sha256");
        document.report(&path, KeyDigest::FORM);
    }
}

fn check_addresses(document: &mut JsonDocument<'_>, settings: &DaemonSettings) {
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    for (field, text) in addresses(settings) {
        let path = FieldPath::default().key(field);
        if document.is_reported(&path) {
            continue;
        }
        let Ok(address) = text.parse::<SocketAddr>() else {
            let message =
                format!("{text:?} is not an IP address and port such as \"10.0.0.7:4100\"");
            document.report(&path, message);
            continue;
        };
        let is_listener = ["caller_address", "peer_address", "ready_address"].contains(&field);
        if address.port() == 0 && !is_listener {
            document.report(&path, "port 0 cannot be connected to");
        } else if let Some((other, _)) = seen.iter().find(|(_, known)| *known == address) {
            document.report(
                &path,
                format!("{address} is the address of {other} as well"),
            );
        } else if address.port() != 0 {
            seen.push((field, address));
        }
    }
}

fn addresses(settings: &DaemonSettings) -> Vec<(&'static str, &str)> {
    let mut addresses = vec![
        ("caller_address", settings.caller_address.as_str()),
        ("peer_address", settings.peer_address.as_str()),
        ("log_address", settings.log_address.as_str()),
        ("vms_address", settings.vms_address.as_str()),
    ];
    if let Some(address) = &settings.statsd_address {
        addresses.push(("statsd_address", address));
    }
    if let Some(batch) = &settings.batch {
        addresses.push(("ready_address", &batch.ready_address));
    }
    addresses
}

fn check_nonzero(document: &mut JsonDocument<'_>, settings: &DaemonSettings) {
    let sections = [
        ("timing", serde_json::to_value(&settings.timing)),
        ("limits", serde_json::to_value(&settings.limits)),
    ];
    for (section, value) in sections {
        let Ok(Value::Object(fields)) = value else {
            continue;
        };
        for (field, value) in &fields {
            if is_zero(value) && !ZERO_ALLOWED.contains(&field.as_str()) {
                let path = FieldPath::default().key(section).key(field);
                document.report(&path, "must not be zero");
            }
        }
    }
}

fn is_zero(value: &Value) -> bool {
    value == 0 || value.as_str().is_some_and(|text| text.starts_with("0 "))
}

fn check_span_order(document: &mut JsonDocument<'_>, settings: &DaemonSettings) {
    let Ok(timing) = serde_json::to_value(&settings.timing) else {
        return;
    };
    let span = |field: &str| {
        let text = timing[field].as_str().unwrap_or_default();
        parse_span(text).unwrap_or_default()
    };
    for (shorter, longer, reason) in ORDERED_SPANS {
        let path = FieldPath::default().key("timing").key(shorter);
        let other = FieldPath::default().key("timing").key(longer);
        let is_reported = document.is_reported(&path) || document.is_reported(&other);
        if !is_reported && span(shorter) >= span(longer) {
            let (value, bound) = (format_span(span(shorter)), format_span(span(longer)));
            document.report(
                &path,
                format!("{value} is not below {longer} ({bound}): {reason}"),
            );
        }
    }
}

/// Checks that an idle log does not count as unreachable.
///
/// A read without new records returns after `log_wait`, and the read before it was sent one
/// `log_wait` earlier. The last confirmed read of an idle log is therefore up to two waits and the
/// round trips old. The limit of a third leaves one `log_wait` for the round trips.
fn check_freshness(document: &mut JsonDocument<'_>, settings: &DaemonSettings) {
    let timing = &settings.timing;
    let path = FieldPath::default().key("timing").key("log_wait");
    let bound = FieldPath::default().key("timing").key("freshness");
    let is_reported = document.is_reported(&path) || document.is_reported(&bound);
    if !is_reported && timing.log_wait.0 * 3 > timing.freshness.0 {
        let (wait, bound) = (format_span(timing.log_wait), format_span(timing.freshness));
        let message = format!(
            "{wait} is above a third of freshness ({bound}): an idle log would count as unreachable"
        );
        document.report(&path, message);
    }
}

fn check_ranges(document: &mut JsonDocument<'_>, settings: &DaemonSettings) {
    let limits = &settings.limits;
    let path = FieldPath::default().key("limits");
    if limits.gang_members > MAX_GANG_MEMBERS {
        let message = format!("{} is above {MAX_GANG_MEMBERS}", limits.gang_members);
        document.report(&path.key("gang_members"), message);
    }
    if limits.retry_percent > 100 {
        let message = format!("{} is above 100", limits.retry_percent);
        document.report(&path.key("retry_percent"), message);
    }
    if limits.batch_records > limits.outbox_records {
        let message = format!(
            "{} is above outbox_records ({}): a batch could never fill",
            limits.batch_records, limits.outbox_records
        );
        document.report(&path.key("batch_records"), message);
    }
}

/// Checks that the machine is large enough for the daemon itself and some connections of clients.
fn check_machine(document: &mut JsonDocument<'_>, settings: &DaemonSettings) {
    let limits = &settings.limits;
    let mut machines = vec![("limits", limits.memory.0, limits.descriptors, 1)];
    if let Some(batch) = &settings.batch {
        let memory = u64::from(batch.memory) * 1_000;
        machines.push(("batch", memory, batch.descriptors, batch.link));
    }
    for (section, memory, descriptors, link) in machines {
        let path = FieldPath::default().key(section);
        if memory < MIN_MEMORY {
            let message = format!("{memory} bytes are below {MIN_MEMORY}");
            document.report(&path.key("memory"), message);
        }
        if descriptors < MIN_DESCRIPTORS {
            let message = format!("{descriptors} is below {MIN_DESCRIPTORS}");
            document.report(&path.key("descriptors"), message);
        }
        if link == 0 {
            document.report(&path.key("link"), "must not be zero");
        }
    }
}

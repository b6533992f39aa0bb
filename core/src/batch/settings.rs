//! Settings of the batch subsystem and their defaults.

use std::time::Duration;

use serde_with::DurationSecondsWithFrac;
use serde_with::serde_as;

use crate::units::SpanText;
use crate::units::ThousandthsNumber;
use crate::units::TimeSpan;

/// Settings of the batch subsystem: addresses, and time limits set by the platform.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchSettings {
    /// IP number and port of the endpoint for the platform's readiness probe.
    pub ready_address: String,
    /// IP number and port of the metrics endpoint; absent to disable it.
    #[serde(default)]
    pub metrics_address: Option<String>,
    /// Maximum lease that a worker grants.
    #[serde(default = "max_lease")]
    #[serde_as(as = "SpanText")]
    pub max_lease: TimeSpan,
    /// Time in which a revoked key must stop working at every daemon.
    #[serde(default = "revocation")]
    #[serde_as(as = "SpanText")]
    pub revocation: TimeSpan,
    /// Time in which a new configuration must apply at every daemon.
    #[serde(default = "config_apply")]
    #[serde_as(as = "SpanText")]
    pub config_apply: TimeSpan,
    /// Time in which all tasks of an urgent job's first step must have started.
    #[serde(default = "reclaim")]
    #[serde_as(as = "SpanText")]
    pub reclaim: TimeSpan,
    /// Time for which callers may read the phase of an ended job.
    #[serde(default = "job_status")]
    #[serde_as(as = "SpanText")]
    pub job_status: TimeSpan,
    /// Grace period in seconds between the platform's two stop signals.
    #[serde(default = "grace")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace: Duration,
    /// Processor time available to the daemon, in thousandths of a core.
    #[serde(default = "cpu_share")]
    #[serde_as(as = "ThousandthsNumber")]
    pub cpu_share: u32,
    /// Memory of the VM in kB, given in MB. A part of it is the budget for connections of clients.
    #[serde(default = "memory")]
    #[serde_as(as = "ThousandthsNumber")]
    pub memory: u32,
    /// Maximum number of open descriptors of the process.
    #[serde(default = "descriptors")]
    pub descriptors: u32,
    /// Bandwidth of the VM's link in kbit/s, given in Mbit/s.
    #[serde(default = "link")]
    #[serde_as(as = "ThousandthsNumber")]
    pub link: u32,
}

const fn max_lease() -> TimeSpan {
    TimeSpan(6_000)
}

const fn revocation() -> TimeSpan {
    TimeSpan(5_000)
}

const fn config_apply() -> TimeSpan {
    TimeSpan(2_500)
}

const fn reclaim() -> TimeSpan {
    TimeSpan(2_700)
}

const fn job_status() -> TimeSpan {
    TimeSpan(120_000)
}

const fn grace() -> Duration {
    Duration::from_secs(6)
}

const fn cpu_share() -> u32 {
    1_000
}

const fn memory() -> u32 {
    512_000
}

const fn descriptors() -> u32 {
    10_240
}

const fn link() -> u32 {
    1_000_000
}

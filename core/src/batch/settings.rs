//! Settings of the batch subsystem.

use std::time::Duration;

use serde_with::DurationSecondsWithFrac;
use serde_with::serde_as;

use crate::units::SpanText;
use crate::units::ThousandthsNumber;
use crate::units::TimeSpan;

/// Settings of the batch subsystem: addresses, and bounds that the platform names.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchSettings {
    /// IP number and port for the platform's question whether the daemon takes callers.
    pub ready_address: String,
    /// IP number and port of the metrics page, if there is one.
    #[serde(default)]
    pub metrics_address: Option<String>,
    /// Longest lease that a worker grants.
    #[serde(default = "max_lease")]
    #[serde_as(as = "SpanText")]
    pub max_lease: TimeSpan,
    /// Time in which a key that was taken away must stop working.
    #[serde(default = "revocation")]
    #[serde_as(as = "SpanText")]
    pub revocation: TimeSpan,
    /// Time in which a configuration must be in force.
    #[serde(default = "config_apply")]
    #[serde_as(as = "SpanText")]
    pub config_apply: TimeSpan,
    /// Time in which all tasks of an urgent first step must have begun.
    #[serde(default = "reclaim")]
    #[serde_as(as = "SpanText")]
    pub reclaim: TimeSpan,
    /// Time for which callers may ask for the state of a job that has ended.
    #[serde(default = "job_status")]
    #[serde_as(as = "SpanText")]
    pub job_status: TimeSpan,
    /// Time in seconds that the platform leaves a process between the two stop signals.
    #[serde(default = "grace")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace: Duration,
    /// The part of a core that the daemon may use, in thousandths.
    #[serde(default = "cpu_share")]
    #[serde_as(as = "ThousandthsNumber")]
    pub cpu_share: u32,
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

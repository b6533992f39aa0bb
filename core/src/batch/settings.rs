//! Settings of the batch subsystem.

use serde_with::serde_as;

use crate::units::SpanText;
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
    #[serde_as(as = "SpanText")]
    pub max_lease: TimeSpan,
    /// Time after which a run whose gang is not complete ends by itself.
    #[serde_as(as = "SpanText")]
    pub gang_timeout: TimeSpan,
    /// Time in which a key that was taken away must stop working.
    #[serde_as(as = "SpanText")]
    pub revocation: TimeSpan,
    /// Time in which all tasks of an urgent first step must have begun.
    #[serde_as(as = "SpanText")]
    pub reclaim: TimeSpan,
    /// Factor on the run time of a task that runs away from its data.
    pub remote_factor: u64,
    /// Time that the platform leaves a process between the two stop signals.
    #[serde_as(as = "SpanText")]
    pub grace: TimeSpan,
}

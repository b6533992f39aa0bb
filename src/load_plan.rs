//! Scenarios of the load generator and the deployment that they run on.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::deployment::DeploymentPlan;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::TeamFile;

/// Team of the callers.
pub const TEAM: &str = "quay";

/// What is switched on in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadScenario {
    /// Nothing.
    None,
    /// Nothing; requests through the daemons alternate with direct calls to an endpoint.
    Direct,
    /// One endpoint refuses connections.
    EndpointKilled,
    /// One endpoint does not answer.
    EndpointPaused,
    /// One endpoint answers everything with status 500.
    EndpointFailing,
    /// One endpoint takes 10 times as long.
    EndpointSlow,
    /// Open connections to half of the endpoints are silent.
    SilentConnections,
    /// Requests between regions are lost, and so is the log for the far region's daemon.
    RegionCut,
    /// One daemon is stopped by a graceful shutdown.
    DaemonStopped,
    /// One daemon ends at once.
    DaemonKilled,
    /// Ten times as many requests arrive.
    Burst,
    /// All daemons are replaced one after the other.
    RollingReplacement,
}

/// Names of scenarios, in the order of the enum.
pub const SCENARIOS: [(&str, LoadScenario); 12] = [
    ("none", LoadScenario::None),
    ("direct", LoadScenario::Direct),
    ("endpoint-killed", LoadScenario::EndpointKilled),
    ("endpoint-paused", LoadScenario::EndpointPaused),
    ("endpoint-failing", LoadScenario::EndpointFailing),
    ("endpoint-slow", LoadScenario::EndpointSlow),
    ("silent-connections", LoadScenario::SilentConnections),
    ("region-cut", LoadScenario::RegionCut),
    ("daemon-stopped", LoadScenario::DaemonStopped),
    ("daemon-killed", LoadScenario::DaemonKilled),
    ("burst", LoadScenario::Burst),
    ("rolling-replacement", LoadScenario::RollingReplacement),
];

impl FromStr for LoadScenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = SCENARIOS.iter().find(|(name, _)| *name == text);
        found
            .map(|(_, scenario)| *scenario)
            .ok_or_else(|| format!("{text:?} is not a scenario; --list prints them"))
    }
}

impl fmt::Display for LoadScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = SCENARIOS.iter().find(|(_, scenario)| scenario == self);
        formatter.write_str(found.map_or("unknown", |(name, _)| name))
    }
}

/// What the load generator sends.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// What is switched on.
    pub scenario: LoadScenario,
    /// Seed of arrivals and of the choice among services.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// Length of each of the three phases.
    pub phase_duration: Duration,
    /// Time that an endpoint works on a request, in milliseconds.
    pub run_ms: u64,
}

/// Service of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LoadClass {
    /// Repeatable, through a daemon.
    Check,
    /// At most once, through a daemon.
    Book,
    /// Straight to an endpoint.
    Direct,
}

impl LoadClass {
    /// Returns the service's name, which is the name of the class in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Check => "check",
            Self::Book => "book",
            Self::Direct => "direct",
        }
    }
}

/// Returns the team's file.
///
/// # Errors
///
/// Returns the reason when the file does not have the form.
pub fn team_file(key: &str) -> Result<TeamFile, serde_json::Error> {
    serde_json::from_value(serde_json::json!({
        "team": TEAM,
        "key_sha256": KeyDigest::of(key),
        "limits": { "concurrency": 600, "rate_per_second": 30_000 },
        "services": {
            "check": { "work": "request", "repeatable": true, "run_time": "100 ms" },
            "book": { "work": "request", "run_time": "100 ms" },
        },
    }))
}

/// Returns three daemons and twelve workers in three failure domains of two regions.
///
/// # Errors
///
/// Returns the reason when the plan does not have the form.
pub fn deployment() -> Result<DeploymentPlan, serde_json::Error> {
    serde_json::from_value(serde_json::json!({
        "deployment": "load",
        "domains": [
            { "domain": "sg-a", "region": "south", "racks": [4] },
            { "domain": "ct-a", "region": "south", "racks": [4] },
            { "domain": "hn-a", "region": "north", "racks": [4] },
        ],
        "capacity": { "slots": 8, "accelerators": 8, "cores": 64, "memory_mib": 262_144 },
        "connections": 64,
        "daemons": [
            { "daemon": "d-sg", "region": "south", "domain": "sg-a" },
            { "daemon": "d-ct", "region": "south", "domain": "ct-a" },
            { "daemon": "d-hn", "region": "north", "domain": "hn-a" },
        ],
        "list_lag": "100 ms",
        "take_out": "ct-a",
        "stop": "d-ct",
        "mix": [],
    }))
}

//! Scenarios of the load generator and the deployment on which they run.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::deployment::DeploymentPlan;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::TeamFile;

/// Team that all requests belong to.
pub const TEAM: &str = "quay";

/// Fault or load change in the second of the three phases of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadScenario {
    /// No fault.
    None,
    /// No fault. Requests through the daemons alternate with direct calls to endpoints, which gives
    /// the latency that the daemons add.
    Direct,
    /// One endpoint refuses connections.
    EndpointKilled,
    /// One endpoint does not respond to requests.
    EndpointPaused,
    /// One endpoint responds to every request with status 500.
    EndpointFailing,
    /// One endpoint takes 10 times as long for each request.
    EndpointSlow,
    /// Open connections to half of the endpoints stop forwarding; new connections work.
    SilentConnections,
    /// Requests between regions are lost, and the daemon of the remote region cannot reach the log.
    RegionCut,
    /// One daemon shuts down gracefully.
    DaemonStopped,
    /// One daemon stops without a drain.
    DaemonKilled,
    /// The request rate is 10 times as high.
    Burst,
    /// All daemons are replaced, one after the other.
    RollingReplacement,
}

/// Scenarios with their names on the command line, in the order of the enum.
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
            .ok_or_else(|| format!("unknown scenario {text:?}; --list prints all scenarios"))
    }
}

impl fmt::Display for LoadScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = SCENARIOS.iter().find(|(_, scenario)| scenario == self);
        formatter.write_str(found.map_or("unknown", |(name, _)| name))
    }
}

/// Parameters of one load run.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Fault or load change of the second phase.
    pub scenario: LoadScenario,
    /// Seed of the arrival times and of the choice of services.
    pub seed: u64,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Length of each of the three phases.
    pub phase_duration: Duration,
    /// Processing time of a request at its endpoint, in milliseconds.
    pub run_ms: u64,
}

/// Kind of request, by service and route. Each kind has its own latency figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LoadClass {
    /// A repeatable request through a daemon.
    Check,
    /// A request that runs at most once, through a daemon.
    Book,
    /// A request sent directly to an endpoint.
    Direct,
}

impl LoadClass {
    /// Returns the name in reports. For requests through a daemon it is also the service name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Check => "check",
            Self::Book => "book",
            Self::Direct => "direct",
        }
    }
}

/// Returns the team file with the digest of `key`.
///
/// # Errors
///
/// Returns an error when the built-in team file does not match the schema.
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

/// Returns a plan of three daemons and twelve workers in three failure domains of two regions.
///
/// # Errors
///
/// Returns an error when the built-in plan does not match the schema.
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

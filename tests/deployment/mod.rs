//! A small deployment in one process, for tests over sockets.

// Each test binary uses its own part of this module.
#![allow(dead_code)]

use std::slice;
use std::thread;
use std::time::Duration;

use mustardpath::deployment::DeploymentPlan;
use mustardpath::local_cluster;
use mustardpath::local_cluster::CallerClient;
use mustardpath::local_cluster::ClusterTuning;
use mustardpath::local_cluster::LocalCluster;
use mustardpath::settings_file;
use mustardpath::standin_platform::PlatformCall;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::TeamFile;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::checker::ViolationReport;

/// Timeout of one response. It only ends a test that would hang.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of attempts, 100 ms apart, while a part of the deployment is not ready. It only
/// ends a test that would hang.
const MAX_ATTEMPTS: u32 = 600;

const PLAN: &str = r#"{
    "deployment": "test",
    "domains": [
        { "domain": "one", "region": "north", "racks": [2] },
        { "domain": "two", "region": "north", "racks": [2] },
    ],
    "capacity": { "slots": 8, "accelerators": 8, "cores": 64, "memory_mib": 262144 },
    "connections": 64,
    "daemons": [
        { "daemon": "d1", "region": "north", "domain": "one" },
        { "daemon": "d2", "region": "north", "domain": "two" },
        { "daemon": "d3", "region": "north", "domain": "two" },
    ],
    "list_lag": "0 ms",
    "take_out": "one",
    "stop": "d2",
    "mix": [],
}"#;

const TEAM: &str = r#"{
    "team": "sand",
    "key_sha256": "",
    "services": {
        "analysis": {
            "work": "job", "repeatable": true, "preemptible": true, "members": 2,
            "demand": { "slots": 1, "accelerators": 2, "cores": 4, "memory_mib": 1024 },
            "run_time": "1 min",
        },
        "check": { "work": "request", "repeatable": true, "run_time": "100 ms" },
        "booking": { "work": "request", "run_time": "100 ms" },
    },
}"#;

/// A running deployment with one team.
pub struct TestDeployment {
    pub cluster: LocalCluster,
    pub key: String,
}

impl TestDeployment {
    pub fn start() -> Self {
        let plan: DeploymentPlan = settings_file::parse(PLAN).expect("plan");
        let mut tuning = ClusterTuning::default();
        tuning.timing.balancer_delay = TimeSpan(100);
        let cluster = LocalCluster::start(&plan, &tuning).expect("cluster");
        let key = local_cluster::random_key();
        let deployment = Self { cluster, key };
        deployment.publish();
        deployment
    }

    fn publish(&self) {
        let mut team: serde_json::Value = settings_file::parse(TEAM).expect("team");
        team["key_sha256"] = serde_json::to_value(KeyDigest::of(&self.key)).expect("key");
        let team: TeamFile = serde_json::from_value(team).expect("team file");
        let address = &self.cluster.caller_addresses()[0];
        let mut operator = self.cluster.operator(address);
        wait_for("the configuration is published", || {
            operator.publish(slice::from_ref(&team)).ok()
        });
    }

    /// Returns the invariant violations and the number of started tasks.
    pub fn outcome(&self) -> (ViolationReport, usize) {
        let (reply, replies) = crossbeam_channel::bounded(1);
        let call = PlatformCall::Outcome { reply };
        self.cluster.platform.send(call).expect("stand-ins");
        replies.recv().expect("report")
    }

    pub fn caller(&self, daemon: usize) -> CallerClient {
        let address = &self.cluster.caller_addresses()[daemon];
        CallerClient::new(address, &self.key).for_team("sand")
    }
}

/// Repeats a step until it returns a value.
pub fn wait_for<T>(what: &str, mut step: impl FnMut() -> Option<T>) -> T {
    for _ in 0..MAX_ATTEMPTS {
        if let Some(value) = step() {
            return value;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("{what}: not after {MAX_ATTEMPTS} attempts");
}

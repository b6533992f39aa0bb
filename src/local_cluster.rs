//! A complete deployment in one process: daemons and stand-ins that communicate over loopback.

use std::io;
use std::time::Duration;

use serde_json::Value;

use crate::daemon::RunningDaemon;
use crate::deployment;
use crate::deployment::DaemonPlan;
use crate::deployment::DeploymentPlan;
use crate::deployment::StandinAddresses;
use crate::http_client::CallError;
use crate::http_client::CallResponse;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::standin_platform::PlatformCall;
use crate::standin_platform::PlatformSender;
use crate::standin_platform::PlatformSwitch;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::TeamFile;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::settings::LimitSettings;
use mustardpath_core::settings::TimingSettings;
use mustardpath_core::worker::DaemonInfo;
use mustardpath_core::worker::VmState;

/// Maximum size of a response body that a caller accepts.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Timeout of an operator's command.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(35);

/// Stand-ins and daemons of a deployment that run in this process.
pub struct LocalCluster {
    /// Addresses on which the stand-ins listen.
    pub addresses: StandinAddresses,
    /// Channel for calls to the stand-ins.
    pub platform: PlatformSender,
    /// Running daemons.
    pub daemons: Vec<RunningDaemon>,
    operator_key: String,
}

/// Timing and limits for the settings of all daemons of a cluster.
#[derive(Clone, Debug, Default)]
pub struct ClusterTuning {
    /// Intervals, timeouts and lease times.
    pub timing: TimingSettings,
    /// Bounds on queues, tables and sizes.
    pub limits: LimitSettings,
}

impl LocalCluster {
    /// Starts the stand-ins and all daemons of the plan.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a socket or a thread cannot be created.
    pub fn start(plan: &DeploymentPlan, tuning: &ClusterTuning) -> io::Result<Self> {
        let (platform, addresses) = deployment::start_standins(plan)?;
        let mut cluster = Self {
            addresses,
            platform,
            daemons: Vec::new(),
            operator_key: random_key(),
        };
        for daemon in &plan.daemons {
            cluster.start_daemon(daemon, tuning)?;
        }
        Ok(cluster)
    }

    /// Starts one daemon and adds it to the VM list.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a socket or a thread cannot be created.
    pub fn start_daemon(&mut self, plan: &DaemonPlan, tuning: &ClusterTuning) -> io::Result<()> {
        let daemon = RunningDaemon::start(DaemonSettings {
            daemon: plan.daemon.clone(),
            region: plan.region.clone(),
            domain: plan.domain.clone(),
            caller_address: "127.0.0.1:0".into(),
            peer_address: "127.0.0.1:0".into(),
            log_address: self.addresses.log.to_string(),
            vms_address: self.addresses.vms.to_string(),
            statsd_address: None,
            operator_key_sha256: KeyDigest::of(&self.operator_key),
            policy: Default::default(),
            timing: tuning.timing.clone(),
            limits: tuning.limits.clone(),
            batch: None,
        })?;
        let info = DaemonInfo {
            daemon: plan.daemon.clone(),
            address: daemon.settings.peer_address.clone(),
            region: plan.region.clone(),
            domain: plan.domain.clone(),
            state: VmState::Live,
        };
        self.switch(PlatformSwitch::PutDaemon { info })?;
        self.daemons.push(daemon);
        Ok(())
    }

    /// Applies a switch to the stand-ins, for example a fault.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-ins have stopped.
    pub fn switch(&self, switch: PlatformSwitch) -> io::Result<()> {
        self.platform
            .send(PlatformCall::Switch(switch))
            .map_err(|_| io::Error::other("the stand-ins have stopped"))
    }

    /// Removes a daemon from the running daemons and returns it, so that the caller can shut it
    /// down. Returns `None` when no running daemon has this name.
    #[must_use]
    pub fn remove_daemon(&mut self, name: &DaemonName) -> Option<RunningDaemon> {
        let index = self
            .daemons
            .iter()
            .position(|daemon| daemon.settings.daemon == *name)?;
        Some(self.daemons.remove(index))
    }

    /// Returns the caller addresses of the running daemons.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<String> {
        self.daemons
            .iter()
            .map(|daemon| daemon.settings.caller_address.clone())
            .collect()
    }

    /// Returns a client with the operator's key for the daemon at `address`.
    #[must_use]
    pub fn operator(&self, address: &str) -> CallerClient {
        CallerClient::new(address, &self.operator_key)
    }
}

/// Returns a random API key. Team files hold only the digest of a key, so a local run creates its
/// own keys.
#[must_use]
pub fn random_key() -> String {
    format!("{:032x}", fastrand::u128(..))
}

/// HTTP client of a caller or an operator for one daemon.
pub struct CallerClient {
    address: String,
    headers: Vec<(&'static str, String)>,
    client: HttpClient,
}

impl CallerClient {
    /// Creates a client that authenticates with `key`.
    #[must_use]
    pub fn new(address: &str, key: &str) -> Self {
        Self {
            address: address.into(),
            headers: vec![("Authorization", format!("Bearer {key}"))],
            client: HttpClient::new(MAX_RESPONSE_BYTES),
        }
    }

    /// Sets the team header of all requests.
    #[must_use]
    pub fn for_team(mut self, team: &str) -> Self {
        self.headers.push(("Mustardpath-Team", team.to_string()));
        self
    }

    /// Returns the address of the daemon that receives the requests.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends later requests to another daemon.
    pub fn set_address(&mut self, address: &str) {
        self.address = address.into();
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been delivered.
    pub fn get(&mut self, path: &str, timeout: Duration) -> Result<CallResponse, CallError> {
        self.client.call(&HttpCall {
            address: &self.address,
            path,
            headers: &self.headers,
            body: None,
            timeout,
        })
    }

    /// Sends a POST request with additional headers.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been delivered.
    pub fn post(
        &mut self,
        path: &str,
        headers: &[(&'static str, String)],
        body: &[u8],
        timeout: Duration,
    ) -> Result<CallResponse, CallError> {
        let headers = [self.headers.as_slice(), headers].concat();
        self.client.call(&HttpCall {
            address: &self.address,
            path,
            headers: &headers,
            body: Some(body),
            timeout,
        })
    }

    /// Publishes team files on top of the current configuration version, and returns the new
    /// version.
    ///
    /// # Errors
    ///
    /// Returns the daemon's response when it does not report a new version.
    pub fn publish(&mut self, teams: &[TeamFile]) -> io::Result<ConfigVersion> {
        let base = match decode_response(self.get("/v1/config", OPERATOR_TIMEOUT))? {
            CallerAnswer::Config { version, .. } => version,
            other => return Err(io::Error::other(format!("unexpected response: {other:?}"))),
        };
        let body = serde_json::json!({ "base": base, "upsert": teams, "operator": "local" });
        let body = body.to_string();
        let response = self.post("/v1/config", &[], body.as_bytes(), OPERATOR_TIMEOUT);
        match decode_response(response)? {
            CallerAnswer::Published { version } => Ok(version),
            other => Err(io::Error::other(format!("unexpected response: {other:?}"))),
        }
    }

    /// Takes a failure domain out of service or brings it back.
    ///
    /// # Errors
    ///
    /// Returns the daemon's response when the change is refused.
    pub fn set_domain(&mut self, domain: &str, out: bool) -> io::Result<CallerAnswer> {
        let body = serde_json::json!({
            "domain": domain,
            "out": out,
            "operator": "local",
            "confirmed": true,
        });
        let body = body.to_string();
        decode_response(self.post("/v1/domains", &[], body.as_bytes(), OPERATOR_TIMEOUT))
    }

    /// Returns whether the daemon reports that it is ready for new work.
    pub fn is_ready(&mut self) -> bool {
        matches!(self.get("/ready", Duration::from_secs(2)), Ok(response) if response.status == 200)
    }
}

/// Decodes the body of a response with status 200.
///
/// # Errors
///
/// Returns the body of a response with another status, or the reason why there is no response.
pub fn decode_response(response: Result<CallResponse, CallError>) -> io::Result<CallerAnswer> {
    let response = response.map_err(|error| io::Error::other(format!("{error:?}")))?;
    if response.status != 200 {
        let text = String::from_utf8_lossy(&response.body).into_owned();
        return Err(io::Error::other(text));
    }
    serde_json::from_slice(&response.body).map_err(io::Error::other)
}

/// Returns a text field of a problem-details body, or `None` when the body has no such field.
#[must_use]
pub fn problem_field(response: &CallResponse, field: &str) -> Option<String> {
    let problem: Value = serde_json::from_slice(&response.body).ok()?;
    problem.get(field)?.as_str().map(String::from)
}

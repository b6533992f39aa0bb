//! Daemons and stand-ins of a load run, reached through fault-injection proxies.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::daemon::RunningDaemon;
use crate::deployment;
use crate::deployment::DaemonPlan;
use crate::deployment::DeploymentPlan;
use crate::deployment::StandinAddresses;
use crate::fault_proxy::FaultProxy;
use crate::fault_proxy::ProxyThread;
use crate::load_plan;
use crate::load_plan::LoadPlan;
use crate::load_plan::LoadScenario;
use crate::local_cluster;
use crate::local_cluster::CallerClient;
use crate::standin_platform::PlatformCall;
use crate::standin_platform::PlatformSender;
use crate::standin_platform::PlatformSwitch;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::RegionName;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::settings::TimingSettings;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::DaemonInfo;
use mustardpath_core::worker::VmState;
use mustardpath_standin::worker::WorkerFault;

/// Maximum time until all daemons are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of readiness checks, as a load balancer would use it.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Long-poll timeout of log reads. Two reads fit into the freshness bound of 2 s.
const LOG_READ_WAIT: TimeSpan = TimeSpan(500);

/// A daemon with the proxies for its callers and for its log connections.
struct ProxiedDaemon {
    plan: DaemonPlan,
    caller_proxy: FaultProxy,
    log_proxy: FaultProxy,
    running: Option<RunningDaemon>,
    is_ready: bool,
}

/// A running deployment of daemons and stand-ins in this process.
pub struct LoadCluster {
    /// Channel for calls to the stand-ins.
    pub platform: PlatformSender,
    /// API key of the callers' team.
    pub team_key: String,
    addresses: StandinAddresses,
    proxies: ProxyThread,
    workers: Vec<(WorkerName, FaultProxy)>,
    daemons: Mutex<Vec<ProxiedDaemon>>,
    operator_key: String,
    statsd_address: String,
}

impl LoadCluster {
    /// Starts the deployment, waits until all daemons are ready, and publishes the team file. The
    /// daemons send their metrics to `statsd_address`.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket or a thread cannot be created, when a daemon does not become
    /// ready in time, or when the team file is refused.
    pub fn start(statsd_address: String) -> io::Result<Arc<Self>> {
        let plan: DeploymentPlan = load_plan::deployment().map_err(io::Error::other)?;
        let proxies = ProxyThread::start()?;
        let mut workers = Vec::new();
        let (platform, addresses) =
            deployment::start_standins_behind_proxies(&plan, |info, address| {
                let proxy = proxies.open(address, Some(info.region.clone()))?;
                let address = proxy.address;
                workers.push((info.worker.clone(), proxy));
                Ok(address)
            })?;
        let cluster = Self {
            platform,
            team_key: local_cluster::random_key(),
            addresses,
            proxies,
            workers,
            daemons: Mutex::default(),
            operator_key: local_cluster::random_key(),
            statsd_address,
        };
        for daemon in &plan.daemons {
            cluster.start_daemon(daemon)?;
        }
        cluster.wait_ready()?;
        let file = load_plan::team_file(&cluster.team_key).map_err(io::Error::other)?;
        let address = cluster.caller_addresses().remove(0);
        let mut operator = CallerClient::new(&address, &cluster.operator_key);
        operator.publish(&[file])?;
        Ok(Arc::new(cluster))
    }

    fn daemons(&self) -> std::sync::MutexGuard<'_, Vec<ProxiedDaemon>> {
        self.daemons.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start_daemon(&self, plan: &DaemonPlan) -> io::Result<()> {
        let log_proxy = self.proxies.open(self.addresses.log, None)?;
        self.proxies.set_daemon_region(&plan.daemon, &plan.region);
        let timing = TimingSettings {
            log_wait: LOG_READ_WAIT,
            ..TimingSettings::default()
        };
        let daemon = RunningDaemon::start(DaemonSettings {
            daemon: plan.daemon.clone(),
            region: plan.region.clone(),
            domain: plan.domain.clone(),
            caller_address: "127.0.0.1:0".into(),
            peer_address: "127.0.0.1:0".into(),
            log_address: log_proxy.address.to_string(),
            vms_address: self.addresses.vms.to_string(),
            statsd_address: Some(self.statsd_address.clone()),
            operator_key_sha256: KeyDigest::of(&self.operator_key),
            policy: Default::default(),
            timing,
            limits: Default::default(),
            batch: None,
        })?;
        let target = daemon.settings.caller_address.parse();
        let caller_proxy = self.proxies.open(target.map_err(io::Error::other)?, None)?;
        let info = DaemonInfo {
            daemon: plan.daemon.clone(),
            address: daemon.settings.peer_address.clone(),
            region: plan.region.clone(),
            domain: plan.domain.clone(),
            state: VmState::Live,
        };
        self.switch(PlatformSwitch::PutDaemon { info })?;
        self.daemons().push(ProxiedDaemon {
            plan: plan.clone(),
            caller_proxy,
            log_proxy,
            running: Some(daemon),
            is_ready: false,
        });
        Ok(())
    }

    fn switch(&self, switch: PlatformSwitch) -> io::Result<()> {
        self.platform
            .send(PlatformCall::Switch(switch))
            .map_err(|_| io::Error::other("the stand-ins have stopped"))
    }

    fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            self.poll_readiness();
            if self.daemons().iter().all(|daemon| daemon.is_ready) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(io::Error::other(
                    "a daemon did not become ready before the startup timeout",
                ));
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
    }

    fn caller_addresses(&self) -> Vec<String> {
        let daemons = self.daemons();
        daemons
            .iter()
            .map(|daemon| daemon.caller_proxy.address.to_string())
            .collect()
    }

    /// Updates the readiness of each daemon.
    fn poll_readiness(&self) {
        for address in self.caller_addresses() {
            let is_ready = CallerClient::new(&address, &self.operator_key).is_ready();
            for daemon in self.daemons().iter_mut() {
                if daemon.caller_proxy.address.to_string() == address {
                    daemon.is_ready = is_ready;
                }
            }
        }
    }

    /// Starts a thread that checks the readiness of all daemons, as a load balancer does, until the
    /// cluster is dropped.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread cannot be started.
    pub fn spawn_readiness_poller(self: &Arc<Self>) -> io::Result<()> {
        let cluster = Arc::downgrade(self);
        thread::Builder::new()
            .name("balancer".into())
            .spawn(move || {
                while let Some(cluster) = cluster.upgrade() {
                    cluster.poll_readiness();
                    drop(cluster);
                    thread::sleep(READY_POLL_INTERVAL);
                }
            })?;
        Ok(())
    }

    /// Returns the address of a ready daemon, or of any daemon when none is ready. Consecutive
    /// values of `turn` select daemons round-robin. Returns `None` when there is no daemon.
    #[must_use]
    pub fn daemon_address(&self, turn: usize) -> Option<String> {
        let daemons = self.daemons();
        let ready: Vec<&ProxiedDaemon> = daemons.iter().filter(|daemon| daemon.is_ready).collect();
        let daemon = match ready.len() {
            0 => daemons.get(turn % daemons.len().max(1)),
            count => Some(ready[turn % count]),
        };
        daemon.map(|daemon| daemon.caller_proxy.address.to_string())
    }

    /// Returns the address of an endpoint. Consecutive values of `turn` select endpoints
    /// round-robin.
    #[must_use]
    pub fn endpoint_address(&self, turn: usize) -> String {
        self.workers[turn % self.workers.len()]
            .1
            .address
            .to_string()
    }

    /// Returns the number of bytes that crossed between regions.
    #[must_use]
    pub fn cross_region_bytes(&self) -> u64 {
        self.proxies.cross_region_bytes()
    }

    /// Returns the number of runs of each request key.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-ins have stopped.
    pub fn run_counts(&self) -> io::Result<HashMap<RequestKey, u32>> {
        let (reply, replies) = crossbeam_channel::bounded(1);
        let stopped_error = |_| io::Error::other("the stand-ins have stopped");
        self.platform
            .send(PlatformCall::RunCounts { reply })
            .map_err(|_| io::Error::other("the stand-ins have stopped"))?;
        replies.recv().map_err(stopped_error)
    }

    /// Injects the scenario's fault. Returns after the fault is complete, for example when all
    /// daemons have been replaced.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-ins have stopped, or when a daemon cannot be started or
    /// stopped.
    pub fn inject_fault(&self, plan: &LoadPlan) -> io::Result<()> {
        let fault = WorkerFault::default();
        match plan.scenario {
            LoadScenario::None | LoadScenario::Direct | LoadScenario::Burst => Ok(()),
            LoadScenario::EndpointKilled => {
                self.workers[0].1.change(|state| state.is_down = true);
                let dead = true;
                self.set_worker(0, WorkerFault { dead, ..fault })
            }
            LoadScenario::EndpointPaused => {
                let paused = true;
                self.set_worker(0, WorkerFault { paused, ..fault })
            }
            LoadScenario::EndpointFailing => {
                let fails_everything = true;
                self.set_worker(
                    0,
                    WorkerFault {
                        fails_everything,
                        ..fault
                    },
                )
            }
            LoadScenario::EndpointSlow => {
                let slow = TimeSpan(9 * plan.run_ms);
                self.set_worker(0, WorkerFault { slow, ..fault })
            }
            LoadScenario::SilentConnections => {
                for (_, proxy) in self.workers.iter().step_by(2) {
                    proxy.change(|state| state.epoch += 1);
                }
                Ok(())
            }
            LoadScenario::RegionCut => {
                self.set_region_partition(true);
                Ok(())
            }
            LoadScenario::DaemonStopped => self.stop_daemon(1),
            LoadScenario::DaemonKilled => self.kill_daemon(1),
            LoadScenario::RollingReplacement => self.replace_daemons(),
        }
    }

    /// Clears the scenario's fault. Stopped daemons are not started again.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-ins have stopped.
    pub fn clear_fault(&self, plan: &LoadPlan) -> io::Result<()> {
        match plan.scenario {
            LoadScenario::EndpointKilled
            | LoadScenario::EndpointPaused
            | LoadScenario::EndpointFailing
            | LoadScenario::EndpointSlow => {
                self.workers[0].1.change(|state| state.is_down = false);
                self.set_worker(0, WorkerFault::default())
            }
            LoadScenario::RegionCut => {
                self.set_region_partition(false);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn set_worker(&self, index: usize, fault: WorkerFault) -> io::Result<()> {
        let worker = self.workers[index].0.clone();
        self.switch(PlatformSwitch::Worker { worker, fault })
    }

    fn set_region_partition(&self, is_partitioned: bool) {
        for (_, proxy) in &self.workers {
            proxy.change(|state| state.is_partitioned = is_partitioned);
        }
        let remote_region = RegionName::from("north");
        for daemon in self
            .daemons()
            .iter()
            .filter(|daemon| daemon.plan.region == remote_region)
        {
            daemon
                .log_proxy
                .change(|state| state.is_down = is_partitioned);
        }
    }

    fn remove_daemon(&self, index: usize) -> io::Result<(DaemonName, FaultProxy, RunningDaemon)> {
        let mut daemons = self.daemons();
        let daemon = daemons
            .get_mut(index)
            .ok_or_else(|| io::Error::other("the deployment has no daemon with this index"))?;
        let running = daemon
            .running
            .take()
            .ok_or_else(|| io::Error::other("the daemon is already stopped"))?;
        Ok((
            daemon.plan.daemon.clone(),
            daemon.caller_proxy.clone(),
            running,
        ))
    }

    fn set_daemon_gone(&self, daemon: DaemonName) -> io::Result<()> {
        let state = VmState::Gone;
        self.switch(PlatformSwitch::ListDaemon { daemon, state })
    }

    fn stop_daemon(&self, index: usize) -> io::Result<()> {
        let (name, caller_proxy, running) = self.remove_daemon(index)?;
        running.stop_handle().drain();
        running.wait();
        caller_proxy.change(|state| state.is_down = true);
        self.daemons()
            .retain(|daemon| daemon.caller_proxy.address != caller_proxy.address);
        self.set_daemon_gone(name)
    }

    fn kill_daemon(&self, index: usize) -> io::Result<()> {
        let (name, caller_proxy, running) = self.remove_daemon(index)?;
        caller_proxy.change(|state| state.is_down = true);
        running.stop_handle().stop_now();
        self.set_daemon_gone(name)
    }

    fn replace_daemons(&self) -> io::Result<()> {
        let plans: Vec<DaemonPlan> = self
            .daemons()
            .iter()
            .map(|daemon| daemon.plan.clone())
            .collect();
        for mut plan in plans {
            plan.daemon = DaemonName::from(format!("{}-b", plan.daemon).as_str());
            self.start_daemon(&plan)?;
            self.wait_ready()?;
            eprintln!("load: {} is ready; draining its predecessor", plan.daemon);
            self.stop_daemon(0)?;
        }
        Ok(())
    }
}

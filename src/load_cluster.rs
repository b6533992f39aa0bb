//! Daemons and stand-ins of a load run, behind relays, and the faults switched on them.

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
use crate::fault_link::FaultLink;
use crate::fault_link::LinkThread;
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

/// Longest wait for a daemon to become ready.
const READY_TIME: Duration = Duration::from_secs(20);

/// Time between two looks at a daemon's readiness, as a balancer has it.
const READY_POLL: Duration = Duration::from_millis(200);

/// Read wait of the log. Two reads fit in the freshness of 2 s.
const LOG_WAIT: TimeSpan = TimeSpan(500);

/// A daemon behind its relay.
struct DaemonSlot {
    plan: DaemonPlan,
    front: FaultLink,
    log: FaultLink,
    running: Option<RunningDaemon>,
    ready: bool,
}

/// The running deployment.
pub struct LoadCluster {
    /// Takes calls to the stand-ins.
    pub platform: PlatformSender,
    /// Key of the callers' team.
    pub team_key: String,
    addresses: StandinAddresses,
    links: LinkThread,
    workers: Vec<(WorkerName, FaultLink)>,
    slots: Mutex<Vec<DaemonSlot>>,
    operator_key: String,
    metrics: String,
}

impl LoadCluster {
    /// Starts the deployment, puts the team's file in force and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or what does not become ready.
    pub fn start(metrics: String) -> io::Result<Arc<Self>> {
        let plan: DeploymentPlan = load_plan::deployment().map_err(io::Error::other)?;
        let links = LinkThread::start()?;
        let mut workers = Vec::new();
        let (platform, addresses) =
            deployment::start_standins_behind_relays(&plan, |info, address| {
                let link = links.open(address, Some(info.region.clone()))?;
                let address = link.address;
                workers.push((info.worker.clone(), link));
                Ok(address)
            })?;
        let cluster = Self {
            platform,
            team_key: local_cluster::random_key(),
            addresses,
            links,
            workers,
            slots: Mutex::default(),
            operator_key: local_cluster::random_key(),
            metrics,
        };
        for daemon in &plan.daemons {
            cluster.start_daemon(daemon)?;
        }
        cluster.wait_ready()?;
        let file = load_plan::team_file(&cluster.team_key).map_err(io::Error::other)?;
        let address = cluster.front_addresses().remove(0);
        let mut operator = CallerClient::new(&address, &cluster.operator_key);
        operator.publish(&[file])?;
        Ok(Arc::new(cluster))
    }

    fn slots(&self) -> std::sync::MutexGuard<'_, Vec<DaemonSlot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start_daemon(&self, plan: &DaemonPlan) -> io::Result<()> {
        let log = self.links.open(self.addresses.log, None)?;
        self.links.put_daemon(&plan.daemon, &plan.region);
        let timing = TimingSettings {
            log_wait: LOG_WAIT,
            ..TimingSettings::default()
        };
        let daemon = RunningDaemon::start(DaemonSettings {
            daemon: plan.daemon.clone(),
            region: plan.region.clone(),
            domain: plan.domain.clone(),
            caller_address: "127.0.0.1:0".into(),
            peer_address: "127.0.0.1:0".into(),
            log_address: log.address.to_string(),
            vms_address: self.addresses.vms.to_string(),
            statsd_address: Some(self.metrics.clone()),
            operator_key_sha256: KeyDigest::of(&self.operator_key),
            policy: Default::default(),
            timing,
            limits: Default::default(),
            batch: None,
        })?;
        let target = daemon.settings.caller_address.parse();
        let front = self.links.open(target.map_err(io::Error::other)?, None)?;
        let info = DaemonInfo {
            daemon: plan.daemon.clone(),
            address: daemon.settings.peer_address.clone(),
            region: plan.region.clone(),
            domain: plan.domain.clone(),
            state: VmState::Live,
        };
        self.switch(PlatformSwitch::PutDaemon { info })?;
        self.slots().push(DaemonSlot {
            plan: plan.clone(),
            front,
            log,
            running: Some(daemon),
            ready: false,
        });
        Ok(())
    }

    fn switch(&self, switch: PlatformSwitch) -> io::Result<()> {
        self.platform
            .send(PlatformCall::Switch(switch))
            .map_err(|_| io::Error::other("the stand-ins have ended"))
    }

    /// Waits until each running daemon is ready.
    fn wait_ready(&self) -> io::Result<()> {
        let limit = Instant::now() + READY_TIME;
        loop {
            self.look_at_readiness();
            if self.slots().iter().all(|slot| slot.ready) {
                return Ok(());
            }
            if Instant::now() > limit {
                return Err(io::Error::other("a daemon is not ready in time"));
            }
            thread::sleep(READY_POLL);
        }
    }

    fn front_addresses(&self) -> Vec<String> {
        let slots = self.slots();
        slots
            .iter()
            .map(|slot| slot.front.address.to_string())
            .collect()
    }

    /// Asks each daemon whether it is ready.
    fn look_at_readiness(&self) {
        for address in self.front_addresses() {
            let ready = CallerClient::new(&address, &self.operator_key).is_ready();
            for slot in self.slots().iter_mut() {
                if slot.front.address.to_string() == address {
                    slot.ready = ready;
                }
            }
        }
    }

    /// Keeps asking for readiness, as a balancer does, until the cluster is dropped.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread cannot be started.
    pub fn spawn_balancer(self: &Arc<Self>) -> io::Result<()> {
        let cluster = Arc::downgrade(self);
        thread::Builder::new()
            .name("balancer".into())
            .spawn(move || {
                while let Some(cluster) = cluster.upgrade() {
                    cluster.look_at_readiness();
                    drop(cluster);
                    thread::sleep(READY_POLL);
                }
            })?;
        Ok(())
    }

    /// Returns the address of a ready daemon, in turn, or of any when none is ready.
    #[must_use]
    pub fn pick(&self, turn: usize) -> Option<String> {
        let slots = self.slots();
        let ready: Vec<&DaemonSlot> = slots.iter().filter(|slot| slot.ready).collect();
        let slot = match ready.len() {
            0 => slots.get(turn % slots.len().max(1)),
            count => Some(ready[turn % count]),
        };
        slot.map(|slot| slot.front.address.to_string())
    }

    /// Returns the address of an endpoint, in turn.
    #[must_use]
    pub fn endpoint(&self, turn: usize) -> String {
        self.workers[turn % self.workers.len()]
            .1
            .address
            .to_string()
    }

    /// Returns the bytes that crossed between regions.
    #[must_use]
    pub fn crossed_bytes(&self) -> u64 {
        self.links.crossed_bytes()
    }

    /// Returns how often requests with each key have run.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-ins have ended.
    pub fn runs(&self) -> io::Result<HashMap<RequestKey, u32>> {
        let (reply, replies) = crossbeam_channel::bounded(1);
        let gone = |_| io::Error::other("the stand-ins have ended");
        self.platform
            .send(PlatformCall::RunCounts { reply })
            .map_err(|_| io::Error::other("the stand-ins have ended"))?;
        replies.recv().map_err(gone)
    }

    /// Switches the scenario's fault on.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the fault cannot be set.
    pub fn fault_on(&self, plan: &LoadPlan) -> io::Result<()> {
        let fault = WorkerFault::default();
        match plan.scenario {
            LoadScenario::None | LoadScenario::Direct | LoadScenario::Burst => Ok(()),
            LoadScenario::EndpointKilled => {
                self.workers[0].1.change(|state| state.down = true);
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
                for (_, link) in self.workers.iter().step_by(2) {
                    link.change(|state| state.epoch += 1);
                }
                Ok(())
            }
            LoadScenario::RegionCut => {
                self.cut_region(true);
                Ok(())
            }
            LoadScenario::DaemonStopped => self.stop_daemon(1),
            LoadScenario::DaemonKilled => self.kill_daemon(1),
            LoadScenario::RollingReplacement => self.replace_all(),
        }
    }

    /// Switches the scenario's fault off. Daemons that were stopped stay away.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the fault cannot be taken back.
    pub fn fault_off(&self, plan: &LoadPlan) -> io::Result<()> {
        match plan.scenario {
            LoadScenario::EndpointKilled
            | LoadScenario::EndpointPaused
            | LoadScenario::EndpointFailing
            | LoadScenario::EndpointSlow => {
                self.workers[0].1.change(|state| state.down = false);
                self.set_worker(0, WorkerFault::default())
            }
            LoadScenario::RegionCut => {
                self.cut_region(false);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn set_worker(&self, index: usize, fault: WorkerFault) -> io::Result<()> {
        let worker = self.workers[index].0.clone();
        self.switch(PlatformSwitch::Worker { worker, fault })
    }

    fn cut_region(&self, cut: bool) {
        for (_, link) in &self.workers {
            link.change(|state| state.cut = cut);
        }
        let far = RegionName::from("north");
        for slot in self.slots().iter().filter(|slot| slot.plan.region == far) {
            slot.log.change(|state| state.down = cut);
        }
    }

    fn take_daemon(&self, index: usize) -> io::Result<(DaemonName, FaultLink, RunningDaemon)> {
        let mut slots = self.slots();
        let slot = slots
            .get_mut(index)
            .ok_or_else(|| io::Error::other("no such daemon"))?;
        let running = slot
            .running
            .take()
            .ok_or_else(|| io::Error::other("the daemon was stopped before"))?;
        Ok((slot.plan.daemon.clone(), slot.front.clone(), running))
    }

    fn list_gone(&self, daemon: DaemonName) -> io::Result<()> {
        let state = VmState::Gone;
        self.switch(PlatformSwitch::ListDaemon { daemon, state })
    }

    fn stop_daemon(&self, index: usize) -> io::Result<()> {
        let (daemon, front, running) = self.take_daemon(index)?;
        running.stop_handle().drain();
        running.wait();
        front.change(|state| state.down = true);
        self.slots()
            .retain(|slot| slot.front.address != front.address);
        self.list_gone(daemon)
    }

    fn kill_daemon(&self, index: usize) -> io::Result<()> {
        let (daemon, front, running) = self.take_daemon(index)?;
        front.change(|state| state.down = true);
        running.stop_handle().stop_now();
        self.list_gone(daemon)
    }

    fn replace_all(&self) -> io::Result<()> {
        let plans: Vec<DaemonPlan> = self.slots().iter().map(|slot| slot.plan.clone()).collect();
        for mut plan in plans {
            plan.daemon = DaemonName::from(format!("{}-b", plan.daemon).as_str());
            self.start_daemon(&plan)?;
            self.wait_ready()?;
            eprintln!("load: {} is ready, its predecessor drains", plan.daemon);
            self.stop_daemon(0)?;
        }
        Ok(())
    }
}

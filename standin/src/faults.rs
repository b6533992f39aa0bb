//! Faults of daemons, workers and the network in the in-memory driver.

use crate::delivery::Delivery;
use crate::driver::SimDriver;
use crate::worker::WorkerFault;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ShutdownLevel;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::ids::RegionName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::TimeSpan;

/// One-way delay within a region, and the extra delay between regions (deployments of the design).
const LOCAL_DELAY: TimeSpan = TimeSpan(1);
const CROSS_REGION_DELAY: TimeSpan = TimeSpan(20);

/// Faults of the network and of messages between daemons.
#[derive(Clone, Debug, Default)]
pub struct NetworkFault {
    /// Whether the regions cannot reach each other.
    pub are_regions_cut: bool,
    /// The region that cannot reach the log.
    pub region_without_log: Option<RegionName>,
    /// Extra delay of each command on its way to a worker.
    pub command_delay: TimeSpan,
    /// Share of messages between daemons that are lost, in percent.
    pub peer_loss_percent: u8,
    /// Share of messages between daemons that arrive twice, in percent.
    pub peer_duplicate_percent: u8,
}

impl SimDriver {
    /// Ends a daemon's process at once. Effects that it has not carried out are lost.
    pub fn kill(&mut self, daemon: usize) {
        self.record_trace(|| format!("kill {daemon}"));
        self.record_planner_loss(daemon);
        self.pending_effects.retain(|(owner, _)| *owner != daemon);
        let process = &mut self.processes[daemon];
        process.state = None;
        process.is_paused = false;
        process.inbox.clear();
        let unanswered = self.calls.values_mut();
        unanswered
            .filter(|call| call.daemon == daemon && call.answer.is_none())
            .for_each(|call| call.is_disconnected = true);
    }

    /// Tells the checker when a daemon that runs and holds the term is about to be lost.
    fn record_planner_loss(&mut self, daemon: usize) {
        let process = &self.processes[daemon];
        let holder = self.ledger.term.holder.as_ref();
        let holds = holder.is_some_and(|writer| writer.incarnation == process.incarnation);
        if holds && process.state.is_some() {
            self.checker.record_planner_loss(self.now());
        }
    }

    /// Starts a new process of a daemon with an empty state, ending one that runs.
    pub fn restart(&mut self, daemon: usize) {
        self.kill(daemon);
        self.record_trace(|| format!("start {daemon}"));
        let incarnation = self.rng.u64(1..u64::MAX);
        let process = &mut self.processes[daemon];
        process.state = Some(DaemonState::new(process.settings.clone(), incarnation));
        process.incarnation = incarnation;
        process.config = ConfigVersion(0);
        self.schedule(
            TimeSpan(0),
            Delivery::Tick {
                daemon,
                incarnation,
            },
        );
    }

    /// Makes a daemon's process stand still.
    pub fn pause(&mut self, daemon: usize) {
        self.record_trace(|| format!("pause {daemon}"));
        self.record_planner_loss(daemon);
        self.processes[daemon].is_paused = true;
    }

    /// Lets a paused process go on, if it is paused; what arrived in between is waiting for it.
    pub fn resume(&mut self, daemon: usize) {
        if !std::mem::take(&mut self.processes[daemon].is_paused) {
            return;
        }
        self.record_trace(|| format!("resume {daemon}"));
        let inbox = std::mem::take(&mut self.processes[daemon].inbox);
        for input in inbox {
            self.schedule_event(daemon, TimeSpan(0), input);
        }
    }

    /// Tells a daemon's process to stop.
    pub fn shut_down(&mut self, daemon: usize, level: ShutdownLevel) {
        self.schedule_event(daemon, TimeSpan(0), EventInput::Shutdown { level });
    }

    /// Makes all open connections of a daemon silent; new connections work.
    pub fn silence_connections(&mut self, daemon: usize) {
        self.record_trace(|| format!("silent connections of {daemon}"));
        let workers = self.workers.keys().map(|worker| worker.as_str().to_owned());
        let targets = workers.chain(["log-read".to_owned(), "log-write".to_owned()]);
        let links = targets.map(|target| (daemon, target));
        self.silent_links.extend(links);
        let until = self.now() + TimeSpan::from_secs(3);
        self.peers_silent_until.insert(daemon, until);
    }

    /// Changes a worker's faults.
    pub fn set_worker_fault(&mut self, worker: &WorkerName, fault: WorkerFault) {
        let at = self.now();
        self.record_trace(|| format!("{worker}: {fault:?}"));
        let silent = fault.dead || fault.paused || fault.loses_answers;
        self.checker.record_worker_silence(at, worker, silent);
        self.workers[worker].set_fault(at, fault);
        if self.workers[worker].is_responsive() {
            self.apply_buffered_commands(worker);
        }
        self.advance_worker(worker);
    }

    /// Changes whether a worker says that it is about to stop.
    pub fn set_worker_leaving(&mut self, worker: &WorkerName, leaving: bool) {
        self.workers[worker].set_leaving(leaving);
    }

    /// Returns a random one-way delay between two regions.
    pub(crate) fn random_delay(&mut self, from: &RegionName, to: &RegionName) -> TimeSpan {
        let jitter = TimeSpan(self.rng.u64(0..3));
        let base = LOCAL_DELAY + jitter;
        if from == to {
            base
        } else {
            base + CROSS_REGION_DELAY
        }
    }

    /// Tells whether the network carries messages between two regions.
    #[must_use]
    pub fn can_reach(&self, from: &RegionName, to: &RegionName) -> bool {
        from == to || !self.network.are_regions_cut
    }

    /// Tells whether a region reaches the log.
    #[must_use]
    pub fn can_reach_log(&self, region: &RegionName) -> bool {
        self.network.region_without_log.as_ref() != Some(region)
            && self.can_reach(region, &self.log_region)
    }
}

//! Fault injection for daemons, workers and the network of the simulation.

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

/// Minimum one-way delay within a region, and the additional delay between regions.
const LOCAL_DELAY: TimeSpan = TimeSpan(1);
const CROSS_REGION_DELAY: TimeSpan = TimeSpan(20);

/// Faults of the network and of messages between daemons.
#[derive(Clone, Debug, Default)]
pub struct NetworkFault {
    /// Whether the network between the regions is partitioned.
    pub are_regions_cut: bool,
    /// Region that cannot reach the log, or `None`.
    pub region_without_log: Option<RegionName>,
    /// Additional delay of each command to a worker.
    pub command_delay: TimeSpan,
    /// Share of messages between daemons that are lost, in percent.
    pub peer_loss_percent: u8,
    /// Share of messages between daemons that arrive twice, in percent.
    pub peer_duplicate_percent: u8,
}

impl SimDriver {
    /// Kills a daemon's process. Effects that have not been executed are lost.
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

    /// Notifies the checker when the daemon whose process ends or pauses holds the term.
    fn record_planner_loss(&mut self, daemon: usize) {
        let process = &self.processes[daemon];
        let holder = self.ledger.term.holder.as_ref();
        let holds = holder.is_some_and(|writer| writer.incarnation == process.incarnation);
        if holds && process.state.is_some() {
            self.checker.record_planner_loss(self.now());
        }
    }

    /// Starts a new process of a daemon with empty state. Kills the current process, if any.
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

    /// Pauses a daemon's process. Events other than ticks queue up until it resumes.
    pub fn pause(&mut self, daemon: usize) {
        self.record_trace(|| format!("pause {daemon}"));
        self.record_planner_loss(daemon);
        self.processes[daemon].is_paused = true;
    }

    /// Resumes a paused process and delivers the events that queued up. No effect on a process that
    /// is not paused.
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

    /// Sends a daemon's process the shutdown signal.
    pub fn shut_down(&mut self, daemon: usize, level: ShutdownLevel) {
        self.schedule_event(daemon, TimeSpan(0), EventInput::Shutdown { level });
    }

    /// Makes all open connections of a daemon silent: messages on them are lost without an error.
    /// New connections work. Peer messages are lost for 3 s.
    pub fn silence_connections(&mut self, daemon: usize) {
        self.record_trace(|| format!("silent connections of {daemon}"));
        let workers = self.workers.keys().map(|worker| worker.as_str().to_owned());
        let targets = workers.chain(["log-read".to_owned(), "log-write".to_owned()]);
        let links = targets.map(|target| (daemon, target));
        self.silent_links.extend(links);
        let until = self.now() + TimeSpan::from_secs(3);
        self.peers_silent_until.insert(daemon, until);
    }

    /// Replaces a worker's faults.
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

    /// Sets whether a worker announces that it is about to shut down.
    pub fn set_worker_leaving(&mut self, worker: &WorkerName, leaving: bool) {
        self.workers[worker].set_leaving(leaving);
    }

    /// Returns a one-way delay between two regions with a random jitter of up to 2 ms.
    pub(crate) fn random_delay(&mut self, from: &RegionName, to: &RegionName) -> TimeSpan {
        let jitter = TimeSpan(self.rng.u64(0..3));
        let base = LOCAL_DELAY + jitter;
        if from == to {
            base
        } else {
            base + CROSS_REGION_DELAY
        }
    }

    /// Returns whether messages pass between two regions.
    #[must_use]
    pub fn can_reach(&self, from: &RegionName, to: &RegionName) -> bool {
        from == to || !self.network.are_regions_cut
    }

    /// Returns whether a region reaches the log.
    #[must_use]
    pub fn can_reach_log(&self, region: &RegionName) -> bool {
        self.network.region_without_log.as_ref() != Some(region)
            && self.can_reach(region, &self.log_region)
    }
}

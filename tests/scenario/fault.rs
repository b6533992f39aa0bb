//! Faults: injection, duration and recovery.

use super::ScenarioRun;
use super::fixture;
use super::step;
use super::step::ScenarioStep;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::VmState;
use mustardpath_standin::driver::SimDriver;
use mustardpath_standin::faults::NetworkFault;
use mustardpath_standin::log::LogFault;
use mustardpath_standin::worker::WorkerFault;

/// A fault of a daemon, the log, a worker, the network or a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SingleFault {
    /// The acting daemon is killed before it executes the step's effects.
    DaemonKilledBefore,
    /// The acting daemon is killed after it has executed half of the step's effects.
    DaemonKilledMidway,
    /// The acting daemon is killed after it has executed the step's effects.
    DaemonKilledAfter,
    /// The acting daemon is paused for longer than the term and the workers' leases.
    DaemonPaused,
    /// The log refuses appends.
    AppendRefused,
    /// The log answers after a delay.
    AppendSlow,
    /// Appends are stored, but their answers are lost.
    AppendAnswerLost,
    /// Appends are stored twice.
    AppendDuplicated,
    /// The log is down for 10 s.
    LogDown,
    /// The log is down for two hours.
    LogDownHours,
    /// The acting daemon's region cannot reach the log.
    LogCut,
    /// A worker restarts immediately with empty state.
    WorkerRestarted,
    /// A worker dies and returns later with empty state.
    WorkerDead,
    /// A worker is paused.
    WorkerPaused,
    /// A worker fails all tasks and requests.
    WorkerFails,
    /// A worker executes commands, but its answers are lost.
    WorkerAnswerLost,
    /// Commands reach the workers after the daemons' calls have timed out.
    CommandsDelayed,
    /// The acting daemon's open connections become silent.
    ConnectionSilent,
    /// The network between the regions is partitioned.
    RegionCut,
    /// A worker is leaving, and the VM list shows it after a lag.
    VmListStale,
    /// Messages between daemons are lost or duplicated.
    PeersLossy,
    /// Operators make conflicting changes concurrently.
    ConflictingChanges,
    /// The client cancels the gang job.
    JobCancelled,
}

/// All faults. Random interleavings refer to them by index.
pub const SINGLE_FAULTS: [SingleFault; 23] = [
    SingleFault::DaemonKilledBefore,
    SingleFault::DaemonKilledMidway,
    SingleFault::DaemonKilledAfter,
    SingleFault::DaemonPaused,
    SingleFault::AppendRefused,
    SingleFault::AppendSlow,
    SingleFault::AppendAnswerLost,
    SingleFault::AppendDuplicated,
    SingleFault::LogDown,
    SingleFault::LogDownHours,
    SingleFault::LogCut,
    SingleFault::WorkerRestarted,
    SingleFault::WorkerDead,
    SingleFault::WorkerPaused,
    SingleFault::WorkerFails,
    SingleFault::WorkerAnswerLost,
    SingleFault::CommandsDelayed,
    SingleFault::ConnectionSilent,
    SingleFault::RegionCut,
    SingleFault::VmListStale,
    SingleFault::PeersLossy,
    SingleFault::ConflictingChanges,
    SingleFault::JobCancelled,
];

/// One column of the fault matrix: one fault, two at once, or the same one twice.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlan {
    /// Name of the column, in the table and in `FAULT_CELL`.
    pub name: &'static str,
    /// Faults that are injected together.
    pub faults: &'static [SingleFault],
    /// Whether the faults are injected a second time after they have healed.
    pub is_repeated: bool,
}

const fn fault_plan(name: &'static str, faults: &'static [SingleFault]) -> FaultPlan {
    FaultPlan {
        name,
        faults,
        is_repeated: false,
    }
}

/// All columns of the fault matrix.
pub const FAULT_PLANS: [FaultPlan; 34] = [
    fault_plan("no fault", &[]),
    fault_plan("daemon killed before", &[SingleFault::DaemonKilledBefore]),
    fault_plan(
        "daemon killed in between",
        &[SingleFault::DaemonKilledMidway],
    ),
    fault_plan("daemon killed after", &[SingleFault::DaemonKilledAfter]),
    fault_plan("daemon paused past its lease", &[SingleFault::DaemonPaused]),
    fault_plan("append refused", &[SingleFault::AppendRefused]),
    fault_plan("append slow", &[SingleFault::AppendSlow]),
    fault_plan(
        "append stored, answer lost",
        &[SingleFault::AppendAnswerLost],
    ),
    fault_plan("append stored twice", &[SingleFault::AppendDuplicated]),
    fault_plan("log down 10 s", &[SingleFault::LogDown]),
    fault_plan("log down 2 h", &[SingleFault::LogDownHours]),
    fault_plan("log out of reach of a region", &[SingleFault::LogCut]),
    fault_plan("worker restarted", &[SingleFault::WorkerRestarted]),
    fault_plan("worker dead", &[SingleFault::WorkerDead]),
    fault_plan("worker paused", &[SingleFault::WorkerPaused]),
    fault_plan("worker fails everything", &[SingleFault::WorkerFails]),
    fault_plan("worker's answer lost", &[SingleFault::WorkerAnswerLost]),
    fault_plan("commands to workers late", &[SingleFault::CommandsDelayed]),
    fault_plan("connections silent", &[SingleFault::ConnectionSilent]),
    fault_plan("region cut", &[SingleFault::RegionCut]),
    fault_plan("VM list stale", &[SingleFault::VmListStale]),
    fault_plan("peer messages lost or doubled", &[SingleFault::PeersLossy]),
    fault_plan("operators racing", &[SingleFault::ConflictingChanges]),
    fault_plan("job cancelled", &[SingleFault::JobCancelled]),
    FaultPlan {
        name: "daemon killed after, twice",
        faults: &[SingleFault::DaemonKilledAfter],
        is_repeated: true,
    },
    FaultPlan {
        name: "worker dead, twice",
        faults: &[SingleFault::WorkerDead],
        is_repeated: true,
    },
    fault_plan(
        "daemon killed + log down 10 s",
        &[SingleFault::DaemonKilledAfter, SingleFault::LogDown],
    ),
    fault_plan(
        "daemon killed in between + log down 10 s",
        &[SingleFault::DaemonKilledMidway, SingleFault::LogDown],
    ),
    fault_plan(
        "daemon paused + worker dead",
        &[SingleFault::DaemonPaused, SingleFault::WorkerDead],
    ),
    fault_plan(
        "region cut + daemon killed",
        &[SingleFault::RegionCut, SingleFault::DaemonKilledAfter],
    ),
    fault_plan(
        "append answer lost + daemon killed",
        &[
            SingleFault::AppendAnswerLost,
            SingleFault::DaemonKilledAfter,
        ],
    ),
    fault_plan(
        "worker's answer lost + daemon killed",
        &[
            SingleFault::WorkerAnswerLost,
            SingleFault::DaemonKilledAfter,
        ],
    ),
    fault_plan(
        "commands late + daemon paused",
        &[SingleFault::CommandsDelayed, SingleFault::DaemonPaused],
    ),
    fault_plan(
        "worker dead + log down 10 s",
        &[SingleFault::WorkerDead, SingleFault::LogDown],
    ),
];

impl FaultPlan {
    /// Returns why the faults cannot occur at a step, or `None` when they can.
    pub fn impossible_reason(&self, step: ScenarioStep) -> Option<&'static str> {
        let cancels = self.faults.contains(&SingleFault::JobCancelled);
        if cancels && step == ScenarioStep::Accept {
            return Some("a job has no id to cancel before its acceptance is stored");
        }
        None
    }

    /// Returns whether repeatable jobs have to succeed despite the faults.
    pub fn requires_success(&self) -> bool {
        let prevents_success =
            |fault| matches!(fault, SingleFault::JobCancelled | SingleFault::WorkerFails);
        !self.faults.iter().copied().any(prevents_success)
    }

    /// Injects the faults, runs for the longest of their durations and heals them.
    pub fn inject_and_heal(&self, run: &mut ScenarioRun, daemon: usize) {
        let worker = target_worker(&run.driver);
        for fault in self.faults {
            fault.inject(&mut run.driver, daemon, &worker);
        }
        let spans = self.faults.iter().map(|fault| fault.duration());
        let span = spans.max().unwrap_or_default();
        if span > TimeSpan::from_secs(600) {
            // Two idle hours do not need ten ticks per second.
            run.driver.tick_interval = TimeSpan::from_secs(1);
        }
        run.advance(span);
        run.driver.tick_interval = TimeSpan(100);
        heal(&mut run.driver);
    }
}

/// Clears all faults and restarts or resumes all workers and daemons.
pub fn heal(driver: &mut SimDriver) {
    let at = driver.now();
    let names: Vec<_> = driver.workers().keys().cloned().collect();
    for worker in &names {
        if driver.workers()[worker].fault() != WorkerFault::default() {
            driver.set_worker_fault(worker, WorkerFault::default());
        }
        if driver.workers()[worker].is_leaving() {
            driver.set_worker_leaving(worker, false);
            driver.vms.set_worker(at, worker, VmState::Live);
        }
    }
    driver.vms.set_lag(TimeSpan(0));
    driver.log.set_fault(LogFault::default());
    driver.network = NetworkFault::default();
    for daemon in 0..driver.daemon_count() {
        driver.resume(daemon);
        if !driver.is_up(daemon) {
            driver.restart(daemon);
        }
    }
}

impl SingleFault {
    const fn duration(self) -> TimeSpan {
        TimeSpan::from_secs(match self {
            Self::JobCancelled | Self::ConnectionSilent | Self::ConflictingChanges => 3,
            Self::DaemonKilledBefore
            | Self::DaemonKilledMidway
            | Self::DaemonKilledAfter
            | Self::WorkerRestarted
            | Self::AppendRefused => 5,
            Self::AppendSlow
            | Self::AppendAnswerLost
            | Self::AppendDuplicated
            | Self::LogDown
            | Self::PeersLossy
            | Self::CommandsDelayed => 10,
            Self::LogCut => 20,
            Self::RegionCut
            | Self::WorkerPaused
            | Self::WorkerAnswerLost
            | Self::WorkerFails
            | Self::VmListStale => 30,
            Self::DaemonPaused => 50,
            Self::WorkerDead => 60,
            Self::LogDownHours => 7_200,
        })
    }

    /// Injects the fault. `daemon` and `target` are the affected daemon and worker where the fault
    /// concerns one.
    pub fn inject(self, driver: &mut SimDriver, daemon: usize, target: &WorkerName) {
        let log = |change: fn(&mut LogFault), driver: &mut SimDriver| {
            let mut fault = driver.log.fault();
            change(&mut fault);
            driver.log.set_fault(fault);
        };
        let worker = |change: fn(&mut WorkerFault), driver: &mut SimDriver| {
            let mut fault = driver.workers()[target].fault();
            change(&mut fault);
            driver.set_worker_fault(target, fault);
        };
        match self {
            Self::DaemonKilledBefore => driver.kill(daemon),
            Self::DaemonKilledMidway => {
                driver.execute_half_of_effects();
                driver.kill(daemon);
            }
            Self::DaemonKilledAfter => {
                driver.execute_effects();
                driver.kill(daemon);
            }
            Self::DaemonPaused => {
                driver.execute_effects();
                driver.pause(daemon);
            }
            Self::AppendRefused => log(|fault| fault.refuse_appends = true, driver),
            Self::AppendSlow => log(|fault| fault.slow = TimeSpan(1_500), driver),
            Self::AppendAnswerLost => log(|fault| fault.lose_answers = true, driver),
            Self::AppendDuplicated => log(|fault| fault.store_twice = true, driver),
            Self::LogDown | Self::LogDownHours => log(|fault| fault.down = true, driver),
            Self::LogCut => {
                driver.network.region_without_log = Some(driver.settings(daemon).region.clone());
            }
            Self::WorkerRestarted => {
                worker(|fault| fault.dead = true, driver);
                worker(|fault| fault.dead = false, driver);
            }
            Self::WorkerDead => worker(|fault| fault.dead = true, driver),
            Self::WorkerPaused => worker(|fault| fault.paused = true, driver),
            Self::WorkerFails => worker(|fault| fault.fails_everything = true, driver),
            Self::WorkerAnswerLost => worker(|fault| fault.loses_answers = true, driver),
            Self::CommandsDelayed => driver.network.command_delay = TimeSpan(2_500),
            Self::ConnectionSilent => driver.silence_connections(daemon),
            Self::RegionCut => driver.network.are_regions_cut = true,
            Self::PeersLossy => {
                driver.network.peer_loss_percent = 40;
                driver.network.peer_duplicate_percent = 40;
            }
            Self::VmListStale => {
                let at = driver.now();
                driver.vms.set_lag(TimeSpan::from_secs(20));
                driver.vms.set_worker(at, target, VmState::Leaving);
                driver.set_worker_leaving(target, true);
            }
            Self::ConflictingChanges => submit_conflicting_changes(driver),
            Self::JobCancelled => fixture::cancel_gang(driver),
        }
    }
}

/// Publishes two configurations against the same base version, and takes a failure domain out of
/// service and returns it at the same time.
fn submit_conflicting_changes(driver: &mut SimDriver) {
    let base = driver.ledger().config.version.0;
    fixture::publish(driver, base, 3);
    fixture::publish(driver, base, 4);
    fixture::set_domain(driver, "hn-a", true);
    fixture::set_domain(driver, "hn-a", false);
}

/// Returns the worker to inject faults at: the one that a pending effect calls, else one of the
/// gang's, else the first.
fn target_worker(driver: &SimDriver) -> WorkerName {
    let mut effects = driver.pending_effects().iter().map(|(_, effect)| effect);
    let called = effects.find_map(|effect| match effect {
        ControlEffect::CallWorker { worker, .. } | ControlEffect::SendRequest { worker, .. } => {
            Some(worker.clone())
        }
        _ => None,
    });
    let gang_worker = || step::gang_workers(driver).first().cloned();
    called.or_else(gang_worker).unwrap_or_else(|| "w0".into())
}

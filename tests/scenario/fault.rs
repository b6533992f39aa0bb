//! Faults of the cells: how each is injected, how long it lasts and how it is healed.

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

/// A single fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SingleFault {
    /// The acting daemon is killed before it carries out the step.
    DaemonKilledBefore,
    /// The acting daemon is killed when it has carried out half of the step's effects.
    DaemonKilledMidway,
    /// The acting daemon is killed after it has carried out the step.
    DaemonKilledAfter,
    /// The acting daemon stands still for longer than the term and the workers' leases.
    DaemonPaused,
    /// The log refuses appends.
    AppendRefused,
    /// The log answers late.
    AppendSlow,
    /// Appends are stored and their answers are lost.
    AppendAnswerLost,
    /// Appends are stored twice.
    AppendDuplicated,
    /// The log is down for 10 s.
    LogDown,
    /// The log is down for two hours.
    LogDownHours,
    /// The acting daemon's region does not reach the log.
    LogCut,
    /// A worker restarts at once and comes back empty.
    WorkerRestarted,
    /// A worker dies and comes back empty.
    WorkerDead,
    /// A worker stands still.
    WorkerPaused,
    /// A worker fails everything.
    WorkerFails,
    /// A worker's answers are lost.
    WorkerAnswerLost,
    /// Commands reach the workers after the daemons have given up on them.
    CommandsDelayed,
    /// The acting daemon's open connections become silent.
    ConnectionSilent,
    /// The regions do not reach each other.
    RegionCut,
    /// A worker leaves and the VM list shows it late.
    VmListStale,
    /// Messages between daemons are lost or arrive twice.
    PeersLossy,
    /// Operators make conflicting changes.
    ConflictingChanges,
    /// The caller cancels the gang.
    JobCancelled,
}

/// All single faults.
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

/// One column of the matrix: one fault, two at once, or the same one twice.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlan {
    /// The name in the table.
    pub name: &'static str,
    /// Faults injected at the same moment.
    pub faults: &'static [SingleFault],
    /// Whether the faults are injected a second time after they are healed.
    pub is_repeated: bool,
}

const fn fault_plan(name: &'static str, faults: &'static [SingleFault]) -> FaultPlan {
    FaultPlan {
        name,
        faults,
        is_repeated: false,
    }
}

/// All columns.
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
    /// Returns why the cell cannot occur.
    pub fn impossible_reason(&self, step: ScenarioStep) -> Option<&'static str> {
        let cancels = self.faults.contains(&SingleFault::JobCancelled);
        if cancels && step == ScenarioStep::Accept {
            return Some("a job has no id to cancel before its acceptance is stored");
        }
        None
    }

    /// Tells whether a gang that may be repeated has to succeed in spite of the fault.
    pub fn requires_success(&self) -> bool {
        let prevents_success =
            |fault| matches!(fault, SingleFault::JobCancelled | SingleFault::WorkerFails);
        !self.faults.iter().copied().any(prevents_success)
    }

    /// Injects the faults and lets them last, then heals them.
    pub fn inject_and_heal(&self, run: &mut ScenarioRun, daemon: usize) {
        let worker = target_worker(&run.driver);
        for fault in self.faults {
            fault.inject(&mut run.driver, daemon, &worker);
        }
        let spans = self.faults.iter().map(|fault| fault.duration());
        let span = spans.max().unwrap_or_default();
        if span > TimeSpan::from_secs(600) {
            // Two hours of quiet do not need ten ticks a second.
            run.driver.tick_interval = TimeSpan::from_secs(1);
        }
        run.advance(span);
        run.driver.tick_interval = TimeSpan(100);
        heal(&mut run.driver);
    }
}

/// Heals all faults and brings all workers and daemons back.
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

    /// Injects the fault at a daemon or a worker.
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

/// Two operators publish against the same base, and two more change the same failure domain.
fn submit_conflicting_changes(driver: &mut SimDriver) {
    let base = driver.ledger().config.version.0;
    fixture::publish(driver, base, 3);
    fixture::publish(driver, base, 4);
    fixture::set_domain(driver, "hn-a", true);
    fixture::set_domain(driver, "hn-a", false);
}

/// Returns the worker that the step concerns: the one being called, one of the gang, or any.
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

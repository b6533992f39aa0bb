//! Faults of the cells: how each is injected, how long it lasts and how it is healed.

use super::CellRun;
use super::scene;
use super::step;
use super::step::CellStep;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::VmState;
use mustardpath_standin::driver::SimDriver;
use mustardpath_standin::faults::NetworkFault;
use mustardpath_standin::log::LogFault;
use mustardpath_standin::worker::WorkerFault;
use mustardpath_standin::worker::WorkerModel;

/// A single fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SingleFault {
    /// The acting daemon is killed before it carries out the step.
    KilledBefore,
    /// The acting daemon is killed after it has carried out the step.
    KilledAfter,
    /// The acting daemon stands still for longer than the term and the workers' leases.
    Paused,
    /// The log refuses appends.
    AppendRefused,
    /// The log answers late.
    AppendSlow,
    /// Appends are stored and their answers are lost.
    AppendAnswerLost,
    /// Appends are stored twice.
    AppendTwice,
    /// The log is down for 10 s.
    LogDown,
    /// The log is down for two hours.
    LogDownHours,
    /// The acting daemon's region does not reach the log.
    LogCut,
    /// A worker dies and comes back empty.
    WorkerDead,
    /// A worker stands still.
    WorkerPaused,
    /// A worker fails everything.
    WorkerFails,
    /// A worker's answers are lost.
    WorkerAnswerLost,
    /// Commands reach the workers after the daemons have given up on them.
    CommandsLate,
    /// The acting daemon's open connections become silent.
    ConnectionSilent,
    /// The regions do not reach each other.
    RegionCut,
    /// A worker leaves and the VM list shows it late.
    VmStale,
    /// Messages between daemons are lost or arrive twice.
    PeersLossy,
    /// Operators make conflicting changes.
    OperatorsRacing,
    /// The caller cancels the gang.
    Cancelled,
}

/// One column of the matrix: one fault, two at once, or the same one twice.
#[derive(Clone, Copy, Debug)]
pub struct CellFault {
    /// The name in the table.
    pub name: &'static str,
    /// Faults injected at the same moment.
    pub parts: &'static [SingleFault],
    /// Whether the faults are injected a second time after they are healed.
    pub twice: bool,
}

const fn column(name: &'static str, parts: &'static [SingleFault]) -> CellFault {
    CellFault {
        name,
        parts,
        twice: false,
    }
}

/// All columns.
pub const FAULTS: [CellFault; 31] = [
    column("no fault", &[]),
    column("daemon killed before", &[SingleFault::KilledBefore]),
    column("daemon killed after", &[SingleFault::KilledAfter]),
    column("daemon paused past its lease", &[SingleFault::Paused]),
    column("append refused", &[SingleFault::AppendRefused]),
    column("append slow", &[SingleFault::AppendSlow]),
    column(
        "append stored, answer lost",
        &[SingleFault::AppendAnswerLost],
    ),
    column("append stored twice", &[SingleFault::AppendTwice]),
    column("log down 10 s", &[SingleFault::LogDown]),
    column("log down 2 h", &[SingleFault::LogDownHours]),
    column("log out of reach of a region", &[SingleFault::LogCut]),
    column("worker dead", &[SingleFault::WorkerDead]),
    column("worker paused", &[SingleFault::WorkerPaused]),
    column("worker fails everything", &[SingleFault::WorkerFails]),
    column("worker's answer lost", &[SingleFault::WorkerAnswerLost]),
    column("commands to workers late", &[SingleFault::CommandsLate]),
    column("connections silent", &[SingleFault::ConnectionSilent]),
    column("region cut", &[SingleFault::RegionCut]),
    column("VM list stale", &[SingleFault::VmStale]),
    column("peer messages lost or doubled", &[SingleFault::PeersLossy]),
    column("operators racing", &[SingleFault::OperatorsRacing]),
    column("job cancelled", &[SingleFault::Cancelled]),
    CellFault {
        name: "daemon killed after, twice",
        parts: &[SingleFault::KilledAfter],
        twice: true,
    },
    CellFault {
        name: "worker dead, twice",
        parts: &[SingleFault::WorkerDead],
        twice: true,
    },
    column(
        "daemon killed + log down 10 s",
        &[SingleFault::KilledAfter, SingleFault::LogDown],
    ),
    column(
        "daemon paused + worker dead",
        &[SingleFault::Paused, SingleFault::WorkerDead],
    ),
    column(
        "region cut + daemon killed",
        &[SingleFault::RegionCut, SingleFault::KilledAfter],
    ),
    column(
        "append answer lost + daemon killed",
        &[SingleFault::AppendAnswerLost, SingleFault::KilledAfter],
    ),
    column(
        "worker's answer lost + daemon killed",
        &[SingleFault::WorkerAnswerLost, SingleFault::KilledAfter],
    ),
    column(
        "commands late + daemon paused",
        &[SingleFault::CommandsLate, SingleFault::Paused],
    ),
    column(
        "worker dead + log down 10 s",
        &[SingleFault::WorkerDead, SingleFault::LogDown],
    ),
];

impl CellFault {
    /// Returns why the cell cannot occur.
    pub fn impossible_at(&self, step: CellStep) -> Option<&'static str> {
        let cancels = self.parts.contains(&SingleFault::Cancelled);
        if cancels && step == CellStep::Accept {
            return Some("a job has no id to cancel before its acceptance is stored");
        }
        None
    }

    /// Tells whether a gang that may be repeated has to succeed in spite of the fault.
    pub fn spares_work(&self) -> bool {
        let spoils = |part| matches!(part, SingleFault::Cancelled | SingleFault::WorkerFails);
        !self.parts.iter().copied().any(spoils)
    }

    /// Injects the faults and lets them last, then heals them.
    pub fn run(&self, run: &mut CellRun, actor: usize) {
        let victim = victim(&run.driver);
        for part in self.parts {
            part.inject(&mut run.driver, actor, &victim);
        }
        let spans = self.parts.iter().map(|part| part.lasts());
        let span = spans.max().unwrap_or_default();
        if span > TimeSpan::from_secs(600) {
            // Two hours of quiet do not need ten ticks a second.
            run.driver.tick = TimeSpan::from_secs(1);
        }
        run.advance(span);
        run.driver.tick = TimeSpan(100);
        self.heal(run, actor, &victim);
    }

    fn heal(&self, run: &mut CellRun, actor: usize, victim: &WorkerName) {
        let driver = &mut run.driver;
        let faulty =
            |(_, model): &(&WorkerName, &WorkerModel)| model.fault() != WorkerFault::default();
        let faulty: Vec<_> = driver.workers().iter().filter(faulty).collect();
        let names: Vec<_> = faulty.into_iter().map(|(name, _)| name.clone()).collect();
        for worker in &names {
            driver.set_worker_fault(worker, WorkerFault::default());
        }
        driver.log.set_fault(LogFault::default());
        driver.network = NetworkFault::default();
        if self.parts.contains(&SingleFault::VmStale) {
            let at = driver.now();
            driver.set_worker_leaving(victim, false);
            driver.vms.set_worker(at, victim, VmState::Live);
            driver.vms.set_lag(TimeSpan(0));
        }
        if self.parts.contains(&SingleFault::OperatorsRacing) {
            scene::set_domain(driver, "hn-a", false);
        }
        if driver.is_up(actor) {
            driver.resume(actor);
        }
        for daemon in 0..driver.daemons() {
            if !driver.is_up(daemon) {
                driver.restart(daemon);
            }
        }
    }
}

impl SingleFault {
    const fn lasts(self) -> TimeSpan {
        TimeSpan::from_secs(match self {
            Self::Cancelled | Self::ConnectionSilent | Self::OperatorsRacing => 3,
            Self::KilledBefore | Self::KilledAfter | Self::AppendRefused => 5,
            Self::AppendSlow
            | Self::AppendAnswerLost
            | Self::AppendTwice
            | Self::LogDown
            | Self::PeersLossy
            | Self::CommandsLate => 10,
            Self::LogCut => 20,
            Self::RegionCut
            | Self::WorkerPaused
            | Self::WorkerAnswerLost
            | Self::WorkerFails
            | Self::VmStale => 30,
            Self::Paused => 50,
            Self::WorkerDead => 60,
            Self::LogDownHours => 7_200,
        })
    }

    fn inject(self, driver: &mut SimDriver, actor: usize, victim: &WorkerName) {
        let log = |change: fn(&mut LogFault), driver: &mut SimDriver| {
            let mut fault = driver.log.fault();
            change(&mut fault);
            driver.log.set_fault(fault);
        };
        let worker = |change: fn(&mut WorkerFault), driver: &mut SimDriver| {
            let mut fault = driver.workers()[victim].fault();
            change(&mut fault);
            driver.set_worker_fault(victim, fault);
        };
        match self {
            Self::KilledBefore => driver.kill(actor),
            Self::KilledAfter => {
                driver.carry_out();
                driver.kill(actor);
            }
            Self::Paused => {
                driver.carry_out();
                driver.pause(actor);
            }
            Self::AppendRefused => log(|fault| fault.refuse_appends = true, driver),
            Self::AppendSlow => log(|fault| fault.slow = TimeSpan(1_500), driver),
            Self::AppendAnswerLost => log(|fault| fault.lose_answers = true, driver),
            Self::AppendTwice => log(|fault| fault.store_twice = true, driver),
            Self::LogDown | Self::LogDownHours => log(|fault| fault.down = true, driver),
            Self::LogCut => {
                driver.network.log_cut = Some(driver.settings(actor).region.clone());
            }
            Self::WorkerDead => worker(|fault| fault.dead = true, driver),
            Self::WorkerPaused => worker(|fault| fault.paused = true, driver),
            Self::WorkerFails => worker(|fault| fault.fails_everything = true, driver),
            Self::WorkerAnswerLost => worker(|fault| fault.loses_answers = true, driver),
            Self::CommandsLate => driver.network.command_delay = TimeSpan(2_500),
            Self::ConnectionSilent => driver.silence(actor),
            Self::RegionCut => driver.network.regions_cut = true,
            Self::PeersLossy => {
                driver.network.peer_loss = 40;
                driver.network.peer_double = 40;
            }
            Self::VmStale => {
                let at = driver.now();
                driver.vms.set_lag(TimeSpan::from_secs(20));
                driver.vms.set_worker(at, victim, VmState::Leaving);
                driver.set_worker_leaving(victim, true);
            }
            Self::OperatorsRacing => race(driver),
            Self::Cancelled => scene::cancel_gang(driver),
        }
    }
}

/// Two operators publish against the same base, and two more change the same failure domain.
fn race(driver: &mut SimDriver) {
    let base = driver.ledger().config.version.0;
    scene::publish(driver, base, 3);
    scene::publish(driver, base, 4);
    scene::set_domain(driver, "hn-a", true);
    scene::set_domain(driver, "hn-a", false);
}

/// Returns the worker that the step concerns: the one being called, one of the gang, or any.
fn victim(driver: &SimDriver) -> WorkerName {
    let mut effects = driver.pending().iter().map(|(_, effect)| effect);
    let called = effects.find_map(|effect| match effect {
        ControlEffect::CallWorker { worker, .. } | ControlEffect::SendRequest { worker, .. } => {
            Some(worker.clone())
        }
        _ => None,
    });
    let of_gang = || step::gang_workers(driver).first().cloned();
    called.or_else(of_gang).unwrap_or_else(|| "w0".into())
}

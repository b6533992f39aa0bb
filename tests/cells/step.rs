//! Steps of the work at which a fault is injected, and how a run is brought to them.

use super::CellRun;
use super::scene;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::event::ShutdownLevel;
use mustardpath_core::ids::DomainName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::ledger;
use mustardpath_core::ledger::JobPhase;
use mustardpath_core::record::RecordBody;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::TaskPhase;
use mustardpath_core::worker::WorkerCommand;
use mustardpath_standin::driver::SimDriver;
use mustardpath_standin::worker::WorkerFault;

/// Longest time that a run takes to its step.
const REACH: TimeSpan = TimeSpan::from_secs(60);

/// A step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellStep {
    /// A daemon sends the acceptance record of a job.
    Accept,
    /// The planner sends the first reservation.
    Place,
    /// A worker holds a reservation.
    Reserve,
    /// The placement record is stored.
    Record,
    /// The planner sends the first start.
    Start,
    /// The planner sends the start of the job that may not be repeated.
    StartOnce,
    /// A daemon renews a lease while work runs.
    Renew,
    /// A worker has the end of a task to report.
    Report,
    /// The planner asks for a checkpoint.
    Checkpoint,
    /// The planner stops a task.
    Stop,
    /// A daemon sends a request that may not be repeated to its endpoint.
    Send,
    /// A daemon sends the end record of a request that may not be repeated.
    Answer,
    /// A daemon sends a change of the configuration.
    Publish,
    /// A daemon sends the take-out of a failure domain.
    TakeOut,
    /// A daemon sends the return of a failure domain.
    BringBack,
    /// The planner writes a snapshot.
    Snapshot,
    /// A daemon claims the term of a planner that is gone.
    TakeOver,
    /// The planner releases its term.
    HandOver,
    /// A daemon that is not the planner begins to drain.
    ShutDown,
}

/// All steps.
pub const STEPS: [CellStep; 19] = [
    CellStep::Accept,
    CellStep::Place,
    CellStep::Reserve,
    CellStep::Record,
    CellStep::Start,
    CellStep::StartOnce,
    CellStep::Renew,
    CellStep::Report,
    CellStep::Checkpoint,
    CellStep::Stop,
    CellStep::Send,
    CellStep::Answer,
    CellStep::Publish,
    CellStep::TakeOut,
    CellStep::BringBack,
    CellStep::Snapshot,
    CellStep::TakeOver,
    CellStep::HandOver,
    CellStep::ShutDown,
];

impl CellStep {
    /// Brings the run to the step. Returns the daemon that acts in it, or `None` when the step
    /// does not come.
    pub fn reach(self, run: &mut CellRun) -> Option<usize> {
        if self.needs_running_work() {
            let running = |driver: &SimDriver| is_gang_running(driver);
            run.advance_until(REACH, running).then_some(())?;
        }
        self.trigger(run);
        let marked = move |driver: &SimDriver| self.actor(driver).is_some();
        run.advance_until(REACH, marked).then_some(())?;
        self.actor(&run.driver)
    }

    /// Tells whether a gang that may be repeated has to succeed in spite of the step.
    pub const fn spares_work(self) -> bool {
        !matches!(self, Self::Stop)
    }

    const fn needs_running_work(self) -> bool {
        matches!(
            self,
            Self::Renew
                | Self::Checkpoint
                | Self::Stop
                | Self::Publish
                | Self::TakeOut
                | Self::BringBack
                | Self::TakeOver
                | Self::HandOver
                | Self::ShutDown
        )
    }

    fn trigger(self, run: &mut CellRun) {
        let driver = &mut run.driver;
        match self {
            Self::Publish => {
                let base = driver.ledger().config.version.0;
                scene::publish(driver, base, 2);
            }
            Self::Checkpoint => lose_member(driver),
            Self::Stop => scene::cancel_gang(driver),
            Self::TakeOut => {
                let domain = gang_domain(driver).unwrap_or_else(|| "sg-a".into());
                scene::set_domain(driver, domain.as_str(), true);
            }
            Self::BringBack => {
                scene::set_domain(driver, "hn-a", true);
                run.advance(TimeSpan::from_secs(4));
                scene::set_domain(&mut run.driver, "hn-a", false);
            }
            Self::TakeOver => {
                if let Some(planner) = planner(driver) {
                    driver.kill(planner);
                }
            }
            Self::HandOver => {
                if let Some(planner) = planner(driver) {
                    driver.shut_down(planner, ShutdownLevel::Drain);
                }
            }
            Self::ShutDown => {
                let planner = planner(driver).unwrap_or(0);
                let other = (planner + 1) % driver.daemons();
                driver.shut_down(other, ShutdownLevel::Drain);
            }
            _ => {}
        }
    }

    /// Returns the daemon that acts in the step, when the last event has brought the step.
    fn actor(self, driver: &SimDriver) -> Option<usize> {
        match self {
            Self::Reserve => holds_task(driver, |phase| *phase == TaskPhase::Reserved)
                .then(|| planner(driver))
                .flatten(),
            Self::Report => holds_task(driver, |phase| matches!(phase, TaskPhase::Ended { .. }))
                .then(|| planner(driver))
                .flatten(),
            Self::Record => {
                let mut records = driver.new_records().iter();
                let placed = |body: &RecordBody| matches!(body, RecordBody::JobPlaced { .. });
                records.any(placed).then(|| planner(driver)).flatten()
            }
            _ => {
                let mut pending = driver.pending().iter();
                let (daemon, _) = pending.find(|(_, effect)| self.is_marked_by(effect))?;
                Some(*daemon)
            }
        }
    }

    fn is_marked_by(self, effect: &ControlEffect) -> bool {
        match effect {
            ControlEffect::CallWorker { command, .. } => match self {
                Self::Place => matches!(command, WorkerCommand::Reserve { .. }),
                Self::Start => matches!(command, WorkerCommand::Start { .. }),
                Self::StartOnce => is_start_of(command, "once"),
                Self::Renew => matches!(command, WorkerCommand::Renew { .. }),
                Self::Checkpoint => matches!(
                    command,
                    WorkerCommand::Checkpoint { .. }
                        | WorkerCommand::Stop {
                            checkpoint: true,
                            ..
                        }
                ),
                Self::Stop => matches!(command, WorkerCommand::Stop { .. }),
                _ => false,
            },
            ControlEffect::Append { records, .. } => {
                let mut bodies = records.iter().map(|record| &record.body);
                bodies.any(|body| self.is_marked_by_record(body))
            }
            ControlEffect::SendRequest { service, .. } => {
                self == Self::Send && service.as_str() == "ask-once"
            }
            ControlEffect::WriteSnapshot { .. } => self == Self::Snapshot,
            ControlEffect::LogLine { line, .. } => self == Self::ShutDown && line == "draining",
            _ => false,
        }
    }

    const fn is_marked_by_record(self, body: &RecordBody) -> bool {
        match body {
            RecordBody::JobAccepted { .. } => matches!(self, Self::Accept),
            RecordBody::RequestDone { .. } => matches!(self, Self::Answer),
            RecordBody::ConfigChanged { .. } => matches!(self, Self::Publish),
            RecordBody::DomainSet { out, .. } => match self {
                Self::TakeOut => *out,
                Self::BringBack => !*out,
                _ => false,
            },
            RecordBody::TermClaimed { .. } => matches!(self, Self::TakeOver),
            RecordBody::TermReleased { .. } => matches!(self, Self::HandOver),
            _ => false,
        }
    }
}

fn is_start_of(command: &WorkerCommand, service: &str) -> bool {
    match command {
        WorkerCommand::Start { run, .. } => run.service.as_str() == service,
        _ => false,
    }
}

/// Returns the daemon that holds the term.
pub fn planner(driver: &SimDriver) -> Option<usize> {
    let holder = ledger::term_holder(driver.ledger())?;
    (0..driver.daemons()).find(|daemon| driver.settings(*daemon).daemon == *holder)
}

/// Returns the workers of the gang while it is placed.
pub fn gang_workers(driver: &SimDriver) -> Vec<WorkerName> {
    let mut jobs = driver.ledger().jobs.values();
    let gang = jobs.find(|job| job.order.service.as_str() == "gang");
    match gang.map(|job| &job.phase) {
        Some(JobPhase::Placed { workers, .. }) => workers.clone(),
        _ => Vec::new(),
    }
}

/// Lets one worker of the gang die, so that the rest is checkpointed and stopped.
fn lose_member(driver: &mut SimDriver) {
    if let Some(worker) = gang_workers(driver).pop() {
        let fault = WorkerFault {
            dead: true,
            ..WorkerFault::default()
        };
        driver.set_worker_fault(&worker, fault);
    }
}

fn gang_domain(driver: &SimDriver) -> Option<DomainName> {
    let workers = gang_workers(driver);
    let worker = driver.workers().get(workers.first()?)?;
    Some(worker.info().domain.clone())
}

fn is_gang_running(driver: &SimDriver) -> bool {
    let workers = gang_workers(driver);
    !workers.is_empty()
        && workers.iter().all(|worker| {
            let tasks = driver.workers()[worker].tasks(driver.now());
            tasks
                .iter()
                .any(|status| status.phase == TaskPhase::Running)
        })
}

fn holds_task(driver: &SimDriver, is_wanted: impl Fn(&TaskPhase) -> bool) -> bool {
    let models = driver.workers().values();
    let mut statuses = models.flat_map(|model| model.tasks(driver.now()));
    statuses.any(|status| is_wanted(&status.phase))
}

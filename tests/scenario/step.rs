//! Steps of the scheduler's work at which faults are injected.

use super::ScenarioRun;
use super::fixture;
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

/// Timeout for reaching a step.
const REACH_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);

/// A step of the scheduler's work. A step is reached when its effect is pending or its state holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScenarioStep {
    /// A daemon appends the acceptance record of a job.
    Accept,
    /// The planner sends the first reservation.
    Place,
    /// A worker holds a reservation.
    Reserve,
    /// The placement record is stored.
    Record,
    /// The planner sends the first start.
    Start,
    /// The planner sends the start of the non-repeatable job.
    StartOnce,
    /// A daemon renews a lease while work runs.
    Renew,
    /// A worker reports the end of a task.
    Report,
    /// The planner requests a checkpoint of a task.
    Checkpoint,
    /// The planner stops a task.
    Stop,
    /// A daemon sends a non-repeatable request to its endpoint.
    Send,
    /// A daemon appends the end record of a non-repeatable request.
    Answer,
    /// A daemon appends a configuration change.
    Publish,
    /// A daemon appends the record that takes a failure domain out of service.
    TakeOut,
    /// A daemon appends the record that returns a failure domain to service.
    BringBack,
    /// The planner writes a snapshot.
    Snapshot,
    /// A daemon claims the term after the planner was killed.
    TakeOver,
    /// The planner drains and releases its term.
    HandOver,
    /// A daemon other than the planner starts to drain.
    ShutDown,
}

/// All steps: the rows of the fault matrix.
pub const STEPS: [ScenarioStep; 19] = [
    ScenarioStep::Accept,
    ScenarioStep::Place,
    ScenarioStep::Reserve,
    ScenarioStep::Record,
    ScenarioStep::Start,
    ScenarioStep::StartOnce,
    ScenarioStep::Renew,
    ScenarioStep::Report,
    ScenarioStep::Checkpoint,
    ScenarioStep::Stop,
    ScenarioStep::Send,
    ScenarioStep::Answer,
    ScenarioStep::Publish,
    ScenarioStep::TakeOut,
    ScenarioStep::BringBack,
    ScenarioStep::Snapshot,
    ScenarioStep::TakeOver,
    ScenarioStep::HandOver,
    ScenarioStep::ShutDown,
];

impl ScenarioStep {
    /// Runs until the step is reached. Returns its acting daemon, or `None` when the step is not
    /// reached in time.
    pub fn reach(self, run: &mut ScenarioRun) -> Option<usize> {
        if self.needs_running_work() {
            let is_running = |driver: &SimDriver| is_gang_running(driver);
            run.advance_until(REACH_TIMEOUT, is_running).then_some(())?;
        }
        self.trigger(run);
        let is_reached = move |driver: &SimDriver| self.acting_daemon(driver).is_some();
        run.advance_until(REACH_TIMEOUT, is_reached).then_some(())?;
        self.acting_daemon(&run.driver)
    }

    /// Returns whether repeatable jobs have to succeed despite what triggers the step.
    pub const fn requires_success(self) -> bool {
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

    fn trigger(self, run: &mut ScenarioRun) {
        let driver = &mut run.driver;
        match self {
            Self::Publish => {
                let base = driver.ledger().config.version.0;
                fixture::publish(driver, base, 2);
            }
            Self::Checkpoint => kill_gang_member(driver),
            Self::Stop => fixture::cancel_gang(driver),
            Self::TakeOut => {
                let domain = gang_domain(driver).unwrap_or_else(|| "sg-a".into());
                fixture::set_domain(driver, domain.as_str(), true);
            }
            Self::BringBack => {
                fixture::set_domain(driver, "hn-a", true);
                run.advance(TimeSpan::from_secs(4));
                fixture::set_domain(&mut run.driver, "hn-a", false);
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
                let other = (planner + 1) % driver.daemon_count();
                driver.shut_down(other, ShutdownLevel::Drain);
            }
            _ => {}
        }
    }

    /// Returns the daemon that executes the step, or `None` unless the last event reached the step.
    fn acting_daemon(self, driver: &SimDriver) -> Option<usize> {
        match self {
            Self::Reserve => has_task(driver, |phase| *phase == TaskPhase::Reserved)
                .then(|| planner(driver))
                .flatten(),
            Self::Report => has_task(driver, |phase| matches!(phase, TaskPhase::Ended { .. }))
                .then(|| planner(driver))
                .flatten(),
            Self::Record => {
                let mut records = driver.new_records().iter();
                let placed = |body: &RecordBody| matches!(body, RecordBody::JobPlaced { .. });
                records.any(placed).then(|| planner(driver)).flatten()
            }
            _ => {
                let mut pending = driver.pending_effects().iter();
                let (daemon, _) = pending.find(|(_, effect)| self.is_reached_by(effect))?;
                Some(*daemon)
            }
        }
    }

    fn is_reached_by(self, effect: &ControlEffect) -> bool {
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
                bodies.any(|body| self.is_reached_by_record(body))
            }
            ControlEffect::SendRequest { service, .. } => {
                self == Self::Send && service.as_str() == "ask-once"
            }
            ControlEffect::WriteSnapshot { .. } => self == Self::Snapshot,
            ControlEffect::LogLine { line, .. } => self == Self::ShutDown && line == "draining",
            _ => false,
        }
    }

    const fn is_reached_by_record(self, body: &RecordBody) -> bool {
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

/// Returns the index of the daemon that holds the term.
pub fn planner(driver: &SimDriver) -> Option<usize> {
    let holder = ledger::term_holder(driver.ledger())?;
    (0..driver.daemon_count()).find(|daemon| driver.settings(*daemon).daemon == *holder)
}

/// Returns the workers of the gang, or none unless it is placed.
pub fn gang_workers(driver: &SimDriver) -> Vec<WorkerName> {
    let mut jobs = driver.ledger().jobs.values();
    let gang = jobs.find(|job| job.order.service.as_str() == "gang");
    match gang.map(|job| &job.phase) {
        Some(JobPhase::Placed { workers, .. }) => workers.clone(),
        _ => Vec::new(),
    }
}

/// Kills one worker of the gang, which makes the planner checkpoint and stop the other members.
fn kill_gang_member(driver: &mut SimDriver) {
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

fn has_task(driver: &SimDriver, predicate: impl Fn(&TaskPhase) -> bool) -> bool {
    let models = driver.workers().values();
    let mut statuses = models.flat_map(|model| model.tasks(driver.now()));
    statuses.any(|status| predicate(&status.phase))
}

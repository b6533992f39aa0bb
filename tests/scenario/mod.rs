//! Scenarios of the fault tests: a simulated deployment with clients, injected faults and invariant
//! checks.

pub mod client;
pub mod fault;
pub mod fixture;
pub mod step;

use self::client::ClientOperation;
use self::fault::FaultPlan;
use self::step::ScenarioStep;
use mustardpath_core::effect::JobEnd;
use mustardpath_core::ledger::JobPhase;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::TaskPhase;
use mustardpath_standin::driver::SimDriver;

/// Interval at which clients poll for answers.
const POLL_INTERVAL: TimeSpan = TimeSpan(100);

/// Number of small jobs and the interval between them. They arrive throughout the run, so each
/// fault coincides with several starts.
const SMALL_JOBS: usize = 20;
const SMALL_JOB_INTERVAL: TimeSpan = TimeSpan(1_500);

/// Longest time from the end of the faults to the end of all work: the lease of a lost worker, its
/// quarantine and two more runs of the gang.
const COMPLETION_TIMEOUT: TimeSpan = TimeSpan::from_secs(600);

/// Longest time from the end of the work until no worker has an active task: one lease and the
/// clock margin.
const CLEANUP_TIMEOUT: TimeSpan = TimeSpan(45_500);

/// A simulated deployment with its clients.
pub struct ScenarioRun {
    pub driver: SimDriver,
    /// Operations of the clients, finished ones included.
    pub operations: Vec<ClientOperation>,
    small_job_count: usize,
    next_small_job_at: ClockTime,
}

impl ScenarioRun {
    /// Starts a deployment and its clients.
    pub fn new(is_tracing: bool) -> Self {
        let driver = fixture::start(is_tracing);
        Self {
            next_small_job_at: driver.now() + SMALL_JOB_INTERVAL,
            driver,
            operations: ClientOperation::standard_set(),
            small_job_count: 0,
        }
    }

    /// Polls all operations and adds the next small job when it is due.
    fn poll_clients(&mut self) {
        if self.small_job_count < SMALL_JOBS && self.driver.now() >= self.next_small_job_at {
            self.operations
                .push(ClientOperation::small_job(self.small_job_count));
            self.small_job_count += 1;
            self.next_small_job_at = self.driver.now() + SMALL_JOB_INTERVAL;
        }
        for operation in &mut self.operations {
            operation.poll(&mut self.driver);
        }
    }

    /// Runs until the condition holds or the span has passed. Returns whether the condition held.
    pub fn advance_until(
        &mut self,
        span: TimeSpan,
        condition: impl Fn(&SimDriver) -> bool,
    ) -> bool {
        let end = self.driver.now() + span;
        while self.driver.now() < end {
            self.poll_clients();
            if self.driver.run_until(POLL_INTERVAL, &condition) {
                return true;
            }
        }
        false
    }

    /// Runs until the span has passed.
    pub fn advance(&mut self, span: TimeSpan) {
        self.advance_until(span, |_| false);
    }

    /// Runs until all work has ended and no worker has an active task.
    pub fn run_to_completion(&mut self) {
        let end = self.driver.now() + COMPLETION_TIMEOUT;
        while self.driver.now() < end && !self.is_complete() {
            self.advance(TimeSpan::from_secs(1));
        }
        let is_idle = |driver: &SimDriver| active_tasks(driver).is_empty();
        self.advance_until(CLEANUP_TIMEOUT, is_idle);
        // A configuration change reaches all daemons within 10 s.
        self.advance(TimeSpan::from_secs(10));
    }

    fn is_complete(&self) -> bool {
        self.small_job_count == SMALL_JOBS
            && self.operations.iter().all(|operation| operation.is_done)
            && self.driver.checker.unfinished_jobs().is_empty()
    }

    /// Returns all violations, one line each. With `requires_success`, a repeatable job that ended
    /// without success is a violation.
    pub fn violations(&mut self, requires_success: bool) -> Vec<String> {
        let mut lines = self.driver.violations();
        let unanswered = self
            .operations
            .iter()
            .filter(|operation| !operation.is_done);
        lines.extend(
            unanswered.map(|operation| {
                format!("no answer: {} ({})", operation.name, operation.last_result)
            }),
        );
        let active = active_tasks(&self.driver);
        lines.extend(
            active
                .into_iter()
                .map(|line| format!("left on worker: {line}")),
        );
        lines.extend(self.stale_daemons());
        if requires_success {
            lines.extend(self.failed_repeatable_jobs());
        }
        lines
    }

    /// Returns the daemons whose configuration version differs from the committed one.
    fn stale_daemons(&self) -> Vec<String> {
        let logged_version = self.driver.ledger().config.version;
        let daemons = 0..self.driver.daemon_count();
        let stale = daemons.filter_map(|daemon| {
            let version = self.driver.state(daemon)?.ledger.config.version;
            (version != logged_version)
                .then(|| format!("stale configuration: daemon {daemon} at {version}"))
        });
        stale.collect()
    }

    /// Returns the repeatable jobs that ended without success.
    fn failed_repeatable_jobs(&self) -> Vec<String> {
        let jobs = self.driver.ledger().jobs.iter();
        let ends = jobs.filter_map(|(job, record)| match &record.phase {
            JobPhase::Ended { end, .. } if record.order.spec.repeatable => Some((job, end)),
            _ => None,
        });
        ends.filter(|(_, end)| !matches!(end, JobEnd::Finished { .. }))
            .map(|(job, end)| format!("lost work: job {job} ended as {end:?}"))
            .collect()
    }
}

fn active_tasks(driver: &SimDriver) -> Vec<String> {
    let mut lines = Vec::new();
    for (worker, model) in driver.workers() {
        for status in model.tasks(driver.now()) {
            if matches!(status.phase, TaskPhase::Running | TaskPhase::Reserved) {
                lines.push(format!("{worker}: {:?} {:?}", status.task, status.phase));
            }
        }
    }
    lines
}

/// Runs one cell of the fault matrix. Returns the violations and the trace, which is empty unless
/// `is_tracing` is set.
pub fn run_cell(
    step: ScenarioStep,
    plan: &FaultPlan,
    is_tracing: bool,
) -> (Vec<String>, Vec<String>) {
    let mut run = ScenarioRun::new(is_tracing);
    let repetitions = if plan.is_repeated { 2 } else { 1 };
    let mut violations = Vec::new();
    for repetition in 0..repetitions {
        match step.reach(&mut run) {
            Some(daemon) => plan.inject_and_heal(&mut run, daemon),
            None if repetition == 0 => violations.push("the step was not reached".to_owned()),
            None => {}
        }
        fixture::restore_all_domains(&mut run);
    }
    run.run_to_completion();
    violations.extend(run.violations(step.requires_success() && plan.requires_success()));
    (violations, run.driver.trace().to_vec())
}

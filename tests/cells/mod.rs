//! Cells of the fault matrix: a small deployment with work, a step, a fault and the checks.

pub mod client;
pub mod fault;
pub mod scene;
pub mod step;

use self::client::CallerOrder;
use self::fault::CellFault;
use self::step::CellStep;
use mustardpath_core::effect::JobEnd;
use mustardpath_core::ledger::JobPhase;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::TaskPhase;
use mustardpath_standin::driver::SimDriver;

/// Time between two looks of the callers at their answers.
const LOOK: TimeSpan = TimeSpan(100);

/// Small jobs of a cell and the time between two of them, so that each fault meets a few starts.
const SMALL_JOBS: usize = 20;
const SMALL_INTERVAL: TimeSpan = TimeSpan(1_500);

/// Longest time from the end of a fault until all work has ended: the lease of a lost worker, its
/// quarantine and two more runs of the gang.
const SETTLE: TimeSpan = TimeSpan::from_secs(600);

/// Longest time from the end of the work until no worker holds a task: one lease and its margin.
const CLEAN_UP: TimeSpan = TimeSpan(45_500);

/// A deployment with its callers.
pub struct CellRun {
    /// The deployment.
    pub driver: SimDriver,
    /// The callers' work.
    pub orders: Vec<CallerOrder>,
    small_jobs: usize,
    next_small: ClockTime,
}

impl CellRun {
    /// Starts a deployment and its callers.
    pub fn new(tracing: bool) -> Self {
        let driver = scene::start(tracing);
        Self {
            next_small: driver.now() + SMALL_INTERVAL,
            driver,
            orders: CallerOrder::all(),
            small_jobs: 0,
        }
    }

    /// Lets all callers look at their answers, and a new one arrive when that is due.
    fn pump(&mut self) {
        if self.small_jobs < SMALL_JOBS && self.driver.now() >= self.next_small {
            self.orders.push(CallerOrder::small(self.small_jobs));
            self.small_jobs += 1;
            self.next_small = self.driver.now() + SMALL_INTERVAL;
        }
        for order in &mut self.orders {
            order.pump(&mut self.driver);
        }
    }

    /// Runs until the condition holds. Returns whether it did within the span.
    pub fn advance_until(
        &mut self,
        span: TimeSpan,
        condition: impl Fn(&SimDriver) -> bool,
    ) -> bool {
        let end = self.driver.now() + span;
        while self.driver.now() < end {
            self.pump();
            if self.driver.run_until(LOOK, &condition) {
                return true;
            }
        }
        false
    }

    /// Runs for a span.
    pub fn advance(&mut self, span: TimeSpan) {
        self.advance_until(span, |_| false);
    }

    /// Runs until all work has ended and no worker holds a task.
    pub fn settle(&mut self) {
        let end = self.driver.now() + SETTLE;
        while self.driver.now() < end && !self.is_over() {
            self.advance(TimeSpan::from_secs(1));
        }
        let idle = |driver: &SimDriver| busy_workers(driver).is_empty();
        self.advance_until(CLEAN_UP, idle);
        // The configuration is in force everywhere within 10 s.
        self.advance(TimeSpan::from_secs(10));
    }

    fn is_over(&self) -> bool {
        self.small_jobs == SMALL_JOBS
            && self.orders.iter().all(|order| order.done)
            && self.driver.checker.open_jobs().is_empty()
    }

    /// Returns all broken promises as lines.
    pub fn broken(&mut self, spares_work: bool) -> Vec<String> {
        let mut lines = self.driver.broken();
        let open = self.orders.iter().filter(|order| !order.done);
        lines.extend(open.map(|order| format!("no answer: {} ({})", order.name, order.last)));
        let busy = busy_workers(&self.driver);
        lines.extend(
            busy.into_iter()
                .map(|line| format!("left on worker: {line}")),
        );
        lines.extend(self.stale_daemons());
        if spares_work {
            lines.extend(self.unfinished_gangs());
        }
        lines
    }

    /// Returns daemons that do not have the log's configuration.
    fn stale_daemons(&self) -> Vec<String> {
        let truth = self.driver.ledger().config.version;
        let daemons = 0..self.driver.daemons();
        let stale = daemons.filter_map(|daemon| {
            let version = self.driver.state(daemon)?.ledger.config.version;
            (version != truth).then(|| format!("stale configuration: daemon {daemon} at {version}"))
        });
        stale.collect()
    }

    /// Returns repeatable jobs that ended without success although nothing spoils them.
    fn unfinished_gangs(&self) -> Vec<String> {
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

fn busy_workers(driver: &SimDriver) -> Vec<String> {
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

/// Runs one cell. Returns what is broken and, on request, the trace.
pub fn run_cell(step: CellStep, fault: &CellFault, tracing: bool) -> (Vec<String>, Vec<String>) {
    let mut run = CellRun::new(tracing);
    let rounds = if fault.twice { 2 } else { 1 };
    let mut broken = Vec::new();
    for round in 0..rounds {
        match step.reach(&mut run) {
            Some(actor) => fault.run(&mut run, actor),
            None if round == 0 => broken.push("the step was not reached".to_owned()),
            None => {}
        }
        scene::bring_all_back(&mut run);
    }
    run.settle();
    broken.extend(run.broken(step.spares_work() && fault.spares_work()));
    (broken, run.driver.trace().to_vec())
}

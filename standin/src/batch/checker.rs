//! Checker of a simulation's invariants, based on what callers and workers observe.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::worker::BatchWorker;
use crate::batch::worker::WorkerBehavior;
use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::JobPhase;
use mustardpath_core::batch::job::JobSubmission;
use mustardpath_core::batch::job::RunKey;
use mustardpath_core::batch::job::StepKey;
use mustardpath_core::batch::job::TaskDemand;
use mustardpath_core::batch::job::TaskKey;
use mustardpath_core::batch::message::RunEnding;
use mustardpath_core::ids::TeamName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Time for which a cap that was replaced may still be in force at the planner: the bound on a new
/// configuration, and the longest validity of a start that was decided before.
const CAP_CHANGE_TIME: TimeSpan = TimeSpan(2_500 + 4_000);

/// State of a job from its callers' point of view.
#[derive(Clone, Debug, Default)]
pub struct CheckedJob {
    /// The job as submitted.
    pub submission: JobSubmission,
    /// The team that submitted it, if any.
    pub team: Option<TeamName>,
    /// Whether a daemon has accepted a submission.
    pub is_accepted: bool,
    /// Whether a submission ended without a response, or with one that leaves the outcome open.
    pub has_unknown_outcome: bool,
    /// Number of submissions without a response.
    pub open_submissions: u32,
    /// Whether any task was started.
    pub has_started: bool,
    /// Whether a caller has sent a cancellation.
    pub is_cancelled: bool,
}

/// Observations of a simulation and the violations that they show.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    /// All submitted jobs.
    pub jobs: IndexMap<JobKey, CheckedJob>,
    /// Published caps of each team with the times of their publication, the oldest first.
    pub caps: IndexMap<TeamName, Vec<(ClockTime, TaskDemand)>>,
    /// Tasks of which a run has ended with `Done`.
    pub completed: IndexSet<TaskKey>,
    /// Tasks of which the planner has acknowledged a `Done`. They must not start again.
    pub acknowledged_done: IndexSet<TaskKey>,
    /// Runs that ended with `Done` before a later run of their task started. Their ends must not be
    /// acknowledged afterwards.
    pub restarted_done: IndexSet<RunKey>,
    /// Number of acknowledged `Failed` ends of each task.
    pub acknowledged_failures: IndexMap<TaskKey, u32>,
    /// Failed attempts of each task, acknowledged or not.
    pub failed_attempts: IndexMap<TaskKey, IndexSet<u32>>,
    /// Attempts of each step in which a task has failed. A gang fails by these.
    pub failed_step_attempts: IndexMap<StepKey, IndexSet<u32>>,
    /// Descriptions of the violations in order of their detection. Empty in a valid run.
    pub violations: Vec<String>,
    /// Number of executed starts.
    pub start_count: u64,
    /// Number of runs that ended with `Alone` because their gang was incomplete.
    pub incomplete_gang_runs: u64,
}

impl InvariantChecker {
    /// Checks a start that a worker is about to execute: no duplicate runs, no start after the end,
    /// no start of a rejected or unknown job, completed dependencies, the required label, sufficient
    /// capacity and the cap of the team.
    pub fn check_start(
        &mut self,
        run: &RunKey,
        worker: &WorkerName,
        workers: &IndexMap<WorkerName, BatchWorker>,
        max_attempts: u32,
        at: ClockTime,
    ) {
        self.start_count += 1;
        for (other, model) in workers {
            let is_up = model.behavior != WorkerBehavior::Down;
            let mut runs = model.running.keys();
            let duplicate = runs.find(|duplicate| is_up && duplicate.task == run.task);
            if let Some(duplicate) = duplicate {
                self.violations.push(format!(
                    "task runs twice: {run} on {worker}, {duplicate} on {other}"
                ));
            }
        }
        for model in workers.values() {
            let ended = model.ended.iter();
            let done = ended.filter(|row| row.ending == RunEnding::Done);
            let done = done.filter(|row| row.run.task == run.task);
            self.restarted_done.extend(done.map(|row| row.run));
        }
        if self.acknowledged_done.contains(&run.task) && !self.is_long_running(run) {
            self.violations
                .push(format!("start of a completed task: {run}"));
        }
        if self
            .acknowledged_failures
            .get(&run.task)
            .copied()
            .unwrap_or(0)
            >= max_attempts
        {
            self.violations
                .push(format!("start after the last attempt: {run}"));
        }
        let Some(job) = self.jobs.get_mut(&run.task.step.job) else {
            self.violations
                .push(format!("start of an unknown job: {run}"));
            return;
        };
        job.has_started = true;
        if !job.is_accepted && !job.has_unknown_outcome && job.open_submissions == 0 {
            self.violations
                .push(format!("start of a rejected job: {run}"));
        }
        let Some(step) = job.submission.steps.get(run.task.step.step as usize) else {
            self.violations
                .push(format!("start of an unknown step: {run}"));
            return;
        };
        for &earlier in &step.after {
            let count = job.submission.steps[earlier as usize].count;
            let is_done = (0..count).all(|index| {
                let mut task = run.task;
                task.step.step = earlier;
                task.index = index;
                self.completed.contains(&task)
            });
            if !is_done {
                self.violations
                    .push(format!("start before the dependencies completed: {run}"));
            }
        }
        let entry = workers.get(worker).map(|model| &model.entry);
        let labels = entry.map_or(&[][..], |entry| entry.labels.as_slice());
        let required = step.requirement.as_ref();
        if required.is_some_and(|label| !labels.contains(label)) {
            self.violations.push(format!(
                "start without the required label: {run} on {worker}"
            ));
        }
        let demand = step.reserved_demand();
        let declared = step.demand;
        self.check_capacity(run, worker, workers, &demand);
        self.check_cap(run, workers, &declared, at);
    }

    /// Records that a cap of a team was published.
    pub fn record_cap(&mut self, team: TeamName, cap: TaskDemand, at: ClockTime) {
        self.caps.entry(team).or_default().push((at, cap));
    }

    /// Checks that the running work of the task's team with the started task is at most 1.1 times the
    /// highest cap that may be in force, and one task.
    fn check_cap(
        &mut self,
        run: &RunKey,
        workers: &IndexMap<WorkerName, BatchWorker>,
        demand: &TaskDemand,
        at: ClockTime,
    ) {
        let team_of = |run: &RunKey| self.jobs.get(&run.task.step.job)?.team.as_ref();
        let Some(team) = team_of(run) else { return };
        let Some(caps) = self.caps.get(team) else {
            return;
        };
        let is_in_force = |index: usize| {
            let replaced_at = caps.get(index + 1).map(|(replaced_at, _)| *replaced_at);
            replaced_at.is_none_or(|replaced_at| at.since(replaced_at) < CAP_CHANGE_TIME)
        };
        let caps = caps.iter().enumerate();
        let caps = caps.filter(|(index, _)| is_in_force(*index));
        let caps: Vec<TaskDemand> = caps.map(|(_, (_, cap))| *cap).collect();
        let mut used = *demand;
        let up = workers
            .values()
            .filter(|model| model.behavior != WorkerBehavior::Down);
        for other in up.flat_map(|model| model.running.keys()) {
            let job = self.jobs.get(&other.task.step.job);
            let job = job.filter(|job| job.team.as_ref() == Some(team));
            let step = job.and_then(|job| job.submission.steps.get(other.task.step.step as usize));
            if let Some(step) = step {
                used.add(&step.demand);
            }
        }
        let is_over = |used: u64, demand: u64, cap: fn(&TaskDemand) -> u64| {
            let is_limited = caps.iter().all(|caps| cap(caps) > 0);
            let highest = caps.iter().map(cap).max().unwrap_or(0);
            demand > 0 && is_limited && used > highest + highest / 10 + demand
        };
        let dimensions = [
            ("cpu", is_over(used.cpu, demand.cpu, |cap| cap.cpu)),
            (
                "memory",
                is_over(used.memory, demand.memory, |cap| cap.memory),
            ),
            ("gpu", is_over(used.gpu, demand.gpu, |cap| cap.gpu)),
        ];
        let exceeded: Vec<&str> = dimensions
            .into_iter()
            .filter_map(|(name, is_over)| is_over.then_some(name))
            .collect();
        if !exceeded.is_empty() {
            let violation =
                format!("start over the cap of {team}: {run} in {exceeded:?}, {used:?}, {caps:?}");
            self.violations.push(violation);
        }
    }

    /// Checks an end with `Done` that is acknowledged and was kept under an unbroken lease: the task
    /// has not started since. Long-running tasks start again however they end.
    pub fn check_acknowledged_done(&mut self, run: &RunKey) {
        if self.restarted_done.contains(run) && !self.is_long_running(run) {
            self.violations
                .push(format!("a completed task was started again: {run}"));
        }
    }

    /// Checks the final phases of all jobs. An accepted job must have ended, and must have failed
    /// or been cancelled only with cause.
    pub fn check_phases(&mut self, phases: &IndexMap<JobKey, JobPhase>, max_attempts: u32) {
        for (key, job) in &self.jobs {
            if !job.is_accepted {
                if job.has_started && !job.has_unknown_outcome && job.open_submissions == 0 {
                    self.violations
                        .push(format!("rejected job has started: {}", key.text()));
                }
                continue;
            }
            let phase = phases.get(key).copied();
            let has_exhausted_attempts = self.has_exhausted_attempts(key, job, max_attempts);
            let is_valid = match phase {
                Some(JobPhase::Completed) => true,
                Some(JobPhase::Failed) => has_exhausted_attempts,
                Some(JobPhase::Cancelled) => job.is_cancelled,
                Some(JobPhase::Queued | JobPhase::Running) | None => false,
            };
            if !is_valid {
                self.violations
                    .push(format!("job {} is reported as {phase:?}", key.text()));
            }
        }
    }

    /// Returns whether the step of a run is long-running.
    fn is_long_running(&self, run: &RunKey) -> bool {
        let job = self.jobs.get(&run.task.step.job);
        let step = job.and_then(|job| job.submission.steps.get(run.task.step.step as usize));
        step.is_some_and(|step| step.long_running)
    }

    /// Records a run that has ended with `Failed`.
    pub fn record_failure(&mut self, run: &RunKey) {
        let runs = self.failed_attempts.entry(run.task).or_default();
        runs.insert(run.attempt);
        let steps = self.failed_step_attempts.entry(run.task.step).or_default();
        steps.insert(run.attempt);
    }

    /// Returns whether a task or a gang of a job has used all its attempts.
    fn has_exhausted_attempts(&self, key: &JobKey, job: &CheckedJob, max_attempts: u32) -> bool {
        let is_exhausted = |attempts: &IndexSet<u32>| attempts.len() >= max_attempts as usize;
        let tasks = self.failed_attempts.iter();
        let mut tasks = tasks.filter(|(task, _)| task.step.job == *key);
        let steps = self.failed_step_attempts.iter();
        let mut gangs = steps.filter(|(step, _)| {
            let definition = job.submission.steps.get(step.step as usize);
            step.job == *key && definition.is_some_and(|definition| definition.gang)
        });
        tasks.any(|(_, attempts)| is_exhausted(attempts))
            || gangs.any(|(_, attempts)| is_exhausted(attempts))
    }

    fn check_capacity(
        &mut self,
        run: &RunKey,
        worker: &WorkerName,
        workers: &IndexMap<WorkerName, BatchWorker>,
        demand: &TaskDemand,
    ) {
        let Some(model) = workers.get(worker) else {
            return;
        };
        let mut used = *demand;
        for other in model.running.keys() {
            let job = self.jobs.get(&other.task.step.job);
            let step = job.and_then(|job| job.submission.steps.get(other.task.step.step as usize));
            if let Some(step) = step {
                used.add(&step.reserved_demand());
            }
        }
        if !used.fits(&model.entry.capacity) {
            self.violations
                .push(format!("over capacity: {run} on {worker}"));
        }
    }
}

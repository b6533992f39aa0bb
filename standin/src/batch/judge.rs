//! The judge of a run: what callers and workers saw, held against the promises.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::worker::BatchWorker;
use crate::batch::worker::WorkerMood;
use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::JobPhase;
use mustardpath_core::batch::job::JobSubmission;
use mustardpath_core::batch::job::RunKey;
use mustardpath_core::batch::job::StepKey;
use mustardpath_core::batch::job::TaskDemand;
use mustardpath_core::batch::job::TaskKey;
use mustardpath_core::ids::WorkerName;

/// What became of a job's submissions.
#[derive(Clone, Debug, Default)]
pub struct JudgedJob {
    /// What the caller handed in.
    pub submission: JobSubmission,
    /// Whether a submission was confirmed.
    pub accepted: bool,
    /// Whether the outcome of a submission is unknown.
    pub unclear: bool,
    /// Submissions that were not answered yet.
    pub open: u32,
    /// Whether a task of it was started.
    pub started: bool,
    /// Whether a cancellation was sent.
    pub cancelled: bool,
}

/// The judge of a run.
#[derive(Clone, Debug, Default)]
pub struct BatchJudge {
    /// The jobs.
    pub jobs: IndexMap<JobKey, JudgedJob>,
    /// Tasks that have ended `done`.
    pub worked: IndexSet<TaskKey>,
    /// Tasks with an end `done` that was acknowledged.
    pub done: IndexSet<TaskKey>,
    /// Acknowledged ends `failed` of each task.
    pub failed: IndexMap<TaskKey, u32>,
    /// Attempts of each task that have failed, acknowledged or not.
    pub failed_runs: IndexMap<TaskKey, IndexSet<u32>>,
    /// Attempts of each step of which a task has failed, which is what counts for a gang.
    pub failed_steps: IndexMap<StepKey, IndexSet<u32>>,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Starts that were carried out.
    pub starts: u64,
    /// Runs of gangs that ended because other members did not come.
    pub alone: u64,
}

impl BatchJudge {
    /// Judges a start that a worker is about to carry out.
    pub fn start(
        &mut self,
        run: &RunKey,
        worker: &WorkerName,
        workers: &IndexMap<WorkerName, BatchWorker>,
        max_attempts: u32,
    ) {
        self.starts += 1;
        for (other, model) in workers {
            let is_up = model.mood != WorkerMood::Down;
            let mut runs = model.running.keys();
            let twin = runs.find(|twin| is_up && twin.task == run.task);
            if let Some(twin) = twin {
                self.broken
                    .push(format!("twice: {run} on {worker}, {twin} on {other}"));
            }
        }
        if self.done.contains(&run.task) {
            self.broken.push(format!("start after the end: {run}"));
        }
        if self.failed.get(&run.task).copied().unwrap_or(0) >= max_attempts {
            self.broken.push(format!("attempts used up: {run}"));
        }
        let Some(job) = self.jobs.get_mut(&run.task.step.job) else {
            self.broken.push(format!("nobody sent it: {run}"));
            return;
        };
        job.started = true;
        if !job.accepted && !job.unclear && job.open == 0 {
            self.broken.push(format!("it was rejected: {run}"));
        }
        let Some(step) = job.submission.steps.get(run.task.step.step as usize) else {
            self.broken.push(format!("no such step: {run}"));
            return;
        };
        for &earlier in &step.after {
            let count = job.submission.steps[earlier as usize].count;
            let is_done = (0..count).all(|index| {
                let mut task = run.task;
                task.step.step = earlier;
                task.index = index;
                self.worked.contains(&task)
            });
            if !is_done {
                self.broken.push(format!("before its turn: {run}"));
            }
        }
        let demand = step.reserved_demand();
        self.room(run, worker, workers, &demand);
    }

    /// Judges what became of the jobs when all is quiet.
    pub fn finish(&mut self, shown: &IndexMap<JobKey, JobPhase>, max_attempts: u32) {
        for (key, job) in &self.jobs {
            if !job.accepted {
                if job.started && !job.unclear && job.open == 0 {
                    self.broken.push(format!("it was rejected: {}", key.text()));
                }
                continue;
            }
            let phase = shown.get(key).copied();
            let has_failed = self.has_failed(key, job, max_attempts);
            let is_right = match phase {
                Some(JobPhase::Completed) => true,
                Some(JobPhase::Failed) => has_failed,
                Some(JobPhase::Cancelled) => job.cancelled,
                Some(JobPhase::Queued | JobPhase::Running) | None => false,
            };
            if !is_right {
                self.broken
                    .push(format!("job {} is shown as {phase:?}", key.text()));
            }
        }
    }

    /// Notes that a run has ended `failed`.
    pub fn run_failed(&mut self, run: &RunKey) {
        let runs = self.failed_runs.entry(run.task).or_default();
        runs.insert(run.attempt);
        let steps = self.failed_steps.entry(run.task.step).or_default();
        steps.insert(run.attempt);
    }

    /// Tells whether a task or a gang of a job has used up its attempts.
    fn has_failed(&self, key: &JobKey, job: &JudgedJob, max_attempts: u32) -> bool {
        let is_used_up = |attempts: &IndexSet<u32>| attempts.len() >= max_attempts as usize;
        let tasks = self.failed_runs.iter();
        let mut tasks = tasks.filter(|(task, _)| task.step.job == *key);
        let steps = self.failed_steps.iter();
        let mut gangs = steps.filter(|(step, _)| {
            let definition = job.submission.steps.get(step.step as usize);
            step.job == *key && definition.is_some_and(|definition| definition.gang)
        });
        tasks.any(|(_, attempts)| is_used_up(attempts))
            || gangs.any(|(_, attempts)| is_used_up(attempts))
    }

    fn room(
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
            self.broken
                .push(format!("over capacity: {run} on {worker}"));
        }
    }
}

//! State of one replay: workers, jobs, timers and metrics.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;

use crate::replay_metrics::ReplayMetrics;
use mustardpath_core::config::TeamFile;
use mustardpath_core::fleet::FleetIndex;
use mustardpath_core::guarantee::PinnedTask;
use mustardpath_core::guarantee::build_layout;
use mustardpath_core::health::JobVerdict;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::TeamName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::placement::GangShape;
use mustardpath_core::policy::EndObservation;
use mustardpath_core::policy::ObservedEnd;
use mustardpath_core::policy::PolicyKind;
use mustardpath_core::policy::PolicyState;
use mustardpath_core::policy::PolicyView;
use mustardpath_core::policy::RunningJob;
use mustardpath_core::policy::WaitingJob;
use mustardpath_core::policy::WorkerSlot;
use mustardpath_core::queue::AccountTable;
use mustardpath_core::record::JobOrder;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Time from a placement to the start, for the reservation, the append, the read and the start
/// order.
pub(crate) const START_DELAY_MS: u64 = 500;

/// An accepted job that has not ended. `run` is `None` while the job waits.
pub(crate) struct ReplayJob {
    pub(crate) order: JobOrder,
    pub(crate) actual_ms: u64,
    pub(crate) is_faulty: bool,
    pub(crate) accepted_ms: u64,
    pub(crate) checkpoint_ms: u64,
    pub(crate) failed_on: Vec<WorkerName>,
    pub(crate) run: Option<ReplayRun>,
    /// Whether the job was urgent and within its team's guarantee at its submission, and has not
    /// started since.
    pub(crate) awaits_guaranteed_start: bool,
}

/// The current attempt of a placed job.
pub(crate) struct ReplayRun {
    pub(crate) attempt: u64,
    pub(crate) workers: Vec<WorkerName>,
    pub(crate) placed_ms: u64,
    pub(crate) is_stopping: bool,
}

/// Event of one attempt that a timer triggers. Timers of the same time fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    Finish,
    Fail,
    CompleteStop,
    Replan,
}

/// Time in Unix milliseconds, kind, job and attempt. The heap yields the earliest entry first.
pub(crate) type TimerEntry = Reverse<(u64, TimerKind, JobId, u64)>;

/// State of one replay. Vectors of flags have the order of `workers`.
pub(crate) struct ReplayState {
    pub(crate) now_ms: u64,
    pub(crate) workers: IndexMap<WorkerName, WorkerSlot>,
    pub(crate) unpowered_workers: Vec<bool>,
    pub(crate) faulty_workers: Vec<bool>,
    pub(crate) teams: IndexMap<TeamName, TeamFile>,
    pub(crate) jobs: IndexMap<JobId, ReplayJob>,
    pub(crate) policy: PolicyState,
    pub(crate) policy_kind: PolicyKind,
    pub(crate) timers: BinaryHeap<TimerEntry>,
    pub(crate) last_attempt: u64,
    pub(crate) metrics: ReplayMetrics,
    pub(crate) largest_guarantee: Option<GangShape>,
    pub(crate) fragmentation: Option<f64>,
    pub(crate) outage_start_ms: Option<u64>,
}

/// Returns the number of accelerators of all members together.
pub(crate) fn accelerator_count(order: &JobOrder) -> u64 {
    u64::from(order.spec.members) * u64::from(order.spec.demand.accelerators)
}

impl ReplayState {
    /// Returns whether a job fits in its team's guarantee together with all unfinished jobs of the
    /// team.
    pub(crate) fn is_within_guarantee(&self, order: &JobOrder) -> bool {
        let (waiting, running) = self.views();
        let view = self.view(&waiting, &running);
        let mut accounts = AccountTable::new(&view);
        for job in waiting.iter().filter(|job| job.order.team == order.team) {
            accounts.add(job.order);
        }
        accounts.admits(order)
    }

    pub(crate) fn views(&self) -> (Vec<WaitingJob<'_>>, Vec<RunningJob<'_>>) {
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for (job, entry) in &self.jobs {
            match &entry.run {
                None => waiting.push(WaitingJob {
                    job: *job,
                    order: &entry.order,
                    accepted_at: ClockTime(entry.accepted_ms),
                    checkpoint: TimeSpan(entry.checkpoint_ms),
                    failed_on: &entry.failed_on,
                }),
                Some(run) => running.push(RunningJob {
                    job: *job,
                    order: &entry.order,
                    workers: &run.workers,
                    placed_at: ClockTime(run.placed_ms),
                    checkpoint: TimeSpan(entry.checkpoint_ms),
                    is_stopping: run.is_stopping,
                }),
            }
        }
        (waiting, running)
    }

    pub(crate) fn view<'a>(
        &'a self,
        waiting: &'a [WaitingJob<'a>],
        running: &'a [RunningJob<'a>],
    ) -> PolicyView<'a> {
        PolicyView {
            at: ClockTime(self.now_ms),
            kind: self.policy_kind,
            workers: &self.workers,
            waiting,
            running,
            teams: &self.teams,
            moves_per_hour: 4,
        }
    }

    /// Records a violation if jobs that cannot be preempted block guaranteed shapes that would fit
    /// on the usable workers without them.
    pub(crate) fn check_guarantees(&mut self) {
        let fleet = FleetIndex::new(&self.workers);
        let mut pinned = Vec::new();
        for job in self
            .jobs
            .values()
            .filter(|job| !job.order.spec.can_be_preempted())
        {
            for worker in job.run.iter().flat_map(|run| &run.workers) {
                if let Some(worker) = self.workers.get_index_of(worker) {
                    pinned.push(PinnedTask {
                        team: &job.order.team,
                        worker,
                        demand: job.order.spec.demand,
                    });
                }
            }
        }
        let unplaced_before = build_layout(&fleet, &self.teams, &[]).unplaced_count();
        if build_layout(&fleet, &self.teams, &pinned).unplaced_count() > unplaced_before {
            ReplayMetrics::increment(&mut self.metrics.violations, "guarantee");
        }
    }

    pub(crate) fn progress_ms(&self, job: &ReplayJob) -> u64 {
        let run = job.run.as_ref();
        let elapsed_ms = run.map_or(0, |run| {
            self.now_ms.saturating_sub(run.placed_ms + START_DELAY_MS)
        });
        (job.checkpoint_ms + elapsed_ms).min(job.actual_ms)
    }

    pub(crate) fn observe_end(
        &mut self,
        id: JobId,
        failed: Option<&WorkerName>,
        is_stopped: bool,
    ) -> JobVerdict {
        let job = &self.jobs[&id];
        let workers = job.run.as_ref().map_or(&[][..], |run| &run.workers);
        let observation = EndObservation {
            at: ClockTime(self.now_ms),
            job: id,
            order: &job.order,
            workers,
            failed_on: &job.failed_on,
            progress: TimeSpan(self.progress_ms(job)),
            end: match failed {
                Some(worker) => ObservedEnd::Failed { worker },
                None if is_stopped => ObservedEnd::Other,
                None => ObservedEnd::Finished,
            },
        };
        self.policy.observe_end(&observation)
    }

    /// Releases the workers of a job's attempt and records its progress since the last checkpoint.
    pub(crate) fn release_workers(&mut self, id: JobId) {
        let progress_ms = self.progress_ms(&self.jobs[&id]);
        let job = &mut self.jobs[&id];
        let accelerators = accelerator_count(&job.order);
        self.metrics.total_progress_ms += (progress_ms - job.checkpoint_ms) * accelerators;
        for worker in job.run.take().iter().flat_map(|run| &run.workers) {
            self.workers[worker].free.add(&job.order.spec.demand);
        }
    }

    /// Releases the workers of a job's attempt and records its progress since the last checkpoint
    /// as lost.
    pub(crate) fn discard_attempt(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        let lost_ms = (self.progress_ms(job) - job.checkpoint_ms) * accelerator_count(&job.order);
        self.metrics.lost_progress_ms += lost_ms;
        if self.outage_start_ms.is_some() {
            self.metrics.outage_progress_ms -= lost_ms.cast_signed();
        }
        self.release_workers(id);
    }

    pub(crate) fn end_job(&mut self, id: JobId, name: &'static str) {
        ReplayMetrics::increment(&mut self.metrics.job_ends, name);
        self.jobs.shift_remove(&id);
    }

    /// Ends all remaining jobs as unfinished. Their time so far counts as completion time.
    pub(crate) fn end_unfinished_jobs(&mut self) {
        for (_, job) in std::mem::take(&mut self.jobs) {
            ReplayMetrics::increment(&mut self.metrics.job_ends, "unfinished");
            let span_ms = self.now_ms - job.accepted_ms;
            self.metrics.record_completion(&job.order.service, span_ms);
        }
    }
}

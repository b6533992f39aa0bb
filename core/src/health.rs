//! Worker health: quarantines workers that fail all jobs and identifies jobs that fail on all
//! workers.

use indexmap::IndexMap;

use crate::ids::JobId;
use crate::ids::TeamName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Sliding window of failures that count towards a quarantine.
const FAILURE_WINDOW: TimeSpan = TimeSpan::from_secs(600);
/// Minimum number of distinct jobs that fail on a worker before its quarantine, and of healthy
/// workers on which a job fails before it is faulty.
const MIN_DISTINCT_FAILURES: usize = 3;
/// Minimum number of distinct teams whose jobs fail on a worker, because a bad release of one team
/// fails on every worker.
const MIN_DISTINCT_TEAMS: usize = 2;
/// Delay before the first probe.
const INITIAL_PROBE_DELAY: TimeSpan = TimeSpan::from_secs(30);
/// Maximum delay between probes.
const MAX_PROBE_DELAY: TimeSpan = TimeSpan::from_secs(600);
/// Time for which a success is evidence that a worker is healthy.
const SUCCESS_WINDOW: TimeSpan = TimeSpan::from_secs(86_400);
/// Maximum number of failures kept for each worker.
const MAX_KEPT_FAILURES: usize = 32;

plain_data! {
    /// One failure on a worker.
    pub struct WorkerFailure {
        /// Time of the failure.
        pub at: ClockTime,
        /// Job that failed.
        pub job: JobId,
        /// Team of the job.
        pub team: TeamName,
    }

    /// Quarantine of a worker.
    #[derive(Copy)]
    pub struct WorkerQuarantine {
        /// Earliest time of the next probe.
        pub probe_at: ClockTime,
        /// Delay after the next failed probe; doubles with each failed probe.
        pub delay: TimeSpan,
        /// Job that currently probes the worker.
        pub probe: Option<JobId>,
    }

    /// Health of one worker.
    #[derive(Default)]
    pub struct WorkerHealth {
        failures: Vec<WorkerFailure>,
        /// Last two distinct jobs that succeeded, with the time of their success.
        successes: Vec<(ClockTime, JobId)>,
        /// Present while the worker is quarantined.
        quarantine: Option<WorkerQuarantine>,
    }

    /// Health of all workers.
    #[derive(Default)]
    pub struct HealthTable {
        workers: IndexMap<WorkerName, WorkerHealth>,
    }

    /// Conclusion about a job after a failure.
    #[derive(Copy)]
    pub enum JobVerdict {
        /// The job may be retried.
        Retry,
        /// The job failed on workers that succeed with other jobs, so its own work is at fault.
        Faulty,
    }
}

impl WorkerHealth {
    fn should_quarantine(&self, at: ClockTime) -> bool {
        let last_success = self.successes.iter().map(|(at, _)| *at).max();
        let mut jobs = Vec::new();
        let mut teams = Vec::new();
        for failure in &self.failures {
            let counts = at.since(failure.at) <= FAILURE_WINDOW && last_success < Some(failure.at);
            if counts && !jobs.contains(&failure.job) {
                jobs.push(failure.job);
                if !teams.contains(&&failure.team) {
                    teams.push(&failure.team);
                }
            }
        }
        jobs.len() >= MIN_DISTINCT_FAILURES && teams.len() >= MIN_DISTINCT_TEAMS
    }

    fn has_succeeded_with_others(&self, job: JobId, at: ClockTime) -> bool {
        self.successes
            .iter()
            .any(|(when, other)| *other != job && at.since(*when) <= SUCCESS_WINDOW)
    }

    fn add_failure(&mut self, failure: WorkerFailure) {
        let at = failure.at;
        let probed = failure.job;
        self.failures
            .retain(|old| at.since(old.at) <= FAILURE_WINDOW);
        if self.failures.len() >= MAX_KEPT_FAILURES {
            self.failures.remove(0);
        }
        self.failures.push(failure);
        let exceeds_limit = self.should_quarantine(at);
        match &mut self.quarantine {
            Some(quarantine) if quarantine.probe == Some(probed) => {
                quarantine.probe = None;
                quarantine.probe_at = at + quarantine.delay;
                quarantine.delay = TimeSpan((quarantine.delay.0 * 2).min(MAX_PROBE_DELAY.0));
            }
            Some(_) => {}
            None if exceeds_limit => {
                self.quarantine = Some(WorkerQuarantine {
                    probe_at: at + INITIAL_PROBE_DELAY,
                    delay: TimeSpan(INITIAL_PROBE_DELAY.0 * 2),
                    probe: None,
                });
            }
            None => {}
        }
    }

    fn add_success(&mut self, job: JobId, at: ClockTime) {
        self.failures.clear();
        self.quarantine = None;
        self.successes.retain(|(_, other)| *other != job);
        if self.successes.len() >= 2 {
            self.successes.remove(0);
        }
        self.successes.push((at, job));
    }

    fn remove_failures_of(&mut self, job: JobId, at: ClockTime) {
        self.failures.retain(|failure| failure.job != job);
        if self.quarantine.is_some() && !self.should_quarantine(at) {
            self.quarantine = None;
        }
    }
}

impl HealthTable {
    /// Records that a job succeeded on its workers, which ends their quarantine.
    pub fn record_success(&mut self, workers: &[WorkerName], job: JobId, at: ClockTime) {
        for worker in workers {
            self.workers
                .entry(worker.clone())
                .or_default()
                .add_success(job, at);
        }
    }

    /// Records that a job failed on a worker. `failed_on` lists the workers of the job's failed
    /// attempts and may omit this one.
    pub fn record_failure(
        &mut self,
        worker: &WorkerName,
        failed_on: &[WorkerName],
        failure: WorkerFailure,
    ) -> JobVerdict {
        let (job, at) = (failure.job, failure.at);
        self.workers
            .entry(worker.clone())
            .or_default()
            .add_failure(failure);
        let mut healthy: Vec<&WorkerName> = Vec::new();
        for name in failed_on.iter().chain([worker]) {
            let health = self.workers.get(name);
            if health.is_some_and(|health| health.has_succeeded_with_others(job, at))
                && !healthy.contains(&name)
            {
                healthy.push(name);
            }
        }
        if healthy.len() < MIN_DISTINCT_FAILURES {
            return JobVerdict::Retry;
        }
        for health in self.workers.values_mut() {
            health.remove_failures_of(job, at);
        }
        JobVerdict::Faulty
    }

    /// Ends a job's probe without counting it as a success or a failure.
    pub fn release_probe(&mut self, workers: &[WorkerName], job: JobId) {
        for worker in workers {
            let health = self.workers.get_mut(worker);
            if let Some(quarantine) = health.and_then(|health| health.quarantine.as_mut()) {
                quarantine.probe = quarantine.probe.filter(|probe| *probe != job);
            }
        }
    }

    /// Returns the quarantine of a worker, or `None` when the worker is in use.
    #[must_use]
    pub fn quarantine(&self, worker: &WorkerName) -> Option<&WorkerQuarantine> {
        self.workers.get(worker)?.quarantine.as_ref()
    }

    /// Returns whether any worker is quarantined.
    #[must_use]
    pub fn has_quarantine(&self) -> bool {
        self.workers
            .values()
            .any(|health| health.quarantine.is_some())
    }

    /// Records that a job probes a worker.
    pub fn start_probe(&mut self, worker: &WorkerName, job: JobId) {
        let health = self.workers.get_mut(worker);
        if let Some(quarantine) = health.and_then(|health| health.quarantine.as_mut()) {
            quarantine.probe = Some(job);
        }
    }

    /// Returns the quarantined workers whose probe is due and not yet running.
    #[must_use]
    pub fn due_probes(&self, at: ClockTime) -> Vec<&WorkerName> {
        let due = |health: &WorkerHealth| {
            health
                .quarantine
                .is_some_and(|entry| entry.probe.is_none() && entry.probe_at <= at)
        };
        self.workers
            .iter()
            .filter(|(_, health)| due(health))
            .map(|(worker, _)| worker)
            .collect()
    }

    /// Returns the earliest time at which a probe becomes due.
    #[must_use]
    pub fn next_probe_at(&self) -> Option<ClockTime> {
        self.workers
            .values()
            .filter_map(|health| health.quarantine)
            .filter(|entry| entry.probe.is_none())
            .map(|entry| entry.probe_at)
            .min()
    }

    /// Removes workers that are no longer in the fleet and probes by jobs that no longer exist.
    pub fn prune(&mut self, known: impl Fn(&WorkerName) -> bool, active: impl Fn(JobId) -> bool) {
        self.workers.retain(|worker, _| known(worker));
        for health in self.workers.values_mut() {
            if let Some(quarantine) = &mut health.quarantine {
                quarantine.probe = quarantine.probe.filter(|job| active(*job));
            }
        }
    }
}

//! Workers that fail everything, told apart from jobs that fail everywhere.

use indexmap::IndexMap;

use crate::ids::JobId;
use crate::ids::TeamName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Window of the failures that count against a worker.
const FAILURE_WINDOW: TimeSpan = TimeSpan::from_secs(600);
/// Different jobs that have to fail on a worker, and different workers that a job has to fail on.
const MIN_DISTINCT_FAILURES: usize = 3;
/// Different teams whose jobs have to fail, because one team's bad release fails everywhere.
const MIN_DISTINCT_TEAMS: usize = 2;
/// Delay before the first probe.
const INITIAL_PROBE_DELAY: TimeSpan = TimeSpan::from_secs(30);
/// Longest delay between probes.
const MAX_PROBE_DELAY: TimeSpan = TimeSpan::from_secs(600);
/// Age up to which a success shows that a worker works.
const SUCCESS_WINDOW: TimeSpan = TimeSpan::from_secs(86_400);
/// Failures kept for each worker.
const MAX_KEPT_FAILURES: usize = 32;

plain_data! {
    /// One failure on a worker.
    pub struct WorkerFailure {
        /// When.
        pub at: ClockTime,
        /// The job.
        pub job: JobId,
        /// Its team.
        pub team: TeamName,
    }

    /// Quarantine of a worker.
    #[derive(Copy)]
    pub struct WorkerQuarantine {
        /// When the next probe may start.
        pub probe_at: ClockTime,
        /// Delay after the next failed probe.
        pub delay: TimeSpan,
        /// The job that probes the worker.
        pub probe: Option<JobId>,
    }

    /// What is known of one worker.
    #[derive(Default)]
    pub struct WorkerHealth {
        /// Recent failures.
        failures: Vec<WorkerFailure>,
        /// The last two jobs that succeeded, with their times.
        successes: Vec<(ClockTime, JobId)>,
        /// Whether and how the worker is kept out of use.
        quarantine: Option<WorkerQuarantine>,
    }

    /// Health of all workers.
    #[derive(Default)]
    pub struct HealthTable {
        workers: IndexMap<WorkerName, WorkerHealth>,
    }

    /// What a failure says about the job.
    #[derive(Copy)]
    pub enum JobVerdict {
        /// The job may be tried again.
        Retry,
        /// The job failed on workers that succeed with others, so it ends as failed.
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
    /// Notes that a job succeeded on its workers.
    pub fn record_success(&mut self, workers: &[WorkerName], job: JobId, at: ClockTime) {
        for worker in workers {
            self.workers
                .entry(worker.clone())
                .or_default()
                .add_success(job, at);
        }
    }

    /// Notes that a job failed on a worker. `failed_on` names the workers of its failed attempts,
    /// with or without this one.
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

    /// Ends the probe of a job that ended in another way than success or failure.
    pub fn release_probe(&mut self, workers: &[WorkerName], job: JobId) {
        for worker in workers {
            let health = self.workers.get_mut(worker);
            if let Some(quarantine) = health.and_then(|health| health.quarantine.as_mut()) {
                quarantine.probe = quarantine.probe.filter(|probe| *probe != job);
            }
        }
    }

    /// Returns the quarantine of a worker.
    #[must_use]
    pub fn quarantine(&self, worker: &WorkerName) -> Option<&WorkerQuarantine> {
        self.workers.get(worker)?.quarantine.as_ref()
    }

    /// Returns whether any worker is kept out of use.
    #[must_use]
    pub fn has_quarantine(&self) -> bool {
        self.workers
            .values()
            .any(|health| health.quarantine.is_some())
    }

    /// Notes that a job probes a worker.
    pub fn start_probe(&mut self, worker: &WorkerName, job: JobId) {
        let health = self.workers.get_mut(worker);
        if let Some(quarantine) = health.and_then(|health| health.quarantine.as_mut()) {
            quarantine.probe = Some(job);
        }
    }

    /// Returns the workers whose probe may start, with no probe under way.
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

    /// Returns when the next probe may start.
    #[must_use]
    pub fn next_probe_at(&self) -> Option<ClockTime> {
        self.workers
            .values()
            .filter_map(|health| health.quarantine)
            .filter(|entry| entry.probe.is_none())
            .map(|entry| entry.probe_at)
            .min()
    }

    /// Drops workers that the fleet no longer has, and probes by jobs that hold no capacity.
    pub fn prune(&mut self, known: impl Fn(&WorkerName) -> bool, active: impl Fn(JobId) -> bool) {
        self.workers.retain(|worker, _| known(worker));
        for health in self.workers.values_mut() {
            if let Some(quarantine) = &mut health.quarantine {
                quarantine.probe = quarantine.probe.filter(|job| active(*job));
            }
        }
    }
}

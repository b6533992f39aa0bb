//! Detects violations of the scheduler's invariants from the events of the model workers.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::event::WorkerEvent;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::ids::DomainName;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::ids::TaskId;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::WorkerInfo;

/// Longest time that a partial gang may run while all its workers answer.
pub const PARTIAL_GANG_BOUND: TimeSpan = TimeSpan(2_500);

/// Longest time that a partial gang may run when one of its workers is silent: the lease of 45 s
/// and the clock margin.
pub const SILENT_WORKER_BOUND: TimeSpan = TimeSpan(45_500);

/// Longest time from the loss of the planner to the term of its successor. No daemon can start or
/// stop the rest of a gang in this time.
pub const TAKEOVER_BOUND: TimeSpan = TimeSpan(9_100);

/// Longest time from the record that takes a failure domain out of service to the last start in
/// it: the freshness time and the lifetime of a reservation.
pub const LATE_START_BOUND: TimeSpan = TimeSpan(5_000);

plain_data! {
    /// Violations by kind, one line each.
    #[derive(Default)]
    pub struct ViolationReport {
        /// Non-repeatable work that started twice, and attempts of one job that overlapped.
        pub run_twice: Vec<String>,
        /// Gangs that were partial for longer than the bound.
        pub partial_gangs: Vec<String>,
        /// Starts in a failure domain that was out of service for longer than the bound.
        pub late_starts: Vec<String>,
        /// Workers whose tasks exceeded the capacity.
        pub over_capacity: Vec<String>,
        /// Accepted jobs that have not ended.
        pub lost: Vec<String>,
        /// Answers that do not belong to their request.
        pub wrong_answers: Vec<String>,
        /// Work that ran although its caller got a "not run" refusal.
        pub false_refusals: Vec<String>,
    }
}

impl ViolationReport {
    /// Returns all violations, each prefixed with its kind.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let groups = [
            ("run twice", &self.run_twice),
            ("partial gang", &self.partial_gangs),
            ("late start", &self.late_starts),
            ("over capacity", &self.over_capacity),
            ("lost", &self.lost),
            ("wrong answer", &self.wrong_answers),
            ("false refusal", &self.false_refusals),
        ];
        let lines = groups.iter().flat_map(|(name, violations)| {
            let line = move |text: &String| format!("{name}: {text}");
            violations.iter().map(line)
        });
        lines.collect()
    }
}

#[derive(Clone, Debug)]
struct TaskInterval {
    task: TaskId,
    worker: WorkerName,
    demand: ResourceDemand,
    members: u32,
    started_at: ClockTime,
    end: Option<(ClockTime, bool)>,
}

#[derive(Clone, Debug)]
struct JobState {
    is_repeatable: bool,
    has_ended: bool,
}

#[derive(Clone, Debug)]
struct DomainChange {
    at: ClockTime,
    domain: DomainName,
    is_out: bool,
}

#[derive(Clone, Debug)]
struct WorkerSilence {
    worker: WorkerName,
    from: ClockTime,
    until: Option<ClockTime>,
}

/// Collects worker events and log records and detects violations.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    workers: IndexMap<WorkerName, WorkerInfo>,
    silences: Vec<WorkerSilence>,
    planner_losses: Vec<ClockTime>,
    placements: IndexMap<(JobId, u32), Vec<WorkerName>>,
    intervals: Vec<TaskInterval>,
    run_counts: IndexMap<RequestKey, u32>,
    at_most_once_keys: IndexSet<RequestKey>,
    refused_keys: IndexSet<RequestKey>,
    jobs: IndexMap<JobId, JobState>,
    domains: Vec<DomainChange>,
    wrong_answers: Vec<String>,
    false_refusals: IndexSet<String>,
}

impl InvariantChecker {
    /// Creates a checker. Capacities and failure domains come from `workers`.
    #[must_use]
    pub fn new(workers: &[WorkerInfo]) -> Self {
        let workers = workers
            .iter()
            .map(|info| (info.worker.clone(), info.clone()));
        Self {
            workers: workers.collect(),
            ..Self::default()
        }
    }

    /// Records that a job's acceptance is committed.
    pub fn record_job_accepted(&mut self, job: JobId, is_repeatable: bool) {
        let state = JobState {
            is_repeatable,
            has_ended: false,
        };
        self.jobs.entry(job).or_insert(state);
    }

    /// Records that a job's end is committed or reported to its caller.
    pub fn record_job_ended(&mut self, job: JobId) {
        if let Some(state) = self.jobs.get_mut(&job) {
            state.has_ended = true;
        }
    }

    /// Requires that requests with this key run at most once.
    pub fn require_at_most_once(&mut self, key: &RequestKey) {
        self.at_most_once_keys.insert(key.clone());
    }

    /// Records a "not run" refusal: the work with this key has not run and must not run unless the
    /// caller sends it again.
    pub fn record_refusal(&mut self, key: &RequestKey) {
        self.refused_keys.insert(key.clone());
        self.find_false_refusals();
    }

    /// Records that a caller sends work with a refused key again, which lifts the refusal.
    pub fn record_retry(&mut self, key: &RequestKey) {
        self.find_false_refusals();
        self.refused_keys.shift_remove(key);
    }

    /// Records that a failure domain was taken out of service or returned to it at `at`.
    pub fn record_domain_change(&mut self, at: ClockTime, domain: &DomainName, is_out: bool) {
        self.domains.push(DomainChange {
            at,
            domain: domain.clone(),
            is_out,
        });
    }

    /// Records that a worker became silent or answers again. [`SILENT_WORKER_BOUND`] applies to the
    /// worker's gangs while it is silent.
    pub fn record_worker_silence(&mut self, at: ClockTime, worker: &WorkerName, is_silent: bool) {
        let is_open =
            |silence: &&mut WorkerSilence| silence.worker == *worker && silence.until.is_none();
        match self.silences.iter_mut().find(is_open) {
            Some(silence) if !is_silent => silence.until = Some(at),
            None if is_silent => self.silences.push(WorkerSilence {
                worker: worker.clone(),
                from: at,
                until: None,
            }),
            _ => {}
        }
    }

    /// Records that the planner's process ends or is paused.
    pub fn record_planner_loss(&mut self, at: ClockTime) {
        self.planner_losses.push(at);
    }

    /// Records the workers of an attempt, whether or not its members have started.
    pub fn record_placement(&mut self, job: JobId, attempt: u32, workers: &[WorkerName]) {
        self.placements.insert((job, attempt), workers.to_vec());
    }

    /// Records a violation when a caller's answer is not the one that belongs to its request.
    pub fn check_answer(&mut self, key: &RequestKey, expected: &[u8], actual: &[u8]) {
        if expected != actual {
            let lengths = (expected.len(), actual.len());
            let line = format!(
                "{key}: expected {} bytes, got {} bytes",
                lengths.0, lengths.1
            );
            self.wrong_answers.push(line);
        }
    }

    /// Records the events of a worker, in the order in which they happened.
    pub fn record_events(&mut self, worker: &WorkerName, events: Vec<WorkerEvent>) {
        for event in events {
            match event {
                WorkerEvent::Started {
                    at,
                    task,
                    demand,
                    members,
                } => self.intervals.push(TaskInterval {
                    task,
                    worker: worker.clone(),
                    demand,
                    members,
                    started_at: at,
                    end: None,
                }),
                WorkerEvent::Ended { at, task, finished } => {
                    self.end_interval(worker, task, (at, finished));
                }
                WorkerEvent::Answered { key, .. } => {
                    if let Some(key) = key {
                        *self.run_counts.entry(key).or_insert(0) += 1;
                    }
                }
            }
        }
    }

    /// Returns the accepted jobs that have not ended.
    #[must_use]
    pub fn unfinished_jobs(&self) -> Vec<JobId> {
        let unfinished = self.jobs.iter().filter(|(_, state)| !state.has_ended);
        unfinished.map(|(job, _)| *job).collect()
    }

    /// Returns how often the short requests of each key have run, summed over all workers.
    #[must_use]
    pub const fn run_counts(&self) -> &IndexMap<RequestKey, u32> {
        &self.run_counts
    }

    /// Returns the number of task starts, repeated ones included.
    #[must_use]
    pub const fn start_count(&self) -> usize {
        self.intervals.len()
    }

    /// Returns all violations up to `at`.
    #[must_use]
    pub fn report(&mut self, at: ClockTime) -> ViolationReport {
        self.find_false_refusals();
        ViolationReport {
            run_twice: self.find_run_twice(),
            partial_gangs: self.find_partial_gangs(at),
            late_starts: self.find_late_starts(),
            over_capacity: self.find_over_capacity(),
            lost: self
                .unfinished_jobs()
                .iter()
                .map(|job| format!("job {job}"))
                .collect(),
            wrong_answers: self.wrong_answers.clone(),
            false_refusals: self.false_refusals.iter().cloned().collect(),
        }
    }

    fn end_interval(&mut self, worker: &WorkerName, task: TaskId, end: (ClockTime, bool)) {
        let is_open = |interval: &&mut TaskInterval| {
            interval.task == task && interval.worker == *worker && interval.end.is_none()
        };
        if let Some(interval) = self.intervals.iter_mut().rfind(is_open) {
            interval.end = Some(end);
        }
    }

    fn find_run_twice(&self) -> Vec<String> {
        let mut starts: IndexMap<(JobId, u32), IndexSet<u32>> = IndexMap::new();
        let mut violations = Vec::new();
        for interval in &self.intervals {
            let attempts = starts
                .entry((interval.task.job, interval.task.member))
                .or_default();
            if !attempts.insert(interval.task.attempt) {
                violations.push(format!("task {:?} started on two workers", interval.task));
            }
        }
        let is_at_most_once =
            |job: &JobId| self.jobs.get(job).is_some_and(|state| !state.is_repeatable);
        for ((job, member), attempts) in &starts {
            if is_at_most_once(job) && attempts.len() > 1 {
                violations.push(format!("job {job} member {member}: attempts {attempts:?}"));
            }
        }
        violations.extend(self.find_overlapping_attempts());
        let repeated_keys = self
            .run_counts
            .iter()
            .filter(|(key, count)| **count > 1 && self.at_most_once_keys.contains(*key));
        violations.extend(repeated_keys.map(|(key, count)| format!("key {key} ran {count} times")));
        violations
    }

    /// Finds attempts of one job that overlapped. Applies to repeatable jobs too.
    fn find_overlapping_attempts(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (index, interval) in self.intervals.iter().enumerate() {
            let earlier = self.intervals[..index].iter();
            let overlap = earlier
                .filter(|other| other.task.job == interval.task.job)
                .filter(|other| other.task.attempt != interval.task.attempt)
                .find(|other| {
                    other.runs_at(interval.started_at) || interval.runs_at(other.started_at)
                });
            if let Some(other) = overlap {
                violations.push(format!("{:?} while {:?} ran", interval.task, other.task));
            }
        }
        violations
    }

    fn find_false_refusals(&mut self) {
        let refused = self.refused_keys.iter();
        let ran = refused.filter(|key| self.run_counts.get(*key).is_some_and(|count| *count > 0));
        let violations = ran.map(|key| format!("key {key} ran"));
        self.false_refusals.extend(violations);
    }

    fn find_partial_gangs(&self, at: ClockTime) -> Vec<String> {
        let mut gangs: IndexMap<(JobId, u32), Vec<&TaskInterval>> = IndexMap::new();
        for interval in &self.intervals {
            let gang = (interval.task.job, interval.task.attempt);
            gangs.entry(gang).or_default().push(interval);
        }
        let mut violations = Vec::new();
        for ((job, attempt), intervals) in gangs {
            for (from, until) in partial_intervals(&intervals, at) {
                let silence = self.last_silence((job, attempt), &intervals, (from, until));
                let (bound, counted_from) = match silence {
                    Some(silent_since) => (SILENT_WORKER_BOUND, from.max(silent_since)),
                    None => (self.bound_with_takeovers(from, until), from),
                };
                let partial = until.since(counted_from);
                if partial > bound {
                    violations.push(format!(
                        "job {job} attempt {attempt}: {partial} ms, bound {bound} ms"
                    ));
                }
            }
        }
        violations
    }

    /// Returns the bound for a partial gang whose workers answer. Each loss of the planner in the
    /// interval adds one takeover.
    fn bound_with_takeovers(&self, from: ClockTime, until: ClockTime) -> TimeSpan {
        let losses = self.planner_losses.iter();
        let inside = losses.filter(|at| **at <= until && **at + TAKEOVER_BOUND >= from);
        inside.fold(PARTIAL_GANG_BOUND, |bound, _| bound + TAKEOVER_BOUND)
    }

    /// Returns the start of the last silence among the gang's workers in the interval, or `None`
    /// when all of them answered. The bound counts from the last silence because the lease of each
    /// silent worker has to expire.
    fn last_silence(
        &self,
        gang: (JobId, u32),
        intervals: &[&TaskInterval],
        (from, until): (ClockTime, ClockTime),
    ) -> Option<ClockTime> {
        let placed = self.placements.get(&gang).into_iter().flatten();
        let workers: Vec<_> = placed
            .chain(intervals.iter().map(|interval| &interval.worker))
            .collect();
        let overlapping = self.silences.iter().filter(|silence| {
            let overlaps = silence.from <= until && silence.until.is_none_or(|end| end >= from);
            overlaps && workers.contains(&&silence.worker)
        });
        overlapping.map(|silence| silence.from).max()
    }

    fn find_late_starts(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for interval in &self.intervals {
            let Some(info) = self.workers.get(&interval.worker) else {
                continue;
            };
            let mut changes = self.domains.iter();
            let last = changes
                .rfind(|change| change.domain == info.domain && change.at <= interval.started_at);
            if let Some(change) = last
                && change.is_out
                && interval.started_at.since(change.at) > LATE_START_BOUND
            {
                let delay = interval.started_at.since(change.at);
                violations.push(format!(
                    "{:?} in {} after {delay} ms",
                    interval.task, info.domain
                ));
            }
        }
        violations
    }

    fn find_over_capacity(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (worker, info) in &self.workers {
            let intervals: Vec<_> = self
                .intervals
                .iter()
                .filter(|interval| interval.worker == *worker)
                .collect();
            let overcommitted = intervals.iter().find(|start| {
                let mut used = ResourceDemand::default();
                for interval in intervals
                    .iter()
                    .filter(|interval| interval.runs_at(start.started_at))
                {
                    used.add(&interval.demand);
                }
                !used.fits(&info.capacity)
            });
            if let Some(interval) = overcommitted {
                violations.push(format!("{worker} from {}", interval.started_at));
            }
        }
        violations
    }
}

impl TaskInterval {
    fn runs_at(&self, at: ClockTime) -> bool {
        self.started_at <= at && self.end.is_none_or(|(ended_at, _)| ended_at > at)
    }

    /// Returns whether the member keeps the gang whole: it runs, or it has finished its work.
    fn holds_place_at(&self, at: ClockTime) -> bool {
        self.started_at <= at
            && self
                .end
                .is_none_or(|(ended_at, finished)| finished || ended_at > at)
    }
}

/// Returns the intervals in which some members ran while others had not started, had failed or
/// were stopped.
fn partial_intervals(intervals: &[&TaskInterval], now: ClockTime) -> Vec<(ClockTime, ClockTime)> {
    let members = intervals
        .iter()
        .map(|interval| interval.members)
        .max()
        .unwrap_or(0);
    let mut boundaries: Vec<_> = intervals
        .iter()
        .map(|interval| interval.started_at)
        .collect();
    boundaries.extend(
        intervals
            .iter()
            .filter_map(|interval| interval.end)
            .map(|(at, _)| at),
    );
    boundaries.push(now);
    boundaries.sort();
    let mut found = Vec::new();
    let mut partial_since = None;
    for at in boundaries {
        let holding = intervals
            .iter()
            .filter(|interval| interval.holds_place_at(at))
            .count();
        let is_running = intervals.iter().any(|interval| interval.runs_at(at));
        let is_partial = is_running && holding < members as usize;
        match partial_since {
            Some(since) if !is_partial || at == now => {
                found.push((since, at));
                partial_since = None;
            }
            None if is_partial => partial_since = Some(at),
            _ => {}
        }
    }
    found
}

//! Counts broken promises from what the model workers did.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::fact::WorkerFact;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::ids::DomainName;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::ids::TaskId;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::WorkerInfo;

/// Longest time that part of a gang may run while its workers answer (design, section 7).
pub const PARTIAL_BOUND: TimeSpan = TimeSpan(2_500);

/// Longest time that part of a gang may run when one of its workers does not answer: the lease
/// of 45 s and the clock margin (design, section 7).
pub const SILENT_BOUND: TimeSpan = TimeSpan(45_500);

/// Longest time from the loss of the planner to its successor's term (design, section 4). Nobody
/// starts or stops the rest of a gang in this time.
pub const TAKEOVER_BOUND: TimeSpan = TimeSpan(9_100);

/// Longest time from the record of a failure domain's take-out to a last start in it: freshness
/// and the life of a reservation (design, section 5).
pub const TAKE_OUT_BOUND: TimeSpan = TimeSpan(5_000);

plain_data! {
    /// Broken promises, one line each.
    #[derive(Default)]
    pub struct OutcomeReport {
        /// Work that may not be repeated and was started twice, and attempts that ran at once.
        pub run_twice: Vec<String>,
        /// Gangs that ran in part for longer than the bound.
        pub partial_gangs: Vec<String>,
        /// Starts in a failure domain that was out of service.
        pub late_starts: Vec<String>,
        /// Workers whose slots or accelerators were used twice.
        pub over_capacity: Vec<String>,
        /// Accepted jobs that never ended.
        pub lost: Vec<String>,
        /// Callers that got an answer that is not theirs.
        pub wrong_answers: Vec<String>,
        /// Work that ran although its caller was told that it had not.
        pub false_refusals: Vec<String>,
    }
}

impl OutcomeReport {
    /// Returns all broken promises with the promise's name in front.
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
        let lines = groups.iter().flat_map(|(name, broken)| {
            let line = move |text: &String| format!("{name}: {text}");
            broken.iter().map(line)
        });
        lines.collect()
    }
}

#[derive(Clone, Debug)]
struct TaskSpan {
    task: TaskId,
    worker: WorkerName,
    demand: ResourceDemand,
    members: u32,
    started: ClockTime,
    ended: Option<(ClockTime, bool)>,
}

#[derive(Clone, Debug)]
struct JobPromise {
    repeatable: bool,
    ended: bool,
}

#[derive(Clone, Debug)]
struct DomainChange {
    at: ClockTime,
    domain: DomainName,
    out: bool,
}

#[derive(Clone, Debug)]
struct WorkerSilence {
    worker: WorkerName,
    from: ClockTime,
    until: Option<ClockTime>,
}

/// Collects facts and orders and counts broken promises.
#[derive(Clone, Debug, Default)]
pub struct OutcomeChecker {
    workers: IndexMap<WorkerName, WorkerInfo>,
    silences: Vec<WorkerSilence>,
    planner_losses: Vec<ClockTime>,
    gangs: IndexMap<(JobId, u32), Vec<WorkerName>>,
    spans: Vec<TaskSpan>,
    runs: IndexMap<RequestKey, u32>,
    once_keys: IndexSet<RequestKey>,
    refused_keys: IndexSet<RequestKey>,
    jobs: IndexMap<JobId, JobPromise>,
    domains: Vec<DomainChange>,
    wrong_answers: Vec<String>,
    false_refusals: IndexSet<String>,
}

impl OutcomeChecker {
    /// Creates a checker of these workers.
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

    /// Notes that a job is on record as accepted.
    pub fn accept_job(&mut self, job: JobId, repeatable: bool) {
        let promise = JobPromise {
            repeatable,
            ended: false,
        };
        self.jobs.entry(job).or_insert(promise);
    }

    /// Notes that a job is on record as ended, or that its caller was told so.
    pub fn end_job(&mut self, job: JobId) {
        if let Some(promise) = self.jobs.get_mut(&job) {
            promise.ended = true;
        }
    }

    /// Notes that requests with this key may run at most once.
    pub fn promise_once(&mut self, key: &RequestKey) {
        self.once_keys.insert(key.clone());
    }

    /// Notes that a caller is told now that the work with this key has not run and will not run
    /// unless it is sent again.
    pub fn refuse(&mut self, key: &RequestKey) {
        self.refused_keys.insert(key.clone());
        self.find_false_refusals();
    }

    /// Notes that a caller sends work with a refused key again.
    pub fn resend(&mut self, key: &RequestKey) {
        self.find_false_refusals();
        self.refused_keys.shift_remove(key);
    }

    /// Notes a recorded change of a failure domain.
    pub fn set_domain(&mut self, at: ClockTime, domain: &DomainName, out: bool) {
        self.domains.push(DomainChange {
            at,
            domain: domain.clone(),
            out,
        });
    }

    /// Notes that a worker stops answering or answers again. While a worker of a gang does not
    /// answer, the wider bound holds for the gang.
    pub fn note_silence(&mut self, at: ClockTime, worker: &WorkerName, silent: bool) {
        let open =
            |silence: &&mut WorkerSilence| silence.worker == *worker && silence.until.is_none();
        match self.silences.iter_mut().find(open) {
            Some(silence) if !silent => silence.until = Some(at),
            None if silent => self.silences.push(WorkerSilence {
                worker: worker.clone(),
                from: at,
                until: None,
            }),
            _ => {}
        }
    }

    /// Notes that the planner's process ends or stands still.
    pub fn note_planner_loss(&mut self, at: ClockTime) {
        self.planner_losses.push(at);
    }

    /// Notes the workers of an attempt, started or not.
    pub fn place(&mut self, job: JobId, attempt: u32, workers: &[WorkerName]) {
        self.gangs.insert((job, attempt), workers.to_vec());
    }

    /// Compares the answer that a caller got with the one that belongs to its request.
    pub fn compare_answer(&mut self, key: &RequestKey, expected: &[u8], got: &[u8]) {
        if expected != got {
            let lengths = (expected.len(), got.len());
            let line = format!(
                "{key}: expected {} bytes, got {} bytes",
                lengths.0, lengths.1
            );
            self.wrong_answers.push(line);
        }
    }

    /// Takes in facts of a worker, in the order in which the worker noted them.
    pub fn observe(&mut self, worker: &WorkerName, facts: Vec<WorkerFact>) {
        for fact in facts {
            match fact {
                WorkerFact::Started {
                    at,
                    task,
                    demand,
                    members,
                } => self.spans.push(TaskSpan {
                    task,
                    worker: worker.clone(),
                    demand,
                    members,
                    started: at,
                    ended: None,
                }),
                WorkerFact::Ended { at, task, finished } => {
                    self.end_span(worker, task, (at, finished));
                }
                WorkerFact::Answered { key, .. } => {
                    if let Some(key) = key {
                        *self.runs.entry(key).or_insert(0) += 1;
                    }
                }
            }
        }
    }

    /// Returns the jobs that are accepted and have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> Vec<JobId> {
        let open = self.jobs.iter().filter(|(_, promise)| !promise.ended);
        open.map(|(job, _)| *job).collect()
    }

    /// Returns how often short requests with each key have run, on all workers together.
    #[must_use]
    pub const fn runs(&self) -> &IndexMap<RequestKey, u32> {
        &self.runs
    }

    /// Returns how many tasks have started.
    #[must_use]
    pub const fn starts(&self) -> usize {
        self.spans.len()
    }

    /// Returns all broken promises up to `at`.
    #[must_use]
    pub fn report(&mut self, at: ClockTime) -> OutcomeReport {
        self.find_false_refusals();
        OutcomeReport {
            run_twice: self.find_run_twice(),
            partial_gangs: self.find_partial_gangs(at),
            late_starts: self.find_late_starts(),
            over_capacity: self.find_over_capacity(),
            lost: self
                .open_jobs()
                .iter()
                .map(|job| format!("job {job}"))
                .collect(),
            wrong_answers: self.wrong_answers.clone(),
            false_refusals: self.false_refusals.iter().cloned().collect(),
        }
    }

    fn end_span(&mut self, worker: &WorkerName, task: TaskId, end: (ClockTime, bool)) {
        let open = |span: &&mut TaskSpan| {
            span.task == task && span.worker == *worker && span.ended.is_none()
        };
        if let Some(span) = self.spans.iter_mut().rfind(open) {
            span.ended = Some(end);
        }
    }

    fn find_run_twice(&self) -> Vec<String> {
        let mut starts: IndexMap<(JobId, u32), IndexSet<u32>> = IndexMap::new();
        let mut broken = Vec::new();
        for span in &self.spans {
            let attempts = starts.entry((span.task.job, span.task.member)).or_default();
            if !attempts.insert(span.task.attempt) {
                broken.push(format!("task {:?} started on two workers", span.task));
            }
        }
        let once = |job: &JobId| {
            self.jobs
                .get(job)
                .is_some_and(|promise| !promise.repeatable)
        };
        for ((job, member), attempts) in &starts {
            if once(job) && attempts.len() > 1 {
                broken.push(format!("job {job} member {member}: attempts {attempts:?}"));
            }
        }
        broken.extend(self.find_overlaps());
        let twice = self
            .runs
            .iter()
            .filter(|(key, runs)| **runs > 1 && self.once_keys.contains(*key));
        broken.extend(twice.map(|(key, runs)| format!("key {key} ran {runs} times")));
        broken
    }

    /// Finds attempts of one job that ran at the same time, repeatable or not.
    fn find_overlaps(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for (index, span) in self.spans.iter().enumerate() {
            let earlier = self.spans[..index].iter();
            let overlap = earlier
                .filter(|other| other.task.job == span.task.job)
                .filter(|other| other.task.attempt != span.task.attempt)
                .find(|other| other.runs_at(span.started) || span.runs_at(other.started));
            if let Some(other) = overlap {
                broken.push(format!("{:?} while {:?} ran", span.task, other.task));
            }
        }
        broken
    }

    fn find_false_refusals(&mut self) {
        let refused = self.refused_keys.iter();
        let ran = refused.filter(|key| self.runs.get(*key).is_some_and(|runs| *runs > 0));
        let broken = ran.map(|key| format!("key {key} ran"));
        self.false_refusals.extend(broken);
    }

    fn find_partial_gangs(&self, at: ClockTime) -> Vec<String> {
        let mut gangs: IndexMap<(JobId, u32), Vec<&TaskSpan>> = IndexMap::new();
        for span in &self.spans {
            let gang = (span.task.job, span.task.attempt);
            gangs.entry(gang).or_default().push(span);
        }
        let mut broken = Vec::new();
        for ((job, attempt), spans) in gangs {
            for (from, until) in partial_runs(&spans, at) {
                let silence = self.last_silence((job, attempt), &spans, (from, until));
                let (bound, counted) = match silence {
                    Some(began) => (SILENT_BOUND, from.max(began)),
                    None => (self.bound_with_takeovers(from, until), from),
                };
                let partial = until.since(counted);
                if partial > bound {
                    broken.push(format!(
                        "job {job} attempt {attempt}: {partial} ms, bound {bound} ms"
                    ));
                }
            }
        }
        broken
    }

    /// Returns the bound of a partial run while its workers answer: each loss of the planner in it
    /// adds one takeover.
    fn bound_with_takeovers(&self, from: ClockTime, until: ClockTime) -> TimeSpan {
        let losses = self.planner_losses.iter();
        let inside = losses.filter(|at| **at <= until && **at + TAKEOVER_BOUND >= from);
        inside.fold(PARTIAL_BOUND, |bound, _| bound + TAKEOVER_BOUND)
    }

    /// Returns when the last silence of one of the gang's workers began. A worker that falls silent
    /// while the silence of another is being noticed takes its own time to be waited out.
    fn last_silence(
        &self,
        gang: (JobId, u32),
        spans: &[&TaskSpan],
        (from, until): (ClockTime, ClockTime),
    ) -> Option<ClockTime> {
        let placed = self.gangs.get(&gang).into_iter().flatten();
        let workers: Vec<_> = placed
            .chain(spans.iter().map(|span| &span.worker))
            .collect();
        let overlapping = self.silences.iter().filter(|silence| {
            let overlaps = silence.from <= until && silence.until.is_none_or(|end| end >= from);
            overlaps && workers.contains(&&silence.worker)
        });
        overlapping.map(|silence| silence.from).max()
    }

    fn find_late_starts(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for span in &self.spans {
            let Some(info) = self.workers.get(&span.worker) else {
                continue;
            };
            let mut changes = self.domains.iter();
            let last =
                changes.rfind(|change| change.domain == info.domain && change.at <= span.started);
            if let Some(change) = last
                && change.out
                && span.started.since(change.at) > TAKE_OUT_BOUND
            {
                let late = span.started.since(change.at);
                broken.push(format!(
                    "{:?} in {} after {late} ms",
                    span.task, info.domain
                ));
            }
        }
        broken
    }

    fn find_over_capacity(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for (worker, info) in &self.workers {
            let spans: Vec<_> = self
                .spans
                .iter()
                .filter(|span| span.worker == *worker)
                .collect();
            let full = spans.iter().find(|start| {
                let mut used = ResourceDemand::default();
                for span in spans.iter().filter(|span| span.runs_at(start.started)) {
                    used.add(&span.demand);
                }
                !used.fits(&info.capacity)
            });
            if let Some(span) = full {
                broken.push(format!("{worker} from {}", span.started));
            }
        }
        broken
    }
}

impl TaskSpan {
    fn runs_at(&self, at: ClockTime) -> bool {
        self.started <= at && self.ended.is_none_or(|(ended_at, _)| ended_at > at)
    }

    /// Tells whether the member holds its place in the gang: it runs, or its work is done.
    fn holds_at(&self, at: ClockTime) -> bool {
        self.started <= at
            && self
                .ended
                .is_none_or(|(ended_at, finished)| finished || ended_at > at)
    }
}

/// Returns the spans of time in which some members ran while others had not started, had failed
/// or were stopped.
fn partial_runs(spans: &[&TaskSpan], now: ClockTime) -> Vec<(ClockTime, ClockTime)> {
    let members = spans.iter().map(|span| span.members).max().unwrap_or(0);
    let mut times: Vec<_> = spans.iter().map(|span| span.started).collect();
    times.extend(spans.iter().filter_map(|span| span.ended).map(|(at, _)| at));
    times.push(now);
    times.sort();
    let mut runs = Vec::new();
    let mut partial_since = None;
    for at in times {
        let holding = spans.iter().filter(|span| span.holds_at(at)).count();
        let running = spans.iter().any(|span| span.runs_at(at));
        let partial = running && holding < members as usize;
        match partial_since {
            Some(since) if !partial || at == now => {
                runs.push((since, at));
                partial_since = None;
            }
            None if partial => partial_since = Some(at),
            _ => {}
        }
    }
    runs
}

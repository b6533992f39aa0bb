//! Jobs, their steps and tasks, and the entries of workers.

use std::fmt;

use crate::ids::DomainName;
use crate::ids::RackName;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Number of hexadecimal digits in the text form of a job's key.
const KEY_DIGITS: usize = 16;

string_id! {
    /// Name of a queue that callers submit jobs to.
    QueueName;
    /// Label of a worker, which tasks can require.
    WorkerLabel;
}

number_type! {
    /// Key of a job, chosen by its caller. The text form has 16 lower-case hexadecimal digits.
    JobKey;
}

impl JobKey {
    /// Parses the text form. Returns `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != KEY_DIGITS || !text.bytes().all(is_digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// Formats the key as 16 hexadecimal digits.
    #[must_use]
    pub fn text(self) -> String {
        format!("{:016x}", self.0)
    }
}

plain_data! {
    /// Key of a step in one occurrence of a job.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct StepKey {
        /// Job that defines the step.
        pub job: JobKey,
        /// Index of the occurrence, from 0.
        pub occurrence: u32,
        /// Index of the step in the job, from 0.
        pub step: u32,
    }

    /// Key of a task. The text form is `JOB.OCCURRENCE.STEP.INDEX`.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct TaskKey {
        /// Step in one occurrence of the job.
        pub step: StepKey,
        /// Index of the task in the step, from 0.
        pub index: u32,
    }

    /// Key of a run: one attempt of a task. The text form is `TASK/ATTEMPT`.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct RunKey {
        /// Task that the run executes.
        pub task: TaskKey,
        /// Number of the attempt, from 1.
        pub attempt: u32,
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
        } = self;
        write!(formatter, "{:016x}.{occurrence}.{step}", job.0)
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.step, self.index)
    }
}

impl fmt::Display for RunKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.task, self.attempt)
    }
}

impl TaskKey {
    /// Parses the text form `JOB.OCCURRENCE.STEP.INDEX`. Returns `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = JobKey::parse(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        if parts.next().is_some() {
            return None;
        }
        let step = StepKey {
            job,
            occurrence,
            step,
        };
        Some(Self { step, index })
    }
}

plain_data! {
    /// Amounts of resources: the demand of a task, or the total or free capacity of a worker.
    #[derive(Copy, Default, Hash)]
    pub struct TaskDemand {
        /// Processor time in thousandths of a core.
        pub cpu: u64,
        /// Memory in MiB.
        pub memory: u64,
        /// Number of accelerators.
        pub gpu: u64,
    }

    /// A step of a job: a number of tasks of the same kind.
    #[derive(Default)]
    pub struct StepDefinition {
        /// Number of tasks; at least 1 in a valid submission.
        pub count: u32,
        /// Resources that each task uses.
        pub demand: TaskDemand,
        /// Run time of a task as estimated by the caller, which can be far from the actual one.
        pub estimate: TimeSpan,
        /// Indexes of the steps that must be completed before this one starts.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub after: Vec<u32>,
        /// Whether tasks save checkpoints from which a later attempt resumes.
        #[serde(default, skip_serializing_if = "is_false")]
        pub checkpointing: bool,
        /// Whether the tasks form a gang: all of them run at the same time or none does.
        #[serde(default, skip_serializing_if = "is_false")]
        pub gang: bool,
        /// Whether the tasks run slower when they are spread over several racks.
        #[serde(default, skip_serializing_if = "is_false")]
        pub rack_sensitive: bool,
        /// Label that the worker must have, if any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub requirement: Option<WorkerLabel>,
        /// Preferred rack, which holds the data of the tasks.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub affinity: Option<RackName>,
        /// Maximum number of tasks of the step on one worker.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub spread: Option<u32>,
        /// Whether the tasks are services, which run until the job is cancelled.
        #[serde(default, skip_serializing_if = "is_false")]
        pub long_running: bool,
        /// Whether the tasks use only processor time that other tasks leave idle. Their processor
        /// demand is not reserved.
        #[serde(default, skip_serializing_if = "is_false")]
        pub fills: bool,
    }

    /// A job as submitted by a caller.
    #[derive(Default)]
    pub struct JobSubmission {
        /// Opaque specification of the work, passed on to the workers.
        pub spec: String,
        /// The steps; each one can depend only on earlier ones.
        pub steps: Vec<StepDefinition>,
        /// Number of occurrences of a recurring job; 0 for a job that runs once, immediately.
        pub repeats: u32,
        /// Scheduled start of the first occurrence.
        pub first_at: ClockTime,
        /// Time between the scheduled starts of two occurrences.
        pub interval: TimeSpan,
    }

    /// An accepted job, with the settings of its queue at that time.
    pub struct JobDefinition {
        /// The queue to which it was submitted.
        pub queue: QueueName,
        /// Service whose workers run the tasks.
        pub service: ServiceName,
        /// Team that owns the key of the call; `None` without a known key, on public queues only.
        pub team: Option<TeamName>,
        /// Priority of the queue; 0 is the highest.
        pub priority: u32,
        /// Number of failed attempts of a task or gang after which the job fails.
        pub max_attempts: u32,
        /// Factor on the job's critical path in its target completion time, in thousandths.
        pub stretch: u64,
        /// Fixed part of the target completion time.
        pub target: TimeSpan,
        /// When the submission arrived.
        pub accepted_at: ClockTime,
        /// The job as submitted; cleared when the job ends.
        #[serde(rename = "draft")]
        pub submission: JobSubmission,
    }

    /// Phase of a job.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum JobPhase {
        /// No task has started.
        Queued,
        /// At least one task has started.
        Running,
        /// All tasks are completed.
        Completed,
        /// A task or gang has failed as often as its queue allows.
        Failed,
        /// The caller cancelled it.
        Cancelled,
    }
}

impl JobDefinition {
    /// Returns the definition that is kept for an ended job. It identifies the queue and the team
    /// that may read the job, and omits the submission to keep loads of the topic small.
    #[must_use]
    pub fn without_submission(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            service: self.service.clone(),
            team: self.team.clone(),
            submission: JobSubmission::default(),
            ..*self
        }
    }
}

/// Predicate for serde, which omits flags that are not set.
#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(flag: &bool) -> bool {
    !flag
}

impl JobPhase {
    /// Returns whether the job has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl TaskDemand {
    /// Returns whether the given capacity suffices for this demand.
    #[must_use]
    pub const fn fits(&self, capacity: &TaskDemand) -> bool {
        self.cpu <= capacity.cpu && self.memory <= capacity.memory && self.gpu <= capacity.gpu
    }

    /// Returns the number of tasks with this demand for which the given capacity suffices.
    #[must_use]
    pub fn count_fitting(&self, capacity: &TaskDemand) -> u64 {
        let pairs = [
            (self.cpu, capacity.cpu),
            (self.memory, capacity.memory),
            (self.gpu, capacity.gpu),
        ];
        let required = pairs.iter().filter(|(need, _)| *need > 0);
        required
            .map(|(need, available)| available / need)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// Returns the demand of a number of tasks. The results saturate.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Subtracts the other amounts; each result is at least 0.
    pub fn subtract(&mut self, other: &TaskDemand) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }

    /// Adds the other amounts. The results saturate.
    pub fn add(&mut self, other: &TaskDemand) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }
}

impl StepDefinition {
    /// Returns the part of a task's demand that is reserved on a worker: without processor time for
    /// tasks that use only idle time.
    #[must_use]
    pub fn reserved_demand(&self) -> TaskDemand {
        let mut demand = self.demand;
        if self.fills {
            demand.cpu = 0;
        }
        demand
    }
}

/// Maximum number of tasks of a job, over all steps and occurrences.
pub const MAX_TASKS: u64 = 20_000;

/// Amounts that no machine exceeds: 10,000 cores, 1 PiB of memory and 1,024 accelerators. Sums over
/// a fleet of machines within these amounts do not overflow.
pub const MAX_DEMAND: TaskDemand = TaskDemand {
    cpu: 10_000_000,
    memory: 1 << 30,
    gpu: 1_024,
};

/// Maximum number of occurrences of a job.
const MAX_REPEATS: u32 = 10_000;

/// Maximum length of a job's opaque specification.
const MAX_SPEC_BYTES: usize = 4_000;

impl JobSubmission {
    /// Returns the number of occurrences, which is 1 for a job that does not recur.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.repeats.max(1)
    }

    /// Returns the scheduled start of an occurrence, or `None` for a job that starts immediately.
    #[must_use]
    pub fn scheduled_at(&self, occurrence: u32) -> Option<ClockTime> {
        let delay = self.interval.0.saturating_mul(u64::from(occurrence));
        (self.repeats > 0).then(|| self.first_at + TimeSpan(delay))
    }

    /// Returns the length of the critical path: the longest chain of dependent steps, by the
    /// estimated run times.
    #[must_use]
    pub fn critical_path(&self) -> TimeSpan {
        self.critical_path_by(|step| step.estimate)
    }

    /// Returns the length of the critical path by the given run times.
    #[must_use]
    pub fn critical_path_by(&self, run_time: impl Fn(&StepDefinition) -> TimeSpan) -> TimeSpan {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step
                .after
                .iter()
                .filter_map(|&index| ends.get(index as usize));
            let start = start.copied().max().unwrap_or(0);
            ends.push(start.saturating_add(run_time(step).0));
        }
        TimeSpan(ends.into_iter().max().unwrap_or(0))
    }

    /// Validates a submission.
    ///
    /// # Errors
    ///
    /// Returns a message about the first violation: a structure that is not valid, or a task that
    /// fits on no machine.
    pub fn validate(&self) -> Result<(), String> {
        self.validate_structure()?;
        let is_too_large = |step: &StepDefinition| !step.demand.fits(&MAX_DEMAND);
        match self.steps.iter().position(is_too_large) {
            Some(index) => Err(format!("a task of step {index} fits on no machine")),
            None => Ok(()),
        }
    }

    /// Validates the structure of a submission, on which all code relies that handles jobs.
    ///
    /// # Errors
    ///
    /// Returns a message about the first violation: an empty job or step, a dependency on a step
    /// that is not earlier, or an exceeded limit.
    pub fn validate_structure(&self) -> Result<(), String> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(format!("spec has more than {MAX_SPEC_BYTES} bytes"));
        }
        if self.steps.is_empty() {
            return Err("a job has at least one step".to_owned());
        }
        if self.repeats > MAX_REPEATS {
            return Err(format!("more than {MAX_REPEATS} occurrences"));
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(format!("step {index} has no tasks"));
            }
            if step.after.iter().any(|&other| other as usize >= index) {
                return Err(format!(
                    "step {index} comes after a step that is not earlier"
                ));
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks.saturating_mul(u64::from(self.occurrence_count())) > MAX_TASKS {
            return Err(format!("more than {MAX_TASKS} tasks"));
        }
        Ok(())
    }
}

plain_data! {
    /// Whether a worker accepts new tasks.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum WorkerCondition {
        /// It accepts new tasks.
        Ready,
        /// It accepts no new tasks and will leave.
        Draining,
    }

    /// Entry of a worker in the platform's store, written by the worker itself.
    pub struct WorkerEntry {
        /// Service whose tasks it runs.
        pub service: ServiceName,
        /// IP number and port.
        pub address: String,
        /// Failure domain that contains the worker.
        pub domain: DomainName,
        /// Whether it accepts new tasks.
        pub condition: WorkerCondition,
        /// Total capacity.
        pub capacity: TaskDemand,
        /// Labels; the last one is the name of the rack.
        pub labels: Vec<WorkerLabel>,
        /// Rack that contains the worker; also its last label.
        pub rack: RackName,
        /// Start time of the worker's process in milliseconds. It distinguishes processes that use
        /// the same name.
        pub incarnation: u64,
        /// Minimum time until it leaves; present only while it drains.
        pub remaining: Option<TimeSpan>,
    }
}

//! Jobs of steps of tasks, as callers define them.

use std::fmt;

use crate::ids::DomainName;
use crate::ids::RackName;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Digits of a job's id.
const KEY_DIGITS: usize = 16;

string_id! {
    /// A queue that callers submit to.
    QueueName;
    /// A label of a worker that tasks can require.
    WorkerLabel;
}

number_type! {
    /// A job, by the id that its caller chose. Its text form has 16 hexadecimal digits.
    JobKey;
}

impl JobKey {
    /// Parses the text form, or returns `None` when the text is not one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != KEY_DIGITS || !text.bytes().all(is_digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// Returns the text form.
    #[must_use]
    pub fn text(self) -> String {
        format!("{:016x}", self.0)
    }
}

plain_data! {
    /// One step of one occurrence of a job.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct StepKey {
        /// The job.
        pub job: JobKey,
        /// The occurrence, from 0.
        pub occurrence: u32,
        /// The step's place in the job, from 0.
        pub step: u32,
    }

    /// One task of a step.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct TaskKey {
        /// The step.
        pub step: StepKey,
        /// The task's place in the step, from 0.
        pub index: u32,
    }

    /// One run of a task.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct RunKey {
        /// The task.
        pub task: TaskKey,
        /// The attempt, from 1.
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
    /// Parses the text form `JOB.OCCURRENCE.STEP.INDEX`, or returns `None`.
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
    /// What one task takes from a worker, what a worker has, or what is left of it.
    #[derive(Copy, Default, Hash)]
    pub struct TaskDemand {
        /// Processor time in thousandths of a core.
        pub cpu: u64,
        /// Memory in MiB.
        pub memory: u64,
        /// Accelerators.
        pub gpu: u64,
    }

    /// Tasks of one kind within a job.
    #[derive(Default)]
    pub struct StepDefinition {
        /// Number of tasks.
        pub count: u32,
        /// What each task takes.
        pub demand: TaskDemand,
        /// Declared run time of a task. It can be far off.
        pub estimate: TimeSpan,
        /// Steps whose tasks must all be done before.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub after: Vec<u32>,
        /// Whether tasks save their progress.
        #[serde(default, skip_serializing_if = "is_false")]
        pub checkpointing: bool,
        /// Whether the tasks work only together.
        #[serde(default, skip_serializing_if = "is_false")]
        pub gang: bool,
        /// Whether the tasks slow down when they run on several racks.
        #[serde(default, skip_serializing_if = "is_false")]
        pub rack_sensitive: bool,
        /// Label that the worker must have.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub requirement: Option<WorkerLabel>,
        /// Rack that holds the data.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub affinity: Option<RackName>,
        /// Most tasks of the step on one worker.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub spread: Option<u32>,
        /// Whether the tasks run until the job is cancelled.
        #[serde(default, skip_serializing_if = "is_false")]
        pub long_running: bool,
        /// Whether the tasks use processor time that other tasks leave over.
        #[serde(default, skip_serializing_if = "is_false")]
        pub fills: bool,
    }

    /// A job as a caller hands it in.
    #[derive(Default)]
    pub struct JobSubmission {
        /// Opaque text for the workers.
        pub spec: String,
        /// The steps.
        pub steps: Vec<StepDefinition>,
        /// How often the steps run; 0 means once, at once.
        pub repeats: u32,
        /// When the first occurrence is due.
        pub first_at: ClockTime,
        /// Time between two occurrence_count.
        pub interval: TimeSpan,
    }

    /// A job as it was accepted.
    pub struct JobDefinition {
        /// The queue.
        pub queue: QueueName,
        /// The service whose workers run it.
        pub service: ServiceName,
        /// The team, or none on a public queue.
        pub team: Option<TeamName>,
        /// Priority of the queue; 0 comes first.
        pub priority: u32,
        /// Attempts of a task or gang that may fail.
        pub max_attempts: u32,
        /// The objective's factor on the longest chain of work, in thousandths.
        pub stretch: u64,
        /// The objective's fixed part.
        pub target: TimeSpan,
        /// When the caller's submission arrived.
        pub accepted_at: ClockTime,
        /// What the caller handed in.
        #[serde(rename = "draft")]
        pub submission: JobSubmission,
    }

    /// Where a job stands.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum JobPhase {
        /// No task has begun.
        Queued,
        /// At least one task has begun.
        Running,
        /// All tasks are done.
        Completed,
        /// A task or gang has used up its attempts.
        Failed,
        /// The caller cancelled it.
        Cancelled,
    }
}

impl JobDefinition {
    /// Returns what is kept of a job that has ended: who may ask for it, and not what it ran.
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

/// Tells serde to leave out a flag that is not set.
#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(flag: &bool) -> bool {
    !flag
}

impl JobPhase {
    /// Tells whether the job has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl TaskDemand {
    /// Tells whether this demand fits into the given capacity.
    #[must_use]
    pub const fn fits(&self, capacity: &TaskDemand) -> bool {
        self.cpu <= capacity.cpu && self.memory <= capacity.memory && self.gpu <= capacity.gpu
    }

    /// Returns how many tasks of this demand fit into the given capacity.
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

    /// Takes the other demand away, down to zero.
    pub fn subtract(&mut self, other: &TaskDemand) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }

    /// Adds the other demand.
    pub fn add(&mut self, other: &TaskDemand) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }
}

impl StepDefinition {
    /// Returns what a task counts against a worker's capacity.
    #[must_use]
    pub fn reserved_demand(&self) -> TaskDemand {
        let mut demand = self.demand;
        if self.fills {
            demand.cpu = 0;
        }
        demand
    }
}

/// Most tasks of one job, over all steps and occurrence_count.
const MAX_TASKS: u64 = 20_000;

/// Most occurrence_count of one job.
const MAX_REPEATS: u32 = 10_000;

/// Longest opaque text of a job in bytes.
const MAX_SPEC_BYTES: usize = 4_000;

impl JobSubmission {
    /// Returns the number of occurrence_count.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.repeats.max(1)
    }

    /// Returns when an occurrence is due, or `None` when it is due at once.
    #[must_use]
    pub fn scheduled_at(&self, occurrence: u32) -> Option<ClockTime> {
        let delay = self.interval.0.saturating_mul(u64::from(occurrence));
        (self.repeats > 0).then(|| self.first_at + TimeSpan(delay))
    }

    /// Returns the time from the start to the end of the longest chain of steps, as declared.
    #[must_use]
    pub fn critical_path(&self) -> TimeSpan {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step
                .after
                .iter()
                .filter_map(|&index| ends.get(index as usize));
            let start = start.copied().max().unwrap_or(0);
            ends.push(start.saturating_add(step.estimate.0));
        }
        TimeSpan(ends.into_iter().max().unwrap_or(0))
    }

    /// Checks the form of a job.
    ///
    /// # Errors
    ///
    /// Returns the first mistake, named by its field.
    pub fn validate(&self) -> Result<(), String> {
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
    /// Whether a worker takes new tasks.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum WorkerCondition {
        /// It takes tasks.
        Ready,
        /// It is about to leave.
        Draining,
    }

    /// What a worker says of itself in the platform's store.
    pub struct WorkerEntry {
        /// The service that it serves.
        pub service: ServiceName,
        /// IP number and port.
        pub address: String,
        /// Its failure domain.
        pub domain: DomainName,
        /// Whether it takes new tasks.
        pub condition: WorkerCondition,
        /// What it has in all.
        pub capacity: TaskDemand,
        /// Its labels; the last one names its rack.
        pub labels: Vec<WorkerLabel>,
        /// Its rack.
        pub rack: RackName,
        /// When its present life began, which tells two lives under one name apart.
        pub incarnation: u64,
        /// While it drains, the least time that it stays.
        pub remaining: Option<TimeSpan>,
    }
}

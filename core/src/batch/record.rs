//! Records of the batch topic. The newest record of each key holds.

use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::job::TaskKey;
use crate::ids::DaemonName;
use crate::ids::TermNumber;
use crate::ids::WorkerName;

plain_data! {
    /// What a record is about.
    #[derive(Copy, Hash)]
    pub enum RecordKey {
        /// The definition of a job.
        Job(JobKey),
        /// The cancellation of a job.
        Cancel(JobKey),
        /// The phase of a job.
        Phase(JobKey),
        /// A task.
        Task(TaskKey),
        /// The planner's term.
        Term,
    }

    /// A life of a worker.
    #[derive(Hash)]
    pub struct IncarnationKey {
        /// The worker.
        pub worker: WorkerName,
        /// When the life began, by the worker's own account.
        #[serde(rename = "born")]
        pub incarnation: u64,
    }

    /// What is to be done with a task.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum TaskState {
        /// It waits for a place.
        #[default]
        Waiting,
        /// Its newest attempt belongs to a worker, which may have begun it.
        Placed(IncarnationKey),
        /// Its newest attempt must not go on, and may still be running on a worker. Another
        /// planner has to know of it before it places the task again.
        #[serde(rename = "leaving")]
        Stopping(IncarnationKey),
        /// It is done.
        Done,
    }

    /// What lasts of a task.
    #[derive(Default)]
    pub struct TaskRecord {
        /// The newest attempt, or 0 before the first.
        pub attempt: u32,
        /// Attempts that failed, in the order in which they were noted.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub failed: Vec<u32>,
        /// Where the next attempt resumes; empty at the start.
        pub checkpoint: String,
        /// What is to be done with it.
        pub state: TaskState,
    }

    /// Who plans.
    pub struct TermRecord {
        /// The term.
        pub term: TermNumber,
        /// The daemon that plans, or none after it has released the term.
        pub holder: Option<DaemonName>,
        /// Tells two processes of the same daemon apart.
        pub incarnation: u64,
    }

    /// What a record says.
    pub enum RecordValue {
        /// A job was accepted.
        Job(Box<JobDefinition>),
        /// A job was cancelled.
        Cancel,
        /// A job has reached a phase.
        Phase(JobPhase),
        /// A task has changed.
        Task(TaskRecord),
        /// A planner's term began, goes on or was released.
        Term(TermRecord),
    }

    /// One record. Without a value, it removes its key.
    pub struct BatchRecord {
        /// What it is about.
        pub key: RecordKey,
        /// What it says.
        pub value: Option<RecordValue>,
    }
}

impl TaskRecord {
    /// Tells whether the attempts that may fail are used up.
    #[must_use]
    pub fn is_exhausted(&self, max_attempts: u32) -> bool {
        self.failed.len() >= max_attempts.max(1) as usize
    }
}

impl RecordKey {
    /// Returns the job that the record belongs to.
    #[must_use]
    pub const fn job(&self) -> Option<JobKey> {
        match self {
            Self::Job(job) | Self::Cancel(job) | Self::Phase(job) => Some(*job),
            Self::Task(task) => Some(task.step.job),
            Self::Term => None,
        }
    }

    /// Tells whether only the planner writes records of this kind.
    #[must_use]
    pub const fn is_written_by_planner(&self) -> bool {
        matches!(self, Self::Phase(_) | Self::Task(_) | Self::Term)
    }
}

impl BatchRecord {
    /// Returns a record that accepts a job.
    #[must_use]
    pub fn job(job: JobKey, definition: JobDefinition) -> Self {
        Self {
            key: RecordKey::Job(job),
            value: Some(RecordValue::Job(Box::new(definition))),
        }
    }

    /// Returns a record that cancels a job.
    #[must_use]
    pub const fn cancel(job: JobKey) -> Self {
        Self {
            key: RecordKey::Cancel(job),
            value: Some(RecordValue::Cancel),
        }
    }

    /// Returns a record of a job's phase.
    #[must_use]
    pub const fn phase(job: JobKey, phase: JobPhase) -> Self {
        Self {
            key: RecordKey::Phase(job),
            value: Some(RecordValue::Phase(phase)),
        }
    }

    /// Returns a record of a task.
    #[must_use]
    pub const fn task(task: TaskKey, record: TaskRecord) -> Self {
        Self {
            key: RecordKey::Task(task),
            value: Some(RecordValue::Task(record)),
        }
    }

    /// Returns a record of the planner's term.
    #[must_use]
    pub const fn term(record: TermRecord) -> Self {
        Self {
            key: RecordKey::Term,
            value: Some(RecordValue::Term(record)),
        }
    }

    /// Returns a record that removes a key.
    #[must_use]
    pub const fn tombstone(key: RecordKey) -> Self {
        Self { key, value: None }
    }
}

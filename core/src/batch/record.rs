//! Records of the batch topic, which is compacted: the newest record of each key is valid.

use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::job::TaskKey;
use crate::ids::DaemonName;
use crate::ids::TermNumber;
use crate::ids::WorkerName;

/// Form of the records that this version writes. Version 0 wrote JSON with field names.
pub const RECORD_FORM: u32 = 1;

plain_data! {
    /// Key by which the topic is compacted.
    #[derive(Copy, Hash)]
    pub enum RecordKey {
        /// The definition of a job.
        Job(JobKey),
        /// The cancellation of a job.
        Cancel(JobKey),
        /// The phase of a job.
        Phase(JobKey),
        /// The state of a task.
        Task(TaskKey),
        /// The planner's term.
        Term,
    }

    /// One incarnation of a worker: a single process that runs under the worker's name.
    #[derive(Hash)]
    pub struct IncarnationKey {
        /// Name of the worker, which later incarnations may reuse.
        pub worker: WorkerName,
        /// Start time of the process in milliseconds, as reported by the worker.
        #[serde(rename = "born")]
        pub incarnation: u64,
    }

    /// State of a task.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum TaskState {
        /// Waiting for a placement.
        #[default]
        Waiting,
        /// The newest attempt is placed on a worker, which may have started it.
        Placed(IncarnationKey),
        /// The newest attempt must stop, and may still be running on a worker. A new planner needs
        /// the worker's name, since the attempt must end before the task is placed again.
        #[serde(rename = "leaving")]
        Stopping(IncarnationKey),
        /// Completed.
        Done,
    }

    /// Durable state of a task.
    #[derive(Default)]
    pub struct TaskRecord {
        /// Number of the newest attempt; 0 before the first.
        pub attempt: u32,
        /// Numbers of the failed attempts, in the order in which they were recorded.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub failed: Vec<u32>,
        /// Checkpoint from which the next attempt resumes; empty for a start from the beginning.
        pub checkpoint: String,
        /// Current state; a task without a record is waiting.
        pub state: TaskState,
    }

    /// Holder of the planner's term.
    pub struct TermRecord {
        /// Number of the term; each claim increments it.
        pub term: TermNumber,
        /// The planner, or `None` after it has released the term.
        pub holder: Option<DaemonName>,
        /// Distinguishes processes of the same daemon.
        pub incarnation: u64,
        /// Form of the records that the holder writes; 0 for versions that write only JSON.
        #[serde(default)]
        pub form: u32,
    }

    /// Value of a record.
    pub enum RecordValue {
        /// Acceptance of a job.
        Job(Box<JobDefinition>),
        /// Cancellation of a job.
        Cancel,
        /// Phase that a job has reached.
        Phase(JobPhase),
        /// New state of a task.
        Task(TaskRecord),
        /// Claim, renewal or release of the planner's term.
        Term(TermRecord),
    }

    /// One record of the topic.
    pub struct BatchRecord {
        /// The key, by which the topic is compacted.
        pub key: RecordKey,
        /// The value, or `None` for a tombstone.
        pub value: Option<RecordValue>,
    }
}

impl JobDefinition {
    /// Returns an upper bound on the bytes of the job's record. A character of a text takes up to
    /// six bytes in JSON.
    fn max_bytes(&self) -> usize {
        let steps = self.submission.steps.iter().map(|step| {
            let requirement = step
                .requirement
                .as_ref()
                .map_or(0, |label| label.as_str().len());
            let affinity = step.affinity.as_ref().map_or(0, |rack| rack.as_str().len());
            JOB_BYTES + (requirement + affinity) * 6 + step.after.len() * NUMBER_BYTES
        });
        let team = self.team.as_ref().map_or(0, |team| team.as_str().len());
        let names = self.queue.as_str().len() + self.service.as_str().len() + team;
        JOB_BYTES + (self.submission.spec.len() + names) * 6 + steps.sum::<usize>()
    }
}

impl TaskRecord {
    /// Returns whether `max_attempts` attempts have failed. At least one attempt is always allowed.
    #[must_use]
    pub fn is_exhausted(&self, max_attempts: u32) -> bool {
        self.failed.len() >= max_attempts.max(1) as usize
    }
}

impl RecordKey {
    /// Returns the job of the record, or `None` for the term.
    #[must_use]
    pub const fn job(&self) -> Option<JobKey> {
        match self {
            Self::Job(job) | Self::Cancel(job) | Self::Phase(job) => Some(*job),
            Self::Task(task) => Some(task.step.job),
            Self::Term => None,
        }
    }

    /// Returns whether only the planner writes records with this key.
    #[must_use]
    pub const fn is_written_by_planner(&self) -> bool {
        matches!(self, Self::Phase(_) | Self::Task(_) | Self::Term)
    }
}

/// Bytes of a record's lengths, its key and the fields of a fixed size, at most.
const FIXED_BYTES: usize = 100;

/// Bytes of a job's record beside its specification and its names, for the job and for each of its
/// steps, at most.
const JOB_BYTES: usize = 400;

/// Bytes of a number in a list, at most.
const NUMBER_BYTES: usize = 11;

impl BatchRecord {
    /// Returns an upper bound on the bytes of the record in an append.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        let value = match &self.value {
            Some(RecordValue::Job(definition)) => definition.max_bytes(),
            Some(RecordValue::Task(task)) => {
                let worker = match &task.state {
                    TaskState::Placed(key) | TaskState::Stopping(key) => key.worker.as_str().len(),
                    TaskState::Waiting | TaskState::Done => 0,
                };
                worker + task.checkpoint.len() + task.failed.len() * NUMBER_BYTES
            }
            Some(RecordValue::Term(term)) => term
                .holder
                .as_ref()
                .map_or(0, |holder| holder.as_str().len()),
            Some(RecordValue::Cancel | RecordValue::Phase(_)) | None => 0,
        };
        FIXED_BYTES + value
    }

    /// Creates the record of a job's acceptance.
    #[must_use]
    pub fn job(job: JobKey, definition: JobDefinition) -> Self {
        Self {
            key: RecordKey::Job(job),
            value: Some(RecordValue::Job(Box::new(definition))),
        }
    }

    /// Creates the record of a job's cancellation.
    #[must_use]
    pub const fn cancel(job: JobKey) -> Self {
        Self {
            key: RecordKey::Cancel(job),
            value: Some(RecordValue::Cancel),
        }
    }

    /// Creates the record of a job's phase.
    #[must_use]
    pub const fn phase(job: JobKey, phase: JobPhase) -> Self {
        Self {
            key: RecordKey::Phase(job),
            value: Some(RecordValue::Phase(phase)),
        }
    }

    /// Creates the record of a task.
    #[must_use]
    pub const fn task(task: TaskKey, record: TaskRecord) -> Self {
        Self {
            key: RecordKey::Task(task),
            value: Some(RecordValue::Task(record)),
        }
    }

    /// Creates the record of the planner's term.
    #[must_use]
    pub const fn term(record: TermRecord) -> Self {
        Self {
            key: RecordKey::Term,
            value: Some(RecordValue::Term(record)),
        }
    }

    /// Creates a tombstone, which deletes a key.
    #[must_use]
    pub const fn tombstone(key: RecordKey) -> Self {
        Self { key, value: None }
    }
}

//! Materialized view of the batch topic.

use indexmap::IndexMap;

use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::job::JobSubmission;
use crate::batch::job::MAX_TASKS;
use crate::batch::job::QueueName;
use crate::batch::job::RunKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::record::BatchRecord;
use crate::batch::record::IncarnationKey;
use crate::batch::record::RecordKey;
use crate::batch::record::RecordValue;
use crate::batch::record::TaskRecord;
use crate::batch::record::TaskState;
use crate::batch::record::TermRecord;
use crate::units::ClockTime;

plain_data! {
    /// State of a job, as recorded in the topic.
    #[derive(Default)]
    pub struct JobEntry {
        /// The definition, absent if only other records of the job were read. The submission is
        /// cleared when the job ends.
        pub definition: Option<Box<JobDefinition>>,
        /// Whether its cancellation was recorded.
        pub cancelled: bool,
        /// The phase recorded by the planner, absent before the first start.
        pub phase: Option<JobPhase>,
        /// Records of tasks by occurrence and step, indexed by the task's index. A task that was
        /// never placed has a default record or none.
        pub steps: IndexMap<(u32, u32), Vec<TaskRecord>>,
        /// Number of tasks of an ended job whose records are still in the topic, by occurrence and
        /// step.
        pub undeleted_tasks: IndexMap<(u32, u32), u32>,
        /// Runs that were recorded when the job ended. They may go on until they are stopped.
        pub unended_runs: Vec<UnendedRun>,
        /// When this daemon learned of the end of the job, if it had such runs.
        pub unended_since: Option<ClockTime>,
    }

    /// A recorded run of an ended job.
    pub struct UnendedRun {
        /// Key of the run.
        pub run: RunKey,
        /// Worker on which it was placed.
        pub key: IncarnationKey,
        /// Step of its task.
        pub step: StepDefinition,
    }

    /// Jobs and the planner's term, as recorded in the batch topic.
    #[derive(Default)]
    pub struct BatchView {
        /// All jobs with a record, including ended ones until their records are deleted.
        pub jobs: IndexMap<JobKey, JobEntry>,
        /// The newest term record, absent before the first claim.
        pub term: Option<TermRecord>,
        /// Offsets of records that were applied ahead of the reader: from a snapshot of the newest
        /// record of each key, or from a confirmed append. A record of the same key at this or a
        /// lower offset is skipped when it is read.
        applied_offsets: IndexMap<RecordKey, u64>,
        /// Offset after the last record that was read.
        next_offset: u64,
    }
}

/// The change that a record made to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// No change, or one that requires no action by the daemon.
    None,
    /// A job was accepted.
    Accepted(JobKey),
    /// A job was cancelled.
    Cancelled(JobKey),
    /// A job's phase was recorded.
    Phase(JobKey),
    /// A task's record was written or deleted.
    Task(TaskKey),
    /// The term was claimed, renewed or released.
    Term,
}

impl JobEntry {
    /// Returns the phase reported to callers: cancelled as soon as the cancellation is recorded,
    /// unless the job had already ended.
    #[must_use]
    pub fn reported_phase(&self) -> JobPhase {
        match self.phase {
            Some(phase) if phase.is_final() => phase,
            _ if self.cancelled => JobPhase::Cancelled,
            Some(phase) => phase,
            None => JobPhase::Queued,
        }
    }

    /// Returns whether the job has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.reported_phase().is_final()
    }

    /// Returns the definition of a job that has not ended.
    #[must_use]
    pub fn open_definition(&self) -> Option<&JobDefinition> {
        if self.has_ended() {
            return None;
        }
        self.definition.as_deref()
    }

    /// Returns the record of a task. A task that was never placed has a default record or none.
    #[must_use]
    pub fn task_record(&self, task: &TaskKey) -> Option<&TaskRecord> {
        let records = self.steps.get(&(task.step.occurrence, task.step.step))?;
        records.get(task.index as usize)
    }

    /// Returns whether every task of a step is done.
    #[must_use]
    pub fn is_step_done(&self, step: &StepKey, count: u32) -> bool {
        let records = self.steps.get(&(step.occurrence, step.step));
        records.is_some_and(|records| {
            records.len() >= count as usize
                && records.iter().all(|record| record.state == TaskState::Done)
        })
    }

    /// Returns whether every task of every occurrence is done.
    #[must_use]
    pub fn is_done(&self, job: JobKey, submission: &JobSubmission) -> bool {
        (0..submission.occurrence_count()).all(|occurrence| {
            (0_u32..).zip(&submission.steps).all(|(index, step)| {
                let key = StepKey {
                    job,
                    occurrence,
                    step: index,
                };
                self.is_step_done(&key, step.count)
            })
        })
    }
}

impl BatchView {
    /// Builds the view from a snapshot: the newest record of each key, with its offset.
    #[must_use]
    pub fn load(records: &[(u64, BatchRecord)]) -> Self {
        let mut view = Self::default();
        for (offset, record) in records {
            view.update(record);
            view.applied_offsets.insert(record.key, *offset);
        }
        view
    }

    /// Applies a record that was read from the topic, unless it was applied before.
    pub fn apply(&mut self, offset: u64, record: &BatchRecord) -> ViewChange {
        self.next_offset = self.next_offset.max(offset + 1);
        if let Some(applied) = self.applied_offsets.get(&record.key).copied() {
            if offset >= applied {
                self.applied_offsets.swap_remove(&record.key);
            }
            if offset <= applied {
                return ViewChange::None;
            }
        }
        self.update(record)
    }

    /// Applies a record whose append was confirmed, unless it was applied before.
    pub fn apply_confirmed(&mut self, offset: u64, record: &BatchRecord) -> ViewChange {
        let applied = self.applied_offsets.get(&record.key).copied();
        if offset < self.next_offset || applied.is_some_and(|applied| applied >= offset) {
            return ViewChange::None;
        }
        self.applied_offsets.insert(record.key, offset);
        self.update(record)
    }

    /// Notes when the daemon learned of the end of a job, if it has recorded runs.
    pub fn note_end(&mut self, job: JobKey, at: ClockTime) {
        if let Some(entry) = self.jobs.get_mut(&job)
            && !entry.unended_runs.is_empty()
        {
            entry.unended_since.get_or_insert(at);
        }
    }

    /// Returns the number of a queue's jobs that have not started.
    #[must_use]
    pub fn count_pending(&self, queue: &QueueName) -> u64 {
        let pending = self.jobs.values().filter(|entry| {
            let definition = entry.definition.as_deref();
            entry.reported_phase() == JobPhase::Queued
                && definition.is_some_and(|definition| definition.queue == *queue)
        });
        pending.count() as u64
    }

    fn update(&mut self, record: &BatchRecord) -> ViewChange {
        match (record.key, &record.value) {
            (RecordKey::Term, Some(RecordValue::Term(term))) => {
                self.term = Some(term.clone());
                ViewChange::Term
            }
            (RecordKey::Job(job), Some(RecordValue::Job(definition))) => {
                let entry = self.jobs.entry(job).or_default();
                if entry.definition.is_some() {
                    return ViewChange::None;
                }
                entry.definition = Some(definition.clone());
                entry.compact(job);
                ViewChange::Accepted(job)
            }
            (RecordKey::Cancel(job), Some(_)) => {
                let entry = self.jobs.entry(job).or_default();
                entry.cancelled = true;
                entry.compact(job);
                ViewChange::Cancelled(job)
            }
            (RecordKey::Phase(job), Some(RecordValue::Phase(phase))) => {
                let entry = self.jobs.entry(job).or_default();
                entry.phase = Some(*phase);
                entry.compact(job);
                ViewChange::Phase(job)
            }
            // Tasks are stored by index, so an index beyond any job's must not reach the view.
            (RecordKey::Task(task), Some(RecordValue::Task(record)))
                if u64::from(task.index) < MAX_TASKS =>
            {
                self.update_task(&task, record);
                ViewChange::Task(task)
            }
            (RecordKey::Task(task), None) => {
                if let Some(entry) = self.jobs.get_mut(&task.step.job) {
                    entry.remove_task(&task);
                }
                ViewChange::Task(task)
            }
            (RecordKey::Job(job), None) => {
                self.jobs.swap_remove(&job);
                ViewChange::None
            }
            _ => ViewChange::None,
        }
    }

    fn update_task(&mut self, task: &TaskKey, record: &TaskRecord) {
        let entry = self.jobs.entry(task.step.job).or_default();
        let step = (task.step.occurrence, task.step.step);
        if entry.has_ended() {
            let count = entry.undeleted_tasks.entry(step).or_default();
            *count = (task.index + 1).max(*count);
            return;
        }
        let records = entry.steps.entry(step).or_default();
        let index = task.index as usize;
        if records.len() <= index {
            records.resize_with(index + 1, TaskRecord::default);
        }
        records[index] = record.clone();
    }
}

impl JobEntry {
    /// Handles the deletion of a task's record. The planner deletes the records of a step in the
    /// order of their index, so the highest one is the last.
    fn remove_task(&mut self, task: &TaskKey) {
        let step = (task.step.occurrence, task.step.step);
        if self.undeleted_tasks.get(&step) == Some(&(task.index + 1)) {
            self.undeleted_tasks.swap_remove(&step);
        }
    }

    /// Keeps the recorded runs of a job that ends, because a later planner has to count them.
    fn keep_unended_runs(&mut self, job: JobKey) {
        let Some(definition) = &self.definition else {
            return;
        };
        for ((occurrence, step), records) in &self.steps {
            let Some(definition) = definition.submission.steps.get(*step as usize) else {
                continue;
            };
            let step = StepKey {
                job,
                occurrence: *occurrence,
                step: *step,
            };
            for (index, record) in (0_u32..).zip(records) {
                if let TaskState::Placed(key) | TaskState::Stopping(key) = &record.state {
                    let task = TaskKey { step, index };
                    self.unended_runs.push(UnendedRun {
                        run: RunKey {
                            task,
                            attempt: record.attempt,
                        },
                        key: key.clone(),
                        step: definition.clone(),
                    });
                }
            }
        }
    }

    /// Drops the submission and the task records of an ended job, which bounds the memory of the
    /// view.
    fn compact(&mut self, job: JobKey) {
        if !self.has_ended() {
            return;
        }
        self.keep_unended_runs(job);
        for (step, records) in std::mem::take(&mut self.steps) {
            let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
            self.undeleted_tasks.insert(step, count);
        }
        if let Some(definition) = &mut self.definition {
            definition.submission = JobSubmission::default();
        }
    }
}

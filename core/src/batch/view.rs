//! The book of jobs, which every daemon derives from the batch topic.

use indexmap::IndexMap;

use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::job::JobSubmission;
use crate::batch::job::QueueName;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::record::BatchRecord;
use crate::batch::record::RecordKey;
use crate::batch::record::RecordValue;
use crate::batch::record::TaskRecord;
use crate::batch::record::TaskState;
use crate::batch::record::TermRecord;

plain_data! {
    /// What is known of one job.
    #[derive(Default)]
    pub struct JobEntry {
        /// The definition; its submission is dropped when the job has ended.
        pub definition: Option<Box<JobDefinition>>,
        /// Whether it was cancelled.
        pub cancelled: bool,
        /// The phase that the planner recorded.
        pub phase: Option<JobPhase>,
        /// Tasks that were placed at least once, by occurrence and step, at their index.
        pub steps: IndexMap<(u32, u32), Vec<TaskRecord>>,
        /// Number of tasks whose records are still in the log although the job has ended, by
        /// occurrence and step.
        pub undeleted_tasks: IndexMap<(u32, u32), u32>,
    }

    /// The book of jobs.
    #[derive(Default)]
    pub struct BatchView {
        /// The jobs.
        pub jobs: IndexMap<JobKey, JobEntry>,
        /// The newest term.
        pub term: Option<TermRecord>,
        /// Offsets of records that are known before the topic was read up to them: those that were
        /// loaded with the newest of each key, and those whose append was confirmed. Records of
        /// the same keys that are read later and are not newer change nothing.
        applied_offsets: IndexMap<RecordKey, u64>,
        /// The offset after the last record that was read.
        next_offset: u64,
    }
}

/// What a record changed, for those who act on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// Nothing that matters to anyone.
    None,
    /// A job was accepted.
    Accepted(JobKey),
    /// A job was cancelled.
    Cancelled(JobKey),
    /// A job's phase was recorded.
    Phase(JobKey),
    /// A task was recorded.
    Task(TaskKey),
    /// The term was claimed, renewed or released.
    Term,
}

impl JobEntry {
    /// Returns the phase that callers see.
    #[must_use]
    pub fn reported_phase(&self) -> JobPhase {
        match self.phase {
            Some(phase) if phase.is_final() => phase,
            _ if self.cancelled => JobPhase::Cancelled,
            Some(phase) => phase,
            None => JobPhase::Queued,
        }
    }

    /// Tells whether the job has no work left.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.reported_phase().is_final()
    }

    /// Returns the definition while the job has work left.
    #[must_use]
    pub fn open_definition(&self) -> Option<&JobDefinition> {
        if self.has_ended() {
            return None;
        }
        self.definition.as_deref()
    }

    /// Returns what lasts of a task, if it was ever placed.
    #[must_use]
    pub fn task_record(&self, task: &TaskKey) -> Option<&TaskRecord> {
        let records = self.steps.get(&(task.step.occurrence, task.step.step))?;
        records.get(task.index as usize)
    }

    /// Tells whether every task of a step is done.
    #[must_use]
    pub fn is_step_done(&self, step: &StepKey, count: u32) -> bool {
        let records = self.steps.get(&(step.occurrence, step.step));
        records.is_some_and(|records| {
            records.len() >= count as usize
                && records.iter().all(|record| record.state == TaskState::Done)
        })
    }

    /// Tells whether every task of every occurrence is done.
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
    /// Builds the book from the newest record of each key.
    #[must_use]
    pub fn load(records: &[(u64, BatchRecord)]) -> Self {
        let mut view = Self::default();
        for (offset, record) in records {
            view.update(record);
            view.applied_offsets.insert(record.key, *offset);
        }
        view
    }

    /// Applies a record that was read from the topic.
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

    /// Applies a record whose append was confirmed, unless it was read already.
    pub fn apply_confirmed(&mut self, offset: u64, record: &BatchRecord) -> ViewChange {
        let applied = self.applied_offsets.get(&record.key).copied();
        if offset < self.next_offset || applied.is_some_and(|applied| applied >= offset) {
            return ViewChange::None;
        }
        self.applied_offsets.insert(record.key, offset);
        self.update(record)
    }

    /// Returns the number of a queue's jobs for which no task has begun.
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
                entry.compact();
                ViewChange::Accepted(job)
            }
            (RecordKey::Cancel(job), Some(_)) => {
                let entry = self.jobs.entry(job).or_default();
                entry.cancelled = true;
                entry.compact();
                ViewChange::Cancelled(job)
            }
            (RecordKey::Phase(job), Some(RecordValue::Phase(phase))) => {
                let entry = self.jobs.entry(job).or_default();
                entry.phase = Some(*phase);
                entry.compact();
                ViewChange::Phase(job)
            }
            (RecordKey::Task(task), Some(RecordValue::Task(record))) => {
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
    /// Notes that a task's record was removed. Those of a step are removed in order.
    fn remove_task(&mut self, task: &TaskKey) {
        let step = (task.step.occurrence, task.step.step);
        if self.undeleted_tasks.get(&step) == Some(&(task.index + 1)) {
            self.undeleted_tasks.swap_remove(&step);
        }
    }

    /// Drops what an ended job no longer needs.
    fn compact(&mut self) {
        if !self.has_ended() {
            return;
        }
        for (step, records) in std::mem::take(&mut self.steps) {
            let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
            self.undeleted_tasks.insert(step, count);
        }
        if let Some(definition) = &mut self.definition {
            definition.submission = JobSubmission::default();
        }
    }
}

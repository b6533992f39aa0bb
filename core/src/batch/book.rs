//! The book of jobs, which every daemon derives from the batch topic.

use indexmap::IndexMap;

use crate::batch::job::JobDefinition;
use crate::batch::job::JobDraft;
use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::job::QueueName;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::record::BatchRecord;
use crate::batch::record::RecordKey;
use crate::batch::record::RecordValue;
use crate::batch::record::TaskNote;
use crate::batch::record::TaskState;
use crate::batch::record::TermRecord;

plain_data! {
    /// What is known of one job.
    #[derive(Default)]
    pub struct JobEntry {
        /// The definition; its draft is dropped when the job has ended.
        pub definition: Option<Box<JobDefinition>>,
        /// Whether it was cancelled.
        pub cancelled: bool,
        /// The phase that the planner recorded.
        pub phase: Option<JobPhase>,
        /// Tasks that were placed at least once, by occurrence and step, at their index.
        pub steps: IndexMap<(u32, u32), Vec<TaskNote>>,
        /// Number of tasks whose records are still in the log although the job has ended, by
        /// occurrence and step.
        pub leftovers: IndexMap<(u32, u32), u32>,
    }

    /// The book of jobs.
    #[derive(Default)]
    pub struct JobBook {
        /// The jobs.
        pub jobs: IndexMap<JobKey, JobEntry>,
        /// The newest term.
        pub term: Option<TermRecord>,
        /// Offsets of records that are known before the topic was read up to them: those that were
        /// loaded with the newest of each key, and those whose append was confirmed. Records of
        /// the same keys that are read later and are not newer change nothing.
        known: IndexMap<RecordKey, u64>,
        /// The offset after the last record that was read.
        read_to: u64,
    }
}

/// What a record changed, for those who act on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookChange {
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
    pub fn shown_phase(&self) -> JobPhase {
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
        self.shown_phase().is_final()
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
    pub fn note(&self, task: &TaskKey) -> Option<&TaskNote> {
        let notes = self.steps.get(&(task.step.occurrence, task.step.step))?;
        notes.get(task.index as usize)
    }

    /// Tells whether every task of a step is done.
    #[must_use]
    pub fn is_step_done(&self, step: &StepKey, count: u32) -> bool {
        let notes = self.steps.get(&(step.occurrence, step.step));
        notes.is_some_and(|notes| {
            notes.len() >= count as usize && notes.iter().all(|note| note.state == TaskState::Done)
        })
    }

    /// Tells whether every task of every occurrence is done.
    #[must_use]
    pub fn is_done(&self, job: JobKey, draft: &JobDraft) -> bool {
        (0..draft.occurrences()).all(|occurrence| {
            (0_u32..).zip(&draft.steps).all(|(place, step)| {
                let key = StepKey {
                    job,
                    occurrence,
                    step: place,
                };
                self.is_step_done(&key, step.count)
            })
        })
    }
}

impl JobBook {
    /// Builds the book from the newest record of each key.
    #[must_use]
    pub fn load(records: &[(u64, BatchRecord)]) -> Self {
        let mut book = Self::default();
        for (offset, record) in records {
            book.change(record);
            book.known.insert(record.key, *offset);
        }
        book
    }

    /// Applies a record that was read from the topic.
    pub fn apply(&mut self, offset: u64, record: &BatchRecord) -> BookChange {
        self.read_to = self.read_to.max(offset + 1);
        if let Some(known) = self.known.get(&record.key).copied() {
            if offset >= known {
                self.known.swap_remove(&record.key);
            }
            if offset <= known {
                return BookChange::None;
            }
        }
        self.change(record)
    }

    /// Applies a record whose append was confirmed, unless it was read already.
    pub fn apply_confirmed(&mut self, offset: u64, record: &BatchRecord) -> BookChange {
        let known = self.known.get(&record.key).copied();
        if offset < self.read_to || known.is_some_and(|known| known >= offset) {
            return BookChange::None;
        }
        self.known.insert(record.key, offset);
        self.change(record)
    }

    /// Returns the number of a queue's jobs for which no task has begun.
    #[must_use]
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let waiting = self.jobs.values().filter(|entry| {
            let definition = entry.definition.as_deref();
            entry.shown_phase() == JobPhase::Queued
                && definition.is_some_and(|definition| definition.queue == *queue)
        });
        waiting.count() as u64
    }

    fn change(&mut self, record: &BatchRecord) -> BookChange {
        match (record.key, &record.value) {
            (RecordKey::Term, Some(RecordValue::Term(term))) => {
                self.term = Some(term.clone());
                BookChange::Term
            }
            (RecordKey::Job(job), Some(RecordValue::Job(definition))) => {
                let entry = self.jobs.entry(job).or_default();
                if entry.definition.is_some() {
                    return BookChange::None;
                }
                entry.definition = Some(definition.clone());
                entry.shrink();
                BookChange::Accepted(job)
            }
            (RecordKey::Cancel(job), Some(_)) => {
                let entry = self.jobs.entry(job).or_default();
                entry.cancelled = true;
                entry.shrink();
                BookChange::Cancelled(job)
            }
            (RecordKey::Phase(job), Some(RecordValue::Phase(phase))) => {
                let entry = self.jobs.entry(job).or_default();
                entry.phase = Some(*phase);
                entry.shrink();
                BookChange::Phase(job)
            }
            (RecordKey::Task(task), Some(RecordValue::Task(note))) => {
                self.note_task(&task, note);
                BookChange::Task(task)
            }
            (RecordKey::Task(task), None) => {
                if let Some(entry) = self.jobs.get_mut(&task.step.job) {
                    entry.task_removed(&task);
                }
                BookChange::Task(task)
            }
            (RecordKey::Job(job), None) => {
                self.jobs.swap_remove(&job);
                BookChange::None
            }
            _ => BookChange::None,
        }
    }

    fn note_task(&mut self, task: &TaskKey, note: &TaskNote) {
        let entry = self.jobs.entry(task.step.job).or_default();
        let place = (task.step.occurrence, task.step.step);
        if entry.has_ended() {
            let count = entry.leftovers.entry(place).or_default();
            *count = (task.index + 1).max(*count);
            return;
        }
        let notes = entry.steps.entry(place).or_default();
        let index = task.index as usize;
        if notes.len() <= index {
            notes.resize_with(index + 1, TaskNote::default);
        }
        notes[index] = note.clone();
    }
}

impl JobEntry {
    /// Notes that a task's record was removed. Those of a step are removed in order.
    fn task_removed(&mut self, task: &TaskKey) {
        let place = (task.step.occurrence, task.step.step);
        if self.leftovers.get(&place) == Some(&(task.index + 1)) {
            self.leftovers.swap_remove(&place);
        }
    }

    /// Drops what an ended job no longer needs.
    fn shrink(&mut self) {
        if !self.has_ended() {
            return;
        }
        for (place, notes) in std::mem::take(&mut self.steps) {
            let count = u32::try_from(notes.len()).unwrap_or(u32::MAX);
            self.leftovers.insert(place, count);
        }
        if let Some(definition) = &mut self.definition {
            definition.draft = JobDraft::default();
        }
    }
}

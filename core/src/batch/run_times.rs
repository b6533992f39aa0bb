//! Run times that each queue's tasks were seen to take, against the times that jobs declare.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::batch::book::JobEntry;
use crate::batch::job::JobDraft;
use crate::batch::job::JobKey;
use crate::batch::job::QueueName;
use crate::batch::job::TaskKey;
use crate::batch::record::TaskState;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Completed runs that are kept for each queue.
const SAMPLES: usize = 48;

/// Completed runs before which a queue's declared times are taken as they are.
const LEAST_SAMPLES: usize = 6;

/// One whole, in the ratios of this module.
const WHOLE: u64 = 1_000;

/// Share of the recent runs, in tenths, that bounds what counts as sound.
const SOUND_TENTHS: usize = 8;

/// Allowance, in thousandths, on that bound.
const SPREAD_MARGIN: u64 = 1_200;

/// One completed run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RunSample {
    declared: TimeSpan,
    ran: TimeSpan,
}

/// What is expected of a queue's runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ExpectedTime {
    /// What the job declares.
    #[default]
    Declared,
    /// What the job declares, times a ratio in thousandths.
    Scaled(u64),
    /// The same for every run.
    Typical(TimeSpan),
}

impl ExpectedTime {
    fn of(self, declared: TimeSpan) -> TimeSpan {
        match self {
            Self::Declared => declared,
            Self::Scaled(ratio) => TimeSpan(declared.0.saturating_mul(ratio) / WHOLE),
            Self::Typical(span) => span,
        }
    }
}

/// The completed runs of one queue.
#[derive(Clone, Debug, Default)]
struct QueueTimes {
    recent: VecDeque<RunSample>,
    expected: ExpectedTime,
    spread: Option<u64>,
    longest: TimeSpan,
    learning_since: Option<ClockTime>,
}

/// Run times by queue.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    queues: IndexMap<QueueName, QueueTimes>,
    /// Attempts and times of placements that were seen.
    placed: IndexMap<TaskKey, (u32, ClockTime)>,
}

impl RunTimes {
    /// Takes in the newest note of a task, and learns from a run that was seen from its placement
    /// to its end. Every daemon sees both in the batch topic, so a new planner knows them too.
    pub fn see(&mut self, task: &TaskKey, entry: &JobEntry, at: ClockTime) {
        let Some(note) = entry.note(task) else { return };
        match &note.state {
            TaskState::Placed(_) if note.checkpoint.is_empty() => {
                self.placed.insert(*task, (note.attempt, at));
            }
            TaskState::Done => self.see_end(task, note.attempt, entry, at),
            TaskState::Placed(_) | TaskState::Leaving(_) | TaskState::Waiting => {
                self.placed.swap_remove(task);
            }
        }
    }

    /// Forgets the runs of a job that has ended.
    pub fn forget(&mut self, job: JobKey) {
        self.placed.retain(|task, _| task.step.job != job);
    }

    fn see_end(&mut self, task: &TaskKey, attempt: u32, entry: &JobEntry, at: ClockTime) {
        let placed = self.placed.swap_remove(task);
        let Some((_, since)) = placed.filter(|(placed, _)| *placed == attempt) else {
            return;
        };
        let Some(definition) = entry.definition.as_deref() else {
            return;
        };
        if let Some(step) = definition.draft.steps.get(task.step.step as usize) {
            self.add(&definition.queue, step.estimate, at.since(since), at);
        }
    }

    fn add(&mut self, queue: &QueueName, declared: TimeSpan, ran: TimeSpan, at: ClockTime) {
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.clone(), QueueTimes::default());
        }
        if let Some(times) = self.queues.get_mut(queue) {
            times.add(RunSample { declared, ran }, at);
        }
    }

    /// Returns how long a run of a queue is expected to take on a sound worker near its data.
    #[must_use]
    pub fn expected(&self, queue: &QueueName, declared: TimeSpan) -> TimeSpan {
        let times = self.queues.get(queue);
        let expected = times.map(|times| times.expected).unwrap_or_default();
        expected.of(declared)
    }

    /// Returns how long a sound run of a queue takes at most, by what was seen, once enough was seen.
    #[must_use]
    pub fn longest(&self, queue: &QueueName, declared: TimeSpan) -> Option<TimeSpan> {
        let spread = self.queues.get(queue)?.spread?;
        let expected = self.expected(queue, declared);
        Some(TimeSpan(expected.0.saturating_mul(spread) / WHOLE))
    }

    /// Returns the expected time of a job's longest chain of steps.
    #[must_use]
    pub fn expected_chain(&self, queue: &QueueName, draft: &JobDraft) -> TimeSpan {
        draft.longest_chain(|step| self.expected(queue, step.estimate))
    }
}

impl QueueTimes {
    fn add(&mut self, sample: RunSample, at: ClockTime) {
        self.longest = self.longest.max(sample.ran);
        let since = *self.learning_since.get_or_insert(at);
        if self.recent.len() == SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(sample);
        if self.recent.len() >= LEAST_SAMPLES {
            self.expected = self.closest();
        }
        // The first runs to be done are the short ones.
        if self.recent.len() >= LEAST_SAMPLES && at.since(since) > TimeSpan(self.longest.0 * 2) {
            self.spread = Some(self.spread());
        }
    }

    /// Returns the ratio of seen to expected time that most runs keep to. The longest runs are left
    /// out, because they are the ones on slow workers.
    fn spread(&self) -> u64 {
        let ratios = self.recent.iter().map(|sample| {
            let expected = self.expected.of(sample.declared);
            sample.ran.0 * WHOLE / expected.0.max(1)
        });
        let mut ratios: Vec<u64> = ratios.collect();
        let place = ratios.len() * SOUND_TENTHS / 10;
        let (_, ratio, _) = ratios.select_nth_unstable(place);
        (*ratio).max(WHOLE) * SPREAD_MARGIN / WHOLE
    }

    /// Returns the expectation that would have been closest for the recent runs. Medians keep runs
    /// on slow workers from shifting it.
    fn closest(&self) -> ExpectedTime {
        let ratios = self.recent.iter();
        let ratios = ratios.map(|sample| sample.ran.0 * WHOLE / sample.declared.0.max(1));
        let ratio = median(ratios.collect());
        let typical = median(self.recent.iter().map(|sample| sample.ran.0).collect());
        let scaled_miss: u64 = self
            .recent
            .iter()
            .map(|sample| {
                miss(
                    sample.ran.0,
                    sample.declared.0.saturating_mul(ratio) / WHOLE,
                )
            })
            .sum();
        let typical_miss: u64 = self
            .recent
            .iter()
            .map(|sample| miss(sample.ran.0, typical))
            .sum();
        if scaled_miss <= typical_miss {
            ExpectedTime::Scaled(ratio)
        } else {
            ExpectedTime::Typical(TimeSpan(typical))
        }
    }
}

/// Returns by what factor two times differ, in thousandths.
fn miss(left: u64, right: u64) -> u64 {
    left.max(right) * WHOLE / left.min(right).max(1)
}

fn median(mut values: Vec<u64>) -> u64 {
    let middle = values.len() / 2;
    let (_, value, _) = values.select_nth_unstable(middle);
    *value
}

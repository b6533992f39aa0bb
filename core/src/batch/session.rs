//! Workers as the planner sees them: one life each, with its lease, its runs and its ends.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::JobKey;
use crate::batch::job::RunKey;
use crate::batch::job::StepKey;
use crate::batch::job::TaskDemand;
use crate::batch::job::TaskKey;
use crate::batch::job::WorkerCondition;
use crate::batch::job::WorkerEntry;
use crate::ids::TeamName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// A worker's clock may run this much slower than ours, in thousandths.
const CLOCK_DRIFT_PER_MILLE: u64 = 21;

/// Allowance on the end of a lease for times that are rounded to milliseconds.
const LEASE_SLACK: TimeSpan = TimeSpan(100);

/// Time without an answer after which a worker gets no new tasks.
const MAX_ANSWER_AGE: TimeSpan = TimeSpan(2_600);

/// Time that a worker gets no new tasks after it has refused or not answered one.
const BACKOFF: TimeSpan = TimeSpan(1_500);

/// Time that a worker gets no new tasks after runs of several jobs have failed there.
const QUARANTINE_TIME: TimeSpan = TimeSpan(6_000);

/// Jobs with a failed run, without a success between them, that put a worker into quarantine.
const QUARANTINE_FAILED_JOBS: usize = 2;

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Its placement is on the way into the log. Nothing was sent.
    Recording,
    /// Its start was sent and not answered.
    Starting,
    /// The worker has begun it.
    Running,
    /// An earlier planner placed it; the worker has not been asked.
    Adopted,
    /// The worker runs it without a placement on record.
    Untracked,
}

/// A stop that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopRequest {
    /// When it was last sent.
    pub sent_at: ClockTime,
    /// When the worker answered it.
    pub answered_at: Option<ClockTime>,
    /// How often it was sent.
    pub sends: u32,
}

/// A run that takes room on a worker.
#[derive(Clone, Debug)]
pub struct RunSlot {
    /// What it takes.
    pub demand: TaskDemand,
    /// Its queue's priority.
    pub priority: u32,
    /// Its team.
    pub team: Option<TeamName>,
    /// Whether it belongs to a gang.
    pub is_gang_member: bool,
    /// How far it has come.
    pub phase: RunPhase,
    /// When the phase began.
    pub since: ClockTime,
    /// When it was placed.
    pub placed_at: ClockTime,
    /// Its expected run time.
    pub expected_run_time: TimeSpan,
    /// Its progress in percent, when it was last listed.
    pub percent: u32,
    /// When it was last listed.
    pub listed_at: ClockTime,
    /// Sendings of its start.
    pub start_sends: u32,
    /// Whether a start may still be carried out although it was not answered.
    pub is_start_uncertain: bool,
    /// Whether it has to make room.
    pub is_evicted: bool,
    /// Its stop, once one was sent.
    pub stop: Option<StopRequest>,
    /// Its newest checkpoint.
    pub checkpoint: String,
}

/// The hold that renews a worker's lease.
#[derive(Clone, Debug, Default)]
pub struct HoldState {
    /// When the hold in flight was sent.
    pub sent_at: Option<ClockTime>,
    /// When the next one is due.
    pub due_at: ClockTime,
    /// When the last one was answered.
    pub answered_at: Option<ClockTime>,
    /// Holds without an answer since.
    pub failures: u32,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSession {
    /// What it says of itself, unless its entry is gone.
    pub entry: Option<WorkerEntry>,
    /// When it leaves at the earliest, by its own account.
    pub drain_deadline: Option<ClockTime>,
    /// IP number and port, which stay known when the entry is gone: entries can lapse while the
    /// worker is well.
    pub address: Option<String>,
    /// When its life began, by its own account.
    pub incarnation: u64,
    /// Its clock and when it was read.
    pub clock_reading: Option<(u64, ClockTime)>,
    /// When everything on it has certainly ended unless its lease is renewed.
    pub lease_expires_at: ClockTime,
    /// Whether it has listed its runs in this term.
    pub has_listed: bool,
    /// The highest number of an end that was taken in.
    pub last_end: u64,
    /// Ends whose records are on the way into the log.
    pub unrecorded_ends: IndexSet<u64>,
    /// The number up to which the worker has forgotten its ends, as its answers show.
    pub forgotten_end: u64,
    /// Runs that take room on it.
    pub runs: IndexMap<RunKey, RunSlot>,
    /// Its hold.
    pub hold: HoldState,
    /// When its lists are to be asked for beside the hold.
    pub probe_at: Option<ClockTime>,
    /// Until when it gets no new tasks.
    pub backoff_until: ClockTime,
    /// Jobs with a failed run since its last success.
    pub failed_jobs: IndexSet<JobKey>,
}

impl WorkerSession {
    /// Creates a life of which nothing is known but its beginning.
    #[must_use]
    pub fn new(incarnation: u64, at: ClockTime) -> Self {
        Self {
            entry: None,
            drain_deadline: None,
            address: None,
            incarnation,
            clock_reading: None,
            lease_expires_at: at,
            has_listed: false,
            last_end: 0,
            unrecorded_ends: IndexSet::new(),
            forgotten_end: 0,
            runs: IndexMap::new(),
            hold: HoldState::default(),
            probe_at: None,
            backoff_until: ClockTime(0),
            failed_jobs: IndexSet::new(),
        }
    }

    /// Begins the life that `born` names. What was started a moment ago may have reached it, so its
    /// first list decides about each run.
    pub fn restart(&mut self, incarnation: u64, at: ClockTime) {
        let mut next = Self::new(incarnation, at);
        next.address = self.address.take();
        next.entry = self.entry.take();
        next.lease_expires_at = self.lease_expires_at;
        next.runs = std::mem::take(&mut self.runs);
        if let Some(entry) = &mut next.entry {
            entry.incarnation = incarnation;
        }
        for slot in next.runs.values_mut() {
            if slot.phase == RunPhase::Running {
                slot.phase = RunPhase::Adopted;
            }
            slot.stop = None;
        }
        *self = next;
    }

    /// Returns the end of a lease from now on by the worker's clock, once its clock is known.
    #[must_use]
    pub fn lease_end(&self, lease: TimeSpan, at: ClockTime) -> Option<u64> {
        let (clock, read) = self.clock_reading?;
        Some(clock + at.since(read).0 + lease.0)
    }

    /// Notes that a lease up to `end` by the worker's clock was asked for.
    pub fn extend_lease(&mut self, end: u64) {
        let Some((clock, read)) = self.clock_reading else {
            return;
        };
        let span = end.saturating_sub(clock);
        let span = TimeSpan(span + span * CLOCK_DRIFT_PER_MILLE / 1_000);
        self.lease_expires_at = self.lease_expires_at.max(read + span + LEASE_SLACK);
    }

    /// Returns the longest time for which a worker can hold a lease of `max_lease`.
    #[must_use]
    pub fn longest_lease(max_lease: TimeSpan) -> TimeSpan {
        TimeSpan(max_lease.0 + max_lease.0 * CLOCK_DRIFT_PER_MILLE / 1_000) + LEASE_SLACK
    }

    /// Returns the number up to which the worker may forget its ends, or 0 when it has done so.
    ///
    /// A hold can reach a later life of the worker, whose ends are numbered anew. One that lets
    /// nothing be forgotten does no harm there.
    #[must_use]
    pub fn acknowledged_end(&self) -> u64 {
        let first = self.unrecorded_ends.iter().min();
        let last = first.map_or(self.last_end, |first| first - 1);
        if last > self.forgotten_end { last } else { 0 }
    }

    /// Returns the room that is left: none beside a run of which only the worker's list is known.
    #[must_use]
    pub fn free_capacity(&self) -> TaskDemand {
        let mut slots = self.runs.values();
        if slots.any(|slot| slot.phase == RunPhase::Untracked) {
            return TaskDemand::default();
        }
        let mut capacity = self
            .entry
            .as_ref()
            .map(|entry| entry.capacity)
            .unwrap_or_default();
        for slot in self.runs.values() {
            capacity.subtract(&slot.demand);
        }
        capacity
    }

    /// Returns the number of a step's runs that take room.
    #[must_use]
    pub fn run_count(&self, step: &StepKey) -> u32 {
        let runs = self.runs.keys().filter(|run| run.task.step == *step);
        u32::try_from(runs.count()).unwrap_or(u32::MAX)
    }

    /// Tells whether the worker can get new tasks.
    #[must_use]
    pub fn is_usable(&self, at: ClockTime) -> bool {
        let has_answered = self
            .hold
            .answered_at
            .is_some_and(|answered_at| at.since(answered_at) < MAX_ANSWER_AGE);
        let entry = self.entry.as_ref();
        entry.is_some_and(|entry| entry.condition == WorkerCondition::Ready)
            && self.has_listed
            && has_answered
            && self.hold.failures == 0
            && at >= self.backoff_until
    }

    /// Notes that the worker has refused or not answered an order.
    pub fn back_off(&mut self, at: ClockTime) {
        self.backoff_until = self.backoff_until.max(at + BACKOFF);
    }

    /// Notes a failed run. Returns whether the worker goes into quarantine.
    ///
    /// One job can fail by its own fault, so failures count by job.
    pub fn record_failure(&mut self, task: &TaskKey, at: ClockTime) -> bool {
        self.failed_jobs.insert(task.step.job);
        let is_suspect = self.failed_jobs.len() >= QUARANTINE_FAILED_JOBS;
        if is_suspect {
            self.backoff_until = self.backoff_until.max(at + QUARANTINE_TIME);
        }
        is_suspect
    }

    /// Notes a run that is done.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
    }
}

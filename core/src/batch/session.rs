//! Planner-side state of workers: one session for each worker incarnation, with its lease, its runs
//! and its unacknowledged ends.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::JobKey;
use crate::batch::job::RunKey;
use crate::batch::job::StepKey;
use crate::batch::job::TaskDemand;
use crate::batch::job::TaskKey;
use crate::batch::job::WorkerCondition;
use crate::batch::job::WorkerEntry;
use crate::batch::worker_speed::WorkerSpeed;
use crate::ids::OrderToken;
use crate::ids::TeamName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Allowed clock drift: how much slower than the planner's clock a worker's clock may run.
const CLOCK_DRIFT_PER_MILLE: u64 = 21;

/// Margin on the end of a lease, because times are rounded to milliseconds.
const LEASE_SLACK: TimeSpan = TimeSpan(100);

/// Time for which a start order is valid. A worker refuses an order that reaches it later, so that
/// an unanswered start is settled soon afterwards.
const START_VALIDITY: TimeSpan = TimeSpan(1_000);

/// Maximum number of doublings of [`START_VALIDITY`] at a worker that is reached late.
const MAX_VALIDITY_DOUBLINGS: u32 = 2;

/// Time after an unanswered order for which other workers are preferred.
const SUSPICION_TIME: TimeSpan = TimeSpan(5_000);

/// Age of the last answer from which a worker receives no new tasks.
const MAX_ANSWER_AGE: TimeSpan = TimeSpan(2_600);

/// Time for which a worker receives no new tasks after it refused an order or left one unanswered.
const BACKOFF: TimeSpan = TimeSpan(1_500);

/// Time for which a worker receives no new tasks after runs of several jobs failed on it.
const QUARANTINE_TIME: TimeSpan = TimeSpan(6_000);

/// Number of jobs with a failed run, without a success in between, that put a worker into
/// quarantine.
const QUARANTINE_FAILED_JOBS: usize = 2;

/// State of a run, derived from its records, its orders and the worker's run lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The placement record is being appended; no order has been sent.
    Recording,
    /// The start order was sent and has not been answered.
    Starting,
    /// The start was given up without an answer. Lists of the worker that are requested after the
    /// deadline of the order show whether the run began.
    Unconfirmed,
    /// The worker confirmed the start, or lists the run as running.
    Running,
    /// An earlier planner placed the run, or this one at an earlier incarnation of the worker; the
    /// worker has not listed it since.
    Adopted,
    /// The worker lists the run, but no placement is recorded.
    Untracked,
}

/// End of the validity of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartDeadline {
    /// In milliseconds of the worker's clock, as the order carries it.
    pub worker_time: u64,
    /// Time from which the worker certainly refuses the order.
    pub expires_at: ClockTime,
}

/// A stop order that was sent for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopRequest {
    /// When the order was last sent.
    pub sent_at: ClockTime,
    /// When the worker first acknowledged the order.
    pub answered_at: Option<ClockTime>,
    /// How many times the order was sent.
    pub sends: u32,
}

/// A run that occupies capacity on a worker.
#[derive(Clone, Debug)]
pub struct RunSlot {
    /// Occupied resources; zero for an untracked run, whose size is unknown.
    pub demand: TaskDemand,
    /// Resources that the job declares for the task, which count against the cap of the team. For an
    /// untracked run of an ended job they are not known, and this is an upper bound.
    pub declared_demand: TaskDemand,
    /// Priority of the run's queue; 0 is urgent.
    pub priority: u32,
    /// Team of the job; absent on a public queue.
    pub team: Option<TeamName>,
    /// Whether the run is a member of a gang.
    pub is_gang_member: bool,
    /// Phase of the run, which decides whether orders are sent for it.
    pub phase: RunPhase,
    /// When the run entered its phase.
    pub since: ClockTime,
    /// When the run was placed, adopted or first listed in this term.
    pub placed_at: ClockTime,
    /// Run time that the job declares; it can be far off.
    pub expected_run_time: TimeSpan,
    /// Progress in percent as of `listed_at`.
    pub percent: u32,
    /// When the worker last listed the run; the creation time of the slot before that.
    pub listed_at: ClockTime,
    /// Whether an unanswered start order may still be carried out.
    pub is_start_uncertain: bool,
    /// Deadline of the start orders of this run; absent before the first one, and at an incarnation
    /// of the worker to which none was sent.
    pub start_deadline: Option<StartDeadline>,
    /// Whether the run is to be stopped to free its capacity, or because its start was abandoned.
    pub is_evicted: bool,
    /// The stop order; absent until one is sent.
    pub stop: Option<StopRequest>,
    /// Newest checkpoint; empty when there is none.
    pub checkpoint: String,
}

/// State of the hold, the long poll that renews a worker's lease and returns its run lists.
#[derive(Clone, Debug, Default)]
pub struct HoldState {
    /// When the hold in flight was sent; absent while none is in flight.
    pub sent_at: Option<ClockTime>,
    /// Earliest time of the next hold.
    pub due_at: ClockTime,
    /// When a hold was last answered; absent before the first answer.
    pub answered_at: Option<ClockTime>,
    /// Number of consecutive holds that failed.
    pub failures: u32,
}

/// The planner's state for one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSession {
    /// The newest entry of this incarnation in the workers' topic; absent before it is read and once
    /// it is gone.
    pub entry: Option<WorkerEntry>,
    /// Whether the incarnation is known from its lists and its entry has not been read yet. The
    /// session is kept meanwhile, because its hold goes on.
    pub is_entry_awaited: bool,
    /// Earliest time at which the worker shuts down, as announced by a draining worker.
    pub drain_deadline: Option<ClockTime>,
    /// IP address and port. They are kept when the entry is gone, because an entry can expire while
    /// the worker is healthy.
    pub address: Option<String>,
    /// Start time of the worker's process as the worker reports it, which identifies the
    /// incarnation.
    pub incarnation: u64,
    /// Fencing token of the orders to this incarnation, higher than those of all earlier orders to
    /// the worker.
    pub token: OrderToken,
    /// Whether the worker has carried out an order with the token, so that it refuses all earlier
    /// orders.
    pub is_token_confirmed: bool,
    /// Last reading of the worker's clock in milliseconds, and when it was taken.
    pub clock_reading: Option<(u64, ClockTime)>,
    /// Time after which all runs on the worker have ended unless the lease is renewed.
    pub lease_expires_at: ClockTime,
    /// The latest end of the lease that was requested, in milliseconds of the worker's clock.
    requested_lease_end: u64,
    /// Whether the worker has listed its runs in this term. Reset when its runs are removed as
    /// lost.
    pub has_listed: bool,
    /// Highest number of an end that was processed; ends are numbered from 1.
    pub last_end: u64,
    /// Numbers of processed ends whose records are not committed yet.
    pub unrecorded_ends: IndexSet<u64>,
    /// Number up to which the worker has discarded its ends, as its answers show.
    pub discarded_end: u64,
    /// Runs that occupy capacity on the worker.
    pub runs: IndexMap<RunKey, RunSlot>,
    /// The hold, of which at most one is in flight.
    pub hold: HoldState,
    /// When to request the run lists by a probe, which does not wait for the hold.
    pub probe_at: Option<ClockTime>,
    /// Time until which the worker receives no new tasks.
    pub backoff_until: ClockTime,
    /// Number of consecutive starts that were not answered or arrived after their deadline.
    pub late_starts: u32,
    /// When an order was last left unanswered.
    pub unanswered_at: Option<ClockTime>,
    /// Jobs with a failed run since the last successful run on the worker.
    pub failed_jobs: IndexSet<JobKey>,
    /// Evidence about the speed of the incarnation.
    pub speed: WorkerSpeed,
}

impl WorkerSession {
    /// Creates the session of an incarnation, without an entry, a clock reading or runs.
    #[must_use]
    pub fn new(incarnation: u64, token: OrderToken, at: ClockTime) -> Self {
        Self {
            entry: None,
            is_entry_awaited: false,
            drain_deadline: None,
            address: None,
            incarnation,
            token,
            is_token_confirmed: false,
            clock_reading: None,
            lease_expires_at: at,
            requested_lease_end: 0,
            has_listed: false,
            last_end: 0,
            unrecorded_ends: IndexSet::new(),
            discarded_end: 0,
            runs: IndexMap::new(),
            hold: HoldState::default(),
            probe_at: None,
            backoff_until: ClockTime(0),
            late_starts: 0,
            unanswered_at: None,
            failed_jobs: IndexSet::new(),
            speed: WorkerSpeed::default(),
        }
    }

    /// Replaces the session by one for a new incarnation.
    ///
    /// Orders to the old process can reach the new one until it refuses them by the token, so the
    /// first list that it returns to an order with the token determines which runs are kept. The
    /// ends of their leases are times of the old process's clock, which the new one can take for the
    /// longest lease. The new process can differ in service, rack, labels and capacity, so it
    /// receives no tasks until its own entry is read.
    pub fn restart(
        &mut self,
        incarnation: u64,
        token: OrderToken,
        max_lease: TimeSpan,
        at: ClockTime,
    ) {
        let mut next = Self::new(incarnation, token, at);
        next.address = self.address.take();
        next.is_entry_awaited = true;
        next.lease_expires_at = self
            .lease_expires_at
            .max(at + Self::longest_lease(max_lease));
        next.runs = std::mem::take(&mut self.runs);
        for slot in next.runs.values_mut() {
            match slot.phase {
                RunPhase::Running | RunPhase::Starting | RunPhase::Unconfirmed => {
                    slot.phase = RunPhase::Adopted;
                }
                RunPhase::Recording | RunPhase::Adopted | RunPhase::Untracked => {}
            }
            // The deadline is a time of the old process's clock.
            slot.start_deadline = None;
            slot.stop = None;
        }
        *self = next;
    }

    /// Replaces the entry by the newest one in the workers' topic, or by `None` once it is gone.
    /// Returns whether there was one before.
    pub fn set_entry(&mut self, entry: Option<&WorkerEntry>) -> bool {
        self.is_entry_awaited = false;
        if let Some(entry) = entry {
            self.address = Some(entry.address.clone());
        }
        std::mem::replace(&mut self.entry, entry.cloned()).is_some()
    }

    /// Records that the worker has carried out an order with the session's token.
    ///
    /// An order of an earlier session can have extended its lease until then, from a time that is
    /// not known and up to the longest lease.
    pub fn confirm_token(&mut self, max_lease: TimeSpan, at: ClockTime) {
        if self.is_token_confirmed {
            return;
        }
        self.is_token_confirmed = true;
        let expires_at = at + Self::longest_lease(max_lease);
        self.lease_expires_at = self.lease_expires_at.max(expires_at);
    }

    /// Returns the end of a lease that starts now, in milliseconds of the worker's clock, or `None`
    /// before the first reading of that clock.
    #[must_use]
    pub fn lease_end(&self, lease: TimeSpan, at: ClockTime) -> Option<u64> {
        let (clock, read) = self.clock_reading?;
        let elapsed = at.since(read) + lease;
        Some(clock.saturating_add(elapsed.0))
    }

    /// Records that a lease up to `end`, in milliseconds of the worker's clock, was requested.
    pub fn extend_lease(&mut self, end: u64) {
        if let Some(reached_at) = self.certainly_reached(end) {
            self.lease_expires_at = self.lease_expires_at.max(reached_at);
            self.requested_lease_end = self.requested_lease_end.max(end);
        }
    }

    /// Returns the end of the lease for the next hold, in milliseconds of the worker's clock, and
    /// extends the lease if the worker answers.
    ///
    /// A silent worker is offered the end that was requested last. Its runs go on if any of the
    /// holds arrives, and its lease expires no later than without them.
    pub fn renew_lease(&mut self, lease: TimeSpan, at: ClockTime) -> Option<u64> {
        if self.hold.failures > 0 {
            return (self.requested_lease_end > 0).then_some(self.requested_lease_end);
        }
        let end = self.lease_end(lease, at)?;
        self.extend_lease(end);
        Some(end)
    }

    /// Returns the deadline of a start order that is sent now, or `None` before the first reading
    /// of the worker's clock.
    #[must_use]
    pub fn start_deadline(&self, at: ClockTime) -> Option<StartDeadline> {
        let validity = START_VALIDITY.0 << self.late_starts.min(MAX_VALIDITY_DOUBLINGS);
        let worker_time = self.lease_end(TimeSpan(validity), at)?;
        Some(StartDeadline {
            worker_time,
            expires_at: self.certainly_reached(worker_time)?,
        })
    }

    /// Returns the time at which the worker's clock has certainly reached `time`, in milliseconds
    /// of that clock, or `None` before its first reading.
    fn certainly_reached(&self, time: u64) -> Option<ClockTime> {
        let (clock, read) = self.clock_reading?;
        let span = time.saturating_sub(clock);
        let drift = span.saturating_mul(CLOCK_DRIFT_PER_MILLE) / 1_000;
        Some(read + TimeSpan(span) + TimeSpan(drift) + LEASE_SLACK)
    }

    /// Returns the longest time, by the planner's clock, for which a worker can hold a lease of
    /// `max_lease`.
    #[must_use]
    pub fn longest_lease(max_lease: TimeSpan) -> TimeSpan {
        TimeSpan(max_lease.0 + max_lease.0 * CLOCK_DRIFT_PER_MILLE / 1_000) + LEASE_SLACK
    }

    /// Returns the number up to which the worker may discard its ends, or 0 when it has already
    /// discarded them or is silent.
    ///
    /// A hold can reach a later incarnation of the worker, which numbers its ends anew. The value 0
    /// makes such a hold discard nothing. A worker that has not answered the last hold may have
    /// started again meanwhile.
    #[must_use]
    pub fn acknowledged_end(&self) -> u64 {
        if self.hold.failures > 0 {
            return 0;
        }
        let first = self.unrecorded_ends.iter().min();
        let last = first.map_or(self.last_end, |first| first - 1);
        if last > self.discarded_end { last } else { 0 }
    }

    /// Returns the unallocated capacity, which is zero while the size of an untracked run is
    /// unknown.
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

    /// Returns the number of the step's runs that occupy capacity on the worker.
    #[must_use]
    pub fn run_count(&self, step: &StepKey) -> u32 {
        let runs = self.runs.keys().filter(|run| run.task.step == *step);
        u32::try_from(runs.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether the worker can receive new tasks.
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

    /// Schedules a probe at the given time, unless one is due before.
    pub fn schedule_probe(&mut self, at: ClockTime) {
        self.probe_at = Some(self.probe_at.map_or(at, |due| due.min(at)));
    }

    /// Returns whether the worker left an order unanswered a short time ago. Other workers are
    /// preferred then, because each order that it ignores costs the time until it is settled.
    #[must_use]
    pub fn is_suspect(&self, at: ClockTime) -> bool {
        let unanswered_at = self.unanswered_at;
        unanswered_at.is_some_and(|unanswered_at| at.since(unanswered_at) < SUSPICION_TIME)
    }

    /// Suspends new tasks after the worker refused an order or left one unanswered.
    pub fn back_off(&mut self, at: ClockTime) {
        self.backoff_until = self.backoff_until.max(at + BACKOFF);
    }

    /// Records a failed run and returns whether the worker enters quarantine.
    ///
    /// Failures count once per job, because a job can fail through its own fault.
    pub fn record_failure(&mut self, task: &TaskKey, at: ClockTime) -> bool {
        self.failed_jobs.insert(task.step.job);
        let is_suspect = self.failed_jobs.len() >= QUARANTINE_FAILED_JOBS;
        if is_suspect {
            self.backoff_until = self.backoff_until.max(at + QUARANTINE_TIME);
        }
        is_suspect
    }

    /// Records a successful run, which clears the failure count.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
    }
}

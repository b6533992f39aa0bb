//! Model of a worker: runs under a lease that is measured by the worker's own clock, and numbered
//! ends that are kept until they are acknowledged.

use indexmap::IndexMap;

use mustardpath_core::batch::job::RunKey;
use mustardpath_core::batch::job::TaskKey;
use mustardpath_core::batch::job::WorkerEntry;
use mustardpath_core::batch::message::EndedRow;
use mustardpath_core::batch::message::OrderOutcome;
use mustardpath_core::batch::message::OrderRefusal;
use mustardpath_core::batch::message::RunEnding;
use mustardpath_core::batch::message::RunningRow;
use mustardpath_core::batch::message::WorkerLists;
use mustardpath_core::ids::OrderToken;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Time from a stop order to the end of the run.
const STOP_DELAY: TimeSpan = TimeSpan(200);

/// Maximum number of ends in a list.
const MAX_LISTED_ENDS: usize = 500;

/// Behavior of a worker towards orders and runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerBehavior {
    /// Executes orders, and runs end as their jobs define.
    Healthy,
    /// Executes orders, but all runs fail.
    FailsRuns,
    /// Refuses starts as unhealthy, without executing them.
    RefusesStarts,
    /// Has no process and accepts no connections.
    Down,
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct SimulatedRun {
    /// Time of the start order.
    pub arrived_at: ClockTime,
    /// Start of the work. `None` for a member of a gang that is not complete yet.
    pub started_at: Option<ClockTime>,
    /// Duration of the work.
    pub run_time: TimeSpan,
    /// Whether the run fails at the end of its work.
    pub will_fail: bool,
    /// Time at which an ordered stop takes effect.
    pub stops_at: Option<ClockTime>,
}

impl SimulatedRun {
    /// Returns the progress of the work in percent.
    fn percent(&self, at: ClockTime) -> u32 {
        let elapsed = self
            .started_at
            .map_or(0, |started_at| at.since(started_at).0);
        let percent = (elapsed * 100).checked_div(self.run_time.0).unwrap_or(100);
        u32::try_from(percent.min(100)).unwrap_or(100)
    }
}

/// A worker with its lease, its runs and its ends.
#[derive(Clone, Debug)]
pub struct BatchWorker {
    /// Entry that the worker writes to the store.
    pub entry: WorkerEntry,
    /// Current behavior, which tests set to inject faults.
    pub behavior: WorkerBehavior,
    /// Start of this incarnation.
    pub started_at: ClockTime,
    /// Rate by which the worker's clock runs slow, in thousandths.
    pub clock_loss_permille: u64,
    /// Maximum length of a lease from the current time.
    pub max_lease: TimeSpan,
    /// Highest fencing token of any order. Orders with a lower one are refused.
    pub token: OrderToken,
    /// End of the lease in milliseconds of the worker's clock.
    pub lease_end: u64,
    /// Runs in progress.
    pub running: IndexMap<RunKey, SimulatedRun>,
    /// Ended runs that the planner has not acknowledged.
    pub ended: Vec<EndedRow>,
    /// Number of the last end before the lease last expired. The planner may have run the tasks of
    /// such ends again.
    pub lapsed_end: u64,
    /// Highest attempt of each task that was stopped or has ended on this worker.
    closed_attempts: IndexMap<TaskKey, u32>,
    last_ended_number: u64,
}

impl BatchWorker {
    /// Creates a healthy worker whose incarnation starts at `at`.
    #[must_use]
    pub fn new(
        entry: WorkerEntry,
        clock_loss_permille: u64,
        max_lease: TimeSpan,
        at: ClockTime,
    ) -> Self {
        Self {
            entry,
            behavior: WorkerBehavior::Healthy,
            started_at: at,
            clock_loss_permille,
            max_lease,
            token: OrderToken(0),
            lease_end: 0,
            running: IndexMap::new(),
            ended: Vec::new(),
            lapsed_end: 0,
            closed_attempts: IndexMap::new(),
            last_ended_number: 0,
        }
    }

    /// Returns the worker's clock in milliseconds. It starts at 1,000 and may run slow.
    #[must_use]
    pub fn clock(&self, at: ClockTime) -> u64 {
        let span = at.since(self.started_at).0;
        1_000 + span - span * self.clock_loss_permille / 1_000
    }

    /// Extends the lease to `end`, at most by [`BatchWorker::max_lease`]. The lease never shortens.
    pub fn extend_lease(&mut self, end: u64, at: ClockTime) {
        if self.is_lease_expired(at) {
            self.lapsed_end = self.last_ended_number;
        }
        let longest = self.clock(at) + self.max_lease.0;
        self.lease_end = self.lease_end.max(end.min(longest));
    }

    /// Returns whether the lease has expired.
    #[must_use]
    pub fn is_lease_expired(&self, at: ClockTime) -> bool {
        self.clock(at) >= self.lease_end
    }

    /// Returns the time until the lease expires unless it is extended, by the simulation's clock.
    #[must_use]
    pub fn time_to_lease_end(&self, at: ClockTime) -> TimeSpan {
        let left = self.lease_end.saturating_sub(self.clock(at));
        // One millisecond is added because the worker's clock truncates to whole milliseconds.
        TimeSpan(left * 1_000 / (1_000 - self.clock_loss_permille) + 1)
    }

    /// Adopts the token of an order. Returns a refusal if the worker has seen a higher one.
    pub fn check_token(&mut self, token: OrderToken, at: ClockTime) -> Option<OrderOutcome> {
        if token < self.token {
            return Some(self.refused_outcome(OrderRefusal::Fenced, at));
        }
        self.token = token;
        None
    }

    /// Returns the outcome of a refused order.
    #[must_use]
    pub fn refused_outcome(&self, refusal: OrderRefusal, at: ClockTime) -> OrderOutcome {
        OrderOutcome::Refused {
            clock: Some(self.clock(at)),
            refusal,
        }
    }

    /// Returns the outcome of an executed order, with the lists of running and ended runs on
    /// request.
    #[must_use]
    pub fn done_outcome(&self, has_lists: bool, at: ClockTime) -> OrderOutcome {
        OrderOutcome::Done {
            clock: self.clock(at),
            lists: has_lists.then(|| Box::new(self.lists(at))),
        }
    }

    /// Returns whether this or a later attempt of the task was stopped or has ended on this worker.
    #[must_use]
    pub fn is_closed(&self, run: &RunKey) -> bool {
        let closed = self.closed_attempts.get(&run.task);
        closed.is_some_and(|attempt| *attempt >= run.attempt)
    }

    /// Stops a run. If its start has not arrived yet, the start will be refused.
    pub fn stop_run(&mut self, run: &RunKey, at: ClockTime) {
        match self.running.get_mut(run) {
            Some(model) => {
                model.stops_at.get_or_insert(at + STOP_DELAY);
            }
            None => self.close_attempt(run),
        }
    }

    /// Discards all ends up to the number `acknowledged_end`.
    pub fn acknowledge(&mut self, acknowledged_end: u64) {
        self.ended.retain(|row| row.number > acknowledged_end);
    }

    /// Ends a run and assigns the next number to its end.
    pub fn end_run(&mut self, run: &RunKey, ending: RunEnding) {
        self.running.swap_remove(run);
        self.close_attempt(run);
        self.last_ended_number += 1;
        self.ended.push(EndedRow {
            number: self.last_ended_number,
            run: *run,
            ending,
            checkpoint: String::new(),
        });
    }

    fn close_attempt(&mut self, run: &RunKey) {
        let closed = self.closed_attempts.entry(run.task).or_default();
        *closed = run.attempt.max(*closed);
    }

    fn lists(&self, at: ClockTime) -> WorkerLists {
        let running = self.running.iter().map(|(run, model)| RunningRow {
            run: *run,
            checkpoint: String::new(),
            percent: model.percent(at),
        });
        WorkerLists {
            incarnation: Some(self.entry.incarnation),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            has_more_ends: self.ended.len() >= MAX_LISTED_ENDS,
        }
    }
}

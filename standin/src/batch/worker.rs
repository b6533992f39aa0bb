//! A worker of the platform: runs under leases on its own clock, with numbered ends.

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
use mustardpath_core::ids::TermNumber;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Time in which a stop takes effect.
const STOP_DELAY: TimeSpan = TimeSpan(200);

/// How a worker treats its orders and runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerBehavior {
    /// It is well.
    Healthy,
    /// Whatever it starts fails.
    FailsRuns,
    /// It refuses starts, having done nothing.
    RefusesStarts,
    /// Its process is gone.
    Down,
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct SimulatedRun {
    /// When it arrived_at.
    pub arrived_at: ClockTime,
    /// When its work began; a gang begins when all members are there.
    pub started_at: Option<ClockTime>,
    /// How long its work takes.
    pub run_time: TimeSpan,
    /// Whether its work fails.
    pub will_fail: bool,
    /// When a stop takes effect.
    pub stops_at: Option<ClockTime>,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct BatchWorker {
    /// What it says of itself.
    pub entry: WorkerEntry,
    /// How it behaves.
    pub behavior: WorkerBehavior,
    /// When its life began.
    pub started_at: ClockTime,
    /// Loss of its clock in thousandths.
    pub clock_loss_permille: u64,
    /// Longest lease that it grants.
    pub max_lease: TimeSpan,
    /// The highest term that it has seen.
    pub term: TermNumber,
    /// The end of its lease by its own clock.
    pub lease_end: u64,
    /// Runs in progress.
    pub running: IndexMap<RunKey, SimulatedRun>,
    /// Ends that were not acknowledged.
    pub ended: Vec<EndedRow>,
    /// The highest attempt of a task that was stopped or has ended here.
    closed_attempts: IndexMap<TaskKey, u32>,
    last_ended_number: u64,
}

impl BatchWorker {
    /// Creates a worker whose life begins now.
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
            term: TermNumber(0),
            lease_end: 0,
            running: IndexMap::new(),
            ended: Vec::new(),
            closed_attempts: IndexMap::new(),
            last_ended_number: 0,
        }
    }

    /// Returns the worker's clock.
    #[must_use]
    pub fn clock(&self, at: ClockTime) -> u64 {
        let span = at.since(self.started_at).0;
        1_000 + span - span * self.clock_loss_permille / 1_000
    }

    /// Extends the lease, which never shortens.
    pub fn extend_lease(&mut self, end: u64, at: ClockTime) {
        let longest = self.clock(at) + self.max_lease.0;
        self.lease_end = self.lease_end.max(end.min(longest));
    }

    /// Tells whether the lease has ended.
    #[must_use]
    pub fn is_lease_expired(&self, at: ClockTime) -> bool {
        self.clock(at) >= self.lease_end
    }

    /// Returns the time until the lease ends, unless it is extended.
    #[must_use]
    pub fn time_to_lease_end(&self, at: ClockTime) -> TimeSpan {
        let left = self.lease_end.saturating_sub(self.clock(at));
        // A millisecond more, because the clock shows whole ones.
        TimeSpan(left * 1_000 / (1_000 - self.clock_loss_permille) + 1)
    }

    /// Takes the term of an order. Returns a refusal when a newer one was seen.
    pub fn check_term(&mut self, term: TermNumber, at: ClockTime) -> Option<OrderOutcome> {
        if term < self.term {
            return Some(self.refused_outcome(OrderRefusal::Fenced, at));
        }
        self.term = term;
        None
    }

    /// Returns a refusal.
    #[must_use]
    pub fn refused_outcome(&self, refusal: OrderRefusal, at: ClockTime) -> OrderOutcome {
        OrderOutcome::Refused {
            clock: Some(self.clock(at)),
            refusal,
        }
    }

    /// Returns the answer to an order that was carried out.
    #[must_use]
    pub fn done_outcome(&self, has_lists: bool, at: ClockTime) -> OrderOutcome {
        OrderOutcome::Done {
            clock: self.clock(at),
            lists: has_lists.then(|| Box::new(self.lists())),
        }
    }

    /// Tells whether a run that is not higher was stopped or has ended here.
    #[must_use]
    pub fn is_closed(&self, run: &RunKey) -> bool {
        let closed = self.closed_attempts.get(&run.task);
        closed.is_some_and(|attempt| *attempt >= run.attempt)
    }

    /// Stops a run, or rejects one that has not come yet.
    pub fn stop_run(&mut self, run: &RunKey, at: ClockTime) {
        match self.running.get_mut(run) {
            Some(model) => {
                model.stops_at.get_or_insert(at + STOP_DELAY);
            }
            None => self.close_attempt(run),
        }
    }

    /// Forgets acknowledged ends.
    pub fn acknowledge(&mut self, acknowledged_end: u64) {
        self.ended.retain(|row| row.number > acknowledged_end);
    }

    /// Ends a run.
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

    fn lists(&self) -> WorkerLists {
        let running = self.running.keys().map(|run| RunningRow {
            run: *run,
            checkpoint: String::new(),
            percent: 0,
        });
        WorkerLists {
            incarnation: Some(self.entry.incarnation),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

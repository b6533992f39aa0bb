//! The planner: state that the holder of the term keeps in memory, beyond the materialized view.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::capacity::CapacityReservation;
use crate::batch::completion;
use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::job::RunKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::message::WorkerOrder;
use crate::batch::record::BatchRecord;
use crate::batch::record::IncarnationKey;
use crate::batch::record::TaskRecord;
use crate::batch::record::TaskState;
use crate::batch::retention::RetentionTracker;
use crate::batch::run_time::RunTimeModel;
use crate::batch::session::RunPhase;
use crate::batch::session::RunSlot;
use crate::batch::session::WorkerSession;
use crate::batch::share::JobRates;
use crate::batch::starts;
use crate::batch::state::BatchState;
use crate::batch::view::JobEntry;
use crate::batch::writer::WriteQueue;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::ids::CallId;
use crate::ids::OrderToken;
use crate::ids::TeamName;
use crate::ids::TermNumber;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Low bits of an order's number and of a fencing token, which count within a term. The term is in
/// the high bits, so an answer to an order of an earlier term of the same process never matches an
/// order of this term, and each token of a term is higher than those of all earlier ones.
const COUNTER_BITS: u32 = 32;

/// An order that was sent and not answered.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    /// Worker that the order was sent to.
    pub worker: WorkerName,
    /// Fencing token of the order.
    pub token: OrderToken,
    /// When the order was sent.
    pub sent_at: ClockTime,
    /// End of the lease that the order requests, in milliseconds of the worker's clock.
    pub lease_end: Option<u64>,
    /// Number up to which the order lets the worker discard its ends; 0 for none.
    pub acknowledged_end: u64,
    /// Operation that the order requests.
    pub kind: OrderKind,
}

/// The operation that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Renews the lease and requests the run lists, with a long-poll wait for the end of a run.
    Hold,
    /// Requests the run lists at once, while a hold may be waiting at the worker.
    Probe,
    /// Starts a run.
    Start(RunKey),
    /// Stops a run.
    Stop(RunKey),
}

impl OrderKind {
    /// Returns the name of the operation in log lines.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Hold => "hold",
            Self::Probe => "probe",
            Self::Start(_) => "start",
            Self::Stop(_) => "stop",
        }
    }
}

/// Records of one task that are being appended.
#[derive(Clone, Debug, Default)]
pub struct PendingWrite {
    /// Number of records that were not read back yet.
    pub count: u32,
    /// Content of the newest of the records.
    pub record: TaskRecord,
    /// Ends to acknowledge to their workers once the newest record was read back.
    pub ends: Vec<(IncarnationKey, u64)>,
}

/// State of the planner beyond the materialized view. It is rebuilt in each term.
#[derive(Clone, Debug)]
pub struct PlannerState {
    /// Term of the planner.
    pub term: TermNumber,
    /// When this daemon read back its claim of the term.
    pub term_began_at: ClockTime,
    /// Sessions of the workers that have an entry or runs.
    pub workers: IndexMap<WorkerName, WorkerSession>,
    /// Workers whose newest entry is ignored.
    pub ignored_entries: IndexSet<WorkerName>,
    /// Orders that were sent and not answered.
    pub orders: IndexMap<CallId, PendingOrder>,
    /// Number of the last order, with the term in its high bits.
    pub last_order: u64,
    /// Fencing token of the newest session, with the term in its high bits.
    pub last_token: OrderToken,
    /// Task records that are being appended, by task.
    pub pending_writes: IndexMap<TaskKey, PendingWrite>,
    /// Number of runs of each task that occupy capacity on any worker.
    pub live_runs: IndexMap<TaskKey, u32>,
    /// Jobs whose final phase is recorded or being appended.
    pub finalized_jobs: IndexSet<JobKey>,
    /// Jobs whose first placement is recorded or being appended.
    pub started_jobs: IndexSet<JobKey>,
    /// Capacity reserved for urgent units while other runs are stopped for them.
    pub reservations: IndexMap<StepKey, CapacityReservation>,
    /// Teams whose work the cap holds back, with the time of the last log line about it.
    pub capped_teams: IndexMap<TeamName, ClockTime>,
    /// Job rates of the teams.
    pub job_rates: JobRates,
    /// Teams that use less than half of their cap, with the time since when.
    pub low_usage_since: IndexMap<TeamName, ClockTime>,
    /// Workers on which runs of a step failed, by step.
    pub failed_workers: IndexMap<StepKey, IndexSet<WorkerName>>,
    /// Ended jobs whose records are kept until their retention ends.
    pub retention: RetentionTracker,
    /// Urgent units that were logged as overdue in this term.
    pub overdue_units: IndexSet<StepKey>,
    /// Jobs that are neither completed, failed nor cancelled.
    pub open_jobs: IndexSet<JobKey>,
    /// Open jobs that may have tasks to place. A round looks at these only.
    pub waiting_jobs: IndexSet<JobKey>,
    /// Workers whose hold or probe is due outside a scan of all workers.
    pub due_workers: BTreeSet<(ClockTime, WorkerName)>,
    /// Whether holds and probes of all workers are checked, which each tick requests.
    pub is_scan_due: bool,
    /// Whether anything that affects placement has changed since the last round.
    pub is_dirty: bool,
    /// Earliest time of the next round.
    pub next_round_at: ClockTime,
    /// Whether runs may have to be stopped, so that `stops::reconcile` is due.
    pub is_reconcile_due: bool,
    /// Earliest time of the next pass of `stops::reconcile`.
    pub next_reconcile_at: ClockTime,
    /// Whether the planner extended leases at the last tick.
    pub is_extending: bool,
    /// Run times and worker speeds learned in this term.
    pub run_times: RunTimeModel,
}

impl PlannerState {
    /// Creates the state of a planner at the start of its term.
    #[must_use]
    pub fn new(term: TermNumber, at: ClockTime) -> Self {
        Self {
            term,
            term_began_at: at,
            workers: IndexMap::new(),
            ignored_entries: IndexSet::new(),
            orders: IndexMap::new(),
            last_order: term.0 << COUNTER_BITS,
            last_token: OrderToken(term.0 << COUNTER_BITS),
            pending_writes: IndexMap::new(),
            live_runs: IndexMap::new(),
            finalized_jobs: IndexSet::new(),
            started_jobs: IndexSet::new(),
            reservations: IndexMap::new(),
            capped_teams: IndexMap::new(),
            job_rates: JobRates::default(),
            low_usage_since: IndexMap::new(),
            failed_workers: IndexMap::new(),
            retention: RetentionTracker::default(),
            overdue_units: IndexSet::new(),
            open_jobs: IndexSet::new(),
            waiting_jobs: IndexSet::new(),
            due_workers: BTreeSet::new(),
            is_scan_due: true,
            is_dirty: true,
            next_round_at: at,
            is_reconcile_due: true,
            next_reconcile_at: at,
            is_extending: true,
            run_times: RunTimeModel::default(),
        }
    }

    /// Returns the session of a worker, which is created for the given incarnation if there is none.
    pub fn session_or_new(
        &mut self,
        worker: &WorkerName,
        incarnation: u64,
        at: ClockTime,
    ) -> &mut WorkerSession {
        let last_token = &mut self.last_token;
        let session = self.workers.entry(worker.clone());
        session.or_insert_with(|| WorkerSession::new(incarnation, next_token(last_token), at))
    }

    /// Replaces the session of a worker by one for a new incarnation, which is asked for its lists at
    /// once. Does nothing for an unknown worker.
    pub fn restart_session(
        &mut self,
        worker: &WorkerName,
        incarnation: u64,
        max_lease: TimeSpan,
        context: &mut StepContext<'_>,
    ) {
        let Some(session) = self.workers.get_mut(worker) else {
            return;
        };
        let token = next_token(&mut self.last_token);
        session.restart(incarnation, token, max_lease, context.at);
        self.due_workers.insert((context.at, worker.clone()));
        let line =
            format!("worker={worker} born={incarnation} token={token} outcome=new_incarnation");
        context.warn(LogTarget::Lease, line);
    }

    /// Adds a run that occupies capacity on a worker. Does nothing for an unknown worker.
    pub fn add_slot(&mut self, worker: &WorkerName, run: RunKey, slot: RunSlot) {
        let session = self.workers.get_mut(worker);
        if session.is_some_and(|session| session.runs.insert(run, slot).is_none()) {
            *self.live_runs.entry(run.task).or_default() += 1;
        }
    }

    /// Returns the slot of a run, or `None` if the run does not occupy the worker.
    pub fn slot_mut(&mut self, worker: &WorkerName, run: &RunKey) -> Option<&mut RunSlot> {
        self.workers.get_mut(worker)?.runs.get_mut(run)
    }

    /// Removes a run that no longer occupies capacity, and returns its slot.
    pub fn remove_slot(&mut self, worker: &WorkerName, run: &RunKey) -> Option<RunSlot> {
        let slot = self.workers.get_mut(worker)?.runs.swap_remove(run)?;
        if let Some(count) = self.live_runs.get_mut(&run.task) {
            *count -= 1;
            if *count == 0 {
                self.live_runs.swap_remove(&run.task);
            }
        }
        self.is_dirty = true;
        self.note_waiting(run.task.step.job);
        Some(slot)
    }

    /// Notes that a job may have tasks to place. Does nothing for a job that is not open.
    pub fn note_waiting(&mut self, job: JobKey) {
        if self.open_jobs.contains(&job) {
            self.waiting_jobs.insert(job);
        }
    }

    /// Removes and returns the workers that are due, which may include some that are no longer.
    pub fn take_due_workers(&mut self, at: ClockTime) -> Vec<WorkerName> {
        let later = self
            .due_workers
            .iter()
            .find(|(due_at, _)| *due_at > at)
            .cloned();
        let due = match later {
            Some(later) => {
                let later = self.due_workers.split_off(&later);
                std::mem::replace(&mut self.due_workers, later)
            }
            None => std::mem::take(&mut self.due_workers),
        };
        due.into_iter().map(|(_, worker)| worker).collect()
    }

    /// Returns whether a task has neither a live run nor an append in flight.
    #[must_use]
    pub fn is_settled(&self, task: &TaskKey) -> bool {
        !self.live_runs.contains_key(task) && !self.pending_writes.contains_key(task)
    }

    /// Returns the newest state of a task, or the default for one that was never placed.
    #[must_use]
    pub fn newest_record(&self, entry: &JobEntry, task: &TaskKey) -> TaskRecord {
        self.find_record(entry, task).cloned().unwrap_or_default()
    }

    /// Returns the newest state of a task: the one being appended, or else the one in the
    /// materialized view. Returns `None` for a task that was never placed.
    #[must_use]
    pub fn find_record<'a>(
        &'a self,
        entry: &'a JobEntry,
        task: &TaskKey,
    ) -> Option<&'a TaskRecord> {
        let pending = self.pending_writes.get(task).map(|write| &write.record);
        pending.or_else(|| entry.task_record(task))
    }

    /// Queues task records, all of them in one append.
    ///
    /// The members of a gang are placed and released atomically: otherwise a successor could find a
    /// part of the gang in the log and run it alone.
    pub fn record_tasks(&mut self, records: Vec<(TaskKey, TaskRecord)>, queue: &mut WriteQueue) {
        let mut is_first = true;
        for (task, record) in records {
            let write = self.pending_writes.entry(task).or_default();
            write.count += 1;
            write.record = record.clone();
            let record = BatchRecord::task(task, record);
            if std::mem::take(&mut is_first) {
                queue.push(record, None);
            } else {
                queue.push_atomic(record);
            }
        }
    }

    /// Marks runs for a stop, with the other members of their gangs.
    pub fn evict(&mut self, runs: &IndexSet<RunKey>) {
        self.is_reconcile_due = true;
        let gangs: IndexSet<StepKey> = runs.iter().map(|run| run.task.step).collect();
        for session in self.workers.values_mut() {
            for (run, slot) in &mut session.runs {
                let is_member = slot.is_gang_member && gangs.contains(&run.task.step);
                if is_member || runs.contains(run) {
                    slot.is_evicted = true;
                }
            }
        }
    }

    /// Removes and returns a pending order.
    pub fn take_order(&mut self, call: CallId) -> Option<PendingOrder> {
        self.orders.swap_remove(&call)
    }
}

/// Returns the next fencing token of a term.
fn next_token(last: &mut OrderToken) -> OrderToken {
    last.0 += 1;
    *last
}

/// Rebuilds the job rates of the teams from the view, because teams have received weights.
pub fn rebuild_job_rates(state: &mut BatchState) {
    let job_rates = JobRates::rebuild(state);
    if let Some(planner) = &mut state.planner {
        planner.job_rates = job_rates;
    }
}

/// Handles a task record that was read back: acknowledges ends, starts a recorded placement, or
/// finalizes the job.
pub fn apply_task(state: &mut BatchState, task: &TaskKey, context: &mut StepContext<'_>) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    planner.is_dirty = true;
    planner.note_waiting(task.step.job);
    if let Some(write) = planner.pending_writes.get_mut(task) {
        write.count -= 1;
        if write.count == 0 {
            let write = planner.pending_writes.swap_remove(task).unwrap_or_default();
            acknowledge_ends(planner, &write.ends, context.at);
        }
    }
    let record = state
        .view
        .jobs
        .get(&task.step.job)
        .and_then(|entry| entry.task_record(task));
    match record.map(|record| (&record.state, record.attempt)) {
        Some((TaskState::Placed(key), attempt)) => {
            let run = RunKey {
                task: *task,
                attempt,
            };
            let key = key.clone();
            starts::start_run(state, &key, run, context);
        }
        Some(_) => completion::finalize_job(state, task.step.job, context),
        None => {}
    }
}

/// Handles a job's acceptance that was read back: charges the job to the rate of its team.
pub fn accept_job(state: &mut BatchState, job: JobKey) {
    let definition = state
        .view
        .jobs
        .get(&job)
        .and_then(|entry| entry.definition.as_deref());
    let team = definition.and_then(|definition| Some((definition, definition.team.as_ref()?)));
    if let (Some(planner), Some((definition, team))) = (&mut state.planner, team) {
        let accepted_at = definition.accepted_at;
        planner
            .job_rates
            .accept(&state.catalog, team, job, accepted_at);
    }
    apply_job(state, job);
}

/// Handles a job's acceptance, phase or cancellation that was read back.
pub fn apply_job(state: &mut BatchState, job: JobKey) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    planner.is_dirty = true;
    planner.is_reconcile_due = true;
    let entry = state.view.jobs.get(&job);
    if entry.is_some_and(|entry| entry.open_definition().is_some()) {
        planner.open_jobs.insert(job);
        planner.waiting_jobs.insert(job);
    } else {
        planner.job_rates.remove(job);
        planner.open_jobs.swap_remove(&job);
        planner.waiting_jobs.swap_remove(&job);
        planner.finalized_jobs.swap_remove(&job);
        planner.started_jobs.swap_remove(&job);
        planner.failed_workers.retain(|step, _| step.job != job);
        planner.overdue_units.retain(|step| step.job != job);
    }
}

/// Acknowledges ends whose records were read back, so that workers can discard them.
fn acknowledge_ends(planner: &mut PlannerState, ends: &[(IncarnationKey, u64)], at: ClockTime) {
    for (key, number) in ends {
        let session = planner.workers.get_mut(&key.worker);
        if let Some(session) = session.filter(|session| session.incarnation == key.incarnation) {
            session.unrecorded_ends.swap_remove(number);
            if session.unrecorded_ends.is_empty() {
                session.hold.due_at = at;
                planner.due_workers.insert((at, key.worker.clone()));
            }
        }
    }
}

/// Creates the slot of a run of the step in the given phase.
#[must_use]
pub fn new_slot(
    definition: &JobDefinition,
    step: &StepDefinition,
    phase: RunPhase,
    at: ClockTime,
) -> RunSlot {
    RunSlot {
        demand: step.reserved_demand(),
        declared_demand: step.demand,
        priority: definition.priority,
        team: definition.team.clone(),
        is_gang_member: step.gang,
        phase,
        since: at,
        placed_at: at,
        expected_run_time: step.estimate,
        percent: 0,
        listed_at: at,
        is_start_uncertain: false,
        start_deadline: None,
        is_evicted: false,
        stop: None,
        checkpoint: String::new(),
    }
}

/// Returns the start order of a run, or `None` if its job has ended or its task was never placed.
///
/// `lease_end` is in milliseconds of the worker's clock.
#[must_use]
pub fn start_order(state: &BatchState, run: RunKey, lease_end: u64) -> Option<WorkerOrder> {
    let entry = state.view.jobs.get(&run.task.step.job)?;
    let definition = entry.open_definition()?;
    let record = entry.task_record(&run.task)?;
    Some(WorkerOrder::Start {
        run,
        spec: definition.submission.spec.clone(),
        checkpoint: record.checkpoint.clone(),
        lease_end,
    })
}

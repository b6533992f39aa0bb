//! Leases of the workers in this daemon's share, and what their renewal brings to light.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::call;
use crate::call::CallPurpose;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogPart;
use crate::effect::MetricName;
use crate::effect::PeerMessage;
use crate::effect::WorkerTasks;
use crate::gang;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::ids::WorkerName;
use crate::ledger;
use crate::ledger::JobPhase;
use crate::member;
use crate::state::DaemonState;
use crate::term;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::worker::TaskOutcome;
use crate::worker::TaskPhase;
use crate::worker::TaskStatus;
use crate::worker::VmState;
use crate::worker::WorkerCommand;

/// Time between the first renewals of two workers of a new share, so that taking a share over does
/// not call all its workers at once. New workers cannot start tasks before their first renewal.
const FIRST_RENEWAL_STEP: TimeSpan = TimeSpan(5);

/// The lease of one worker of the share.
#[derive(Clone, Debug)]
pub struct LeaseEntry {
    /// When the next call is due.
    pub due: ClockTime,
    /// When the worker last answered this daemon, or when the share was taken over.
    pub answered_at: ClockTime,
    /// When the last renewal was sent, or when the share was taken over.
    pub renewed_at: ClockTime,
    /// Revision of the worker's tasks that has been seen.
    pub revision: u64,
    /// The worker's boot number, once it has answered.
    pub boot: Option<u64>,
    /// Revision that the last renewal asked from; the answer to 0 lists all tasks.
    asked_from: u64,
    /// Whether a call is in flight.
    pub calling: bool,
    /// When the first of the calls that went unanswered was noticed.
    failing_since: Option<ClockTime>,
    /// Ends of tasks that are not on record yet.
    pub ended: BTreeMap<TaskId, TaskStatus>,
    /// Whether calls have gone unanswered for the suspicion time.
    silent: bool,
    /// Whether the loss has been logged.
    lost: bool,
}

/// The leases of this daemon's share.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    /// Leases by worker.
    pub entries: IndexMap<WorkerName, LeaseEntry>,
    /// Version of the VM list that the share was drawn from.
    pub drawn_version: u64,
    queue: BTreeSet<(ClockTime, WorkerName)>,
}

/// Takes over and gives up leases so that they match this daemon's share.
pub fn redraw(state: &mut DaemonState, at: ClockTime) {
    let live = member::live_daemons(state, at);
    let mine: Vec<WorkerName> = state
        .members
        .workers
        .values()
        .filter(|entry| entry.info.state != VmState::Gone)
        .filter(|entry| member::share_owner(&live, &entry.info) == Some(&state.settings.daemon))
        .map(|entry| entry.info.worker.clone())
        .collect();

    let mut entries = IndexMap::with_capacity(mine.len());
    for (index, worker) in (0..).zip(mine) {
        let due = at + TimeSpan(FIRST_RENEWAL_STEP.0 * index);
        let entry = state.leases.entries.swap_remove(&worker);
        entries.insert(worker, entry.unwrap_or_else(|| LeaseEntry::new(at, due)));
    }
    state.leases.entries = entries;
    state.leases.requeue();
}

impl LeaseEntry {
    fn new(at: ClockTime, due: ClockTime) -> Self {
        Self {
            due,
            answered_at: at,
            renewed_at: at,
            revision: 0,
            boot: None,
            asked_from: 0,
            calling: false,
            failing_since: None,
            ended: BTreeMap::new(),
            silent: false,
            lost: false,
        }
    }
}

impl LeaseTable {
    fn requeue(&mut self) {
        self.queue = self
            .entries
            .iter()
            .map(|(worker, entry)| (entry.due, worker.clone()))
            .collect();
    }

    fn schedule(&mut self, worker: &WorkerName, due: ClockTime) {
        let Some(entry) = self.entries.get_mut(worker) else {
            return;
        };
        self.queue.remove(&(entry.due, worker.clone()));
        entry.due = due;
        self.queue.insert((due, worker.clone()));
    }
}

fn is_lost(state: &DaemonState, entry: &LeaseEntry, at: ClockTime) -> bool {
    let timing = &state.settings.timing;
    entry.silent && at.since(entry.renewed_at) > timing.lease + timing.clock_margin + timing.call
}

/// Tells whether a worker of the share has been silent for the suspicion time.
#[must_use]
pub fn is_silent(state: &DaemonState, worker: &WorkerName) -> bool {
    silent_workers(state).contains(worker)
}

/// Returns workers of the share that have been silent for the suspicion time. Only workers of this
/// daemon's own region count: a partition between regions looks like silence from the far side.
#[must_use]
pub fn silent_workers(state: &DaemonState) -> Vec<WorkerName> {
    let mut silent = listed(state, |entry| entry.silent);
    retain_own_region(state, &mut silent);
    silent
}

/// Returns workers of the share whose lease is certain to have lapsed, in this daemon's own region.
#[must_use]
pub fn lost_workers(state: &DaemonState, at: ClockTime) -> Vec<WorkerName> {
    let mut lost = listed(state, |entry| is_lost(state, entry, at));
    retain_own_region(state, &mut lost);
    lost
}

fn retain_own_region(state: &DaemonState, workers: &mut Vec<WorkerName>) {
    workers.retain(|worker| {
        let entry = state.members.workers.get(worker);
        entry.is_some_and(|entry| entry.info.region == state.settings.region)
    });
}

fn listed(state: &DaemonState, test: impl Fn(&LeaseEntry) -> bool) -> Vec<WorkerName> {
    let entries = state.leases.entries.iter().filter(|(_, entry)| test(entry));
    entries.map(|(worker, _)| worker.clone()).collect()
}

/// Renews the leases that are due.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    while let Some((due, worker)) = state.leases.queue.first().cloned() {
        if due > context.at {
            return;
        }
        let next = context.at + state.settings.timing.lease_renewal;
        state.leases.schedule(&worker, next);
        contact(state, &worker, context);
    }
}

/// Renews a worker's lease, or only probes it while it is silent. A probe does not extend the
/// lease, so that the wait until it has lapsed comes to an end.
fn contact(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let at = context.at;
    let Some(entry) = state.leases.entries.get(worker) else {
        return;
    };
    if entry.calling {
        return;
    }
    let silent = entry.silent;
    let seen = entry.revision;
    let command = if silent {
        WorkerCommand::Fence {
            term: state.ledger.term.number,
        }
    } else {
        WorkerCommand::Renew {
            ttl: state.settings.timing.lease,
            seen,
            report_to: state.settings.caller_address.clone(),
        }
    };
    if let Some(entry) = state.leases.entries.get_mut(worker) {
        entry.calling = true;
        entry.asked_from = seen;
        if !silent {
            entry.renewed_at = at;
        }
    }
    call::send(state, worker, command, CallPurpose::Renew, context);
}

/// Takes a renewal's answer.
pub fn renewed(
    state: &mut DaemonState,
    worker: &WorkerName,
    revision: u64,
    boot: u64,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    let Some(entry) = state.leases.entries.get_mut(worker) else {
        return;
    };
    let restarted = entry.boot != Some(boot);
    let complete = entry.asked_from == 0;
    entry.boot = Some(boot);
    entry.revision = if restarted && !complete { 0 } else { revision };
    if restarted {
        refence(state, worker, context);
    }
    note_tasks(state, worker, tasks, context);
    if complete {
        note_missing(state, worker, tasks, context);
    } else if restarted {
        state.leases.schedule(worker, context.at);
    }
    report_pending(state, worker, context);
    forget_recorded(state, worker, context);
}

/// Tells the term to a worker that may have restarted: it has forgotten the term and would take
/// older commands.
fn refence(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let term = state.ledger.term.number;
    let command = WorkerCommand::Fence { term };
    call::send(state, worker, command, CallPurpose::Refence, context);
}

/// Notes that a worker of the share has answered.
pub fn heard(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let Some(entry) = state.leases.entries.get_mut(worker) else {
        return;
    };
    entry.calling = false;
    entry.answered_at = context.at;
    entry.failing_since = None;
    entry.lost = false;
    if entry.silent {
        entry.silent = false;
        // The lease may have lapsed while the worker was silent, so everything is read again.
        entry.boot = None;
        entry.revision = 0;
        context.info(LogPart::Lease, format!("{worker} answers again"));
        state.leases.schedule(worker, context.at);
        state.planner.dirty = true;
    }
}

/// Notes that a call to a worker of the share was not answered.
pub fn unanswered(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let timing = &state.settings.timing;
    let (suspicion, retry) = (timing.suspicion, timing.heartbeat);
    let at = context.at;
    let Some(entry) = state.leases.entries.get_mut(worker) else {
        return;
    };
    entry.calling = false;
    let failing_since = *entry.failing_since.get_or_insert(at);
    let silent = at.since(failing_since) >= suspicion;
    if silent && !entry.silent {
        entry.silent = true;
        context.warn(LogPart::Lease, format!("{worker} is silent"));
    }
    state.leases.schedule(worker, at + retry);
    if silent {
        stop_rest_of_gangs(state, worker, context);
    }
    note_loss(state, worker, context);
}

fn note_loss(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let Some(entry) = state.leases.entries.get(worker) else {
        return;
    };
    if entry.lost || !is_lost(state, entry, context.at) {
        return;
    }
    if let Some(entry) = state.leases.entries.get_mut(worker) {
        entry.lost = true;
    }
    context.count(MetricName::WorkersLost, 1);
    context.warn(
        LogPart::Lease,
        format!("{worker} is lost: its lease has lapsed unanswered"),
    );
}

/// Keeps the ends of tasks and stops tasks whose attempt is over.
fn note_tasks(
    state: &mut DaemonState,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    let mut stale: BTreeMap<JobId, u32> = BTreeMap::new();
    for status in tasks {
        let over = state.ledger.is_over(&status.task);
        match &status.phase {
            TaskPhase::Ended { .. } => {
                if let Some(entry) = state.leases.entries.get_mut(worker) {
                    entry.ended.insert(status.task, status.clone());
                }
            }
            TaskPhase::Running | TaskPhase::Reserved if over => {
                stale.insert(status.task.job, status.task.attempt);
            }
            TaskPhase::Running | TaskPhase::Reserved => {}
        }
    }
    for (job, attempt) in stale {
        let term = state.ledger.term.number;
        let command = WorkerCommand::Stop {
            term,
            job,
            attempt,
            checkpoint: false,
        };
        call::send(state, worker, command, CallPurpose::StopStale, context);
    }
}

/// Takes tasks that a worker has pushed, and reports their ends at once.
pub fn take_pushed(
    state: &mut DaemonState,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    note_tasks(state, worker, tasks, context);
    let ends = tasks
        .iter()
        .filter(|status| matches!(status.phase, TaskPhase::Ended { .. }))
        .filter(|status| !state.ledger.is_over(&status.task))
        .cloned()
        .collect();
    report(state, worker, ends, context);
}

/// Hands ends of tasks to the planner, which may be this daemon.
fn report(
    state: &mut DaemonState,
    worker: &WorkerName,
    tasks: Vec<TaskStatus>,
    context: &mut StepContext<'_>,
) {
    if tasks.is_empty() {
        return;
    }
    if !state
        .reader
        .is_fresh(context.at, state.settings.timing.freshness)
    {
        tell_all(state, worker, &tasks, context);
        stop_partial_gangs(state, &tasks, context);
    }
    if term::is_planner(state, context.at) {
        gang::observe(state, worker, &tasks, context);
        return;
    }
    let Some(holder) = ledger::holder(&state.ledger).cloned() else {
        return;
    };
    let Some(entry) = state.members.daemons.get(&holder) else {
        return;
    };
    let reports = vec![WorkerTasks {
        worker: worker.clone(),
        tasks,
    }];
    context.push(ControlEffect::SendPeer {
        to: holder,
        address: entry.info.address.clone(),
        message: PeerMessage::Reports { reports },
    });
}

/// Tells all daemons of ended tasks while the log is out of reach. The planner may be gone and no
/// successor can take over, so each share holder stops its members of these gangs itself.
fn tell_all(
    state: &DaemonState,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    let reports = vec![WorkerTasks {
        worker: worker.clone(),
        tasks: tasks.to_vec(),
    }];
    for (daemon, entry) in &state.members.daemons {
        context.push(ControlEffect::SendPeer {
            to: daemon.clone(),
            address: entry.info.address.clone(),
            message: PeerMessage::Reports {
                reports: reports.clone(),
            },
        });
    }
}

/// Stops the members on workers of this daemon's share whose gang has lost a member.
pub fn stop_partial_gangs(
    state: &mut DaemonState,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    let unfinished = tasks.iter().filter(|status| {
        !matches!(
            status.phase,
            TaskPhase::Ended {
                end: TaskOutcome::Finished { .. }
            }
        )
    });
    let lost: Vec<TaskId> = unfinished.map(|status| status.task).collect();
    stop_gangs(state, &lost, context);
}

/// Lets a worker forget ended tasks whose end is on record.
fn forget_recorded(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let Some(entry) = state.leases.entries.get(worker) else {
        return;
    };
    let tasks: Vec<TaskId> = entry
        .ended
        .keys()
        .filter(|task| state.ledger.is_over(task))
        .copied()
        .collect();
    if tasks.is_empty() {
        return;
    }
    if let Some(entry) = state.leases.entries.get_mut(worker) {
        entry.ended.retain(|task, _| !tasks.contains(task));
    }
    call::send(
        state,
        worker,
        WorkerCommand::Forget { tasks },
        CallPurpose::Forget,
        context,
    );
}

/// Notes placed tasks that their worker does not know as ended: a restart or a lapsed lease has
/// ended them. Tasks that may not have been started yet are looked for again.
fn note_missing(
    state: &mut DaemonState,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    let started_before = context.at - start_time(state);
    let (missing, recent): (Vec<TaskId>, Vec<TaskId>) = state
        .ledger
        .tasks_on(worker)
        .filter(|task| !tasks.iter().any(|status| status.task == *task))
        .partition(|task| placed_before(state, task, started_before));
    let Some(entry) = state.leases.entries.get_mut(worker) else {
        return;
    };
    if !recent.is_empty() {
        entry.revision = 0;
    }
    let known = entry.ended.len();
    for task in missing {
        entry.ended.entry(task).or_insert_with(|| gone_status(task));
    }
    let count = entry.ended.len() - known;
    if count > 0 {
        let line = format!("{worker} no longer has {count} placed tasks");
        context.warn(LogPart::Lease, line);
    }
}

/// Reports all ends that are not on record. A report is lost when the planner changes, pauses or is
/// out of reach, so it is repeated with each renewal.
fn report_pending(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let Some(entry) = state.leases.entries.get(worker) else {
        return;
    };
    let pending = entry.ended.values();
    let pending = pending
        .filter(|status| !state.ledger.is_over(&status.task))
        .cloned()
        .collect();
    report(state, worker, pending, context);
}

fn placed_before(state: &DaemonState, task: &TaskId, limit: ClockTime) -> bool {
    match state.ledger.jobs.get(&task.job).map(|record| &record.phase) {
        Some(JobPhase::Placed { at, .. }) => *at < limit,
        _ => false,
    }
}

fn gone_status(task: TaskId) -> TaskStatus {
    TaskStatus {
        task,
        phase: TaskPhase::Ended {
            end: TaskOutcome::Stopped,
        },
        progress: TimeSpan::default(),
        checkpoint: TimeSpan::default(),
    }
}

/// Stops the members of gangs that have lost a member on a silent worker, without the log. Only
/// members on workers of this daemon's share are stopped; other daemons learn of the silence by
/// heartbeat and stop theirs.
pub fn stop_rest_of_gangs(
    state: &mut DaemonState,
    silent: &WorkerName,
    context: &mut StepContext<'_>,
) {
    if state
        .reader
        .is_fresh(context.at, state.settings.timing.freshness)
    {
        // The planner can record the end of the attempt and stops the members itself.
        return;
    }
    let lost: Vec<TaskId> = state.ledger.tasks_on(silent).collect();
    stop_gangs(state, &lost, context);
}

/// Stops all members of the attempts that these tasks belong to, on workers of the share.
fn stop_gangs(state: &mut DaemonState, lost: &[TaskId], context: &mut StepContext<'_>) {
    let mut stops: BTreeSet<(WorkerName, JobId, u32)> = BTreeSet::new();
    for task in lost {
        let Some(record) = state.ledger.jobs.get(&task.job) else {
            continue;
        };
        let JobPhase::Placed { workers, .. } = &record.phase else {
            continue;
        };
        let mine = workers
            .iter()
            .filter(|worker| state.leases.entries.contains_key(*worker));
        if record.attempt == task.attempt {
            stops.extend(mine.map(|worker| (worker.clone(), task.job, task.attempt)));
        }
    }
    let term = state.ledger.term.number;
    for (worker, job, attempt) in stops {
        let command = WorkerCommand::Stop {
            term,
            job,
            attempt,
            checkpoint: true,
        };
        call::send(state, &worker, command, CallPurpose::StopStale, context);
    }
}

/// Lists the tasks of the workers of a new placement once its starts are over, so that a member
/// that never started is noticed even when the planner is gone.
pub fn look_after_placement(state: &mut DaemonState, workers: &[WorkerName], at: ClockTime) {
    let due = at + start_time(state);
    for worker in workers {
        if let Some(entry) = state.leases.entries.get_mut(worker) {
            entry.revision = 0;
            let due = due.min(entry.due);
            state.leases.schedule(worker, due);
        }
    }
}

/// Returns the time after a placement in which its starts arrive or are refused.
fn start_time(state: &DaemonState) -> TimeSpan {
    let timing = &state.settings.timing;
    timing.reservation + timing.call + timing.clock_margin
}

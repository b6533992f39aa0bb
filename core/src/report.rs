//! Reports of ended tasks to the planner, and stops of gangs that have lost a member.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::call;
use crate::call::CallPurpose;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::effect::PeerMessage;
use crate::effect::WorkerTasks;
use crate::gang;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::ids::WorkerName;
use crate::ledger;
use crate::ledger::JobPhase;
use crate::state::DaemonState;
use crate::term;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::worker::TaskOutcome;
use crate::worker::TaskPhase;
use crate::worker::TaskStatus;
use crate::worker::WorkerCommand;

/// Stores ended tasks until their end is recorded, and stops tasks of attempts that have ended.
pub(crate) fn record_tasks(
    state: &mut DaemonState,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    let mut stale: BTreeMap<JobId, u32> = BTreeMap::new();
    for status in tasks {
        let is_attempt_over = state.ledger.is_attempt_over(&status.task);
        match &status.phase {
            TaskPhase::Ended { .. } => {
                if let Some(entry) = state.leases.entries.get_mut(worker) {
                    entry.ended.insert(status.task, status.clone());
                }
            }
            TaskPhase::Running | TaskPhase::Reserved if is_attempt_over => {
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

/// Handles tasks that a worker has pushed and reports the ended ones at once.
pub fn handle_push(
    state: &mut DaemonState,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    record_tasks(state, worker, tasks, context);
    let ends = tasks
        .iter()
        .filter(|status| matches!(status.phase, TaskPhase::Ended { .. }))
        .filter(|status| !state.ledger.is_attempt_over(&status.task))
        .cloned()
        .collect();
    report_ends(state, worker, ends, context);
}

/// Reports ended tasks to the planner, which may be this daemon.
pub(crate) fn report_ends(
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
        broadcast_ends(state, worker, &tasks, context);
        stop_partial_gangs(state, &tasks, context);
    }
    if term::is_planner(state, context.at) {
        gang::handle_reports(state, worker, &tasks, context);
        return;
    }
    let Some(holder) = ledger::term_holder(&state.ledger).cloned() else {
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

/// Reports ended tasks to all daemons while the log is unreachable. Without the log no daemon can
/// take over from a failed planner, so each share owner stops its own members of these gangs.
pub(crate) fn broadcast_ends(
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

/// Stops members of gangs that have lost a member, on workers of this daemon's share.
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

/// Sends a worker the command to forget ended tasks whose end is recorded.
pub(crate) fn forget_recorded(
    state: &mut DaemonState,
    worker: &WorkerName,
    context: &mut StepContext<'_>,
) {
    let Some(entry) = state.leases.entries.get(worker) else {
        return;
    };
    let tasks: Vec<TaskId> = entry
        .ended
        .keys()
        .filter(|task| state.ledger.is_attempt_over(task))
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

/// Records as stopped the placed tasks that their worker does not report, because a restart or an
/// expired lease has ended them. Tasks that may not have started yet are checked again at the next
/// renewal.
pub(crate) fn record_missing(
    state: &mut DaemonState,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    let started_before = context.at - start_window(state);
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
        entry
            .ended
            .entry(task)
            .or_insert_with(|| stopped_status(task));
    }
    let count = entry.ended.len() - known;
    if count > 0 {
        let line = format!("{worker} no longer reports {count} placed tasks");
        context.warn(LogTarget::Lease, line);
    }
}

/// Reports all ended tasks whose end is not recorded. A report is lost when the planner changes,
/// pauses or is unreachable, so it is repeated at each renewal.
pub(crate) fn report_unrecorded(
    state: &mut DaemonState,
    worker: &WorkerName,
    context: &mut StepContext<'_>,
) {
    let Some(entry) = state.leases.entries.get(worker) else {
        return;
    };
    let pending = entry.ended.values();
    let pending = pending
        .filter(|status| !state.ledger.is_attempt_over(&status.task))
        .cloned()
        .collect();
    report_ends(state, worker, pending, context);
}

pub(crate) fn placed_before(state: &DaemonState, task: &TaskId, limit: ClockTime) -> bool {
    match state.ledger.jobs.get(&task.job).map(|record| &record.phase) {
        Some(JobPhase::Placed { at, .. }) => *at < limit,
        _ => false,
    }
}

pub(crate) fn stopped_status(task: TaskId) -> TaskStatus {
    TaskStatus {
        task,
        phase: TaskPhase::Ended {
            end: TaskOutcome::Stopped,
        },
        progress: TimeSpan::default(),
        checkpoint: TimeSpan::default(),
    }
}

/// Stops gangs with a member on a silent worker while the log is unreachable. Only members on
/// workers of this daemon's share are stopped; other daemons detect the silence from heartbeats
/// and stop the members on theirs.
pub fn stop_gangs_on(state: &mut DaemonState, silent: &WorkerName, context: &mut StepContext<'_>) {
    if state
        .reader
        .is_fresh(context.at, state.settings.timing.freshness)
    {
        // The log is reachable, so the planner records the end of the attempt and stops the
        // members.
        return;
    }
    let lost: Vec<TaskId> = state.ledger.tasks_on(silent).collect();
    stop_gangs(state, &lost, context);
}

/// Stops all members of the attempts of these tasks, on workers of this daemon's share.
pub(crate) fn stop_gangs(state: &mut DaemonState, lost: &[TaskId], context: &mut StepContext<'_>) {
    let mut stops: BTreeSet<(WorkerName, JobId, u32)> = BTreeSet::new();
    for task in lost {
        let Some(record) = state.ledger.jobs.get(&task.job) else {
            continue;
        };
        let JobPhase::Placed { workers, .. } = &record.phase else {
            continue;
        };
        let local = workers
            .iter()
            .filter(|worker| state.leases.entries.contains_key(*worker));
        if record.attempt == task.attempt {
            stops.extend(local.map(|worker| (worker.clone(), task.job, task.attempt)));
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

/// Requests a full task list from the workers of a new placement once its start window has passed,
/// so that a member that never started is detected even if the planner has failed.
pub fn schedule_listing(state: &mut DaemonState, workers: &[WorkerName], at: ClockTime) {
    let due = at + start_window(state);
    for worker in workers {
        if let Some(entry) = state.leases.entries.get_mut(worker) {
            entry.revision = 0;
            let due = due.min(entry.next_call_at);
            state.leases.schedule(worker, due);
        }
    }
}

/// Returns the time after a placement within which its start commands arrive or are refused.
pub(crate) fn start_window(state: &DaemonState) -> TimeSpan {
    let timing = &state.settings.timing;
    timing.reservation + timing.call + timing.clock_margin
}

//! Run lists of workers: runs that started, ended or never started.

use crate::batch::completion;
use crate::batch::job::RunKey;
use crate::batch::job::TaskDemand;
use crate::batch::message::EndedRow;
use crate::batch::message::RunEnding;
use crate::batch::message::RunningRow;
use crate::batch::message::WorkerLists;
use crate::batch::record::IncarnationKey;
use crate::batch::run_time;
use crate::batch::session::RunPhase;
use crate::batch::session::RunSlot;
use crate::batch::session::WorkerSession;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Applies the run lists in the answer to a hold or probe that was sent at `sent`.
pub fn apply_lists(
    state: &mut BatchState,
    worker: &WorkerName,
    sent: ClockTime,
    lists: &WorkerLists,
    context: &mut StepContext<'_>,
) {
    let max_lease = state.settings.max_lease;
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    if let Some(incarnation) = lists
        .incarnation
        .filter(|incarnation| *incarnation != session.incarnation)
    {
        // Earlier orders can still start runs that this list does not show.
        return planner.restart_session(worker, incarnation, max_lease, context);
    }
    session.has_listed = true;
    for row in &lists.running {
        apply_running(state, worker, row, context);
    }
    for row in &lists.ended {
        apply_end(state, worker, row, context);
    }
    requeue_absent_runs(state, worker, sent, lists, context);
    if let Some(planner) = &mut state.planner {
        run_time::update_worker(planner, worker, context);
    }
}

fn apply_running(
    state: &mut BatchState,
    worker: &WorkerName,
    row: &RunningRow,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    if let Some(slot) = session.runs.get_mut(&row.run) {
        let is_confirmed = matches!(
            slot.phase,
            RunPhase::Starting | RunPhase::Unconfirmed | RunPhase::Adopted
        );
        if is_confirmed {
            slot.phase = RunPhase::Running;
            slot.since = context.at;
        }
        slot.is_start_uncertain = false;
        slot.percent = row.percent.min(100);
        slot.listed_at = context.at;
        row.checkpoint.clone_into(&mut slot.checkpoint);
        run_time::observe_progress(planner, &state.view, worker, &row.run, context.at);
        return;
    }
    let line = format!("run={} worker={worker} outcome=untracked", row.run);
    context.warn(LogTarget::Gang, line);
    let definition = state.view.jobs.get(&row.run.task.step.job);
    let definition = definition.and_then(|entry| entry.definition.as_deref());
    let step = definition.and_then(|definition| {
        let steps = &definition.submission.steps;
        steps.get(row.run.task.step.step as usize)
    });
    let slot = RunSlot {
        demand: TaskDemand::default(),
        declared_demand: step.map_or_else(|| unallocated(session), |step| step.demand),
        priority: 0,
        team: definition.and_then(|definition| definition.team.clone()),
        is_gang_member: false,
        phase: RunPhase::Untracked,
        since: context.at,
        placed_at: context.at,
        expected_run_time: TimeSpan(0),
        percent: row.percent,
        listed_at: context.at,
        is_start_uncertain: false,
        start_deadline: None,
        is_evicted: true,
        stop: None,
        checkpoint: row.checkpoint.clone(),
    };
    planner.add_slot(worker, row.run, slot);
    planner.is_reconcile_due = true;
}

/// Returns the capacity of a worker that no declared demand of its runs explains: an upper bound on
/// the demand of a run whose job has ended, so that the view no longer has its steps.
fn unallocated(session: &WorkerSession) -> TaskDemand {
    let entry = session.entry.as_ref();
    let mut capacity = entry.map(|entry| entry.capacity).unwrap_or_default();
    let slots = session.runs.values();
    // The demand of another untracked run is an upper bound itself and explains nothing.
    for slot in slots.filter(|slot| slot.phase != RunPhase::Untracked) {
        capacity.subtract(&slot.declared_demand);
    }
    capacity
}

fn apply_end(
    state: &mut BatchState,
    worker: &WorkerName,
    row: &EndedRow,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    if row.number <= session.last_end {
        return;
    }
    session.last_end = row.number;
    let key = IncarnationKey {
        worker: worker.clone(),
        incarnation: session.incarnation,
    };
    let is_quarantined = match row.ending {
        RunEnding::Done => {
            session.record_success();
            false
        }
        RunEnding::Failed => session.record_failure(&row.run.task, context.at),
        RunEnding::Stopped | RunEnding::Lapsed | RunEnding::Broken | RunEnding::Alone => false,
    };
    let is_done = row.ending == RunEnding::Done;
    run_time::observe_end(planner, &state.view, worker, &row.run, is_done, context);
    let slot = planner.remove_slot(worker, &row.run);
    planner.is_dirty = true;
    let line = format!(
        "run={} worker={worker} ending={:?} number={} ran_ms={} quarantined={is_quarantined}",
        row.run,
        row.ending,
        row.number,
        slot.map_or(0, |slot| context.at.since(slot.placed_at).0)
    );
    context.info(LogTarget::Gang, line);
    match row.ending {
        RunEnding::Done => completion::complete_task(state, row.run, &row.checkpoint),
        RunEnding::Failed => {
            context.update_metric(MetricName::RunsFailed, 1);
            let workers = planner.failed_workers.entry(row.run.task.step);
            workers.or_default().insert(worker.clone());
            completion::requeue(state, row.run, &row.checkpoint, true);
        }
        RunEnding::Stopped | RunEnding::Lapsed | RunEnding::Broken | RunEnding::Alone => {
            completion::requeue(state, row.run, &row.checkpoint, false);
        }
    }
    defer_acknowledgement(state, key, row);
}

/// Defers the acknowledgement of an end until the newest record of its task was read back.
fn defer_acknowledgement(state: &mut BatchState, key: IncarnationKey, row: &EndedRow) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(write) = planner.pending_writes.get_mut(&row.run.task) else {
        return;
    };
    if let Some(session) = planner.workers.get_mut(&key.worker) {
        session.unrecorded_ends.insert(row.number);
        write.ends.push((key, row.number));
    }
}

/// Requeues the tasks of runs that are listed neither as running nor as ended, if the worker would
/// have listed them.
///
/// A list that holds only the first ends shows nothing about the other runs. The next ones follow
/// when these are acknowledged.
fn requeue_absent_runs(
    state: &mut BatchState,
    worker: &WorkerName,
    sent: ClockTime,
    lists: &WorkerLists,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &state.planner else {
        return;
    };
    let Some(session) = planner.workers.get(worker) else {
        return;
    };
    let is_running = |run: &RunKey| lists.running.iter().any(|row| row.run == *run);
    let absent = session.runs.iter().filter(|(run, slot)| {
        let is_certain = match slot.phase {
            RunPhase::Recording => false,
            RunPhase::Adopted => true,
            RunPhase::Starting | RunPhase::Unconfirmed => {
                is_start_expired(slot, sent) || is_stopped(slot, sent)
            }
            RunPhase::Running | RunPhase::Untracked => slot.since < sent || is_stopped(slot, sent),
        };
        is_certain && !is_running(run)
    });
    let absent: Vec<RunKey> = absent.map(|(run, _)| *run).collect();
    if absent.is_empty() {
        return;
    }
    let line = format!(
        "worker={worker} outcome=runs_absent runs={} running={} ends={} last_end={} has_more_ends={}",
        absent.len(),
        lists.running.len(),
        lists.ended.len(),
        session.last_end,
        lists.has_more_ends
    );
    context.warn(LogTarget::Gang, line);
    if lists.has_more_ends {
        return;
    }
    for run in absent {
        completion::handle_lost_run(state, worker, run, context);
    }
}

/// Returns whether the deadline of the start orders had passed before the lists were requested. The
/// run cannot start after that.
fn is_start_expired(slot: &RunSlot, sent: ClockTime) -> bool {
    let deadline = slot.start_deadline;
    deadline.is_some_and(|deadline| deadline.expires_at < sent)
}

/// Returns whether a stop was acknowledged before the lists were requested. The run cannot start
/// after that.
fn is_stopped(slot: &RunSlot, sent: ClockTime) -> bool {
    let answered_at = slot.stop.and_then(|stop| stop.answered_at);
    answered_at.is_some_and(|answered_at| answered_at < sent)
}

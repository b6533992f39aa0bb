//! Stop orders for runs that must end, and the loss of runs whose lease has expired.

use crate::batch::completion;
use crate::batch::job::RunKey;
use crate::batch::message::OrderOutcome;
use crate::batch::message::WorkerOrder;
use crate::batch::orders;
use crate::batch::planner::OrderKind;
use crate::batch::planner::PendingOrder;
use crate::batch::planner::PlannerState;
use crate::batch::record::TaskState;
use crate::batch::session::RunPhase;
use crate::batch::session::StopRequest;
use crate::batch::session::WorkerSession;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Delay before a stop order is sent again that was acknowledged without the run ending.
const STOP_RESEND_DELAY: TimeSpan = TimeSpan(2_500);

/// Delay between the answer to a stop, or the deadline of a start, and the probe that shows whether
/// the run ever started. Lists requested in the same millisecond prove nothing.
pub const PROBE_DELAY: TimeSpan = TimeSpan(2);

/// Handles the outcome of a stop order.
pub fn complete(
    state: &mut BatchState,
    order: &PendingOrder,
    run: RunKey,
    outcome: &OrderOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(&order.worker) else {
        return;
    };
    let Some(slot) = session.runs.get_mut(&run) else {
        return;
    };
    let Some(stop) = &mut slot.stop else { return };
    if matches!(outcome, OrderOutcome::Done { .. }) && stop.answered_at.is_none() {
        stop.answered_at = Some(context.at);
        // A pending hold returns when a run ends, but not for a run that never started.
        if slot.is_start_uncertain {
            let probe_at = context.at + PROBE_DELAY;
            session.probe_at = Some(probe_at);
            planner.due_workers.insert((probe_at, order.worker.clone()));
        }
    }
}

/// Requeues the tasks of workers whose lease has expired, and removes the sessions of workers with
/// neither an entry, now or soon, nor runs.
pub fn expire_leases(state: &mut BatchState, context: &mut StepContext<'_>) {
    let Some(planner) = &state.planner else {
        return;
    };
    let at = context.at;
    let is_expired = |session: &WorkerSession| {
        let is_silent = session.hold.failures > 0 || !session.has_listed || session.entry.is_none();
        is_silent && !session.runs.is_empty() && at > session.lease_expires_at
    };
    let expired = planner
        .workers
        .iter()
        .filter(|(_, session)| is_expired(session));
    let expired: Vec<WorkerName> = expired.map(|(worker, _)| worker.clone()).collect();
    for worker in expired {
        completion::handle_lost_worker(state, &worker, "the lease has expired", context);
    }
    let Some(planner) = &mut state.planner else {
        return;
    };
    planner.workers.retain(|_, session| {
        session.entry.is_some() || session.is_entry_awaited || !session.runs.is_empty()
    });
}

/// Stops runs that are evicted or that no record assigns to their worker, and withdraws placements
/// that were recorded but not started.
pub fn reconcile(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let Some(planner) = &state.planner else {
        return;
    };
    let mut unassigned: Vec<(WorkerName, RunKey)> = Vec::new();
    let mut withdrawn: Vec<(WorkerName, RunKey)> = Vec::new();
    for (worker, session) in &planner.workers {
        for (run, slot) in &session.runs {
            if slot.phase == RunPhase::Recording {
                if !planner.pending_writes.contains_key(&run.task) {
                    withdrawn.push((worker.clone(), *run));
                }
                continue;
            }
            let is_assigned = !slot.is_evicted && is_assigned(state, planner, worker, run);
            let is_due = slot.stop.is_none_or(|stop| {
                let wait = match stop.answered_at {
                    Some(_) => STOP_RESEND_DELAY,
                    None => orders::order_timeout(stop.sends),
                };
                at.since(stop.sent_at) >= wait
            });
            if !is_assigned && is_due && slot.phase != RunPhase::Adopted {
                unassigned.push((worker.clone(), *run));
            }
        }
    }
    for (worker, run) in withdrawn {
        completion::handle_lost_run(state, &worker, run, context);
    }
    for (worker, run) in unassigned {
        send(state, &worker, run, at, context);
    }
}

/// Returns whether the newest record of the task assigns it to this run.
pub fn is_assigned(
    state: &BatchState,
    planner: &PlannerState,
    worker: &WorkerName,
    run: &RunKey,
) -> bool {
    let Some(entry) = state.view.jobs.get(&run.task.step.job) else {
        return false;
    };
    if entry.open_definition().is_none() {
        return false;
    }
    planner.find_record(entry, &run.task).is_some_and(|record| {
        let is_on_worker = matches!(&record.state, TaskState::Placed(key) if key.worker == *worker);
        is_on_worker && record.attempt == run.attempt
    })
}

fn send(
    state: &mut BatchState,
    worker: &WorkerName,
    run: RunKey,
    at: ClockTime,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(slot) = planner.slot_mut(worker, &run) else {
        return;
    };
    let stop = slot.stop.get_or_insert(StopRequest {
        sent_at: at,
        answered_at: None,
        sends: 0,
    });
    stop.sent_at = at;
    stop.sends += 1;
    let timeout = orders::order_timeout(stop.sends);
    let reason = if slot.is_evicted {
        "evicted"
    } else {
        "unwanted"
    };
    let line = format!("run={run} worker={worker} outcome=stopping reason={reason}");
    context.info(LogTarget::Gang, line);
    context.update_metric(MetricName::RunsStopped, 1);
    let kind = OrderKind::Stop(run);
    let order = WorkerOrder::Stop { run };
    orders::send(planner, worker, kind, order, timeout, context);
}

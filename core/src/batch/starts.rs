//! Start orders for runs whose placement is recorded.

use crate::batch::completion;
use crate::batch::job::RunKey;
use crate::batch::job::WorkerCondition;
use crate::batch::job::WorkerEntry;
use crate::batch::message::OrderOutcome;
use crate::batch::orders;
use crate::batch::planner;
use crate::batch::planner::OrderKind;
use crate::batch::planner::PendingOrder;
use crate::batch::session::RunPhase;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::WorkerName;

/// Maximum number of start orders for a gang member. The other members wait for it and end with
/// `Alone` if it takes too long.
const MAX_MEMBER_SENDS: u32 = 2;

/// Maximum number of start orders for an independent task.
const MAX_TASK_SENDS: u32 = 3;

/// Sends the start order of a run whose placement was read back, or withdraws the placement if the
/// worker is no longer available.
pub fn start_run(
    state: &mut BatchState,
    worker: &WorkerName,
    run: RunKey,
    context: &mut StepContext<'_>,
) {
    // `stops::reconcile` withdraws a placement that was recorded and not started.
    if !state.is_view_current(context.at) {
        return;
    }
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get(worker) else {
        return;
    };
    let slot = session.runs.get(&run);
    if slot.is_none_or(|slot| slot.phase != RunPhase::Recording) {
        return;
    }
    let is_unavailable = |entry: &WorkerEntry| {
        entry.condition != WorkerCondition::Ready || state.domains_out.contains(&entry.domain)
    };
    if session.entry.as_ref().is_none_or(is_unavailable) {
        let line = format!("run={run} worker={worker} outcome=withdrawn reason=\"worker left\"");
        context.info(LogTarget::Gang, line);
        completion::handle_lost_run(state, worker, run, context);
        return;
    }
    send(state, worker, run, context);
}

fn send(state: &mut BatchState, worker: &WorkerName, run: RunKey, context: &mut StepContext<'_>) {
    let lease = orders::lease_duration(state);
    let planner = state.planner.as_ref();
    let session = planner.and_then(|planner| planner.workers.get(worker));
    let lease_end = session.and_then(|session| session.lease_end(lease, context.at));
    let order = lease_end.and_then(|end| planner::start_order(state, run, end));
    let (Some(order), Some(lease_end)) = (order, lease_end) else {
        abandon_start(state, worker, run, context);
        return;
    };
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    session.extend_lease(lease_end);
    let Some(slot) = session.runs.get_mut(&run) else {
        return;
    };
    slot.phase = RunPhase::Starting;
    slot.since = context.at;
    slot.start_sends += 1;
    let timeout = orders::order_timeout(slot.start_sends);
    let kind = OrderKind::Start(run);
    orders::send(planner, worker, kind, order, timeout, context);
}

/// Handles the outcome of a start order: the run is running, or the order is sent again or
/// abandoned.
pub fn complete(
    state: &mut BatchState,
    order: &PendingOrder,
    run: RunKey,
    outcome: &OrderOutcome,
    context: &mut StepContext<'_>,
) {
    let worker = &order.worker;
    // After a pause of this process another planner may hold the term, and the worker may have
    // restarted.
    let is_current = state.is_view_current(context.at);
    let Some(session) = state.worker_mut(worker) else {
        return;
    };
    let Some(slot) = session.runs.get_mut(&run) else {
        return;
    };
    match outcome {
        OrderOutcome::Done { .. } => {
            if slot.phase == RunPhase::Starting {
                slot.phase = RunPhase::Running;
                slot.since = context.at;
            }
            slot.is_start_uncertain = false;
            let line = format!(
                "run={run} worker={worker} outcome=started wait_ms={}",
                context.at.since(order.sent_at)
            );
            context.info(LogTarget::Gang, line);
            context.update_metric(MetricName::RunsStarted, 1);
            return;
        }
        OrderOutcome::Unknown => slot.is_start_uncertain = true,
        OrderOutcome::Undelivered | OrderOutcome::Refused { .. } => {}
    }
    let is_refused = matches!(outcome, OrderOutcome::Refused { .. });
    let max_sends = if slot.is_gang_member {
        MAX_MEMBER_SENDS
    } else {
        MAX_TASK_SENDS
    };
    let can_resend = is_current && !is_refused && slot.start_sends < max_sends && !slot.is_evicted;
    if slot.phase != RunPhase::Starting {
        return;
    }
    if can_resend {
        return send(state, worker, run, context);
    }
    let line = format!("run={run} worker={worker} outcome=not_started reason={outcome:?}");
    context.warn(LogTarget::Gang, line);
    context.update_metric(MetricName::RunsNotStarted, 1);
    session.back_off(context.at);
    abandon_start(state, worker, run, context);
}

/// Abandons a start. A run that an unanswered order may still start has to be stopped first.
fn abandon_start(
    state: &mut BatchState,
    worker: &WorkerName,
    run: RunKey,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(slot) = planner.slot_mut(worker, &run) else {
        return;
    };
    if slot.is_start_uncertain {
        slot.is_evicted = true;
        planner.is_reconcile_due = true;
        return;
    }
    completion::handle_lost_run(state, worker, run, context);
}

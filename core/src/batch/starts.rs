//! Starts of runs whose placement is recorded.

use crate::batch::job::RunKey;
use crate::batch::job::WorkerCondition;
use crate::batch::job::WorkerEntry;
use crate::batch::life::RunPhase;
use crate::batch::message::OrderOutcome;
use crate::batch::orders;
use crate::batch::outcome;
use crate::batch::planner;
use crate::batch::planner::OpenOrder;
use crate::batch::planner::OrderKind;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::WorkerName;

/// Sendings of the start of a gang's member. The other members wait for it, and end alone when it
/// takes too long.
const MEMBER_SENDINGS: u32 = 2;

/// Sendings of the start of a single task.
const SINGLE_SENDINGS: u32 = 3;

/// Sends the start of a run whose placement was read back.
pub fn begin(
    state: &mut BatchState,
    worker: &WorkerName,
    run: RunKey,
    context: &mut StepContext<'_>,
) {
    // The sweep withdraws a placement that was recorded and not started.
    if !state.is_book_current(context.at) {
        return;
    }
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(life) = planner.workers.get(worker) else {
        return;
    };
    let slot = life.runs.get(&run);
    if slot.is_none_or(|slot| slot.phase != RunPhase::Recorded) {
        return;
    }
    let is_out = |entry: &WorkerEntry| {
        entry.condition != WorkerCondition::Ready || state.domains_out.contains(&entry.domain)
    };
    if life.entry.as_ref().is_none_or(is_out) {
        let line = format!("run={run} worker={worker} outcome=withdrawn reason=\"worker left\"");
        context.info(LogTarget::Gang, line);
        outcome::run_gone(state, worker, run, context);
        return;
    }
    send(state, worker, run, context);
}

fn send(state: &mut BatchState, worker: &WorkerName, run: RunKey, context: &mut StepContext<'_>) {
    let lease = orders::lease(state);
    let planner = state.planner.as_ref();
    let life = planner.and_then(|planner| planner.workers.get(worker));
    let lease_end = life.and_then(|life| life.lease_end(lease, context.at));
    let order = lease_end.and_then(|end| planner::start_order(state, run, end));
    let (Some(order), Some(lease_end)) = (order, lease_end) else {
        give_up(state, worker, run, context);
        return;
    };
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(life) = planner.workers.get_mut(worker) else {
        return;
    };
    life.lease_asked(lease_end);
    let Some(slot) = life.runs.get_mut(&run) else {
        return;
    };
    slot.phase = RunPhase::Sent;
    slot.since = context.at;
    slot.sendings += 1;
    let timeout = orders::order_time(slot.sendings);
    let kind = OrderKind::Start(run);
    orders::send(planner, worker, kind, order, timeout, context);
}

/// Takes the answer to a start.
pub fn answered(
    state: &mut BatchState,
    order: &OpenOrder,
    run: RunKey,
    outcome: &OrderOutcome,
    context: &mut StepContext<'_>,
) {
    let worker = &order.worker;
    // A planner that has just woken may have been replaced, and the worker may have begun anew.
    let is_current = state.is_book_current(context.at);
    let Some(life) = state.life_mut(worker) else {
        return;
    };
    let Some(slot) = life.runs.get_mut(&run) else {
        return;
    };
    match outcome {
        OrderOutcome::Done { .. } => {
            if slot.phase == RunPhase::Sent {
                slot.phase = RunPhase::Running;
                slot.since = context.at;
            }
            slot.unclear = false;
            let line = format!(
                "run={run} worker={worker} outcome=started wait_ms={}",
                context.at.since(order.sent)
            );
            context.info(LogTarget::Gang, line);
            context.update_metric(MetricName::RunsStarted, 1);
            return;
        }
        OrderOutcome::Unknown => slot.unclear = true,
        OrderOutcome::Undelivered | OrderOutcome::NoListener | OrderOutcome::Refused { .. } => {}
    }
    let is_refused = matches!(outcome, OrderOutcome::Refused { .. });
    let most = if slot.gang {
        MEMBER_SENDINGS
    } else {
        SINGLE_SENDINGS
    };
    let may_repeat = is_current && !is_refused && slot.sendings < most && !slot.evicted;
    if slot.phase != RunPhase::Sent {
        return;
    }
    if may_repeat {
        return send(state, worker, run, context);
    }
    let line = format!("run={run} worker={worker} outcome=not_started reason={outcome:?}");
    context.warn(LogTarget::Gang, line);
    context.update_metric(MetricName::RunsNotStarted, 1);
    life.avoid_for_a_while(context.at);
    give_up(state, worker, run, context);
}

/// Takes a start back. One that may still be carried out has to be stopped first.
fn give_up(
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
    if slot.unclear {
        slot.evicted = true;
        planner.sweep_due = true;
        return;
    }
    outcome::run_gone(state, worker, run, context);
}

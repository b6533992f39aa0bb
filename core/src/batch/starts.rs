//! Start orders for runs whose placement is recorded.

use crate::batch::completion;
use crate::batch::job::RunKey;
use crate::batch::job::WorkerCondition;
use crate::batch::job::WorkerEntry;
use crate::batch::message::OrderOutcome;
use crate::batch::message::OrderRefusal;
use crate::batch::orders;
use crate::batch::planner;
use crate::batch::planner::OrderKind;
use crate::batch::planner::PendingOrder;
use crate::batch::record::IncarnationKey;
use crate::batch::session::RunPhase;
use crate::batch::session::WorkerSession;
use crate::batch::state::BatchState;
use crate::batch::stops;
use crate::batch::stops::PROBE_DELAY;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time for the response to a start order. It leaves time for two more sends within the validity of
/// the order.
const START_TIMEOUT: TimeSpan = TimeSpan(400);

/// Sends the start order of a run whose placement was read back, or withdraws the placement if the
/// incarnation that it names is no longer available.
pub fn start_run(
    state: &mut BatchState,
    key: &IncarnationKey,
    run: RunKey,
    context: &mut StepContext<'_>,
) {
    let worker = &key.worker;
    let Some(planner) = &state.planner else {
        return;
    };
    // A newer record can have been queued while the placement was appended, for example because the
    // worker of an earlier run was heard again. `stops::reconcile` withdraws a placement that was
    // recorded and not started.
    let is_newest = stops::is_assigned(state, planner, worker, &run);
    if !is_newest || !state.is_view_current(context.at) {
        return;
    }
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
    let reason = if session.incarnation != key.incarnation {
        // The new process can be of another kind than the one that was chosen for the run.
        Some("worker started again")
    } else if session.entry.as_ref().is_none_or(is_unavailable) {
        Some("worker left")
    } else {
        None
    };
    if let Some(reason) = reason {
        let line = format!("run={run} worker={worker} outcome=withdrawn reason={reason:?}");
        context.info(LogTarget::Gang, line);
        completion::handle_lost_run(state, worker, run, context);
        return;
    }
    send(state, worker, run, context);
}

fn send(state: &mut BatchState, worker: &WorkerName, run: RunKey, context: &mut StepContext<'_>) {
    let at = context.at;
    let session = state.worker_mut(worker);
    let deadline = session.and_then(|session| {
        let sent = session.runs.get(&run)?.start_deadline;
        sent.or_else(|| session.start_deadline(at))
    });
    let order =
        deadline.and_then(|deadline| planner::start_order(state, run, deadline.worker_time));
    let (Some(order), Some(deadline)) = (order, deadline) else {
        abandon_start(state, worker, run, context);
        return;
    };
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    session.extend_lease(deadline.worker_time);
    let Some(slot) = session.runs.get_mut(&run) else {
        return;
    };
    slot.phase = RunPhase::Starting;
    slot.since = at;
    slot.start_deadline = Some(deadline);
    let timeout = START_TIMEOUT.min(deadline.expires_at.since(at));
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
    let planner = state.planner.as_deref();
    let is_wanted = planner.is_some_and(|planner| stops::is_assigned(state, planner, worker, &run));
    let Some(session) = state.worker_mut(worker) else {
        return;
    };
    let is_late = matches!(
        outcome,
        OrderOutcome::Unknown
            | OrderOutcome::Refused {
                refusal: OrderRefusal::Late,
                ..
            }
    );
    if is_late {
        session.unanswered_at = Some(context.at);
    }
    let Some(slot) = session.runs.get_mut(&run) else {
        return;
    };
    match outcome {
        OrderOutcome::Done { .. } => {
            if matches!(slot.phase, RunPhase::Starting | RunPhase::Unconfirmed) {
                slot.phase = RunPhase::Running;
                slot.since = context.at;
            }
            slot.is_start_uncertain = false;
            session.late_starts = 0;
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
    let deadline = slot.start_deadline;
    let is_valid = deadline.is_some_and(|deadline| context.at < deadline.expires_at);
    let can_resend = is_current && is_wanted && is_valid && !is_refused && !slot.is_evicted;
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
    session.late_starts += u32::from(is_late);
    abandon_start(state, worker, run, context);
}

/// Abandons a start. Whether an unanswered order has started the run is settled by lists that are
/// requested after its deadline, or by a stop if the deadline is not known.
fn abandon_start(
    state: &mut BatchState,
    worker: &WorkerName,
    run: RunKey,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    let Some(slot) = session.runs.get_mut(&run) else {
        return;
    };
    if !slot.is_start_uncertain {
        return completion::handle_lost_run(state, worker, run, context);
    }
    if slot.start_deadline.is_some() {
        slot.phase = RunPhase::Unconfirmed;
        probe_unconfirmed(session, context.at);
        if let Some(probe_at) = session.probe_at {
            planner.due_workers.insert((probe_at, worker.clone()));
        }
    } else {
        slot.is_evicted = true;
        planner.is_reconcile_due = true;
    }
}

/// Schedules a probe, no earlier than `earliest`, if the worker has starts to settle.
pub fn probe_unconfirmed(session: &mut WorkerSession, earliest: ClockTime) {
    let slots = session.runs.values();
    let unconfirmed = slots.filter(|slot| slot.phase == RunPhase::Unconfirmed);
    let deadlines = unconfirmed.filter_map(|slot| slot.start_deadline);
    if let Some(expires_at) = deadlines.map(|deadline| deadline.expires_at).min() {
        session.schedule_probe(earliest.max(expires_at + PROBE_DELAY));
    }
}

//! Orders to workers: what is in flight, holds, and what their answers mean.

use crate::batch::completion;
use crate::batch::drain;
use crate::batch::lists;
use crate::batch::message::BatchEffect;
use crate::batch::message::OrderOutcome;
use crate::batch::message::OrderRefusal;
use crate::batch::message::WorkerOrder;
use crate::batch::planner::OrderKind;
use crate::batch::planner::PendingOrder;
use crate::batch::planner::PlannerState;
use crate::batch::starts;
use crate::batch::state::BatchState;
use crate::batch::stops;
use crate::batch::term;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::ids::CallId;
use crate::ids::WorkerName;
use crate::units::TimeSpan;

/// Longest lease that the planner asks for. It outlasts a takeover.
const LEASE_DURATION: TimeSpan = TimeSpan(6_000);

/// Wait of a hold at a worker that runs tasks.
const BUSY_POLL_WAIT: TimeSpan = TimeSpan(1_000);

/// Wait of a hold at a worker that runs nothing.
const IDLE_POLL_WAIT: TimeSpan = TimeSpan(1_500);

/// Time for an answer of a worker beyond the wait that was asked for. For a start or a stop it
/// doubles with each sending that is not answered: over a full link answers come late, and an order
/// that is given up and made anew goes over the same link.
const ORDER_TIMEOUT: TimeSpan = TimeSpan(600);

/// Doublings of [`ORDER_TIMEOUT`] at most.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

/// Time for an answer of a worker whose last hold was not answered. A link that is full looks like
/// a worker that is silent, and runs are lost with their lease.
const SILENT_ORDER_TIMEOUT: TimeSpan = TimeSpan(1_200);

/// Wait before a hold that failed is sent again.
const HOLD_RETRY_DELAY: TimeSpan = TimeSpan(150);

/// Holds without an answer in a row after which a worker counts as silent in the log.
const SILENT_FAILURES: u32 = 2;

/// Longest pause of holds while ends are on their way into the log.
const MAX_RECORDING_PAUSE: TimeSpan = TimeSpan(500);

/// Sends what is due: holds, repeated starts and stops.
pub fn tick(state: &mut BatchState, context: &mut StepContext<'_>) {
    let Some(planner) = &state.planner else {
        return;
    };
    let at = context.at;
    let due = planner.workers.iter().filter(|(_, session)| {
        session.address.is_some() && session.hold.sent_at.is_none() && session.hold.due_at <= at
    });
    let due: Vec<WorkerName> = due.map(|(worker, _)| worker.clone()).collect();
    let probes = planner.workers.iter();
    let probes =
        probes.filter(|(_, session)| session.probe_at.is_some_and(|probe_at| probe_at <= at));
    let probes: Vec<WorkerName> = probes.map(|(worker, _)| worker.clone()).collect();
    for worker in due {
        send_hold(state, &worker, context);
    }
    for worker in probes {
        send_probe(state, &worker, context);
    }
    let planner = state.planner.as_mut();
    if planner.is_some_and(|planner| std::mem::take(&mut planner.is_reconcile_due)) {
        stops::expire_leases(state, context);
        drain::evict_runs(state, context);
        stops::reconcile(state, context);
    }
}

/// Takes the outcome of an order.
pub fn complete(
    state: &mut BatchState,
    call: CallId,
    outcome: &OrderOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(order) = planner.take_order(call) else {
        return;
    };
    let Some(session) = planner.workers.get_mut(&order.worker) else {
        return;
    };
    // Starts and stops can have reached a later life under the same name; lists cannot.
    let is_same_incarnation = session.incarnation == order.incarnation;
    if !is_same_incarnation && matches!(order.kind, OrderKind::Hold | OrderKind::Probe) {
        return;
    }
    if let OrderOutcome::Refused {
        refusal: OrderRefusal::Fenced,
        ..
    } = outcome
    {
        let reason = format!("{} has seen a newer term", order.worker);
        return term::resign(state, &reason, context);
    }
    let clock = match outcome {
        OrderOutcome::Done { clock, .. } => Some(*clock),
        OrderOutcome::Refused { clock, .. } => *clock,
        OrderOutcome::Undelivered | OrderOutcome::NoListener | OrderOutcome::Unknown => None,
    };
    if let Some(clock) = clock.filter(|_| is_same_incarnation) {
        session.clock_reading = Some((clock, context.at));
    }
    match order.kind {
        OrderKind::Hold => handle_hold_outcome(state, &order, outcome, context),
        OrderKind::Probe => handle_probe_outcome(state, &order, outcome, context),
        OrderKind::Start(run) => starts::complete(state, &order, run, outcome, context),
        OrderKind::Stop(run) => stops::complete(state, &order, run, outcome, context),
    }
}

/// Sends an order to a worker whose address is known.
pub fn send(
    planner: &mut PlannerState,
    worker: &WorkerName,
    kind: OrderKind,
    order: WorkerOrder,
    timeout: TimeSpan,
    context: &mut StepContext<'_>,
) {
    let Some(session) = planner.workers.get(worker) else {
        return;
    };
    let Some(address) = session.address.clone() else {
        return;
    };
    planner.last_order += 1;
    let call = CallId(planner.last_order);
    let pending = PendingOrder {
        worker: worker.clone(),
        incarnation: session.incarnation,
        sent_at: context.at,
        acknowledged_end: match &order {
            WorkerOrder::Hold {
                acknowledged_end, ..
            } => *acknowledged_end,
            WorkerOrder::Start { .. } | WorkerOrder::Stop { .. } => 0,
        },
        kind,
    };
    context.push(ControlEffect::Batch(BatchEffect::Order {
        call,
        worker: worker.clone(),
        address,
        term: planner.term,
        order,
        timeout,
    }));
    planner.orders.insert(call, pending);
}

/// Returns the time for an answer to a sending of an order, the first of which is 1.
#[must_use]
pub fn order_timeout(sends: u32) -> TimeSpan {
    let doublings = sends.saturating_sub(1).min(MAX_TIMEOUT_DOUBLINGS);
    TimeSpan(ORDER_TIMEOUT.0 << doublings)
}

/// Returns the length of the leases that the planner asks for.
#[must_use]
pub fn lease_duration(state: &BatchState) -> TimeSpan {
    LEASE_DURATION.min(state.settings.max_lease)
}

fn send_hold(state: &mut BatchState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let lease = lease_duration(state);
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    // A worker that does not answer is not asked to hold on, so that its lease has a known end.
    let has_answered = session.hold.failures == 0;
    let lease_end = session
        .lease_end(lease, context.at)
        .filter(|_| has_answered);
    if let Some(end) = lease_end {
        session.extend_lease(end);
    }
    let wait = if !session.has_listed || !session.unrecorded_ends.is_empty() || lease_end.is_none()
    {
        TimeSpan(0)
    } else if session.runs.is_empty() {
        IDLE_POLL_WAIT
    } else {
        BUSY_POLL_WAIT
    };
    let order = WorkerOrder::Hold {
        lease_end,
        acknowledged_end: session.acknowledged_end(),
        wait,
    };
    session.hold.sent_at = Some(context.at);
    let timeout = wait
        + if has_answered {
            ORDER_TIMEOUT
        } else {
            SILENT_ORDER_TIMEOUT
        };
    send(planner, worker, OrderKind::Hold, order, timeout, context);
}

fn handle_hold_outcome(
    state: &mut BatchState,
    order: &PendingOrder,
    outcome: &OrderOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(&order.worker) else {
        return;
    };
    session.hold.sent_at = None;
    let OrderOutcome::Done { lists, .. } = outcome else {
        session.hold.failures += 1;
        session.hold.due_at = context.at + HOLD_RETRY_DELAY;
        if session.hold.failures == SILENT_FAILURES {
            let line = format!("worker={} outcome=silent reason={outcome:?}", order.worker);
            context.warn(LogTarget::Lease, line);
        }
        let is_other_incarnation = matches!(
            outcome,
            OrderOutcome::Refused {
                refusal: OrderRefusal::OtherLife,
                ..
            }
        );
        if is_other_incarnation {
            session.entry = None;
            session.address = None;
            completion::end_session(state, &order.worker, "another life answered", context);
        } else if *outcome == OrderOutcome::NoListener {
            // Runs end with the worker's process.
            completion::end_session(state, &order.worker, "no process listens", context);
        }
        return;
    };
    if session.hold.failures > 0 || !session.has_listed {
        planner.is_dirty = true;
    }
    if session.hold.failures >= SILENT_FAILURES {
        let silent = session
            .hold
            .answered_at
            .map(|heard| context.at.since(heard).0);
        let line = format!(
            "worker={} outcome=heard_again silent_ms={} failures={} lapsed={}",
            order.worker,
            silent.unwrap_or(0),
            session.hold.failures,
            context.at > session.lease_expires_at
        );
        context.info(LogTarget::Lease, line);
    }
    session.forgotten_end = session.forgotten_end.max(order.acknowledged_end);
    session.hold.failures = 0;
    session.hold.answered_at = Some(context.at);
    if let Some(lists) = lists {
        lists::apply_lists(state, &order.worker, order.sent_at, lists, context);
    }
    let Some(planner) = &mut state.planner else {
        return;
    };
    if let Some(session) = planner.workers.get_mut(&order.worker) {
        let is_recording = !session.unrecorded_ends.is_empty();
        session.hold.due_at = if is_recording {
            context.at + MAX_RECORDING_PAUSE
        } else {
            context.at
        };
        if !is_recording {
            send_hold(state, &order.worker.clone(), context);
        }
    }
}

/// Asks a worker for its lists beside the hold that waits there.
fn send_probe(state: &mut BatchState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    session.probe_at = None;
    let order = WorkerOrder::Hold {
        lease_end: None,
        acknowledged_end: session.acknowledged_end(),
        wait: TimeSpan(0),
    };
    send(
        planner,
        worker,
        OrderKind::Probe,
        order,
        ORDER_TIMEOUT,
        context,
    );
}

fn handle_probe_outcome(
    state: &mut BatchState,
    order: &PendingOrder,
    outcome: &OrderOutcome,
    context: &mut StepContext<'_>,
) {
    if let OrderOutcome::Done {
        lists: Some(lists), ..
    } = outcome
    {
        lists::apply_lists(state, &order.worker, order.sent_at, lists, context);
    }
}

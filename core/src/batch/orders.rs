//! Orders to workers: what is in flight, holds, and what their answers mean.

use crate::batch::departure;
use crate::batch::ends;
use crate::batch::message::BatchEffect;
use crate::batch::message::OrderOutcome;
use crate::batch::message::OrderRefusal;
use crate::batch::message::WorkerOrder;
use crate::batch::outcome;
use crate::batch::planner::OpenOrder;
use crate::batch::planner::OrderKind;
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
const LEASE: TimeSpan = TimeSpan(6_000);

/// Wait of a hold at a worker that runs tasks.
const BUSY_WAIT: TimeSpan = TimeSpan(1_000);

/// Wait of a hold at a worker that runs nothing.
const IDLE_WAIT: TimeSpan = TimeSpan(1_500);

/// Time for an answer of a worker beyond the wait that was asked for. For a start or a stop it
/// doubles with each sending that is not answered: over a full link answers come late, and an order
/// that is given up and made anew goes over the same link.
const ORDER_TIME: TimeSpan = TimeSpan(600);

/// Doublings of [`ORDER_TIME`] at most.
const ORDER_DOUBLINGS: u32 = 2;

/// Time for an answer of a worker whose last hold was not answered. A link that is full looks like
/// a worker that is silent, and runs are lost with their lease.
const SILENT_ORDER_TIME: TimeSpan = TimeSpan(1_200);

/// Wait before a hold that failed is sent again.
const HOLD_RETRY: TimeSpan = TimeSpan(150);

/// Holds without an answer in a row after which a worker counts as silent in the log.
const SILENT_FAILURES: u32 = 2;

/// Longest pause of holds while ends are on their way into the log.
const RECORD_PAUSE: TimeSpan = TimeSpan(500);

/// Sends what is due: holds, repeated starts and stops.
pub fn tick(state: &mut BatchState, context: &mut StepContext<'_>) {
    let Some(planner) = &state.planner else {
        return;
    };
    let at = context.at;
    let due = planner.workers.iter().filter(|(_, life)| {
        life.address.is_some() && life.hold.sent.is_none() && life.hold.due <= at
    });
    let due: Vec<WorkerName> = due.map(|(worker, _)| worker.clone()).collect();
    let looks = planner.workers.iter();
    let looks = looks.filter(|(_, life)| life.look_due.is_some_and(|due| due <= at));
    let looks: Vec<WorkerName> = looks.map(|(worker, _)| worker.clone()).collect();
    for worker in due {
        send_hold(state, &worker, context);
    }
    for worker in looks {
        send_look(state, &worker, context);
    }
    let planner = state.planner.as_mut();
    if planner.is_some_and(|planner| std::mem::take(&mut planner.sweep_due)) {
        stops::lapse(state, context);
        departure::sweep(state, context);
        stops::sweep(state, context);
    }
}

/// Takes the outcome of an order.
pub fn answered(
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
    let Some(life) = planner.workers.get_mut(&order.worker) else {
        return;
    };
    // Starts and stops can have reached a later life under the same name; lists cannot.
    let is_same_life = life.born == order.born;
    if !is_same_life && matches!(order.kind, OrderKind::Hold | OrderKind::Look) {
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
    if let Some(clock) = clock.filter(|_| is_same_life) {
        life.clock = Some((clock, context.at));
    }
    match order.kind {
        OrderKind::Hold => hold_answered(state, &order, outcome, context),
        OrderKind::Look => look_answered(state, &order, outcome, context),
        OrderKind::Start(run) => starts::answered(state, &order, run, outcome, context),
        OrderKind::Stop(run) => stops::answered(state, &order, run, outcome, context),
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
    let Some(life) = planner.workers.get(worker) else {
        return;
    };
    let Some(address) = life.address.clone() else {
        return;
    };
    planner.last_order += 1;
    let call = CallId(planner.last_order);
    let open = OpenOrder {
        worker: worker.clone(),
        born: life.born,
        sent: context.at,
        seen: match &order {
            WorkerOrder::Hold { seen, .. } => *seen,
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
    planner.orders.insert(call, open);
}

/// Returns the time for an answer to a sending of an order, the first of which is 1.
#[must_use]
pub fn order_time(sendings: u32) -> TimeSpan {
    let doublings = sendings.saturating_sub(1).min(ORDER_DOUBLINGS);
    TimeSpan(ORDER_TIME.0 << doublings)
}

/// Returns the length of the leases that the planner asks for.
#[must_use]
pub fn lease(state: &BatchState) -> TimeSpan {
    LEASE.min(state.settings.max_lease)
}

fn send_hold(state: &mut BatchState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let lease = lease(state);
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(life) = planner.workers.get_mut(worker) else {
        return;
    };
    // A worker that does not answer is not asked to hold on, so that its lease has a known end.
    let is_heard = life.hold.failures == 0;
    let lease_end = life.lease_end(lease, context.at).filter(|_| is_heard);
    if let Some(end) = lease_end {
        life.lease_asked(end);
    }
    let wait = if !life.listed || !life.pending.is_empty() || lease_end.is_none() {
        TimeSpan(0)
    } else if life.runs.is_empty() {
        IDLE_WAIT
    } else {
        BUSY_WAIT
    };
    let order = WorkerOrder::Hold {
        lease_end,
        seen: life.seen(),
        wait,
    };
    life.hold.sent = Some(context.at);
    let timeout = wait
        + if is_heard {
            ORDER_TIME
        } else {
            SILENT_ORDER_TIME
        };
    send(planner, worker, OrderKind::Hold, order, timeout, context);
}

fn hold_answered(
    state: &mut BatchState,
    order: &OpenOrder,
    outcome: &OrderOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(life) = planner.workers.get_mut(&order.worker) else {
        return;
    };
    life.hold.sent = None;
    let OrderOutcome::Done { lists, .. } = outcome else {
        life.hold.failures += 1;
        life.hold.due = context.at + HOLD_RETRY;
        if life.hold.failures == SILENT_FAILURES {
            let line = format!("worker={} outcome=silent reason={outcome:?}", order.worker);
            context.warn(LogTarget::Lease, line);
        }
        let is_other_life = matches!(
            outcome,
            OrderOutcome::Refused {
                refusal: OrderRefusal::OtherLife,
                ..
            }
        );
        if is_other_life {
            life.entry = None;
            life.address = None;
            outcome::end_life(state, &order.worker, "another life answered", context);
        } else if *outcome == OrderOutcome::NoListener {
            // Runs end with the worker's process.
            outcome::end_life(state, &order.worker, "no process listens", context);
        }
        return;
    };
    if life.hold.failures > 0 || !life.listed {
        planner.dirty = true;
    }
    if life.hold.failures >= SILENT_FAILURES {
        let silent = life.hold.heard.map(|heard| context.at.since(heard).0);
        let line = format!(
            "worker={} outcome=heard_again silent_ms={} failures={} lapsed={}",
            order.worker,
            silent.unwrap_or(0),
            life.hold.failures,
            context.at > life.lapses
        );
        context.info(LogTarget::Lease, line);
    }
    life.forgotten = life.forgotten.max(order.seen);
    life.hold.failures = 0;
    life.hold.heard = Some(context.at);
    if let Some(lists) = lists {
        ends::take_lists(state, &order.worker, order.sent, lists, context);
    }
    let Some(planner) = &mut state.planner else {
        return;
    };
    if let Some(life) = planner.workers.get_mut(&order.worker) {
        let is_recording = !life.pending.is_empty();
        life.hold.due = if is_recording {
            context.at + RECORD_PAUSE
        } else {
            context.at
        };
        if !is_recording {
            send_hold(state, &order.worker.clone(), context);
        }
    }
}

/// Asks a worker for its lists beside the hold that waits there.
fn send_look(state: &mut BatchState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(life) = planner.workers.get_mut(worker) else {
        return;
    };
    life.look_due = None;
    let order = WorkerOrder::Hold {
        lease_end: None,
        seen: life.seen(),
        wait: TimeSpan(0),
    };
    send(planner, worker, OrderKind::Look, order, ORDER_TIME, context);
}

fn look_answered(
    state: &mut BatchState,
    order: &OpenOrder,
    outcome: &OrderOutcome,
    context: &mut StepContext<'_>,
) {
    if let OrderOutcome::Done {
        lists: Some(lists), ..
    } = outcome
    {
        ends::take_lists(state, &order.worker, order.sent, lists, context);
    }
}

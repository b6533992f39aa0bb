//! Orders to workers: sending, timeouts, holds and the outcomes of holds and probes.

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

/// Longest lease that the planner requests. It is longer than a takeover by another planner.
const LEASE_DURATION: TimeSpan = TimeSpan(6_000);

/// Long-poll wait of a hold at a worker with runs.
const BUSY_POLL_WAIT: TimeSpan = TimeSpan(1_000);

/// Long-poll wait of a hold at a worker without runs.
const IDLE_POLL_WAIT: TimeSpan = TimeSpan(1_500);

/// Timeout of an order beyond its long-poll wait. For a start or a stop it doubles with each
/// unanswered send: on a saturated link answers arrive late, and an order that is sent again uses
/// the same link.
const ORDER_TIMEOUT: TimeSpan = TimeSpan(600);

/// Maximum number of doublings of [`ORDER_TIMEOUT`].
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

/// Timeout of a hold, beyond its wait, at a worker whose last hold failed. A saturated link cannot
/// be distinguished from a silent worker, and the worker's runs are lost when its lease expires.
const SILENT_ORDER_TIMEOUT: TimeSpan = TimeSpan(1_200);

/// Delay before a failed hold is sent again.
const HOLD_RETRY_DELAY: TimeSpan = TimeSpan(150);

/// Interval between probes of a worker that is silent or has unanswered starts.
const PROBE_INTERVAL: TimeSpan = TimeSpan(200);

/// Number of runs that lengthen the interval between two reconciliations by 1 ms.
const RUNS_PER_INTERVAL_MS: usize = 300;

/// Longest interval between two reconciliations.
const MAX_RECONCILE_INTERVAL: TimeSpan = TimeSpan(60);

/// Number of consecutive failed holds after which a worker is logged as silent.
const SILENT_FAILURES: u32 = 2;

/// Longest pause of holds while the records of ends are being appended.
const MAX_RECORDING_PAUSE: TimeSpan = TimeSpan(500);

/// Sends due holds and probes, and reconciles runs when that is due.
pub fn tick(state: &mut BatchState, context: &mut StepContext<'_>) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let at = context.at;
    let due = planner.take_due_workers(at);
    let due: Vec<WorkerName> = if std::mem::take(&mut planner.is_scan_due) {
        planner.workers.keys().cloned().collect()
    } else {
        due
    };
    for worker in due {
        send_due(state, &worker, context);
    }
    reconcile(state, context);
}

/// Sends the hold and the probe of a worker if they are due.
fn send_due(state: &mut BatchState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let at = context.at;
    let Some(session) = state.worker_mut(worker) else {
        return;
    };
    let is_idle = session.address.is_some() && session.hold.sent_at.is_none();
    let is_probe_due = session.probe_at.is_some_and(|probe_at| probe_at <= at);
    if is_idle && session.hold.due_at <= at {
        send_hold(state, worker, context);
    }
    if is_probe_due {
        send_probe(state, worker, context);
    }
}

/// Gives up expired leases, moves runs off leaving workers and stops unwanted runs.
///
/// Each of these looks at all runs, so the passes are further apart the more runs there are.
fn reconcile(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    // A planner that has just resumed, or that cannot read the topic, may have been replaced.
    let is_current = state.is_view_current(at);
    let Some(planner) = state.planner.as_mut().filter(|_| is_current) else {
        return;
    };
    if !planner.is_reconcile_due || at < planner.next_reconcile_at {
        return;
    }
    planner.is_reconcile_due = false;
    let interval_ms = planner.live_runs.len() / RUNS_PER_INTERVAL_MS;
    let interval = TimeSpan(u64::try_from(interval_ms).unwrap_or(u64::MAX));
    planner.next_reconcile_at = at + interval.min(MAX_RECONCILE_INTERVAL);
    stops::expire_leases(state, context);
    drain::evict_runs(state, context);
    stops::reconcile(state, context);
}

/// Completes a pending order with its outcome. An unknown order is ignored.
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
    // Both the old and the new process of a worker can have answered an order that was sent before
    // its session was replaced. What it shows of runs follows with the first lists.
    if session.token != order.token {
        return log_late_outcome(&order, outcome, context);
    }
    if let OrderOutcome::Refused {
        refusal: OrderRefusal::Fenced,
        ..
    } = outcome
    {
        let reason = format!("{} has seen a higher token", order.worker);
        return term::resign(state, &reason, context);
    }
    let clock = match outcome {
        OrderOutcome::Done { clock, .. } => Some(*clock),
        OrderOutcome::Refused { clock, .. } => *clock,
        OrderOutcome::Undelivered | OrderOutcome::Unknown => None,
    };
    if let Some(clock) = clock {
        session.clock_reading = Some((clock, context.at));
    }
    if matches!(outcome, OrderOutcome::Done { .. }) {
        session.confirm_token(state.settings.max_lease, context.at);
    }
    match order.kind {
        OrderKind::Hold => handle_hold_outcome(state, &order, outcome, context),
        OrderKind::Probe => handle_probe_outcome(state, &order, outcome, context),
        OrderKind::Start(run) => starts::complete(state, &order, run, outcome, context),
        OrderKind::Stop(run) => stops::complete(state, &order, run, outcome, context),
    }
}

/// Logs the outcome of an order that was sent before its worker was known to have started again. An
/// answer to a hold or a probe names the process that carried it out.
fn log_late_outcome(order: &PendingOrder, outcome: &OrderOutcome, context: &mut StepContext<'_>) {
    let (clock, born) = match outcome {
        OrderOutcome::Done { clock, lists } => {
            let born = lists.as_ref().and_then(|lists| lists.incarnation);
            (Some(*clock), born)
        }
        OrderOutcome::Refused { clock, .. } => (*clock, None),
        OrderOutcome::Undelivered | OrderOutcome::Unknown => (None, None),
    };
    let line = format!(
        "worker={} order={} sent_ms_ago={} lease_end={} clock={} born={} outcome=late_order result={}",
        order.worker,
        order.kind.name(),
        context.at.since(order.sent_at),
        order.lease_end.unwrap_or(0),
        clock.unwrap_or(0),
        born.unwrap_or(0),
        outcome.name()
    );
    context.info(LogTarget::Lease, line);
}

/// Sends an order to a worker. Does nothing while the worker's address is unknown.
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
    let (lease_end, acknowledged_end) = match &order {
        WorkerOrder::Hold {
            lease_end,
            acknowledged_end,
            ..
        } => (*lease_end, *acknowledged_end),
        WorkerOrder::Start { lease_end, .. } => (Some(*lease_end), 0),
        WorkerOrder::Stop { .. } => (None, 0),
    };
    let pending = PendingOrder {
        worker: worker.clone(),
        token: session.token,
        sent_at: context.at,
        lease_end,
        acknowledged_end,
        kind,
    };
    context.push(ControlEffect::Batch(BatchEffect::Order {
        call,
        worker: worker.clone(),
        address,
        token: session.token,
        order,
        timeout,
    }));
    planner.orders.insert(call, pending);
}

/// Returns the timeout of a start or stop order for its n-th send, counted from 1.
#[must_use]
pub fn order_timeout(sends: u32) -> TimeSpan {
    let doublings = sends.saturating_sub(1).min(MAX_TIMEOUT_DOUBLINGS);
    TimeSpan(ORDER_TIMEOUT.0 << doublings)
}

/// Returns the duration of the leases that the planner requests.
#[must_use]
pub fn lease_duration(state: &BatchState) -> TimeSpan {
    LEASE_DURATION.min(state.settings.max_lease)
}

fn send_hold(state: &mut BatchState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let lease = lease_duration(state);
    let can_extend = state.can_extend_leases(context.at);
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    let has_answered = session.hold.failures == 0;
    let lease_end = can_extend
        .then(|| session.renew_lease(lease, context.at))
        .flatten();
    let is_clock_known = session.clock_reading.is_some();
    let can_wait = session.has_listed && session.unrecorded_ends.is_empty() && is_clock_known;
    let wait = if !can_wait || !has_answered {
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
        let due_at = context.at + HOLD_RETRY_DELAY;
        session.hold.failures += 1;
        session.hold.due_at = due_at;
        planner.due_workers.insert((due_at, order.worker.clone()));
        if !session.runs.is_empty() {
            session.schedule_probe(due_at);
        }
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
            // An address that was never confirmed may be the one of another worker.
            let has_answered = session.hold.answered_at.is_some();
            session.set_entry(None);
            session.address = None;
            if has_answered {
                let reason = "another process answers at its address";
                completion::handle_lost_worker(state, &order.worker, reason, context);
            }
        }
        return;
    };
    if session.hold.failures > 0 || !session.has_listed {
        planner.is_dirty = true;
    }
    if session.hold.failures >= SILENT_FAILURES {
        let silence = session
            .hold
            .answered_at
            .map(|answered_at| context.at.since(answered_at).0);
        let line = format!(
            "worker={} outcome=heard_again silent_ms={} failures={} lapsed={}",
            order.worker,
            silence.unwrap_or(0),
            session.hold.failures,
            context.at > session.lease_expires_at
        );
        context.info(LogTarget::Lease, line);
    }
    session.discarded_end = session.discarded_end.max(order.acknowledged_end);
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

/// Requests the run lists and renews the lease without waiting for the hold.
///
/// A probe acknowledges no ends: it is sent while the worker may have started again, and its next
/// incarnation numbers its ends anew.
fn send_probe(state: &mut BatchState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let at = context.at;
    let lease = lease_duration(state);
    let can_extend = state.can_extend_leases(at);
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    session.probe_at = None;
    let lease_end = can_extend.then(|| session.renew_lease(lease, at)).flatten();
    let order = WorkerOrder::Hold {
        lease_end,
        acknowledged_end: 0,
        wait: TimeSpan(0),
    };
    // A probe can be lost like the hold or the start that it replaces, so the next one does not
    // wait for its answer.
    let next_at = at + PROBE_INTERVAL;
    if session.hold.failures > 0 && !session.runs.is_empty() {
        session.schedule_probe(next_at);
    }
    starts::probe_unconfirmed(session, next_at);
    if let Some(probe_at) = session.probe_at {
        planner.due_workers.insert((probe_at, worker.clone()));
    }
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
    let OrderOutcome::Done {
        lists: Some(lists), ..
    } = outcome
    else {
        return;
    };
    let session = state.worker_mut(&order.worker);
    let was_silent = session.is_some_and(|session| session.hold.failures > 0);
    lists::apply_lists(state, &order.worker, order.sent_at, lists, context);
    if !was_silent {
        return;
    }
    let Some(planner) = &mut state.planner else {
        return;
    };
    planner.is_dirty = true;
    if let Some(session) = planner.workers.get_mut(&order.worker) {
        session.hold.failures = 0;
        session.hold.answered_at = Some(context.at);
        session.hold.due_at = context.at;
    }
    // The hold may be in flight for another second. Its own lease is an earlier one.
    send_probe(state, &order.worker, context);
}

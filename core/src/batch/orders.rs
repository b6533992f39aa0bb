//! Orders to workers: holds, starts and stops, and what their answers mean.

use crate::batch::ends;
use crate::batch::job::RunKey;
use crate::batch::job::WorkerCondition;
use crate::batch::life::RunPhase;
use crate::batch::life::StopMark;
use crate::batch::life::WorkerLife;
use crate::batch::message::BatchEffect;
use crate::batch::message::OrderOutcome;
use crate::batch::message::OrderRefusal;
use crate::batch::message::WorkerOrder;
use crate::batch::outcome;
use crate::batch::planner;
use crate::batch::planner::OpenOrder;
use crate::batch::planner::OrderKind;
use crate::batch::planner::PlannerState;
use crate::batch::record::TaskState;
use crate::batch::state::BatchState;
use crate::batch::term;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogPart;
use crate::effect::MetricName;
use crate::ids::CallId;
use crate::ids::WorkerName;
use crate::units::ClockTime;
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

/// Wait between the answer to a stop and the look that shows whether the run ever began. Lists
/// that are asked for in the same millisecond as the answer came prove nothing.
const LOOK_DELAY: TimeSpan = TimeSpan(2);

/// Sendings of the start of a gang's member. The other members wait for it, and end alone when it
/// takes too long.
const MEMBER_SENDINGS: u32 = 2;

/// Sendings of the start of a single task.
const SINGLE_SENDINGS: u32 = 3;

/// Wait before a stop is sent again that was answered and not followed by an end.
const STOP_REPEAT: TimeSpan = TimeSpan(2_500);

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
    let is_out = |entry: &crate::batch::job::WorkerEntry| {
        entry.condition != WorkerCondition::Ready || state.domains_out.contains(&entry.domain)
    };
    if life.entry.as_ref().is_none_or(is_out) {
        let line = format!("run={run} worker={worker} outcome=withdrawn reason=\"worker left\"");
        context.info(LogPart::Gang, line);
        outcome::run_gone(state, worker, run, context);
        return;
    }
    send_start(state, worker, run, context);
}

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
        lapse(state, context);
        sweep(state, context);
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
        OrderKind::Start(run) => start_answered(state, &order, run, outcome, context),
        OrderKind::Stop(run) => stop_answered(state, &order, run, outcome, context),
    }
}

fn send(
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
fn order_time(sendings: u32) -> TimeSpan {
    let doublings = sendings.saturating_sub(1).min(ORDER_DOUBLINGS);
    TimeSpan(ORDER_TIME.0 << doublings)
}

fn lease(state: &BatchState) -> TimeSpan {
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
            context.warn(LogPart::Lease, line);
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
        context.info(LogPart::Lease, line);
    }
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

fn send_start(
    state: &mut BatchState,
    worker: &WorkerName,
    run: RunKey,
    context: &mut StepContext<'_>,
) {
    let lease = lease(state);
    let planner = state.planner.as_ref();
    let life = planner.and_then(|planner| planner.workers.get(worker));
    let lease_end = life.and_then(|life| life.lease_end(lease, context.at));
    let order = lease_end.and_then(|end| planner::start_order(state, run, end));
    let (Some(order), Some(lease_end)) = (order, lease_end) else {
        give_up_start(state, worker, run, context);
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
    let timeout = order_time(slot.sendings);
    let kind = OrderKind::Start(run);
    send(planner, worker, kind, order, timeout, context);
}

fn start_answered(
    state: &mut BatchState,
    order: &OpenOrder,
    run: RunKey,
    outcome: &OrderOutcome,
    context: &mut StepContext<'_>,
) {
    let worker = &order.worker;
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
            context.info(LogPart::Gang, line);
            context.count(MetricName::RunsStarted, 1);
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
    let may_repeat = !is_refused && slot.sendings < most && !slot.evicted;
    if slot.phase != RunPhase::Sent {
        return;
    }
    if may_repeat {
        return send_start(state, worker, run, context);
    }
    let line = format!("run={run} worker={worker} outcome=not_started reason={outcome:?}");
    context.warn(LogPart::Gang, line);
    context.count(MetricName::RunsNotStarted, 1);
    life.avoid_for_a_while(context.at);
    give_up_start(state, worker, run, context);
}

/// Takes a start back. One that may still be carried out has to be stopped first.
fn give_up_start(
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

fn stop_answered(
    state: &mut BatchState,
    order: &OpenOrder,
    run: RunKey,
    outcome: &OrderOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(life) = state.life_mut(&order.worker) else {
        return;
    };
    let Some(slot) = life.runs.get_mut(&run) else {
        return;
    };
    let Some(stop) = &mut slot.stop else { return };
    if matches!(outcome, OrderOutcome::Done { .. }) && stop.answered.is_none() {
        stop.answered = Some(context.at);
        // A hold that waits shows an end by itself, but not that a run never began.
        if slot.unclear {
            life.look_due = Some(context.at + LOOK_DELAY);
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

/// Lets tasks of workers wait again whose lease has certainly lapsed.
fn lapse(state: &mut BatchState, context: &mut StepContext<'_>) {
    let Some(planner) = &state.planner else {
        return;
    };
    let at = context.at;
    let is_lapsed = |life: &WorkerLife| {
        let is_silent = life.hold.failures > 0 || !life.listed || life.entry.is_none();
        is_silent && !life.runs.is_empty() && at > life.lapses
    };
    let lapsed = planner.workers.iter().filter(|(_, life)| is_lapsed(life));
    let lapsed: Vec<WorkerName> = lapsed.map(|(worker, _)| worker.clone()).collect();
    for worker in lapsed {
        outcome::end_life(state, &worker, "the lease has lapsed", context);
    }
    let Some(planner) = &mut state.planner else {
        return;
    };
    planner
        .workers
        .retain(|_, life| life.entry.is_some() || !life.runs.is_empty());
}

/// Stops runs that must not go on.
fn sweep(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let Some(planner) = &state.planner else {
        return;
    };
    let mut unwanted: Vec<(WorkerName, RunKey)> = Vec::new();
    let mut withdrawn: Vec<(WorkerName, RunKey)> = Vec::new();
    for (worker, life) in &planner.workers {
        for (run, slot) in &life.runs {
            if slot.phase == RunPhase::Recorded {
                if !planner.marks.contains_key(&run.task) {
                    withdrawn.push((worker.clone(), *run));
                }
                continue;
            }
            let is_wanted = !slot.evicted && is_wanted(state, planner, worker, run);
            let is_due = slot.stop.is_none_or(|stop| {
                let wait = match stop.answered {
                    Some(_) => STOP_REPEAT,
                    None => order_time(stop.sendings),
                };
                at.since(stop.sent) >= wait
            });
            if !is_wanted && is_due && slot.phase != RunPhase::Inherited {
                unwanted.push((worker.clone(), *run));
            }
        }
    }
    for (worker, run) in withdrawn {
        outcome::run_gone(state, &worker, run, context);
    }
    for (worker, run) in unwanted {
        send_stop(state, &worker, run, at, context);
    }
}

/// Tells whether the newest note of a task gives it to this run.
fn is_wanted(
    state: &BatchState,
    planner: &PlannerState,
    worker: &WorkerName,
    run: &RunKey,
) -> bool {
    let Some(entry) = state.book.jobs.get(&run.task.step.job) else {
        return false;
    };
    if entry.open_definition().is_none() {
        return false;
    }
    planner.newest(entry, &run.task).is_some_and(|note| {
        let is_here = matches!(&note.state, TaskState::Placed(life) if life.worker == *worker);
        is_here && note.attempt == run.attempt
    })
}

fn send_stop(
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
    let stop = slot.stop.get_or_insert(StopMark {
        sent: at,
        answered: None,
        sendings: 0,
    });
    stop.sent = at;
    stop.sendings += 1;
    let timeout = order_time(stop.sendings);
    let reason = if slot.evicted { "evicted" } else { "unwanted" };
    let line = format!("run={run} worker={worker} outcome=stopping reason={reason}");
    context.info(LogPart::Gang, line);
    context.count(MetricName::RunsStopped, 1);
    let kind = OrderKind::Stop(run);
    let order = WorkerOrder::Stop { run };
    send(planner, worker, kind, order, timeout, context);
}

//! Runs that must not go on: stops, and the end of those whose lease has lapsed.

use crate::batch::job::RunKey;
use crate::batch::life::RunPhase;
use crate::batch::life::StopMark;
use crate::batch::life::WorkerLife;
use crate::batch::message::OrderOutcome;
use crate::batch::message::WorkerOrder;
use crate::batch::orders;
use crate::batch::outcome;
use crate::batch::planner::OpenOrder;
use crate::batch::planner::OrderKind;
use crate::batch::planner::PlannerState;
use crate::batch::record::TaskState;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Wait before a stop is sent again that was answered and not followed by an end.
const STOP_REPEAT: TimeSpan = TimeSpan(2_500);

/// Wait between the answer to a stop and the look that shows whether the run ever began. Lists
/// that are asked for in the same millisecond as the answer came prove nothing.
const LOOK_DELAY: TimeSpan = TimeSpan(2);

/// Takes the answer to a stop.
pub fn answered(
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

/// Lets tasks of workers wait again whose lease has certainly lapsed.
pub fn lapse(state: &mut BatchState, context: &mut StepContext<'_>) {
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
pub fn sweep(state: &mut BatchState, context: &mut StepContext<'_>) {
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
                    None => orders::order_time(stop.sendings),
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
        send(state, &worker, run, at, context);
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
    let stop = slot.stop.get_or_insert(StopMark {
        sent: at,
        answered: None,
        sendings: 0,
    });
    stop.sent = at;
    stop.sendings += 1;
    let timeout = orders::order_time(stop.sendings);
    let reason = if slot.evicted { "evicted" } else { "unwanted" };
    let line = format!("run={run} worker={worker} outcome=stopping reason={reason}");
    context.info(LogTarget::Gang, line);
    context.update_metric(MetricName::RunsStopped, 1);
    let kind = OrderKind::Stop(run);
    let order = WorkerOrder::Stop { run };
    orders::send(planner, worker, kind, order, timeout, context);
}

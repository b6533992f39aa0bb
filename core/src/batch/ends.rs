//! Lists of workers: runs that began, ended or never were.

use crate::batch::job::RunKey;
use crate::batch::job::TaskDemand;
use crate::batch::life::RunPhase;
use crate::batch::life::RunSlot;
use crate::batch::message::EndedRow;
use crate::batch::message::RunEnding;
use crate::batch::message::RunningRow;
use crate::batch::message::WorkerLists;
use crate::batch::outcome;
use crate::batch::record::WorkerLifeKey;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Takes the lists in the answer to a hold that was sent at `asked`.
pub fn take_lists(
    state: &mut BatchState,
    worker: &WorkerName,
    asked: ClockTime,
    lists: &WorkerLists,
    context: &mut StepContext<'_>,
) {
    let Some(life) = state.life_mut(worker) else {
        return;
    };
    if let Some(born) = lists.born.filter(|born| *born != life.born) {
        let line = format!("worker={worker} born={born} outcome=new_life");
        context.warn(LogTarget::Lease, line);
        life.begin_again(born, context.at);
    }
    life.listed = true;
    for row in &lists.running {
        take_running(state, worker, row, context);
    }
    for row in &lists.ended {
        take_end(state, worker, row, context);
    }
    drop_absent(state, worker, asked, lists, context);
}

fn take_running(
    state: &mut BatchState,
    worker: &WorkerName,
    row: &RunningRow,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(life) = planner.workers.get_mut(worker) else {
        return;
    };
    if let Some(slot) = life.runs.get_mut(&row.run) {
        if matches!(slot.phase, RunPhase::Sent | RunPhase::Inherited) {
            slot.phase = RunPhase::Running;
            slot.since = context.at;
        }
        slot.unclear = false;
        slot.percent = row.percent;
        slot.listed = context.at;
        row.checkpoint.clone_into(&mut slot.checkpoint);
        return;
    }
    let line = format!("run={} worker={worker} outcome=foreign", row.run);
    context.warn(LogTarget::Gang, line);
    let slot = RunSlot {
        demand: TaskDemand::default(),
        priority: 0,
        team: None,
        gang: false,
        phase: RunPhase::Foreign,
        since: context.at,
        placed: context.at,
        expected: TimeSpan(0),
        percent: row.percent,
        listed: context.at,
        sendings: 0,
        unclear: false,
        evicted: true,
        stop: None,
        checkpoint: row.checkpoint.clone(),
    };
    planner.add_slot(worker, row.run, slot);
    planner.sweep_due = true;
}

fn take_end(
    state: &mut BatchState,
    worker: &WorkerName,
    row: &EndedRow,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(life) = planner.workers.get_mut(worker) else {
        return;
    };
    if row.number <= life.taken {
        return;
    }
    life.taken = row.number;
    let key = WorkerLifeKey {
        worker: worker.clone(),
        born: life.born,
    };
    let is_quarantined = match row.ending {
        RunEnding::Done => {
            life.run_done();
            false
        }
        RunEnding::Failed => life.run_failed(&row.run.task, context.at),
        RunEnding::Stopped | RunEnding::Lapsed | RunEnding::Broken | RunEnding::Alone => false,
    };
    let slot = planner.remove_slot(worker, &row.run);
    planner.dirty = true;
    let line = format!(
        "run={} worker={worker} ending={:?} number={} ran_ms={} quarantined={is_quarantined}",
        row.run,
        row.ending,
        row.number,
        slot.map_or(0, |slot| context.at.since(slot.placed).0)
    );
    context.info(LogTarget::Gang, line);
    match row.ending {
        RunEnding::Done => outcome::complete(state, row.run),
        RunEnding::Failed => {
            context.update_metric(MetricName::RunsFailed, 1);
            let places = planner.failed_places.entry(row.run.task.step);
            places.or_default().insert(worker.clone());
            outcome::requeue(state, row.run, &row.checkpoint, true);
        }
        RunEnding::Stopped | RunEnding::Lapsed | RunEnding::Broken | RunEnding::Alone => {
            outcome::requeue(state, row.run, &row.checkpoint, false);
        }
    }
    await_record(state, key, row);
}

/// The worker may forget the end once the task's newest record was read back.
fn await_record(state: &mut BatchState, key: WorkerLifeKey, row: &EndedRow) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(mark) = planner.marks.get_mut(&row.run.task) else {
        return;
    };
    if let Some(life) = planner.workers.get_mut(&key.worker) {
        life.pending.insert(row.number);
        mark.ends.push((key, row.number));
    }
}

/// Lets tasks wait again whose runs are neither listed as running nor as ended, although the
/// worker must know of them.
fn drop_absent(
    state: &mut BatchState,
    worker: &WorkerName,
    asked: ClockTime,
    lists: &WorkerLists,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &state.planner else {
        return;
    };
    let Some(life) = planner.workers.get(worker) else {
        return;
    };
    let is_running = |run: &RunKey| lists.running.iter().any(|row| row.run == *run);
    let absent = life.runs.iter().filter(|(run, slot)| {
        let is_certain = match slot.phase {
            RunPhase::Recorded => false,
            RunPhase::Inherited => true,
            RunPhase::Sent => is_stopped(slot, asked),
            RunPhase::Running | RunPhase::Foreign => slot.since < asked || is_stopped(slot, asked),
        };
        is_certain && !is_running(run)
    });
    let absent: Vec<RunKey> = absent.map(|(run, _)| *run).collect();
    for run in absent {
        outcome::run_gone(state, worker, run, context);
    }
}

/// A stop that was answered before the lists were asked for keeps the run from beginning later.
fn is_stopped(slot: &RunSlot, asked: ClockTime) -> bool {
    let answered = slot.stop.and_then(|stop| stop.answered);
    answered.is_some_and(|answered| answered < asked)
}

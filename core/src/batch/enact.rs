//! Carrying out the decisions of a round: records of placements, claims, runs to stop.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::job::RunKey;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::life::RunPhase;
use crate::batch::message::BatchEffect;
use crate::batch::message::JobStage;
use crate::batch::overdue;
use crate::batch::planner;
use crate::batch::record::BatchRecord;
use crate::batch::record::TaskNote;
use crate::batch::record::TaskState;
use crate::batch::record::WorkerLifeKey;
use crate::batch::room::RoomClaim;
use crate::batch::round::RoundPlan;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogPart;
use crate::ids::WorkerName;

/// What all members of a gang start with.
#[derive(Clone, Debug, Default)]
struct GangStart {
    attempt: u32,
    checkpoint: String,
}

/// Carries out what a round has decided.
pub fn enact(state: &mut BatchState, plan: RoundPlan, context: &mut StepContext<'_>) {
    let mut gangs: IndexMap<StepKey, GangStart> = IndexMap::new();
    for (task, _) in &plan.placements {
        let entry = state.book.jobs.get(&task.step.job);
        let note = entry.and_then(|entry| entry.note(task));
        let gang = gangs.entry(task.step).or_default();
        gang.attempt = gang.attempt.max(note.map_or(0, |note| note.attempt) + 1);
        let saved = note.map_or("", |note| note.checkpoint.as_str());
        if gang.checkpoint.is_empty() {
            saved.clone_into(&mut gang.checkpoint);
        }
    }
    for (task, worker) in plan.placements {
        let gang = gangs.get(&task.step).cloned().unwrap_or_default();
        place(state, task, &worker, gang, context);
    }
    let at = context.at;
    let Some(planner) = &mut state.planner else {
        return;
    };
    overdue::log(planner, plan.overdue, context);
    for (key, workers) in plan.claims {
        planner.claims.insert(key, RoomClaim { since: at, workers });
    }
    if plan.evictions.is_empty() {
        return;
    }
    planner.sweep_due = true;
    let gangs: IndexSet<StepKey> = plan.evictions.iter().map(|run| run.task.step).collect();
    for life in planner.workers.values_mut() {
        for (run, slot) in &mut life.runs {
            let is_member = slot.gang && gangs.contains(&run.task.step);
            if is_member || plan.evictions.contains(run) {
                slot.evicted = true;
            }
        }
    }
}

fn place(
    state: &mut BatchState,
    task: TaskKey,
    worker: &WorkerName,
    gang: GangStart,
    context: &mut StepContext<'_>,
) {
    let job: JobKey = task.step.job;
    let Some(entry) = state.book.jobs.get(&job) else {
        return;
    };
    let Some(definition) = entry.open_definition() else {
        return;
    };
    let Some(step) = definition.draft.steps.get(task.step.step as usize) else {
        return;
    };
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(born) = planner.workers.get(worker).map(|life| life.born) else {
        return;
    };
    let note = entry.note(&task).cloned().unwrap_or_default();
    let (attempt, checkpoint) = if step.gang {
        (gang.attempt, gang.checkpoint)
    } else {
        (note.attempt + 1, note.checkpoint.clone())
    };
    let run = RunKey { task, attempt };
    let slot = planner::new_slot(definition, step, RunPhase::Recorded, context.at);
    planner.claims.swap_remove(&task.step);
    planner.add_slot(worker, run, slot);
    let life = WorkerLifeKey {
        worker: worker.clone(),
        born,
    };
    let next = TaskNote {
        attempt,
        checkpoint,
        state: TaskState::Placed(life),
        ..note
    };
    let line = format!(
        "run={run} worker={worker} outcome=placed waited_ms={}",
        context.at.since(definition.accepted_at)
    );
    context.info(LogPart::Plan, line);
    planner.record(task, next, &mut state.planner_lane);
    if entry.phase.is_none() && planner.begun.insert(job) {
        context.push(ControlEffect::Batch(BatchEffect::Observe {
            stage: JobStage::FirstStart,
            queue: definition.queue.clone(),
            span: context.at.since(definition.accepted_at),
        }));
        let record = BatchRecord::phase(job, JobPhase::Running);
        state.planner_lane.push(record, None);
    }
}

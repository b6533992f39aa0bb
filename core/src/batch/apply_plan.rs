//! Execution of a round's decisions: placement records, capacity reservations, runs to stop.

use indexmap::IndexMap;

use crate::batch::cap_preemption;
use crate::batch::job::JobPhase;
use crate::batch::job::RunKey;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::message::BatchEffect;
use crate::batch::message::JobStage;
use crate::batch::overdue;
use crate::batch::planner;
use crate::batch::preemption;
use crate::batch::record::BatchRecord;
use crate::batch::record::IncarnationKey;
use crate::batch::record::TaskState;
use crate::batch::round::RoundPlan;
use crate::batch::session::RunPhase;
use crate::batch::state::BatchState;
use crate::batch::view::JobEntry;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::WorkerName;

/// Placed tasks of one step with their workers.
type StepPlacements = Vec<(TaskKey, WorkerName)>;

/// Attempt and checkpoint that all members of a gang start with.
#[derive(Clone, Debug, Default)]
struct GangStart {
    attempt: u32,
    checkpoint: String,
}

/// Executes the decisions of a round.
pub fn apply_plan(state: &mut BatchState, plan: RoundPlan, context: &mut StepContext<'_>) {
    let mut steps: IndexMap<StepKey, StepPlacements> = IndexMap::new();
    for (task, worker) in plan.placements {
        steps.entry(task.step).or_default().push((task, worker));
    }
    for (step, placements) in &steps {
        place_step(state, *step, placements, context);
    }
    let Some(planner) = &mut state.planner else {
        return;
    };
    overdue::log(planner, plan.overdue_units, context);
    cap_preemption::log(planner, &plan.capped_units, context);
    if plan.cap_stops > 0 {
        context.update_metric(MetricName::CapStops, plan.cap_stops);
    }
    for (key, reservation) in plan.reservations {
        preemption::report(key, &reservation, context);
        planner.reservations.insert(key, reservation);
    }
    if !plan.evictions.is_empty() {
        planner.evict(&plan.evictions);
    }
}

fn place_step(
    state: &mut BatchState,
    key: StepKey,
    placements: &[(TaskKey, WorkerName)],
    context: &mut StepContext<'_>,
) {
    let Some(entry) = state.view.jobs.get(&key.job) else {
        return;
    };
    let Some(definition) = entry.open_definition() else {
        return;
    };
    let Some(step) = definition.submission.steps.get(key.step as usize) else {
        return;
    };
    let Some(planner) = &mut state.planner else {
        return;
    };
    let gang = step.gang.then(|| gang_start(entry, placements));
    let waited = context.at.since(definition.accepted_at);
    let mut records = Vec::new();
    planner.reservations.swap_remove(&key);
    for (task, worker) in placements {
        let Some(session) = planner.workers.get(worker) else {
            continue;
        };
        let incarnation = session.incarnation;
        if session.speed.estimate().class != 0 {
            context.update_metric(MetricName::PlacementsBySpeed, 1);
        }
        let mut record = entry.task_record(task).cloned().unwrap_or_default();
        record.attempt += 1;
        if let Some(gang) = &gang {
            record.attempt = gang.attempt;
            gang.checkpoint.clone_into(&mut record.checkpoint);
        }
        record.state = TaskState::Placed(IncarnationKey {
            worker: worker.clone(),
            incarnation,
        });
        let run = RunKey {
            task: *task,
            attempt: record.attempt,
        };
        let slot = planner::new_slot(definition, step, RunPhase::Recording, context.at);
        planner.add_slot(worker, run, slot);
        let line = format!("run={run} worker={worker} outcome=placed waited_ms={waited}");
        context.info(LogTarget::Plan, line);
        records.push((*task, record));
    }
    if step.gang {
        planner.record_tasks(records, &mut state.planner_queue);
    } else {
        for record in records {
            planner.record_tasks(vec![record], &mut state.planner_queue);
        }
    }
    if entry.phase.is_none() && planner.started_jobs.insert(key.job) {
        context.push(ControlEffect::Batch(BatchEffect::Observe {
            stage: JobStage::FirstStart,
            queue: definition.queue.clone(),
            span: waited,
        }));
        let record = BatchRecord::phase(key.job, JobPhase::Running);
        state.planner_queue.push(record, None);
    }
}

/// Returns the start of a gang: an attempt above that of every member, and the checkpoint of any
/// member.
fn gang_start(entry: &JobEntry, placements: &[(TaskKey, WorkerName)]) -> GangStart {
    let records = placements
        .iter()
        .filter_map(|(task, _)| entry.task_record(task));
    let last_attempt = records.clone().map(|record| record.attempt).max();
    let mut checkpoints = records.map(|record| &record.checkpoint);
    let checkpoint = checkpoints.find(|checkpoint| !checkpoint.is_empty());
    GangStart {
        attempt: last_attempt.unwrap_or(0) + 1,
        checkpoint: checkpoint.cloned().unwrap_or_default(),
    }
}

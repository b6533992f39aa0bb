//! Completion of runs, tasks and jobs: the records that the planner writes for them.

use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::job::RunKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::message::BatchEffect;
use crate::batch::message::JobStage;
use crate::batch::record::BatchRecord;
use crate::batch::record::RecordKey;
use crate::batch::record::TaskRecord;
use crate::batch::record::TaskState;
use crate::batch::state::BatchState;
use crate::batch::view::BatchView;
use crate::batch::view::JobEntry;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::WorkerName;

/// Removes all runs of a worker as lost, and requeues their tasks.
pub fn handle_lost_worker(
    state: &mut BatchState,
    worker: &WorkerName,
    reason: &str,
    context: &mut StepContext<'_>,
) {
    let Some(session) = state.worker_mut(worker) else {
        return;
    };
    session.has_listed = false;
    let runs: Vec<RunKey> = session.runs.keys().copied().collect();
    let line = format!(
        "worker={worker} outcome=runs_gone runs={} reason={reason:?}",
        runs.len()
    );
    context.warn(LogTarget::Lease, line);
    for run in runs {
        handle_lost_run(state, worker, run, context);
    }
}

/// Removes a run that is certain not to be running and has no reported end, and requeues its task.
pub fn handle_lost_run(
    state: &mut BatchState,
    worker: &WorkerName,
    run: RunKey,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(slot) = planner.remove_slot(worker, &run) else {
        return;
    };
    context.info(
        LogTarget::Gang,
        format!("run={run} worker={worker} outcome=gone"),
    );
    context.update_metric(MetricName::RunsLost, 1);
    requeue(state, run, &slot.checkpoint, false);
}

/// Records that a run ended without success, which requeues its task. The other members of its gang
/// have to stop. Failures of long-running tasks are not counted.
pub fn requeue(state: &mut BatchState, run: RunKey, checkpoint: &str, has_failed: bool) {
    let Some((entry, step, tasks)) = tasks_ending_with(&state.view, &run) else {
        return;
    };
    let is_counted = has_failed && !step.long_running;
    let Some(planner) = &mut state.planner else {
        return;
    };
    planner.is_reconcile_due = true;
    let mut records = Vec::new();
    for task in tasks {
        let record = planner.newest_record(entry, &task);
        let is_live = planner.live_runs.contains_key(&task);
        let next_state = match &record.state {
            // The last live run that blocked the task's next placement may belong to an older
            // attempt.
            TaskState::Stopping(_) if !is_live => Some(TaskState::Waiting),
            _ if record.attempt != run.attempt => None,
            TaskState::Placed(key) if is_live => Some(TaskState::Stopping(key.clone())),
            TaskState::Placed(_) => Some(TaskState::Waiting),
            TaskState::Stopping(_) | TaskState::Waiting | TaskState::Done => None,
        };
        let is_new_failure =
            is_counted && !record.failed.contains(&run.attempt) && record.state != TaskState::Done;
        if next_state.is_none() && !is_new_failure {
            continue;
        }
        let mut next = record.clone();
        if let Some(state) = next_state {
            next.state = state;
            if !checkpoint.is_empty() {
                checkpoint.clone_into(&mut next.checkpoint);
            }
        }
        if is_new_failure {
            next.failed.push(run.attempt);
        }
        records.push((task, next));
    }
    planner.record_tasks(records, &mut state.planner_queue);
}

/// Records that the task of a run is done. For a gang, one end completes all members.
///
/// A long-running task is requeued instead, because it runs until its job is cancelled.
pub fn complete_task(state: &mut BatchState, run: RunKey, checkpoint: &str) {
    let Some((entry, step, tasks)) = tasks_ending_with(&state.view, &run) else {
        return;
    };
    if step.long_running {
        return requeue(state, run, checkpoint, false);
    }
    let Some(planner) = &mut state.planner else {
        return;
    };
    let mut records = Vec::new();
    for task in tasks {
        let record = planner.newest_record(entry, &task);
        if record.state == TaskState::Done {
            continue;
        }
        let next = TaskRecord {
            state: TaskState::Done,
            checkpoint: String::new(),
            ..record
        };
        records.push((task, next));
    }
    planner.record_tasks(records, &mut state.planner_queue);
}

/// Records the final phase of a job if all its tasks are done, or if one has used up its attempts.
pub fn finalize_job(state: &mut BatchState, job: JobKey, context: &mut StepContext<'_>) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(entry) = state.view.jobs.get(&job) else {
        return;
    };
    let Some(definition) = entry.open_definition() else {
        return;
    };
    let tasks = entry.steps.values().flatten();
    let has_failed = tasks
        .clone()
        .any(|task| task.state != TaskState::Done && task.is_exhausted(definition.max_attempts));
    let is_rejected = state.rejected_jobs.contains(&job);
    let phase = if has_failed || is_rejected {
        JobPhase::Failed
    } else if entry.is_done(job, &definition.submission) {
        JobPhase::Completed
    } else {
        return;
    };
    if !planner.finalized_jobs.insert(job) {
        return;
    }
    let line = format!(
        "job={} outcome={phase:?} priority={} estimate_ms={} after_ms={}",
        job.text(),
        definition.priority,
        definition.submission.critical_path(),
        context.at.since(definition.accepted_at)
    );
    context.info(LogTarget::Plan, line);
    context.update_metric(MetricName::JobsEnded, 1);
    context.push(ControlEffect::Batch(BatchEffect::Observe {
        stage: JobStage::Completion,
        queue: definition.queue.clone(),
        span: context.at.since(definition.accepted_at),
    }));
    state
        .planner_queue
        .push(BatchRecord::phase(job, phase), None);
    // The shortened definition keeps the load of the topic small: a daemon reads the records of all
    // jobs.
    state
        .planner_queue
        .push_atomic(BatchRecord::job(job, definition.without_submission()));
    for ((occurrence, step), records) in &entry.steps {
        let step = StepKey {
            job,
            occurrence: *occurrence,
            step: *step,
        };
        for index in (0_u32..).take(records.len()) {
            let key = RecordKey::Task(TaskKey { step, index });
            state.planner_queue.push(BatchRecord::tombstone(key), None);
        }
    }
}

/// Returns the tasks that end with a run: all members of its gang, or its own task.
fn tasks_ending_with<'a>(
    view: &'a BatchView,
    run: &RunKey,
) -> Option<(&'a JobEntry, &'a StepDefinition, Vec<TaskKey>)> {
    let entry = view.jobs.get(&run.task.step.job)?;
    let definition = entry.open_definition()?;
    let step = definition
        .submission
        .steps
        .get(run.task.step.step as usize)?;
    // Workers list what they were told to run, but a malformed list can name a task that the job
    // does not have.
    let has_task = run.task.index < step.count
        && run.task.step.occurrence < definition.submission.occurrence_count();
    if !has_task {
        return None;
    }
    let member = |index| TaskKey {
        step: run.task.step,
        index,
    };
    let tasks = if step.gang {
        (0..step.count).map(member).collect()
    } else {
        vec![run.task]
    };
    Some((entry, step, tasks))
}

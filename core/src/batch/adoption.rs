//! Takeover: what a new planner adopts from the records of earlier ones.

use indexmap::IndexMap;

use crate::batch::completion;
use crate::batch::extension::MAX_EXTENSION_AGE;
use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::job::RunKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::message::StoreStream;
use crate::batch::planner;
use crate::batch::planner::PlannerState;
use crate::batch::reader::StreamReader;
use crate::batch::record::IncarnationKey;
use crate::batch::record::TaskRecord;
use crate::batch::record::TaskState;
use crate::batch::session::RunPhase;
use crate::batch::session::RunSlot;
use crate::batch::session::WorkerSession;
use crate::batch::share::JobRates;
use crate::batch::state::BatchState;
use crate::batch::view::JobEntry;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::units::ClockTime;

/// Rebuilds the runs and open jobs from the records of earlier planners at the start of a term, and
/// finalizes jobs that have ended.
pub fn adopt(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    state.worker_reader = StreamReader::new(StoreStream::Workers);
    let job_rates = JobRates::rebuild(state);
    let Some(planner) = &mut state.planner else {
        return;
    };
    planner.job_rates = job_rates;
    let extensions_end_at = at.max(state.election.extensions_end_at());
    let longest_lease = WorkerSession::longest_lease(state.settings.max_lease);
    let lease_expires_at = extensions_end_at + longest_lease;
    // A planner that was cut off before the end of a job was recorded does not know of that end.
    let longest_run = MAX_EXTENSION_AGE + longest_lease;
    for (job, entry) in &state.view.jobs {
        if let Some(definition) = entry.open_definition() {
            adopt_job(planner, *job, entry, definition, lease_expires_at, at);
        } else if entry
            .unended_since
            .is_some_and(|since| at.since(since) < longest_run)
        {
            adopt_unended_runs(planner, entry, lease_expires_at, at);
        }
    }
    let jobs: Vec<JobKey> = planner.open_jobs.iter().copied().collect();
    let line = format!(
        "term={} outcome=adopting open_jobs={} runs={} lease_wait_ms={}",
        planner.term,
        jobs.len(),
        planner.live_runs.len(),
        lease_expires_at.since(at)
    );
    context.info(LogTarget::Plan, line);
    for job in jobs {
        completion::finalize_job(state, job, context);
    }
}

/// Adds an open job and its recorded runs.
fn adopt_job(
    planner: &mut PlannerState,
    job: JobKey,
    entry: &JobEntry,
    definition: &JobDefinition,
    lease_expires_at: ClockTime,
    at: ClockTime,
) {
    planner.open_jobs.insert(job);
    planner.waiting_jobs.insert(job);
    for (task, record, step) in placed_tasks(job, definition, &entry.steps) {
        let (TaskState::Placed(key) | TaskState::Stopping(key)) = &record.state else {
            continue;
        };
        let run = RunKey {
            task,
            attempt: record.attempt,
        };
        let slot = planner::new_slot(definition, step, RunPhase::Adopted, at);
        adopt_run(planner, key, run, slot, lease_expires_at, at);
    }
}

/// Adds the recorded runs of a job that ended a short time ago. They count against the cap of their
/// team until their workers' lists or the end of the lease show that they have ended.
fn adopt_unended_runs(
    planner: &mut PlannerState,
    entry: &JobEntry,
    lease_expires_at: ClockTime,
    at: ClockTime,
) {
    let Some(definition) = entry.definition.as_deref() else {
        return;
    };
    for unended in &entry.unended_runs {
        let slot = planner::new_slot(definition, &unended.step, RunPhase::Adopted, at);
        adopt_run(
            planner,
            &unended.key,
            unended.run,
            slot,
            lease_expires_at,
            at,
        );
    }
}

/// Adds a run to the session of its worker, whose lease may last until `lease_expires_at`.
fn adopt_run(
    planner: &mut PlannerState,
    key: &IncarnationKey,
    run: RunKey,
    slot: RunSlot,
    lease_expires_at: ClockTime,
    at: ClockTime,
) {
    let session = planner.session_or_new(&key.worker, key.incarnation, at);
    session.lease_expires_at = lease_expires_at;
    planner.add_slot(&key.worker, run, slot);
}

/// Returns the tasks of a job that were placed at least once, with their state and step.
fn placed_tasks<'a>(
    job: JobKey,
    definition: &'a JobDefinition,
    steps: &'a IndexMap<(u32, u32), Vec<TaskRecord>>,
) -> impl Iterator<Item = (TaskKey, &'a TaskRecord, &'a StepDefinition)> {
    steps.iter().flat_map(move |((occurrence, index), tasks)| {
        let step = StepKey {
            job,
            occurrence: *occurrence,
            step: *index,
        };
        let definition = definition.submission.steps.get(*index as usize);
        let tasks = (0_u32..).zip(tasks);
        tasks.filter_map(move |(index, task)| Some((TaskKey { step, index }, task, definition?)))
    })
}

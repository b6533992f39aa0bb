//! Recovery of attempts whose members have an unknown state, after a takeover or on lost workers.

use std::collections::BTreeSet;

use crate::context::StepContext;
use crate::gang;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::ids::WorkerName;
use crate::plan;
use crate::record::AttemptEnd;
use crate::run;
use crate::run::GangStage;
use crate::run::MemberState;
use crate::state::DaemonState;
use crate::termination;
use crate::units::TimeSpan;
use crate::worker::TaskStatus;

/// Applies the complete task list of a fenced worker to the attempts found in the ledger.
pub fn recover_tasks(
    state: &mut DaemonState,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    uptime: TimeSpan,
    context: &mut StepContext<'_>,
) {
    let expected: Vec<TaskId> = state.ledger.tasks_on(worker).collect();
    let mut jobs = BTreeSet::new();
    for task in expected {
        let may_have_run = !run::was_up_at_placement(state, task.job, uptime, context.at);
        let Some(run) = state.planner.run_mut(&task) else {
            continue;
        };
        let index = task.member as usize;
        if run.stage != GangStage::Recovering || run.members[index] != MemberState::Uncertain {
            continue;
        }
        match tasks.iter().find(|status| status.task == task) {
            Some(status) => run::apply_status(run, index, status),
            None => run.members[index] = MemberState::NotRunning { may_have_run },
        }
        jobs.insert(task.job);
    }
    for job in jobs {
        recover(state, job, context);
    }
}

/// Ends the recovery once the state of every member is known, or as soon as one member is known to
/// be lost.
pub(crate) fn recover(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    let lost = run
        .members
        .iter()
        .position(|member| member.has_ended() && !member.is_finished());
    if let Some(index) = lost {
        let worker = run.workers[index].clone();
        termination::begin_stop(state, job, AttemptEnd::Lost { worker }, context);
    } else if !run.members.contains(&MemberState::Uncertain) {
        gang::advance_start(state, job, context);
    }
}

/// Marks members as not running on workers whose lease has certainly expired.
pub(crate) fn resolve_lost_members(
    state: &mut DaemonState,
    job: JobId,
    context: &mut StepContext<'_>,
) {
    let Some(run) = state.planner.runs.get(&job) else {
        return;
    };
    let open: Vec<WorkerName> = match run.stage {
        GangStage::Stopping { .. } => run.unconfirmed_stops.iter().cloned().collect(),
        GangStage::Recovering => run.workers.clone(),
        _ => return,
    };
    let lost: Vec<WorkerName> = open
        .into_iter()
        .filter(|worker| plan::is_lost(state, worker, context.at))
        .collect();
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    for worker in &lost {
        let indexes: Vec<usize> = run.members_on(worker).collect();
        for index in indexes {
            if !run.members[index].has_ended() {
                let may_have_run = run.members[index].may_have_run();
                run.members[index] = MemberState::NotRunning { may_have_run };
            }
        }
    }
    if !lost.is_empty() {
        gang::advance(state, job, context);
    }
}

//! End of an attempt: stops the members, waits until none is running and records the end.

use crate::call;
use crate::call::CallPurpose;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::event::CallOutcome;
use crate::ids::JobId;
use crate::ids::WorkerName;
use crate::outbox::RecordPurpose;
use crate::plan;
use crate::record::AttemptEnd;
use crate::record::RecordBody;
use crate::run;
use crate::run::GangStage;
use crate::state::DaemonState;
use crate::term;
use crate::worker::WorkerCommand;
use crate::worker::WorkerRefusal;
use crate::worker::WorkerReply;

/// Stops all members that may be running and cancels their reservations.
pub fn begin_stop(
    state: &mut DaemonState,
    job: JobId,
    end: AttemptEnd,
    context: &mut StepContext<'_>,
) {
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    if matches!(run.stage, GangStage::Stopping { .. } | GangStage::Closing) {
        return;
    }
    run.enter(GangStage::Stopping { end }, context.at);
    run.unconfirmed_stops = run
        .workers
        .iter()
        .filter(|worker| !run.has_ended_on(worker))
        .cloned()
        .collect();
    state.planner.in_transition.insert(job);
    send_stops(state, job, context);
    record_end_when_stopped(state, job, context);
}

pub(crate) fn send_stops(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    // Stops are idempotent and are resent, because a stop sent on a dead connection is never
    // answered.
    let retry = state.settings.timing.call;
    let term = state.ledger.term.number;
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    run.retry_at = context.at + retry;
    let attempt = run.attempt;
    for worker in run.unconfirmed_stops.clone() {
        let command = WorkerCommand::Stop {
            term,
            job,
            attempt,
            checkpoint: true,
        };
        call::send(
            state,
            &worker,
            command,
            CallPurpose::Stop { job, attempt },
            context,
        );
    }
}

/// Handles the reply to a stop command.
pub fn handle_stop_reply(
    state: &mut DaemonState,
    worker: &WorkerName,
    job: JobId,
    attempt: u32,
    outcome: &CallOutcome,
    context: &mut StepContext<'_>,
) {
    let was_up_at_placement = match outcome {
        CallOutcome::Reply {
            reply: WorkerReply::Stopped { uptime, .. },
        } => run::was_up_at_placement(state, job, *uptime, context.at),
        _ => false,
    };
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    if run.attempt != attempt || !matches!(run.stage, GangStage::Stopping { .. }) {
        return;
    }
    match outcome {
        CallOutcome::Reply {
            reply: WorkerReply::Stopped { tasks, .. },
        } => {
            run::apply_stop_reply(run, worker, tasks, was_up_at_placement || !run.is_recorded);
            record_end_when_stopped(state, job, context);
        }
        CallOutcome::Reply {
            reply:
                WorkerReply::Refused {
                    refusal: WorkerRefusal::UnknownTask,
                },
        } => {
            run::apply_stop_reply(run, worker, &[], !run.is_recorded);
            record_end_when_stopped(state, job, context);
        }
        _ => {}
    }
}

pub(crate) fn record_end_when_stopped(
    state: &mut DaemonState,
    job: JobId,
    context: &mut StepContext<'_>,
) {
    let Some(run) = state.planner.runs.get(&job) else {
        return;
    };
    if !run.unconfirmed_stops.is_empty() {
        return;
    }
    if run.is_recorded {
        record_end(state, job, context);
    } else if !state.outbox.contains(&RecordPurpose::Placement {
        job,
        attempt: run.attempt,
    }) {
        state.planner.remove_run(job);
    }
}

/// Records the end of an attempt that has no running member.
pub(crate) fn record_end(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    if !term::is_planner(state, context.at) {
        // The tick records the end once the term has been renewed.
        state.planner.in_transition.insert(job);
        return;
    }
    let Some(record) = state.ledger.jobs.get(&job) else {
        return;
    };
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    let end = run::attempt_end(run, record.order.spec.repeatable, record.cancelled);
    let checkpoint = run.checkpoints.iter().copied().min().unwrap_or_default();
    let attempt = run.attempt;
    run.enter(GangStage::Closing, context.at);
    state.planner.in_transition.insert(job);
    plan::observe_end(state, job, &end, context.at);
    if end == AttemptEnd::Preempted {
        context.update_metric(MetricName::AttemptsPreempted, 1);
    }
    if !matches!(end, AttemptEnd::Finished { .. }) {
        let line = format!("job {job} attempt {attempt} ends: {end:?}");
        context.info(LogTarget::Gang, line);
    }
    let term = state.ledger.term.number;
    let body = RecordBody::AttemptEnded {
        term,
        job,
        attempt,
        end,
        checkpoint,
    };
    state
        .outbox
        .push(context.at, body, RecordPurpose::AttemptEnd { job });
}

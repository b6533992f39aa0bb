//! Start of an attempt: reserves all members, records the placement and starts all members.

use std::collections::BTreeSet;

use crate::call;
use crate::call::CallPurpose;
use crate::context::StepContext;
use crate::domain;
use crate::effect::LogTarget;
use crate::event::CallOutcome;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::ids::WorkerName;
use crate::outbox::RecordPurpose;
use crate::plan;
use crate::record::AttemptEnd;
use crate::record::JobOrder;
use crate::record::RecordBody;
use crate::recovery;
use crate::run;
use crate::run::GangRun;
use crate::run::GangStage;
use crate::run::MemberState;
use crate::state::DaemonState;
use crate::term;
use crate::termination;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::worker::TaskRun;
use crate::worker::TaskStatus;
use crate::worker::WorkerCommand;
use crate::worker::WorkerReply;

/// Begins an attempt of a queued job by reserving all members.
pub fn reserve_members(
    state: &mut DaemonState,
    job: JobId,
    workers: Vec<WorkerName>,
    context: &mut StepContext<'_>,
) {
    let Some(record) = state.ledger.jobs.get(&job) else {
        return;
    };
    let demand = record.order.spec.demand;
    let last_attempt = state
        .planner
        .attempt_numbers
        .get(&job)
        .copied()
        .unwrap_or(0);
    let attempt = record.attempt.max(last_attempt) + 1;
    state.planner.attempt_numbers.insert(job, attempt);
    let term = state.ledger.term.number;
    let lapse = state.settings.timing.reservation;
    for (member, worker) in (0..).zip(&workers) {
        let task = TaskId {
            job,
            attempt,
            member,
        };
        let command = WorkerCommand::Reserve {
            term,
            task,
            demand,
            lapse,
        };
        call::send(
            state,
            worker,
            command,
            CallPurpose::Reserve { task },
            context,
        );
    }
    let stage = GangStage::Reserving;
    let run = GangRun::new(attempt, workers, MemberState::Reserving, stage, context.at);
    state.planner.insert_run(job, run);
}

/// Handles the reply to a reservation.
pub fn handle_reserve_reply(
    state: &mut DaemonState,
    task: &TaskId,
    outcome: &CallOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(run) = state.planner.run_mut(task) else {
        return;
    };
    let worker = run.workers[task.member as usize].clone();
    let member = &mut run.members[task.member as usize];
    if *member != MemberState::Reserving {
        return;
    }
    match outcome {
        CallOutcome::Reply {
            reply: WorkerReply::Done,
        } => *member = MemberState::Reserved,
        CallOutcome::Undelivered | CallOutcome::Reply { .. } => {
            *member = MemberState::NotRunning {
                may_have_run: false,
            };
        }
        CallOutcome::Unknown => {}
    }
    let is_reserved = *member == MemberState::Reserved;
    if run.stage != GangStage::Reserving {
        return;
    }
    if !is_reserved {
        plan::back_off_worker(state, &worker, outcome, context);
        termination::begin_stop(state, task.job, AttemptEnd::NotStarted, context);
    } else if run.all_members(|member| *member == MemberState::Reserved) {
        record_placement(state, task.job, context);
    }
}

pub(crate) fn record_placement(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    if !term::is_planner(state, context.at) {
        return;
    }
    let term = state.ledger.term.number;
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    run.enter(GangStage::Recording, context.at);
    let (attempt, workers) = (run.attempt, run.workers.clone());
    let body = RecordBody::JobPlaced {
        term,
        job,
        attempt,
        workers,
    };
    state
        .outbox
        .push(context.at, body, RecordPurpose::Placement { job, attempt });
}

/// Starts all members once the placement has been read back from the log. Ends the attempt if the
/// term has changed, the view of the log is stale, the job is cancelled or a failure domain is out
/// of service.
pub fn handle_placement(
    state: &mut DaemonState,
    job: JobId,
    attempt: u32,
    was_applied: bool,
    context: &mut StepContext<'_>,
) {
    let is_allowed = may_start(state, job, context.at);
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    if run.attempt != attempt || run.is_recorded {
        return;
    }
    run.is_recorded = was_applied;
    if run.stage != GangStage::Recording || !was_applied || !is_allowed {
        context.info(
            LogTarget::Gang,
            format!("start of job {job} attempt {attempt} skipped"),
        );
        termination::begin_stop(state, job, AttemptEnd::NotStarted, context);
        return;
    }
    run.enter(GangStage::Starting, context.at);
    run.members.fill(MemberState::Starting);
    send_starts(state, job, context);
}

pub(crate) fn may_start(state: &DaemonState, job: JobId, at: ClockTime) -> bool {
    let Some(run) = state.planner.runs.get(&job) else {
        return false;
    };
    let cancelled = state
        .ledger
        .jobs
        .get(&job)
        .is_none_or(|record| record.cancelled);
    term::is_planner(state, at)
        && !cancelled
        && state.reader.is_fresh(at, state.settings.timing.freshness)
        && run
            .workers
            .iter()
            .all(|worker| !domain::is_worker_cordoned(state, worker))
}

pub(crate) fn send_starts(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let Some(record) = state.ledger.jobs.get(&job) else {
        return;
    };
    let Some(run) = state.planner.runs.get(&job) else {
        return;
    };
    let term = state.ledger.term.number;
    let task_run = task_run(&record.order, record.checkpoint, run.workers.len());
    let (attempt, workers) = (run.attempt, run.workers.clone());
    for (member, worker) in (0..).zip(&workers) {
        let task = TaskId {
            job,
            attempt,
            member,
        };
        let command = WorkerCommand::Start {
            term,
            task,
            run: task_run.clone(),
        };
        call::send(state, worker, command, CallPurpose::Start { task }, context);
    }
}

pub(crate) fn task_run(order: &JobOrder, checkpoint: TimeSpan, members: usize) -> TaskRun {
    TaskRun {
        service: order.service.clone(),
        payload: order.payload.clone(),
        members: u32::try_from(members).unwrap_or(u32::MAX),
        checkpoint,
    }
}

/// Handles the reply to a start command.
pub fn handle_start_reply(
    state: &mut DaemonState,
    task: &TaskId,
    outcome: &CallOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(run) = state.planner.run_mut(task) else {
        return;
    };
    let worker = run.workers[task.member as usize].clone();
    let member = &mut run.members[task.member as usize];
    if *member != MemberState::Starting {
        return;
    }
    *member = match outcome {
        CallOutcome::Reply {
            reply: WorkerReply::Done,
        } => MemberState::Running,
        CallOutcome::Reply { .. } | CallOutcome::Undelivered => MemberState::NotRunning {
            may_have_run: false,
        },
        CallOutcome::Unknown => MemberState::Uncertain,
    };
    let is_running = *member == MemberState::Running;
    if run.stage != GangStage::Starting {
        return;
    }
    if is_running {
        advance_start(state, task.job, context);
    } else {
        plan::back_off_worker(state, &worker, outcome, context);
        termination::begin_stop(state, task.job, AttemptEnd::NotStarted, context);
    }
}

/// Enters the running stage when every member has started, and records the end when all have
/// finished.
pub(crate) fn advance_start(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    let has_started =
        |member: &MemberState| *member == MemberState::Running || member.is_finished();
    if !run.all_members(has_started) {
        return;
    }
    run.enter(GangStage::Running, context.at);
    if run.all_members(MemberState::is_finished) {
        termination::record_end(state, job, context);
    } else {
        state.planner.in_transition.remove(&job);
    }
}

/// Handles task states that a worker has reported.
pub fn handle_reports(
    state: &mut DaemonState,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    let mut jobs = BTreeSet::new();
    for status in tasks {
        let Some(run) = state.planner.run_mut(&status.task) else {
            continue;
        };
        let index = status.task.member as usize;
        let is_expected = run.workers.get(index) == Some(worker) && run.is_recorded;
        if is_expected && !run.members[index].has_ended() {
            run::apply_status(run, index, status);
            jobs.insert(status.task.job);
        }
    }
    for job in jobs {
        advance(state, job, context);
    }
}

/// Advances an attempt after the state of its members has changed.
pub(crate) fn advance(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    let failed = run
        .members
        .iter()
        .position(|member| member.has_ended() && !member.is_finished());
    match run.stage {
        GangStage::Running if run.all_members(MemberState::is_finished) => {
            termination::record_end(state, job, context)
        }
        GangStage::Running | GangStage::Starting if failed.is_some() => {
            let worker = run.workers[failed.unwrap_or(0)].clone();
            termination::begin_stop(state, job, AttemptEnd::Lost { worker }, context);
        }
        GangStage::Starting => advance_start(state, job, context),
        GangStage::Recovering => recovery::recover(state, job, context),
        GangStage::Stopping { .. } => {
            let stopped: Vec<WorkerName> = run
                .unconfirmed_stops
                .iter()
                .filter(|worker| run.has_ended_on(worker))
                .cloned()
                .collect();
            for worker in stopped {
                run.unconfirmed_stops.remove(&worker);
            }
            termination::record_end_when_stopped(state, job, context);
        }
        _ => {}
    }
}

/// Resends unconfirmed stops, resolves members on lost workers and times out reservations.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    if !term::is_planner(state, context.at) {
        return;
    }
    for job in state.planner.in_transition.clone() {
        recovery::resolve_lost_members(state, job, context);
        tick_run(state, job, context);
    }
}

pub(crate) fn tick_run(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let timeout = state.settings.timing.reservation;
    let Some(run) = state.planner.runs.get(&job) else {
        state.planner.in_transition.remove(&job);
        return;
    };
    match run.stage {
        GangStage::Reserving if context.at.since(run.stage_entered_at) > timeout => {
            termination::begin_stop(state, job, AttemptEnd::NotStarted, context);
        }
        GangStage::Stopping { .. } if run.unconfirmed_stops.is_empty() => {
            termination::record_end_when_stopped(state, job, context);
        }
        GangStage::Stopping { .. } if has_reservation_expired(state, job, run, context.at) => {
            state.planner.remove_run(job);
        }
        GangStage::Stopping { .. } if context.at >= run.retry_at => {
            termination::send_stops(state, job, context);
        }
        GangStage::Running if run.all_members(MemberState::is_finished) => {
            termination::record_end(state, job, context)
        }
        GangStage::Closing if !state.outbox.contains(&RecordPurpose::AttemptEnd { job }) => {
            termination::record_end(state, job, context);
        }
        _ => {}
    }
}

/// Returns whether the reservations of an attempt that was never recorded have expired on the
/// workers.
pub(crate) fn has_reservation_expired(
    state: &DaemonState,
    job: JobId,
    run: &GangRun,
    at: ClockTime,
) -> bool {
    let timing = &state.settings.timing;
    let purpose = RecordPurpose::Placement {
        job,
        attempt: run.attempt,
    };
    !run.is_recorded
        && at.since(run.stage_entered_at) > timing.reservation + timing.call
        && !state.outbox.contains(&purpose)
}

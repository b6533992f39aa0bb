//! One attempt of a job: reserve all members, record the placement, start all, and stop the rest
//! when one is lost.

use std::collections::BTreeSet;

use crate::call;
use crate::call::CallPurpose;
use crate::context::StepContext;
use crate::domain;
use crate::effect::LogPart;
use crate::effect::MetricName;
use crate::event::CallOutcome;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::ids::WorkerName;
use crate::outbox::RecordPurpose;
use crate::plan;
use crate::record::AttemptEnd;
use crate::record::JobOrder;
use crate::record::RecordBody;
use crate::state::DaemonState;
use crate::term;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::worker::TaskOutcome;
use crate::worker::TaskPhase;
use crate::worker::TaskRun;
use crate::worker::TaskStatus;
use crate::worker::WorkerCommand;
use crate::worker::WorkerRefusal;
use crate::worker::WorkerReply;

/// Where a member stands, as far as the planner knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The reservation has been sent.
    Reserving,
    /// The worker holds the capacity.
    Reserved,
    /// The start has been sent.
    Starting,
    /// The worker runs it.
    Running,
    /// It may run; the worker has not said.
    Uncertain,
    /// It does not run and will not start.
    Settled {
        /// Whether it may have run before.
        started: bool,
    },
    /// The worker has reported its end.
    Ended {
        /// How it ended.
        end: TaskOutcome,
    },
}

/// Where an attempt stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangStage {
    /// A new planner asks the workers what became of an attempt that it found in the ledger.
    Recovering,
    /// Members are being reserved.
    Reserving,
    /// The placement is on its way into the log.
    Recording,
    /// Members are being started.
    Starting,
    /// All members run.
    Running,
    /// Members are being stopped.
    Stopping {
        /// Why; the end may still change when members turn out to have finished.
        end: AttemptEnd,
    },
    /// The end is on its way into the log.
    Closing,
}

/// One attempt of a job at the planner.
#[derive(Clone, Debug)]
pub struct GangRun {
    /// The attempt.
    pub attempt: u32,
    /// The worker of each member.
    pub workers: Vec<WorkerName>,
    /// The state of each member.
    pub members: Vec<MemberState>,
    /// Where the attempt stands.
    pub stage: GangStage,
    /// Whether the placement is in the ledger.
    pub recorded: bool,
    /// When the stage began.
    pub since: ClockTime,
    /// Progress that each member has saved.
    checkpoints: Vec<TimeSpan>,
    /// Workers that have not confirmed the stop.
    stop_open: BTreeSet<WorkerName>,
    retry_at: ClockTime,
}

impl GangRun {
    /// Creates an attempt of which every member is in the same state.
    #[must_use]
    pub fn new(
        attempt: u32,
        workers: Vec<WorkerName>,
        member: MemberState,
        stage: GangStage,
        at: ClockTime,
    ) -> Self {
        let count = workers.len();
        Self {
            attempt,
            workers,
            members: vec![member; count],
            recorded: stage == GangStage::Recovering,
            stage,
            since: at,
            checkpoints: vec![TimeSpan::default(); count],
            stop_open: BTreeSet::new(),
            retry_at: at,
        }
    }

    /// Returns workers that have not confirmed the stop.
    #[must_use]
    pub fn unconfirmed_stops(&self) -> &BTreeSet<WorkerName> {
        &self.stop_open
    }

    fn enter(&mut self, stage: GangStage, at: ClockTime) {
        self.stage = stage;
        self.since = at;
    }

    fn all(&self, test: impl Fn(&MemberState) -> bool) -> bool {
        self.members.iter().all(test)
    }

    fn members_on<'a>(&'a self, worker: &'a WorkerName) -> impl Iterator<Item = usize> + 'a {
        (0..)
            .zip(&self.workers)
            .filter(move |(_, name)| *name == worker)
            .map(|(index, _)| index)
    }

    fn is_settled_on(&self, worker: &WorkerName) -> bool {
        self.members_on(worker)
            .all(|index| self.members[index].is_over())
    }

    fn may_have_run(&self) -> bool {
        self.members.iter().any(MemberState::may_have_run)
    }
}

impl MemberState {
    fn is_over(&self) -> bool {
        matches!(self, Self::Settled { .. } | Self::Ended { .. })
    }

    fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::Reserving | Self::Reserved | Self::Settled { started: false }
        )
    }

    fn is_finished(&self) -> bool {
        matches!(
            self,
            Self::Ended {
                end: TaskOutcome::Finished { .. }
            }
        )
    }
}

/// Reserves all members of a queued job.
pub fn begin(
    state: &mut DaemonState,
    job: JobId,
    workers: Vec<WorkerName>,
    context: &mut StepContext<'_>,
) {
    let Some(record) = state.ledger.jobs.get(&job) else {
        return;
    };
    let demand = record.order.spec.demand;
    let tried = state.planner.attempts.get(&job).copied().unwrap_or(0);
    let attempt = record.attempt.max(tried) + 1;
    state.planner.attempts.insert(job, attempt);
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

/// Takes the answer to a reservation.
pub fn reserved(
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
            *member = MemberState::Settled { started: false };
        }
        CallOutcome::Unknown => {}
    }
    let granted = *member == MemberState::Reserved;
    if run.stage != GangStage::Reserving {
        return;
    }
    if !granted {
        plan::avoid_for_now(state, &worker, outcome, context);
        begin_stop(state, task.job, AttemptEnd::NotStarted, context);
    } else if run.all(|member| *member == MemberState::Reserved) {
        record_placement(state, task.job, context);
    }
}

fn record_placement(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
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

/// Starts all members after the placement was read back, or ends the attempt when the term, the
/// knowledge of the log or a failure domain no longer allows the start.
pub fn placed(
    state: &mut DaemonState,
    job: JobId,
    attempt: u32,
    applied: bool,
    context: &mut StepContext<'_>,
) {
    let allowed = may_start(state, job, context.at);
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    if run.attempt != attempt || run.recorded {
        return;
    }
    run.recorded = applied;
    if run.stage != GangStage::Recording || !applied || !allowed {
        context.info(
            LogPart::Gang,
            format!("job {job} attempt {attempt} is not started"),
        );
        begin_stop(state, job, AttemptEnd::NotStarted, context);
        return;
    }
    run.enter(GangStage::Starting, context.at);
    run.members.fill(MemberState::Starting);
    send_starts(state, job, context);
}

fn may_start(state: &DaemonState, job: JobId, at: ClockTime) -> bool {
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
            .all(|worker| !domain::is_worker_kept_out(state, worker))
}

fn send_starts(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
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

fn task_run(order: &JobOrder, checkpoint: TimeSpan, members: usize) -> TaskRun {
    TaskRun {
        service: order.service.clone(),
        payload: order.payload.clone(),
        members: u32::try_from(members).unwrap_or(u32::MAX),
        checkpoint,
    }
}

/// Takes the answer to a start.
pub fn started(
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
        CallOutcome::Reply { .. } | CallOutcome::Undelivered => {
            MemberState::Settled { started: false }
        }
        CallOutcome::Unknown => MemberState::Uncertain,
    };
    let runs = *member == MemberState::Running;
    if run.stage != GangStage::Starting {
        return;
    }
    if runs {
        advance_start(state, task.job, context);
    } else {
        plan::avoid_for_now(state, &worker, outcome, context);
        begin_stop(state, task.job, AttemptEnd::NotStarted, context);
    }
}

/// Enters the running stage when every member has started, and closes when all have finished.
fn advance_start(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    let up = |member: &MemberState| *member == MemberState::Running || member.is_finished();
    if !run.all(up) {
        return;
    }
    run.enter(GangStage::Running, context.at);
    if run.all(MemberState::is_finished) {
        close(state, job, context);
    } else {
        state.planner.unsettled.remove(&job);
    }
}

/// Stops all members that may run and drops their reservations.
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
    run.stop_open = run
        .workers
        .iter()
        .filter(|worker| !run.is_settled_on(worker))
        .cloned()
        .collect();
    state.planner.unsettled.insert(job);
    send_stops(state, job, context);
    close_when_stopped(state, job, context);
}

fn send_stops(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let retry = state.settings.timing.reclaim + state.settings.timing.call;
    let term = state.ledger.term.number;
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    run.retry_at = context.at + retry;
    let attempt = run.attempt;
    for worker in run.stop_open.clone() {
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

/// Takes the answer to a stop.
pub fn stopped(
    state: &mut DaemonState,
    worker: &WorkerName,
    job: JobId,
    attempt: u32,
    outcome: &CallOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    if run.attempt != attempt || !matches!(run.stage, GangStage::Stopping { .. }) {
        return;
    }
    match outcome {
        CallOutcome::Reply {
            reply: WorkerReply::Stopped { tasks },
        } => {
            settle_worker(run, worker, tasks);
            close_when_stopped(state, job, context);
        }
        CallOutcome::Reply {
            reply:
                WorkerReply::Refused {
                    refusal: WorkerRefusal::UnknownTask,
                },
        } => {
            settle_worker(run, worker, &[]);
            close_when_stopped(state, job, context);
        }
        _ => {}
    }
}

/// Takes what a worker says about its members of an attempt that it has stopped.
fn settle_worker(run: &mut GangRun, worker: &WorkerName, tasks: &[TaskStatus]) {
    let indexes: Vec<usize> = run.members_on(worker).collect();
    for index in indexes {
        let attempt = run.attempt;
        let status = tasks
            .iter()
            .find(|status| status.task.attempt == attempt && status.task.member as usize == index);
        if run.members[index].is_over() {
            continue;
        }
        match status {
            Some(status) => take_status(run, index, status),
            None => {
                // The worker knows no start. A member that was seen running was lost with the
                // worker's memory.
                let started = run.members[index] == MemberState::Running;
                run.members[index] = MemberState::Settled { started };
            }
        }
    }
    run.stop_open.remove(worker);
}

fn take_status(run: &mut GangRun, index: usize, status: &TaskStatus) {
    run.checkpoints[index] = run.checkpoints[index].max(status.checkpoint);
    run.members[index] = match &status.phase {
        TaskPhase::Ended { end } => MemberState::Ended { end: end.clone() },
        TaskPhase::Running => MemberState::Running,
        TaskPhase::Reserved => MemberState::Settled { started: false },
    };
}

/// Takes ends of tasks that a worker has reported.
pub fn observe(
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
        let known = run.workers.get(index) == Some(worker) && run.recorded;
        if known && !run.members[index].is_over() {
            take_status(run, index, status);
            jobs.insert(status.task.job);
        }
    }
    for job in jobs {
        advance(state, job, context);
    }
}

/// Moves an attempt on after its members have changed.
fn advance(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    let failed = run
        .members
        .iter()
        .position(|member| member.is_over() && !member.is_finished());
    match run.stage {
        GangStage::Running if run.all(MemberState::is_finished) => close(state, job, context),
        GangStage::Running | GangStage::Starting if failed.is_some() => {
            let worker = run.workers[failed.unwrap_or(0)].clone();
            begin_stop(state, job, AttemptEnd::Lost { worker }, context);
        }
        GangStage::Starting => advance_start(state, job, context),
        GangStage::Recovering => recover(state, job, context),
        GangStage::Stopping { .. } => {
            let settled: Vec<WorkerName> = run
                .stop_open
                .iter()
                .filter(|worker| run.is_settled_on(worker))
                .cloned()
                .collect();
            for worker in settled {
                run.stop_open.remove(&worker);
            }
            close_when_stopped(state, job, context);
        }
        _ => {}
    }
}

/// Takes the complete list of tasks that a fenced worker has, for attempts found in the ledger.
pub fn recovered_worker(
    state: &mut DaemonState,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    let expected: Vec<TaskId> = state.ledger.tasks_on(worker).collect();
    let mut jobs = BTreeSet::new();
    for task in expected {
        let Some(run) = state.planner.run_mut(&task) else {
            continue;
        };
        let index = task.member as usize;
        if run.stage != GangStage::Recovering || run.members[index] != MemberState::Uncertain {
            continue;
        }
        match tasks.iter().find(|status| status.task == task) {
            Some(status) => take_status(run, index, status),
            None => run.members[index] = MemberState::Settled { started: true },
        }
        jobs.insert(task.job);
    }
    for job in jobs {
        recover(state, job, context);
    }
}

/// Ends the recovery once every member is known, or as soon as one is known to be lost.
fn recover(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    let lost = run
        .members
        .iter()
        .position(|member| member.is_over() && !member.is_finished());
    if let Some(index) = lost {
        let worker = run.workers[index].clone();
        begin_stop(state, job, AttemptEnd::Lost { worker }, context);
    } else if !run.members.contains(&MemberState::Uncertain) {
        advance_start(state, job, context);
    }
}

fn close_when_stopped(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let Some(run) = state.planner.runs.get(&job) else {
        return;
    };
    if !run.stop_open.is_empty() {
        return;
    }
    if run.recorded {
        close(state, job, context);
    } else if !state.outbox.contains(&RecordPurpose::Placement {
        job,
        attempt: run.attempt,
    }) {
        state.planner.remove_run(job);
    }
}

/// Records the end of an attempt of which no member runs.
fn close(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    if !term::is_planner(state, context.at) {
        // The tick closes the attempt once the term has been renewed.
        state.planner.unsettled.insert(job);
        return;
    }
    let Some(record) = state.ledger.jobs.get(&job) else {
        return;
    };
    let Some(run) = state.planner.runs.get_mut(&job) else {
        return;
    };
    let end = attempt_end(run, record.order.spec.repeatable, record.cancelled);
    let checkpoint = run.checkpoints.iter().copied().min().unwrap_or_default();
    let attempt = run.attempt;
    run.enter(GangStage::Closing, context.at);
    state.planner.unsettled.insert(job);
    plan::observe_end(state, job, &end, context.at);
    if end == AttemptEnd::Preempted {
        context.count(MetricName::AttemptsPreempted, 1);
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

fn attempt_end(run: &GangRun, repeatable: bool, cancelled: bool) -> AttemptEnd {
    if run.all(MemberState::is_finished) {
        return AttemptEnd::Finished {
            result: first_result(run),
        };
    }
    if let Some(end) = first_failure(run) {
        return end;
    }
    if !run.may_have_run() {
        return AttemptEnd::NotStarted;
    }
    if cancelled {
        return AttemptEnd::Cancelled;
    }
    if !repeatable {
        return AttemptEnd::Unknown;
    }
    match &run.stage {
        GangStage::Stopping {
            end: AttemptEnd::NotStarted,
        } => AttemptEnd::Preempted,
        GangStage::Stopping { end } => end.clone(),
        _ => AttemptEnd::Preempted,
    }
}

fn first_result(run: &GangRun) -> String {
    match run.members.first() {
        Some(MemberState::Ended {
            end: TaskOutcome::Finished { result },
        }) => result.clone(),
        _ => String::new(),
    }
}

fn first_failure(run: &GangRun) -> Option<AttemptEnd> {
    run.members
        .iter()
        .zip(&run.workers)
        .find_map(|(member, worker)| match member {
            MemberState::Ended {
                end: TaskOutcome::Failed { reason },
            } => Some(AttemptEnd::Failed {
                worker: worker.clone(),
                reason: reason.clone(),
            }),
            _ => None,
        })
}

/// Repeats stops that were not confirmed, settles members of lost workers and gives up
/// reservations that took too long.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    if !term::is_planner(state, context.at) {
        return;
    }
    for job in state.planner.unsettled.clone() {
        settle_lost(state, job, context);
        tick_run(state, job, context);
    }
}

fn tick_run(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let patience = state.settings.timing.reservation;
    let Some(run) = state.planner.runs.get(&job) else {
        state.planner.unsettled.remove(&job);
        return;
    };
    match run.stage {
        GangStage::Reserving if context.at.since(run.since) > patience => {
            begin_stop(state, job, AttemptEnd::NotStarted, context);
        }
        GangStage::Stopping { .. } if run.stop_open.is_empty() => {
            close_when_stopped(state, job, context);
        }
        GangStage::Stopping { .. } if is_lapsed(state, job, run, context.at) => {
            state.planner.remove_run(job);
        }
        GangStage::Stopping { .. } if context.at >= run.retry_at => {
            send_stops(state, job, context);
        }
        GangStage::Running if run.all(MemberState::is_finished) => close(state, job, context),
        GangStage::Closing if !state.outbox.contains(&RecordPurpose::AttemptEnd { job }) => {
            close(state, job, context);
        }
        _ => {}
    }
}

/// Tells whether reservations of an attempt that was never recorded have lapsed by themselves.
fn is_lapsed(state: &DaemonState, job: JobId, run: &GangRun, at: ClockTime) -> bool {
    let timing = &state.settings.timing;
    let purpose = RecordPurpose::Placement {
        job,
        attempt: run.attempt,
    };
    !run.recorded
        && at.since(run.since) > timing.reservation + timing.call
        && !state.outbox.contains(&purpose)
}

/// Settles members on workers whose lease is certain to have lapsed.
fn settle_lost(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let Some(run) = state.planner.runs.get(&job) else {
        return;
    };
    let open: Vec<WorkerName> = match run.stage {
        GangStage::Stopping { .. } => run.stop_open.iter().cloned().collect(),
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
            if !run.members[index].is_over() {
                let started = run.members[index].may_have_run();
                run.members[index] = MemberState::Settled { started };
            }
        }
    }
    if !lost.is_empty() {
        advance(state, job, context);
    }
}

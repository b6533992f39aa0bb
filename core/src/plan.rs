//! The planner: fences workers, runs the policy when its input has changed and applies the
//! decisions.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::call;
use crate::call::CallPurpose;
use crate::config::ResourceDemand;
use crate::context::StepContext;
use crate::domain;
use crate::effect::LogTarget;
use crate::event::CallOutcome;
use crate::fleet;
use crate::gang;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::ids::TermNumber;
use crate::ids::WorkerName;
use crate::ledger::JobPhase;
use crate::member;
use crate::outbox::RecordPurpose;
use crate::policy;
use crate::policy::EndObservation;
use crate::policy::ObservedEnd;
use crate::policy::PolicyDecision;
use crate::policy::PolicyState;
use crate::policy::PolicyView;
use crate::policy::RunningJob;
use crate::policy::WaitingJob;
use crate::policy::WorkerSlot;
use crate::record::AttemptEnd;
use crate::record::RecordBody;
use crate::recovery;
use crate::run::GangRun;
use crate::run::GangStage;
use crate::run::MemberState;
use crate::state::DaemonState;
use crate::term;
use crate::termination;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::worker::VmState;
use crate::worker::WorkerCommand;
use crate::worker::WorkerReply;

/// Minimum time between two runs of the policy, so that a burst of events triggers one run.
const MIN_PLAN_INTERVAL: TimeSpan = TimeSpan(50);

/// Maximum time between two runs while jobs are queued, because slack and fair shares change with
/// time.
const MAX_PLAN_INTERVAL: TimeSpan = TimeSpan(1_000);

/// Time for which a worker receives no new work after a refused or unanswered call.
const WORKER_BACKOFF: TimeSpan = TimeSpan(2_000);

/// Fencing state of one worker.
#[derive(Clone, Debug, Default)]
pub struct FenceState {
    /// Highest term that the worker has acknowledged to this planner.
    pub confirmed_term: Option<TermNumber>,
    retry_at: ClockTime,
    is_in_flight: bool,
}

/// State of the planner; empty on daemons that do not hold the term.
#[derive(Clone, Debug, Default)]
pub struct PlannerState {
    /// Term that the state belongs to, or `None` when this daemon is not the planner.
    pub term: Option<TermNumber>,
    /// Current attempt of each job that has one.
    pub runs: IndexMap<JobId, GangRun>,
    /// Jobs whose attempt is not in the running stage and is therefore checked on every tick.
    pub in_transition: BTreeSet<JobId>,
    /// Fencing state by worker.
    pub fences: IndexMap<WorkerName, FenceState>,
    /// Highest attempt number used for each queued job, including attempts that were not recorded.
    pub attempt_numbers: IndexMap<JobId, u32>,
    /// Time until which each worker receives no new work after a failed call.
    pub backoffs: IndexMap<WorkerName, ClockTime>,
    /// Whether the policy's input has changed since its last run.
    pub is_dirty: bool,
    /// State that the policy carries from one run to the next; survives changes of the term.
    pub policy: PolicyState,
    planned_at: ClockTime,
}

impl PlannerState {
    /// Adds an attempt and marks it for checks on every tick.
    pub fn insert_run(&mut self, job: JobId, run: GangRun) {
        self.in_transition.insert(job);
        self.runs.insert(job, run);
    }

    /// Removes an attempt and releases its capacity.
    pub fn remove_run(&mut self, job: JobId) {
        self.in_transition.remove(&job);
        self.runs.swap_remove(&job);
        self.is_dirty = true;
    }

    /// Returns the attempt that a task belongs to, or `None` when it is not the current one.
    pub fn run_mut(&mut self, task: &TaskId) -> Option<&mut GangRun> {
        self.runs
            .get_mut(&task.job)
            .filter(|run| run.attempt == task.attempt && (task.member as usize) < run.members.len())
    }
}

/// Initializes the planner for a new term and recovers the attempts in the ledger from the workers.
pub fn begin_term(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let policy = std::mem::take(&mut state.planner.policy);
    state.planner = PlannerState {
        term: Some(state.ledger.term.number),
        is_dirty: true,
        policy,
        ..PlannerState::default()
    };
    let placed: Vec<JobId> = state.ledger.placed().collect();
    for job in &placed {
        let Some(record) = state.ledger.jobs.get(job) else {
            continue;
        };
        let JobPhase::Placed { workers, .. } = &record.phase else {
            continue;
        };
        let run = GangRun::new(
            record.attempt,
            workers.clone(),
            MemberState::Uncertain,
            GangStage::Recovering,
            context.at,
        );
        state.planner.insert_run(*job, run);
    }
    context.info(
        LogTarget::Plan,
        format!("recovering the attempts of {} placed jobs", placed.len()),
    );
    send_fences(state, context);
}

/// Resets the planner when this daemon loses the term.
pub fn end_term(state: &mut DaemonState) {
    let policy = std::mem::take(&mut state.planner.policy);
    state.planner = PlannerState {
        policy,
        ..PlannerState::default()
    };
}

fn send_fences(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let Some(term) = state.planner.term else {
        return;
    };
    let unfenced: Vec<WorkerName> = state
        .members
        .workers
        .values()
        .filter(|entry| entry.info.state != VmState::Gone)
        .map(|entry| &entry.info.worker)
        .filter(|worker| match state.planner.fences.get(*worker) {
            None => true,
            Some(fence) => {
                fence.confirmed_term != Some(term)
                    && !fence.is_in_flight
                    && context.at >= fence.retry_at
            }
        })
        .cloned()
        .collect();
    let retry = state.settings.timing.heartbeat;
    for worker in unfenced {
        let fence = state.planner.fences.entry(worker.clone()).or_default();
        fence.is_in_flight = true;
        fence.retry_at = context.at + retry;
        call::send(
            state,
            &worker,
            WorkerCommand::Fence { term },
            CallPurpose::Fence { term },
            context,
        );
    }
}

/// Handles the reply to a fence command.
pub fn handle_fence_reply(
    state: &mut DaemonState,
    worker: &WorkerName,
    term: TermNumber,
    outcome: &CallOutcome,
    context: &mut StepContext<'_>,
) {
    if state.planner.term != Some(term) {
        return;
    }
    let fence = state.planner.fences.entry(worker.clone()).or_default();
    fence.is_in_flight = false;
    if let CallOutcome::Reply {
        reply: WorkerReply::Fenced { tasks, uptime, .. },
    } = outcome
    {
        fence.confirmed_term = Some(term);
        state.planner.is_dirty = true;
        recovery::recover_tasks(state, worker, tasks, *uptime, context);
    }
}

/// Keeps new work off a worker for a short time after a refused or unanswered call.
pub fn back_off_worker(
    state: &mut DaemonState,
    worker: &WorkerName,
    outcome: &CallOutcome,
    context: &StepContext<'_>,
) {
    state
        .planner
        .backoffs
        .insert(worker.clone(), context.at + WORKER_BACKOFF);
    let delivered = matches!(outcome, CallOutcome::Reply { .. });
    if !delivered && let Some(fence) = state.planner.fences.get_mut(worker) {
        // The worker may have restarted, which resets its term.
        fence.confirmed_term = None;
        fence.retry_at = context.at;
    }
}

/// Returns whether the worker is silent according to this daemon or to a current heartbeat.
#[must_use]
pub fn is_silent(state: &DaemonState, worker: &WorkerName, at: ClockTime) -> bool {
    crate::lease::is_silent(state, worker)
        || member::current_heartbeats(state, at)
            .any(|heartbeat| heartbeat.silent_workers.contains(worker))
}

/// Returns whether the worker's lease has certainly expired.
#[must_use]
pub fn is_lost(state: &DaemonState, worker: &WorkerName, at: ClockTime) -> bool {
    let timing = &state.settings.timing;
    let Some(entry) = state.members.workers.get(worker) else {
        return true;
    };
    let gone_for = entry.gone_at.map(|gone_at| at.since(gone_at));
    if gone_for.is_some_and(|span| span > timing.lease + timing.clock_margin) {
        return true;
    }
    crate::lease::lost_workers(state, at).contains(worker)
        || member::current_heartbeats(state, at)
            .any(|heartbeat| heartbeat.lost_workers.contains(worker))
}

/// Runs the planner's periodic work.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    if !term::is_planner(state, context.at) || state.planner.term.is_none() {
        return;
    }
    send_fences(state, context);
    stop_gangs_of_silent_workers(state, context);
    gang::tick(state, context);
    let elapsed = context.at.since(state.planner.planned_at);
    let has_waiting = state.ledger.queued_count() > 0;
    let is_due = elapsed >= MIN_PLAN_INTERVAL && state.planner.is_dirty;
    if is_due || (has_waiting && elapsed >= MAX_PLAN_INTERVAL) {
        run_policy(state, context);
    }
}

fn stop_gangs_of_silent_workers(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let mut silent: BTreeSet<WorkerName> =
        crate::lease::silent_workers(state).into_iter().collect();
    for heartbeat in member::current_heartbeats(state, context.at) {
        silent.extend(heartbeat.silent_workers.iter().cloned());
    }
    for worker in silent {
        let jobs: BTreeSet<JobId> = state
            .ledger
            .tasks_on(&worker)
            .map(|task| task.job)
            .collect();
        for job in jobs {
            termination::begin_stop(
                state,
                job,
                AttemptEnd::Lost {
                    worker: worker.clone(),
                },
                context,
            );
        }
    }
}

fn run_policy(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let timing = &state.settings.timing;
    if !state.reader.is_fresh(context.at, timing.freshness) || state.term.is_stepping_down {
        return;
    }
    state.planner.is_dirty = false;
    state.planner.planned_at = context.at;
    let decisions = decide(state, context.at);
    for decision in decisions {
        apply_decision(state, decision, context);
    }
}

fn decide(state: &mut DaemonState, at: ClockTime) -> Vec<PolicyDecision> {
    let mut policy_state = std::mem::take(&mut state.planner.policy);
    let workers = worker_slots(state, at);
    let waiting = waiting_jobs(state);
    let running = running_jobs(state, at);
    let view = PolicyView {
        at,
        kind: state.settings.policy,
        workers: &workers,
        waiting: &waiting,
        running: &running,
        teams: &state.ledger.config.teams,
        moves_per_hour: state.settings.limits.moves_per_hour,
    };
    let decisions = policy::decide(&view, &mut policy_state);
    state.planner.policy = policy_state;
    decisions
}

fn worker_slots(state: &DaemonState, at: ClockTime) -> IndexMap<WorkerName, WorkerSlot> {
    let reserved = unrecorded_demand(state);
    let mut slots = IndexMap::with_capacity(state.members.workers.len());
    for (worker, entry) in &state.members.workers {
        if entry.info.state == VmState::Gone {
            continue;
        }
        let offered = fleet::job_capacity(&entry.info, state.settings.limits.request_slots);
        let mut free = offered;
        free.subtract(&state.ledger.allocated_on(worker));
        if let Some(demand) = reserved.get(worker) {
            free.subtract(demand);
        }
        let is_usable = is_usable(state, worker, at);
        slots.insert(
            worker.clone(),
            WorkerSlot {
                info: entry.info.clone(),
                free,
                offered,
                is_usable,
                is_domain_out: domain::is_cordoned(state, &entry.info.domain),
            },
        );
    }
    slots
}

fn unrecorded_demand(state: &DaemonState) -> IndexMap<WorkerName, ResourceDemand> {
    let mut reserved: IndexMap<WorkerName, ResourceDemand> = IndexMap::new();
    for job in &state.planner.in_transition {
        let Some(run) = state.planner.runs.get(job) else {
            continue;
        };
        let Some(record) = state.ledger.jobs.get(job) else {
            continue;
        };
        if run.is_recorded {
            continue;
        }
        for worker in &run.workers {
            reserved
                .entry(worker.clone())
                .or_default()
                .add(&record.order.spec.demand);
        }
    }
    reserved
}

/// Returns whether new work may be placed on the worker.
#[must_use]
pub fn is_usable(state: &DaemonState, worker: &WorkerName, at: ClockTime) -> bool {
    let Some(entry) = state.members.workers.get(worker) else {
        return false;
    };
    let fence = state.planner.fences.get(worker);
    let is_backed_off = state
        .planner
        .backoffs
        .get(worker)
        .is_some_and(|until| at < *until);
    entry.is_in_service()
        && !is_backed_off
        && state.planner.term.is_some()
        && fence.is_some_and(|fence| fence.confirmed_term == state.planner.term)
        && !domain::is_cordoned(state, &entry.info.domain)
        && !is_silent(state, worker, at)
}

fn waiting_jobs(state: &DaemonState) -> Vec<WaitingJob<'_>> {
    state
        .ledger
        .queued()
        .filter(|job| !state.planner.runs.contains_key(job))
        .filter_map(|job| state.ledger.jobs.get(&job).map(|record| (job, record)))
        .map(|(job, record)| WaitingJob {
            job,
            order: &record.order,
            accepted_at: record.accepted_at,
            checkpoint: record.checkpoint,
            failed_on: &record.failed_on,
        })
        .collect()
}

/// Returns all jobs that hold capacity: placed ones and those whose members are being reserved.
fn running_jobs(state: &DaemonState, at: ClockTime) -> Vec<RunningJob<'_>> {
    let placed = state
        .ledger
        .placed()
        .filter_map(|job| state.ledger.jobs.get(&job).map(|record| (job, record)))
        .filter_map(|(job, record)| match &record.phase {
            JobPhase::Placed { workers, at } => Some((job, record, workers, *at)),
            _ => None,
        });
    let reserving = state.planner.in_transition.iter().filter_map(|job| {
        let run = state.planner.runs.get(job).filter(|run| !run.is_recorded)?;
        let record = state.ledger.jobs.get(job)?;
        let queued = matches!(record.phase, JobPhase::Queued);
        queued.then_some((*job, record, &run.workers, at))
    });
    placed
        .chain(reserving)
        .map(|(job, record, workers, placed_at)| RunningJob {
            job,
            order: &record.order,
            workers,
            placed_at,
            checkpoint: record.checkpoint,
            is_stopping: is_stopping(state, job),
        })
        .collect()
}

fn is_stopping(state: &DaemonState, job: JobId) -> bool {
    state
        .planner
        .runs
        .get(&job)
        .is_some_and(|run| matches!(run.stage, GangStage::Stopping { .. } | GangStage::Closing))
}

fn apply_decision(
    state: &mut DaemonState,
    decision: PolicyDecision,
    context: &mut StepContext<'_>,
) {
    match decision {
        PolicyDecision::Place { job, workers } => {
            gang::reserve_members(state, job, workers, context)
        }
        PolicyDecision::Reclaim { victim, .. } => preempt(state, victim, context),
        PolicyDecision::Move { job } => preempt(state, job, context),
        PolicyDecision::Refuse { job, reason } => {
            let term = state.ledger.term.number;
            let body = RecordBody::JobRefused { term, job, reason };
            state.outbox.push(context.at, body, RecordPurpose::Refusal);
        }
    }
}

/// Stops a job so that it can be rescheduled. Jobs that are not repeatable are never preempted.
fn preempt(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let repeatable = state
        .ledger
        .jobs
        .get(&job)
        .is_some_and(|record| record.order.spec.repeatable);
    if repeatable {
        termination::begin_stop(state, job, AttemptEnd::Preempted, context);
    }
}

/// Reports the end of an attempt to the policy. Run time is measured from the placement.
pub fn observe_end(state: &mut DaemonState, job: JobId, end: &AttemptEnd, at: ClockTime) {
    let Some(record) = state.ledger.jobs.get(&job) else {
        return;
    };
    let JobPhase::Placed {
        workers,
        at: placed_at,
    } = &record.phase
    else {
        return;
    };
    let observation = EndObservation {
        at,
        job,
        order: &record.order,
        workers,
        failed_on: &record.failed_on,
        progress: record.checkpoint + at.since(*placed_at),
        end: match end {
            AttemptEnd::Finished { .. } => ObservedEnd::Finished,
            AttemptEnd::Failed { worker, .. } => ObservedEnd::Failed { worker },
            _ => ObservedEnd::Other,
        },
    };
    // The ledger fails a job after its third failure, so the verdict has no effect here.
    let _ = state.planner.policy.observe_end(&observation);
}

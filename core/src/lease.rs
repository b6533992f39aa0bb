//! Leases of the workers in this daemon's share.
//!
//! Each worker belongs to the share of one live daemon, which renews the worker's lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::call;
use crate::call::CallPurpose;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::TaskId;
use crate::ids::WorkerName;
use crate::member;
use crate::report;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::worker::TaskStatus;
use crate::worker::VmState;
use crate::worker::WorkerCommand;

/// Interval between the first renewals of successive workers of a new share, which spreads the
/// calls after a takeover. New workers cannot start tasks before their first renewal.
const FIRST_RENEWAL_STEP: TimeSpan = TimeSpan(5);

/// Lease of one worker of the share.
#[derive(Clone, Debug)]
pub struct LeaseEntry {
    /// Time of the next call.
    pub next_call_at: ClockTime,
    /// Time of the worker's last answer to this daemon, or of the takeover of the share.
    pub answered_at: ClockTime,
    /// Time at which the last renewal was sent, or of the takeover of the share.
    pub renewed_at: ClockTime,
    /// Last revision of the worker's tasks that this daemon has received.
    pub revision: u64,
    /// The worker's boot number, or `None` before its first answer and after a silence.
    pub boot: Option<u64>,
    /// Revision that the last renewal started from. With 0 the reply lists all tasks.
    requested_revision: u64,
    /// Whether a call is in flight.
    pub is_in_flight: bool,
    /// Time at which the first of the current series of unanswered calls was noticed.
    failing_since: Option<ClockTime>,
    /// Ended tasks that the worker still keeps, because their end is not recorded.
    pub ended: BTreeMap<TaskId, TaskStatus>,
    /// Whether calls have been unanswered for the suspicion time.
    is_silent: bool,
    /// Whether the loss of the worker has been logged.
    is_lost: bool,
}

/// Leases of this daemon's share.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    /// Leases by worker.
    pub entries: IndexMap<WorkerName, LeaseEntry>,
    /// Version of the VM list from which the share was last computed.
    pub assigned_version: u64,
    queue: BTreeSet<(ClockTime, WorkerName)>,
}

/// Adds and drops leases so that they match this daemon's share.
pub fn reassign(state: &mut DaemonState, at: ClockTime) {
    let live = member::live_daemons(state, at);
    let local: Vec<WorkerName> = state
        .members
        .workers
        .values()
        .filter(|entry| entry.info.state != VmState::Gone)
        .filter(|entry| member::share_owner(&live, &entry.info) == Some(&state.settings.daemon))
        .map(|entry| entry.info.worker.clone())
        .collect();

    let mut entries = IndexMap::with_capacity(local.len());
    for (index, worker) in (0..).zip(local) {
        let due = at + TimeSpan(FIRST_RENEWAL_STEP.0 * index);
        let entry = state.leases.entries.swap_remove(&worker);
        entries.insert(worker, entry.unwrap_or_else(|| LeaseEntry::new(at, due)));
    }
    state.leases.entries = entries;
    state.leases.requeue();
}

impl LeaseEntry {
    fn new(at: ClockTime, due: ClockTime) -> Self {
        Self {
            next_call_at: due,
            answered_at: at,
            renewed_at: at,
            revision: 0,
            boot: None,
            requested_revision: 0,
            is_in_flight: false,
            failing_since: None,
            ended: BTreeMap::new(),
            is_silent: false,
            is_lost: false,
        }
    }
}

impl LeaseTable {
    fn requeue(&mut self) {
        self.queue = self
            .entries
            .iter()
            .map(|(worker, entry)| (entry.next_call_at, worker.clone()))
            .collect();
    }

    pub(crate) fn schedule(&mut self, worker: &WorkerName, due: ClockTime) {
        let Some(entry) = self.entries.get_mut(worker) else {
            return;
        };
        self.queue.remove(&(entry.next_call_at, worker.clone()));
        entry.next_call_at = due;
        self.queue.insert((due, worker.clone()));
    }
}

fn is_lost(state: &DaemonState, entry: &LeaseEntry, at: ClockTime) -> bool {
    let timing = &state.settings.timing;
    entry.is_silent && at.since(entry.renewed_at) > timing.lease + timing.clock_margin + timing.call
}

/// Returns whether a worker of the share has been silent for the suspicion time.
#[must_use]
pub fn is_silent(state: &DaemonState, worker: &WorkerName) -> bool {
    silent_workers(state).contains(worker)
}

/// Returns the workers of the share that have been silent for the suspicion time. Only workers in
/// this daemon's own region are included, because a partition between regions makes remote workers
/// appear silent.
#[must_use]
pub fn silent_workers(state: &DaemonState) -> Vec<WorkerName> {
    let mut silent = workers_where(state, |entry| entry.is_silent);
    retain_own_region(state, &mut silent);
    silent
}

/// Returns the workers of the share, in this daemon's own region, whose lease has certainly
/// expired.
#[must_use]
pub fn lost_workers(state: &DaemonState, at: ClockTime) -> Vec<WorkerName> {
    let mut lost = workers_where(state, |entry| is_lost(state, entry, at));
    retain_own_region(state, &mut lost);
    lost
}

fn retain_own_region(state: &DaemonState, workers: &mut Vec<WorkerName>) {
    workers.retain(|worker| {
        let entry = state.members.workers.get(worker);
        entry.is_some_and(|entry| entry.info.region == state.settings.region)
    });
}

fn workers_where(state: &DaemonState, test: impl Fn(&LeaseEntry) -> bool) -> Vec<WorkerName> {
    let entries = state.leases.entries.iter().filter(|(_, entry)| test(entry));
    entries.map(|(worker, _)| worker.clone()).collect()
}

/// Renews the leases that are due.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    while let Some((due, worker)) = state.leases.queue.first().cloned() {
        if due > context.at {
            return;
        }
        let next = context.at + state.settings.timing.lease_renewal;
        state.leases.schedule(&worker, next);
        renew_or_probe(state, &worker, context);
    }
}

/// Renews a worker's lease, or only probes the worker while it is silent. A probe does not extend
/// the lease, so the lease of a silent worker is certain to expire.
fn renew_or_probe(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let at = context.at;
    let Some(entry) = state.leases.entries.get(worker) else {
        return;
    };
    if entry.is_in_flight {
        return;
    }
    let is_silent = entry.is_silent;
    let seen = entry.revision;
    let command = if is_silent {
        WorkerCommand::Fence {
            term: state.ledger.term.number,
        }
    } else {
        WorkerCommand::Renew {
            ttl: state.settings.timing.lease,
            seen,
            report_to: state.settings.caller_address.clone(),
        }
    };
    if let Some(entry) = state.leases.entries.get_mut(worker) {
        entry.is_in_flight = true;
        entry.requested_revision = seen;
        if !is_silent {
            entry.renewed_at = at;
        }
    }
    call::send(state, worker, command, CallPurpose::Renew, context);
}

/// Handles the reply to a renewal.
pub fn handle_renewal(
    state: &mut DaemonState,
    worker: &WorkerName,
    revision: u64,
    boot: u64,
    tasks: &[TaskStatus],
    context: &mut StepContext<'_>,
) {
    let Some(entry) = state.leases.entries.get_mut(worker) else {
        return;
    };
    let has_restarted = entry.boot != Some(boot);
    let is_complete = entry.requested_revision == 0;
    entry.boot = Some(boot);
    entry.revision = if has_restarted && !is_complete {
        0
    } else {
        revision
    };
    if has_restarted {
        resend_fence(state, worker, context);
    }
    report::record_tasks(state, worker, tasks, context);
    if is_complete {
        report::record_missing(state, worker, tasks, context);
    } else if has_restarted {
        state.leases.schedule(worker, context.at);
    }
    report::report_unrecorded(state, worker, context);
    report::forget_recorded(state, worker, context);
}

/// Resends the term to a worker that may have restarted. A restart resets the worker's term, and
/// the worker would then accept commands of older terms.
fn resend_fence(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let term = state.ledger.term.number;
    let command = WorkerCommand::Fence { term };
    call::send(state, worker, command, CallPurpose::Refence, context);
}

/// Records that a worker of the share has answered.
pub fn handle_answer(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let Some(entry) = state.leases.entries.get_mut(worker) else {
        return;
    };
    entry.is_in_flight = false;
    entry.answered_at = context.at;
    entry.failing_since = None;
    entry.is_lost = false;
    if entry.is_silent {
        entry.is_silent = false;
        // The lease may have expired during the silence, so all tasks are read again.
        entry.boot = None;
        entry.revision = 0;
        context.info(LogTarget::Lease, format!("{worker} answers again"));
        state.leases.schedule(worker, context.at);
        state.planner.is_dirty = true;
    }
}

/// Records that a worker of the share did not answer a call.
pub fn handle_no_answer(
    state: &mut DaemonState,
    worker: &WorkerName,
    context: &mut StepContext<'_>,
) {
    let timing = &state.settings.timing;
    let (suspicion, retry) = (timing.suspicion, timing.heartbeat);
    let at = context.at;
    let Some(entry) = state.leases.entries.get_mut(worker) else {
        return;
    };
    entry.is_in_flight = false;
    let failing_since = *entry.failing_since.get_or_insert(at);
    let is_silent = at.since(failing_since) >= suspicion;
    if is_silent && !entry.is_silent {
        entry.is_silent = true;
        context.warn(
            LogTarget::Lease,
            format!("{worker} has not answered for the suspicion time"),
        );
    }
    state.leases.schedule(worker, at + retry);
    if is_silent {
        report::stop_gangs_on(state, worker, context);
    }
    record_loss(state, worker, context);
}

fn record_loss(state: &mut DaemonState, worker: &WorkerName, context: &mut StepContext<'_>) {
    let Some(entry) = state.leases.entries.get(worker) else {
        return;
    };
    if entry.is_lost || !is_lost(state, entry, context.at) {
        return;
    }
    if let Some(entry) = state.leases.entries.get_mut(worker) {
        entry.is_lost = true;
    }
    context.update_metric(MetricName::WorkersLost, 1);
    context.warn(
        LogTarget::Lease,
        format!("{worker} is lost: its lease expired without an answer"),
    );
}

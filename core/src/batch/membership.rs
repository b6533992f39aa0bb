//! Changes of the workers' topic: entries of workers that register, change or leave.

use crate::batch::entry;
use crate::batch::job::WorkerCondition;
use crate::batch::job::WorkerEntry;
use crate::batch::message::StreamChange;
use crate::batch::message::StreamRecord;
use crate::batch::planner::PlannerState;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::ids::WorkerName;

/// Maximum length of the reason in a log line about an ignored entry, which can quote the entry.
const MAX_REASON_CHARS: usize = 200;

/// Applies changes of the workers' topic.
pub fn apply_worker_changes(
    state: &mut BatchState,
    records: &[StreamRecord],
    context: &mut StepContext<'_>,
) {
    for record in records {
        match &record.change {
            StreamChange::Worker { worker, entry } => {
                apply_worker_entry(state, worker, entry.as_deref(), context);
            }
            StreamChange::Unreadable { key, reason } => {
                ignore_entry(state, &key.as_str().into(), reason, context);
            }
            StreamChange::Batch(_)
            | StreamChange::Catalog(_)
            | StreamChange::Domain { .. }
            | StreamChange::UnknownTermForm { .. } => {}
        }
    }
}

/// Ignores an entry that the worker cannot have written, with one log line until a valid entry
/// follows. What is known of the worker stays in force.
fn ignore_entry(
    state: &mut BatchState,
    worker: &WorkerName,
    reason: &str,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    if planner.ignored_entries.insert(worker.clone()) {
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        let worker = worker.as_str();
        let line = format!("worker={worker:?} outcome=entry_ignored reason={reason:?}");
        context.warn(LogTarget::Lease, line);
    }
}

/// Applies a complete load of the workers' topic. Workers without an entry in it are gone.
pub fn load_workers(
    state: &mut BatchState,
    records: &[StreamRecord],
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &state.planner else {
        return;
    };
    let has_entry = |worker: &WorkerName| {
        records.iter().any(|record| {
            matches!(&record.change, StreamChange::Worker { worker: name, .. } if name == worker)
        })
    };
    let names = planner.workers.keys();
    let gone: Vec<WorkerName> = names.filter(|worker| !has_entry(worker)).cloned().collect();
    for worker in gone {
        apply_worker_entry(state, &worker, None, context);
    }
    apply_worker_changes(state, records, context);
}

fn apply_worker_entry(
    state: &mut BatchState,
    worker: &WorkerName,
    entry: Option<&WorkerEntry>,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(entry) = entry else {
        return remove_entry(planner, worker, context);
    };
    let session = planner.workers.get(worker);
    let contradiction = session.map_or(Ok(()), |session| entry::check_session(entry, session));
    if let Err(reason) = entry::check(entry, context.at).and(contradiction) {
        return ignore_entry(state, worker, &reason, context);
    }
    if session.is_some_and(|session| session.incarnation > entry.incarnation) {
        return;
    }
    planner.ignored_entries.swap_remove(worker);
    let session = planner.session_or_new(worker, entry.incarnation, context.at);
    if session.incarnation != entry.incarnation {
        let max_lease = state.settings.max_lease;
        planner.restart_session(worker, entry.incarnation, max_lease, context);
    }
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    if session.entry.is_none() {
        session.hold.due_at = context.at;
        planner.due_workers.insert((context.at, worker.clone()));
    }
    let is_draining = entry.condition == WorkerCondition::Draining;
    let remaining = entry.remaining.filter(|_| is_draining);
    session.drain_deadline = remaining.map(|remaining| context.at + remaining);
    let version = |entry: &WorkerEntry| (entry.condition, entry.incarnation);
    if session.entry.as_ref().map(version) != Some(version(entry)) {
        planner.is_dirty = true;
        log_entry(worker, entry, context);
    }
    session.set_entry(Some(entry));
}

fn remove_entry(planner: &mut PlannerState, worker: &WorkerName, context: &mut StepContext<'_>) {
    planner.ignored_entries.swap_remove(worker);
    let session = planner.workers.get_mut(worker);
    if session.is_some_and(|session| session.set_entry(None)) {
        planner.is_dirty = true;
        let line = format!("worker={worker} outcome=entry_gone");
        context.info(LogTarget::Lease, line);
    }
}

fn log_entry(worker: &WorkerName, entry: &WorkerEntry, context: &mut StepContext<'_>) {
    let WorkerEntry {
        condition,
        incarnation,
        capacity,
        ..
    } = entry;
    let line = format!(
        "worker={worker} condition={condition:?} born={incarnation} cpu={} gpu={}",
        capacity.cpu, capacity.gpu
    );
    context.info(LogTarget::Lease, line);
}

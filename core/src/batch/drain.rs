//! Eviction of runs from workers that are about to shut down.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::RunKey;
use crate::batch::job::TaskDemand;
use crate::batch::planner::PlannerState;
use crate::batch::session::RunPhase;
use crate::batch::session::RunSlot;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::ids::ServiceName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Minimum progress, in percent, from which the remaining run time is extrapolated. Below it, the
/// declared run time is used.
const MIN_PROGRESS_PERCENT: u32 = 5;

/// Evicts runs that will not end before their worker shuts down, as far as other workers have
/// capacity for them.
///
/// The work since a run's last checkpoint is lost in any case, and each second of delay adds to the
/// loss. A stop also triggers a checkpoint if the run supports it.
pub fn evict_runs(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let Some(planner) = &mut state.planner else {
        return;
    };
    let is_draining = planner
        .workers
        .values()
        .any(|session| session.drain_deadline.is_some());
    if !is_draining {
        return;
    }
    let runs = runs_to_evict(planner, at);
    if runs.is_empty() {
        return;
    }
    let line = format!(
        "runs={} outcome=moving reason=\"worker leaves\"",
        runs.len()
    );
    context.info(LogTarget::Plan, line);
    planner.evict(&runs);
}

fn runs_to_evict(planner: &PlannerState, at: ClockTime) -> IndexSet<RunKey> {
    let mut free = free_capacity(planner, at);
    let mut runs = IndexSet::new();
    for session in planner.workers.values() {
        let (Some(deadline), Some(entry)) = (session.drain_deadline, &session.entry) else {
            continue;
        };
        let Some(capacity) = free.get_mut(&entry.service) else {
            continue;
        };
        for (run, slot) in &session.runs {
            let is_running = slot.phase == RunPhase::Running && !slot.is_evicted;
            if is_running && expected_end(slot, at) > deadline && slot.demand.fits(capacity) {
                capacity.subtract(&slot.demand);
                runs.insert(*run);
            }
        }
    }
    runs
}

/// Returns the free capacity of the usable workers of each service together.
fn free_capacity(planner: &PlannerState, at: ClockTime) -> IndexMap<ServiceName, TaskDemand> {
    let mut free: IndexMap<ServiceName, TaskDemand> = IndexMap::new();
    for session in planner
        .workers
        .values()
        .filter(|session| session.is_usable(at))
    {
        if let Some(entry) = &session.entry {
            let capacity = free.entry(entry.service.clone()).or_default();
            capacity.add(&session.free_capacity());
        }
    }
    free
}

/// Returns the predicted end of a run, from its progress or else from its declared run time.
fn expected_end(slot: &RunSlot, at: ClockTime) -> ClockTime {
    if slot.percent < MIN_PROGRESS_PERCENT {
        return (slot.since + slot.expected_run_time).max(at);
    }
    let elapsed = slot.listed_at.since(slot.since).0;
    let remaining_percent = u64::from(100_u32.saturating_sub(slot.percent));
    let remaining = elapsed * remaining_percent / u64::from(slot.percent);
    (slot.listed_at + TimeSpan(remaining)).max(at)
}

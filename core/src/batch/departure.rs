//! Runs on workers that are about to leave.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::RunKey;
use crate::batch::job::TaskDemand;
use crate::batch::life::RunPhase;
use crate::batch::life::RunSlot;
use crate::batch::planner::PlannerState;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::ids::ServiceName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Progress, in percent, from which it tells how long a run still takes. Below, the estimate does.
const TELLING_PERCENT: u32 = 5;

/// Moves runs that will not have ended when their worker leaves, as far as there is room elsewhere.
///
/// Whatever they have done since their last checkpoint is lost in any case, and each second on a
/// worker that leaves adds to it. A stop also makes a checkpoint of work that has them.
pub fn sweep(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let Some(planner) = &mut state.planner else {
        return;
    };
    let is_leaving = planner.workers.values().any(|life| life.leaves.is_some());
    if !is_leaving {
        return;
    }
    let runs = runs_to_move(planner, at);
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

fn runs_to_move(planner: &PlannerState, at: ClockTime) -> IndexSet<RunKey> {
    let mut free = free_room(planner, at);
    let mut runs = IndexSet::new();
    for life in planner.workers.values() {
        let (Some(leaves), Some(entry)) = (life.leaves, &life.entry) else {
            continue;
        };
        let Some(room) = free.get_mut(&entry.service) else {
            continue;
        };
        for (run, slot) in &life.runs {
            let is_running = slot.phase == RunPhase::Running && !slot.evicted;
            if is_running && expected_end(slot, at) > leaves && slot.demand.fits(room) {
                room.take(&slot.demand);
                runs.insert(*run);
            }
        }
    }
    runs
}

/// Returns what the workers of each service that can get tasks have left together.
fn free_room(planner: &PlannerState, at: ClockTime) -> IndexMap<ServiceName, TaskDemand> {
    let mut free: IndexMap<ServiceName, TaskDemand> = IndexMap::new();
    for life in planner.workers.values().filter(|life| life.is_usable(at)) {
        if let Some(entry) = &life.entry {
            let room = free.entry(entry.service.clone()).or_default();
            room.add(&life.free());
        }
    }
    free
}

/// Returns when a run will probably have ended.
fn expected_end(slot: &RunSlot, at: ClockTime) -> ClockTime {
    if slot.percent < TELLING_PERCENT {
        return (slot.since + slot.expected).max(at);
    }
    let worked = slot.listed.since(slot.since).0;
    let left = u64::from(100_u32.saturating_sub(slot.percent));
    let rest = worked * left / u64::from(slot.percent);
    (slot.listed + TimeSpan(rest)).max(at)
}

//! Log lines for urgent units that wait longer than expected.

use crate::batch::guarantee;
use crate::batch::job::StepKey;
use crate::batch::planner::PlannerState;
use crate::batch::state::BatchState;
use crate::batch::unit::WaitingUnit;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Share of the reclaim bound, in tenths, after which a waiting urgent unit is logged.
const OVERDUE_TENTHS: u64 = 4;

/// Returns whether a unit is urgent and has waited for `OVERDUE_TENTHS` of the reclaim bound.
#[must_use]
pub fn is_overdue(unit: &WaitingUnit<'_>, bound: TimeSpan, at: ClockTime) -> bool {
    let limit = TimeSpan(bound.0 * OVERDUE_TENTHS / 10);
    unit.definition.priority == 0 && at.since(unit.ready_at) >= limit
}

/// Returns the log line of an overdue unit: its demand, its team's guarantee and the GPU capacity.
#[must_use]
pub fn describe(
    state: &BatchState,
    planner: &PlannerState,
    unit: &WaitingUnit<'_>,
    at: ClockTime,
) -> String {
    let team = unit.definition.team.as_ref();
    let config = team.and_then(|team| state.catalog.teams.get(team));
    let team_gpu = team.map_or(0, |team| guarantee::urgent_gpu(state, planner, team));
    let usable = planner
        .workers
        .values()
        .filter(|session| session.is_usable(at));
    let free: u64 = usable
        .clone()
        .map(|session| session.free_capacity().gpu)
        .sum();
    let slots = planner
        .workers
        .values()
        .flat_map(|session| session.runs.values());
    let gpu_used = |is_lower: bool| -> u64 {
        let slots = slots.clone().filter(|slot| (slot.priority > 0) == is_lower);
        slots.map(|slot| slot.demand.gpu).sum()
    };
    format!(
        "step={} outcome=waiting waited_ms={} tasks={} gpu={} rack={} team_gpu={team_gpu} \
         guaranteed={} covered={} claim={} usable={} free_gpu={free} urgent_gpu={} lower_gpu={}",
        unit.key,
        at.since(unit.ready_at),
        unit.members.len(),
        unit.step.demand.gpu,
        unit.step.rack_sensitive,
        config.map_or(0, |config| config.guaranteed_gpu),
        unit.is_guaranteed,
        planner.reservations.contains_key(&unit.key),
        usable.count(),
        gpu_used(false),
        gpu_used(true),
    )
}

/// Logs each overdue unit once per term.
pub fn log(
    planner: &mut PlannerState,
    lines: Vec<(StepKey, String)>,
    context: &mut StepContext<'_>,
) {
    for (key, line) in lines {
        if planner.overdue_units.insert(key) {
            context.info(LogTarget::Plan, line);
        }
    }
}

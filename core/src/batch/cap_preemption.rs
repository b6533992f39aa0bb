//! Preemption under a cap: which runs of a team are stopped for its own urgent work.
//!
//! Answers a team whose middle and slack work uses up its cap when a check within its guarantee
//! arrives. Capacity on workers may be free, so preemption on workers does not see the shortage.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::batch::account::TeamAccount;
use crate::batch::job::RunKey;
use crate::batch::job::StepKey;
use crate::batch::job::TaskDemand;
use crate::batch::placement;
use crate::batch::planner::PlannerState;
use crate::batch::preemption;
use crate::batch::round::RoundContext;
use crate::batch::session::RunPhase;
use crate::batch::session::RunSlot;
use crate::batch::unit::WaitingUnit;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::TeamName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Waiting time of a gang after which room under the cap is reserved for it.
const GANG_WAIT: TimeSpan = TimeSpan(4_000);

/// Time between two log lines about the cap of a team.
const LOG_INTERVAL: TimeSpan = TimeSpan(10_000);

/// Runs of a team that end together: all members of a gang, or one independent run.
#[derive(Clone, Debug)]
struct Victim {
    runs: Vec<RunKey>,
    demand: TaskDemand,
    priority: u32,
    placed_at: ClockTime,
}

/// Runs to stop below the cap of a team.
struct CapPlan {
    victims: Vec<Victim>,
    /// Number of tasks that fit below the cap once the victims have ended.
    admitted: u64,
}

/// Reserves room for gangs that the cap of their team has kept waiting for long: for the first one of
/// each team among the units, which are in the order of their rank.
pub fn reserve_for_gangs<'a>(round: &mut RoundContext<'a>, units: &[WaitingUnit<'a>]) {
    let at = round.at;
    for unit in units {
        let has_waited = at.since(unit.ready_at) >= GANG_WAIT;
        if unit.step.gang && !unit.is_guaranteed && has_waited {
            let account = limited_account(round, unit);
            let is_possible = account.is_some_and(|account| {
                account.gang.is_none()
                    && unit.step.demand.count_fitting(&account.cap) >= unit.min_tasks()
            });
            if is_possible && could_hold(round, unit) {
                round.accounts.reserve_for_gang(unit);
            }
        }
    }
}

/// Handles the rest of a unit within its guarantee, of which `permitted` tasks fit below the cap of
/// its team: reserves room for it, and stops less urgent runs of the team that take up the room.
pub fn plan<'a>(round: &mut RoundContext<'a>, unit: &WaitingUnit<'a>, permitted: u64) {
    let account = limited_account(round, unit).filter(|_| unit.is_guaranteed);
    let Some(account) = account else { return };
    let count = unit.members.len() as u64;
    let limit = unit.step.demand.count_fitting(&account.cap);
    if limit < unit.min_tasks() {
        return;
    }
    let wanted = count.min(limit);
    if permitted < count {
        if !could_hold(round, unit) {
            return;
        }
        if let Some(plan) = choose_victims(round, unit, &account, wanted) {
            stop(round, unit, &plan.victims);
            // Stops on workers only help the tasks that the cap admits afterwards.
            let mut admitted = unit.clone();
            admitted
                .members
                .truncate(usize::try_from(plan.admitted).unwrap_or(usize::MAX));
            reserve_workers(round, &admitted);
        }
    }
    round.accounts.reserve(unit, wanted);
}

/// Returns whether the cap of the unit's team has a limit.
pub fn is_limited(round: &RoundContext<'_>, unit: &WaitingUnit<'_>) -> bool {
    limited_account(round, unit).is_some()
}

fn stop(round: &mut RoundContext<'_>, unit: &WaitingUnit<'_>, victims: &[Victim]) {
    for victim in victims {
        round.plan.evictions.extend(&victim.runs);
        round.plan.cap_stops += victim.runs.len() as u64;
        if let Some(account) = round.accounts.of_unit_mut(unit) {
            account.ending.add(&victim.demand);
        }
    }
}

fn limited_account(round: &RoundContext<'_>, unit: &WaitingUnit<'_>) -> Option<TeamAccount> {
    let account = round.accounts.get(unit.definition.team.as_ref()?)?;
    account.is_limited().then_some(*account)
}

/// Adds the log line of a team whose cap holds a unit back.
pub fn report(round: &mut RoundContext<'_>, unit: &WaitingUnit<'_>) {
    let Some(team) = unit.definition.team.as_ref() else {
        return;
    };
    if round.plan.capped_units.contains_key(team) {
        return;
    }
    let account = round.accounts.get(team);
    let dimension = account.and_then(|account| account.short_of(unit, round.at));
    if let (Some(account), Some(dimension)) = (account, dimension) {
        let line = format!(
            "team={team} unit={} outcome=held_by_cap dimension={dimension} used_gpu={} used_cpu={} \
             used_memory={}",
            unit.key, account.used.gpu, account.used.cpu, account.used.memory
        );
        round.plan.capped_units.insert(team.clone(), line);
    }
}

/// Logs the teams whose caps hold work back, each of them once per interval.
pub fn log(
    planner: &mut PlannerState,
    capped_units: &IndexMap<TeamName, String>,
    context: &mut StepContext<'_>,
) {
    let at = context.at;
    planner
        .capped_teams
        .retain(|_, logged_at| at.since(*logged_at) < LOG_INTERVAL);
    for (team, line) in capped_units {
        if !planner.capped_teams.contains_key(team) {
            planner.capped_teams.insert(team.clone(), at);
            context.info(LogTarget::Plan, line.clone());
            context.update_metric(MetricName::CapWaits, 1);
        }
    }
}

/// Returns whether the workers in service could hold the unit's gang if they were empty.
fn could_hold(round: &RoundContext<'_>, unit: &WaitingUnit<'_>) -> bool {
    let view = round.table.view(unit);
    placement::can_hold(&view.workers, unit.step)
}

/// Reserves capacity on workers for the unit, and stops runs there where it does not suffice beside
/// the runs that are already being stopped. Both kinds of stops then take effect together.
fn reserve_workers<'a>(round: &mut RoundContext<'a>, unit: &WaitingUnit<'a>) {
    let is_reserved = round.planner.reservations.contains_key(&unit.key);
    if is_reserved || round.plan.reservations.contains_key(&unit.key) {
        return;
    }
    let view = round.table.view(unit);
    preemption::plan(round, unit, &view);
}

/// Returns the runs to stop so that `wanted` tasks of the unit fit below the cap, as far as that can
/// be reached. There are none if those that are being stopped suffice. Returns `None` if no task, or
/// not the whole gang, would fit even with all of them stopped.
fn choose_victims(
    round: &RoundContext<'_>,
    unit: &WaitingUnit<'_>,
    account: &TeamAccount,
    wanted: u64,
) -> Option<CapPlan> {
    let fits = |room: &TaskDemand| unit.step.demand.count_fitting(room) >= wanted;
    // Usage above the cap must end as well, so the room is computed from what remains used.
    let mut remaining = account.used;
    remaining.subtract(&account.ending);
    remaining.add(&account.reserved);
    let room = |remaining: &TaskDemand| {
        let mut room = account.cap;
        room.subtract(remaining);
        room
    };
    let mut victims = collect_victims(round, unit);
    victims.sort_by_key(|victim| (Reverse(victim.priority), Reverse(victim.placed_at)));
    let mut chosen = Vec::new();
    for victim in victims {
        if fits(&room(&remaining)) {
            break;
        }
        remaining.subtract(&victim.demand);
        chosen.push(victim);
    }
    let reachable = unit.step.demand.count_fitting(&room(&remaining));
    let admitted = reachable.min(wanted);
    if admitted < unit.min_tasks() {
        return None;
    }
    // Later victims can make earlier ones unnecessary.
    let mut needed = Vec::new();
    for victim in chosen {
        let mut kept = remaining;
        kept.add(&victim.demand);
        if fits(&room(&kept)) {
            remaining = kept;
        } else {
            needed.push(victim);
        }
    }
    Some(CapPlan {
        victims: needed,
        admitted,
    })
}

/// Returns the less urgent runs of the unit's team that can be stopped.
fn collect_victims(round: &RoundContext<'_>, unit: &WaitingUnit<'_>) -> Vec<Victim> {
    let mut victims: IndexMap<(StepKey, Option<u32>), Victim> = IndexMap::new();
    // A silent worker does not carry out a stop in time.
    let sessions = round.planner.workers.values();
    let sessions = sessions.filter(|session| session.hold.failures == 0);
    for (run, slot) in sessions.flat_map(|session| &session.runs) {
        let is_own = slot.team == unit.definition.team;
        if !is_own || !is_victim(slot, unit) || round.plan.evictions.contains(run) {
            continue;
        }
        let task = run.task;
        let key = (task.step, (!slot.is_gang_member).then_some(task.index));
        let victim = victims.entry(key).or_insert_with(|| Victim {
            runs: Vec::new(),
            demand: TaskDemand::default(),
            priority: slot.priority,
            placed_at: slot.placed_at,
        });
        victim.runs.push(*run);
        victim.demand.add(&slot.declared_demand);
    }
    victims.into_values().collect()
}

fn is_victim(slot: &RunSlot, unit: &WaitingUnit<'_>) -> bool {
    let is_lower = slot.priority > unit.definition.priority;
    let can_stop = matches!(slot.phase, RunPhase::Running | RunPhase::Starting);
    is_lower && can_stop && !slot.is_evicted
}

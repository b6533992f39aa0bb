//! Moving work off workers where it advances far slower than after a fresh start elsewhere.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::JobDefinition;
use crate::batch::job::RunKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::StepKey;
use crate::batch::life::RunPhase;
use crate::batch::life::RunSlot;
use crate::batch::life::WorkerLife;
use crate::batch::placement;
use crate::batch::placement::RackRule;
use crate::batch::placement::WorkerRoom;
use crate::batch::planner::PlannerState;
use crate::batch::room::RoomClaim;
use crate::batch::room::RoomTable;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogPart;
use crate::effect::MetricName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time between two looks at the progress of all runs.
const PERIOD: TimeSpan = TimeSpan(100);

/// Time from the decision to move work to its new start: the stop, its end and two records.
const MOVE_TIME: TimeSpan = TimeSpan(400);

/// How much longer, in tenths, the present run has to take than a fresh one. The margin covers
/// what is not known of the new place.
const LEAST_GAIN_TENTHS: u64 = 13;

/// How much longer, in tenths, a run takes on a worker that counts as slow.
const SLOW_TENTHS: u64 = 20;

/// Time for which a worker counts as slow after it was seen to be.
const SLOW_TIME: TimeSpan = TimeSpan(4_000);

/// Moves of one step. Work that is slow wherever it runs is longer than its job declares.
const MOST_MOVES: u32 = 2;

/// The runs that would be moved together: a gang, or one task.
struct RunningUnit<'a> {
    definition: &'a JobDefinition,
    step: &'a StepDefinition,
    key: StepKey,
    members: Vec<UnitMember<'a>>,
}

/// One run of a unit.
struct UnitMember<'a> {
    worker: &'a WorkerName,
    run: RunKey,
    slot: &'a RunSlot,
    rest: TimeSpan,
    is_unsound: bool,
    is_slow: bool,
}

/// What a look at all runs decides.
#[derive(Debug, Default)]
struct RescuePlan {
    moves: Vec<RescueMove>,
    slow: IndexSet<WorkerName>,
}

/// A unit that is to start afresh.
#[derive(Debug)]
struct RescueMove {
    key: StepKey,
    runs: Vec<RunKey>,
    claim: RoomClaim,
    rest: TimeSpan,
    fresh: TimeSpan,
}

/// Looks at the progress of all runs from time to time.
pub fn run(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let Some(planner) = &mut state.planner else {
        return;
    };
    if state.stopping.is_some() || at < planner.rescue_due {
        return;
    }
    planner.rescue_due = at + PERIOD;
    let plan = decide(state, at);
    if let Some(planner) = &mut state.planner {
        carry_out(planner, plan, context);
    }
}

fn decide(state: &BatchState, at: ClockTime) -> RescuePlan {
    let mut plan = RescuePlan::default();
    let Some(planner) = &state.planner else {
        return plan;
    };
    let units = running_units(state, planner, at);
    for member in units.iter().flat_map(|unit| &unit.members) {
        if member.is_slow {
            plan.slow.insert(member.worker.clone());
        }
    }
    let mut table = RoomTable::new(planner);
    for (step, claim) in &planner.claims {
        table.withhold(*step, claim);
    }
    for unit in &units {
        if let Some(rescue) = plan_move(state, planner, unit, &plan.slow, &mut table, at) {
            plan.moves.push(rescue);
        }
    }
    plan
}

/// Returns the units of which all runs work and none is being stopped.
fn running_units<'a>(
    state: &'a BatchState,
    planner: &'a PlannerState,
    at: ClockTime,
) -> Vec<RunningUnit<'a>> {
    let mut units: IndexMap<(StepKey, Option<u32>), RunningUnit<'a>> = IndexMap::new();
    for (worker, life) in &planner.workers {
        for (run, slot) in &life.runs {
            let job = state.book.jobs.get(&run.task.step.job);
            let Some(definition) = job.and_then(|entry| entry.open_definition()) else {
                continue;
            };
            let Some(step) = definition.draft.steps.get(run.task.step.step as usize) else {
                continue;
            };
            let place = (run.task.step, (!step.gang).then_some(run.task.index));
            let unit = units.entry(place).or_insert_with(|| RunningUnit {
                definition,
                step,
                key: run.task.step,
                members: Vec::new(),
            });
            unit.members
                .push(member(state, unit.definition, worker, life, *run, slot, at));
        }
    }
    let is_whole = |unit: &RunningUnit<'_>| {
        let needed = if unit.step.gang { unit.step.count } else { 1 };
        let is_working = |member: &UnitMember<'_>| {
            member.slot.phase == RunPhase::Running && !member.slot.evicted
        };
        unit.members.len() == needed as usize
            && unit.members.iter().all(is_working)
            && !unit.step.long_running
    };
    units.into_values().filter(is_whole).collect()
}

fn member<'a>(
    state: &BatchState,
    definition: &JobDefinition,
    worker: &'a WorkerName,
    life: &WorkerLife,
    run: RunKey,
    slot: &'a RunSlot,
    at: ClockTime,
) -> UnitMember<'a> {
    let expected = state.run_times.expected(&definition.queue, slot.declared);
    let rest = slot.progress.rest(expected, at).unwrap_or_default();
    let longest = state.run_times.longest(&definition.queue, slot.declared);
    let ran = at.since(slot.since);
    let is_unsound = longest.is_some_and(|longest| (ran + rest) > longest);
    let missing = 100_u64.saturating_sub(u64::from(slot.progress.percent()));
    let sound_rest = expected.0 * missing / 100;
    let step = definition.draft.steps.get(run.task.step.step as usize);
    let wished = step.and_then(|step| step.affinity.as_ref());
    let rack = life.entry.as_ref().map(|entry| &entry.rack);
    let is_near = wished.is_none() || wished == rack;
    UnitMember {
        worker,
        run,
        slot,
        rest,
        is_unsound,
        is_slow: is_unsound && is_near && rest.0 > sound_rest * SLOW_TENTHS / 10 + MOVE_TIME.0,
    }
}

/// Decides whether a unit is to start afresh, and where.
fn plan_move<'a>(
    state: &'a BatchState,
    planner: &'a PlannerState,
    unit: &RunningUnit<'a>,
    slow: &IndexSet<WorkerName>,
    table: &mut RoomTable<'a>,
    at: ClockTime,
) -> Option<RescueMove> {
    let definition = unit.definition;
    let moved = planner.moved.get(&unit.key).copied().unwrap_or(0);
    if moved >= MOST_MOVES {
        return None;
    }
    let rest = unit.members.iter().map(|member| member.rest).max()?;
    let fresh = fresh_time(state, unit);
    let is_unsound = unit.members.iter().any(|member| member.is_unsound);
    if !is_unsound || rest.0 <= fresh.0 * LEAST_GAIN_TENTHS / 10 + MOVE_TIME.0 {
        return None;
    }
    let chain = state
        .run_times
        .expected_chain(&definition.queue, &definition.draft);
    let deadline = definition.deadline(unit.key.occurrence, chain);
    if at + rest <= deadline {
        return None;
    }
    let mut rooms = table.rooms(state, planner, &definition.service, &unit.key, at);
    rooms.retain(|room| !slow.contains(room.worker));
    for member in &unit.members {
        let own = rooms.iter_mut().find(|room| room.worker == member.worker);
        if let Some(room) = own {
            room.free.add(&member.slot.demand);
            room.same_step = room.same_step.saturating_sub(1);
        }
    }
    let places = fresh_places(&rooms, unit.step)?;
    let workers = places.iter().map(|&place| rooms[place].worker.clone());
    let claim = RoomClaim {
        since: at,
        demand: unit.step.room(),
        workers: workers.collect(),
    };
    table.withhold(unit.key, &claim);
    Some(RescueMove {
        key: unit.key,
        runs: unit.members.iter().map(|member| member.run).collect(),
        claim,
        rest,
        fresh,
    })
}

/// Returns the time of a fresh run, from the newest checkpoint if there is one.
fn fresh_time(state: &BatchState, unit: &RunningUnit<'_>) -> TimeSpan {
    let run_times = &state.run_times;
    let whole = run_times.expected(&unit.definition.queue, unit.step.estimate);
    let saved = unit
        .members
        .iter()
        .filter(|member| !member.slot.checkpoint.is_empty());
    let saved = saved.map(|member| member.slot.progress.percent()).min();
    let missing = 100_u64.saturating_sub(u64::from(saved.unwrap_or(0)));
    TimeSpan(whole.0 * missing / 100)
}

fn fresh_places(rooms: &[WorkerRoom<'_>], step: &StepDefinition) -> Option<Vec<usize>> {
    let rule = if placement::can_be_near(rooms, step) {
        RackRule::Strict
    } else {
        RackRule::Any
    };
    if step.gang {
        return placement::place_gang(rooms, step, rule);
    }
    placement::place_single(rooms, step, None, rule).map(|place| vec![place])
}

fn carry_out(planner: &mut PlannerState, plan: RescuePlan, context: &mut StepContext<'_>) {
    let at = context.at;
    for worker in &plan.slow {
        if let Some(life) = planner.workers.get_mut(worker) {
            if at >= life.slow_until {
                let line = format!("worker={worker} outcome=slow");
                context.warn(LogPart::Lease, line);
            }
            life.slow_until = at + SLOW_TIME;
        }
    }
    for rescue in plan.moves {
        let line = format!(
            "job={} step={} outcome=moving rest_ms={} fresh_ms={}",
            rescue.key.job.text(),
            rescue.key.step,
            rescue.rest,
            rescue.fresh
        );
        context.info(LogPart::Plan, line);
        context.count(MetricName::UnitsMoved, 1);
        for life in planner.workers.values_mut() {
            for (run, slot) in &mut life.runs {
                if rescue.runs.contains(run) {
                    slot.evicted = true;
                }
            }
        }
        *planner.moved.entry(rescue.key).or_default() += 1;
        planner.claims.insert(rescue.key, rescue.claim);
        planner.dirty = true;
    }
}

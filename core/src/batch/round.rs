//! One round of planning: waiting units in order, each to its place, room made for urgent ones.

use indexmap::IndexMap;

use crate::batch::evict;
use crate::batch::evict::EvictionCandidate;
use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::job::RunKey;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::life::RunPhase;
use crate::batch::life::RunSlot;
use crate::batch::message::BatchEffect;
use crate::batch::message::JobStage;
use crate::batch::overdue;
use crate::batch::placement;
use crate::batch::placement::RackRule;
use crate::batch::placement::WorkerRoom;
use crate::batch::planner;
use crate::batch::planner::PlannerState;
use crate::batch::record::BatchRecord;
use crate::batch::record::TaskNote;
use crate::batch::record::TaskState;
use crate::batch::record::WorkerLifeKey;
use crate::batch::room::RoomClaim;
use crate::batch::room::RoomTable;
use crate::batch::state::BatchState;
use crate::batch::unit;
use crate::batch::unit::WaitingUnit;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogPart;
use crate::ids::RackName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Longest life of a claim on room that is being made.
const CLAIM_TIME: TimeSpan = TimeSpan(1_500);

/// Longest time that a new planner waits for the lists of all workers.
const LISTING_WAIT: TimeSpan = TimeSpan(250);

/// Workers of each rack that are left to urgent work while other work can still wait.
const RESERVED_WORKERS: usize = 2;

/// Time for which a unit may wait for a better place while most of the room is free.
const IDLE_PATIENCE: TimeSpan = TimeSpan(1_500);

/// A GPU counts as this many cores in the cost of lost work.
const GPU_CORES: u64 = 8;

/// Share of the reclaim bound, in tenths, after which an urgent unit takes any place.
const ANY_PLACE_TENTHS: u64 = 7;

/// A decision of a round.
#[derive(Debug, Default)]
struct RoundPlan {
    placements: Vec<(TaskKey, WorkerName)>,
    evictions: Vec<RunKey>,
    claims: IndexMap<StepKey, Vec<WorkerName>>,
    overdue: Vec<(StepKey, String)>,
}

/// What all members of a gang start with.
#[derive(Clone, Debug, Default)]
struct GangStart {
    attempt: u32,
    checkpoint: String,
}

/// Plans when something has changed.
pub fn run(state: &mut BatchState, context: &mut StepContext<'_>) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    if state.stopping.is_some() || !state.planner_lane.is_empty() && !planner.dirty {
        return;
    }
    let at = context.at;
    if !knows_workers(planner, at) {
        return;
    }
    planner.dirty = false;
    planner
        .claims
        .retain(|_, claim| at.since(claim.since) < CLAIM_TIME);
    let mut plan = decide(state, at);
    if let Some(planner) = &mut state.planner {
        overdue::log(planner, std::mem::take(&mut plan.overdue), context);
    }
    carry_out(state, plan, context);
}

/// A planner that has just taken over waits for the workers' lists. Otherwise it would crowd its
/// work onto the few that answered first, and stop other work there to make room.
fn knows_workers(planner: &PlannerState, at: ClockTime) -> bool {
    let has_waited = at.since(planner.since) >= LISTING_WAIT;
    has_waited || (!planner.workers.is_empty() && planner.workers.values().all(|life| life.listed))
}

fn decide(state: &BatchState, at: ClockTime) -> RoundPlan {
    let mut plan = RoundPlan::default();
    let Some(planner) = &state.planner else {
        return plan;
    };
    let mut units = Vec::new();
    for job in &planner.open_jobs {
        if let Some(entry) = state.book.jobs.get(job) {
            unit::waiting_units(*job, entry, planner, at, &mut units);
        }
    }
    if units.is_empty() {
        return plan;
    }
    units.sort_by_key(|unit| unit.rank(at));
    let mut table = RoomTable::new(planner);
    for (key, claim) in &planner.claims {
        if let Some(unit) = units.iter().find(|unit| unit.key == *key) {
            table.withhold(claim, unit.step);
        }
    }
    for unit in &units {
        let placed = plan.placements.len();
        plan_unit(state, planner, unit, &mut table, at, &mut plan);
        let is_waiting = plan.placements.len() == placed;
        if is_waiting
            && overdue::is_overdue(unit, state.settings.reclaim, at)
            && !planner.overdue.contains(&unit.key)
        {
            let line = overdue::describe(state, planner, unit, at);
            plan.overdue.push((unit.key, line));
        }
    }
    plan
}

/// Places a unit, or makes room for it if it is urgent.
fn plan_unit<'a>(
    state: &'a BatchState,
    planner: &'a PlannerState,
    unit: &WaitingUnit<'_>,
    table: &mut RoomTable<'a>,
    at: ClockTime,
    plan: &mut RoundPlan,
) {
    let claim = planner.claims.get(&unit.key);
    if let Some(claim) = claim {
        table.lend(claim, unit.step);
    }
    let mut rooms = view(state, planner, unit, table, at);
    let before = plan.placements.len();
    place_unit(state, unit, &mut rooms, at, plan);
    table.update(&rooms);
    if plan.placements.len() > before {
        return;
    }
    if let Some(claim) = claim {
        table.withhold(claim, unit.step);
    } else if unit.definition.priority == 0 {
        make_room(planner, unit, &rooms, at, plan);
    }
}

/// Returns the workers that may run a unit's tasks.
fn view<'a>(
    state: &'a BatchState,
    planner: &'a PlannerState,
    unit: &WaitingUnit<'_>,
    table: &RoomTable<'a>,
    at: ClockTime,
) -> Vec<WorkerRoom<'a>> {
    let usable = planner.workers.iter().filter_map(|(worker, life)| {
        let entry = life.entry.as_ref()?;
        let is_open = entry.service == unit.definition.service
            && !state.domains_out.contains(&entry.domain)
            && life.is_usable(at);
        is_open.then_some((worker, life, entry))
    });
    let room = usable.map(|(worker, life, entry)| {
        let of_step = life.runs.keys().filter(|run| run.task.step == unit.key);
        WorkerRoom {
            worker,
            rack: &entry.rack,
            labels: &entry.labels,
            free: table.free(worker),
            capacity: entry.capacity,
            same_step: u32::try_from(of_step.count()).unwrap_or(u32::MAX),
        }
    });
    let mut rooms: Vec<WorkerRoom<'a>> = room.collect();
    rooms = without_failures(rooms, planner, unit);
    if unit.definition.priority > 0 && can_wait(unit, &rooms, at) {
        let rest = without_reserve(&rooms);
        if placement::can_be_near(&rest, unit.step) {
            rooms = rest;
        }
    }
    rooms
}

/// Returns the view without the workers on which runs of the unit's step have failed, as long as the
/// others could hold it.
fn without_failures<'a>(
    rooms: Vec<WorkerRoom<'a>>,
    planner: &PlannerState,
    unit: &WaitingUnit<'_>,
) -> Vec<WorkerRoom<'a>> {
    let Some(failed) = planner.failed_places.get(&unit.key) else {
        return rooms;
    };
    let others = rooms.iter().filter(|room| !failed.contains(room.worker));
    let others: Vec<WorkerRoom<'a>> = others.cloned().collect();
    if placement::can_hold(&others, unit.step) {
        others
    } else {
        rooms
    }
}

/// Returns the view without the emptiest workers of each rack, so that urgent gangs find room in
/// one rack without stopping other work first.
fn without_reserve<'a>(rooms: &[WorkerRoom<'a>]) -> Vec<WorkerRoom<'a>> {
    let mut racks: IndexMap<&RackName, Vec<(u64, usize)>> = IndexMap::new();
    for (place, room) in rooms.iter().enumerate() {
        let rack = racks.entry(room.rack).or_default();
        rack.push((room.free.gpu, place));
    }
    let mut reserved = Vec::new();
    for rack in racks.values_mut() {
        rack.sort_unstable();
        let emptiest = rack.iter().rev().take(RESERVED_WORKERS);
        reserved.extend(emptiest.map(|(_, place)| *place));
    }
    let kept = rooms.iter().enumerate();
    let kept = kept.filter(|(place, _)| !reserved.contains(place));
    kept.map(|(_, room)| room.clone()).collect()
}

/// An urgent or late unit takes any place; others wait for one at full speed.
fn rack_rule(
    state: &BatchState,
    unit: &WaitingUnit<'_>,
    rooms: &[WorkerRoom<'_>],
    at: ClockTime,
) -> RackRule {
    let urgent_bound = TimeSpan(state.settings.reclaim.0 * ANY_PLACE_TENTHS / 10);
    let known_since = unit.ready_at.max(planner_since(state));
    let is_urgent = unit.definition.priority == 0 && at.since(known_since) >= urgent_bound;
    if is_urgent || !can_wait(unit, rooms, at) || !placement::can_be_near(rooms, unit.step) {
        RackRule::Any
    } else {
        RackRule::Strict
    }
}

/// Tells whether a unit may wait for a better place. It may not when its objective is at stake, nor
/// for long while most of the room stands idle.
fn can_wait(unit: &WaitingUnit<'_>, rooms: &[WorkerRoom<'_>], at: ClockTime) -> bool {
    let has_waited = at.since(unit.ready_at) >= IDLE_PATIENCE;
    at < unit.latest_start() && !(has_waited && placement::is_mostly_free(rooms))
}

/// Returns when the present planner's term began.
fn planner_since(state: &BatchState) -> ClockTime {
    let planner = state.planner.as_ref();
    planner.map_or(ClockTime(0), |planner| planner.since)
}

fn place_unit<'a>(
    state: &BatchState,
    unit: &WaitingUnit<'_>,
    rooms: &mut [WorkerRoom<'a>],
    at: ClockTime,
    plan: &mut RoundPlan,
) {
    let rule = rack_rule(state, unit, rooms, at);
    if unit.step.gang {
        if let Some(places) = placement::place_gang(rooms, unit.step, rule) {
            for (index, place) in unit.members.iter().zip(places) {
                take_place(unit, *index, &mut rooms[place], plan);
            }
        }
        return;
    }
    let mut home = home_rack(state, unit);
    for index in &unit.members {
        let place = placement::place_single(rooms, unit.step, home.as_ref(), rule);
        let Some(place) = place else { break };
        if unit.step.rack_sensitive && home.is_none() {
            home = Some(rooms[place].rack.clone());
        }
        take_place(unit, *index, &mut rooms[place], plan);
    }
}

fn take_place(unit: &WaitingUnit<'_>, index: u32, room: &mut WorkerRoom<'_>, plan: &mut RoundPlan) {
    room.free.take(&unit.step.room());
    room.same_step += 1;
    let task = TaskKey {
        step: unit.key,
        index,
    };
    plan.placements.push((task, room.worker.clone()));
}

/// Returns the rack where other tasks of a rack-sensitive step run.
fn home_rack(state: &BatchState, unit: &WaitingUnit<'_>) -> Option<RackName> {
    if !unit.step.rack_sensitive {
        return None;
    }
    let planner = state.planner.as_ref()?;
    let life = planner
        .workers
        .values()
        .find(|life| life.runs.keys().any(|run| run.task.step == unit.key))?;
    life.entry.as_ref().map(|entry| entry.rack.clone())
}

fn make_room(
    planner: &PlannerState,
    unit: &WaitingUnit<'_>,
    rooms: &[WorkerRoom<'_>],
    at: ClockTime,
    plan: &mut RoundPlan,
) {
    let gangs = gang_costs(planner, at);
    let mut candidates = Vec::new();
    for (place, room) in rooms.iter().enumerate() {
        let Some(life) = planner.workers.get(room.worker) else {
            continue;
        };
        for (run, slot) in &life.runs {
            let is_lower = slot.priority > unit.definition.priority;
            let is_stoppable = matches!(slot.phase, RunPhase::Running | RunPhase::Sent);
            if is_lower && is_stoppable && !slot.evicted && !plan.evictions.contains(run) {
                candidates.push(EvictionCandidate {
                    place,
                    run: *run,
                    demand: slot.demand,
                    gang: slot.gang,
                    cost: gangs
                        .get(&run.task.step)
                        .copied()
                        .unwrap_or_else(|| lost_work(slot, at)),
                });
            }
        }
    }
    let count = unit.members.len() as u64;
    let Some(choice) = evict::choose(rooms, &candidates, unit.step, count) else {
        return;
    };
    let workers = choice
        .places
        .iter()
        .map(|&place| rooms[place].worker.clone());
    plan.claims.insert(unit.key, workers.collect());
    plan.evictions.extend(choice.runs);
}

/// Returns what it costs to stop a member of each gang, which stops the whole gang.
fn gang_costs(planner: &PlannerState, at: ClockTime) -> IndexMap<StepKey, u64> {
    let mut costs = IndexMap::new();
    for life in planner.workers.values() {
        for (run, slot) in life.runs.iter().filter(|(_, slot)| slot.gang) {
            *costs.entry(run.task.step).or_default() += lost_work(slot, at);
        }
    }
    costs
}

/// Returns the work that a stop loses, in core-seconds, with a floor for the restart.
fn lost_work(slot: &RunSlot, at: ClockTime) -> u64 {
    let cores = slot.demand.cpu / 1_000 + slot.demand.gpu * GPU_CORES;
    let seconds = at.since(slot.placed).0 / 1_000 + 1;
    let saved = if slot.checkpoint.is_empty() { 1 } else { 4 };
    cores * seconds / saved / u64::from(slot.priority.max(1))
}

fn carry_out(state: &mut BatchState, plan: RoundPlan, context: &mut StepContext<'_>) {
    let mut gangs: IndexMap<StepKey, GangStart> = IndexMap::new();
    for (task, _) in &plan.placements {
        let entry = state.book.jobs.get(&task.step.job);
        let note = entry.and_then(|entry| entry.note(task));
        let gang = gangs.entry(task.step).or_default();
        gang.attempt = gang.attempt.max(note.map_or(0, |note| note.attempt) + 1);
        let saved = note.map_or("", |note| note.checkpoint.as_str());
        if gang.checkpoint.is_empty() {
            saved.clone_into(&mut gang.checkpoint);
        }
    }
    for (task, worker) in plan.placements {
        let gang = gangs.get(&task.step).cloned().unwrap_or_default();
        place(state, task, &worker, gang, context);
    }
    let at = context.at;
    let Some(planner) = &mut state.planner else {
        return;
    };
    for (key, workers) in plan.claims {
        planner.claims.insert(key, RoomClaim { since: at, workers });
    }
    let gangs: Vec<StepKey> = plan.evictions.iter().map(|run| run.task.step).collect();
    for life in planner.workers.values_mut() {
        for (run, slot) in &mut life.runs {
            let is_member = slot.gang && gangs.contains(&run.task.step);
            if is_member || plan.evictions.contains(run) {
                slot.evicted = true;
            }
        }
    }
}

fn place(
    state: &mut BatchState,
    task: TaskKey,
    worker: &WorkerName,
    gang: GangStart,
    context: &mut StepContext<'_>,
) {
    let job: JobKey = task.step.job;
    let Some(entry) = state.book.jobs.get(&job) else {
        return;
    };
    let Some(definition) = entry.open_definition() else {
        return;
    };
    let Some(step) = definition.draft.steps.get(task.step.step as usize) else {
        return;
    };
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(born) = planner.workers.get(worker).map(|life| life.born) else {
        return;
    };
    let note = entry.note(&task).cloned().unwrap_or_default();
    let (attempt, checkpoint) = if step.gang {
        (gang.attempt, gang.checkpoint)
    } else {
        (note.attempt + 1, note.checkpoint.clone())
    };
    let run = RunKey { task, attempt };
    let slot = planner::new_slot(definition, step, RunPhase::Recorded, context.at);
    planner.claims.swap_remove(&task.step);
    planner.add_slot(worker, run, slot);
    let life = WorkerLifeKey {
        worker: worker.clone(),
        born,
    };
    let next = TaskNote {
        attempt,
        checkpoint,
        state: TaskState::Placed(life),
        ..note
    };
    let line = format!(
        "run={run} worker={worker} outcome=placed waited_ms={}",
        context.at.since(definition.accepted_at)
    );
    context.info(LogPart::Plan, line);
    planner.record(task, next, &mut state.planner_lane);
    if entry.phase.is_none() && planner.begun.insert(job) {
        context.push(ControlEffect::Batch(BatchEffect::Observe {
            stage: JobStage::FirstStart,
            queue: definition.queue.clone(),
            span: context.at.since(definition.accepted_at),
        }));
        let record = BatchRecord::phase(job, JobPhase::Running);
        state.planner_lane.push(record, None);
    }
}

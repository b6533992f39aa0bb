//! One round of planning: waiting units in order, each to its place, room made for urgent ones.

use std::cell::OnceCell;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::enact;
use crate::batch::evict;
use crate::batch::evict::EvictionCandidate;
use crate::batch::guarantee;
use crate::batch::job::JobKey;
use crate::batch::job::RunKey;
use crate::batch::job::StepKey;
use crate::batch::job::TaskDemand;
use crate::batch::job::TaskKey;
use crate::batch::life::RunPhase;
use crate::batch::life::RunSlot;
use crate::batch::miss::MissTable;
use crate::batch::overdue;
use crate::batch::placement;
use crate::batch::placement::RackRule;
use crate::batch::placement::WorkerRoom;
use crate::batch::planner::PlannerState;
use crate::batch::room::RoomTable;
use crate::batch::room::UnitView;
use crate::batch::state::BatchState;
use crate::batch::stoppable::StoppableRoom;
use crate::batch::unit;
use crate::batch::unit::UnitPatience;
use crate::batch::unit::WaitingUnit;
use crate::context::StepContext;
use crate::ids::RackName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Longest life of a claim on room that is being made.
const CLAIM_TIME: TimeSpan = TimeSpan(1_500);

/// Longest time that a new planner waits for the lists of all workers.
const LISTING_WAIT: TimeSpan = TimeSpan(250);

/// Time between two rounds while units wait for room.
const BACKLOG_GAP: TimeSpan = TimeSpan(20);

/// Waiting units for which the gap between two rounds grows by 1 ms. A round costs more the more of
/// them wait, and the planner has other things to do.
const UNITS_PER_GAP: usize = 32;

/// Time for which a unit may wait for a better place while most of the room is free.
const IDLE_PATIENCE: TimeSpan = TimeSpan(1_500);

/// A GPU counts as this many cores in the cost of lost work.
const GPU_CORES: u64 = 8;

/// Cost of work that is lost in an urgent run, relative to one of the next priority.
const URGENT_WEIGHT: u64 = 4;

/// Share of the reclaim bound, in tenths, after which an urgent unit takes any place.
const ANY_PLACE_TENTHS: u64 = 7;

/// The decisions of a round.
#[derive(Debug, Default)]
pub struct RoundPlan {
    /// Tasks with the workers that they go to.
    pub placements: Vec<(TaskKey, WorkerName)>,
    /// Runs that have to make room.
    pub evictions: IndexSet<RunKey>,
    /// Workers on which room is kept for a unit.
    pub claims: IndexMap<StepKey, Vec<WorkerName>>,
    /// Urgent units that have waited for long, with a line for the log.
    pub overdue: Vec<(StepKey, String)>,
    /// Number of units that go on waiting.
    pub waiting: usize,
}

/// What the units of one round share.
struct RoundContext<'a> {
    state: &'a BatchState,
    planner: &'a PlannerState,
    at: ClockTime,
    /// Urgent jobs within the guarantees of their teams.
    covered: &'a IndexSet<JobKey>,
    table: RoomTable<'a>,
    misses: MissTable<'a>,
    /// What it costs to stop a member of each gang, once that was asked for.
    gang_costs: OnceCell<IndexMap<StepKey, u64>>,
    /// What urgent units may take from other runs, once that was asked for.
    stoppable: OnceCell<StoppableRoom<'a>>,
    plan: RoundPlan,
}

/// Plans when something has changed.
pub fn run(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let is_current = state.is_view_current(at);
    let Some(planner) = state.planner.as_mut().filter(|_| is_current) else {
        return;
    };
    let is_due = planner.dirty && at >= planner.next_round;
    if state.stopping.is_some() || !is_due || !knows_workers(planner, at) {
        return;
    }
    planner.dirty = false;
    planner
        .claims
        .retain(|_, claim| at.since(claim.since) < CLAIM_TIME);
    let plan = decide(state, at);
    if let Some(planner) = &mut state.planner {
        planner.next_round = at + round_gap(plan.waiting);
    }
    enact::enact(state, plan, context);
}

/// Returns the time until the next round while some units go on waiting.
fn round_gap(waiting: usize) -> TimeSpan {
    if waiting == 0 {
        return TimeSpan(0);
    }
    let longer = u64::try_from(waiting / UNITS_PER_GAP).unwrap_or(u64::MAX);
    BACKLOG_GAP + TimeSpan(longer)
}

/// A planner that has just taken over waits for the workers' lists. Otherwise it would crowd its
/// work onto the few that answered first, and stop other work there to make room.
fn knows_workers(planner: &PlannerState, at: ClockTime) -> bool {
    let has_waited = at.since(planner.since) >= LISTING_WAIT;
    has_waited || (!planner.workers.is_empty() && planner.workers.values().all(|life| life.listed))
}

fn decide(state: &BatchState, at: ClockTime) -> RoundPlan {
    let Some(planner) = &state.planner else {
        return RoundPlan::default();
    };
    let mut units = Vec::new();
    for job in &planner.open_jobs {
        if let Some(entry) = state.view.jobs.get(job) {
            unit::waiting_units(*job, entry, planner, at, &mut units);
        }
    }
    if units.is_empty() {
        return RoundPlan::default();
    }
    let covered = guarantee::covered_jobs(state, planner);
    for unit in &mut units {
        unit.covered = covered.contains(&unit.key.job);
    }
    units.sort_by_key(|unit| unit.rank(at));
    let mut round = RoundContext {
        state,
        planner,
        at,
        covered: &covered,
        table: RoomTable::new(state, planner, at),
        misses: MissTable::default(),
        gang_costs: OnceCell::new(),
        stoppable: OnceCell::new(),
        plan: RoundPlan::default(),
    };
    // A claim on lent accelerators holds nothing back from units within a guarantee.
    let first_lent = units.partition_point(|unit| unit.covered);
    let (within, lent) = units.split_at(first_lent);
    for units in [within, lent] {
        plan_units(&mut round, units);
    }
    round.plan
}

/// Plans units that come before all that are left.
fn plan_units<'a>(round: &mut RoundContext<'a>, units: &[WaitingUnit<'a>]) {
    for (key, claim) in &round.planner.claims {
        if let Some(unit) = units.iter().find(|unit| unit.key == *key) {
            round.table.withhold(&claim.workers, unit.step);
        }
    }
    for unit in units {
        let is_placed = plan_unit(round, unit);
        if !is_placed {
            round.plan.waiting += 1;
            note_overdue(round, unit);
        }
    }
}

/// Places a unit, or makes room for it if it is urgent. Tells whether any task was placed.
fn plan_unit<'a>(round: &mut RoundContext<'a>, unit: &WaitingUnit<'a>) -> bool {
    let planner = round.planner;
    let is_urgent = unit.definition.priority == 0;
    let free = round.table.free_of(&unit.definition.service);
    let has_volume = has_volume(unit, &free, unit.least());
    if !has_volume && (!is_urgent || !may_make_room(round, unit, free)) {
        return false;
    }
    let claim = planner.claims.get(&unit.key);
    if let Some(claim) = claim {
        round.table.lend(&claim.workers, unit.step);
    }
    let has_failures = planner.failed_places.contains_key(&unit.key);
    let may_share = claim.is_none() && !has_failures;
    let patience = patience(round, unit);
    if may_share && round.misses.is_hopeless(unit, patience) {
        return false;
    }
    let mut view = round.table.view(unit);
    view.leave_failures(planner, unit);
    let may_wait = match patience {
        UnitPatience::Full => true,
        UnitPatience::Short => !placement::is_mostly_free(&view.rooms),
        UnitPatience::Ended => false,
    };
    if !is_urgent && may_wait {
        view.leave_reserve(unit.step);
    }
    let before = round.plan.placements.len();
    place_unit(round, unit, &mut view, may_wait);
    for (_, worker) in &round.plan.placements[before..] {
        round.table.place(worker, unit.step);
    }
    if round.plan.placements.len() > before {
        return true;
    }
    if let Some(claim) = claim {
        round.table.withhold(&claim.workers, unit.step);
        return false;
    }
    let has_room = is_urgent && make_room(round, unit, &view);
    if may_share && !has_room {
        round.misses.note(unit, patience);
    }
    false
}

/// Tells whether `count` tasks of a unit take no more than the room, wherever it is.
fn has_volume(unit: &WaitingUnit<'_>, room: &TaskDemand, count: u64) -> bool {
    unit.step.reserved_demand().count_fitting(room) >= count
}

/// Tells whether stops could make enough room for an urgent unit, as far as the sums tell.
fn may_make_room(round: &RoundContext<'_>, unit: &WaitingUnit<'_>, free: TaskDemand) -> bool {
    let stoppable = round
        .stoppable
        .get_or_init(|| StoppableRoom::new(round.planner, round.covered));
    let mut room = free;
    room.add(&stoppable.of(unit));
    has_volume(unit, &room, unit.members.len() as u64)
}

/// Returns how long a unit may go on waiting for a better place.
fn patience(round: &RoundContext<'_>, unit: &WaitingUnit<'_>) -> UnitPatience {
    let at = round.at;
    let urgent_bound = TimeSpan(round.state.settings.reclaim.0 * ANY_PLACE_TENTHS / 10);
    let known_since = unit.ready_at.max(round.planner.since);
    let is_overdue = unit.definition.priority == 0 && at.since(known_since) >= urgent_bound;
    if is_overdue || at >= unit.latest_start() {
        UnitPatience::Ended
    } else if at.since(unit.ready_at) >= IDLE_PATIENCE {
        UnitPatience::Short
    } else {
        UnitPatience::Full
    }
}

/// Describes an urgent unit that has waited for long, once.
fn note_overdue(round: &mut RoundContext<'_>, unit: &WaitingUnit<'_>) {
    let bound = round.state.settings.reclaim;
    let is_known = round.planner.overdue.contains(&unit.key);
    if !is_known && overdue::is_overdue(unit, bound, round.at) {
        let line = overdue::describe(round.state, round.planner, unit, round.at);
        round.plan.overdue.push((unit.key, line));
    }
}

fn place_unit<'a>(
    round: &mut RoundContext<'a>,
    unit: &WaitingUnit<'a>,
    view: &mut UnitView<'a>,
    may_wait: bool,
) {
    let rooms = &mut view.rooms;
    let rule = if may_wait && placement::can_be_near(rooms, unit.step) {
        RackRule::Strict
    } else {
        RackRule::Any
    };
    let plan = &mut round.plan;
    if unit.step.gang {
        if let Some(places) = placement::place_gang(rooms, unit.step, rule) {
            for (index, place) in unit.members.iter().zip(places) {
                take_place(unit, *index, &mut rooms[place], plan);
            }
        }
        return;
    }
    let mut home = home_rack(round.planner, unit);
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
    room.free.subtract(&unit.step.reserved_demand());
    room.same_step += 1;
    let task = TaskKey {
        step: unit.key,
        index,
    };
    plan.placements.push((task, room.worker.clone()));
}

/// Returns the rack where other tasks of a rack-sensitive step run.
fn home_rack(planner: &PlannerState, unit: &WaitingUnit<'_>) -> Option<RackName> {
    if !unit.step.rack_sensitive {
        return None;
    }
    let mut lives = planner.workers.values();
    let life = lives.find(|life| life.runs_of(&unit.key) > 0)?;
    life.entry.as_ref().map(|entry| entry.rack.clone())
}

/// Chooses runs to stop for an urgent unit. Tells whether that makes enough room.
fn make_room<'a>(
    round: &mut RoundContext<'a>,
    unit: &WaitingUnit<'_>,
    view: &UnitView<'a>,
) -> bool {
    let (planner, at) = (round.planner, round.at);
    let gangs = round.gang_costs.get_or_init(|| gang_costs(planner, at));
    let mut candidates = Vec::new();
    for (place, life) in round.table.lives(view) {
        for (run, slot) in &life.runs {
            let is_lent = unit.covered && !round.covered.contains(&run.task.step.job);
            let is_lower = is_lent || slot.priority > unit.definition.priority;
            let is_stoppable = matches!(slot.phase, RunPhase::Running | RunPhase::Sent);
            let is_stopping = slot.evicted || round.plan.evictions.contains(run);
            if is_lower && is_stoppable && !is_stopping {
                let gang_cost = gangs.get(&run.task.step).copied();
                candidates.push(EvictionCandidate {
                    place,
                    run: *run,
                    demand: slot.demand,
                    gang: slot.gang,
                    cost: gang_cost.unwrap_or_else(|| lost_work(slot, at)),
                });
            }
        }
    }
    let count = unit.members.len() as u64;
    let Some(choice) = evict::choose(&view.rooms, &candidates, unit.step, count) else {
        return false;
    };
    let places = choice.places.iter();
    let workers = places.map(|&place| view.rooms[place].worker.clone());
    let workers: Vec<WorkerName> = workers.collect();
    round.table.withhold(&workers, unit.step);
    round.plan.claims.insert(unit.key, workers);
    round.plan.evictions.extend(choice.runs);
    true
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
    let cost = cores * seconds / saved;
    match u64::from(slot.priority) {
        0 => cost * URGENT_WEIGHT,
        priority => cost / priority,
    }
}

//! One round of planning: waiting units in order, each to its place, room made for urgent ones.

use std::cell::OnceCell;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::apply_plan;
use crate::batch::capacity::CapacityTable;
use crate::batch::capacity::UnitView;
use crate::batch::evict;
use crate::batch::evict::EvictionCandidate;
use crate::batch::guarantee;
use crate::batch::infeasible::InfeasibleShapes;
use crate::batch::job::JobKey;
use crate::batch::job::RunKey;
use crate::batch::job::StepKey;
use crate::batch::job::TaskDemand;
use crate::batch::job::TaskKey;
use crate::batch::overdue;
use crate::batch::placement;
use crate::batch::placement::CandidateWorker;
use crate::batch::placement::RackRule;
use crate::batch::planner::PlannerState;
use crate::batch::preemptible::PreemptibleCapacity;
use crate::batch::session::RunPhase;
use crate::batch::session::RunSlot;
use crate::batch::state::BatchState;
use crate::batch::unit;
use crate::batch::unit::LocalityWait;
use crate::batch::unit::WaitingUnit;
use crate::context::StepContext;
use crate::ids::RackName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Longest life of a claim on room that is being made.
const RESERVATION_TTL: TimeSpan = TimeSpan(1_500);

/// Longest time that a new planner waits for the lists of all workers.
const WORKER_LIST_WAIT: TimeSpan = TimeSpan(250);

/// Time between two rounds while units wait for room.
const BACKLOG_INTERVAL: TimeSpan = TimeSpan(20);

/// Waiting units for which the gap between two rounds grows by 1 ms. A round costs more the more of
/// them wait, and the planner has other things to do.
const UNITS_PER_INTERVAL_MS: usize = 32;

/// Time for which a unit may wait for a better place while most of the room is free.
const MAX_IDLE_LOCALITY_WAIT: TimeSpan = TimeSpan(1_500);

/// A GPU counts as this many cores in the cost of lost work.
const CORES_PER_GPU: u64 = 8;

/// Cost of work that is lost in an urgent run, relative to one of the next priority.
const URGENT_WEIGHT: u64 = 4;

/// Share of the reclaim bound, in tenths, after which an urgent unit takes any place.
const LOCALITY_TENTHS: u64 = 7;

/// The decisions of a round.
#[derive(Debug, Default)]
pub struct RoundPlan {
    /// Tasks with the workers that they go to.
    pub placements: Vec<(TaskKey, WorkerName)>,
    /// Runs that have to make room.
    pub evictions: IndexSet<RunKey>,
    /// Workers on which room is kept for a unit.
    pub reservations: IndexMap<StepKey, Vec<WorkerName>>,
    /// Urgent units that have waited for long, with a line for the log.
    pub overdue_units: Vec<(StepKey, String)>,
    /// Number of units that go on waiting.
    pub waiting_count: usize,
}

/// What the units of one round share.
struct RoundContext<'a> {
    state: &'a BatchState,
    planner: &'a PlannerState,
    at: ClockTime,
    /// Urgent jobs within the guarantees of their teams.
    guaranteed_jobs: &'a IndexSet<JobKey>,
    table: CapacityTable<'a>,
    infeasible_shapes: InfeasibleShapes<'a>,
    /// What it costs to stop a member of each gang, once that was asked for.
    gang_costs: OnceCell<IndexMap<StepKey, u64>>,
    /// What urgent units may take from other runs, once that was asked for.
    preemptible: OnceCell<PreemptibleCapacity<'a>>,
    plan: RoundPlan,
}

/// Plans when something has changed.
pub fn run(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let is_current = state.is_view_current(at);
    let Some(planner) = state.planner.as_mut().filter(|_| is_current) else {
        return;
    };
    let is_due = planner.is_dirty && at >= planner.next_round_at;
    if state.stopping.is_some() || !is_due || !has_worker_lists(planner, at) {
        return;
    }
    planner.is_dirty = false;
    planner
        .reservations
        .retain(|_, reservation| at.since(reservation.reserved_at) < RESERVATION_TTL);
    let plan = plan_round(state, at);
    if let Some(planner) = &mut state.planner {
        planner.next_round_at = at + round_interval(plan.waiting_count);
    }
    apply_plan::apply_plan(state, plan, context);
}

/// Returns the time until the next round while some units go on waiting.
fn round_interval(waiting_count: usize) -> TimeSpan {
    if waiting_count == 0 {
        return TimeSpan(0);
    }
    let extra_ms = u64::try_from(waiting_count / UNITS_PER_INTERVAL_MS).unwrap_or(u64::MAX);
    BACKLOG_INTERVAL + TimeSpan(extra_ms)
}

/// A planner that has just taken over waits for the workers' lists. Otherwise it would crowd its
/// work onto the few that answered first, and stop other work there to make room.
fn has_worker_lists(planner: &PlannerState, at: ClockTime) -> bool {
    let is_wait_over = at.since(planner.term_began_at) >= WORKER_LIST_WAIT;
    is_wait_over
        || (!planner.workers.is_empty()
            && planner.workers.values().all(|session| session.has_listed))
}

fn plan_round(state: &BatchState, at: ClockTime) -> RoundPlan {
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
    let guaranteed_jobs = guarantee::guaranteed_jobs(state, planner);
    for unit in &mut units {
        unit.is_guaranteed = guaranteed_jobs.contains(&unit.key.job);
    }
    units.sort_by_key(|unit| unit.rank(at));
    let mut round = RoundContext {
        state,
        planner,
        at,
        guaranteed_jobs: &guaranteed_jobs,
        table: CapacityTable::new(state, planner, at),
        infeasible_shapes: InfeasibleShapes::default(),
        gang_costs: OnceCell::new(),
        preemptible: OnceCell::new(),
        plan: RoundPlan::default(),
    };
    // A claim on lent accelerators holds nothing back from units within a guarantee.
    let first_borrowing = units.partition_point(|unit| unit.is_guaranteed);
    let (guaranteed, borrowing) = units.split_at(first_borrowing);
    for units in [guaranteed, borrowing] {
        plan_units(&mut round, units);
    }
    round.plan
}

/// Plans units that come before all that are left.
fn plan_units<'a>(round: &mut RoundContext<'a>, units: &[WaitingUnit<'a>]) {
    for (key, reservation) in &round.planner.reservations {
        if let Some(unit) = units.iter().find(|unit| unit.key == *key) {
            round.table.reserve(&reservation.workers, unit.step);
        }
    }
    for unit in units {
        let is_placed = plan_unit(round, unit);
        if !is_placed {
            round.plan.waiting_count += 1;
            report_overdue(round, unit);
        }
    }
}

/// Places a unit, or makes room for it if it is urgent. Tells whether any task was placed.
fn plan_unit<'a>(round: &mut RoundContext<'a>, unit: &WaitingUnit<'a>) -> bool {
    let planner = round.planner;
    let is_urgent = unit.definition.priority == 0;
    let free = round.table.free_in_service(&unit.definition.service);
    let is_possible = has_total_capacity(unit, &free, unit.min_tasks());
    if !is_possible && (!is_urgent || !can_preempt_enough(round, unit, free)) {
        return false;
    }
    let reservation = planner.reservations.get(&unit.key);
    if let Some(reservation) = reservation {
        round.table.release(&reservation.workers, unit.step);
    }
    let has_failures = planner.failed_workers.contains_key(&unit.key);
    let is_cacheable = reservation.is_none() && !has_failures;
    let locality_wait = locality_wait(round, unit);
    if is_cacheable && round.infeasible_shapes.contains(unit, locality_wait) {
        return false;
    }
    let mut view = round.table.view(unit);
    view.exclude_failed_workers(planner, unit);
    let can_wait = match locality_wait {
        LocalityWait::Unlimited => true,
        LocalityWait::WhileBusy => !placement::is_mostly_free(&view.workers),
        LocalityWait::Expired => false,
    };
    if !is_urgent && can_wait {
        view.exclude_headroom(unit.step);
    }
    let before = round.plan.placements.len();
    place_unit(round, unit, &mut view, can_wait);
    for (_, worker) in &round.plan.placements[before..] {
        round.table.allocate(worker, unit.step);
    }
    if round.plan.placements.len() > before {
        return true;
    }
    if let Some(reservation) = reservation {
        round.table.reserve(&reservation.workers, unit.step);
        return false;
    }
    let is_preempting = is_urgent && plan_preemption(round, unit, &view);
    if is_cacheable && !is_preempting {
        round.infeasible_shapes.insert(unit, locality_wait);
    }
    false
}

/// Tells whether `count` tasks of a unit take no more than the room, wherever it is.
fn has_total_capacity(unit: &WaitingUnit<'_>, capacity: &TaskDemand, count: u64) -> bool {
    unit.step.reserved_demand().count_fitting(capacity) >= count
}

/// Tells whether stops could make enough room for an urgent unit, as far as the sums tell.
fn can_preempt_enough(round: &RoundContext<'_>, unit: &WaitingUnit<'_>, free: TaskDemand) -> bool {
    let preemptible = round
        .preemptible
        .get_or_init(|| PreemptibleCapacity::new(round.planner, round.guaranteed_jobs));
    let mut capacity = free;
    capacity.add(&preemptible.available_to(unit));
    has_total_capacity(unit, &capacity, unit.members.len() as u64)
}

/// Returns how long a unit may go on waiting for a better place.
fn locality_wait(round: &RoundContext<'_>, unit: &WaitingUnit<'_>) -> LocalityWait {
    let at = round.at;
    let urgent_bound = TimeSpan(round.state.settings.reclaim.0 * LOCALITY_TENTHS / 10);
    let known_since = unit.ready_at.max(round.planner.term_began_at);
    let is_overdue = unit.definition.priority == 0 && at.since(known_since) >= urgent_bound;
    if is_overdue || at >= unit.latest_start() {
        LocalityWait::Expired
    } else if at.since(unit.ready_at) >= MAX_IDLE_LOCALITY_WAIT {
        LocalityWait::WhileBusy
    } else {
        LocalityWait::Unlimited
    }
}

/// Describes an urgent unit that has waited for long, once.
fn report_overdue(round: &mut RoundContext<'_>, unit: &WaitingUnit<'_>) {
    let bound = round.state.settings.reclaim;
    let is_reported = round.planner.overdue_units.contains(&unit.key);
    if !is_reported && overdue::is_overdue(unit, bound, round.at) {
        let line = overdue::describe(round.state, round.planner, unit, round.at);
        round.plan.overdue_units.push((unit.key, line));
    }
}

fn place_unit<'a>(
    round: &mut RoundContext<'a>,
    unit: &WaitingUnit<'a>,
    view: &mut UnitView<'a>,
    can_wait: bool,
) {
    let workers = &mut view.workers;
    let rule = if can_wait && placement::can_run_local(workers, unit.step) {
        RackRule::Strict
    } else {
        RackRule::Any
    };
    let plan = &mut round.plan;
    if unit.step.gang {
        if let Some(worker_indexes) = placement::place_gang(workers, unit.step, rule) {
            for (index, worker_index) in unit.members.iter().zip(worker_indexes) {
                add_placement(unit, *index, &mut workers[worker_index], plan);
            }
        }
        return;
    }
    let mut sibling_rack = sibling_rack(round.planner, unit);
    for member in &unit.members {
        let index = placement::place_task(workers, unit.step, sibling_rack.as_ref(), rule);
        let Some(index) = index else { break };
        if unit.step.rack_sensitive && sibling_rack.is_none() {
            sibling_rack = Some(workers[index].rack.clone());
        }
        add_placement(unit, *member, &mut workers[index], plan);
    }
}

fn add_placement(
    unit: &WaitingUnit<'_>,
    index: u32,
    worker: &mut CandidateWorker<'_>,
    plan: &mut RoundPlan,
) {
    worker.free.subtract(&unit.step.reserved_demand());
    worker.same_step += 1;
    let task = TaskKey {
        step: unit.key,
        index,
    };
    plan.placements.push((task, worker.name.clone()));
}

/// Returns the rack where other tasks of a rack-sensitive step run.
fn sibling_rack(planner: &PlannerState, unit: &WaitingUnit<'_>) -> Option<RackName> {
    if !unit.step.rack_sensitive {
        return None;
    }
    let mut sessions = planner.workers.values();
    let session = sessions.find(|session| session.run_count(&unit.key) > 0)?;
    session.entry.as_ref().map(|entry| entry.rack.clone())
}

/// Chooses runs to stop for an urgent unit. Tells whether that makes enough room.
fn plan_preemption<'a>(
    round: &mut RoundContext<'a>,
    unit: &WaitingUnit<'_>,
    view: &UnitView<'a>,
) -> bool {
    let (planner, at) = (round.planner, round.at);
    let gangs = round.gang_costs.get_or_init(|| gang_costs(planner, at));
    let mut candidates = Vec::new();
    for (worker_index, session) in round.table.sessions(view) {
        for (run, slot) in &session.runs {
            let is_borrowing =
                unit.is_guaranteed && !round.guaranteed_jobs.contains(&run.task.step.job);
            let is_lower = is_borrowing || slot.priority > unit.definition.priority;
            let is_preemptible = matches!(slot.phase, RunPhase::Running | RunPhase::Starting);
            let is_stopping = slot.is_evicted || round.plan.evictions.contains(run);
            if is_lower && is_preemptible && !is_stopping {
                let gang_cost = gangs.get(&run.task.step).copied();
                candidates.push(EvictionCandidate {
                    worker_index,
                    run: *run,
                    demand: slot.demand,
                    is_gang_member: slot.is_gang_member,
                    cost: gang_cost.unwrap_or_else(|| lost_work(slot, at)),
                });
            }
        }
    }
    let count = unit.members.len() as u64;
    let Some(eviction) = evict::choose(&view.workers, &candidates, unit.step, count) else {
        return false;
    };
    let indexes = eviction.worker_indexes.iter();
    let workers = indexes.map(|&index| view.workers[index].name.clone());
    let workers: Vec<WorkerName> = workers.collect();
    round.table.reserve(&workers, unit.step);
    round.plan.reservations.insert(unit.key, workers);
    round.plan.evictions.extend(eviction.runs);
    true
}

/// Returns what it costs to stop a member of each gang, which stops the whole gang.
fn gang_costs(planner: &PlannerState, at: ClockTime) -> IndexMap<StepKey, u64> {
    let mut costs = IndexMap::new();
    for session in planner.workers.values() {
        for (run, slot) in session.runs.iter().filter(|(_, slot)| slot.is_gang_member) {
            *costs.entry(run.task.step).or_default() += lost_work(slot, at);
        }
    }
    costs
}

/// Returns the work that a stop loses, in core-seconds, with a floor for the restart.
fn lost_work(slot: &RunSlot, at: ClockTime) -> u64 {
    let cores = slot.demand.cpu / 1_000 + slot.demand.gpu * CORES_PER_GPU;
    let seconds = at.since(slot.placed_at).0 / 1_000 + 1;
    let saved = if slot.checkpoint.is_empty() { 1 } else { 4 };
    let cost = cores * seconds / saved;
    match u64::from(slot.priority) {
        0 => cost * URGENT_WEIGHT,
        priority => cost / priority,
    }
}

//! One scheduling round: places waiting units in order and preempts other runs for urgent ones.

use std::cell::OnceCell;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::account::AccountTable;
use crate::batch::apply_plan;
use crate::batch::cap_preemption;
use crate::batch::capacity::CapacityReservation;
use crate::batch::capacity::CapacityTable;
use crate::batch::capacity::UnitView;
use crate::batch::forecast::RunForecasts;
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
use crate::batch::preemption;
use crate::batch::run_time;
use crate::batch::share::ShareQueue;
use crate::batch::share::ShareTable;
use crate::batch::state::BatchState;
use crate::batch::suitability::RequiredSpeed;
use crate::batch::unit;
use crate::batch::unit::LocalityWait;
use crate::batch::unit::WaitingUnit;
use crate::context::StepContext;
use crate::ids::RackName;
use crate::ids::TeamName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Longest time for which a new planner waits for the run lists of all workers.
const WORKER_LIST_WAIT: TimeSpan = TimeSpan(250);

/// Base interval between two rounds while units are waiting.
const BACKLOG_INTERVAL: TimeSpan = TimeSpan(20);

/// Number of workers that lengthen the interval between two rounds by 1 ms. Each round builds a
/// table of all workers.
const WORKERS_PER_INTERVAL_MS: usize = 250;

/// Number of waiting units that lengthen the interval between two rounds by 1 ms. The cost of a
/// round grows with them, and the control thread has other work.
const UNITS_PER_INTERVAL_MS: usize = 32;

/// Longest time for which a unit waits for its preferred workers while most of the capacity is
/// free.
const MAX_IDLE_LOCALITY_WAIT: TimeSpan = TimeSpan(1_500);

/// Share of the reclaim bound, in tenths, after which an urgent unit accepts any worker.
const LOCALITY_TENTHS: u64 = 7;

/// The decisions of a scheduling round.
#[derive(Debug, Default)]
pub struct RoundPlan {
    /// Placed tasks with their workers.
    pub placements: Vec<(TaskKey, WorkerName)>,
    /// Runs to stop, so that reserved capacity becomes free.
    pub evictions: IndexSet<RunKey>,
    /// Capacity that is reserved for urgent units.
    pub reservations: IndexMap<StepKey, CapacityReservation>,
    /// Urgent units that have become overdue, each with its log line.
    pub overdue_units: Vec<(StepKey, String)>,
    /// Number of units that could not be placed.
    pub waiting_count: usize,
    /// Number of the evictions that make room under a cap.
    pub cap_stops: u64,
    /// The first unit of each team that its cap holds back, with its log line.
    pub capped_units: IndexMap<TeamName, String>,
    /// Teams that used less than half of their cap before the round.
    pub low_teams: IndexSet<TeamName>,
    /// Jobs without a task to place, now or at a later time that is known.
    pub settled_jobs: Vec<JobKey>,
}

/// State that the units of one round share.
pub struct RoundContext<'a> {
    /// State of the daemon.
    pub state: &'a BatchState,
    /// State of the planner.
    pub planner: &'a PlannerState,
    /// Time of the round.
    pub at: ClockTime,
    /// Urgent jobs within the guarantees of their teams.
    pub guaranteed_jobs: &'a IndexSet<JobKey>,
    /// Workers with their free capacity.
    pub table: CapacityTable<'a>,
    /// Running work of the teams and their caps.
    pub accounts: AccountTable<'a>,
    /// Shares of the teams, if any team has a weight.
    pub shares: Option<ShareTable<'a>>,
    infeasible_shapes: InfeasibleShapes<'a>,
    /// Predicted ends of the runs and costs of their stops, computed on first use.
    pub forecasts: OnceCell<RunForecasts<'a>>,
    /// Capacity that urgent units can preempt, computed on first use.
    pub preemptible: OnceCell<PreemptibleCapacity<'a>>,
    /// Decisions so far.
    pub plan: RoundPlan,
}

/// Runs a scheduling round when one is due: the state has changed, the interval since the last
/// round has passed, and the planner may write.
pub fn run(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let is_current = state.is_view_current(at);
    let is_configured = is_configured(state, at);
    let Some(planner) = state
        .planner
        .as_mut()
        .filter(|_| is_current && is_configured)
    else {
        return;
    };
    let is_due = planner.is_dirty && at >= planner.next_round_at;
    if state.stopping.is_some() || !is_due || !has_worker_lists(planner, at) {
        return;
    }
    planner.is_dirty = false;
    run_time::refresh(planner, at);
    planner
        .reservations
        .retain(|_, reservation| at < reservation.expires_at);
    let plan = plan_round(state, at);
    if let Some(planner) = &mut state.planner {
        let interval = round_interval(plan.waiting_count, planner.workers.len());
        planner.next_round_at = at + interval;
        planner
            .low_usage_since
            .retain(|team, _| plan.low_teams.contains(team));
        for team in &plan.low_teams {
            planner.low_usage_since.entry(team.clone()).or_insert(at);
        }
        for job in &plan.settled_jobs {
            planner.waiting_jobs.swap_remove(job);
        }
    }
    apply_plan::apply_plan(state, plan, context);
}

/// Returns whether the caps of the teams are known. A new process may be the planner before it has
/// read the configuration, and a version that has not been confirmed for long may have been
/// replaced by one with a lower cap.
fn is_configured(state: &BatchState, at: ClockTime) -> bool {
    state.catalog.version > 0 && (!state.catalog.has_caps() || state.is_config_fresh(at))
}

/// Returns the interval until the next round, which covers the cost of a round.
fn round_interval(waiting_count: usize, worker_count: usize) -> TimeSpan {
    let to_span = |ms: usize| TimeSpan(u64::try_from(ms).unwrap_or(u64::MAX));
    let interval = to_span(worker_count / WORKERS_PER_INTERVAL_MS);
    if waiting_count == 0 {
        return interval;
    }
    let extra = to_span(waiting_count / UNITS_PER_INTERVAL_MS);
    interval + BACKLOG_INTERVAL + extra
}

/// Returns whether all workers have listed their runs, or the wait for that is over.
///
/// Without the lists, a planner that has just taken over would place all its work on the few
/// workers that answered first, and stop other work there to free capacity.
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
    let mut settled_jobs = Vec::new();
    for job in &planner.waiting_jobs {
        let entry = state.view.jobs.get(job);
        let is_waiting = entry
            .is_some_and(|entry| unit::collect_waiting_units(*job, entry, planner, at, &mut units));
        if !is_waiting {
            settled_jobs.push(*job);
        }
    }
    if units.is_empty() {
        return RoundPlan {
            settled_jobs,
            ..RoundPlan::default()
        };
    }
    let guaranteed_jobs = guarantee::guaranteed_jobs(state, planner);
    for unit in &mut units {
        unit.is_guaranteed = guaranteed_jobs.contains(&unit.key.job);
    }
    units.sort_by_cached_key(|unit| unit.rank(at));
    let mut round = RoundContext {
        state,
        planner,
        at,
        guaranteed_jobs: &guaranteed_jobs,
        table: CapacityTable::new(state, planner, at),
        accounts: AccountTable::new(state, planner),
        shares: ShareTable::new(state, planner),
        infeasible_shapes: InfeasibleShapes::default(),
        forecasts: OnceCell::new(),
        preemptible: OnceCell::new(),
        plan: RoundPlan {
            settled_jobs,
            ..RoundPlan::default()
        },
    };
    round.plan.low_teams = round.accounts.low_teams();
    // Units within a guarantee are planned before the reservations of borrowing units apply.
    let first_borrowing = units.partition_point(|unit| unit.is_guaranteed);
    let (guaranteed, borrowing) = units.split_at(first_borrowing);
    for units in [guaranteed, borrowing] {
        plan_units(&mut round, units);
    }
    round.plan
}

/// Plans a group of units. Later groups receive only the remaining capacity.
fn plan_units<'a>(round: &mut RoundContext<'a>, units: &[WaitingUnit<'a>]) {
    for (key, reservation) in &round.planner.reservations {
        if let Some(unit) = units.iter().find(|unit| unit.key == *key) {
            round.table.reserve(&reservation.workers, unit.step);
        }
    }
    cap_preemption::reserve_for_gangs(round, units);
    let is_borrowing = units.first().is_some_and(|unit| !unit.is_guaranteed);
    if round.shares.is_none() || !is_borrowing {
        for unit in units {
            plan_or_count(round, unit);
        }
        return;
    }
    let mut queue = ShareQueue::new(units, &round.planner.job_rates);
    while let Some(unit) = round.shares.as_ref().and_then(|shares| queue.take(shares)) {
        plan_or_count(round, unit);
    }
}

/// Plans a unit, and counts it as waiting if none of its tasks was placed.
fn plan_or_count<'a>(round: &mut RoundContext<'a>, unit: &WaitingUnit<'a>) {
    if !plan_capped_unit(round, unit) {
        round.plan.waiting_count += 1;
        report_overdue(round, unit);
    }
}

/// Plans the tasks of a unit that fit below the cap of its team. Returns whether any was placed.
fn plan_capped_unit<'a>(round: &mut RoundContext<'a>, unit: &WaitingUnit<'a>) -> bool {
    let permitted = round.accounts.max_tasks(unit, round.at);
    let count = unit.members.len() as u64;
    let before = round.plan.placements.len();
    if permitted < unit.min_tasks() {
        cap_preemption::report(round, unit);
    }
    if permitted >= count {
        plan_unit(round, unit);
    } else if permitted >= unit.min_tasks() {
        let mut reduced = unit.clone();
        reduced
            .members
            .truncate(usize::try_from(permitted).unwrap_or(usize::MAX));
        plan_unit(round, &reduced);
    }
    let placed = round.plan.placements.len() - before;
    if unit.step.gang && permitted >= count && placed == 0 {
        round.accounts.release_gang(unit);
    }
    let is_short = placed < unit.members.len() && unit.is_guaranteed;
    if is_short && cap_preemption::is_limited(round, unit) {
        let mut rest = unit.clone();
        rest.members.drain(..placed);
        cap_preemption::plan(round, &rest, permitted.saturating_sub(placed as u64));
    }
    placed > 0
}

/// Places a unit, or plans a preemption if the unit is urgent. Returns whether any task was placed.
fn plan_unit<'a>(round: &mut RoundContext<'a>, unit: &WaitingUnit<'a>) -> bool {
    let planner = round.planner;
    let is_urgent = unit.definition.priority == 0;
    let free = round.table.free_in_service(&unit.definition.service);
    let is_possible = has_total_capacity(unit, &free, unit.min_tasks());
    if !is_possible && (!is_urgent || !preemption::can_free_enough(round, unit, free)) {
        return false;
    }
    let reservation = planner.reservations.get(&unit.key);
    if let Some(reservation) = reservation {
        round.table.release(&reservation.workers, unit.step);
    }
    let has_failures = planner.failed_workers.contains_key(&unit.key);
    let is_cacheable = reservation.is_none() && !has_failures;
    let locality_wait = locality_wait(round, unit);
    if is_cacheable
        && round
            .infeasible_shapes
            .contains(unit, locality_wait, round.at)
    {
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
    let placed = round.plan.placements.len() - before;
    round.accounts.charge(unit, placed as u64);
    if let Some(shares) = &mut round.shares {
        shares.charge(unit, placed as u64);
    }
    if round.plan.placements.len() > before {
        return true;
    }
    if let Some(reservation) = reservation {
        round.table.reserve(&reservation.workers, unit.step);
        return false;
    }
    let is_preempting = is_urgent && preemption::plan(round, unit, &view);
    // The plan of a unit within its guarantee depends on how long it has waited.
    if is_cacheable && !is_preempting && !unit.is_guaranteed {
        let at = round.at;
        round.infeasible_shapes.insert(unit, locality_wait, at);
    }
    false
}

/// Returns whether `count` tasks of a unit fit into the total capacity, ignoring how it is spread
/// over workers.
pub fn has_total_capacity(unit: &WaitingUnit<'_>, capacity: &TaskDemand, count: u64) -> bool {
    unit.step.reserved_demand().count_fitting(capacity) >= count
}

/// Returns how long a unit still waits for its preferred workers.
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

/// Adds the log line of an urgent unit that has become overdue, once per term.
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
    let required = RequiredSpeed::new(unit, round.at);
    let plan = &mut round.plan;
    if unit.step.gang {
        let worker_indexes = placement::place_gang(workers, unit.step, rule, required);
        if let Some(worker_indexes) = worker_indexes {
            for (index, worker_index) in unit.members.iter().zip(worker_indexes) {
                add_placement(unit, *index, &mut workers[worker_index], plan);
            }
        }
        return;
    }
    let mut sibling_rack = sibling_rack(round.planner, unit);
    for member in &unit.members {
        let index =
            placement::place_task(workers, unit.step, sibling_rack.as_ref(), rule, required);
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
    worker.step_task_count += 1;
    let task = TaskKey {
        step: unit.key,
        index,
    };
    plan.placements.push((task, worker.name.clone()));
}

/// Returns the rack on which other tasks of a rack-sensitive step run.
fn sibling_rack(planner: &PlannerState, unit: &WaitingUnit<'_>) -> Option<RackName> {
    if !unit.step.rack_sensitive {
        return None;
    }
    let mut sessions = planner.workers.values();
    let session = sessions.find(|session| session.run_count(&unit.key) > 0)?;
    session.entry.as_ref().map(|entry| entry.rack.clone())
}

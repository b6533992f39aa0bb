//! Preemption: which runs are stopped for an urgent unit that does not fit, and which ends it waits
//! for instead.
//!
//! Answers bursts of urgent gangs while all capacity is in use. Many runs end by themselves within
//! the time that an urgent unit has, so most stops save no time and lose the work of their runs.

use crate::batch::capacity::CapacityReservation;
use crate::batch::capacity::UnitView;
use crate::batch::evict;
use crate::batch::evict::EvictionCandidate;
use crate::batch::forecast;
use crate::batch::forecast::RunForecast;
use crate::batch::forecast::RunForecasts;
use crate::batch::forecast::STOP_TIME;
use crate::batch::job::StepKey;
use crate::batch::job::TaskDemand;
use crate::batch::preemptible::PreemptibleCapacity;
use crate::batch::round;
use crate::batch::round::RoundContext;
use crate::batch::unit::WaitingUnit;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Weight of urgent work against other work, as a loss and as a gain.
const URGENT_WEIGHT: u64 = 4;

/// Time after which a reservation with stops expires. Its unit then makes another plan, because a
/// worker has not carried out a stop.
const STOP_RESERVATION_TTL: TimeSpan = TimeSpan(1_500);

/// Time after the last predicted end at which a reservation without stops expires.
const AWAIT_SLACK: TimeSpan = TimeSpan(100);

/// Divisor of the time to the latest start of a unit, which gives the time for which it waits for
/// ends.
const AWAIT_SLACK_DIVISOR: u64 = 3;

/// Share of the reclaim bound, in tenths, for which a unit within its guarantee waits for ends. The
/// rest is left for stops that turn out to be needed.
const AWAIT_TENTHS: u64 = 4;

/// Share of the reclaim bound, in tenths, after which a unit within its guarantee gives up a plan
/// with stops that has not freed enough, so that another one is in time.
const RETRY_TENTHS: u64 = 6;

/// Returns whether stopping runs could free enough total capacity for an urgent unit.
#[must_use]
pub fn can_free_enough(round: &RoundContext<'_>, unit: &WaitingUnit<'_>, free: TaskDemand) -> bool {
    let preemptible = round
        .preemptible
        .get_or_init(|| PreemptibleCapacity::new(round.planner, round.guaranteed_jobs));
    let mut capacity = free;
    capacity.add(&preemptible.available_to(unit));
    round::has_total_capacity(unit, &capacity, unit.members.len() as u64)
}

/// Chooses runs to stop or to wait for, so that an urgent unit fits, and reserves the capacity.
/// Returns whether there is such a choice and its gain is at least its cost.
pub fn plan<'a>(round: &mut RoundContext<'a>, unit: &WaitingUnit<'_>, view: &UnitView<'a>) -> bool {
    let (state, planner, at) = (round.state, round.planner, round.at);
    // A borrowing unit that is late gains nothing by stops.
    if !unit.is_guaranteed && at >= unit.latest_start() {
        return false;
    }
    let reclaim = state.settings.reclaim;
    let start_limit = start_limit(unit, reclaim, at);
    // A run that hangs just before its end is predicted to end soon at each look.
    let may_await = !unit.is_guaranteed || at < unit.ready_at + await_limit(reclaim);
    let forecasts = round
        .forecasts
        .get_or_init(|| RunForecasts::new(state, planner, at));
    let mut workers = view.workers.clone();
    let mut candidates = Vec::new();
    for (worker_index, worker) in workers.iter_mut().enumerate() {
        let mut freed = TaskDemand::default();
        let first_candidate = candidates.len();
        for forecast in forecasts.on_worker(worker.name) {
            let is_stopping = round.plan.evictions.contains(&forecast.run);
            let can_await = may_await || !forecast.can_stop;
            let ends_in_time = forecast.ends_at.is_some_and(|end| end <= start_limit);
            if is_stopping || (ends_in_time && can_await) {
                freed.add(&forecast.demand);
            } else if forecast.can_stop && may_stop(round, unit, forecast) {
                candidates.push(candidate(worker_index, forecast));
            }
        }
        let unreserved = round.table.unreserved(view, worker_index, &freed);
        if unreserved.is_none() {
            candidates.truncate(first_candidate);
        }
        worker.free = unreserved.unwrap_or_default();
    }
    let count = unit.members.len() as u64;
    let Some(eviction) = evict::choose(&workers, &candidates, unit.step, count) else {
        return false;
    };
    if !unit.is_guaranteed && eviction.cost > gain(unit) {
        return false;
    }
    let indexes = eviction.worker_indexes.iter();
    let names: Vec<WorkerName> = indexes.map(|&index| workers[index].name.clone()).collect();
    round.table.reserve(&names, unit.step);
    let expires_at = if eviction.runs.is_empty() {
        start_limit + AWAIT_SLACK
    } else {
        stop_expiry(unit, reclaim, start_limit, at)
    };
    let reservation = CapacityReservation {
        expires_at,
        workers: names,
        stopped_runs: eviction.runs.len() as u64,
        lost_work: eviction.cost,
    };
    round.plan.reservations.insert(unit.key, reservation);
    round.plan.evictions.extend(eviction.runs);
    true
}

/// Returns the time up to which a unit waits for runs that end by themselves.
///
/// It waits for a third of the time to its latest start. The rest is kept because the declared run
/// time can be twice the actual one, and because stops that turn out to be needed take time. A unit
/// for which that time is over waits as long as a stop takes.
#[must_use]
pub fn start_limit(unit: &WaitingUnit<'_>, reclaim: TimeSpan, at: ClockTime) -> ClockTime {
    let slack = unit.latest_start().since(unit.ready_at);
    let mut limit = unit.ready_at + TimeSpan(slack.0 / AWAIT_SLACK_DIVISOR);
    if unit.is_guaranteed {
        limit = limit.min(unit.ready_at + await_limit(reclaim));
    }
    limit.max(at + STOP_TIME)
}

/// Returns the time for which a unit within its guarantee waits for runs that end by themselves.
const fn await_limit(reclaim: TimeSpan) -> TimeSpan {
    TimeSpan(reclaim.0 * AWAIT_TENTHS / 10)
}

/// Returns when a plan with stops expires.
fn stop_expiry(
    unit: &WaitingUnit<'_>,
    reclaim: TimeSpan,
    start_limit: ClockTime,
    at: ClockTime,
) -> ClockTime {
    let expires_at = at + STOP_RESERVATION_TTL;
    if !unit.is_guaranteed {
        return expires_at;
    }
    let retry_at = unit.ready_at + TimeSpan(reclaim.0 * RETRY_TENTHS / 10);
    expires_at.min(retry_at.max(start_limit + STOP_TIME))
}

/// Returns whether a unit is entitled to stop a run: one of lower priority or, for a unit within
/// its guarantee, one of a job beyond the guarantee of its team.
fn may_stop(round: &RoundContext<'_>, unit: &WaitingUnit<'_>, forecast: &RunForecast) -> bool {
    let is_guaranteed = || round.guaranteed_jobs.contains(&forecast.run.task.step.job);
    forecast.priority > unit.definition.priority || (unit.is_guaranteed && !is_guaranteed())
}

fn candidate(worker_index: usize, forecast: &RunForecast) -> EvictionCandidate {
    let weight = if forecast.priority == 0 {
        URGENT_WEIGHT
    } else {
        1
    };
    EvictionCandidate {
        worker_index,
        run: forecast.run,
        demand: forecast.demand,
        is_gang_member: forecast.is_gang_member,
        cost: forecast.lost_work * weight,
    }
}

/// Returns the gain of an urgent unit that starts in time, in weighted core-seconds.
fn gain(unit: &WaitingUnit<'_>) -> u64 {
    let task = forecast::core_seconds(&unit.step.demand, unit.step.estimate);
    task.max(1) * unit.members.len() as u64 * URGENT_WEIGHT
}

/// Logs and counts a new plan of an urgent unit.
pub fn report(key: StepKey, reservation: &CapacityReservation, context: &mut StepContext<'_>) {
    let (stopped_runs, lost_work) = (reservation.stopped_runs, reservation.lost_work);
    let outcome = if stopped_runs == 0 {
        context.update_metric(MetricName::PreemptionsAvoided, 1);
        "awaiting_ends"
    } else {
        context.update_metric(MetricName::RunsPreempted, stopped_runs);
        context.update_metric(MetricName::WorkPreempted, lost_work);
        "preempting"
    };
    let line = format!(
        "step={key} outcome={outcome} tasks={} stops={stopped_runs} lost_core_s={lost_work} \
         expires_ms={}",
        reservation.workers.len(),
        reservation.expires_at.since(context.at)
    );
    context.info(LogTarget::Plan, line);
}

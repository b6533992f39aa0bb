//! Predicted ends of runs and the work that their stops would lose, for urgent units that arrive
//! while all capacity is in use.

use indexmap::IndexMap;

use crate::batch::job::RunKey;
use crate::batch::job::StepKey;
use crate::batch::job::TaskDemand;
use crate::batch::planner::PlannerState;
use crate::batch::session::RunPhase;
use crate::batch::session::RunSlot;
use crate::batch::session::WorkerSession;
use crate::batch::state::BatchState;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Minimum progress, in percent, from which the remaining run time is extrapolated. Below it, the
/// declared run time is used.
const MIN_PROGRESS_PERCENT: u64 = 5;

/// Number of cores that one GPU counts as in the cost of lost work.
const CORES_PER_GPU: u64 = 8;

/// Work of a stopped run that is lost in any case, because it has to be started again.
const RESTART_TIME: TimeSpan = TimeSpan(1_000);

/// Time from the decision to stop a run until its capacity is free.
pub const STOP_TIME: TimeSpan = TimeSpan(300);

/// Age of a stop order from which its run is no longer taken to end soon.
const MAX_STOP_AGE: TimeSpan = TimeSpan(1_000);

/// The predicted end of a run, and what its stop would lose.
#[derive(Clone, Debug)]
pub struct RunForecast {
    /// Key of the run.
    pub run: RunKey,
    /// Capacity that its end frees.
    pub demand: TaskDemand,
    /// Priority of the run's queue; 0 is urgent.
    pub priority: u32,
    /// Whether the run is a member of a gang.
    pub is_gang_member: bool,
    /// Whether the run can be stopped and is not being stopped.
    pub can_stop: bool,
    /// Predicted end; `None` if no end is in sight. For a gang, the end of the slowest member.
    pub ends_at: Option<ClockTime>,
    /// Work lost by a stop, in core-seconds; for a gang, that of all members.
    pub lost_work: u64,
}

/// Forecasts of the runs of each worker.
#[derive(Debug, Default)]
pub struct RunForecasts<'a> {
    by_worker: IndexMap<&'a WorkerName, Vec<RunForecast>>,
}

impl<'a> RunForecasts<'a> {
    /// Computes the forecasts of all runs.
    ///
    /// A worker with a run of unknown size has no forecasts, because ends there free nothing.
    #[must_use]
    pub fn new(state: &BatchState, planner: &'a PlannerState, at: ClockTime) -> Self {
        let mut by_worker: IndexMap<&WorkerName, Vec<RunForecast>> = IndexMap::new();
        let mut gangs: IndexMap<StepKey, (u64, Option<ClockTime>)> = IndexMap::new();
        for (name, session) in &planner.workers {
            let forecasts = forecast_session(state, planner, session, at);
            for forecast in forecasts.iter().filter(|forecast| forecast.is_gang_member) {
                let initial = (0, Some(at));
                let gang = gangs.entry(forecast.run.task.step).or_insert(initial);
                gang.0 += forecast.lost_work;
                gang.1 = gang.1.zip(forecast.ends_at).map(|(a, b)| a.max(b));
            }
            by_worker.insert(name, forecasts);
        }
        for forecast in by_worker.values_mut().flatten() {
            let step = &forecast.run.task.step;
            if let Some(gang) = gangs.get(step).filter(|_| forecast.is_gang_member) {
                (forecast.lost_work, forecast.ends_at) = *gang;
            }
        }
        Self { by_worker }
    }

    /// Returns the forecasts of the runs of a worker.
    #[must_use]
    pub fn on_worker(&self, worker: &WorkerName) -> &[RunForecast] {
        self.by_worker.get(worker).map_or(&[], Vec::as_slice)
    }
}

fn forecast_session(
    state: &BatchState,
    planner: &PlannerState,
    session: &WorkerSession,
    at: ClockTime,
) -> Vec<RunForecast> {
    let mut slots = session.runs.values();
    if slots.any(|slot| slot.phase == RunPhase::Untracked) {
        return Vec::new();
    }
    let runs = session.runs.iter().map(|(run, slot)| {
        let entry = state.view.jobs.get(&run.task.step.job);
        let definition = entry.and_then(|entry| entry.open_definition());
        let step = definition.and_then(|definition| {
            let steps = &definition.submission.steps;
            steps.get(run.task.step.step as usize)
        });
        let is_long_running = step.is_some_and(|step| step.long_running);
        let is_checkpointing = step.is_some_and(|step| step.checkpointing);
        let is_adopted = slot.placed_at <= planner.term_began_at;
        let is_stopping = slot.is_evicted || slot.stop.is_some();
        let ends_at = if is_stopping {
            stop_end(slot, at)
        } else {
            let is_predictable = !is_long_running
                && matches!(
                    slot.phase,
                    RunPhase::Recording | RunPhase::Starting | RunPhase::Running
                );
            is_predictable.then(|| at + remaining(slot, is_adopted, at))
        };
        RunForecast {
            run: *run,
            demand: slot.demand,
            priority: slot.priority,
            is_gang_member: slot.is_gang_member,
            can_stop: !is_stopping && matches!(slot.phase, RunPhase::Running | RunPhase::Starting),
            ends_at,
            lost_work: lost_work(slot, is_checkpointing, is_adopted, at),
        }
    });
    runs.collect()
}

/// Returns when the capacity of a run that is being stopped is free. Returns `None` if the stop had
/// to be sent again or is too old, or if none can be sent in this phase: nothing shows then that the
/// worker carries it out soon.
fn stop_end(slot: &RunSlot, at: ClockTime) -> Option<ClockTime> {
    let Some(stop) = slot.stop else {
        let can_send = matches!(
            slot.phase,
            RunPhase::Running | RunPhase::Starting | RunPhase::Unconfirmed
        );
        return can_send.then(|| at + STOP_TIME);
    };
    let is_soon = stop.sends <= 1 && at < stop.sent_at + MAX_STOP_AGE;
    is_soon.then(|| at.max(stop.sent_at + STOP_TIME))
}

/// Returns the predicted time to the end of a run.
///
/// The progress as listed decides, once there is enough of it. Less progress still shows that a run
/// takes longer than declared. A run that is over its prediction is expected to go on for as long
/// as it is over it. The start of an adopted run is unknown, so its progress scales the declared
/// run time.
#[must_use]
pub fn remaining(slot: &RunSlot, is_adopted: bool, at: ClockTime) -> TimeSpan {
    let percent = u64::from(slot.percent.min(100));
    let declared = slot.expected_run_time.0;
    let listed_after = slot.listed_at.since(slot.since).0;
    let after_listing = if is_adopted {
        declared.saturating_mul(100 - percent) / 100
    } else if percent >= MIN_PROGRESS_PERCENT {
        listed_after * (100 - percent) / percent
    } else {
        let from_progress = listed_after * (99 - percent) / (percent + 1);
        declared.saturating_sub(listed_after).max(from_progress)
    };
    TimeSpan(after_listing.abs_diff(at.since(slot.listed_at).0))
}

/// Returns the work lost by a stop, in core-seconds: the work since the last checkpoint and the
/// restart. A stop writes a checkpoint if the step supports it.
fn lost_work(slot: &RunSlot, is_checkpointing: bool, is_adopted: bool, at: ClockTime) -> u64 {
    let elapsed = at.since(slot.placed_at).0;
    let elapsed = if is_adopted {
        let earlier = slot.expected_run_time.0.saturating_mul(slot.percent.into()) / 100;
        elapsed.max(earlier)
    } else {
        elapsed
    };
    let lost = if is_checkpointing { 0 } else { elapsed };
    core_seconds(&slot.demand, TimeSpan(lost) + RESTART_TIME).max(1)
}

/// Returns the work of a task over a time, in core-seconds.
#[must_use]
pub fn core_seconds(demand: &TaskDemand, time: TimeSpan) -> u64 {
    let cores_per_mille = demand.cpu + demand.gpu * CORES_PER_GPU * 1_000;
    cores_per_mille.saturating_mul(time.0) / 1_000_000
}

//! Progress that operators monitor: the drain of a failure domain, reclaimed capacity and suspended
//! guarantees.

use indexmap::IndexMap;

use crate::domain;
use crate::fleet;
use crate::fleet::FleetIndex;
use crate::guarantee;
use crate::ids::DomainName;
use crate::ids::TeamName;
use crate::ids::WorkerName;
use crate::ledger::JobPhase;
use crate::ledger::JobRecord;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;

const MINUTE_MS: u64 = 60_000;

/// Estimates the time until no task runs in a failure domain, or returns `None` while the domain is
/// in service.
///
/// Preemptible work leaves within the `reclaim` time, in which it writes a checkpoint. Other work
/// runs to its expected end. The planner corrects expected run times by observed ones.
#[must_use]
pub fn estimate_drain_time(
    state: &DaemonState,
    domain: &DomainName,
    at: ClockTime,
) -> Option<TimeSpan> {
    if !domain::is_cordoned(state, domain) {
        return None;
    }
    let placed = state.ledger.placed();
    let running = placed
        .filter_map(|job| state.ledger.jobs.get(&job))
        .filter_map(|record| placement(record).map(|(workers, since)| (record, workers, since)))
        .filter(|(_, workers, _)| {
            workers
                .iter()
                .any(|worker| is_in_domain(state, worker, domain))
        });
    let longest = running
        .map(|(record, _, since)| remaining_time(state, record, since, at))
        .max();
    Some(longest.map(round_up).unwrap_or_default())
}

/// Rounds an estimate up to whole seconds, or to whole minutes above one minute, because declared
/// run times are not more precise.
fn round_up(span: TimeSpan) -> TimeSpan {
    let unit = if span.0 > MINUTE_MS { MINUTE_MS } else { 1_000 };
    TimeSpan(span.0.div_ceil(unit) * unit)
}

fn placement(record: &JobRecord) -> Option<(&[WorkerName], ClockTime)> {
    match &record.phase {
        JobPhase::Placed { workers, at } => Some((workers, *at)),
        JobPhase::Queued | JobPhase::Ended { .. } => None,
    }
}

fn is_in_domain(state: &DaemonState, worker: &WorkerName, domain: &DomainName) -> bool {
    let entry = state.members.workers.get(worker);
    entry.is_some_and(|entry| entry.info.domain == *domain)
}

fn remaining_time(
    state: &DaemonState,
    record: &JobRecord,
    since: ClockTime,
    at: ClockTime,
) -> TimeSpan {
    if record.order.spec.preemptible {
        return state.settings.timing.reclaim;
    }
    let expected = state.planner.policy.estimates.expected(&record.order);
    let elapsed = record.checkpoint + at.since(since);
    TimeSpan(expected.0.saturating_sub(elapsed.0))
}

/// Returns the number of accelerators that are being reclaimed for a team. It is 0 at daemons that
/// are not the planner.
#[must_use]
pub fn reclaiming_accelerators(state: &DaemonState, team: &TeamName) -> u32 {
    let claims = state.planner.policy.claims.iter();
    claims
        .filter_map(|claim| state.ledger.jobs.get(&claim.job))
        .filter(|record| record.order.team == *team)
        .map(|record| record.order.spec.members * record.order.spec.demand.accelerators)
        .sum()
}

/// Returns, by team, the number of guaranteed shapes that do not fit on the workers in service.
#[must_use]
pub fn suspended_shapes(state: &DaemonState) -> IndexMap<TeamName, u32> {
    let in_service: Vec<_> = state
        .members
        .workers
        .values()
        .filter(|entry| entry.is_in_service() && !domain::is_cordoned(state, &entry.info.domain))
        .map(|entry| &entry.info)
        .collect();
    let slots = fleet::idle_slots(&in_service, state.settings.limits.request_slots);
    let index = FleetIndex::new(&slots);
    let layout = guarantee::build_layout(&index, &state.ledger.config.teams, &[]);
    let mut suspended = IndexMap::new();
    for missing in layout.unplaced {
        *suspended.entry(missing.team).or_insert(0) += missing.count;
    }
    suspended
}

//! Team guarantees: which urgent jobs may reclaim accelerators that other work borrows.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::planner::PlannerState;
use crate::batch::state::BatchState;
use crate::ids::TeamName;
use crate::units::ClockTime;

/// Returns the accelerators that a job uses at its widest step.
#[must_use]
pub fn peak_gpu(definition: &JobDefinition) -> u64 {
    let steps = definition.submission.steps.iter();
    let widths = steps.map(|step| u64::from(step.count).saturating_mul(step.demand.gpu));
    widths.max().unwrap_or(0)
}

/// Returns the accelerators that the unfinished urgent jobs of a team use at their widest steps.
#[must_use]
pub fn urgent_gpu(state: &BatchState, planner: &PlannerState, team: &TeamName) -> u64 {
    let urgent = urgent_jobs(state, planner);
    let urgent = urgent.filter(|(_, job)| job.team.as_ref() == Some(team));
    urgent.map(|(_, job)| peak_gpu(job)).sum()
}

/// Returns the urgent jobs within the guarantees of their teams, the earliest of each team first.
///
/// All other work borrows accelerators.
#[must_use]
pub fn guaranteed_jobs(state: &BatchState, planner: &PlannerState) -> IndexSet<JobKey> {
    let mut jobs: Vec<(ClockTime, JobKey, &TeamName, u64)> = urgent_jobs(state, planner)
        .filter_map(|(key, job)| {
            let team = job.team.as_ref()?;
            Some((job.accepted_at, key, team, peak_gpu(job)))
        })
        .collect();
    jobs.sort_unstable();
    let mut remaining: IndexMap<&TeamName, u64> = IndexMap::new();
    let mut guaranteed = IndexSet::new();
    for (_, key, team, gpu) in jobs {
        let remaining = remaining.entry(team).or_insert_with(|| {
            let config = state.catalog.teams.get(team);
            config.map_or(0, |config| config.guaranteed_gpu)
        });
        if gpu <= *remaining {
            *remaining -= gpu;
            guaranteed.insert(key);
        }
    }
    guaranteed
}

fn urgent_jobs<'a>(
    state: &'a BatchState,
    planner: &'a PlannerState,
) -> impl Iterator<Item = (JobKey, &'a JobDefinition)> {
    let jobs = planner.open_jobs.iter();
    let open = jobs.filter_map(|job| {
        let entry = state.view.jobs.get(job)?;
        Some((*job, entry.open_definition()?))
    });
    open.filter(|(_, job)| job.priority == 0)
}

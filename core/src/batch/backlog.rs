//! Admission control per team: refuses submissions of a team whose jobs wait in larger numbers than
//! the service owes it.
//!
//! Answers a team that submits more than its weight. Its waiting jobs would otherwise lengthen every
//! round and delay the work of other teams. Only teams with a weight are affected.

use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use indexmap::IndexMap;

use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::state::BatchState;
use crate::batch::view::BatchView;
use crate::ids::TeamName;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Maximum backlog of a team, in seconds of its weight.
const MAX_BACKLOG_SECONDS: u64 = 10;

/// Time over which the starts of a team's jobs are counted.
const START_WINDOW: TimeSpan = TimeSpan(10_000);

/// Time for which the numbers of waiting jobs are used before they are counted again.
const COUNT_TTL: TimeSpan = TimeSpan(100);

/// Bounds of the delay after which a refused caller is told to return, without its spread.
const MIN_DELAY: TimeSpan = TimeSpan(1_000);
const MAX_DELAY: TimeSpan = TimeSpan(30_000);

/// Waiting jobs and recent starts of the teams that have a weight, as this daemon has read them.
#[derive(Clone, Debug, Default)]
pub struct BacklogTable {
    counted_at: Option<ClockTime>,
    /// Number of jobs that have not begun, by team and priority.
    waiting: IndexMap<(TeamName, u32), u64>,
    /// Times of the starts within the last [`START_WINDOW`].
    starts: IndexMap<TeamName, VecDeque<ClockTime>>,
}

/// The numbers on which the admission of a job depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamBacklog {
    /// Jobs per second that the team is owed, in thousandths.
    pub weight: u64,
    /// Number of its jobs of the same or a higher priority that have not begun.
    pub waiting: u64,
    /// Number of its jobs that have begun within `START_WINDOW`.
    pub started: u64,
}

impl TeamBacklog {
    /// Returns the number of jobs that may wait.
    #[must_use]
    pub fn bound(&self) -> u64 {
        (self.weight.saturating_mul(MAX_BACKLOG_SECONDS) / 1_000).max(1)
    }

    /// Returns the time after which a further job is predicted to be admitted, or `None` if it is
    /// admitted now.
    ///
    /// Without a recent start, the weight is taken for the rate. The time is up to half longer by
    /// the job's key, so that refused callers do not return together.
    #[must_use]
    pub fn delay(&self, job: JobKey) -> Option<TimeSpan> {
        let excess = (self.waiting + 1).saturating_sub(self.bound());
        if excess == 0 {
            return None;
        }
        let started_rate = self.started * 1_000_000 / START_WINDOW.0;
        let rate = if started_rate > 0 {
            started_rate
        } else {
            self.weight.max(1)
        };
        let wait = excess.saturating_mul(1_000_000) / rate;
        let wait = wait.clamp(MIN_DELAY.0, MAX_DELAY.0);
        let mut hasher = DefaultHasher::new();
        job.hash(&mut hasher);
        Some(TimeSpan(wait + hasher.finish() % (wait / 2)))
    }
}

impl BacklogTable {
    /// Returns the number of a team's jobs that have begun lately.
    #[must_use]
    pub fn started(&self, team: &TeamName, at: ClockTime) -> u64 {
        let starts = self.starts.get(team).into_iter().flatten();
        starts
            .filter(|start| at.since(**start) < START_WINDOW)
            .count() as u64
    }
}

/// Returns the number of jobs that are due and have not begun, by team and priority.
#[must_use]
pub fn count_waiting(view: &BatchView, at: ClockTime) -> IndexMap<(TeamName, u32), u64> {
    let mut counts: IndexMap<(TeamName, u32), u64> = IndexMap::new();
    for entry in view.jobs.values() {
        let Some(definition) = entry.open_definition().filter(|_| entry.phase.is_none()) else {
            continue;
        };
        let due_at = definition.submission.scheduled_at(0);
        if due_at.is_some_and(|due_at| due_at > at) {
            continue;
        }
        if let Some(team) = &definition.team {
            let key = (team.clone(), definition.priority);
            *counts.entry(key).or_default() += 1;
        }
    }
    counts
}

/// Records the start of a job whose phase was read.
pub fn note_phase(state: &mut BatchState, job: JobKey, at: ClockTime) {
    let Some(entry) = state.view.jobs.get(&job) else {
        return;
    };
    let team = entry.open_definition().and_then(|job| job.team.as_ref());
    let Some(team) = team.filter(|_| entry.phase == Some(JobPhase::Running)) else {
        return;
    };
    let config = state.catalog.teams.get(team);
    if config.is_none_or(|config| config.weight == 0) {
        return;
    }
    let starts = state.backlog.starts.entry(team.clone()).or_default();
    while starts
        .front()
        .is_some_and(|start| at.since(*start) >= START_WINDOW)
    {
        starts.pop_front();
    }
    starts.push_back(at);
}

/// Checks whether a new job is admitted.
///
/// Jobs of a lower priority do not count, because they do not delay the job.
///
/// # Errors
///
/// Returns the refusal if more jobs of the team wait than it is owed.
pub fn admit(
    state: &mut BatchState,
    job: JobKey,
    definition: &JobDefinition,
    at: ClockTime,
) -> Result<(), FailureReport> {
    let Some(team) = &definition.team else {
        return Ok(());
    };
    let config = state.catalog.teams.get(team);
    let Some(weight) = config
        .map(|config| config.weight)
        .filter(|weight| *weight > 0)
    else {
        return Ok(());
    };
    let table = &mut state.backlog;
    let is_counted = table
        .counted_at
        .is_some_and(|counted| at.since(counted) < COUNT_TTL);
    if !is_counted {
        table.waiting = count_waiting(&state.view, at);
        table.counted_at = Some(at);
    }
    let waiting = table
        .waiting
        .iter()
        .filter(|((other, priority), _)| other == team && *priority <= definition.priority);
    let backlog = TeamBacklog {
        weight,
        waiting: waiting.map(|(_, count)| count).sum(),
        started: table.started(team, at),
    };
    let Some(delay) = backlog.delay(job) else {
        return Ok(());
    };
    let detail = format!(
        "team {team} has {} jobs waiting and is owed {}",
        backlog.waiting,
        backlog.bound()
    );
    let mut report = FailureReport::new(ErrorKind::Overloaded, detail);
    report.retry_after = Some(delay);
    Err(report)
}

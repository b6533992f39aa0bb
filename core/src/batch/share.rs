//! Shares of teams: the order of work beyond guarantees when capacity is short.
//!
//! Answers one team that submits far more than its share while others wait. It is in force only
//! where a team of the configuration has a weight; there a team without one has weight 1.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::catalog::QueueCatalog;
use crate::batch::job::JobKey;
use crate::batch::job::TaskDemand;
use crate::batch::planner::PlannerState;
use crate::batch::state::BatchState;
use crate::batch::unit::WaitingUnit;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::units::ClockTime;

/// Weight of a team without one, in thousandths.
const DEFAULT_WEIGHT: u64 = 1_000;

/// Scale of a share of the capacity. It keeps small shares of a large fleet apart.
const SHARE_SCALE: u128 = 1_000_000_000;

/// Time for which unused job rate accumulates. It covers a burst of a few seconds.
const BURST_MS: u64 = 4_000;

/// Tokens that one job takes. The unit is a millionth of a job, as a weight of a thousandth for a
/// millisecond yields one.
const JOB_TOKENS: u64 = 1_000_000;

/// Token bucket of a team's accepted jobs.
#[derive(Clone, Copy, Debug)]
struct JobBucket {
    tokens: u64,
    filled_at: ClockTime,
}

/// Job rates of the teams. The planner keeps them, and rebuilds them from the view at a takeover.
#[derive(Clone, Debug, Default)]
pub struct JobRates {
    buckets: IndexMap<TeamName, JobBucket>,
    /// Open jobs beyond the rate of their team.
    excess: IndexSet<JobKey>,
}

impl JobRates {
    /// Rebuilds the rates from the jobs in the view, in the order of their acceptance.
    #[must_use]
    pub fn rebuild(state: &BatchState) -> Self {
        let mut rates = Self::default();
        if !state.catalog.has_weights() {
            return rates;
        }
        let jobs = state.view.jobs.iter().filter_map(|(job, entry)| {
            let definition = entry.definition.as_deref()?;
            let team = definition.team.as_ref()?;
            Some((definition.accepted_at, *job, team, entry.has_ended()))
        });
        let mut jobs: Vec<(ClockTime, JobKey, &TeamName, bool)> = jobs.collect();
        jobs.sort_unstable();
        for (accepted_at, job, team, has_ended) in jobs {
            rates.accept(&state.catalog, team, job, accepted_at);
            if has_ended {
                rates.remove(job);
            }
        }
        rates
    }

    /// Charges an accepted job to its team, if any team has a weight.
    pub fn accept(
        &mut self,
        catalog: &QueueCatalog,
        team: &TeamName,
        job: JobKey,
        accepted_at: ClockTime,
    ) {
        if !catalog.has_weights() {
            return;
        }
        let weight = weight(catalog, Some(team));
        let depth = weight.saturating_mul(BURST_MS).max(JOB_TOKENS);
        let bucket = self.buckets.entry(team.clone()).or_insert(JobBucket {
            tokens: depth,
            filled_at: accepted_at,
        });
        let elapsed = accepted_at.since(bucket.filled_at).0;
        let filled = bucket.tokens.saturating_add(weight.saturating_mul(elapsed));
        bucket.tokens = filled.min(depth);
        bucket.filled_at = bucket.filled_at.max(accepted_at);
        if bucket.tokens >= JOB_TOKENS {
            bucket.tokens -= JOB_TOKENS;
        } else {
            self.excess.insert(job);
        }
    }

    /// Removes a job that has ended.
    pub fn remove(&mut self, job: JobKey) {
        self.excess.swap_remove(&job);
    }

    /// Returns whether a job is beyond the rate of its team.
    #[must_use]
    pub fn is_excess(&self, job: JobKey) -> bool {
        self.excess.contains(&job)
    }
}

/// Running work of each team in each service, and the capacity of the services.
#[derive(Debug)]
pub struct ShareTable<'a> {
    catalog: &'a QueueCatalog,
    used: IndexMap<(Option<&'a TeamName>, &'a ServiceName), TaskDemand>,
    capacity: IndexMap<&'a ServiceName, TaskDemand>,
}

impl<'a> ShareTable<'a> {
    /// Computes the table from all run slots, or returns `None` if no team has a weight.
    #[must_use]
    pub fn new(state: &'a BatchState, planner: &'a PlannerState) -> Option<Self> {
        if !state.catalog.has_weights() {
            return None;
        }
        let mut table = Self {
            catalog: &state.catalog,
            used: IndexMap::new(),
            capacity: IndexMap::new(),
        };
        for session in planner.workers.values() {
            let Some(entry) = &session.entry else {
                continue;
            };
            let capacity = table.capacity.entry(&entry.service).or_default();
            capacity.add(&entry.capacity);
            for slot in session.runs.values() {
                let used = table.used.entry((slot.team.as_ref(), &entry.service));
                used.or_default().add(&slot.declared_demand);
            }
        }
        Some(table)
    }

    /// Charges placed tasks of a unit.
    pub fn charge(&mut self, unit: &WaitingUnit<'a>, count: u64) {
        let key = (unit.definition.team.as_ref(), &unit.definition.service);
        let used = self.used.entry(key).or_default();
        used.add(&unit.step.demand.times(count));
    }

    /// Returns the dominant share of the service's capacity that the unit's team has running,
    /// divided by the team's weight.
    #[must_use]
    pub fn ratio(&self, unit: &WaitingUnit<'a>) -> u128 {
        let team = unit.definition.team.as_ref();
        let service = &unit.definition.service;
        let used = self.used.get(&(team, service)).copied();
        let capacity = self.capacity.get(service).copied();
        let (used, capacity) = (used.unwrap_or_default(), capacity.unwrap_or_default());
        let shares = [
            (used.cpu, capacity.cpu),
            (used.memory, capacity.memory),
            (used.gpu, capacity.gpu),
        ];
        let shares = shares
            .into_iter()
            .filter(|(_, capacity)| *capacity > 0)
            .map(|(used, capacity)| u128::from(used) * SHARE_SCALE / u128::from(capacity));
        shares.max().unwrap_or(0) * 1_000 / u128::from(weight(self.catalog, team))
    }
}

/// Units in the order of their rank, from which the unit of the team with the lowest ratio is taken
/// among those of the same priority.
#[derive(Debug)]
pub struct ShareQueue<'a, 'u> {
    /// Units of each team that are not taken, each with its position in the order of rank. Units
    /// beyond the rate of the team follow the others of their priority.
    teams: IndexMap<Option<&'a TeamName>, Vec<QueuedUnit<'a, 'u>>>,
}

#[derive(Debug)]
struct QueuedUnit<'a, 'u> {
    priority: u32,
    is_excess: bool,
    position: usize,
    unit: &'u WaitingUnit<'a>,
}

impl<'a, 'u> ShareQueue<'a, 'u> {
    /// Creates the queue.
    #[must_use]
    pub fn new(units: &'u [WaitingUnit<'a>], rates: &JobRates) -> Self {
        let mut teams: IndexMap<Option<&'a TeamName>, Vec<QueuedUnit<'a, 'u>>> = IndexMap::new();
        for (position, unit) in units.iter().enumerate() {
            let queue = teams.entry(unit.definition.team.as_ref()).or_default();
            queue.push(QueuedUnit {
                priority: unit.definition.priority,
                is_excess: rates.is_excess(unit.key.job),
                position,
                unit,
            });
        }
        for queue in teams.values_mut() {
            queue.sort_by_key(|queued| (queued.priority, queued.is_excess, queued.position));
            queue.reverse();
        }
        Self { teams }
    }

    /// Removes and returns the next unit.
    pub fn take(&mut self, table: &ShareTable<'a>) -> Option<&'u WaitingUnit<'a>> {
        let heads = self.teams.values_mut();
        let next = heads
            .filter(|queue| !queue.is_empty())
            .min_by_key(|queue| {
                let head = queue.last();
                head.map(|head| {
                    let ratio = table.ratio(head.unit);
                    (head.priority, head.is_excess, ratio, head.position)
                })
            })?;
        next.pop().map(|queued| queued.unit)
    }
}

/// Returns the weight of a team in thousandths.
fn weight(catalog: &QueueCatalog, team: Option<&TeamName>) -> u64 {
    let config = team.and_then(|team| catalog.teams.get(team));
    let weight = config.map_or(0, |config| config.weight);
    if weight == 0 { DEFAULT_WEIGHT } else { weight }
}

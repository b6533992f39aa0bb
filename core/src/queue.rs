//! Order in which queued jobs are considered.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::config::ResourceDemand;
use crate::config::TeamFile;
use crate::estimate::EstimateTable;
use crate::fleet::NO_CAPACITY;
use crate::fleet::scale_demand;
use crate::guarantee::guaranteed_total;
use crate::ids::TeamName;
use crate::policy::PolicyView;
use crate::policy::WaitingJob;
use crate::policy::WorkerSlot;
use crate::record::JobOrder;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Fixed-point unit of shares: one million is the whole fleet.
const SHARE_UNIT: u64 = 1_000_000;
/// Interval at which usage is accumulated and decayed.
const USAGE_STEP: TimeSpan = TimeSpan::from_secs(10);
/// Decay of usage per step in millionths, which gives a half-life of 1 h.
const USAGE_DECAY: u64 = 1_924;
/// Time for which current allocations are charged in advance, so that one scheduling cycle does not
/// give all free capacity to the team with the least past usage.
const USAGE_HORIZON: TimeSpan = TimeSpan::from_secs(3_600);
/// Wait after which a job without a deadline is ordered as if its deadline were now.
pub const MAX_WAIT: TimeSpan = TimeSpan::from_secs(12 * 3_600);

/// Slack below which a job is ordered by its deadline.
const TIGHT_SLACK: TimeSpan = TimeSpan::from_secs(3_600);
/// Age of a new job, so that the smallest of several new jobs comes first.
const INITIAL_AGE: TimeSpan = TimeSpan::from_secs(60);

plain_data! {
    /// Exponentially decayed usage of each team.
    #[derive(Default)]
    pub struct UsageTable {
        /// Time up to which usage has been accumulated.
        at: ClockTime,
        /// Dominant share in millionths, multiplied by milliseconds, by team.
        teams: IndexMap<TeamName, u64>,
    }
}

impl UsageTable {
    /// Accumulates the shares that the teams held since the last step and drops teams that are not
    /// listed.
    pub fn advance(&mut self, at: ClockTime, shares: &[(&TeamName, u64)]) {
        let steps = at.since(self.at).0 / USAGE_STEP.0;
        if self.at == ClockTime(0) {
            self.at = at;
        }
        if steps == 0 {
            return;
        }
        self.at = self.at + TimeSpan(steps * USAGE_STEP.0);
        for (team, share) in shares {
            let used = match self.teams.get_mut(*team) {
                Some(used) => used,
                None => self.teams.entry((*team).clone()).or_default(),
            };
            // 24 h of decay reduce any usage to less than one millionth of its value.
            for _ in 0..steps.min(8_640) {
                *used -= *used / SHARE_UNIT * USAGE_DECAY
                    + *used % SHARE_UNIT * USAGE_DECAY / SHARE_UNIT;
                *used += share * USAGE_STEP.0;
            }
        }
        let known = |team: &TeamName| shares.iter().any(|(name, _)| *name == team);
        self.teams.retain(|team, _| known(team));
    }

    fn used(&self, team: &TeamName) -> u64 {
        self.teams.get(team).copied().unwrap_or(0)
    }
}

/// Guarantee and usage of one team.
#[derive(Clone, Copy, Debug)]
pub struct TeamAccount {
    /// Sum of the team's guaranteed shapes.
    pub guaranteed: ResourceDemand,
    /// Capacity that the team's jobs hold, including capacity held for them while victims stop.
    pub used: ResourceDemand,
    /// Weight of the team in fair sharing, at least 1.
    pub weight: u64,
}

impl TeamAccount {
    /// Returns whether the team holds more of some resource than its guarantee.
    #[must_use]
    pub const fn is_borrowing(&self) -> bool {
        !self.used.fits(&self.guaranteed)
    }

    /// Returns whether a job fits in the unused part of the guarantee.
    #[must_use]
    pub fn admits(&self, order: &JobOrder) -> bool {
        let mut used = self.used;
        used.add(&gang_demand(order));
        used.fits(&self.guaranteed)
    }
}

/// Returns the total demand of all members of a job.
#[must_use]
pub fn gang_demand(order: &JobOrder) -> ResourceDemand {
    scale_demand(&order.spec.demand, order.spec.members)
}

/// Accounts of all teams and the capacity of the fleet.
#[derive(Clone, Debug)]
pub struct AccountTable<'a> {
    teams: HashMap<&'a TeamName, TeamAccount>,
    fleet: ResourceDemand,
}

impl<'a> AccountTable<'a> {
    /// Creates the accounts from the running jobs of a view. Jobs that are being stopped do not
    /// count.
    #[must_use]
    pub fn new(view: &PolicyView<'a>) -> Self {
        let mut table = Self {
            teams: HashMap::new(),
            fleet: fleet_total(view.workers),
        };
        for (team, file) in view.teams {
            table.teams.insert(
                team,
                TeamAccount {
                    guaranteed: guaranteed_total(file),
                    used: NO_CAPACITY,
                    weight: u64::from(file.weight.max(1)),
                },
            );
        }
        for job in view.running.iter().filter(|job| !job.is_stopping) {
            table.add(job.order);
        }
        table
    }

    /// Returns the account of a team, or `None` for a team that has neither a configuration nor
    /// jobs.
    #[must_use]
    pub fn get(&self, team: &TeamName) -> Option<&TeamAccount> {
        self.teams.get(team)
    }

    /// Charges a job to its team.
    pub fn add(&mut self, order: &'a JobOrder) {
        let account = self.teams.entry(&order.team).or_insert(TeamAccount {
            guaranteed: NO_CAPACITY,
            used: NO_CAPACITY,
            weight: 1,
        });
        account.used.add(&gang_demand(order));
    }

    /// Removes a job from its team's usage.
    pub fn remove(&mut self, order: &JobOrder) {
        if let Some(account) = self.teams.get_mut(&order.team) {
            account.used.subtract(&gang_demand(order));
        }
    }

    /// Returns whether a job fits in the unused part of its team's guarantee.
    #[must_use]
    pub fn admits(&self, order: &JobOrder) -> bool {
        self.get(&order.team)
            .is_some_and(|account| account.admits(order))
    }

    /// Returns the demand's largest fraction of any resource of the fleet, in millionths.
    #[must_use]
    pub fn dominant_share(&self, demand: &ResourceDemand) -> u64 {
        let share_of =
            |part: u32, whole: u32| u64::from(part) * SHARE_UNIT / u64::from(whole.max(1));
        share_of(demand.slots, self.fleet.slots)
            .max(share_of(demand.accelerators, self.fleet.accelerators))
            .max(share_of(demand.cores, self.fleet.cores))
            .max(share_of(demand.memory_mib, self.fleet.memory_mib))
    }

    /// Returns the dominant share of each configured team, in millionths.
    #[must_use]
    pub fn shares(&self, teams: &'a IndexMap<TeamName, TeamFile>) -> Vec<(&'a TeamName, u64)> {
        let share = |team| {
            self.get(team)
                .map_or(0, |account| self.dominant_share(&account.used))
        };
        teams.keys().map(|team| (team, share(team))).collect()
    }
}

fn fleet_total(workers: &IndexMap<crate::ids::WorkerName, WorkerSlot>) -> ResourceDemand {
    workers.values().fold(NO_CAPACITY, |mut total, slot| {
        total.add(&slot.offered);
        total
    })
}

/// Jobs of one team that are ordered by fair share. The next job is last, so that it can be popped.
#[derive(Debug)]
struct TeamQueue<'a> {
    team: &'a TeamName,
    jobs: Vec<usize>,
    used: u64,
    weight: u64,
}

impl TeamQueue<'_> {
    const fn weighted_usage(&self) -> u64 {
        self.used / self.weight
    }
}

/// Queue order over the waiting jobs, as positions in the view.
///
/// Placements change the order of the teams, so the next job is computed on demand.
#[derive(Debug)]
pub struct QueueOrder<'a> {
    prioritized: VecDeque<usize>,
    teams: Vec<TeamQueue<'a>>,
    ranks: BTreeSet<(u64, usize)>,
}

fn slack(job: &WaitingJob<'_>, at: ClockTime, estimates: &EstimateTable) -> i128 {
    let limit = job.order.spec.deadline.unwrap_or(MAX_WAIT);
    let remaining = estimates
        .expected(job.order)
        .0
        .saturating_sub(job.checkpoint.0);
    i128::from((job.accepted_at + limit).0) - i128::from(at.0) - i128::from(remaining)
}

/// Returns the age of a job divided by its estimated remaining work, in millionths.
///
/// With plain age, a job of minutes would wait as long as a job of hours. Relative to its work, a
/// small job ages faster, and a large job still ages.
fn relative_age(job: &WaitingJob<'_>, at: ClockTime, estimates: &EstimateTable) -> u64 {
    let spec = &job.order.spec;
    let age = at.since(job.accepted_at) + INITIAL_AGE;
    let remaining = estimates
        .expected(job.order)
        .0
        .saturating_sub(job.checkpoint.0);
    let size = u64::from(spec.members) * u64::from(spec.demand.accelerators.max(1));
    age.0.saturating_mul(SHARE_UNIT) / remaining.max(1_000).saturating_mul(size)
}

/// Returns the sort key of a job with a deadline; the lowest key comes first.
///
/// Jobs with little slack are ordered by slack. Jobs with ample slack and jobs that will miss their
/// deadline are ordered by relative age, because their order cannot change whether a deadline is
/// met.
fn deadline_rank(job: &WaitingJob<'_>, at: ClockTime, estimates: &EstimateTable) -> (bool, i128) {
    let slack = slack(job, at, estimates);
    let is_tight = (0..i128::from(TIGHT_SLACK.0)).contains(&slack);
    let age = i128::from(relative_age(job, at, estimates));
    (!is_tight, if is_tight { slack } else { -age })
}

impl<'a> QueueOrder<'a> {
    /// Builds the order for the waiting jobs of a view.
    #[must_use]
    pub fn new(
        view: &PolicyView<'a>,
        accounts: &AccountTable<'a>,
        usage: &UsageTable,
        estimates: &EstimateTable,
    ) -> Self {
        let mut urgent = Vec::new();
        let mut with_deadline = Vec::new();
        let mut shared: IndexMap<&TeamName, Vec<usize>> = IndexMap::new();
        let mut claims = accounts.clone();
        for (position, job) in view.waiting.iter().enumerate() {
            let spec = &job.order.spec;
            if spec.urgent && claims.admits(job.order) {
                claims.add(job.order);
                urgent.push(position);
            } else if spec.deadline.is_some() || view.at.since(job.accepted_at) > MAX_WAIT {
                with_deadline.push((deadline_rank(job, view.at, estimates), position));
            } else {
                shared.entry(&job.order.team).or_default().push(position);
            }
        }
        with_deadline.sort_unstable();
        let mut order = Self {
            prioritized: urgent.into_iter().collect(),
            teams: Vec::with_capacity(shared.len()),
            ranks: BTreeSet::new(),
        };
        order
            .prioritized
            .extend(with_deadline.into_iter().map(|(_, job)| job));
        for (team, mut jobs) in shared {
            jobs.sort_by_cached_key(|position| {
                let job = &view.waiting[*position];
                let age = relative_age(job, view.at, estimates);
                (job.order.spec.priority, age, Reverse(*position))
            });
            order.add_team(team, jobs, accounts, usage);
        }
        order
    }

    fn add_team(
        &mut self,
        team: &'a TeamName,
        jobs: Vec<usize>,
        accounts: &AccountTable<'a>,
        usage: &UsageTable,
    ) {
        let account = accounts.get(team);
        let share = account.map_or(0, |account| accounts.dominant_share(&account.used));
        let queue = TeamQueue {
            team,
            jobs,
            used: usage.used(team) + share * USAGE_HORIZON.0,
            weight: account.map_or(1, |account| account.weight),
        };
        self.ranks
            .insert((queue.weighted_usage(), self.teams.len()));
        self.teams.push(queue);
    }

    /// Removes and returns the next job.
    pub fn next_job(&mut self) -> Option<usize> {
        if let Some(job) = self.prioritized.pop_front() {
            return Some(job);
        }
        loop {
            let (_, team) = *self.ranks.first()?;
            match self.teams[team].jobs.pop() {
                Some(job) => return Some(job),
                None => {
                    self.ranks.pop_first();
                }
            }
        }
    }

    /// Charges a team for a share that was allocated in this scheduling cycle.
    pub fn charge(&mut self, team: &TeamName, share: u64) {
        let Some(index) = self.teams.iter().position(|queue| queue.team == team) else {
            return;
        };
        let queue = &mut self.teams[index];
        let was_ranked = self.ranks.remove(&(queue.weighted_usage(), index));
        queue.used += share * USAGE_HORIZON.0;
        if was_ranked {
            self.ranks.insert((queue.weighted_usage(), index));
        }
    }
}

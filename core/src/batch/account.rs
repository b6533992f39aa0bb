//! Team accounts: what each team has running, and the room that its cap leaves.
//!
//! Answers a team that submits more work than its quota while workers are free, and a team whose own
//! work of lower priority uses up the quota that its urgent work needs.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::catalog::QueueCatalog;
use crate::batch::job::JobSubmission;
use crate::batch::job::StepKey;
use crate::batch::job::TaskDemand;
use crate::batch::planner::PlannerState;
use crate::batch::session::RunSlot;
use crate::batch::state::BatchState;
use crate::batch::unit::WaitingUnit;
use crate::ids::TeamName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time for which a team must use at most half of its cap before other work may use room reserved
/// for a gang, up to half of the cap. It is shorter than 3 s, the longest time for which the team's
/// work may stand still.
const LOW_USAGE_WAIT: TimeSpan = TimeSpan(2_000);

/// Number of sends of a stop order from which the run no longer counts as about to end.
const MAX_ENDING_SENDS: u32 = 2;

/// Running work of a team and the room under its cap, during a scheduling round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamAccount {
    /// The cap; `u64::MAX` in a dimension without a limit.
    pub cap: TaskDemand,
    /// Declared demand of the runs that may occupy a worker, and of this round's placements.
    pub used: TaskDemand,
    /// The part of `used` that is being stopped.
    pub ending: TaskDemand,
    /// Room that is reserved for units within the guarantee.
    pub reserved: TaskDemand,
    /// Room that is reserved for a gang that has waited long.
    pub gang: Option<GangRoom>,
    /// Since when the team has been below half of its cap.
    pub low_since: Option<ClockTime>,
}

/// Room under a cap that is reserved for a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GangRoom {
    /// Step of the gang.
    pub step: StepKey,
    /// Priority of the gang. More urgent work may use the room.
    pub priority: u32,
    /// Demand of all members.
    pub demand: TaskDemand,
}

/// The accounts of all teams during a scheduling round.
#[derive(Clone, Debug, Default)]
pub struct AccountTable<'a> {
    accounts: IndexMap<&'a TeamName, TeamAccount>,
}

impl TeamAccount {
    /// Returns the room below a limit that is neither used nor reserved for work within the
    /// guarantee.
    fn room_below(&self, limit: &TaskDemand) -> TaskDemand {
        let mut room = *limit;
        room.subtract(&self.used);
        room.subtract(&self.reserved);
        room
    }

    /// Returns whether any dimension has a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.cap != UNLIMITED
    }

    /// Returns the room for a unit.
    #[must_use]
    pub fn room_for(&self, unit: &WaitingUnit<'_>, at: ClockTime) -> TaskDemand {
        let mut room = self.room_below(&self.cap);
        let gang = self.gang.filter(|gang| {
            gang.step != unit.key
                && gang.priority <= unit.definition.priority
                && !unit.is_guaranteed
        });
        let Some(gang) = gang else { return room };
        let is_low = |since: ClockTime| at.since(since) >= LOW_USAGE_WAIT;
        if self.low_since.is_some_and(is_low) {
            return self.room_below(&self.half_cap());
        }
        room.subtract(&gang.demand);
        room
    }

    /// Returns the dimension of the cap that keeps a unit waiting, if any.
    #[must_use]
    pub fn short_of(&self, unit: &WaitingUnit<'_>, at: ClockTime) -> Option<&'static str> {
        let demand = unit.step.demand.times(unit.min_tasks());
        exceeded_dimension(&demand, &self.room_for(unit, at)).map(|(name, _, _)| name)
    }

    fn half_cap(&self) -> TaskDemand {
        TaskDemand {
            cpu: self.cap.cpu / 2,
            memory: self.cap.memory / 2,
            gpu: self.cap.gpu / 2,
        }
    }

    /// Returns whether the team uses at most half of its cap in each dimension.
    #[must_use]
    pub fn is_below_half(&self) -> bool {
        self.used.fits(&self.half_cap())
    }
}

impl<'a> AccountTable<'a> {
    /// Computes the accounts of the teams in the configuration from all run slots. Untracked runs
    /// and runs that are being stopped count until they have certainly ended.
    #[must_use]
    pub fn new(state: &'a BatchState, planner: &PlannerState) -> Self {
        let mut accounts = empty_accounts(&state.catalog);
        let slots = planner.workers.values();
        for slot in slots.flat_map(|session| session.runs.values()) {
            let account = slot.team.as_ref().and_then(|team| accounts.get_mut(team));
            let Some(account) = account else { continue };
            account.used.add(&slot.declared_demand);
            if is_ending(slot) {
                account.ending.add(&slot.declared_demand);
            }
        }
        for (team, account) in &mut accounts {
            account.low_since = planner.low_usage_since.get(*team).copied();
        }
        Self { accounts }
    }

    /// Returns the teams that use at most half of their cap.
    #[must_use]
    pub fn low_teams(&self) -> IndexSet<TeamName> {
        let limited = self
            .iter()
            .filter(|(_, account)| account.is_limited() && account.is_below_half());
        limited.map(|(team, _)| team.clone()).collect()
    }

    /// Returns the account of a team, or `None` for a team that the configuration does not name.
    #[must_use]
    pub fn get(&self, team: &TeamName) -> Option<&TeamAccount> {
        self.accounts.get(team)
    }

    /// Returns all accounts by team.
    pub fn iter(&self) -> impl Iterator<Item = (&'a TeamName, &TeamAccount)> {
        self.accounts.iter().map(|(team, account)| (*team, account))
    }

    /// Returns the account of a unit's team.
    pub fn of_unit_mut(&mut self, unit: &WaitingUnit<'_>) -> Option<&mut TeamAccount> {
        self.accounts.get_mut(unit.definition.team.as_ref()?)
    }

    /// Returns how many tasks of a unit fit below the cap of its team.
    #[must_use]
    pub fn max_tasks(&self, unit: &WaitingUnit<'_>, at: ClockTime) -> u64 {
        let team = unit.definition.team.as_ref();
        let account = team.and_then(|team| self.accounts.get(team));
        account.map_or(u64::MAX, |account| {
            unit.step.demand.count_fitting(&account.room_for(unit, at))
        })
    }

    /// Charges placed tasks of a unit.
    pub fn charge(&mut self, unit: &WaitingUnit<'_>, count: u64) {
        if let Some(account) = self.of_unit_mut(unit) {
            account.used.add(&unit.step.demand.times(count));
            if count > 0 && account.gang.is_some_and(|gang| gang.step == unit.key) {
                account.gang = None;
            }
        }
    }

    /// Reserves room for tasks of a unit within its guarantee.
    pub fn reserve(&mut self, unit: &WaitingUnit<'_>, count: u64) {
        if let Some(account) = self.of_unit_mut(unit) {
            account.reserved.add(&unit.step.demand.times(count));
        }
    }

    /// Releases the room of a gang that workers, and not the cap, keep waiting.
    pub fn release_gang(&mut self, unit: &WaitingUnit<'_>) {
        if let Some(account) = self.of_unit_mut(unit) {
            account.gang = account.gang.filter(|gang| gang.step != unit.key);
        }
    }

    /// Reserves room for a gang, unless a gang of its team has room reserved.
    pub fn reserve_for_gang(&mut self, unit: &WaitingUnit<'_>) {
        if let Some(account) = self.of_unit_mut(unit) {
            account.gang.get_or_insert(GangRoom {
                step: unit.key,
                priority: unit.definition.priority,
                demand: unit.step.demand.times(u64::from(unit.step.count)),
            });
        }
    }
}

/// Returns whether a run is being stopped and its worker answers. A run on a silent worker can go on
/// until its lease has lapsed, which is too late for the units that wait for its end.
fn is_ending(slot: &RunSlot) -> bool {
    let sends = slot.stop.map(|stop| stop.sends);
    sends.map_or(slot.is_evicted, |sends| sends <= MAX_ENDING_SENDS)
}

/// Returns the first dimension in which a demand exceeds a limit: its name, the demand and the limit.
#[must_use]
pub fn exceeded_dimension(
    demand: &TaskDemand,
    limit: &TaskDemand,
) -> Option<(&'static str, u64, u64)> {
    let dimensions = [
        ("gpu", demand.gpu, limit.gpu),
        ("cpu", demand.cpu, limit.cpu),
        ("memory", demand.memory, limit.memory),
    ];
    dimensions
        .into_iter()
        .find(|(_, demand, limit)| demand > limit)
}

/// Returns why a job of a team can never start, or `None` if each of its tasks and gangs fits below
/// the cap of the team.
#[must_use]
pub fn never_fits(
    catalog: &QueueCatalog,
    team: &TeamName,
    submission: &JobSubmission,
) -> Option<String> {
    let cap = effective_cap(&catalog.teams.get(team)?.cap);
    submission.steps.iter().find_map(|step| {
        let count = if step.gang { u64::from(step.count) } else { 1 };
        let (name, demand, limit) = exceeded_dimension(&step.demand.times(count), &cap)?;
        let what = if step.gang { "gang" } else { "task" };
        Some(format!(
            "a {what} needs {demand} of {name}, and the cap of the team {team} is {limit}"
        ))
    })
}

/// The cap of a team without a limit.
pub const UNLIMITED: TaskDemand = TaskDemand {
    cpu: u64::MAX,
    memory: u64::MAX,
    gpu: u64::MAX,
};

/// Returns a configured cap with `u64::MAX` in each dimension without a limit.
#[must_use]
pub fn effective_cap(cap: &TaskDemand) -> TaskDemand {
    let limit = |amount: u64| if amount == 0 { u64::MAX } else { amount };
    TaskDemand {
        cpu: limit(cap.cpu),
        memory: limit(cap.memory),
        gpu: limit(cap.gpu),
    }
}

fn empty_accounts(catalog: &QueueCatalog) -> IndexMap<&TeamName, TeamAccount> {
    let accounts = catalog.teams.iter().map(|(name, team)| {
        let account = TeamAccount {
            cap: effective_cap(&team.cap),
            ..TeamAccount::default()
        };
        (name, account)
    });
    accounts.collect()
}

//! Concurrency, rate and queue of each team's short requests at this daemon.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::config::TeamFile;
use crate::ids::ConfigVersion;
use crate::ids::RequestId;
use crate::ids::TeamName;
use crate::quota;
use crate::retry::RetryBudget;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Part of a table that is divided among the teams by weight, in percent. The rest is shared, so
/// that one team can use places that no other needs.
const GUARANTEED_PERCENT: u64 = 50;

/// Thousandths of a request in one request, the unit of the rate limit.
const THOUSANDTHS: u64 = 1_000;

/// Advance of a team of weight 1 for one request. Divides well by usual weights.
const STRIDE: u64 = 1 << 20;

/// Weight of the last attempt in the mean time of a request, as a part of this number.
const MEAN_PARTS: u64 = 8;

/// The short requests of one team at this daemon.
#[derive(Clone, Debug, Default)]
pub struct TeamEntry {
    /// Weight in the team's file.
    weight: u64,
    /// This daemon's part of the team's concurrency.
    pub concurrency: u32,
    /// This daemon's part of the team's rate, a second.
    pub rate: u32,
    /// Open requests, queued ones included.
    pub open: u32,
    /// Open requests that have been let through.
    pub running: u32,
    /// Requests that may be let through now, in thousandths.
    tokens: u64,
    refilled_at: ClockTime,
    /// Position in the order of service; the team with the lowest goes next.
    pass: u64,
    /// Requests that wait to be let through.
    pub waiting: VecDeque<RequestId>,
    /// Requests that were let through and wait for an endpoint.
    pub ready: VecDeque<RequestId>,
    /// Retries that the team has left.
    pub budget: RetryBudget,
    /// Mean time of an attempt, in milliseconds times [`MEAN_PARTS`].
    mean: u64,
}

/// The teams and what their parts were computed from.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    /// Teams by name.
    pub teams: IndexMap<TeamName, TeamEntry>,
    version: ConfigVersion,
    total_weight: u64,
    /// Position of the team served last.
    pass: u64,
}

impl TeamEntry {
    /// Returns the time that a request of the team is expected to take.
    #[must_use]
    pub const fn expected(&self) -> TimeSpan {
        TimeSpan(self.mean / MEAN_PARTS)
    }

    /// Takes the time of an attempt.
    pub const fn observe(&mut self, span: TimeSpan) {
        self.mean = self.mean - self.mean / MEAN_PARTS + span.0;
    }

    fn refill(&mut self, at: ClockTime) {
        let gained = at.since(self.refilled_at).0 * u64::from(self.rate);
        let most = u64::from(self.rate) * THOUSANDTHS;
        self.tokens = self.tokens.saturating_add(gained).min(most);
        self.refilled_at = self.refilled_at.max(at);
    }

    /// Tells whether the next waiting request may be let through.
    fn has_room(&self) -> bool {
        self.running < self.concurrency && self.tokens >= THOUSANDTHS
    }

    /// Returns how long a new request would wait at least.
    fn expected_wait(&self) -> TimeSpan {
        let ahead = self.waiting.len() as u64;
        let needed = ((ahead + 1) * THOUSANDTHS).saturating_sub(self.tokens);
        let by_rate = needed.div_ceil(u64::from(self.rate.max(1)));
        let by_service = self.expected().0 * ahead / u64::from(self.running.max(1));
        TimeSpan(by_rate.max(by_service))
    }
}

/// Computes the parts of each team again when the configuration or the daemons have changed.
pub fn refresh(state: &mut DaemonState, daemons_changed: bool, at: ClockTime) {
    let config = &state.ledger.config;
    let table = &mut state.requests.limits;
    if !daemons_changed && table.version == config.version && !table.teams.is_empty() {
        return;
    }
    table.version = config.version;
    table.total_weight = config.teams.values().map(weight).sum();
    table
        .teams
        .retain(|team, entry| entry.open > 0 || config.teams.contains_key(team));
    let daemons = &state.requests.routes.daemons;
    let own = &state.settings.daemon;
    for (team, file) in &config.teams {
        let known = table.teams.contains_key(team);
        let entry = table.teams.entry(team.clone()).or_default();
        let part = |total| quota::part(total, daemons, own, team.as_str());
        entry.refill(at);
        entry.weight = weight(file);
        entry.concurrency = part(file.limits.concurrency);
        entry.rate = part(file.limits.rate_per_second);
        let most = u64::from(entry.rate) * THOUSANDTHS;
        entry.tokens = if known { entry.tokens.min(most) } else { most };
        entry.refilled_at = at;
    }
}

fn weight(file: &TeamFile) -> u64 {
    u64::from(file.weight.max(1))
}

impl LimitTable {
    /// Checks that a new request of a team may be opened, and counts it.
    ///
    /// # Errors
    ///
    /// Returns which limit is reached.
    pub fn open(
        &mut self,
        team: &TeamName,
        deadline: ClockTime,
        (open_limit, queue_limit): (u32, u32),
        at: ClockTime,
    ) -> Result<(), &'static str> {
        let has_place = self.has_place(team, open_limit, |entry| entry.open as usize);
        let can_wait = self.has_place(team, queue_limit, |entry| entry.waiting.len());
        let entry = self.teams.entry(team.clone()).or_default();
        entry.refill(at);
        if entry.concurrency == 0 || entry.rate == 0 {
            return Err("the team's limit leaves this daemon no part");
        }
        if !has_place {
            return Err("too many requests are open");
        }
        if !(can_wait || entry.has_room() && entry.waiting.is_empty()) {
            return Err("too many requests wait");
        }
        if at + entry.expected_wait() > deadline {
            return Err("the request would wait beyond its deadline");
        }
        entry.open += 1;
        Ok(())
    }

    /// Tells whether a team may take one more place of a table: one of its guaranteed places, or
    /// one of those that are shared.
    fn has_place(&self, team: &TeamName, limit: u32, used: impl Fn(&TeamEntry) -> usize) -> bool {
        let pool = u64::from(limit) * GUARANTEED_PERCENT / 100;
        let guaranteed = |entry: &TeamEntry| pool * entry.weight / self.total_weight.max(1);
        let own = self.teams.get(team);
        if own.is_some_and(|entry| (used(entry) as u64) < guaranteed(entry)) {
            return true;
        }
        let all_guaranteed: u64 = self.teams.values().map(guaranteed).sum();
        let borrowed: u64 = self
            .teams
            .values()
            .map(|entry| (used(entry) as u64).saturating_sub(guaranteed(entry)))
            .sum();
        borrowed < u64::from(limit).saturating_sub(all_guaranteed)
    }

    /// Puts a request at the end of its team's queue.
    pub fn enqueue(&mut self, team: &TeamName, request: RequestId) {
        let pass = self.pass;
        let entry = self.teams.entry(team.clone()).or_default();
        if entry.waiting.is_empty() && entry.ready.is_empty() {
            // A team that was idle does not catch up on the service that it did not ask for.
            entry.pass = entry.pass.max(pass);
        }
        entry.waiting.push_back(request);
    }

    /// Puts a request that was let through in front of the endpoints.
    pub fn make_ready(&mut self, team: &TeamName, request: RequestId) {
        let pass = self.pass;
        let entry = self.teams.entry(team.clone()).or_default();
        if entry.waiting.is_empty() && entry.ready.is_empty() {
            entry.pass = entry.pass.max(pass);
        }
        entry.ready.push_back(request);
    }

    /// Returns the team whose next request can go on, the one served least by weight.
    pub fn next_team(&mut self, passed_over: &[usize], at: ClockTime) -> Option<usize> {
        let teams = self.teams.values_mut().enumerate();
        let able = teams.filter_map(|(index, entry)| {
            if passed_over.contains(&index) {
                return None;
            }
            if entry.ready.is_empty() {
                if entry.waiting.is_empty() {
                    return None;
                }
                entry.refill(at);
                if !entry.has_room() {
                    return None;
                }
            }
            Some((entry.pass, index))
        });
        able.min().map(|(_, index)| index)
    }

    /// Lets the next waiting request of a team through.
    pub fn let_through(&mut self, team: &TeamName) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.waiting.pop_front();
            entry.running += 1;
            entry.tokens = entry.tokens.saturating_sub(THOUSANDTHS);
        }
    }

    /// Notes that a request of a team was handed to an endpoint.
    pub fn served(&mut self, team: &TeamName) {
        if let Some(entry) = self.teams.get_mut(team) {
            self.pass = self.pass.max(entry.pass);
            entry.pass += STRIDE / entry.weight.max(1);
        }
    }

    /// Forgets a request that has ended.
    pub fn close(&mut self, team: &TeamName, request: RequestId, was_let_through: bool) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        entry.open = entry.open.saturating_sub(1);
        if was_let_through {
            entry.running = entry.running.saturating_sub(1);
            entry.ready.retain(|other| *other != request);
        } else {
            entry.waiting.retain(|other| *other != request);
        }
    }
}

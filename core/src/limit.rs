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
const TOKENS_PER_REQUEST: u64 = 1_000;

/// Advance of a team of weight 1 for one request. Divides well by usual weights.
const STRIDE: u64 = 1 << 20;

/// Weight of the last attempt in the scaled_mean time of a request, as a part of this number.
const MEAN_DIVISOR: u64 = 8;

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
    pub admitted: u32,
    /// Requests that may be let through now, in thousandths.
    tokens: u64,
    refilled_at: ClockTime,
    /// Position in the order of service; the team with the lowest goes next.
    pass: u64,
    /// Requests that wait to be let through.
    pub queued: VecDeque<RequestId>,
    /// Requests that were let through and wait for an endpoint.
    pub ready: VecDeque<RequestId>,
    /// Retries that the team has left.
    pub budget: RetryBudget,
    /// Mean time of an attempt, in milliseconds times [`MEAN_DIVISOR`].
    scaled_mean: u64,
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
    pub const fn expected_duration(&self) -> TimeSpan {
        TimeSpan(self.scaled_mean / MEAN_DIVISOR)
    }

    /// Takes the time of an attempt.
    pub const fn record_duration(&mut self, span: TimeSpan) {
        self.scaled_mean = self.scaled_mean - self.scaled_mean / MEAN_DIVISOR + span.0;
    }

    fn refill(&mut self, at: ClockTime) {
        let gained = at.since(self.refilled_at).0 * u64::from(self.rate);
        let max_tokens = u64::from(self.rate) * TOKENS_PER_REQUEST;
        self.tokens = self.tokens.saturating_add(gained).min(max_tokens);
        self.refilled_at = self.refilled_at.max(at);
    }

    /// Tells whether the next waiting request may be let through.
    fn can_admit(&self) -> bool {
        self.admitted < self.concurrency && self.tokens >= TOKENS_PER_REQUEST
    }

    /// Returns how long a new request would wait at least.
    fn min_wait(&self) -> TimeSpan {
        let queued_count = self.queued.len() as u64;
        let needed = ((queued_count + 1) * TOKENS_PER_REQUEST).saturating_sub(self.tokens);
        let by_rate = needed.div_ceil(u64::from(self.rate.max(1)));
        let by_service =
            self.expected_duration().0 * queued_count / u64::from(self.admitted.max(1));
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
        let is_known = table.teams.contains_key(team);
        let entry = table.teams.entry(team.clone()).or_default();
        let share_of = |total| quota::share(total, daemons, own, team.as_str());
        entry.refill(at);
        entry.weight = weight(file);
        entry.concurrency = share_of(file.limits.concurrency);
        entry.rate = share_of(file.limits.rate_per_second);
        let max_tokens = u64::from(entry.rate) * TOKENS_PER_REQUEST;
        entry.tokens = if is_known {
            entry.tokens.min(max_tokens)
        } else {
            max_tokens
        };
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
        let can_open = self.is_within_share(team, open_limit, |entry| entry.open as usize);
        let can_queue = self.is_within_share(team, queue_limit, |entry| entry.queued.len());
        let entry = self.teams.entry(team.clone()).or_default();
        entry.refill(at);
        if entry.concurrency == 0 || entry.rate == 0 {
            return Err("the team's limit leaves this daemon no part");
        }
        if !can_open {
            return Err("too many requests are open");
        }
        if !(can_queue || entry.can_admit() && entry.queued.is_empty()) {
            return Err("too many requests wait");
        }
        if at + entry.min_wait() > deadline {
            return Err("the request would wait beyond its deadline");
        }
        entry.open += 1;
        Ok(())
    }

    /// Tells whether a team may take one more place of a table: one of its guaranteed places, or
    /// one of those that are shared.
    fn is_within_share(
        &self,
        team: &TeamName,
        limit: u32,
        used: impl Fn(&TeamEntry) -> usize,
    ) -> bool {
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
        if entry.queued.is_empty() && entry.ready.is_empty() {
            // A team that was idle does not catch up on the service that it did not ask for.
            entry.pass = entry.pass.max(pass);
        }
        entry.queued.push_back(request);
    }

    /// Puts a request that was let through in front of the endpoints.
    pub fn make_ready(&mut self, team: &TeamName, request: RequestId) {
        let pass = self.pass;
        let entry = self.teams.entry(team.clone()).or_default();
        if entry.queued.is_empty() && entry.ready.is_empty() {
            entry.pass = entry.pass.max(pass);
        }
        entry.ready.push_back(request);
    }

    /// Returns the team whose next request can go on, the one served least by weight.
    pub fn next_team(&mut self, skipped: &[usize], at: ClockTime) -> Option<usize> {
        let teams = self.teams.values_mut().enumerate();
        let eligible = teams.filter_map(|(index, entry)| {
            if skipped.contains(&index) {
                return None;
            }
            if entry.ready.is_empty() {
                if entry.queued.is_empty() {
                    return None;
                }
                entry.refill(at);
                if !entry.can_admit() {
                    return None;
                }
            }
            Some((entry.pass, index))
        });
        eligible.min().map(|(_, index)| index)
    }

    /// Lets the next waiting request of a team through.
    pub fn admit(&mut self, team: &TeamName) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.queued.pop_front();
            entry.admitted += 1;
            entry.tokens = entry.tokens.saturating_sub(TOKENS_PER_REQUEST);
        }
    }

    /// Notes that a request of a team was handed to an endpoint.
    pub fn record_dispatch(&mut self, team: &TeamName) {
        if let Some(entry) = self.teams.get_mut(team) {
            self.pass = self.pass.max(entry.pass);
            entry.pass += STRIDE / entry.weight.max(1);
        }
    }

    /// Forgets a request that has ended.
    pub fn close(&mut self, team: &TeamName, request: RequestId, was_admitted: bool) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        entry.open = entry.open.saturating_sub(1);
        if was_admitted {
            entry.admitted = entry.admitted.saturating_sub(1);
            entry.ready.retain(|other| *other != request);
        } else {
            entry.queued.retain(|other| *other != request);
        }
    }
}

//! Limits of each team's short requests at this daemon: concurrency, rate and queue.

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

/// Percentage of a table's slots that is guaranteed to teams in proportion to their weights. The
/// rest is shared, so a team can use slots that no other team needs.
const GUARANTEED_PERCENT: u64 = 50;

/// Rate limit tokens that one request costs. A rate of 1 per second refills 1 token per
/// millisecond.
const TOKENS_PER_REQUEST: u64 = 1_000;

/// Stride of a team of weight 1 in stride scheduling. Divides well by the usual weights.
const STRIDE: u64 = 1 << 20;

/// Divisor of the moving average of attempt durations: the latest attempt has a weight of 1/8.
const MEAN_DIVISOR: u64 = 8;

/// The limits, queue and retry budget of one team at this daemon.
#[derive(Clone, Debug, Default)]
pub struct TeamEntry {
    /// Weight from the team file, at least 1.
    weight: u64,
    /// This daemon's share of the team's concurrency limit.
    pub concurrency: u32,
    /// This daemon's share of the team's rate limit, in requests per second.
    pub rate: u32,
    /// Number of open requests, including queued ones.
    pub open_count: u32,
    /// Number of admitted requests that are still open.
    pub admitted_count: u32,
    /// Rate limit tokens available, in thousandths of a request.
    tokens: u64,
    refilled_at: ClockTime,
    /// Virtual time in stride scheduling. The team with the lowest value goes next.
    pass: u64,
    /// Requests that wait for admission, in order of arrival.
    pub queued: VecDeque<RequestId>,
    /// Admitted requests that wait for an endpoint.
    pub ready: VecDeque<RequestId>,
    /// Retries that the team can still use.
    pub budget: RetryBudget,
    /// Moving average of attempt durations, in milliseconds times [`MEAN_DIVISOR`].
    scaled_mean: u64,
}

/// The teams, and the inputs that their shares were computed from.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    /// Teams by name. A removed team stays while it has open requests.
    pub teams: IndexMap<TeamName, TeamEntry>,
    version: ConfigVersion,
    total_weight: u64,
    /// Virtual time of the team that was dispatched last.
    pass: u64,
}

impl TeamEntry {
    /// Returns the average duration of the team's recent attempts; 0 before the first.
    #[must_use]
    pub const fn expected_duration(&self) -> TimeSpan {
        TimeSpan(self.scaled_mean / MEAN_DIVISOR)
    }

    /// Adds the duration of an attempt to the moving average.
    pub const fn record_duration(&mut self, span: TimeSpan) {
        self.scaled_mean = self.scaled_mean - self.scaled_mean / MEAN_DIVISOR + span.0;
    }

    fn refill(&mut self, at: ClockTime) {
        let refill = at.since(self.refilled_at).0 * u64::from(self.rate);
        let max_tokens = u64::from(self.rate) * TOKENS_PER_REQUEST;
        self.tokens = self.tokens.saturating_add(refill).min(max_tokens);
        self.refilled_at = self.refilled_at.max(at);
    }

    /// Returns whether the concurrency and rate limits allow the next queued request.
    fn can_admit(&self) -> bool {
        self.admitted_count < self.concurrency && self.tokens >= TOKENS_PER_REQUEST
    }

    /// Returns a lower bound of the time that a new request would be queued.
    fn min_wait(&self) -> TimeSpan {
        let queued_count = self.queued.len() as u64;
        let needed = ((queued_count + 1) * TOKENS_PER_REQUEST).saturating_sub(self.tokens);
        let by_rate = needed.div_ceil(u64::from(self.rate.max(1)));
        let by_service =
            self.expected_duration().0 * queued_count / u64::from(self.admitted_count.max(1));
        TimeSpan(by_rate.max(by_service))
    }
}

/// Recomputes the share of each team when the configuration or the daemons have changed.
pub fn refresh(state: &mut DaemonState, have_daemons_changed: bool, at: ClockTime) {
    let config = &state.ledger.config;
    let table = &mut state.requests.limits;
    if !have_daemons_changed && table.version == config.version && !table.teams.is_empty() {
        return;
    }
    table.version = config.version;
    table.total_weight = config.teams.values().map(weight).sum();
    table
        .teams
        .retain(|team, entry| entry.open_count > 0 || config.teams.contains_key(team));
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
    /// Checks that a team can open another request, and counts it. The limits are those of the
    /// request table and of the queue.
    ///
    /// # Errors
    ///
    /// Returns the limit that was reached.
    pub fn open(
        &mut self,
        team: &TeamName,
        deadline: ClockTime,
        (open_limit, queue_limit): (u32, u32),
        at: ClockTime,
    ) -> Result<(), &'static str> {
        let can_open = self.is_within_share(team, open_limit, |entry| entry.open_count as usize);
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
        entry.open_count += 1;
        Ok(())
    }

    /// Returns whether a team may use one more slot of a table: one of its guaranteed slots, or a
    /// shared one.
    fn is_within_share(
        &self,
        team: &TeamName,
        limit: u32,
        used: impl Fn(&TeamEntry) -> usize,
    ) -> bool {
        let guaranteed_slots = u64::from(limit) * GUARANTEED_PERCENT / 100;
        let guaranteed =
            |entry: &TeamEntry| guaranteed_slots * entry.weight / self.total_weight.max(1);
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

    /// Adds a request to the end of its team's queue.
    pub fn enqueue(&mut self, team: &TeamName, request: RequestId) {
        let pass = self.pass;
        let entry = self.teams.entry(team.clone()).or_default();
        if entry.queued.is_empty() && entry.ready.is_empty() {
            // A team that was idle gets no credit for the time before this request.
            entry.pass = entry.pass.max(pass);
        }
        entry.queued.push_back(request);
    }

    /// Adds an admitted request to the team's requests that wait for an endpoint.
    pub fn make_ready(&mut self, team: &TeamName, request: RequestId) {
        let pass = self.pass;
        let entry = self.teams.entry(team.clone()).or_default();
        if entry.queued.is_empty() && entry.ready.is_empty() {
            entry.pass = entry.pass.max(pass);
        }
        entry.ready.push_back(request);
    }

    /// Returns the index of the team whose next request can proceed, the one with the least
    /// weighted service. Teams in `skipped` are left out.
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

    /// Admits the next queued request of a team.
    pub fn admit(&mut self, team: &TeamName) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.queued.pop_front();
            entry.admitted_count += 1;
            entry.tokens = entry.tokens.saturating_sub(TOKENS_PER_REQUEST);
        }
    }

    /// Advances the team's virtual time after a request was sent to an endpoint.
    pub fn record_dispatch(&mut self, team: &TeamName) {
        if let Some(entry) = self.teams.get_mut(team) {
            self.pass = self.pass.max(entry.pass);
            entry.pass += STRIDE / entry.weight.max(1);
        }
    }

    /// Removes a request that has ended.
    pub fn close(&mut self, team: &TeamName, request: RequestId, was_admitted: bool) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        entry.open_count = entry.open_count.saturating_sub(1);
        if was_admitted {
            entry.admitted_count = entry.admitted_count.saturating_sub(1);
            entry.ready.retain(|other| *other != request);
        } else {
            entry.queued.retain(|other| *other != request);
        }
    }
}

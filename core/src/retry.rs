//! Retry rules and the retry budget.

use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Maximum number of attempts of one request, first attempt included. Bounds the cost of a request
/// that every endpoint refuses.
const MAX_ATTEMPTS: u32 = 4;

/// Maximum number of retries in a team's budget. Enough to cover the requests in flight at one
/// endpoint when it fails.
const MAX_SAVED_RETRIES: u64 = 50;

/// Retry budget of a team, in hundredths of a retry. First attempts add to it, retries consume it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    hundredths: u64,
}

impl RetryBudget {
    /// Adds `percent` hundredths of a retry, up to the maximum.
    pub fn deposit(&mut self, percent: u32) {
        self.hundredths = (self.hundredths + u64::from(percent)).min(MAX_SAVED_RETRIES * 100);
    }

    /// Consumes one retry. Returns `false` when less than one is left.
    pub fn withdraw(&mut self) -> bool {
        let Some(rest) = self.hundredths.checked_sub(100) else {
            return false;
        };
        self.hundredths = rest;
        true
    }
}

/// The state of a request that determines whether it is retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryCase {
    /// Whether the service allows the request to run more than once.
    pub repeatable: bool,
    /// Whether the last attempt may have run.
    pub may_have_run: bool,
    /// Number of attempts sent so far.
    pub attempt_count: u32,
    /// When the caller stops waiting.
    pub deadline: ClockTime,
    /// Average duration of the team's recent attempts.
    pub expected_duration: TimeSpan,
}

impl RetryCase {
    /// Returns whether another attempt is allowed. After an attempt that may have run, the work
    /// must be repeatable and the budget must have a retry left. After one that did not run, the
    /// retry is free, because the endpoint did no work for it.
    pub fn allows(&self, at: ClockTime, budget: &mut RetryBudget) -> bool {
        if self.attempt_count >= MAX_ATTEMPTS || self.deadline <= at + self.expected_duration {
            return false;
        }
        !self.may_have_run || (self.repeatable && budget.withdraw())
    }
}

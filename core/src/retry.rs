//! Rules and budget of retries.

use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Attempts of one request, of all kinds. Bounds what one request costs when every endpoint
/// refuses it.
const MAX_ATTEMPTS: u32 = 4;

/// Retries that a team can save up in calm times, enough to cover the requests that are in flight
/// at one endpoint when it fails.
const MAX_SAVED_RETRIES: u64 = 50;

/// Retries that a team has earned and not used, in hundredths of a retry.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    hundredths: u64,
}

impl RetryBudget {
    /// Earns `percent` hundredths of a retry for a first attempt.
    pub fn deposit(&mut self, percent: u32) {
        self.hundredths = (self.hundredths + u64::from(percent)).min(MAX_SAVED_RETRIES * 100);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self) -> bool {
        let Some(rest) = self.hundredths.checked_sub(100) else {
            return false;
        };
        self.hundredths = rest;
        true
    }
}

/// What decides on a further attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryCase {
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Whether the last attempt may have run.
    pub may_have_run: bool,
    /// Attempts so far.
    pub attempt_count: u32,
    /// When the caller stops waiting.
    pub deadline: ClockTime,
    /// How long a request of the team takes.
    pub expected_duration: TimeSpan,
}

impl RetryCase {
    /// Tells whether another attempt is allowed. An attempt that may have run is repeated only
    /// when the work is repeatable and the budget has a retry left. One that has not run
    /// costs no budget, because the endpoint did no work for it.
    pub fn allows(&self, at: ClockTime, budget: &mut RetryBudget) -> bool {
        if self.attempt_count >= MAX_ATTEMPTS || self.deadline <= at + self.expected_duration {
            return false;
        }
        !self.may_have_run || (self.repeatable && budget.withdraw())
    }
}

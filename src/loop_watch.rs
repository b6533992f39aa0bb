//! How busy the control thread is, and how many events wait for it.

use std::time::Duration;

use mustardpath_core::effect::ControlEffect;
use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Length of a period.
const PERIOD: TimeSpan = TimeSpan(1_000);

/// Busy time in a period from which a line is written.
const BUSY_LIMIT: Duration = Duration::from_millis(250);

/// Waiting events from which a line is written.
const QUEUE_LIMIT: usize = 100;

/// Adds up the work of the control thread over a period.
#[derive(Debug, Default)]
pub struct LoopWatch {
    begun: ClockTime,
    events: u64,
    busy: Duration,
    longest: Duration,
    most_queued: usize,
}

impl LoopWatch {
    /// Notes an event that took `busy` of real time while `queued` others waited.
    pub fn note(&mut self, busy: Duration, queued: usize) {
        self.events += 1;
        self.busy += busy;
        self.longest = self.longest.max(busy);
        self.most_queued = self.most_queued.max(queued);
    }

    /// Begins a new period when the present one is over. Returns a line about a busy one.
    pub fn turn(&mut self, at: ClockTime) -> Option<ControlEffect> {
        if at.since(self.begun) < PERIOD {
            return None;
        }
        let span = at.since(self.begun);
        let ended = std::mem::take(self);
        self.begun = at;
        let is_busy = ended.busy >= BUSY_LIMIT || ended.most_queued >= QUEUE_LIMIT;
        is_busy.then(|| ControlEffect::LogLine {
            target: LogTarget::Process,
            level: LogLevel::Info,
            line: format!(
                "outcome=busy span_ms={span} events={} busy_ms={} longest_ms={} most_queued={}",
                ended.events,
                ended.busy.as_millis(),
                ended.longest.as_millis(),
                ended.most_queued
            ),
        })
    }
}

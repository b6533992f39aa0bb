//! Load of the control thread: its busy time and the length of its event queue.

use std::time::Duration;

use mustardpath_core::effect::ControlEffect;
use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Length of a window.
const WINDOW: TimeSpan = TimeSpan(1_000);

/// Busy time per window from which the load is logged.
const BUSY_THRESHOLD: Duration = Duration::from_millis(250);

/// Number of queued events from which the load is logged.
const QUEUE_THRESHOLD: usize = 100;

/// Accumulates the load of the control thread over a window.
#[derive(Debug, Default)]
pub struct LoopMonitor {
    window_start: ClockTime,
    events: u64,
    busy_time: Duration,
    longest_event: Duration,
    max_queued: usize,
}

impl LoopMonitor {
    /// Records an event that took `busy_time` of wall time and left `queued` events in the queue.
    pub fn record(&mut self, busy_time: Duration, queued: usize) {
        self.events += 1;
        self.busy_time += busy_time;
        self.longest_event = self.longest_event.max(busy_time);
        self.max_queued = self.max_queued.max(queued);
    }

    /// Starts a new window when the current one has ended. Returns a log line when the load of the
    /// ended window reached a threshold.
    pub fn roll_over(&mut self, at: ClockTime) -> Option<ControlEffect> {
        if at.since(self.window_start) < WINDOW {
            return None;
        }
        let span = at.since(self.window_start);
        let ended = std::mem::take(self);
        self.window_start = at;
        let is_over_threshold =
            ended.busy_time >= BUSY_THRESHOLD || ended.max_queued >= QUEUE_THRESHOLD;
        is_over_threshold.then(|| ControlEffect::LogLine {
            target: LogTarget::Process,
            level: LogLevel::Info,
            line: format!(
                "outcome=busy span_ms={span} events={} busy_ms={} longest_ms={} most_queued={}",
                ended.events,
                ended.busy_time.as_millis(),
                ended.longest_event.as_millis(),
                ended.max_queued
            ),
        })
    }
}

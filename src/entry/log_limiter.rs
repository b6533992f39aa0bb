//! Rate limit for log lines.

use indexmap::IndexMap;

use crate::logs::LogLine;
use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Maximum number of info lines per target and window. Warnings are not limited.
pub const LINES_PER_WINDOW: u32 = 300;

/// Length of a window.
pub const WINDOW: TimeSpan = TimeSpan(1_000);

/// Counts the log lines of each target in the current window.
#[derive(Debug, Default)]
pub struct LogLimiter {
    window_start: ClockTime,
    written: IndexMap<LogTarget, u32>,
    omitted: IndexMap<LogTarget, u64>,
}

impl LogLimiter {
    /// Returns whether a line may be written, and counts it as written or as omitted.
    pub fn admit(&mut self, target: LogTarget, level: LogLevel) -> bool {
        if level == LogLevel::Warn {
            return true;
        }
        let written = self.written.entry(target).or_default();
        *written += 1;
        let is_admitted = *written <= LINES_PER_WINDOW;
        if !is_admitted {
            *self.omitted.entry(target).or_default() += 1;
        }
        is_admitted
    }

    /// Starts a new window when the current one has ended. Returns one warning for each target with
    /// omitted lines, together with their number.
    pub fn roll_over(&mut self, at: ClockTime) -> Vec<(LogLine, u64)> {
        if at.since(self.window_start) < WINDOW {
            return Vec::new();
        }
        self.window_start = at;
        self.written.clear();
        let omitted = self.omitted.drain(..).map(|(target, count)| {
            let line = LogLine {
                target,
                level: LogLevel::Warn,
                line: format!("outcome=lines_omitted count={count}"),
            };
            (line, count)
        });
        omitted.collect()
    }
}

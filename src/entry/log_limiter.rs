//! A bound on the volume of the log.

use indexmap::IndexMap;

use crate::logs::LogLine;
use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Lines of one target at level info within a period. Warnings are never left out.
pub const LINES_PER_WINDOW: u32 = 300;

/// Length of a period.
pub const WINDOW: TimeSpan = TimeSpan(1_000);

/// Counts the lines of each target within a period.
#[derive(Debug, Default)]
pub struct LogLimiter {
    window_start: ClockTime,
    written: IndexMap<LogTarget, u32>,
    omitted: IndexMap<LogTarget, u64>,
}

impl LogLimiter {
    /// Tells whether a line may be written now.
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

    /// Begins a new period when the present one is over, and returns a line for each target of which
    /// lines were left out, with their number.
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

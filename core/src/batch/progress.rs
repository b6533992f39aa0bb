//! How fast a run advances, from the progress that its worker lists.

use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Least time between two marks that show a speed.
const LEAST_SPAN: TimeSpan = TimeSpan(500);

/// Part of the expected run time that has to lie between two marks. Progress is listed in whole
/// percent, so marks that are closer show a sound run as one that stands still.
const LEAST_PART: u64 = 12;

/// The time that a run needs which does not advance at all.
const STANDSTILL: TimeSpan = TimeSpan(3_600_000);

/// Progress at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ProgressMark {
    percent: u32,
    at: ClockTime,
}

/// Progress of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunProgress {
    older: Option<ProgressMark>,
    newer: Option<ProgressMark>,
}

impl RunProgress {
    /// Notes that the run has begun its work from nothing.
    pub fn begin(&mut self, at: ClockTime) {
        *self = Self::default();
        self.note(0, at, TimeSpan(0));
    }

    /// Notes what a worker lists of a run that is expected to take `expected`.
    pub fn note(&mut self, percent: u32, at: ClockTime, expected: TimeSpan) {
        let mark = ProgressMark { percent, at };
        let Some(older) = self.older else {
            self.older = Some(mark);
            return;
        };
        let is_apart = |newer: &ProgressMark| newer.at.since(older.at) >= least_span(expected);
        if self.newer.as_ref().is_some_and(is_apart) {
            self.older = self.newer;
        }
        self.newer = Some(mark);
    }

    /// Returns the newest progress in percent.
    #[must_use]
    pub fn percent(&self) -> u32 {
        let mark = self.newer.or(self.older);
        mark.map_or(0, |mark| mark.percent)
    }

    /// Returns the time that the rest of the work takes at the present speed, once that is known.
    #[must_use]
    pub fn rest(&self, expected: TimeSpan, at: ClockTime) -> Option<TimeSpan> {
        let older = self.older?;
        let newer = self.newer?;
        let span = newer.at.since(older.at);
        if newer.percent >= 100 {
            return Some(TimeSpan(0));
        }
        if span < least_span(expected) {
            return None;
        }
        let gained = u64::from(newer.percent.saturating_sub(older.percent));
        let missing = u64::from(100 - newer.percent);
        let rest = (span.0 * missing).checked_div(gained);
        let rest = rest.map_or(STANDSTILL, TimeSpan);
        Some(TimeSpan(rest.0.saturating_sub(at.since(newer.at).0)))
    }
}

fn least_span(expected: TimeSpan) -> TimeSpan {
    LEAST_SPAN.max(TimeSpan(expected.0 / LEAST_PART))
}

//! Pacing of the appends of callers' records.
//!
//! Load pattern: the store processes the appends of the topic one at a time and refuses them once
//! too many wait. While it is slow, the daemons' appends for callers take all of its time, although
//! each daemon has only one in flight, and the planner's appends are refused. A daemon that sees a
//! slow response leaves a pause before its next append, which then carries more records.

use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Response time up to which the store counts as fast and nothing is delayed.
const FAST_RESPONSE: TimeSpan = TimeSpan(200);

/// Pause relative to the response time beyond [`FAST_RESPONSE`].
const PAUSE_FACTOR: u64 = 2;

/// Pause after the first refusal. It doubles with each refusal in a row.
const REFUSAL_PAUSE: TimeSpan = TimeSpan(250);

/// Pause below which the next fast response ends it.
const MIN_KEPT_PAUSE: TimeSpan = TimeSpan(100);

/// Maximum pause. A call that waits for it and for a slow response still ends within the default
/// timeout of callers.
const MAX_PAUSE: TimeSpan = TimeSpan(1_500);

/// Pauses between appends, by the response time that this daemon sees.
#[derive(Clone, Copy, Debug, Default)]
pub struct AppendPacing {
    pause: TimeSpan,
    next_at: ClockTime,
}

impl AppendPacing {
    /// Returns whether the next append may be sent.
    #[must_use]
    pub fn may_send(&self, at: ClockTime) -> bool {
        at >= self.next_at
    }

    /// Returns the pause after the last append.
    #[must_use]
    pub const fn pause(&self) -> TimeSpan {
        self.pause
    }

    /// Records the response time of a stored append.
    pub fn record_response(&mut self, response_time: TimeSpan, at: ClockTime) {
        let excess = response_time.0.saturating_sub(FAST_RESPONSE.0);
        let pause = TimeSpan(excess.saturating_mul(PAUSE_FACTOR));
        // A pause shrinks by half at most, because one fast response does not show that the store is
        // fast again.
        let kept = if self.pause >= MIN_KEPT_PAUSE {
            TimeSpan(self.pause.0 / 2)
        } else {
            TimeSpan(0)
        };
        self.set_pause(pause.max(kept), at);
    }

    /// Records that the store has refused an append.
    pub fn record_refusal(&mut self, at: ClockTime) {
        let doubled = TimeSpan(self.pause.0 * 2);
        self.set_pause(doubled.max(REFUSAL_PAUSE), at);
    }

    fn set_pause(&mut self, pause: TimeSpan, at: ClockTime) {
        self.pause = pause.min(MAX_PAUSE);
        self.next_at = at + self.pause;
    }
}

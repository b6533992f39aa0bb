//! Order of the first loads of the batch topic after a start.
//!
//! Load pattern: when all daemons start at the same time, they load the topic over one link
//! between the regions, and each load ends only when nearly all of them do. The daemons that may
//! become the planner load first. The others wait for their read of the configuration, which tells
//! how full the link is, and spread their loads accordingly.

use crate::batch::fitness::VmResources;
use crate::batch::state::BatchState;
use crate::batch::term;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::units::TimeSpan;

/// Response time of the first read up to which the loads of other daemons do not delay it.
const FAST_RESPONSE: TimeSpan = TimeSpan(300);

/// Span of the loads relative to the response time of the first read.
const SPREAD_FACTOR: u64 = 2;

/// Maximum span of the loads, so that all daemons take callers within a few seconds.
const MAX_SPREAD: TimeSpan = TimeSpan(2_000);

/// Returns whether the first load of the batch topic may begin.
pub fn may_load(state: &mut BatchState, context: &mut StepContext<'_>) -> bool {
    let is_candidate = VmResources::of(&state.settings).claim_delay() == TimeSpan(0);
    if state.batch_reader.is_loaded() || is_candidate {
        return true;
    }
    let Some(loaded_at) = state.operator_reader.loaded_at() else {
        return false;
    };
    let spread = load_spread(state.operator_reader.round_trip());
    let delay = term::stagger_offset(&state.daemon, spread);
    if spread.0 > 0 && state.load_delay != Some(delay) {
        state.load_delay = Some(delay);
        let line = format!("topic=Batch outcome=load_delayed delay_ms={delay} spread_ms={spread}");
        context.info(LogTarget::Log, line);
    }
    context.at >= loaded_at + delay
}

/// Returns the span over which daemons spread their loads, from the response time of their first
/// read.
#[must_use]
pub fn load_spread(response_time: TimeSpan) -> TimeSpan {
    if response_time <= FAST_RESPONSE {
        return TimeSpan(0);
    }
    TimeSpan(response_time.0.saturating_mul(SPREAD_FACTOR)).min(MAX_SPREAD)
}

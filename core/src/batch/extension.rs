//! Extension of leases by a planner that has no contact with the store.

use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::units::TimeSpan;

/// Maximum age of the last confirmed read of the batch topic for the planner to extend leases.
///
/// A planner that is cut off from the store keeps running work alive for this long. Its successor
/// waits as long before it gives up a worker that it cannot reach.
pub const MAX_EXTENSION_AGE: TimeSpan = TimeSpan(5_000);

/// Logs when the planner stops extending the leases of its workers, and when it goes on.
pub fn report(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let can_extend = state.can_extend_leases(at);
    let confirmed_at = state.batch_reader.confirmed_at();
    let Some(planner) = &mut state.planner else {
        return;
    };
    if planner.is_extending == can_extend {
        return;
    }
    planner.is_extending = can_extend;
    let outcome = if can_extend {
        "extensions_resumed"
    } else {
        "extensions_stopped"
    };
    let read_age = confirmed_at.map_or(TimeSpan(0), |confirmed_at| at.since(confirmed_at));
    let line = format!(
        "term={} outcome={outcome} read_age_ms={read_age} runs={}",
        planner.term,
        planner.live_runs.len()
    );
    context.info(LogTarget::Lease, line);
}

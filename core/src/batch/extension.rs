//! Extension of leases by planners that have no contact with the store.

use crate::batch::record::TermRecord;
use crate::batch::state::BatchState;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Maximum age of the last confirmed read of the batch topic for the planner to extend leases.
///
/// A planner that is cut off from the store keeps running work alive for this long. The planners
/// after it wait as long before they give up a worker that they cannot reach.
pub const MAX_EXTENSION_AGE: TimeSpan = TimeSpan(5_000);

/// Time until which former holders of the planner's term may extend leases, as far as this process
/// knows.
///
/// A former holder may not know that its term has ended. Its last confirmed read is then older than
/// the claim of the next term, so it extends leases for at most [`MAX_EXTENSION_AGE`] after that
/// claim is stored. Later claims, also by this daemon, do not end that time earlier.
#[derive(Clone, Debug, Default)]
pub struct ExtensionBound {
    /// The newest term record that was read.
    newest: Option<TermRecord>,
    /// End of the time in which holders of the terms before the newest one may extend leases.
    ends_at: ClockTime,
}

impl ExtensionBound {
    /// Takes a term record into account that was read, in the order of the topic or by a load.
    ///
    /// A load does not show which terms came before, so the first record that a process reads counts
    /// as a claim that was stored just now.
    pub fn observe(&mut self, record: &TermRecord, at: ClockTime) {
        let newest = self.newest.as_ref();
        if newest.is_some_and(|newest| newest.term > record.term) {
            // The load returned pages that are out of date.
            return;
        }
        let is_covered =
            newest.is_some_and(|newest| newest.term == record.term || is_ended_by(newest, record));
        if !is_covered {
            self.ends_at = at + MAX_EXTENSION_AGE;
        }
        self.newest = Some(record.clone());
    }

    /// Returns the time until which former holders may extend leases.
    #[must_use]
    pub const fn ends_at(&self) -> ClockTime {
        self.ends_at
    }
}

/// Returns whether the holder of a term certainly extends no leases once the next record is stored:
/// it has released the term, or its daemon has claimed the next one. A gap between the terms hides
/// another holder.
fn is_ended_by(term: &TermRecord, next: &TermRecord) -> bool {
    let is_next = next.term.0 == term.term.0 + 1;
    is_next && (term.holder.is_none() || term.holder == next.holder)
}

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

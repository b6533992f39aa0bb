//! The planner's term: claim, renewal, release, and expiry by the local clock.

use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::TermNumber;
use crate::ledger;
use crate::member;
use crate::outbox::RecordPurpose;
use crate::record::LogRecord;
use crate::record::RecordBody;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// This daemon's local state of the term, beyond the ledger.
#[derive(Clone, Debug, Default)]
pub struct LocalTerm {
    /// When this daemon last read a claim, renewal or release. Initially, when it first caught up
    /// with the log or loaded a ledger.
    pub last_seen_at: Option<ClockTime>,
    /// Until when this process may act as the planner, by its own clock; `None` when it does not
    /// hold the term.
    pub valid_until: Option<ClockTime>,
    renew_at: ClockTime,
    /// Whether this daemon releases the term and makes no further claims.
    pub is_stepping_down: bool,
}

/// Returns whether this process holds the term now. Every action of the planner checks it, so a
/// process that resumes after a pause does not act on an expired term.
#[must_use]
pub fn is_planner(state: &DaemonState, at: ClockTime) -> bool {
    state.term.valid_until.is_some_and(|until| at < until)
        && state.ledger.term.holder.as_ref() == Some(state.outbox.writer())
}

/// Updates the local state after a valid claim, renewal or release.
///
/// Returns whether this process has just acquired the term.
pub fn observe(state: &mut DaemonState, record: &LogRecord, context: &mut StepContext<'_>) -> bool {
    state.term.last_seen_at = Some(context.at);
    let is_own = record.writer == *state.outbox.writer();
    let is_claim = matches!(record.body, RecordBody::TermClaimed { .. });
    if is_claim {
        let daemon = &record.writer.daemon;
        context.info(
            LogTarget::Term,
            format!("term {} acquired by {daemon}", state.ledger.term.number),
        );
    }
    if !is_own || matches!(record.body, RecordBody::TermReleased { .. }) {
        state.term.valid_until = None;
        return false;
    }
    let timing = &state.settings.timing;
    let validity = TimeSpan(timing.term.0.saturating_sub(timing.clock_margin.0));
    state.term.valid_until = Some(record.at + validity);
    is_claim
}

/// Renews the term when this daemon holds it, or claims it when the holder's term has expired.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    if !state.reader.is_loaded || state.outbox.contains(&RecordPurpose::Term) {
        return;
    }
    let is_holder = state.ledger.term.holder.as_ref() == Some(state.outbox.writer());
    if is_holder {
        renew(state, context);
    } else if !state.term.is_stepping_down && can_claim(state, context.at) {
        claim(state, context);
    }
}

fn renew(state: &mut DaemonState, context: &StepContext<'_>) {
    if state.term.is_stepping_down || context.at < state.term.renew_at {
        return;
    }
    state.term.renew_at = context.at + state.settings.timing.term_renewal;
    let body = RecordBody::TermRenewed {
        term: state.ledger.term.number,
    };
    state.outbox.push(context.at, body, RecordPurpose::Term);
}

fn can_claim(state: &DaemonState, at: ClockTime) -> bool {
    let timing = &state.settings.timing;
    if !state.reader.is_fresh(at, timing.freshness) {
        return false;
    }
    let Some(last_seen_at) = state.term.last_seen_at else {
        return false;
    };
    let rank = member::claim_rank(state, at);
    let delay = TimeSpan(timing.claim_step.0 * rank);
    let timeout = match ledger::term_holder(&state.ledger) {
        Some(_) => timing.term + timing.clock_margin + delay,
        None => delay,
    };
    at >= last_seen_at + timeout
}

fn claim(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let term = TermNumber(state.ledger.term.number.0 + 1);
    let daemon = state.settings.daemon.clone();
    context.info(LogTarget::Term, format!("claiming term {term}"));
    context.update_metric(MetricName::TermsClaimed, 1);
    state.term.renew_at = context.at + state.settings.timing.term_renewal;
    state.outbox.push(
        context.at,
        RecordBody::TermClaimed { term, daemon },
        RecordPurpose::Term,
    );
}

/// Releases the term, so a successor can claim it without waiting for expiry.
pub fn release(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let was_stepping_down = state.term.is_stepping_down;
    state.term.is_stepping_down = true;
    if was_stepping_down || !is_planner(state, context.at) {
        return;
    }
    context.info(LogTarget::Term, "releasing the term");
    let body = RecordBody::TermReleased {
        term: state.ledger.term.number,
    };
    state.outbox.push(context.at, body, RecordPurpose::Term);
}

//! Explanation of a job's state for its caller.

use crate::caller;
use crate::event::CallerCredential;
use crate::ids::JobId;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::ledger;
use crate::ledger::JobPhase;
use crate::state::DaemonState;
use crate::term;
use crate::units::ClockTime;
use crate::units::format_span;

/// Returns sentences that explain a job's state, the most important first.
///
/// # Errors
///
/// Returns `NotFound` if the job does not exist or the caller is not authorized to see it.
pub fn reasons(
    state: &DaemonState,
    credential: &CallerCredential,
    job: JobId,
    at: ClockTime,
) -> Result<Vec<String>, FailureReport> {
    let not_found = || FailureReport::new(ErrorKind::NotFound, format!("no job {job}"));
    let record = state.ledger.jobs.get(&job).ok_or_else(not_found)?;
    caller::authorize(state, credential, &record.order.team).map_err(|_| not_found())?;
    Ok(match &record.phase {
        JobPhase::Ended { .. } => vec!["the job has ended".to_owned()],
        JobPhase::Placed { workers, .. } => {
            vec![format!(
                "attempt {} holds {} workers",
                record.attempt,
                workers.len()
            )]
        }
        JobPhase::Queued => waiting_reasons(state, job, at),
    })
}

fn waiting_reasons(state: &DaemonState, job: JobId, at: ClockTime) -> Vec<String> {
    let mut reasons = Vec::new();
    let timing = &state.settings.timing;
    if !state.reader.is_fresh(at, timing.freshness) {
        let age = state
            .reader
            .confirmed_at
            .map(|confirmed| format_span(at.since(confirmed)));
        let age = age.unwrap_or_else(|| "the start".to_owned());
        reasons.push(format!(
            "the log has not answered this daemon for {age}; nothing is started"
        ));
    }
    if !term::is_planner(state, at) {
        reasons.push(match ledger::term_holder(&state.ledger) {
            Some(daemon) => format!("the planner is {daemon}; ask there for the policy's reasons"),
            None => "no daemon holds the planner's term".to_owned(),
        });
        return reasons;
    }
    if state.planner.runs.contains_key(&job) {
        reasons.push("workers are being reserved for it".to_owned());
    }
    reasons.extend(
        state
            .planner
            .policy
            .reasons
            .get(&job)
            .into_iter()
            .flatten()
            .cloned(),
    );
    if reasons.is_empty() {
        reasons.push("the policy has not looked at it yet".to_owned());
    }
    reasons
}

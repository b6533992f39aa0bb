//! Publication of team files: validates a change against the active configuration and appends it
//! to the log.

use crate::caller;
use crate::collection;
use crate::collection::CheckBounds;
use crate::config::TeamFile;
use crate::context::StepContext;
use crate::document::FileProblem;
use crate::event::CallerCredential;
use crate::fleet;
use crate::guarantee;
use crate::ids::CallerId;
use crate::ids::ConfigVersion;
use crate::ids::TeamName;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::outbox::RecordPurpose;
use crate::record::RecordBody;
use crate::state::DaemonState;
use crate::units::ClockTime;

/// Largest number of problems in the response to a change, which bounds the size of the response.
pub(crate) const MAX_REPORTED_PROBLEMS: usize = 10;

/// A change to the team files, based on version `base`.
pub(crate) struct ConfigChange<'a> {
    pub(crate) base: ConfigVersion,
    pub(crate) upsert: &'a [TeamFile],
    pub(crate) remove: &'a [TeamName],
    pub(crate) operator: &'a str,
}

pub(crate) fn publish(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    change: &ConfigChange<'_>,
    context: &mut StepContext<'_>,
) {
    if let Err(report) = check_change(state, credential, change, context.at) {
        context.fail(caller, report.kind, report.detail);
        return;
    }
    state.callers.await_record(caller);
    let body = RecordBody::ConfigChanged {
        base: change.base,
        upsert: change.upsert.to_vec(),
        remove: change.remove.to_vec(),
        operator: change.operator.to_owned(),
    };
    state
        .outbox
        .push(context.at, body, RecordPurpose::Publish { caller });
}

pub(crate) fn check_change(
    state: &DaemonState,
    credential: &CallerCredential,
    change: &ConfigChange<'_>,
    at: ClockTime,
) -> Result<(), FailureReport> {
    caller::require_operator(state, credential)?;
    caller::check_ready(state)?;
    if !state.reader.is_fresh(at, state.settings.timing.freshness) {
        return Err(FailureReport::new(
            ErrorKind::LogUnavailable,
            "the log has not answered",
        ));
    }
    let active = &state.ledger.config;
    if change.base != active.version {
        let detail = format!(
            "{} published version {} first; the change was made against version {}",
            active.operator, active.version, change.base
        );
        return Err(FailureReport::new(ErrorKind::LostRace, detail));
    }
    if !state.outbox.has_room(&state.settings.limits) {
        return Err(FailureReport::new(
            ErrorKind::Overloaded,
            "too many records wait",
        ));
    }
    let mut teams = active.teams.clone();
    for team in change.remove {
        teams.shift_remove(team);
    }
    for file in change.upsert {
        teams.shift_remove(&file.team);
    }
    let workers: Vec<_> = state
        .members
        .workers
        .values()
        .map(|entry| &entry.info)
        .collect();
    let limits = &state.settings.limits;
    let slots = fleet::idle_slots(&workers, limits.request_slots);
    let offered = slots.values().map(|slot| &slot.offered);
    let bounds = CheckBounds::of_workers(offered, limits.gang_members);
    collection::check_change(&teams, change.upsert, &bounds)
        .map_err(|problems| FailureReport::new(ErrorKind::BadConfig, format_problems(&problems)))?;
    for file in change.upsert {
        teams.insert(file.team.clone(), file.clone());
    }
    guarantee::check_guarantees(&teams, &slots)
        .map_err(|reason| FailureReport::new(ErrorKind::BadConfig, reason))
}

/// Formats the first problems of a change on one line.
pub(crate) fn format_problems(problems: &[FileProblem]) -> String {
    let lines = problems.iter().take(MAX_REPORTED_PROBLEMS);
    let lines: Vec<_> = lines
        .map(|problem| format!("{}: {}: {}", problem.file, problem.field, problem.message))
        .collect();
    lines.join("; ")
}

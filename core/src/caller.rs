//! Commands of callers and operators, and the callers that wait for a record or a job.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::config::TeamFile;
use crate::context::StepContext;
use crate::domain;
use crate::domain::DomainCommand;
use crate::dump;
use crate::effect::CallerAnswer;
use crate::effect::JobView;
use crate::effect::KeyView;
use crate::effect::MetricName;
use crate::event::CallerCommand;
use crate::event::CallerCredential;
use crate::explain;
use crate::ids::CallerId;
use crate::ids::JobId;
use crate::ids::RequestKey;
use crate::ids::TeamName;
use crate::intent;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::ledger::JobPhase;
use crate::ledger::JobRecord;
use crate::ledger::KeyState;
use crate::ledger::RecordEffect;
use crate::ledger::RejectReason;
use crate::outbox::RecordPurpose;
use crate::outbox::ResolvedRecord;
use crate::publication;
use crate::record::RecordBody;
use crate::record::RequestEnd;
use crate::request;
use crate::state::DaemonState;
use crate::submission;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Upper limit of a wait for the end of a job. The caller repeats the call to wait longer.
pub(crate) const MAX_JOB_WAIT: TimeSpan = TimeSpan::from_secs(60);

/// Callers that wait for a record to be confirmed or for a job to end.
#[derive(Clone, Debug, Default)]
pub struct CallerTable {
    /// Callers whose record is not yet confirmed.
    pending_records: IndexSet<CallerId>,
    /// Callers that wait for the end of a job, with the job and the latest time of the answer.
    job_waits: IndexMap<CallerId, (JobId, ClockTime)>,
}

impl CallerTable {
    /// Returns the number of waiting callers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending_records.len() + self.job_waits.len()
    }

    /// Returns whether no caller is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Registers a caller that waits for its record to be confirmed.
    pub(crate) fn await_record(&mut self, caller: CallerId) {
        self.pending_records.insert(caller);
    }
}

/// Executes a command of a caller or an operator. A command that appends a record is answered when
/// the record is confirmed.
pub fn execute(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    command: &CallerCommand,
    context: &mut StepContext<'_>,
) {
    match command {
        CallerCommand::Submit(job) => submission::submit(state, caller, credential, job, context),
        CallerCommand::JobStatus { team, job } => {
            let answer = find_job(state, credential, team, *job)
                .map(|record| CallerAnswer::Job(job_view(*job, record, false)));
            respond(caller, answer, context);
        }
        CallerCommand::JobWait { team, job, wait } => {
            wait_for_job(state, caller, credential, (team, *job), *wait, context);
        }
        CallerCommand::JobCancel { team, job } => {
            cancel(state, caller, credential, team, *job, context);
        }
        CallerCommand::JobExplain { job } => {
            let answer = explain::reasons(state, credential, *job, context.at)
                .map(|reasons| CallerAnswer::Reasons { reasons });
            respond(caller, answer, context);
        }
        CallerCommand::KeyStatus { team, key } => {
            let answer = check_key_table(state)
                .and_then(|()| authorize(state, credential, team))
                .and_then(|_| key_view(state, team, key, context.at))
                .map(CallerAnswer::Key);
            respond(caller, answer, context);
        }
        CallerCommand::Send(head) => request::start(state, caller, credential, head, context),
        CallerCommand::ConfigGet => {
            let answer = require_operator(state, credential).map(|()| CallerAnswer::Config {
                version: state.ledger.config.version,
                teams: state.ledger.config.teams.clone(),
            });
            respond(caller, answer, context);
        }
        CallerCommand::ConfigPublish {
            base,
            upsert,
            remove,
            operator,
        } => {
            let change = publication::ConfigChange {
                base: *base,
                upsert,
                remove,
                operator,
            };
            publication::publish(state, caller, credential, &change, context);
        }
        CallerCommand::DomainSet {
            domain,
            out,
            operator,
            confirmed,
        } => {
            let (out, confirmed) = (*out, *confirmed);
            let command = DomainCommand {
                domain,
                out,
                operator,
                confirmed,
            };
            domain::set(state, caller, credential, &command, context);
        }
        CallerCommand::ConfigStatus => {
            let answer = require_operator(state, credential).map(|()| CallerAnswer::Daemons {
                daemons: dump::daemons(state, context.at),
            });
            respond(caller, answer, context);
        }
        CallerCommand::DomainStatus => {
            let answer = require_operator(state, credential).map(|()| CallerAnswer::Domains {
                domains: domain::views(state, context.at),
            });
            respond(caller, answer, context);
        }
        CallerCommand::TeamStatus => {
            let answer = require_operator(state, credential).map(|()| CallerAnswer::Teams {
                teams: dump::teams(state),
            });
            respond(caller, answer, context);
        }
        CallerCommand::Dump => {
            let answer = require_operator(state, credential).map(|()| CallerAnswer::Dump {
                json: dump::state_json(state, context.at),
            });
            respond(caller, answer, context);
        }
        CallerCommand::Ready => {
            let answer = check_ready(state).and_then(|()| match state.shutdown {
                Some(_) => Err(FailureReport::new(
                    ErrorKind::NotReady,
                    "the daemon is draining",
                )),
                None => Ok(CallerAnswer::Ready),
            });
            respond(caller, answer, context);
        }
    }
}

pub(crate) fn respond(
    caller: CallerId,
    answer: Result<CallerAnswer, FailureReport>,
    context: &mut StepContext<'_>,
) {
    match answer {
        Ok(reply) => context.reply(caller, reply),
        Err(report) => context.fail(caller, report.kind, report.detail),
    }
}

/// Checks that this daemon has loaded a key table.
///
/// # Errors
///
/// Returns a report that does not rule out an earlier run, because another daemon may have used the
/// key.
pub fn check_key_table(state: &DaemonState) -> Result<(), FailureReport> {
    if state.reader.is_loaded {
        return Ok(());
    }
    let detail = "the daemon is reading the log; ask again with the same key";
    Err(FailureReport::new(ErrorKind::KeyUnverified, detail))
}

/// Checks that a key missing from the table was not used before.
///
/// # Errors
///
/// Returns a report that does not rule out an earlier run, when the tail of the log was not
/// confirmed within the freshness limit.
pub fn check_key_unused(state: &DaemonState, at: ClockTime) -> Result<(), FailureReport> {
    if state.reader.is_fresh(at, state.settings.timing.freshness) {
        return Ok(());
    }
    let detail = "the log has not answered; nothing was started, ask again with the same key";
    Err(FailureReport::new(ErrorKind::KeyUnverified, detail))
}

/// Checks that this daemon accepts new work.
///
/// # Errors
///
/// Returns a report when the daemon is shutting down or still reading the log.
pub fn check_ready(state: &DaemonState) -> Result<(), FailureReport> {
    if state
        .shutdown
        .as_ref()
        .is_some_and(|shutdown| shutdown.refuses_work)
    {
        return Err(FailureReport::new(
            ErrorKind::NotReady,
            "the daemon is stopping",
        ));
    }
    if !state.reader.is_loaded {
        return Err(FailureReport::new(
            ErrorKind::NotReady,
            "the daemon is reading the log",
        ));
    }
    Ok(())
}

pub(crate) fn require_operator(
    state: &DaemonState,
    credential: &CallerCredential,
) -> Result<(), FailureReport> {
    if state.is_operator(credential) {
        Ok(())
    } else {
        Err(FailureReport::new(
            ErrorKind::Forbidden,
            "the operators' key is needed",
        ))
    }
}

/// Checks that a caller may act for a team.
///
/// # Errors
///
/// Returns a report when the key does not belong to the team. Only an operator gets a distinct
/// report for an unknown team, so other callers cannot detect which teams exist.
pub fn authorize<'a>(
    state: &'a DaemonState,
    credential: &CallerCredential,
    team: &TeamName,
) -> Result<&'a TeamFile, FailureReport> {
    let file = state.ledger.config.teams.get(team);
    let is_operator = state.is_operator(credential);
    match file {
        Some(file) if is_operator || credential.digest.as_ref() == Some(&file.key_sha256) => {
            Ok(file)
        }
        None if is_operator => Err(FailureReport::new(
            ErrorKind::UnknownTeam,
            format!("team {team} has no file"),
        )),
        _ => Err(FailureReport::new(
            ErrorKind::Forbidden,
            "the key does not belong to the team",
        )),
    }
}

pub(crate) fn find_job<'a>(
    state: &'a DaemonState,
    credential: &CallerCredential,
    team: &TeamName,
    job: JobId,
) -> Result<&'a JobRecord, FailureReport> {
    authorize(state, credential, team)?;
    state
        .ledger
        .jobs
        .get(&job)
        .filter(|record| record.order.team == *team)
        .ok_or_else(|| {
            FailureReport::new(ErrorKind::NotFound, format!("team {team} has no job {job}"))
        })
}

/// Returns the caller's view of a job. `duplicate` marks an answer to a repeated submission.
#[must_use]
pub fn job_view(job: JobId, record: &JobRecord, duplicate: bool) -> JobView {
    let (workers, end) = match &record.phase {
        JobPhase::Queued => (Vec::new(), None),
        JobPhase::Placed { workers, .. } => (workers.clone(), None),
        JobPhase::Ended { end, .. } => (Vec::new(), Some(end.clone())),
    };
    JobView {
        job,
        service: record.order.service.clone(),
        key: record.order.key.clone(),
        phase: record.phase_name().to_owned(),
        attempt: record.attempt,
        workers,
        end,
        duplicate,
    }
}

pub(crate) fn key_view(
    state: &DaemonState,
    team: &TeamName,
    key: &RequestKey,
    at: ClockTime,
) -> Result<KeyView, FailureReport> {
    let Some(entry) = state.ledger.key(team, key) else {
        check_key_unused(state, at)?;
        let detail = format!("team {team} has not used this key");
        return Err(FailureReport::new(ErrorKind::NotFound, detail));
    };
    let mut view = KeyView {
        key: key.clone(),
        state: String::new(),
        job: None,
        status: None,
        body: None,
        detail: None,
    };
    match &entry.state {
        KeyState::Job { job } => {
            view.job = Some(*job);
            "job".clone_into(&mut view.state);
        }
        KeyState::Intent { writer } => {
            if let Some(end) = intent::unconfirmed_end(state, team, Some(key)) {
                show_end(&mut view, end);
            } else if request::is_writer_live(state, writer, at) {
                "in_progress".clone_into(&mut view.state);
                view.detail = Some(format!(
                    "{} sent the request and its end is not on record yet",
                    writer.daemon
                ));
            } else {
                "unknown".clone_into(&mut view.state);
            }
        }
        KeyState::Done { end } => show_end(&mut view, end),
    }
    Ok(view)
}

/// Fills in how a short request ended.
fn show_end(view: &mut KeyView, end: &RequestEnd) {
    let name = match end {
        RequestEnd::Unknown => "unknown",
        RequestEnd::NotRun => "not_run",
        RequestEnd::Answered { status, body } => {
            view.status = Some(*status);
            view.body.clone_from(body);
            "answered"
        }
    };
    name.clone_into(&mut view.state);
}

pub(crate) fn wait_for_job(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    (team, job): (&TeamName, JobId),
    wait: TimeSpan,
    context: &mut StepContext<'_>,
) {
    let record = match find_job(state, credential, team, job) {
        Ok(record) => record,
        Err(report) => {
            context.fail(caller, report.kind, report.detail);
            return;
        }
    };
    let has_ended = matches!(record.phase, JobPhase::Ended { .. });
    let is_full = state.callers.len() >= state.settings.limits.waiting_callers as usize;
    if has_ended || is_full || state.shutdown.is_some() {
        context.reply(caller, CallerAnswer::Job(job_view(job, record, false)));
        return;
    }
    let until = context.at + wait.min(MAX_JOB_WAIT);
    state.callers.job_waits.insert(caller, (job, until));
}

pub(crate) fn cancel(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    team: &TeamName,
    job: JobId,
    context: &mut StepContext<'_>,
) {
    let is_fresh = state
        .reader
        .is_fresh(context.at, state.settings.timing.freshness);
    let record = match find_job(state, credential, team, job) {
        Ok(record) => record,
        Err(report) => {
            context.fail(caller, report.kind, report.detail);
            return;
        }
    };
    if record.cancelled || matches!(record.phase, JobPhase::Ended { .. }) {
        context.reply(caller, CallerAnswer::Job(job_view(job, record, false)));
    } else if is_fresh {
        state.callers.pending_records.insert(caller);
        let body = RecordBody::JobCancelled { job };
        state
            .outbox
            .push(context.at, body, RecordPurpose::Cancel { caller, job });
    } else {
        let detail = "the log has not answered; the job goes on";
        context.fail(caller, ErrorKind::LogUnavailable, detail);
    }
}

/// Answers the caller of a record that was read back from the log.
pub fn handle_confirmed_record(
    state: &mut DaemonState,
    caller: CallerId,
    resolved: &ResolvedRecord,
    effect: &RecordEffect,
    context: &mut StepContext<'_>,
) {
    if !state.callers.pending_records.swap_remove(&caller) {
        return;
    }
    match (&resolved.record.body, effect) {
        (RecordBody::JobAccepted { order }, effect) => {
            if *effect == RecordEffect::Applied {
                context.update_metric(MetricName::JobsAccepted, 1);
            }
            let duplicate = *effect != RecordEffect::Applied;
            submission::answer_submission(state, caller, order, duplicate, context);
        }
        (RecordBody::JobCancelled { job }, _) => match state.ledger.jobs.get(job) {
            Some(record) => context.reply(caller, CallerAnswer::Job(job_view(*job, record, false))),
            None => context.fail(caller, ErrorKind::NotFound, format!("no job {job}")),
        },
        (RecordBody::ConfigChanged { .. }, RecordEffect::Applied) => {
            let version = state.ledger.config.version;
            context.reply(caller, CallerAnswer::Published { version });
        }
        (_, RecordEffect::Rejected(RejectReason::VersionConflict { operator, version })) => {
            let detail = format!("{operator} published version {version} first");
            context.fail(caller, ErrorKind::LostRace, detail);
        }
        _ => context.fail(caller, ErrorKind::OutcomeUnknown, "ask for the state"),
    }
}

/// Fails a caller whose record was removed from the outbox before it was sent to the log.
pub fn handle_discarded_record(
    state: &mut DaemonState,
    caller: CallerId,
    context: &mut StepContext<'_>,
) {
    if state.callers.pending_records.swap_remove(&caller) {
        context.fail(
            caller,
            ErrorKind::LogUnavailable,
            "the log took no records in time",
        );
    }
}

/// Fails a caller whose record was not confirmed in time. Its outcome is still unknown.
pub fn handle_timed_out_record(
    state: &mut DaemonState,
    caller: CallerId,
    context: &mut StepContext<'_>,
) {
    if state.callers.pending_records.swap_remove(&caller) {
        context.fail(
            caller,
            ErrorKind::OutcomeUnknown,
            "ask again with the same key",
        );
    }
}

/// Answers the callers that wait for a job that has ended.
pub fn answer_job_waiters(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let is_for_job = |waiter: &(JobId, ClockTime)| waiter.0 == job;
    answer_waiters(state, is_for_job, context);
}

/// Answers callers whose wait for a job has expired, or all of them during a shutdown.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let at = context.at;
    let is_draining = state.shutdown.is_some();
    answer_waiters(state, |waiter| is_draining || at >= waiter.1, context);
}

pub(crate) fn answer_waiters(
    state: &mut DaemonState,
    predicate: impl Fn(&(JobId, ClockTime)) -> bool,
    context: &mut StepContext<'_>,
) {
    let answered: Vec<(CallerId, JobId)> = state
        .callers
        .job_waits
        .iter()
        .filter(|(_, waiter)| predicate(waiter))
        .map(|(caller, (job, _))| (*caller, *job))
        .collect();
    for (caller, job) in answered {
        state.callers.job_waits.swap_remove(&caller);
        match state.ledger.jobs.get(&job) {
            Some(record) => context.reply(caller, CallerAnswer::Job(job_view(job, record, false))),
            None => context.fail(caller, ErrorKind::NotFound, format!("no job {job}")),
        }
    }
}

/// Removes a caller that has disconnected. Its unconfirmed record stays in the outbox.
pub fn handle_disconnect(state: &mut DaemonState, caller: CallerId) {
    state.callers.pending_records.swap_remove(&caller);
    state.callers.job_waits.swap_remove(&caller);
    domain::remove_waiter(state, caller);
}

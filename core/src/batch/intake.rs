//! Callers' requests: authorization, submissions, reads and cancellations.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::account;
use crate::batch::backlog;
use crate::batch::catalog::QueueCatalog;
use crate::batch::catalog::QueueConfig;
use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::job::JobSubmission;
use crate::batch::message::BatchEffect;
use crate::batch::message::CallAction;
use crate::batch::message::QueueCall;
use crate::batch::message::QueueResponse;
use crate::batch::record::BatchRecord;
use crate::batch::record::RecordKey;
use crate::batch::state::BatchState;
use crate::batch::writer::WriteSummary;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::CallerId;
use crate::ids::TeamName;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Timeout of a call that specifies none.
const DEFAULT_TIMEOUT: TimeSpan = TimeSpan(3_000);

/// Time before a call's timeout at which a pending call is answered with a failure.
const RESPONSE_MARGIN: TimeSpan = TimeSpan(150);

/// Maximum wait of a call for its append. A caller cannot repeat work that may have been accepted,
/// so an early answer with an unknown outcome gains it nothing.
const APPEND_TIMEOUT: TimeSpan = DEFAULT_TIMEOUT;

/// Minimum age of the append in flight above which the store counts as unavailable for new
/// submissions and cancellations.
const STALLED_APPEND_AGE: TimeSpan = TimeSpan(500);

/// Maximum age of the append in flight for the same, at a slow store: calls that wait for it and
/// for an append of their own still end within the default timeout.
const MAX_STALLED_AGE: TimeSpan = TimeSpan(1_200);

/// Maximum age of the view for a job that is not in it to be reported as not found.
const NOT_FOUND_VIEW_AGE: TimeSpan = TimeSpan(2_500);

/// A call that waits for its append.
#[derive(Clone, Debug)]
struct PendingCall {
    job: JobKey,
    response: QueueResponse,
    deadline: ClockTime,
}

/// Pending calls, and accepted jobs whose records were not read back yet.
#[derive(Clone, Debug, Default)]
pub struct IntakeTable {
    pending: IndexMap<CallerId, PendingCall>,
    /// Jobs whose acceptance this daemon has confirmed and not yet read back from the topic.
    confirmed_jobs: IndexSet<JobKey>,
}

impl IntakeTable {
    /// Returns whether no call is pending.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether this daemon has confirmed a job and not yet read it back.
    #[must_use]
    pub fn has_confirmed(&self, job: JobKey) -> bool {
        self.confirmed_jobs.contains(&job)
    }

    /// Removes a job that is now in the view.
    pub fn remove_confirmed(&mut self, job: JobKey) {
        self.confirmed_jobs.swap_remove(&job);
    }
}

/// The queue and the team of a call.
struct CallTarget<'a> {
    queue: &'a QueueConfig,
    suffix: &'a str,
    team: Option<&'a TeamName>,
}

/// Authorizes one call and handles it.
pub fn handle_call(
    state: &mut BatchState,
    caller: CallerId,
    call: &QueueCall,
    context: &mut StepContext<'_>,
) {
    let is_fresh = state.is_config_fresh(context.at);
    let target = match resolve_target(&state.catalog, is_fresh, call) {
        Ok(target) => target,
        Err(report) => return refuse(caller, &call.path, report, context),
    };
    if target.suffix.is_empty() && call.action == CallAction::Read {
        let pending = state.view.count_pending(&target.queue.name);
        return respond(caller, QueueResponse::Pending(pending), context);
    }
    let Some(job) = JobKey::parse(target.suffix) else {
        let report = FailureReport::new(ErrorKind::BadRequest, "not an id of a job");
        return refuse(caller, &call.path, report, context);
    };
    match &call.action {
        CallAction::Submit(submission) => {
            let definition = build_definition(&target, submission, context.at);
            submit(state, caller, job, definition, call.timeout, context);
        }
        CallAction::Read => read_phase(state, caller, job, context),
        CallAction::Cancel => cancel(state, caller, job, call.timeout, context),
    }
}

/// Responds to the callers of a finished append.
pub fn handle_write(state: &mut BatchState, summary: &WriteSummary, context: &mut StepContext<'_>) {
    for caller in &summary.stored_callers {
        if let Some(call) = state.intake.pending.swap_remove(caller) {
            if call.response == QueueResponse::Accepted {
                context.update_metric(MetricName::JobsAccepted, 1);
                state.intake.confirmed_jobs.insert(call.job);
            }
            log_outcome(call.job, "stored", context);
            respond(*caller, call.response, context);
        }
    }
    for caller in &summary.refused_callers {
        if let Some(call) = state.intake.pending.swap_remove(caller) {
            let report = FailureReport::new(ErrorKind::LogUnavailable, "the store refused it");
            refuse(*caller, &call.job.text(), report, context);
        }
    }
}

/// Fails calls whose append is stalled or whose deadline has passed.
pub fn tick(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let dropped = state.intake_queue.drop_pending(at, stalled_age(state));
    for caller in dropped {
        if let Some(call) = state.intake.pending.swap_remove(&caller) {
            let report = unstored_report(state, call.job, "the store does not answer");
            refuse(caller, &call.job.text(), report, context);
        }
    }
    let calls = state.intake.pending.iter();
    let expired = calls.filter(|(_, call)| at >= call.deadline);
    let expired: Vec<CallerId> = expired.map(|(caller, _)| *caller).collect();
    for caller in expired {
        let Some(call) = state.intake.pending.swap_remove(&caller) else {
            continue;
        };
        let report = if state.intake_queue.remove_unsent(caller) {
            unstored_report(state, call.job, "the store was too slow")
        } else {
            FailureReport::new(ErrorKind::OutcomeUnknown, "the store has not answered")
        };
        refuse(caller, &call.job.text(), report, context);
    }
}

/// Reports a call whose record was never sent: as not run, unless the same job was sent for another
/// call and may be stored.
fn unstored_report(state: &BatchState, job: JobKey, detail: &str) -> FailureReport {
    let kind = if state.intake_queue.has_sent(RecordKey::Job(job)) {
        ErrorKind::OutcomeUnknown
    } else {
        ErrorKind::LogUnavailable
    };
    FailureReport::new(kind, detail)
}

fn resolve_target<'a>(
    catalog: &'a QueueCatalog,
    is_fresh: bool,
    call: &'a QueueCall,
) -> Result<CallTarget<'a>, FailureReport> {
    if !is_fresh {
        let detail = "the configuration is not confirmed";
        return Err(FailureReport::new(ErrorKind::NotReady, detail));
    }
    let Some((queue, suffix)) = catalog.find(&call.host, &call.path) else {
        return Err(FailureReport::new(ErrorKind::UnknownQueue, "no such queue"));
    };
    let team = call
        .credential
        .as_ref()
        .and_then(|key| catalog.find_team(key));
    if team.is_none() && !queue.public {
        return Err(FailureReport::new(
            ErrorKind::UnknownKey,
            "no team has this key",
        ));
    }
    Ok(CallTarget {
        queue,
        suffix,
        team: team.map(|team| &team.name),
    })
}

fn build_definition(
    target: &CallTarget<'_>,
    submission: &JobSubmission,
    at: ClockTime,
) -> JobDefinition {
    JobDefinition {
        queue: target.queue.name.clone(),
        service: target.queue.service.clone(),
        team: target.team.cloned(),
        priority: target.queue.priority,
        max_attempts: target.queue.max_attempts,
        stretch: target.queue.stretch,
        target: target.queue.target,
        accepted_at: at,
        submission: submission.clone(),
    }
}

fn submit(
    state: &mut BatchState,
    caller: CallerId,
    job: JobKey,
    definition: JobDefinition,
    timeout: Option<TimeSpan>,
    context: &mut StepContext<'_>,
) {
    if state.is_accepted(job) {
        return respond(caller, QueueResponse::Accepted, context);
    }
    if let Err(mistake) = definition.submission.validate() {
        let report = FailureReport::new(ErrorKind::BadRequest, mistake);
        return refuse(caller, &job.text(), report, context);
    }
    // The job may run if an earlier submission of it is being appended: "not run" would be untrue.
    let is_appending = state.intake_queue.contains(RecordKey::Job(job));
    if !is_appending && let Err(report) = admit(state, job, &definition, context) {
        return refuse(caller, &job.text(), report, context);
    }
    let record = BatchRecord::job(job, definition);
    append_record(
        state,
        caller,
        job,
        record,
        QueueResponse::Accepted,
        timeout,
        context,
    );
}

/// Checks whether a new job can start below the cap of its team and is within its team's backlog.
///
/// # Errors
///
/// Returns the refusal of a job that can never start, or that its team has too many jobs for.
fn admit(
    state: &mut BatchState,
    job: JobKey,
    definition: &JobDefinition,
    context: &mut StepContext<'_>,
) -> Result<(), FailureReport> {
    let team = definition.team.as_ref();
    let reason =
        team.and_then(|team| account::never_fits(&state.catalog, team, &definition.submission));
    if let Some(reason) = reason {
        return Err(FailureReport::new(ErrorKind::NeverFits, reason));
    }
    backlog::admit(state, job, definition, context.at)
        .inspect_err(|_| context.update_metric(MetricName::SubmissionsDeferred, 1))
}

fn read_phase(state: &BatchState, caller: CallerId, job: JobKey, context: &mut StepContext<'_>) {
    let entry = state.view.jobs.get(&job);
    match entry.filter(|entry| entry.definition.is_some()) {
        Some(entry) => respond(
            caller,
            QueueResponse::Phase(entry.reported_phase()),
            context,
        ),
        None if state.intake.has_confirmed(job) => {
            respond(caller, QueueResponse::Phase(JobPhase::Queued), context);
        }
        None => refuse_unknown_job(state, caller, job, context),
    }
}

fn cancel(
    state: &mut BatchState,
    caller: CallerId,
    job: JobKey,
    timeout: Option<TimeSpan>,
    context: &mut StepContext<'_>,
) {
    if !state.is_accepted(job) {
        return refuse_unknown_job(state, caller, job, context);
    }
    let entry = state.view.jobs.get(&job);
    if entry.is_some_and(|entry| entry.reported_phase().is_final()) {
        return respond(caller, QueueResponse::Cancelled, context);
    }
    let record = BatchRecord::cancel(job);
    append_record(
        state,
        caller,
        job,
        record,
        QueueResponse::Cancelled,
        timeout,
        context,
    );
}

/// Reports a job that is not in the view: as not found if the view is recent enough.
fn refuse_unknown_job(
    state: &BatchState,
    caller: CallerId,
    job: JobKey,
    context: &mut StepContext<'_>,
) {
    let report = if state.batch_reader.is_fresh(context.at, NOT_FOUND_VIEW_AGE) {
        FailureReport::new(ErrorKind::NotFound, "no such job")
    } else {
        FailureReport::new(ErrorKind::NotReady, "the jobs are not confirmed")
    };
    refuse(caller, &job.text(), report, context);
}

fn append_record(
    state: &mut BatchState,
    caller: CallerId,
    job: JobKey,
    record: BatchRecord,
    success: QueueResponse,
    timeout: Option<TimeSpan>,
    context: &mut StepContext<'_>,
) {
    if is_store_unavailable(state, context.at) {
        let report = unstored_report(state, job, "the store is out of reach");
        return refuse(caller, &job.text(), report, context);
    }
    let timeout = timeout.unwrap_or(DEFAULT_TIMEOUT);
    let call = PendingCall {
        job,
        response: success,
        deadline: context.at + APPEND_TIMEOUT.min(timeout) - RESPONSE_MARGIN,
    };
    state.intake.pending.insert(caller, call);
    state.intake_queue.push(record, Some(caller));
}

/// Returns whether reads of the batch topic fail or an append is stalled.
fn is_store_unavailable(state: &BatchState, at: ClockTime) -> bool {
    let since = state.intake_queue.in_flight_since();
    let is_stalled = since.is_some_and(|since| at.since(since) > stalled_age(state));
    is_stalled || state.batch_reader.healthy_since().is_none()
}

/// Returns the age above which the append in flight is stalled: twice the last response time.
fn stalled_age(state: &BatchState) -> TimeSpan {
    let expected = TimeSpan(state.intake_queue.response_time().0 * 2);
    expected.clamp(STALLED_APPEND_AGE, MAX_STALLED_AGE)
}

fn log_outcome(job: JobKey, outcome: &str, context: &mut StepContext<'_>) {
    context.info(
        LogTarget::Request,
        format!("job={} outcome={outcome}", job.text()),
    );
}

fn respond(caller: CallerId, response: QueueResponse, context: &mut StepContext<'_>) {
    context.push(ControlEffect::Batch(BatchEffect::Respond {
        caller,
        response,
    }));
}

fn refuse(caller: CallerId, target: &str, report: FailureReport, context: &mut StepContext<'_>) {
    if report.kind != ErrorKind::NotFound {
        let FailureReport { kind, detail, .. } = &report;
        let line = format!("target={target} outcome=refused kind={kind:?} detail={detail:?}");
        context.info(LogTarget::Request, line);
    }
    let metric = match report.kind {
        ErrorKind::OutcomeUnknown => MetricName::OutcomesUnknown,
        _ => MetricName::Refused,
    };
    context.update_metric(metric, 1);
    respond(caller, QueueResponse::Failure(report), context);
}

//! The life of one short request at this daemon: admission, queue, deadline and end.

use indexmap::IndexMap;

use crate::attempt;
use crate::attempt::AttemptTable;
use crate::caller;
use crate::config::ServiceSpec;
use crate::config::WorkKind;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::event::CallerCredential;
use crate::event::EndpointOutcome;
use crate::event::RequestHead;
use crate::ids::CallerId;
use crate::ids::RequestId;
use crate::ids::WorkerName;
use crate::ids::WriterId;
use crate::intent;
use crate::intent::IntentTable;
use crate::intent::KeyVerdict;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::kind::RunStatus;
use crate::ledger::RecordEffect;
use crate::limit;
use crate::limit::LimitTable;
use crate::route;
use crate::route::RouteTable;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Longest deadline of a short request. An open request holds a thread and a place of the table,
/// so work that takes longer has to be a job.
const MAX_DEADLINE: TimeSpan = TimeSpan::from_secs(60);

/// Time between two log lines about limits, so that a burst does not fill the log.
const LIMIT_LOG_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Where an open request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Waits in its team's queue.
    Queued,
    /// Waits for the read-back of its intent.
    Recording,
    /// Waits for an endpoint; its intent is on record if it needs one.
    Ready,
    /// Handed to an endpoint.
    Sent,
}

/// A short request that is open at this daemon.
#[derive(Clone, Debug)]
pub struct RequestEntry {
    /// The exchange that waits for the answer.
    pub caller: CallerId,
    /// What was asked for.
    pub head: RequestHead,
    /// When it arrived.
    pub arrived_at: ClockTime,
    /// When its caller stops waiting.
    pub deadline: ClockTime,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Where it stands.
    pub stage: RequestStage,
    /// Attempts so far.
    pub attempt_count: u32,
    /// Endpoints of the attempt_count.
    pub tried_endpoints: Vec<WorkerName>,
    /// Whether an attempt that ended may have run.
    pub may_have_run: bool,
}

impl RequestEntry {
    /// Tells whether the request counts against its team's concurrency.
    fn is_admitted(&self) -> bool {
        self.stage != RequestStage::Queued
    }
}

/// Short requests that are open at this daemon.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    /// Requests by id.
    pub open: IndexMap<RequestId, RequestEntry>,
    /// Requests by the exchange that waits.
    callers: IndexMap<CallerId, RequestId>,
    /// Idempotency keys in use here.
    pub intents: IntentTable,
    /// Attempts that were sent and have not ended.
    pub attempts: AttemptTable,
    /// Endpoints.
    pub routes: RouteTable,
    /// Limits of teams.
    pub limits: LimitTable,
    last_request: u64,
    next_limit_log_at: ClockTime,
}

/// Takes a new request.
pub fn start(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    head: &RequestHead,
    context: &mut StepContext<'_>,
) {
    refresh(state, context.at);
    let verdict = check(state, credential, head, context.at);
    let report = match verdict {
        Ok(CheckedRequest::Answered(answer)) => {
            context.reply(caller, answer);
            return;
        }
        Ok(CheckedRequest::New(entry)) => match open(state, caller, entry, context) {
            Ok(()) => {
                attempt::dispatch(state, context);
                return;
            }
            Err(report) => report,
        },
        Err(report) => report,
    };
    if report.kind == ErrorKind::Overloaded {
        report_limit(state, head, &report, context);
    }
    context.fail(caller, report.kind, report.detail);
}

fn refresh(state: &mut DaemonState, at: ClockTime) {
    let daemons_changed = route::refresh(state, at);
    limit::refresh(state, daemons_changed, at);
}

fn report_limit(
    state: &mut DaemonState,
    head: &RequestHead,
    report: &FailureReport,
    context: &mut StepContext<'_>,
) {
    context.update_metric(MetricName::LimitsReached, 1);
    let table = &mut state.requests;
    if context.at >= table.next_limit_log_at {
        table.next_limit_log_at = context.at + LIMIT_LOG_INTERVAL;
        let line = format!("refusing requests of {}: {}", head.team, report.detail);
        context.warn(LogTarget::Request, line);
    }
}

/// A request that passed the checks.
enum CheckedRequest {
    New(RequestEntry),
    Answered(crate::effect::CallerAnswer),
}

fn check(
    state: &DaemonState,
    credential: &CallerCredential,
    head: &RequestHead,
    at: ClockTime,
) -> Result<CheckedRequest, FailureReport> {
    if head.key.is_some() {
        caller::check_key_table(state)?;
    }
    let file = caller::authorize(state, credential, &head.team)?;
    let spec = file.services.get(&head.service).ok_or_else(|| {
        let detail = format!("team {} declares no service {}", head.team, head.service);
        FailureReport::new(ErrorKind::UnknownService, detail)
    })?;
    check_head(state, spec, head)?;
    if !spec.repeatable {
        match intent::check_key(state, head, at)? {
            KeyVerdict::Free => {}
            KeyVerdict::Answered(answer) => return Ok(CheckedRequest::Answered(answer)),
        }
        caller::check_key_unused(state, at)?;
        intent::check_log(state, at)?;
    }
    caller::check_ready(state)?;
    let time_left = head
        .deadline
        .or(spec.deadline)
        .unwrap_or(state.settings.timing.request_deadline)
        .min(MAX_DEADLINE);
    if time_left.0 == 0 {
        let detail = "no time was left when the request arrived";
        return Err(FailureReport::new(ErrorKind::DeadlineBeforeRun, detail));
    }
    Ok(CheckedRequest::New(RequestEntry {
        caller: CallerId::default(),
        head: head.clone(),
        arrived_at: at,
        deadline: at + time_left,
        repeatable: spec.repeatable,
        stage: RequestStage::Queued,
        attempt_count: 0,
        tried_endpoints: Vec::new(),
        may_have_run: false,
    }))
}

fn check_head(
    state: &DaemonState,
    spec: &ServiceSpec,
    head: &RequestHead,
) -> Result<(), FailureReport> {
    let limits = &state.settings.limits;
    if spec.work != WorkKind::Request {
        let detail = format!("service {} takes jobs, not short requests", head.service);
        return Err(FailureReport::new(ErrorKind::BadRequest, detail));
    }
    if head.length > limits.body.0 {
        let detail = format!("the body is over {} bytes", limits.body);
        return Err(FailureReport::new(ErrorKind::TooLarge, detail));
    }
    let length = head.key.as_ref().map(|key| key.as_str().len());
    let max_length = limits.name_bytes as usize;
    match length {
        None if !spec.repeatable => {
            let detail = format!(
                "service {} may not be repeated and needs a key",
                head.service
            );
            Err(FailureReport::new(ErrorKind::BadRequest, detail))
        }
        Some(length) if length == 0 || length > max_length => {
            let detail = format!("the key must have 1 to {max_length} bytes");
            Err(FailureReport::new(ErrorKind::BadRequest, detail))
        }
        _ => Ok(()),
    }
}

fn open(
    state: &mut DaemonState,
    caller: CallerId,
    mut entry: RequestEntry,
    context: &mut StepContext<'_>,
) -> Result<(), FailureReport> {
    let limits = &state.settings.limits;
    let bounds = (limits.open_requests, limits.queued_requests);
    let table = &mut state.requests;
    table
        .limits
        .open(&entry.head.team, entry.deadline, bounds, context.at)
        .map_err(|detail| FailureReport::new(ErrorKind::Overloaded, detail))?;
    table.last_request += 1;
    let request = RequestId(table.last_request);
    entry.caller = caller;
    table.limits.enqueue(&entry.head.team, request);
    if !entry.repeatable {
        table.intents.claim(&entry.head, request);
    }
    table.callers.insert(caller, request);
    table.open.insert(request, entry);
    Ok(())
}

/// Forgets an open request. Returns its entry.
pub fn close(state: &mut DaemonState, request: RequestId) -> Option<RequestEntry> {
    let table = &mut state.requests;
    let entry = table.open.swap_remove(&request)?;
    table.callers.swap_remove(&entry.caller);
    let was_admitted = entry.is_admitted();
    table.limits.close(&entry.head.team, request, was_admitted);
    Some(entry)
}

/// Ends a request of which no attempt is in flight. `kind` has to mean "not run"; when an earlier
/// attempt may have run, the caller gets a kind that says so instead.
pub fn fail_unsent(
    state: &mut DaemonState,
    request: RequestId,
    kind: ErrorKind,
    detail: &str,
    context: &mut StepContext<'_>,
) {
    let Some(entry) = close(state, request) else {
        return;
    };
    intent::release_unsent(state, request, &entry, context);
    context.fail(entry.caller, failure_kind(kind, entry.may_have_run), detail);
}

fn failure_kind(kind: ErrorKind, may_have_run: bool) -> ErrorKind {
    if !may_have_run || kind.response().run != RunStatus::NotRun {
        return kind;
    }
    match kind {
        ErrorKind::DeadlineBeforeRun => ErrorKind::DeadlineWhileRunning,
        _ => ErrorKind::EndpointFailed,
    }
}

/// Takes the outcome of an attempt.
pub fn handle_endpoint_outcome(
    state: &mut DaemonState,
    request: RequestId,
    attempt: u32,
    outcome: &EndpointOutcome,
    context: &mut StepContext<'_>,
) {
    refresh(state, context.at);
    attempt::handle_outcome(state, request, attempt, outcome, context);
    attempt::dispatch(state, context);
}

/// Takes the read-back of an intent record. An intent that is not the first with its key is void.
pub fn handle_confirmed_intent(
    state: &mut DaemonState,
    request: RequestId,
    effect: &RecordEffect,
    context: &mut StepContext<'_>,
) {
    refresh(state, context.at);
    intent::handle_confirmed(state, request, effect, context);
    attempt::dispatch(state, context);
}

/// Takes the news that an intent record was never handed to the log.
pub fn handle_discarded_intent(
    state: &mut DaemonState,
    request: RequestId,
    context: &mut StepContext<'_>,
) {
    state.requests.intents.remove(request);
    if let Some(entry) = close(state, request) {
        let detail = "the log is out of reach";
        context.fail(entry.caller, ErrorKind::LogUnavailable, detail);
    }
}

/// Takes the news that the outcome of an intent record is still unknown. The request is not sent
/// any more, so "not run" is true; the intent ends as not run once it is read back.
pub fn handle_timed_out_intent(
    state: &mut DaemonState,
    request: RequestId,
    context: &mut StepContext<'_>,
) {
    let is_recording = state
        .requests
        .open
        .get(&request)
        .is_some_and(|entry| entry.stage == RequestStage::Recording);
    if is_recording {
        let detail = "the log did not answer in time; the request was not sent";
        fail_unsent(state, request, ErrorKind::LogUnavailable, detail, context);
    }
}

/// Cancels the requests of a caller whose connection closed.
pub fn handle_disconnect(state: &mut DaemonState, caller: CallerId, context: &mut StepContext<'_>) {
    let Some(request) = state.requests.callers.get(&caller).copied() else {
        return;
    };
    let Some(entry) = close(state, request) else {
        return;
    };
    if entry.stage == RequestStage::Sent {
        attempt::cancel(state, request, &entry, context);
    } else {
        intent::release_unsent(state, request, &entry, context);
    }
    attempt::dispatch(state, context);
}

/// Ends requests whose deadline has passed and sends queued ones.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    refresh(state, context.at);
    let is_expired = |entry: &RequestEntry| context.at >= entry.deadline;
    let open = state.requests.open.iter();
    let expired: Vec<RequestId> = open
        .filter(|(_, entry)| is_expired(entry))
        .map(|(request, _)| *request)
        .collect();
    for request in expired {
        expire_request(state, request, context);
    }
    attempt::expire_attempts(state, context);
    attempt::dispatch(state, context);
    let open = state.requests.open.len() as u64;
    context.update_metric(MetricName::RequestsOpen, open);
}

/// Ends a request whose deadline has passed.
pub fn expire_request(state: &mut DaemonState, request: RequestId, context: &mut StepContext<'_>) {
    let stage = state.requests.open.get(&request).map(|entry| entry.stage);
    match stage {
        Some(RequestStage::Sent) => {
            let Some(entry) = close(state, request) else {
                return;
            };
            attempt::cancel(state, request, &entry, context);
            let detail = "the endpoint had not answered";
            context.fail(entry.caller, ErrorKind::DeadlineWhileRunning, detail);
        }
        Some(_) => {
            let detail = "the request was still waiting";
            fail_unsent(
                state,
                request,
                ErrorKind::DeadlineBeforeRun,
                detail,
                context,
            );
        }
        None => {}
    }
}

/// Tells whether the writer of an intent may still answer its request.
#[must_use]
pub fn is_writer_live(state: &DaemonState, writer: &WriterId, at: ClockTime) -> bool {
    if writer == state.outbox.writer() {
        return true;
    }
    let entry = state.members.daemons.get(&writer.daemon);
    entry.is_some_and(|entry| {
        let incarnation = entry.heartbeat.as_ref().map(|beat| beat.incarnation);
        let silence = at.since(entry.last_heartbeat_at);
        incarnation == Some(writer.incarnation) && silence <= state.settings.timing.daemon_silence
    })
}

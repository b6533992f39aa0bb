//! Lifecycle of a short request at this daemon: admission, queueing, deadline and end.

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

/// Upper limit of a short request's deadline. An open request occupies a thread and a slot of the
/// request table, so longer work has to be submitted as a job.
const MAX_DEADLINE: TimeSpan = TimeSpan::from_secs(60);

/// Minimum time between two log lines about limits, so a burst does not flood the log.
const LIMIT_LOG_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// The stage of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Queued in its team's queue, not yet admitted.
    Queued,
    /// Admitted; its intent is appended but not yet read back.
    Recording,
    /// Admitted and waiting for an endpoint. A non-repeatable request has its intent recorded.
    Ready,
    /// Sent to an endpoint.
    Sent,
}

/// A short request that is open at this daemon.
#[derive(Clone, Debug)]
pub struct RequestEntry {
    /// The caller that waits for the answer.
    pub caller: CallerId,
    /// Team, service, key and body digest of the request.
    pub head: RequestHead,
    /// When this daemon received the request.
    pub arrived_at: ClockTime,
    /// When the caller stops waiting.
    pub deadline: ClockTime,
    /// Whether the service allows the request to run more than once.
    pub repeatable: bool,
    /// Returns from [`RequestStage::Sent`] to [`RequestStage::Ready`] for a retry.
    pub stage: RequestStage,
    /// Number of attempts sent so far.
    pub attempt_count: u32,
    /// The endpoints of earlier attempts, in order.
    pub tried_endpoints: Vec<WorkerName>,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
}

impl RequestEntry {
    /// Returns whether the request counts against its team's concurrency limit.
    fn is_admitted(&self) -> bool {
        self.stage != RequestStage::Queued
    }
}

/// The short requests of this daemon and the tables that they share.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    /// Open requests, by id.
    pub open: IndexMap<RequestId, RequestEntry>,
    /// Open requests, by waiting caller.
    callers: IndexMap<CallerId, RequestId>,
    /// Idempotency keys that are claimed at this daemon.
    pub intents: IntentTable,
    /// Attempts in flight. An attempt can outlive its request.
    pub attempts: AttemptTable,
    /// Endpoints and their health.
    pub routes: RouteTable,
    /// Limits and queues of the teams.
    pub limits: LimitTable,
    last_request: u64,
    next_limit_log_at: ClockTime,
}

/// Admits, answers or refuses a new request.
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
    let have_daemons_changed = route::refresh(state, at);
    limit::refresh(state, have_daemons_changed, at);
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
        let line = format!("refusing requests of team {}: {}", head.team, report.detail);
        context.warn(LogTarget::Request, line);
    }
}

/// A request that passed validation.
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

/// Removes an open request and returns its entry; `None` when it is not open.
pub fn close(state: &mut DaemonState, request: RequestId) -> Option<RequestEntry> {
    let table = &mut state.requests;
    let entry = table.open.swap_remove(&request)?;
    table.callers.swap_remove(&entry.caller);
    let was_admitted = entry.is_admitted();
    table.limits.close(&entry.head.team, request, was_admitted);
    Some(entry)
}

/// Fails a request that has no attempt in flight. `kind` must be one that means "not run". When an
/// earlier attempt may have run, the caller gets a kind that says so instead.
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

/// Handles the outcome of an attempt.
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

/// Handles an intent record that was read back from the log. The ledger rejects an intent that is
/// not the first with its key.
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

/// Handles an intent record that was removed from the outbox before it was sent to the log.
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

/// Handles an intent record whose append timed out. The request is no longer sent, so reporting
/// "not run" is correct; once the intent is read back, it is ended as not run.
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

/// Cancels the request of a caller that has disconnected.
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

/// Expires requests past their deadline and dispatches queued ones.
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

/// Returns whether the writer of an intent can still answer its request: it is this daemon, or a
/// live daemon with the same incarnation.
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

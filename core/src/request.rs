//! The life of one short request at this daemon: admission, queue, deadline and end.

use indexmap::IndexMap;

use crate::attempt;
use crate::attempt::FlightTable;
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
const LONGEST_DEADLINE: TimeSpan = TimeSpan::from_secs(60);

/// Time between two log lines about limits, so that a burst does not fill the log.
const LIMIT_LINE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Where an open request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Waits in its team's queue.
    Waiting,
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
    pub attempts: u32,
    /// Endpoints of the attempts.
    pub tried: Vec<WorkerName>,
    /// Whether an attempt that ended may have run.
    pub may_have_run: bool,
}

impl RequestEntry {
    /// Tells whether the request counts against its team's concurrency.
    fn was_let_through(&self) -> bool {
        self.stage != RequestStage::Waiting
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
    pub flights: FlightTable,
    /// Endpoints.
    pub routes: RouteTable,
    /// Limits of teams.
    pub limits: LimitTable,
    last: u64,
    limit_line_at: ClockTime,
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
        Ok(ReadyHead::Known(answer)) => {
            context.reply(caller, answer);
            return;
        }
        Ok(ReadyHead::New(entry)) => match open(state, caller, entry, context) {
            Ok(()) => {
                attempt::dispatch(state, context);
                return;
            }
            Err(report) => report,
        },
        Err(report) => report,
    };
    if report.kind == ErrorKind::Overloaded {
        note_limit(state, head, &report, context);
    }
    context.fail(caller, report.kind, report.detail);
}

fn refresh(state: &mut DaemonState, at: ClockTime) {
    let changed = route::refresh(state, at);
    limit::refresh(state, changed, at);
}

fn note_limit(
    state: &mut DaemonState,
    head: &RequestHead,
    report: &FailureReport,
    context: &mut StepContext<'_>,
) {
    context.update_metric(MetricName::LimitsReached, 1);
    let table = &mut state.requests;
    if context.at >= table.limit_line_at {
        table.limit_line_at = context.at + LIMIT_LINE_INTERVAL;
        let line = format!("refusing requests of {}: {}", head.team, report.detail);
        context.warn(LogTarget::Request, line);
    }
}

/// A request that passed the checks.
enum ReadyHead {
    New(RequestEntry),
    Known(crate::effect::CallerAnswer),
}

fn check(
    state: &DaemonState,
    credential: &CallerCredential,
    head: &RequestHead,
    at: ClockTime,
) -> Result<ReadyHead, FailureReport> {
    if head.key.is_some() {
        caller::check_key_table(state)?;
    }
    let file = caller::authorize(state, credential, &head.team)?;
    let spec = file.services.get(&head.service).ok_or_else(|| {
        let detail = format!("team {} declares no service {}", head.team, head.service);
        FailureReport::new(ErrorKind::UnknownService, detail)
    })?;
    check_form(state, spec, head)?;
    if !spec.repeatable {
        match intent::check(state, head, at)? {
            KeyVerdict::Free => {}
            KeyVerdict::Known(answer) => return Ok(ReadyHead::Known(answer)),
        }
        caller::check_key_absence(state, at)?;
        intent::check_log(state, at)?;
    }
    caller::check_ready(state)?;
    let time_left = head
        .deadline
        .or(spec.deadline)
        .unwrap_or(state.settings.timing.request_deadline)
        .min(LONGEST_DEADLINE);
    if time_left.0 == 0 {
        let detail = "no time was left when the request arrived";
        return Err(FailureReport::new(ErrorKind::DeadlineBeforeRun, detail));
    }
    Ok(ReadyHead::New(RequestEntry {
        caller: CallerId::default(),
        head: head.clone(),
        arrived_at: at,
        deadline: at + time_left,
        repeatable: spec.repeatable,
        stage: RequestStage::Waiting,
        attempts: 0,
        tried: Vec::new(),
        may_have_run: false,
    }))
}

fn check_form(
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
    let most = limits.name_bytes as usize;
    match length {
        None if !spec.repeatable => {
            let detail = format!(
                "service {} may not be repeated and needs a key",
                head.service
            );
            Err(FailureReport::new(ErrorKind::BadRequest, detail))
        }
        Some(length) if length == 0 || length > most => {
            let detail = format!("the key must have 1 to {most} bytes");
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
    table.last += 1;
    let request = RequestId(table.last);
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
    let was_let_through = entry.was_let_through();
    table
        .limits
        .close(&entry.head.team, request, was_let_through);
    Some(entry)
}

/// Ends a request of which no attempt is in flight. `kind` has to mean "not run"; when an earlier
/// attempt may have run, the caller gets a kind that says so instead.
pub fn end_unsent(
    state: &mut DaemonState,
    request: RequestId,
    kind: ErrorKind,
    detail: &str,
    context: &mut StepContext<'_>,
) {
    let Some(entry) = close(state, request) else {
        return;
    };
    intent::drop_unsent(state, request, &entry, context);
    context.fail(entry.caller, honest_kind(kind, entry.may_have_run), detail);
}

fn honest_kind(kind: ErrorKind, may_have_run: bool) -> ErrorKind {
    if !may_have_run || kind.response().run != RunStatus::NotRun {
        return kind;
    }
    match kind {
        ErrorKind::DeadlineBeforeRun => ErrorKind::DeadlineWhileRunning,
        _ => ErrorKind::EndpointFailed,
    }
}

/// Takes the outcome of an attempt.
pub fn endpoint_answer(
    state: &mut DaemonState,
    request: RequestId,
    attempt: u32,
    outcome: &EndpointOutcome,
    context: &mut StepContext<'_>,
) {
    refresh(state, context.at);
    attempt::ended(state, request, attempt, outcome, context);
    attempt::dispatch(state, context);
}

/// Takes the read-back of an intent record. An intent that is not the first with its key is void.
pub fn intent_settled(
    state: &mut DaemonState,
    request: RequestId,
    effect: &RecordEffect,
    context: &mut StepContext<'_>,
) {
    refresh(state, context.at);
    intent::settled(state, request, effect, context);
    attempt::dispatch(state, context);
}

/// Takes the news that an intent record was never handed to the log.
pub fn intent_withdrawn(
    state: &mut DaemonState,
    request: RequestId,
    context: &mut StepContext<'_>,
) {
    state.requests.intents.forget(request);
    if let Some(entry) = close(state, request) {
        let detail = "the log is out of reach";
        context.fail(entry.caller, ErrorKind::LogUnavailable, detail);
    }
}

/// Takes the news that the outcome of an intent record is still unknown. The request is not sent
/// any more, so "not run" is true; the intent ends as not run once it is read back.
pub fn intent_overdue(state: &mut DaemonState, request: RequestId, context: &mut StepContext<'_>) {
    let recording = state
        .requests
        .open
        .get(&request)
        .is_some_and(|entry| entry.stage == RequestStage::Recording);
    if recording {
        let detail = "the log did not answer in time; the request was not sent";
        end_unsent(state, request, ErrorKind::LogUnavailable, detail, context);
    }
}

/// Cancels the requests of a caller whose connection closed.
pub fn caller_gone(state: &mut DaemonState, caller: CallerId, context: &mut StepContext<'_>) {
    let Some(request) = state.requests.callers.get(&caller).copied() else {
        return;
    };
    let Some(entry) = close(state, request) else {
        return;
    };
    if entry.stage == RequestStage::Sent {
        attempt::abandon(state, request, &entry, context);
    } else {
        intent::drop_unsent(state, request, &entry, context);
    }
    attempt::dispatch(state, context);
}

/// Ends requests whose deadline has passed and sends queued ones.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    refresh(state, context.at);
    let late = |entry: &RequestEntry| context.at >= entry.deadline;
    let open = state.requests.open.iter();
    let due: Vec<RequestId> = open
        .filter(|(_, entry)| late(entry))
        .map(|(request, _)| *request)
        .collect();
    for request in due {
        deadline_passed(state, request, context);
    }
    attempt::expire(state, context);
    attempt::dispatch(state, context);
    let open = state.requests.open.len() as u64;
    context.update_metric(MetricName::RequestsOpen, open);
}

/// Ends a request whose deadline has passed.
pub fn deadline_passed(state: &mut DaemonState, request: RequestId, context: &mut StepContext<'_>) {
    let stage = state.requests.open.get(&request).map(|entry| entry.stage);
    match stage {
        Some(RequestStage::Sent) => {
            let Some(entry) = close(state, request) else {
                return;
            };
            attempt::abandon(state, request, &entry, context);
            let detail = "the endpoint had not answered";
            context.fail(entry.caller, ErrorKind::DeadlineWhileRunning, detail);
        }
        Some(_) => {
            let detail = "the request was still waiting";
            end_unsent(
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
pub fn is_open_elsewhere(state: &DaemonState, writer: &WriterId, at: ClockTime) -> bool {
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

//! Attempts of short requests: dispatch, outcomes, retries and cancellation.

use indexmap::IndexMap;

use crate::context::StepContext;
use crate::effect::CallerAnswer;
use crate::effect::ControlEffect;
use crate::effect::MetricName;
use crate::event::EndpointOutcome;
use crate::ids::RequestId;
use crate::ids::WorkerName;
use crate::intent;
use crate::intent::ScopedKey;
use crate::kind::ErrorKind;
use crate::record::RequestEnd;
use crate::request;
use crate::request::RequestEntry;
use crate::request::RequestStage;
use crate::retry::RetryCase;
use crate::route;
use crate::route::EndpointSignal;
use crate::route::RouteChoice;
use crate::route::RouteCriteria;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// The lowest HTTP status that counts as a failure of the endpoint.
const MIN_FAILURE_STATUS: u16 = 500;

/// An attempt in flight. It occupies a slot of this daemon's share of the endpoint until the
/// traffic thread reports its outcome, even after its request was closed.
#[derive(Clone, Debug)]
pub struct InFlightAttempt {
    worker: WorkerName,
    address: String,
    sent_at: ClockTime,
    /// Latest time of the traffic thread's report. Without one, the outcome is unknown.
    expires_at: ClockTime,
    /// The key to record the outcome for, set when the request is closed before its attempt ends.
    key: Option<ScopedKey>,
}

/// Attempts in flight, by request and attempt number. The sum of this daemon's endpoint shares
/// bounds the size.
pub type AttemptTable = IndexMap<(RequestId, u32), InFlightAttempt>;

/// Admits queued requests and sends ready ones, within the limits of teams and the shares of
/// endpoints.
pub fn dispatch(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let mut skipped: Vec<usize> = Vec::new();
    while let Some(index) = state.requests.limits.next_team(&skipped, context.at) {
        if !dispatch_next(state, index, context) {
            skipped.push(index);
        }
    }
}

/// Advances the next request of a team. Returns whether anything changed.
fn dispatch_next(state: &mut DaemonState, index: usize, context: &mut StepContext<'_>) -> bool {
    let Some((_, entry)) = state.requests.limits.teams.get_index(index) else {
        return false;
    };
    let next = entry.ready.front().or_else(|| entry.queued.front());
    let Some(request) = next.copied() else {
        return false;
    };
    let Some(entry) = state.requests.open.get(&request) else {
        return false;
    };
    if context.at >= entry.deadline {
        request::expire_request(state, request, context);
        return true;
    }
    if entry.repeatable || entry.stage == RequestStage::Ready {
        return send(state, request, context);
    }
    match intent::check_log(state, context.at) {
        Ok(()) => {
            let team = entry.head.team.clone();
            state.requests.limits.admit(&team);
            intent::append_intent(state, request, context.at);
        }
        Err(report) => request::fail_unsent(state, request, report.kind, &report.detail, context),
    }
    true
}

/// Sends a request, or fails it when no endpoint is available. Returns `false` when all available
/// endpoints are busy.
fn send(state: &mut DaemonState, request: RequestId, context: &mut StepContext<'_>) -> bool {
    match choose(state, request, context.at) {
        RouteChoice::Busy => false,
        RouteChoice::Unavailable => {
            let detail = "no endpoint takes the request";
            request::fail_unsent(state, request, ErrorKind::NoEndpoint, detail, context);
            true
        }
        RouteChoice::Endpoint(worker) => {
            send_to(state, request, &worker, context);
            true
        }
    }
}

/// Chooses an endpoint that has not been tried. A repeatable request can return to one that has.
fn choose(state: &mut DaemonState, request: RequestId, at: ClockTime) -> RouteChoice {
    let Some(entry) = state.requests.open.get(&request) else {
        return RouteChoice::Unavailable;
    };
    let (tried_endpoints, prefers_proven) = (entry.tried_endpoints.clone(), !entry.repeatable);
    let can_revisit = entry.repeatable && !tried_endpoints.is_empty();
    let mut criteria = RouteCriteria {
        request,
        tried_endpoints: &tried_endpoints,
        prefers_proven,
    };
    let choice = route::choose(state, &criteria, at);
    if choice == RouteChoice::Unavailable && can_revisit {
        criteria.tried_endpoints = &[];
        return route::choose(state, &criteria, at);
    }
    choice
}

fn send_to(
    state: &mut DaemonState,
    request: RequestId,
    worker: &WorkerName,
    context: &mut StepContext<'_>,
) {
    let Some(address) = route::acquire(&mut state.requests.routes, worker) else {
        return;
    };
    let table = &mut state.requests;
    let Some(entry) = table.open.get_mut(&request) else {
        return;
    };
    let team = entry.head.team.clone();
    if entry.stage == RequestStage::Queued {
        table.limits.admit(&team);
    } else if let Some(queue) = table.limits.teams.get_mut(&team) {
        queue.ready.pop_front();
    }
    table.limits.record_dispatch(&team);
    if entry.attempt_count == 0
        && let Some(queue) = table.limits.teams.get_mut(&team)
    {
        queue.budget.deposit(state.settings.limits.retry_percent);
    }
    entry.stage = RequestStage::Sent;
    entry.attempt_count += 1;
    entry.tried_endpoints.push(worker.clone());
    let timeout = state
        .settings
        .timing
        .attempt
        .min(entry.deadline.since(context.at));
    let in_flight = InFlightAttempt {
        worker: worker.clone(),
        address: address.clone(),
        sent_at: context.at,
        expires_at: context.at + timeout + state.settings.timing.call,
        key: None,
    };
    table
        .attempts
        .insert((request, entry.attempt_count), in_flight);
    context.push(ControlEffect::SendRequest {
        caller: entry.caller,
        request,
        attempt: entry.attempt_count,
        worker: worker.clone(),
        address,
        service: entry.head.service.clone(),
        timeout,
    });
}

/// Handles the outcome of an attempt: updates the endpoint's health, then retries or ends the
/// request.
pub fn handle_outcome(
    state: &mut DaemonState,
    request: RequestId,
    attempt: u32,
    outcome: &EndpointOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(in_flight) = state.requests.attempts.swap_remove(&(request, attempt)) else {
        return;
    };
    let elapsed = context.at.since(in_flight.sent_at);
    let call_timeout = state.settings.timing.call;
    let signal = endpoint_signal(outcome, elapsed, call_timeout);
    route::release(state, &in_flight.worker, signal, context);
    if let Some(key) = &in_flight.key {
        let end = request_end(state, outcome);
        intent::append_end(state, request, key, end, context.at);
        return;
    }
    let Some(entry) = state.requests.open.get_mut(&request) else {
        return;
    };
    if let Some(queue) = state.requests.limits.teams.get_mut(&entry.head.team) {
        queue.record_duration(elapsed);
    }
    entry.may_have_run |= may_have_run(outcome);
    if !schedule_retry(state, request, outcome, context) {
        finish(state, request, attempt, outcome, context);
    }
}

/// Returns the health signal of an outcome. An attempt that ends as unknown early was cut short by
/// its caller's deadline or by one broken connection. The traffic thread opens a new connection
/// after `call_timeout`, so an attempt without an answer after twice that time counts against the
/// endpoint.
fn endpoint_signal(
    outcome: &EndpointOutcome,
    elapsed: TimeSpan,
    call_timeout: TimeSpan,
) -> EndpointSignal {
    match outcome {
        EndpointOutcome::Answered { status, .. } if *status < MIN_FAILURE_STATUS => {
            EndpointSignal::Success
        }
        EndpointOutcome::Answered { .. } | EndpointOutcome::Refused => EndpointSignal::Failure,
        EndpointOutcome::Undelivered => EndpointSignal::Unreachable,
        EndpointOutcome::Unknown if elapsed < call_timeout + call_timeout => {
            EndpointSignal::Inconclusive
        }
        EndpointOutcome::Unknown => EndpointSignal::Failure,
    }
}

const fn may_have_run(outcome: &EndpointOutcome) -> bool {
    match outcome {
        EndpointOutcome::Answered { .. } | EndpointOutcome::Unknown => true,
        EndpointOutcome::Refused | EndpointOutcome::Undelivered => false,
    }
}

/// Makes a request ready for another attempt, if the retry rules allow one.
fn schedule_retry(
    state: &mut DaemonState,
    request: RequestId,
    outcome: &EndpointOutcome,
    context: &mut StepContext<'_>,
) -> bool {
    let is_success =
        matches!(outcome, EndpointOutcome::Answered { status, .. } if *status < MIN_FAILURE_STATUS);
    let table = &mut state.requests;
    let Some(entry) = table.open.get_mut(&request).filter(|_| !is_success) else {
        return false;
    };
    let team = entry.head.team.clone();
    let Some(queue) = table.limits.teams.get_mut(&team) else {
        return false;
    };
    let case = RetryCase {
        repeatable: entry.repeatable,
        may_have_run: may_have_run(outcome),
        attempt_count: entry.attempt_count,
        deadline: entry.deadline,
        expected_duration: queue.expected_duration(),
    };
    if !case.allows(context.at, &mut queue.budget) {
        return false;
    }
    entry.stage = RequestStage::Ready;
    table.limits.make_ready(&team, request);
    if case.may_have_run {
        context.update_metric(MetricName::Retries, 1);
    }
    true
}

/// Ends a request with the outcome of its last attempt.
fn finish(
    state: &mut DaemonState,
    request: RequestId,
    attempt: u32,
    outcome: &EndpointOutcome,
    context: &mut StepContext<'_>,
) {
    if !may_have_run(outcome) {
        let (kind, detail) = not_run_kind(state, request, context.at);
        request::fail_unsent(state, request, kind, detail, context);
        return;
    }
    let Some(entry) = request::close(state, request) else {
        return;
    };
    if let Some(key) = intent::scoped_key(&entry.head).filter(|_| !entry.repeatable) {
        let end = request_end(state, outcome);
        intent::append_end(state, request, &key, end, context.at);
    }
    if let EndpointOutcome::Answered { .. } = outcome {
        context.update_metric(MetricName::RequestsAnswered, 1);
        context.reply(entry.caller, CallerAnswer::Endpoint { request, attempt });
    } else if context.at >= entry.deadline {
        let detail = "the endpoint had not answered";
        context.fail(entry.caller, ErrorKind::DeadlineWhileRunning, detail);
    } else if entry.repeatable {
        let detail = "the answer was lost or incomplete";
        context.fail(entry.caller, ErrorKind::EndpointFailed, detail);
    } else {
        let detail = "the answer was lost; ask again with the same key";
        context.fail(entry.caller, ErrorKind::OutcomeUnknown, detail);
    }
}

fn not_run_kind(
    state: &DaemonState,
    request: RequestId,
    at: ClockTime,
) -> (ErrorKind, &'static str) {
    let entry = state.requests.open.get(&request);
    if entry.is_some_and(|entry| at >= entry.deadline) {
        (
            ErrorKind::DeadlineBeforeRun,
            "no endpoint took the request in time",
        )
    } else {
        (ErrorKind::NoEndpoint, "no endpoint took the request")
    }
}

/// Returns the end to record for a key. A body above the size limit is not kept.
fn request_end(state: &DaemonState, outcome: &EndpointOutcome) -> RequestEnd {
    let max_body_bytes = state.settings.limits.kept_answer.0;
    match outcome {
        EndpointOutcome::Answered {
            status, kept_body, ..
        } => RequestEnd::Answered {
            status: *status,
            body: kept_body
                .clone()
                .filter(|body| body.len() as u64 <= max_body_bytes),
        },
        EndpointOutcome::Refused | EndpointOutcome::Undelivered => RequestEnd::NotRun,
        EndpointOutcome::Unknown => RequestEnd::Unknown,
    }
}

/// Cancels the attempt in flight of a closed request. If an answer still arrives, it is recorded
/// for the key, so a repeated request gets the outcome.
pub fn cancel(
    state: &mut DaemonState,
    request: RequestId,
    entry: &RequestEntry,
    context: &mut StepContext<'_>,
) {
    let attempt = entry.attempt_count;
    let Some(in_flight) = state.requests.attempts.get_mut(&(request, attempt)) else {
        return;
    };
    if !entry.repeatable {
        in_flight.key = intent::scoped_key(&entry.head);
    }
    context.push(ControlEffect::CancelRequest {
        request,
        attempt,
        address: in_flight.address.clone(),
    });
}

/// Ends attempts as unknown when the traffic thread has not reported their outcome in time.
pub fn expire_attempts(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let attempts = state.requests.attempts.iter();
    let expired: Vec<(RequestId, u32)> = attempts
        .filter(|(_, in_flight)| context.at >= in_flight.expires_at)
        .map(|(id, _)| *id)
        .collect();
    for (request, attempt) in expired {
        handle_outcome(state, request, attempt, &EndpointOutcome::Unknown, context);
    }
}

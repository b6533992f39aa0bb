//! Attempts of short requests: sending, outcomes, and attempts nobody waits for.

use indexmap::IndexMap;

use crate::context::StepContext;
use crate::effect::CallerAnswer;
use crate::effect::ControlEffect;
use crate::effect::MetricName;
use crate::event::EndpointOutcome;
use crate::ids::RequestId;
use crate::ids::WorkerName;
use crate::intent;
use crate::intent::KeyName;
use crate::kind::ErrorKind;
use crate::record::RequestEnd;
use crate::request;
use crate::request::RequestEntry;
use crate::request::RequestStage;
use crate::retry::RetryCase;
use crate::route;
use crate::route::EndpointSign;
use crate::route::RouteChoice;
use crate::route::RouteWish;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Status from which an answer counts as a failure of the endpoint.
const FIRST_FAILURE_STATUS: u16 = 500;

/// An attempt in flight. It holds a place of this daemon's share until the traffic thread reports
/// its outcome, even when nobody waits for the answer any more.
#[derive(Clone, Debug)]
pub struct FlightEntry {
    worker: WorkerName,
    address: String,
    sent_at: ClockTime,
    /// When the traffic thread has given up for certain.
    until: ClockTime,
    /// The key whose end is recorded with the outcome, once the request is closed.
    key: Option<KeyName>,
}

/// Attempts in flight. The sum of this daemon's shares bounds the table.
pub type FlightTable = IndexMap<(RequestId, u32), FlightEntry>;

/// Lets waiting requests through and sends those that are ready, as far as limits and shares allow.
pub fn dispatch(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let mut passed_over: Vec<usize> = Vec::new();
    while let Some(index) = state.requests.limits.next_team(&passed_over, context.at) {
        if !advance(state, index, context) {
            passed_over.push(index);
        }
    }
}

/// Moves the next request of a team on. Returns whether anything changed.
fn advance(state: &mut DaemonState, index: usize, context: &mut StepContext<'_>) -> bool {
    let Some((_, entry)) = state.requests.limits.teams.get_index(index) else {
        return false;
    };
    let next = entry.ready.front().or_else(|| entry.waiting.front());
    let Some(request) = next.copied() else {
        return false;
    };
    let Some(entry) = state.requests.open.get(&request) else {
        return false;
    };
    if context.at >= entry.deadline {
        request::deadline_passed(state, request, context);
        return true;
    }
    if entry.repeatable || entry.stage == RequestStage::Ready {
        return send(state, request, context);
    }
    match intent::check_log(state, context.at) {
        Ok(()) => {
            let team = entry.head.team.clone();
            state.requests.limits.let_through(&team);
            intent::record(state, request, context.at);
        }
        Err(report) => request::end_unsent(state, request, report.kind, &report.detail, context),
    }
    true
}

/// Sends a request, or ends it when no endpoint serves. Returns `false` when it has to wait.
fn send(state: &mut DaemonState, request: RequestId, context: &mut StepContext<'_>) -> bool {
    match choose(state, request, context.at) {
        RouteChoice::Busy => false,
        RouteChoice::Nothing => {
            let detail = "no endpoint takes the request";
            request::end_unsent(state, request, ErrorKind::NoEndpoint, detail, context);
            true
        }
        RouteChoice::Endpoint(worker) => {
            hand_over(state, request, &worker, context);
            true
        }
    }
}

/// Chooses an endpoint that was not tried. A repeatable request may go back to one that was.
fn choose(state: &mut DaemonState, request: RequestId, at: ClockTime) -> RouteChoice {
    let Some(entry) = state.requests.open.get(&request) else {
        return RouteChoice::Nothing;
    };
    let (tried, cautious) = (entry.tried.clone(), !entry.repeatable);
    let again = entry.repeatable && !tried.is_empty();
    let mut wish = RouteWish {
        request,
        tried: &tried,
        cautious,
    };
    let choice = route::choose(state, &wish, at);
    if choice == RouteChoice::Nothing && again {
        wish.tried = &[];
        return route::choose(state, &wish, at);
    }
    choice
}

fn hand_over(
    state: &mut DaemonState,
    request: RequestId,
    worker: &WorkerName,
    context: &mut StepContext<'_>,
) {
    let Some(address) = route::occupy(&mut state.requests.routes, worker) else {
        return;
    };
    let table = &mut state.requests;
    let Some(entry) = table.open.get_mut(&request) else {
        return;
    };
    let team = entry.head.team.clone();
    if entry.stage == RequestStage::Waiting {
        table.limits.let_through(&team);
    } else if let Some(queue) = table.limits.teams.get_mut(&team) {
        queue.ready.pop_front();
    }
    table.limits.served(&team);
    if entry.attempts == 0
        && let Some(queue) = table.limits.teams.get_mut(&team)
    {
        queue.budget.earn(state.settings.limits.retry_percent);
    }
    entry.stage = RequestStage::Sent;
    entry.attempts += 1;
    entry.tried.push(worker.clone());
    let timeout = state
        .settings
        .timing
        .attempt
        .min(entry.deadline.since(context.at));
    let flight = FlightEntry {
        worker: worker.clone(),
        address: address.clone(),
        sent_at: context.at,
        until: context.at + timeout + state.settings.timing.call,
        key: None,
    };
    table.flights.insert((request, entry.attempts), flight);
    context.push(ControlEffect::SendRequest {
        caller: entry.caller,
        request,
        attempt: entry.attempts,
        worker: worker.clone(),
        address,
        service: entry.head.service.clone(),
        timeout,
    });
}

/// Takes the outcome of an attempt.
pub fn ended(
    state: &mut DaemonState,
    request: RequestId,
    attempt: u32,
    outcome: &EndpointOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(flight) = state.requests.flights.swap_remove(&(request, attempt)) else {
        return;
    };
    let took = context.at.since(flight.sent_at);
    let patience = state.settings.timing.call;
    let sign = sign_of(outcome, took, patience);
    route::release(state, &flight.worker, sign, context);
    if let Some(name) = &flight.key {
        let end = end_of(state, outcome);
        intent::record_end(state, request, name, end, context.at);
        return;
    }
    let Some(entry) = state.requests.open.get_mut(&request) else {
        return;
    };
    if let Some(queue) = state.requests.limits.teams.get_mut(&entry.head.team) {
        queue.observe(took);
    }
    entry.may_have_run |= may_have_run(outcome);
    if !try_again(state, request, outcome, context) {
        finish(state, request, attempt, outcome, context);
    }
}

/// Returns what an outcome says about the endpoint. An attempt that ended unknown at once was cut
/// by its caller's short deadline or by one connection; the traffic thread tries a new connection
/// after `patience`, so silence beyond twice that time is the endpoint's.
fn sign_of(outcome: &EndpointOutcome, took: TimeSpan, patience: TimeSpan) -> EndpointSign {
    match outcome {
        EndpointOutcome::Answered { status, .. } if *status < FIRST_FAILURE_STATUS => {
            EndpointSign::Success
        }
        EndpointOutcome::Answered { .. } | EndpointOutcome::Refused => EndpointSign::Failure,
        EndpointOutcome::Undelivered => EndpointSign::Unreachable,
        EndpointOutcome::Unknown if took < patience + patience => EndpointSign::None,
        EndpointOutcome::Unknown => EndpointSign::Failure,
    }
}

const fn may_have_run(outcome: &EndpointOutcome) -> bool {
    match outcome {
        EndpointOutcome::Answered { .. } | EndpointOutcome::Unknown => true,
        EndpointOutcome::Refused | EndpointOutcome::Undelivered => false,
    }
}

/// Makes a request ready for another attempt, if the rules allow one.
fn try_again(
    state: &mut DaemonState,
    request: RequestId,
    outcome: &EndpointOutcome,
    context: &mut StepContext<'_>,
) -> bool {
    let answered = matches!(outcome, EndpointOutcome::Answered { status, .. } if *status < FIRST_FAILURE_STATUS);
    let table = &mut state.requests;
    let Some(entry) = table.open.get_mut(&request).filter(|_| !answered) else {
        return false;
    };
    let team = entry.head.team.clone();
    let Some(queue) = table.limits.teams.get_mut(&team) else {
        return false;
    };
    let case = RetryCase {
        repeatable: entry.repeatable,
        may_have_run: may_have_run(outcome),
        attempts: entry.attempts,
        deadline: entry.deadline,
        expected: queue.expected(),
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
        request::end_unsent(state, request, kind, detail, context);
        return;
    }
    let Some(entry) = request::close(state, request) else {
        return;
    };
    if let Some(name) = intent::key_name(&entry.head).filter(|_| !entry.repeatable) {
        let end = end_of(state, outcome);
        intent::record_end(state, request, &name, end, context.at);
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

/// Returns the end that is recorded for a key.
fn end_of(state: &DaemonState, outcome: &EndpointOutcome) -> RequestEnd {
    let most = state.settings.limits.kept_answer.0;
    match outcome {
        EndpointOutcome::Answered { status, kept, .. } => RequestEnd::Answered {
            status: *status,
            body: kept.clone().filter(|body| body.len() as u64 <= most),
        },
        EndpointOutcome::Refused | EndpointOutcome::Undelivered => RequestEnd::NotRun,
        EndpointOutcome::Unknown => RequestEnd::Unknown,
    }
}

/// Cancels the attempt in flight of a request that was closed. An answer that still arrives is
/// kept for the key, so a caller who asks again learns the outcome.
pub fn abandon(
    state: &mut DaemonState,
    request: RequestId,
    entry: &RequestEntry,
    context: &mut StepContext<'_>,
) {
    let attempt = entry.attempts;
    let Some(flight) = state.requests.flights.get_mut(&(request, attempt)) else {
        return;
    };
    if !entry.repeatable {
        flight.key = intent::key_name(&entry.head);
    }
    context.push(ControlEffect::CancelRequest {
        request,
        attempt,
        address: flight.address.clone(),
    });
}

/// Gives up attempts whose outcome the traffic thread should have reported.
pub fn expire(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let flights = state.requests.flights.iter();
    let due: Vec<(RequestId, u32)> = flights
        .filter(|(_, flight)| context.at >= flight.until)
        .map(|(name, _)| *name)
        .collect();
    for (request, attempt) in due {
        ended(state, request, attempt, &EndpointOutcome::Unknown, context);
    }
}

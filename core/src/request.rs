//! The life of one short request at this daemon.

use indexmap::IndexMap;

use crate::context::StepContext;
use crate::event::CallerCredential;
use crate::event::EndpointOutcome;
use crate::event::RequestHead;
use crate::ids::CallerId;
use crate::ids::RequestId;
use crate::ids::WriterId;
use crate::kind::ErrorKind;
use crate::ledger::RecordEffect;
use crate::state::DaemonState;
use crate::units::ClockTime;

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
}

/// Short requests that are open at this daemon.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    /// Requests by id.
    pub open: IndexMap<RequestId, RequestEntry>,
}

/// Takes a new request.
pub fn start(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    head: &RequestHead,
    context: &mut StepContext<'_>,
) {
    let _ = (state, credential, head);
    context.fail(
        caller,
        ErrorKind::NotReady,
        "short requests are not served yet",
    );
}

/// Takes the outcome of an attempt.
pub fn endpoint_answer(
    state: &mut DaemonState,
    request: RequestId,
    attempt: u32,
    outcome: &EndpointOutcome,
    context: &mut StepContext<'_>,
) {
    let _ = (state, request, attempt, outcome, context);
}

/// Takes the read-back of an intent record. An intent that is not the first with its key is void.
pub fn intent_settled(
    state: &mut DaemonState,
    request: RequestId,
    effect: &RecordEffect,
    context: &mut StepContext<'_>,
) {
    let _ = (state, request, effect, context);
}

/// Takes the news that an intent record was never handed to the log.
pub fn intent_withdrawn(
    state: &mut DaemonState,
    request: RequestId,
    context: &mut StepContext<'_>,
) {
    let _ = (state, request, context);
}

/// Takes the news that the outcome of an intent record is still unknown.
pub fn intent_overdue(state: &mut DaemonState, request: RequestId, context: &mut StepContext<'_>) {
    let _ = (state, request, context);
}

/// Cancels the requests of a caller whose connection closed.
pub fn caller_gone(state: &mut DaemonState, caller: CallerId, context: &mut StepContext<'_>) {
    let _ = (state, caller, context);
}

/// Ends requests whose deadline has passed and sends queued ones.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let _ = (state, context);
}

/// Tells whether the writer of an intent may still answer its request.
#[must_use]
pub fn is_open_elsewhere(state: &DaemonState, writer: &WriterId) -> bool {
    if writer == state.outbox.writer() {
        return true;
    }
    let heartbeat = state
        .members
        .daemons
        .get(&writer.daemon)
        .and_then(|entry| entry.heartbeat.as_ref());
    heartbeat.is_some_and(|heartbeat| heartbeat.incarnation == writer.incarnation)
}

//! Idempotency keys and intent records of non-repeatable requests.

use indexmap::IndexMap;

use crate::context::StepContext;
use crate::effect::CallerAnswer;
use crate::event::RequestHead;
use crate::ids::RequestId;
use crate::ids::RequestKey;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::ledger::KeyEntry;
use crate::ledger::KeyState;
use crate::ledger::RecordEffect;
use crate::outbox::RecordPurpose;
use crate::record::RecordBody;
use crate::record::RequestEnd;
use crate::request;
use crate::request::RequestEntry;
use crate::request::RequestStage;
use crate::state::DaemonState;
use crate::units::ClockTime;

/// An idempotency key, which is unique within its team.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ScopedKey {
    /// The team that the key belongs to.
    pub team: TeamName,
    /// The key as the caller sent it.
    pub key: RequestKey,
}

/// The request that claims a key at this daemon.
#[derive(Clone, Debug)]
struct KeyClaim {
    request: RequestId,
    service: ServiceName,
    digest: u64,
}

/// Keys of open non-repeatable requests, and of closed ones whose intent is not yet confirmed.
///
/// The open requests and the outbox limit bound the size.
#[derive(Clone, Debug, Default)]
pub struct IntentTable {
    claims: IndexMap<ScopedKey, KeyClaim>,
    /// Keys of requests that ended before their intent was confirmed.
    abandoned: IndexMap<RequestId, ScopedKey>,
}

/// The result of checking a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The key is unused, or its request never ran.
    Free,
    /// The request was answered before; the recorded answer is returned.
    Answered(CallerAnswer),
}

impl IntentTable {
    /// Claims the key of a request.
    pub fn claim(&mut self, head: &RequestHead, request: RequestId) {
        if let Some(key) = scoped_key(head) {
            let claim = KeyClaim {
                request,
                service: head.service.clone(),
                digest: head.digest,
            };
            self.claims.insert(key, claim);
        }
    }

    /// Removes the claim of a request whose intent was never sent to the log.
    pub fn remove(&mut self, request: RequestId) {
        self.abandoned.swap_remove(&request);
        self.claims.retain(|_, claim| claim.request != request);
    }

    fn release(&mut self, key: &ScopedKey, request: RequestId) {
        if self
            .claims
            .get(key)
            .is_some_and(|claim| claim.request == request)
        {
            self.claims.swap_remove(key);
        }
    }
}

/// Returns the key of a request with its team, or `None` when the request has no key.
#[must_use]
pub fn scoped_key(head: &RequestHead) -> Option<ScopedKey> {
    head.key.as_ref().map(|key| ScopedKey {
        team: head.team.clone(),
        key: key.clone(),
    })
}

/// Checks the key of a non-repeatable request against the open requests and the ledger.
///
/// # Errors
///
/// Returns a report when the key was used for different work, is in progress, or has an unknown
/// outcome.
pub fn check_key(
    state: &DaemonState,
    head: &RequestHead,
    at: ClockTime,
) -> Result<KeyVerdict, FailureReport> {
    let Some(key) = scoped_key(head) else {
        return Ok(KeyVerdict::Free);
    };
    if let Some(claim) = state.requests.intents.claims.get(&key) {
        if claim.service != head.service || claim.digest != head.digest {
            return Err(conflict());
        }
        return Err(in_progress());
    }
    match state.ledger.key(&key.team, &key.key) {
        None => Ok(KeyVerdict::Free),
        Some(entry) => check_entry(state, head, entry, at),
    }
}

fn check_entry(
    state: &DaemonState,
    head: &RequestHead,
    entry: &KeyEntry,
    at: ClockTime,
) -> Result<KeyVerdict, FailureReport> {
    if entry.service != head.service || entry.digest != head.digest {
        return Err(conflict());
    }
    match &entry.state {
        KeyState::Job { .. } => Err(conflict()),
        KeyState::Intent { writer } => {
            if let Some(end) = unconfirmed_end(state, &head.team, head.key.as_ref()) {
                check_end(end)
            } else if request::is_writer_live(state, writer, at) {
                Err(in_progress())
            } else {
                Err(unknown("the daemon that sent the request is gone"))
            }
        }
        KeyState::Done { end } => check_end(end),
    }
}

fn check_end(end: &RequestEnd) -> Result<KeyVerdict, FailureReport> {
    match end {
        RequestEnd::NotRun => Ok(KeyVerdict::Free),
        RequestEnd::Unknown => Err(unknown("whether the request ran cannot be found out")),
        RequestEnd::Answered {
            status,
            body: Some(body),
        } => Ok(KeyVerdict::Answered(CallerAnswer::Kept {
            status: *status,
            body: body.clone(),
        })),
        RequestEnd::Answered { status, body: None } => Err(unknown(&format!(
            "the request ran and was answered with status {status}; the answer is not kept"
        ))),
    }
}

/// Returns the end of a request that ran at this daemon, while its record is not read back yet.
///
/// The caller gets its response before that record is read back, and may ask for it at once. An end
/// as not run is left out: until it is in the log, the key still belongs to the recorded intent.
#[must_use]
pub fn unconfirmed_end<'a>(
    state: &'a DaemonState,
    team: &TeamName,
    key: Option<&RequestKey>,
) -> Option<&'a RequestEnd> {
    let end = state.outbox.request_end(team, key?)?;
    (*end != RequestEnd::NotRun).then_some(end)
}

fn conflict() -> FailureReport {
    FailureReport::new(
        ErrorKind::KeyConflict,
        "the key was used for different work",
    )
}

fn in_progress() -> FailureReport {
    FailureReport::new(
        ErrorKind::InProgress,
        "a request with the same key is not over",
    )
}

fn unknown(detail: &str) -> FailureReport {
    FailureReport::new(ErrorKind::OutcomeUnknown, detail)
}

/// Checks that an intent can be recorded.
///
/// # Errors
///
/// Returns a report when the log is not fresh or the outbox is full.
pub fn check_log(state: &DaemonState, at: ClockTime) -> Result<(), FailureReport> {
    if !state.reader.is_fresh(at, state.settings.timing.freshness) {
        let detail = "the log has not answered; the request was not sent";
        return Err(FailureReport::new(ErrorKind::LogUnavailable, detail));
    }
    if !state.outbox.has_room(&state.settings.limits) {
        let detail = "the log is slow; too many records wait";
        return Err(FailureReport::new(ErrorKind::Overloaded, detail));
    }
    Ok(())
}

/// Appends the intent of a request and moves it to [`RequestStage::Recording`].
pub fn append_intent(state: &mut DaemonState, request: RequestId, at: ClockTime) {
    let Some(entry) = state.requests.open.get_mut(&request) else {
        return;
    };
    let Some(key) = scoped_key(&entry.head) else {
        return;
    };
    entry.stage = RequestStage::Recording;
    let body = RecordBody::RequestIntent {
        team: key.team,
        key: key.key,
        service: entry.head.service.clone(),
        digest: entry.head.digest,
    };
    state
        .outbox
        .push(at, body, RecordPurpose::Intent { request });
}

/// Appends the end of a request with a recorded intent and releases its local claim. Until the
/// record is read back, the ledger still has the intent, and [`unconfirmed_end`] has the end.
pub fn append_end(
    state: &mut DaemonState,
    request: RequestId,
    key: &ScopedKey,
    end: RequestEnd,
    at: ClockTime,
) {
    state.requests.intents.release(key, request);
    let body = RecordBody::RequestDone {
        team: key.team.clone(),
        key: key.key.clone(),
        end,
    };
    state.outbox.push(at, body, RecordPurpose::RequestDone);
}

/// Releases the key of a request that ended without being sent, or records the end as not run when
/// the intent is already recorded.
pub fn release_unsent(
    state: &mut DaemonState,
    request: RequestId,
    entry: &RequestEntry,
    context: &mut StepContext<'_>,
) {
    let Some(key) = scoped_key(&entry.head).filter(|_| !entry.repeatable) else {
        return;
    };
    match entry.stage {
        RequestStage::Queued => state.requests.intents.release(&key, request),
        RequestStage::Recording => {
            state.requests.intents.abandoned.insert(request, key);
        }
        RequestStage::Ready | RequestStage::Sent => {
            append_end(state, request, &key, RequestEnd::NotRun, context.at);
        }
    }
}

/// Handles an intent record that was read back from the log.
pub fn handle_confirmed(
    state: &mut DaemonState,
    request: RequestId,
    effect: &RecordEffect,
    context: &mut StepContext<'_>,
) {
    if let Some(key) = state.requests.intents.abandoned.swap_remove(&request) {
        if holds_key(state, &key, effect) {
            append_end(state, request, &key, RequestEnd::NotRun, context.at);
        } else {
            state.requests.intents.release(&key, request);
        }
        return;
    }
    let Some(entry) = state.requests.open.get_mut(&request) else {
        return;
    };
    let Some(key) = scoped_key(&entry.head).filter(|_| entry.stage == RequestStage::Recording)
    else {
        return;
    };
    if holds_key(state, &key, effect) {
        if let Some(entry) = state.requests.open.get_mut(&request) {
            entry.stage = RequestStage::Ready;
        }
        state.requests.limits.make_ready(&key.team, request);
    } else {
        answer_conflict(state, request, &key, context);
    }
}

/// Returns whether this daemon's intent holds its key. After a ledger was loaded, the effect of the
/// record is unknown and the key's entry decides.
fn holds_key(state: &DaemonState, key: &ScopedKey, effect: &RecordEffect) -> bool {
    match effect {
        RecordEffect::Applied => true,
        RecordEffect::Duplicate => {
            let entry = state.ledger.key(&key.team, &key.key);
            entry.is_some_and(|entry| {
                let holder = state.outbox.writer();
                matches!(&entry.state, KeyState::Intent { writer } if writer == holder)
            })
        }
        RecordEffect::Rejected(_) | RecordEffect::Skipped => false,
    }
}

/// Answers a request whose key another daemon's intent claimed first.
fn answer_conflict(
    state: &mut DaemonState,
    request: RequestId,
    key: &ScopedKey,
    context: &mut StepContext<'_>,
) {
    let Some(entry) = request::close(state, request) else {
        return;
    };
    state.requests.intents.release(key, request);
    match check_key(state, &entry.head, context.at) {
        Ok(KeyVerdict::Answered(answer)) => context.reply(entry.caller, answer),
        Ok(KeyVerdict::Free) => {
            let report = in_progress();
            context.fail(entry.caller, report.kind, report.detail);
        }
        Err(report) => context.fail(entry.caller, report.kind, report.detail),
    }
}

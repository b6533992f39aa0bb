//! Idempotency keys and intent records of requests that may not be repeated.

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

/// An idempotency key with its team.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyName {
    /// The team.
    pub team: TeamName,
    /// The key.
    pub key: RequestKey,
}

/// A key in use at this daemon.
#[derive(Clone, Debug)]
struct KeyUse {
    request: RequestId,
    service: ServiceName,
    digest: u64,
}

/// Keys whose requests are open here or whose intent is on its way.
///
/// The table is bounded by the open requests and the records in the outbox.
#[derive(Clone, Debug, Default)]
pub struct IntentTable {
    uses: IndexMap<KeyName, KeyUse>,
    /// Keys of requests that ended while their intent was on its way.
    dropped: IndexMap<RequestId, KeyName>,
}

/// What is known about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The request may go on.
    Free,
    /// The request was answered before.
    Known(CallerAnswer),
}

impl IntentTable {
    /// Notes that a request uses its key.
    pub fn claim(&mut self, head: &RequestHead, request: RequestId) {
        if let Some(name) = key_name(head) {
            let usage = KeyUse {
                request,
                service: head.service.clone(),
                digest: head.digest,
            };
            self.uses.insert(name, usage);
        }
    }

    /// Forgets a request that ended before its intent was handed to the log.
    pub fn forget(&mut self, request: RequestId) {
        self.dropped.swap_remove(&request);
        self.uses.retain(|_, usage| usage.request != request);
    }

    fn release(&mut self, name: &KeyName, request: RequestId) {
        if self
            .uses
            .get(name)
            .is_some_and(|usage| usage.request == request)
        {
            self.uses.swap_remove(name);
        }
    }
}

/// Returns the key of a request with its team.
#[must_use]
pub fn key_name(head: &RequestHead) -> Option<KeyName> {
    head.key.as_ref().map(|key| KeyName {
        team: head.team.clone(),
        key: key.clone(),
    })
}

/// Checks the key of a request that may not be repeated, in the open requests and the ledger.
///
/// # Errors
///
/// Returns why the request may not go on.
pub fn check(
    state: &DaemonState,
    head: &RequestHead,
    at: ClockTime,
) -> Result<KeyVerdict, FailureReport> {
    let Some(name) = key_name(head) else {
        return Ok(KeyVerdict::Free);
    };
    if let Some(usage) = state.requests.intents.uses.get(&name) {
        if usage.service != head.service || usage.digest != head.digest {
            return Err(conflict());
        }
        return Err(in_progress());
    }
    match state.ledger.key(&name.team, &name.key) {
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
        KeyState::Intent { writer } if request::is_open_elsewhere(state, writer, at) => {
            Err(in_progress())
        }
        KeyState::Intent { .. } => Err(unknown("the daemon that sent the request is gone")),
        KeyState::Done { end } => match end {
            RequestEnd::NotRun => Ok(KeyVerdict::Free),
            RequestEnd::Unknown => Err(unknown("whether the request ran cannot be found out")),
            RequestEnd::Answered {
                status,
                body: Some(body),
            } => Ok(KeyVerdict::Known(CallerAnswer::Kept {
                status: *status,
                body: body.clone(),
            })),
            RequestEnd::Answered { status, body: None } => Err(unknown(&format!(
                "the request ran and was answered with status {status}; the answer is not kept"
            ))),
        },
    }
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
/// Returns why not.
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

/// Appends the intent of a request.
pub fn record(state: &mut DaemonState, request: RequestId, at: ClockTime) {
    let Some(entry) = state.requests.open.get_mut(&request) else {
        return;
    };
    let Some(name) = key_name(&entry.head) else {
        return;
    };
    entry.stage = RequestStage::Recording;
    let body = RecordBody::RequestIntent {
        team: name.team,
        key: name.key,
        service: entry.head.service.clone(),
        digest: entry.head.digest,
    };
    state
        .outbox
        .push(at, body, RecordPurpose::Intent { request });
}

/// Appends how a request with a recorded intent ended, and frees its key here. Until the record
/// is read back the ledger still holds the intent, so a repeat is told that the key is in use.
pub fn record_end(
    state: &mut DaemonState,
    request: RequestId,
    name: &KeyName,
    end: RequestEnd,
    at: ClockTime,
) {
    state.requests.intents.release(name, request);
    let body = RecordBody::RequestDone {
        team: name.team.clone(),
        key: name.key.clone(),
        end,
    };
    state.outbox.push(at, body, RecordPurpose::RequestDone);
}

/// Settles the key of a request that ended without being sent.
pub fn drop_unsent(
    state: &mut DaemonState,
    request: RequestId,
    entry: &RequestEntry,
    context: &mut StepContext<'_>,
) {
    let Some(name) = key_name(&entry.head).filter(|_| !entry.repeatable) else {
        return;
    };
    match entry.stage {
        RequestStage::Waiting => state.requests.intents.release(&name, request),
        RequestStage::Recording => {
            state.requests.intents.dropped.insert(request, name);
        }
        RequestStage::Ready | RequestStage::Sent => {
            record_end(state, request, &name, RequestEnd::NotRun, context.at);
        }
    }
}

/// Takes the read-back of an intent.
pub fn settled(
    state: &mut DaemonState,
    request: RequestId,
    effect: &RecordEffect,
    context: &mut StepContext<'_>,
) {
    if let Some(name) = state.requests.intents.dropped.swap_remove(&request) {
        if is_in_force(state, &name, effect) {
            record_end(state, request, &name, RequestEnd::NotRun, context.at);
        } else {
            state.requests.intents.release(&name, request);
        }
        return;
    }
    let Some(entry) = state.requests.open.get_mut(&request) else {
        return;
    };
    let Some(name) = key_name(&entry.head).filter(|_| entry.stage == RequestStage::Recording)
    else {
        return;
    };
    if is_in_force(state, &name, effect) {
        if let Some(entry) = state.requests.open.get_mut(&request) {
            entry.stage = RequestStage::Ready;
        }
        state.requests.limits.make_ready(&name.team, request);
    } else {
        lost_race(state, request, &name, context);
    }
}

/// Tells whether an intent of this daemon holds its key. After a snapshot was loaded only the
/// ledger tells.
fn is_in_force(state: &DaemonState, name: &KeyName, effect: &RecordEffect) -> bool {
    match effect {
        RecordEffect::Applied => true,
        RecordEffect::Repeated => {
            let entry = state.ledger.key(&name.team, &name.key);
            entry.is_some_and(|entry| {
                let holder = state.outbox.writer();
                matches!(&entry.state, KeyState::Intent { writer } if writer == holder)
            })
        }
        RecordEffect::Void(_) | RecordEffect::Skipped => false,
    }
}

/// Answers a request whose key another daemon recorded first.
fn lost_race(
    state: &mut DaemonState,
    request: RequestId,
    name: &KeyName,
    context: &mut StepContext<'_>,
) {
    let Some(entry) = request::close(state, request) else {
        return;
    };
    state.requests.intents.release(name, request);
    match check(state, &entry.head, context.at) {
        Ok(KeyVerdict::Known(answer)) => context.reply(entry.caller, answer),
        Ok(KeyVerdict::Free) => {
            let report = in_progress();
            context.fail(entry.caller, report.kind, report.detail);
        }
        Err(report) => context.fail(entry.caller, report.kind, report.detail),
    }
}

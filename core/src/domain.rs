//! Failure domains, which operators take out of service and return to service. The daemon that
//! receives a request to take a domain out places a hold on it at once, before the change is
//! committed to the log.

use indexmap::IndexMap;

use crate::context::StepContext;
use crate::effect::CallerAnswer;
use crate::effect::DomainHold;
use crate::effect::DomainView;
use crate::effect::LogTarget;
use crate::event::CallerCredential;
use crate::fleet;
use crate::guarantee;
use crate::ids::CallerId;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::WorkerName;
use crate::kind::ErrorKind;
use crate::ledger::RecordEffect;
use crate::ledger::RejectReason;
use crate::member;
use crate::outbox::RecordPurpose;
use crate::progress;
use crate::record::RecordBody;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::worker::VmState;

/// Longest wait for the confirmations of all live daemons. The operator then gets a response that
/// lists the daemons without a confirmation.
const CONFIRMATION_TIMEOUT: TimeSpan = TimeSpan(8_000);

/// An operator's request to change the state of a failure domain.
#[derive(Clone, Debug)]
pub struct DomainCommand<'a> {
    /// The failure domain to change. It must have workers or committed changes.
    pub domain: &'a DomainName,
    /// Whether the domain is taken out of service.
    pub out: bool,
    /// Name of the operator, for the audit record.
    pub operator: &'a str,
    /// Whether the operator accepts that the change breaks a guarantee.
    pub confirmed: bool,
}

/// An operator that waits until a change is active at every live daemon.
#[derive(Clone, Debug)]
struct DomainWaiter {
    domain: DomainName,
    out: bool,
    deadline: ClockTime,
    is_committed: bool,
}

/// Holds whose change is not committed, with the domain version each is based on, and operators
/// that wait for a change.
#[derive(Clone, Debug, Default)]
pub struct DomainTable {
    holds: IndexMap<DomainName, u64>,
    waiters: IndexMap<CallerId, DomainWaiter>,
}

/// Returns whether no new work is placed in a failure domain, by committed change or by hold.
#[must_use]
pub fn is_cordoned(state: &DaemonState, domain: &DomainName) -> bool {
    state.ledger.is_domain_out(domain) || state.domains.holds.contains_key(domain)
}

/// Returns whether no new work is placed on a worker because of its failure domain. An unknown
/// worker counts as cordoned.
#[must_use]
pub fn is_worker_cordoned(state: &DaemonState, worker: &WorkerName) -> bool {
    let entry = state.members.workers.get(worker);
    entry.is_none_or(|entry| is_cordoned(state, &entry.info.domain))
}

/// Returns the failure domains in which no new work is placed, sorted by name.
#[must_use]
pub fn cordoned_domains(state: &DaemonState) -> Vec<DomainName> {
    let recorded = state.ledger.domains.iter().filter(|(_, state)| state.out);
    let mut out: Vec<DomainName> = recorded.map(|(domain, _)| domain.clone()).collect();
    out.extend(state.domains.holds.keys().cloned());
    out.sort();
    out.dedup();
    out
}

/// Returns the holds whose change is not committed.
#[must_use]
pub fn holds(state: &DaemonState) -> Vec<DomainHold> {
    let holds = state.domains.holds.iter();
    holds
        .map(|(domain, base)| DomainHold {
            domain: domain.clone(),
            base: *base,
        })
        .collect()
}

/// Adopts the holds of another daemon, except those that a newer committed change has superseded.
pub fn adopt_peer_holds(
    state: &mut DaemonState,
    holds: &[DomainHold],
    context: &mut StepContext<'_>,
) {
    for hold in holds {
        let is_known = state.domains.holds.contains_key(&hold.domain);
        if !is_known && hold.base == state.ledger.domain_version(&hold.domain) {
            context.info(
                LogTarget::Config,
                format!(
                    "holding failure domain {} out of service for a peer",
                    hold.domain
                ),
            );
            insert_hold(state, &hold.domain, hold.base);
        }
    }
}

fn insert_hold(state: &mut DaemonState, domain: &DomainName, base: u64) {
    state.domains.holds.insert(domain.clone(), base);
    state.planner.is_dirty = true;
    state.members.send_heartbeat_now();
}

/// Executes an operator's request to change the state of a failure domain.
///
/// The caller gets the response when every live daemon has confirmed the change, or after a
/// time-out.
pub fn set(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    command: &DomainCommand<'_>,
    context: &mut StepContext<'_>,
) {
    if !state.is_operator(credential) {
        context.fail(caller, ErrorKind::Forbidden, "the operators' key is needed");
        return;
    }
    let is_known = state
        .members
        .workers
        .values()
        .any(|entry| entry.info.domain == *command.domain);
    if !is_known && !state.ledger.domains.contains_key(command.domain) {
        let detail = format!("no worker stands in failure domain {}", command.domain);
        context.fail(caller, ErrorKind::UnknownDomain, detail);
        return;
    }
    if command.out
        && !command.confirmed
        && let Err(reason) = check_guarantees_without(state, command.domain)
    {
        context.fail(caller, ErrorKind::BreaksGuarantee, reason);
        return;
    }
    append_change(state, caller, command, context);
}

fn append_change(
    state: &mut DaemonState,
    caller: CallerId,
    command: &DomainCommand<'_>,
    context: &mut StepContext<'_>,
) {
    let is_fresh = state
        .reader
        .is_fresh(context.at, state.settings.timing.freshness);
    if !command.out && !is_fresh {
        let detail = "bringing a failure domain back needs the log";
        context.fail(caller, ErrorKind::LogUnavailable, detail);
        return;
    }
    let base = state.ledger.domain_version(command.domain);
    if command.out {
        insert_hold(state, command.domain, base);
    }
    let body = RecordBody::DomainSet {
        domain: command.domain.clone(),
        out: command.out,
        base,
        operator: command.operator.to_owned(),
    };
    state
        .outbox
        .push(context.at, body, RecordPurpose::Domain { caller });
    let waiter = DomainWaiter {
        domain: command.domain.clone(),
        out: command.out,
        deadline: context.at + CONFIRMATION_TIMEOUT,
        is_committed: false,
    };
    state.domains.waiters.insert(caller, waiter);
}

fn check_guarantees_without(state: &DaemonState, domain: &DomainName) -> Result<(), String> {
    let workers: Vec<_> = state
        .members
        .workers
        .values()
        .filter(|entry| entry.is_in_service())
        .filter(|entry| !is_cordoned(state, &entry.info.domain) && entry.info.domain != *domain)
        .map(|entry| &entry.info)
        .collect();
    let slots = fleet::idle_slots(&workers, state.settings.limits.request_slots);
    guarantee::check_guarantees(&state.ledger.config.teams, &slots)
        .map_err(|reason| format!("without {domain}: {reason}"))
}

/// Resolves an operator's change once its record has been read back from the log.
pub fn resolve_change(
    state: &mut DaemonState,
    caller: CallerId,
    effect: &RecordEffect,
    context: &mut StepContext<'_>,
) {
    match effect {
        RecordEffect::Applied => {
            if let Some(waiter) = state.domains.waiters.get_mut(&caller) {
                waiter.is_committed = true;
            }
            respond_to_confirmed(state, context);
        }
        RecordEffect::Rejected(RejectReason::VersionConflict { operator, version }) => {
            let detail = format!("{operator} changed it first, to version {version}");
            if state.domains.waiters.shift_remove(&caller).is_some() {
                context.fail(caller, ErrorKind::LostRace, detail);
            }
        }
        _ => {
            if state.domains.waiters.shift_remove(&caller).is_some() {
                context.fail(
                    caller,
                    ErrorKind::OutcomeUnknown,
                    "read the domain's status",
                );
            }
        }
    }
}

/// Applies a committed change: releases a hold that is based on an older version and triggers a
/// planning cycle and a heartbeat.
pub fn apply(state: &mut DaemonState, domain: &DomainName, context: &mut StepContext<'_>) {
    let version = state.ledger.domain_version(domain);
    if state
        .domains
        .holds
        .get(domain)
        .is_some_and(|base| *base < version)
    {
        state.domains.holds.shift_remove(domain);
    }
    let word = if state.ledger.is_domain_out(domain) {
        "out"
    } else {
        "in"
    };
    context.info(
        LogTarget::Config,
        format!("failure domain {domain} is {word}"),
    );
    state.planner.is_dirty = true;
    state.members.send_heartbeat_now();
}

/// Responds to operators whose change is committed and confirmed by every live daemon.
pub fn respond_to_confirmed(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let confirmed: Vec<CallerId> = state
        .domains
        .waiters
        .iter()
        .filter(|(_, waiter)| waiter.is_committed || waiter.out)
        .filter(|(_, waiter)| unconfirmed(state, &waiter.domain, waiter.out, context.at).is_empty())
        .filter(|(_, waiter)| waiter.is_committed)
        .map(|(caller, _)| *caller)
        .collect();
    respond(state, &confirmed, context);
}

/// Responds to operators whose wait has timed out. The response lists the daemons that have not
/// confirmed the change.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let expired: Vec<CallerId> = state
        .domains
        .waiters
        .iter()
        .filter(|(_, waiter)| context.at >= waiter.deadline)
        .map(|(caller, _)| *caller)
        .collect();
    respond(state, &expired, context);
}

fn respond(state: &mut DaemonState, callers: &[CallerId], context: &mut StepContext<'_>) {
    for caller in callers {
        state.domains.waiters.shift_remove(caller);
        let domains = views(state, context.at);
        context.reply(*caller, CallerAnswer::Domains { domains });
    }
}

/// Removes an operator that disconnected. The change itself proceeds.
pub fn remove_waiter(state: &mut DaemonState, caller: CallerId) {
    state.domains.waiters.shift_remove(&caller);
}

fn unconfirmed(
    state: &DaemonState,
    domain: &DomainName,
    out: bool,
    at: ClockTime,
) -> Vec<DaemonName> {
    member::live_daemons(state, at)
        .into_iter()
        .filter(|(daemon, _)| **daemon != state.settings.daemon)
        .filter(|(daemon, _)| {
            let heartbeat = state
                .members
                .daemons
                .get(*daemon)
                .and_then(|entry| entry.heartbeat.as_ref());
            heartbeat.is_none_or(|heartbeat| heartbeat.held_domains.contains(domain) != out)
        })
        .map(|(daemon, _)| daemon.clone())
        .collect()
}

/// Returns the status of all failure domains that have workers or committed changes.
#[must_use]
pub fn views(state: &DaemonState, at: ClockTime) -> Vec<DomainView> {
    let mut names: Vec<DomainName> = state
        .members
        .workers
        .values()
        .map(|entry| entry.info.domain.clone())
        .chain(state.ledger.domains.keys().cloned())
        .collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .map(|domain| view(state, domain, at))
        .collect()
}

fn view(state: &DaemonState, domain: DomainName, at: ClockTime) -> DomainView {
    let record = state.ledger.domains.get(&domain);
    let out = is_cordoned(state, &domain);
    let workers_in_domain = || {
        let workers = state.members.workers.values();
        workers.filter(|entry| entry.info.domain == domain && entry.info.state != VmState::Gone)
    };
    let tasks = workers_in_domain()
        .map(|entry| state.ledger.tasks_on(&entry.info.worker).count())
        .sum::<usize>();
    DomainView {
        out,
        recorded: record.is_some_and(|record| record.out == out) || (record.is_none() && !out),
        version: record.map_or(0, |record| record.version),
        operator: record.map_or_else(String::new, |record| record.operator.clone()),
        workers: u32::try_from(workers_in_domain().count()).unwrap_or(u32::MAX),
        tasks: u32::try_from(tasks).unwrap_or(u32::MAX),
        unconfirmed: unconfirmed(state, &domain, out, at),
        empty_in: progress::estimate_drain_time(state, &domain, at),
        domain,
    }
}

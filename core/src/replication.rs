//! Replication of the ledger: reads of the control stream, application of records, snapshots and
//! state transfer between daemons.

use crate::caller;
use crate::context::StepContext;
use crate::domain;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::effect::PeerMessage;
use crate::event::ReadOutcome;
use crate::gang;
use crate::ids::DaemonName;
use crate::ids::JobId;
use crate::ids::LogOffset;
use crate::ledger::JobPhase;
use crate::ledger::LedgerState;
use crate::ledger::RecordEffect;
use crate::outbox::RecordPurpose;
use crate::outbox::ResolvedRecord;
use crate::plan;
use crate::reader::ReaderPhase;
use crate::record::AttemptEnd;
use crate::record::LogRecord;
use crate::record::RecordBody;
use crate::record::StoredRecord;
use crate::report;
use crate::request;
use crate::state::DaemonState;
use crate::term;
use crate::termination;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Starts the next read, expires appends that have timed out, and writes snapshots.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    start_read(state, context);
    request_peer_state(state, context);
    expire_appends(state, context);
    write_snapshot(state, context);
}

fn start_read(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let ReaderPhase::Idle {
        not_before,
        needs_snapshot,
    } = state.reader.phase
    else {
        return;
    };
    if context.at < not_before {
        return;
    }
    if needs_snapshot {
        state.reader.phase = ReaderPhase::Snapshot;
        context.push(ControlEffect::ReadSnapshot);
    } else {
        let wait = state.settings.timing.log_wait;
        send_read(state, wait, context);
    }
}

fn send_read(state: &mut DaemonState, wait: TimeSpan, context: &mut StepContext<'_>) {
    let from = state.ledger.next;
    state.reader.phase = ReaderPhase::Control { from };
    context.push(ControlEffect::ReadLog { from, wait });
}

/// Applies the outcome of a read of the control stream.
pub fn handle_log_read(
    state: &mut DaemonState,
    from: LogOffset,
    outcome: &ReadOutcome,
    context: &mut StepContext<'_>,
) {
    if state.reader.phase != (ReaderPhase::Control { from }) {
        return;
    }
    match outcome {
        ReadOutcome::Records {
            records,
            tail,
            sent_at,
        } => {
            set_reachable(state, true, context);
            for stored in records {
                apply_record(state, stored, context);
            }
            finish_read(state, *tail, *sent_at, context);
        }
        ReadOutcome::Expired { oldest } => {
            context.warn(
                LogTarget::Log,
                format!("records before offset {oldest} have expired; reading a snapshot"),
            );
            back_off(state, true, context.at);
        }
        ReadOutcome::Failed => {
            set_reachable(state, false, context);
            back_off(state, !state.reader.is_loaded, context.at);
        }
    }
}

fn finish_read(
    state: &mut DaemonState,
    tail: LogOffset,
    sent_at: ClockTime,
    context: &mut StepContext<'_>,
) {
    if state.ledger.next < tail {
        send_read(state, TimeSpan(0), context);
        return;
    }
    state.reader.confirmed_at = state.reader.confirmed_at.max(Some(sent_at));
    if !state.reader.is_loaded {
        state.reader.is_loaded = true;
        context.info(
            LogTarget::Log,
            format!("caught up at offset {}", state.ledger.next),
        );
    }
    if state.term.last_seen_at.is_none() {
        state.term.last_seen_at = Some(context.at);
    }
    let wait = state.settings.timing.log_wait;
    send_read(state, wait, context);
}

fn back_off(state: &mut DaemonState, needs_snapshot: bool, at: ClockTime) {
    let not_before = at + state.settings.timing.log_retry;
    state.reader.phase = ReaderPhase::Idle {
        not_before,
        needs_snapshot,
    };
}

fn set_reachable(state: &mut DaemonState, is_reachable: bool, context: &mut StepContext<'_>) {
    if state.reader.is_failing == is_reachable {
        state.reader.is_failing = !is_reachable;
        if is_reachable {
            context.info(LogTarget::Log, "log reachable again");
        } else {
            context.warn(LogTarget::Log, "log unreachable");
        }
    }
}

fn apply_record(state: &mut DaemonState, stored: &StoredRecord, context: &mut StepContext<'_>) {
    if stored.offset < state.ledger.next {
        return;
    }
    let effect = state.ledger.apply(stored.offset, stored.record.as_ref());
    let Some(record) = &stored.record else {
        context.warn(
            LogTarget::Log,
            format!(
                "skipped the record at offset {}: it cannot be decoded",
                stored.offset
            ),
        );
        return;
    };
    if effect == RecordEffect::Applied {
        handle_applied(state, record, context);
    }
    if record.writer == *state.outbox.writer() && effect != RecordEffect::Duplicate {
        for resolved in state.outbox.confirm(record.sequence) {
            resolve(state, &resolved, &effect, context);
        }
    }
}

/// Updates the daemon after a valid record from any writer.
fn handle_applied(state: &mut DaemonState, record: &LogRecord, context: &mut StepContext<'_>) {
    match &record.body {
        RecordBody::TermClaimed { .. } => {
            if term::observe(state, record, context) {
                plan::begin_term(state, context);
            } else {
                plan::end_term(state);
            }
        }
        RecordBody::TermRenewed { .. } => {
            term::observe(state, record, context);
        }
        RecordBody::TermReleased { .. } => {
            term::observe(state, record, context);
            plan::end_term(state);
        }
        RecordBody::JobAccepted { .. } => state.planner.is_dirty = true,
        RecordBody::JobCancelled { job } => {
            termination::begin_stop(state, *job, AttemptEnd::Cancelled, context);
            handle_job_change(state, *job, context);
        }
        RecordBody::AttemptEnded { job, .. } => {
            state.planner.remove_run(*job);
            handle_job_change(state, *job, context);
        }
        RecordBody::JobRefused { job, .. } => handle_job_change(state, *job, context),
        RecordBody::ConfigChanged { operator, .. } => {
            let version = state.ledger.config.version;
            let line = format!("configuration version {version} by {operator} applied");
            context.info(LogTarget::Config, line);
            state.planner.is_dirty = true;
            state.members.send_heartbeat_now();
        }
        RecordBody::DomainSet { domain, .. } => domain::apply(state, domain, context),
        RecordBody::JobPlaced { workers, .. } => {
            report::schedule_listing(state, workers, context.at);
        }
        RecordBody::RequestIntent { .. } | RecordBody::RequestDone { .. } | RecordBody::Unknown => {
        }
    }
}

fn handle_job_change(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    state.planner.is_dirty = true;
    let has_ended = state
        .ledger
        .jobs
        .get(&job)
        .is_none_or(|record| matches!(record.phase, JobPhase::Ended { .. }));
    if has_ended {
        state.planner.attempt_numbers.swap_remove(&job);
        context.update_metric(MetricName::JobsEnded, 1);
        caller::answer_job_waiters(state, job, context);
    }
}

/// Notifies the component that waits for a record of this daemon.
fn resolve(
    state: &mut DaemonState,
    resolved: &ResolvedRecord,
    effect: &RecordEffect,
    context: &mut StepContext<'_>,
) {
    match &resolved.purpose {
        RecordPurpose::Submit { caller }
        | RecordPurpose::Cancel { caller, .. }
        | RecordPurpose::Publish { caller } => {
            caller::handle_confirmed_record(state, *caller, resolved, effect, context);
        }
        RecordPurpose::Domain { caller } => domain::resolve_change(state, *caller, effect, context),
        RecordPurpose::Placement { job, attempt } => {
            let is_applied = *effect == RecordEffect::Applied;
            gang::handle_placement(state, *job, *attempt, is_applied, context);
        }
        RecordPurpose::Intent { request } => {
            request::handle_confirmed_intent(state, *request, effect, context);
        }
        RecordPurpose::Term
        | RecordPurpose::AttemptEnd { .. }
        | RecordPurpose::Refusal
        | RecordPurpose::RequestDone => {}
    }
}

/// Fails the callers and requests whose records have exceeded the append timeout.
fn expire_appends(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let limit = context.at - state.settings.timing.append_timeout;
    for resolved in state.outbox.discard_unsent(limit) {
        match resolved.purpose {
            RecordPurpose::Submit { caller } | RecordPurpose::Publish { caller } => {
                caller::handle_discarded_record(state, caller, context);
            }
            RecordPurpose::Intent { request } => {
                request::handle_discarded_intent(state, request, context)
            }
            _ => {}
        }
    }
    let timed_out: Vec<RecordPurpose> = state.outbox.timed_out(limit).cloned().collect();
    for purpose in timed_out {
        match purpose {
            RecordPurpose::Submit { caller }
            | RecordPurpose::Publish { caller }
            | RecordPurpose::Cancel { caller, .. } => {
                caller::handle_timed_out_record(state, caller, context)
            }
            RecordPurpose::Intent { request } => {
                request::handle_timed_out_intent(state, request, context)
            }
            _ => {}
        }
    }
}

/// Loads the latest snapshot after a start or after records have expired from the log.
pub fn handle_snapshot_read(
    state: &mut DaemonState,
    ledger: Option<&LedgerState>,
    is_reachable: bool,
    context: &mut StepContext<'_>,
) {
    if state.reader.phase != ReaderPhase::Snapshot {
        return;
    }
    set_reachable(state, is_reachable, context);
    if !is_reachable {
        back_off(state, true, context.at);
        return;
    }
    if let Some(ledger) = ledger {
        load_ledger(state, ledger, context);
    }
    send_read(state, TimeSpan(0), context);
}

/// Replaces the ledger by one with a higher offset. A ledger that is not ahead is ignored, so the
/// offset never decreases.
fn load_ledger(state: &mut DaemonState, ledger: &LedgerState, context: &mut StepContext<'_>) {
    if ledger.next <= state.ledger.next {
        return;
    }
    context.info(
        LogTarget::Snapshot,
        format!("loaded a ledger up to offset {}", ledger.next),
    );
    state.ledger = ledger.clone();
    state.ledger.rebuild_index();
    plan::end_term(state);
    state.term.valid_until = None;
    state.term.last_seen_at = Some(context.at);
    let own_sequence = state
        .ledger
        .writers
        .get(state.outbox.writer())
        .map(|position| position.sequence);
    if let Some(sequence) = own_sequence {
        for resolved in state.outbox.confirm(sequence) {
            resolve(state, &resolved, &RecordEffect::Duplicate, context);
        }
    }
}

/// Requests the ledgers of the other daemons while the log cannot be read after a start.
fn request_peer_state(state: &mut DaemonState, context: &mut StepContext<'_>) {
    if state.reader.is_loaded
        || !state.reader.is_failing
        || context.at < state.reader.next_peer_request_at
    {
        return;
    }
    state.reader.next_peer_request_at = context.at + state.settings.timing.heartbeat;
    for (daemon, entry) in &state.members.daemons {
        context.push(ControlEffect::SendPeer {
            to: daemon.clone(),
            address: entry.info.address.clone(),
            message: PeerMessage::StateRequest,
        });
    }
}

/// Sends the ledger to a daemon that has none.
pub fn send_state(state: &DaemonState, to: &DaemonName, context: &mut StepContext<'_>) {
    let Some(entry) = state.members.daemons.get(to) else {
        return;
    };
    if state.reader.is_loaded {
        context.push(ControlEffect::SendPeer {
            to: to.clone(),
            address: entry.info.address.clone(),
            message: PeerMessage::State {
                ledger: Box::new(state.ledger.clone()),
            },
        });
    }
}

/// Loads the ledger of another daemon while this daemon cannot read the log.
pub fn handle_peer_state(
    state: &mut DaemonState,
    ledger: &LedgerState,
    context: &mut StepContext<'_>,
) {
    if !state.reader.is_failing {
        return;
    }
    let is_reading = matches!(state.reader.phase, ReaderPhase::Control { .. });
    if !is_reading {
        load_ledger(state, ledger, context);
        state.reader.is_loaded |= ledger.next <= state.ledger.next;
    }
}

/// Starts a snapshot when enough records or time have passed since the last one.
fn write_snapshot(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let snapshot = &state.snapshot;
    let records = state.ledger.next.0.saturating_sub(snapshot.next);
    let is_interval_over = context.at.since(snapshot.started_at) >= state.settings.timing.snapshot;
    let is_limit_reached = records >= u64::from(state.settings.limits.snapshot_records);
    if snapshot.is_writing
        || records == 0
        || !(is_limit_reached || is_interval_over)
        || !term::is_planner(state, context.at)
    {
        return;
    }
    let next = state.ledger.next.0;
    state.snapshot = crate::state::SnapshotStatus {
        started_at: context.at,
        next,
        is_writing: true,
    };
    context.push(ControlEffect::WriteSnapshot {
        ledger: Box::new(state.ledger.clone()),
    });
}

/// Handles the outcome of a snapshot write.
pub fn handle_snapshot_written(
    state: &mut DaemonState,
    is_stored: bool,
    context: &mut StepContext<'_>,
) {
    state.snapshot.is_writing = false;
    if is_stored {
        context.info(
            LogTarget::Snapshot,
            format!("snapshot stored up to offset {}", state.snapshot.next),
        );
    } else {
        context.warn(LogTarget::Snapshot, "snapshot write failed");
        state.snapshot.next = 0;
        state.snapshot.started_at = context.at;
    }
}

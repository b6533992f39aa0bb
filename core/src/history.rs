//! What follows from reading the log: applied records, rebuild and snapshots.

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
use crate::outbox::SettledRecord;
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

/// Starts reads that are due, gives up on appends that take too long and writes snapshots.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    start_read(state, context);
    ask_peers(state, context);
    give_up_late(state, context);
    write_snapshot(state, context);
}

fn start_read(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let ReaderPhase::Idle {
        not_before,
        snapshot,
    } = state.reader.phase
    else {
        return;
    };
    if context.at < not_before {
        return;
    }
    if snapshot {
        state.reader.phase = ReaderPhase::Snapshot;
        context.push(ControlEffect::ReadSnapshot);
    } else {
        let wait = state.settings.timing.log_wait;
        read_from(state, wait, context);
    }
}

fn read_from(state: &mut DaemonState, wait: TimeSpan, context: &mut StepContext<'_>) {
    let from = state.ledger.next;
    state.reader.phase = ReaderPhase::Control { from };
    context.push(ControlEffect::ReadLog { from, wait });
}

/// Takes the outcome of a read of the control stream.
pub fn read(
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
            sent,
        } => {
            note_reachable(state, true, context);
            for stored in records {
                apply_record(state, stored, context);
            }
            caught_up(state, *tail, *sent, context);
        }
        ReadOutcome::Expired { oldest } => {
            context.warn(LogTarget::Log, format!("records before {oldest} are gone"));
            pause_reading(state, true, context.at);
        }
        ReadOutcome::Failed => {
            note_reachable(state, false, context);
            pause_reading(state, !state.reader.loaded, context.at);
        }
    }
}

fn caught_up(
    state: &mut DaemonState,
    tail: LogOffset,
    sent: ClockTime,
    context: &mut StepContext<'_>,
) {
    if state.ledger.next < tail {
        read_from(state, TimeSpan(0), context);
        return;
    }
    state.reader.confirmed_at = state.reader.confirmed_at.max(Some(sent));
    if !state.reader.loaded {
        state.reader.loaded = true;
        context.info(
            LogTarget::Log,
            format!("caught up at offset {}", state.ledger.next),
        );
    }
    if state.term.seen_at.is_none() {
        state.term.seen_at = Some(context.at);
    }
    let wait = state.settings.timing.log_wait;
    read_from(state, wait, context);
}

fn pause_reading(state: &mut DaemonState, snapshot: bool, at: ClockTime) {
    let not_before = at + state.settings.timing.log_retry;
    state.reader.phase = ReaderPhase::Idle {
        not_before,
        snapshot,
    };
}

fn note_reachable(state: &mut DaemonState, reachable: bool, context: &mut StepContext<'_>) {
    if state.reader.failing == reachable {
        state.reader.failing = !reachable;
        if reachable {
            context.info(LogTarget::Log, "the log answers again");
        } else {
            context.warn(LogTarget::Log, "the log does not answer");
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
            format!("record {} is not readable", stored.offset),
        );
        return;
    };
    if effect == RecordEffect::Applied {
        after_applied(state, record, context);
    }
    if record.writer == *state.outbox.writer() && effect != RecordEffect::Repeated {
        for settled in state.outbox.confirm(record.sequence) {
            settle(state, &settled, &effect, context);
        }
    }
}

/// Does what follows from a record that is in force, whoever wrote it.
fn after_applied(state: &mut DaemonState, record: &LogRecord, context: &mut StepContext<'_>) {
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
        RecordBody::JobAccepted { .. } => state.planner.dirty = true,
        RecordBody::JobCancelled { job } => {
            termination::begin_stop(state, *job, AttemptEnd::Cancelled, context);
            job_changed(state, *job, context);
        }
        RecordBody::AttemptEnded { job, .. } => {
            state.planner.remove_run(*job);
            job_changed(state, *job, context);
        }
        RecordBody::JobRefused { job, .. } => job_changed(state, *job, context),
        RecordBody::ConfigChanged { operator, .. } => {
            let version = state.ledger.config.version;
            let line = format!("configuration {version} by {operator} is in force");
            context.info(LogTarget::Config, line);
            state.planner.dirty = true;
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

fn job_changed(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    state.planner.dirty = true;
    let ended = state
        .ledger
        .jobs
        .get(&job)
        .is_none_or(|record| matches!(record.phase, JobPhase::Ended { .. }));
    if ended {
        state.planner.attempt_numbers.swap_remove(&job);
        context.update_metric(MetricName::JobsEnded, 1);
        caller::job_ended(state, job, context);
    }
}

/// Tells whoever waits for a record of this daemon what became of it.
fn settle(
    state: &mut DaemonState,
    settled: &SettledRecord,
    effect: &RecordEffect,
    context: &mut StepContext<'_>,
) {
    match &settled.purpose {
        RecordPurpose::Submit { caller }
        | RecordPurpose::Cancel { caller, .. }
        | RecordPurpose::Publish { caller } => {
            caller::settled(state, *caller, settled, effect, context);
        }
        RecordPurpose::Domain { caller } => domain::resolve_change(state, *caller, effect, context),
        RecordPurpose::Placement { job, attempt } => {
            let applied = *effect == RecordEffect::Applied;
            gang::handle_placement(state, *job, *attempt, applied, context);
        }
        RecordPurpose::Intent { request } => {
            request::intent_settled(state, *request, effect, context);
        }
        RecordPurpose::Term
        | RecordPurpose::AttemptEnd { .. }
        | RecordPurpose::Refusal
        | RecordPurpose::RequestDone => {}
    }
}

/// Answers those who have waited too long for the log.
fn give_up_late(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let limit = context.at - state.settings.timing.append_timeout;
    for settled in state.outbox.withdraw_unsent(limit) {
        match settled.purpose {
            RecordPurpose::Submit { caller } | RecordPurpose::Publish { caller } => {
                caller::withdrawn(state, caller, context);
            }
            RecordPurpose::Intent { request } => request::intent_withdrawn(state, request, context),
            _ => {}
        }
    }
    let overdue: Vec<RecordPurpose> = state.outbox.overdue(limit).cloned().collect();
    for purpose in overdue {
        match purpose {
            RecordPurpose::Submit { caller }
            | RecordPurpose::Publish { caller }
            | RecordPurpose::Cancel { caller, .. } => caller::overdue(state, caller, context),
            RecordPurpose::Intent { request } => request::intent_overdue(state, request, context),
            _ => {}
        }
    }
}

/// Takes the newest snapshot at the start, or after records have expired.
pub fn snapshot_read(
    state: &mut DaemonState,
    ledger: Option<&LedgerState>,
    reachable: bool,
    context: &mut StepContext<'_>,
) {
    if state.reader.phase != ReaderPhase::Snapshot {
        return;
    }
    note_reachable(state, reachable, context);
    if !reachable {
        pause_reading(state, true, context.at);
        return;
    }
    if let Some(ledger) = ledger {
        load(state, ledger, context);
    }
    read_from(state, TimeSpan(0), context);
}

/// Replaces the ledger by one that has read further. A ledger never goes back.
fn load(state: &mut DaemonState, ledger: &LedgerState, context: &mut StepContext<'_>) {
    if ledger.next <= state.ledger.next {
        return;
    }
    context.info(
        LogTarget::Snapshot,
        format!("ledger loaded up to offset {}", ledger.next),
    );
    state.ledger = ledger.clone();
    state.ledger.rebuild_index();
    plan::end_term(state);
    state.term.valid_until = None;
    state.term.seen_at = Some(context.at);
    let own = state
        .ledger
        .writers
        .get(state.outbox.writer())
        .map(|mark| mark.sequence);
    if let Some(sequence) = own {
        for settled in state.outbox.confirm(sequence) {
            settle(state, &settled, &RecordEffect::Repeated, context);
        }
    }
}

/// Asks the other daemons for their ledger while the log cannot be read at the start.
fn ask_peers(state: &mut DaemonState, context: &mut StepContext<'_>) {
    if state.reader.loaded || !state.reader.failing || context.at < state.reader.ask_peers_at {
        return;
    }
    state.reader.ask_peers_at = context.at + state.settings.timing.heartbeat;
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
    if state.reader.loaded {
        context.push(ControlEffect::SendPeer {
            to: to.clone(),
            address: entry.info.address.clone(),
            message: PeerMessage::State {
                ledger: Box::new(state.ledger.clone()),
            },
        });
    }
}

/// Takes the ledger of another daemon, unless this one has read further or can read the log.
pub fn peer_state(state: &mut DaemonState, ledger: &LedgerState, context: &mut StepContext<'_>) {
    if !state.reader.failing {
        return;
    }
    let reading = matches!(state.reader.phase, ReaderPhase::Control { .. });
    if !reading {
        load(state, ledger, context);
        state.reader.loaded |= ledger.next <= state.ledger.next;
    }
}

/// Begins a snapshot when enough records or time have passed since the last one.
fn write_snapshot(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let status = &state.snapshot;
    let records = state.ledger.next.0.saturating_sub(status.next);
    let waited = context.at.since(status.started_at) >= state.settings.timing.snapshot;
    let due = records >= u64::from(state.settings.limits.snapshot_records);
    if status.is_writing || records == 0 || !(due || waited) || !term::is_planner(state, context.at)
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

/// Takes the outcome of writing a snapshot.
pub fn snapshot_written(state: &mut DaemonState, stored: bool, context: &mut StepContext<'_>) {
    state.snapshot.is_writing = false;
    if stored {
        context.info(
            LogTarget::Snapshot,
            format!("snapshot up to {} stored", state.snapshot.next),
        );
    } else {
        context.warn(LogTarget::Snapshot, "snapshot could not be stored");
        state.snapshot.next = 0;
        state.snapshot.started_at = context.at;
    }
}

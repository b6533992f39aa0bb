//! The reducer: applies each event to the state of a daemon and returns effects as data.

use crate::batch;
use crate::batch::state::BatchState;
use crate::call;
use crate::caller;
use crate::context::StepContext;
use crate::domain;
use crate::effect::ControlEffect;
use crate::effect::PeerMessage;
use crate::effect::WorkerTasks;
use crate::event::ControlEvent;
use crate::event::EventInput;
use crate::event::ShutdownLevel;
use crate::gang;
use crate::ids::DaemonName;
use crate::lease;
use crate::member;
use crate::plan;
use crate::replication;
use crate::report;
use crate::request;
use crate::shutdown;
use crate::state::DaemonState;
use crate::term;

/// Applies one event to the state and appends the resulting effects in execution order.
///
/// The function is deterministic: equal states and events yield equal states and effects.
pub fn apply(state: &mut DaemonState, event: &ControlEvent, effects: &mut Vec<ControlEffect>) {
    let context = &mut StepContext::new(event.at, effects);
    if let Some(batch) = &mut state.batch {
        return apply_batch(batch, &event.input, context);
    }
    match &event.input {
        EventInput::Tick => tick(state, context),
        EventInput::Caller {
            caller,
            credential,
            request,
        } => {
            caller::execute(state, *caller, credential, request, context);
        }
        EventInput::CallerDisconnected { caller } => {
            caller::handle_disconnect(state, *caller);
            request::handle_disconnect(state, *caller, context);
        }
        EventInput::LogRead { from, outcome } => {
            replication::handle_log_read(state, *from, outcome, context)
        }
        EventInput::SnapshotRead {
            ledger,
            is_reachable,
        } => {
            replication::handle_snapshot_read(state, ledger.as_deref(), *is_reachable, context);
        }
        EventInput::SnapshotWritten { is_stored } => {
            replication::handle_snapshot_written(state, *is_stored, context);
        }
        EventInput::AppendCompleted { batch, outcome } => {
            state
                .outbox
                .handle_append_outcome(*batch, *outcome, &state.settings.timing, context);
        }
        EventInput::WorkerCallCompleted {
            call,
            worker,
            outcome,
        } => {
            call::handle_outcome(state, *call, worker, outcome, context);
        }
        EventInput::WorkerReport { worker, tasks } => {
            report::handle_push(state, worker, tasks, context);
        }
        EventInput::EndpointCallCompleted {
            request,
            attempt,
            outcome,
        } => {
            request::handle_endpoint_outcome(state, *request, *attempt, outcome, context);
        }
        EventInput::Peer { from, message } => handle_peer_message(state, from, message, context),
        EventInput::VmList { outcome } => member::handle_vm_list(state, outcome, context),
        EventInput::Shutdown { level } => shutdown::begin(state, *level, context),
        // These inputs concern the batch subsystem, which this daemon does not run.
        EventInput::Batch(_) | EventInput::Reload { .. } | EventInput::BurstEnd => {}
    }
    state
        .outbox
        .flush(&state.settings.timing, &state.settings.limits, context);
}

/// Applies one event to a daemon that runs the batch subsystem.
fn apply_batch(state: &mut BatchState, input: &EventInput, context: &mut StepContext<'_>) {
    match input {
        EventInput::Tick => batch::tick(state, context),
        EventInput::BurstEnd => batch::settle(state, context),
        EventInput::Batch(input) => batch::apply(state, input, context),
        EventInput::Reload { settings } => batch::reload(state, settings, context),
        EventInput::Shutdown { level } => match level {
            ShutdownLevel::Drain => batch::stop(state, context),
            ShutdownLevel::Now => context.push(ControlEffect::Exit),
        },
        // The batch subsystem has its own store, workers and callers. These inputs belong to the
        // daemon's own, which are unused.
        EventInput::Caller { .. }
        | EventInput::CallerDisconnected { .. }
        | EventInput::LogRead { .. }
        | EventInput::SnapshotRead { .. }
        | EventInput::SnapshotWritten { .. }
        | EventInput::AppendCompleted { .. }
        | EventInput::WorkerCallCompleted { .. }
        | EventInput::WorkerReport { .. }
        | EventInput::EndpointCallCompleted { .. }
        | EventInput::Peer { .. }
        | EventInput::VmList { .. } => {}
    }
}

fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    member::tick(state, context);
    replication::tick(state, context);
    term::tick(state, context);
    lease::tick(state, context);
    plan::tick(state, context);
    request::tick(state, context);
    caller::tick(state, context);
    domain::tick(state, context);
    shutdown::tick(state, context);
}

fn handle_reports(state: &mut DaemonState, reports: &[WorkerTasks], context: &mut StepContext<'_>) {
    let is_fresh = state
        .reader
        .is_fresh(context.at, state.settings.timing.freshness);
    for report in reports {
        if term::is_planner(state, context.at) {
            gang::handle_reports(state, &report.worker, &report.tasks, context);
        }
        if !is_fresh {
            report::stop_partial_gangs(state, &report.tasks, context);
        }
    }
}

fn handle_peer_message(
    state: &mut DaemonState,
    from: &DaemonName,
    message: &PeerMessage,
    context: &mut StepContext<'_>,
) {
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            member::handle_heartbeat(state, from, heartbeat, context)
        }
        PeerMessage::Reports { reports } => handle_reports(state, reports, context),
        PeerMessage::StateRequest => replication::send_state(state, from, context),
        PeerMessage::State { ledger } => replication::handle_peer_state(state, ledger, context),
    }
}

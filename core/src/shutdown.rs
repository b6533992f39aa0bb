//! Graceful shutdown: the daemon reports that it is not ready, finishes open work, releases the
//! term and exits.

use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::event::ShutdownLevel;
use crate::member;
use crate::run::GangStage;
use crate::state::DaemonState;
use crate::term;
use crate::units::ClockTime;

/// Progress of a shutdown.
#[derive(Clone, Debug)]
pub struct ShutdownState {
    /// When the first shutdown signal arrived.
    pub started_at: ClockTime,
    /// Whether new work is refused. It becomes true after the `balancer_delay`, because the load
    /// balancer sends callers until it has detected that the daemon is not ready.
    pub refuses_work: bool,
}

/// Begins a shutdown, or exits immediately if `level` is `Now`. A repeated signal to drain has no
/// effect.
pub fn begin(state: &mut DaemonState, level: ShutdownLevel, context: &mut StepContext<'_>) {
    if level == ShutdownLevel::Now {
        context.warn(LogTarget::Process, "exiting without drain");
        context.push(ControlEffect::Exit);
        return;
    }
    if state.shutdown.is_some() {
        return;
    }
    context.info(LogTarget::Process, "draining");
    state.shutdown = Some(ShutdownState {
        started_at: context.at,
        refuses_work: false,
    });
    member::send_heartbeats(state, context);
}

/// Advances a shutdown: refuses new work after the `balancer_delay`, releases the term, and exits
/// when open work is done or the `drain` time is over.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let Some(shutdown) = &mut state.shutdown else {
        return;
    };
    let timing = &state.settings.timing;
    let elapsed = context.at.since(shutdown.started_at);
    if elapsed < timing.balancer_delay {
        return;
    }
    shutdown.refuses_work = true;
    if !has_starting_gangs(state) {
        term::release(state, context);
    }
    let is_done = state.outbox.is_empty()
        && state.requests.open.is_empty()
        && state.callers.is_empty()
        && state.term.is_stepping_down;
    if is_done {
        context.info(LogTarget::Process, "drained");
        context.push(ControlEffect::Exit);
    } else if elapsed >= state.settings.timing.drain {
        context.warn(
            LogTarget::Process,
            "drain timed out; exiting with open work",
        );
        context.push(ControlEffect::Exit);
    }
}

/// Returns whether an attempt is between reservation and running. Such attempts finish before the
/// term is released, because otherwise the next planner has to recover them.
fn has_starting_gangs(state: &DaemonState) -> bool {
    state.planner.in_transition.iter().any(|job| {
        state.planner.runs.get(job).is_some_and(|run| {
            matches!(
                run.stage,
                GangStage::Reserving | GangStage::Recording | GangStage::Starting
            )
        })
    })
}

//! Graceful shutdown: readiness off, open work finished, term and shares handed over.

use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::event::ShutdownLevel;
use crate::member;
use crate::run::GangStage;
use crate::state::DaemonState;
use crate::term;
use crate::units::ClockTime;

/// A shutdown that has begun.
#[derive(Clone, Debug)]
pub struct ShutdownState {
    /// When the first signal came.
    pub since: ClockTime,
    /// Whether new work is refused. The balancer gets time to turn away first, because it still
    /// sends callers until it has seen that the daemon is not ready.
    pub refuses_work: bool,
}

/// Begins a shutdown, or ends the process at once.
pub fn begin(state: &mut DaemonState, level: ShutdownLevel, context: &mut StepContext<'_>) {
    if level == ShutdownLevel::Now {
        context.warn(LogTarget::Process, "stopping at once");
        context.push(ControlEffect::Exit);
        return;
    }
    if state.shutdown.is_some() {
        return;
    }
    context.info(LogTarget::Process, "draining");
    state.shutdown = Some(ShutdownState {
        since: context.at,
        refuses_work: false,
    });
    member::send_heartbeats(state, context);
}

/// Moves a shutdown on. Returns whether the process has ended its work.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let Some(shutdown) = &mut state.shutdown else {
        return;
    };
    let timing = &state.settings.timing;
    let waited = context.at.since(shutdown.since);
    if waited < timing.balancer_delay {
        return;
    }
    shutdown.refuses_work = true;
    if !has_starting_gangs(state) {
        term::release(state, context);
    }
    let done = state.outbox.is_empty()
        && state.requests.open.is_empty()
        && state.callers.is_empty()
        && state.term.is_stepping_down;
    if done {
        context.info(LogTarget::Process, "drained");
        context.push(ControlEffect::Exit);
    } else if waited >= state.settings.timing.drain {
        context.warn(
            LogTarget::Process,
            "drain time is over; stopping with open work",
        );
        context.push(ControlEffect::Exit);
    }
}

/// An attempt between reservation and running is finished before the term is released, so that the
/// successor need not recover it.
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

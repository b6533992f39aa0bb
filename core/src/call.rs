//! Worker calls in flight, and the handling of their outcomes.

use indexmap::IndexMap;

use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::event::CallOutcome;
use crate::gang;
use crate::ids::CallId;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::ids::TermNumber;
use crate::ids::WorkerName;
use crate::lease;
use crate::plan;
use crate::state::DaemonState;
use crate::termination;
use crate::worker::WorkerCommand;
use crate::worker::WorkerReply;

/// What a worker call is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallPurpose {
    /// Renews the lease, or probes an unresponsive worker.
    Renew,
    /// Fences the worker for the planner's term.
    Fence {
        /// The term to fence for.
        term: TermNumber,
    },
    /// Reserves capacity for a member.
    Reserve {
        /// The task of the member.
        task: TaskId,
    },
    /// Starts a member.
    Start {
        /// The task of the member.
        task: TaskId,
    },
    /// Stops the members of an attempt on this worker.
    Stop {
        /// The job to stop.
        job: JobId,
        /// The attempt to stop. The worker also stops earlier attempts of the job.
        attempt: u32,
    },
    /// Stops tasks whose attempt has ended. The next renewal shows whether they still run.
    StopStale,
    /// Repeats the current term to a worker that may have lost it.
    Refence,
    /// Acknowledges ended tasks, which the worker can then forget.
    Forget,
}

/// Worker calls in flight.
#[derive(Clone, Debug, Default)]
pub struct CallTable {
    next_call: u64,
    open: IndexMap<CallId, CallPurpose>,
}

impl CallTable {
    /// Returns the number of calls in flight.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }
}

/// Sends a command to a worker. Does nothing when the worker is not on the VM list.
pub fn send(
    state: &mut DaemonState,
    worker: &WorkerName,
    command: WorkerCommand,
    purpose: CallPurpose,
    context: &mut StepContext<'_>,
) {
    let Some(entry) = state.members.workers.get(worker) else {
        return;
    };
    let address = entry.info.address.clone();
    let call = CallId(state.calls.next_call);
    state.calls.next_call += 1;
    state.calls.open.insert(call, purpose);
    let timing = &state.settings.timing;
    let timeout = match &command {
        // The worker may use the whole reclaim time for a checkpoint before it answers.
        WorkerCommand::Stop {
            checkpoint: true, ..
        } => timing.reclaim + timing.call,
        _ => timing.call,
    };
    context.push(ControlEffect::CallWorker {
        call,
        worker: worker.clone(),
        address,
        command,
        timeout,
    });
}

/// Handles the outcome of a call. An unknown or repeated call id is ignored.
pub fn handle_outcome(
    state: &mut DaemonState,
    call: CallId,
    worker: &WorkerName,
    outcome: &CallOutcome,
    context: &mut StepContext<'_>,
) {
    let Some(purpose) = state.calls.open.swap_remove(&call) else {
        return;
    };
    update_contact(state, worker, &purpose, outcome, context);
    match (purpose, outcome) {
        (
            CallPurpose::Renew,
            CallOutcome::Reply {
                reply:
                    WorkerReply::Renewed {
                        revision,
                        tasks,
                        boot,
                        ..
                    },
            },
        ) => lease::handle_renewal(state, worker, *revision, *boot, tasks, context),
        (CallPurpose::Renew, CallOutcome::Undelivered | CallOutcome::Unknown) => {
            lease::handle_no_answer(state, worker, context);
        }
        (CallPurpose::Fence { term }, _) => {
            plan::handle_fence_reply(state, worker, term, outcome, context)
        }
        (CallPurpose::Reserve { task }, _) => {
            gang::handle_reserve_reply(state, &task, outcome, context)
        }
        (CallPurpose::Start { task }, _) => {
            gang::handle_start_reply(state, &task, outcome, context)
        }
        (CallPurpose::Stop { job, attempt }, _) => {
            termination::handle_stop_reply(state, worker, job, attempt, outcome, context);
        }
        (
            CallPurpose::Renew
            | CallPurpose::StopStale
            | CallPurpose::Refence
            | CallPurpose::Forget,
            _,
        ) => {}
    }
}

/// Updates the worker's state from any reply: it is reachable, and it may be leaving.
fn update_contact(
    state: &mut DaemonState,
    worker: &WorkerName,
    purpose: &CallPurpose,
    outcome: &CallOutcome,
    context: &mut StepContext<'_>,
) {
    let CallOutcome::Reply { reply } = outcome else {
        return;
    };
    let is_leaving = match reply {
        WorkerReply::Fenced { leaving, .. } | WorkerReply::Renewed { leaving, .. } => {
            Some(*leaving)
        }
        WorkerReply::Refused {
            refusal: crate::worker::WorkerRefusal::Leaving,
        } => Some(true),
        _ => None,
    };
    if let (Some(is_leaving), Some(entry)) = (is_leaving, state.members.workers.get_mut(worker))
        && entry.is_leaving != is_leaving
    {
        entry.is_leaving = is_leaving;
        state.planner.is_dirty = true;
    }
    if *purpose == CallPurpose::Renew {
        lease::handle_answer(state, worker, context);
    }
}

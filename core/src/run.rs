//! State of one attempt at the planner: its members, its stage and its end.

use std::collections::BTreeSet;

use crate::ids::JobId;
use crate::ids::WorkerName;
use crate::ledger::JobPhase;
use crate::record::AttemptEnd;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::worker::TaskOutcome;
use crate::worker::TaskPhase;
use crate::worker::TaskStatus;

/// State of a member as known to the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The reservation was sent.
    Reserving,
    /// The worker holds the capacity.
    Reserved,
    /// The start command was sent.
    Starting,
    /// The worker has confirmed the start.
    Running,
    /// The member may be running; the worker has not confirmed either state.
    Uncertain,
    /// The member is not running and will not start.
    NotRunning {
        /// Whether the member may have run earlier.
        may_have_run: bool,
    },
    /// The worker has reported the member's end.
    Ended {
        /// Reported outcome.
        end: TaskOutcome,
    },
}

/// Stage of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangStage {
    /// The planner took over the attempt from the ledger and queries the workers for its members.
    Recovering,
    /// Members are being reserved.
    Reserving,
    /// The placement is being appended to the log.
    Recording,
    /// Members are being started.
    Starting,
    /// All members have started.
    Running,
    /// Members are being stopped.
    Stopping {
        /// Reason for the stop. The recorded end differs if all members turn out to have finished
        /// or one has failed.
        end: AttemptEnd,
    },
    /// The end is being appended to the log.
    Closing,
}

/// An attempt of a job at the planner.
#[derive(Clone, Debug)]
pub struct GangRun {
    /// Number of the attempt, counted from 1 for each job.
    pub attempt: u32,
    /// Worker of each member.
    pub workers: Vec<WorkerName>,
    /// State of each member.
    pub members: Vec<MemberState>,
    /// Current stage.
    pub stage: GangStage,
    /// Whether the placement is in the ledger.
    pub is_recorded: bool,
    /// Time at which the attempt entered its stage.
    pub stage_entered_at: ClockTime,
    /// Progress that each member has saved.
    pub(crate) checkpoints: Vec<TimeSpan>,
    /// Workers that have not confirmed the stop.
    pub(crate) unconfirmed_stops: BTreeSet<WorkerName>,
    pub(crate) retry_at: ClockTime,
}

impl GangRun {
    /// Creates an attempt whose members all have the same state.
    #[must_use]
    pub fn new(
        attempt: u32,
        workers: Vec<WorkerName>,
        member: MemberState,
        stage: GangStage,
        at: ClockTime,
    ) -> Self {
        let count = workers.len();
        Self {
            attempt,
            workers,
            members: vec![member; count],
            is_recorded: stage == GangStage::Recovering,
            stage,
            stage_entered_at: at,
            checkpoints: vec![TimeSpan::default(); count],
            unconfirmed_stops: BTreeSet::new(),
            retry_at: at,
        }
    }

    /// Returns the workers that have not confirmed the stop.
    #[must_use]
    pub fn unconfirmed_stops(&self) -> &BTreeSet<WorkerName> {
        &self.unconfirmed_stops
    }

    pub(crate) fn enter(&mut self, stage: GangStage, at: ClockTime) {
        self.stage = stage;
        self.stage_entered_at = at;
    }

    pub(crate) fn all_members(&self, test: impl Fn(&MemberState) -> bool) -> bool {
        self.members.iter().all(test)
    }

    pub(crate) fn members_on<'a>(
        &'a self,
        worker: &'a WorkerName,
    ) -> impl Iterator<Item = usize> + 'a {
        (0..)
            .zip(&self.workers)
            .filter(move |(_, name)| *name == worker)
            .map(|(index, _)| index)
    }

    pub(crate) fn has_ended_on(&self, worker: &WorkerName) -> bool {
        self.members_on(worker)
            .all(|index| self.members[index].has_ended())
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.members.iter().any(MemberState::may_have_run)
    }
}

/// Returns whether a worker has been up since before a placement. If so, a member that the worker
/// does not report has never started.
pub(crate) fn was_up_at_placement(
    state: &DaemonState,
    job: JobId,
    uptime: TimeSpan,
    at: ClockTime,
) -> bool {
    let record = state.ledger.jobs.get(&job);
    match record.map(|record| &record.phase) {
        Some(JobPhase::Placed { at: placed_at, .. }) => {
            uptime > at.since(*placed_at) + state.settings.timing.clock_margin
        }
        _ => false,
    }
}

impl MemberState {
    pub(crate) fn has_ended(&self) -> bool {
        matches!(self, Self::NotRunning { .. } | Self::Ended { .. })
    }

    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::Reserving
                | Self::Reserved
                | Self::NotRunning {
                    may_have_run: false
                }
        )
    }

    pub(crate) fn is_finished(&self) -> bool {
        matches!(
            self,
            Self::Ended {
                end: TaskOutcome::Finished { .. }
            }
        )
    }
}

pub(crate) fn apply_status(run: &mut GangRun, index: usize, status: &TaskStatus) {
    run.checkpoints[index] = run.checkpoints[index].max(status.checkpoint);
    run.members[index] = match &status.phase {
        TaskPhase::Ended { end } => MemberState::Ended { end: end.clone() },
        TaskPhase::Running => MemberState::Running,
        TaskPhase::Reserved => MemberState::NotRunning {
            may_have_run: false,
        },
    };
}

/// Applies a worker's reply to the stop of its members.
pub(crate) fn apply_stop_reply(
    run: &mut GangRun,
    worker: &WorkerName,
    tasks: &[TaskStatus],
    was_up_at_placement: bool,
) {
    let indexes: Vec<usize> = run.members_on(worker).collect();
    for index in indexes {
        let attempt = run.attempt;
        let status = tasks
            .iter()
            .find(|status| status.task.attempt == attempt && status.task.member as usize == index);
        if run.members[index].has_ended() {
            continue;
        }
        match status {
            Some(status) => apply_status(run, index, status),
            None => {
                // A worker that restarted after the placement no longer reports tasks from before
                // the restart.
                let member = &run.members[index];
                let may_have_run = *member == MemberState::Running
                    || (member.may_have_run() && !was_up_at_placement);
                run.members[index] = MemberState::NotRunning { may_have_run };
            }
        }
    }
    run.unconfirmed_stops.remove(worker);
}

pub(crate) fn attempt_end(run: &GangRun, repeatable: bool, cancelled: bool) -> AttemptEnd {
    if run.all_members(MemberState::is_finished) {
        return AttemptEnd::Finished {
            result: first_result(run),
        };
    }
    if let Some(end) = first_failure(run) {
        return end;
    }
    if !run.may_have_run() {
        return AttemptEnd::NotStarted;
    }
    if cancelled {
        return AttemptEnd::Cancelled;
    }
    if !repeatable {
        return AttemptEnd::Unknown;
    }
    match &run.stage {
        GangStage::Stopping {
            end: AttemptEnd::NotStarted,
        } => AttemptEnd::Preempted,
        GangStage::Stopping { end } => end.clone(),
        _ => AttemptEnd::Preempted,
    }
}

pub(crate) fn first_result(run: &GangRun) -> String {
    match run.members.first() {
        Some(MemberState::Ended {
            end: TaskOutcome::Finished { result },
        }) => result.clone(),
        _ => String::new(),
    }
}

pub(crate) fn first_failure(run: &GangRun) -> Option<AttemptEnd> {
    run.members
        .iter()
        .zip(&run.workers)
        .find_map(|(member, worker)| match member {
            MemberState::Ended {
                end: TaskOutcome::Failed { reason },
            } => Some(AttemptEnd::Failed {
                worker: worker.clone(),
                reason: reason.clone(),
            }),
            _ => None,
        })
}

//! Scheduling policy: queue order, placement and reclaim as pure decisions over a borrowed view.

use std::hash::Hash;
use std::hash::Hasher;

use indexmap::IndexMap;
use twox_hash::XxHash64;

use crate::baseline;
use crate::config::ResourceDemand;
use crate::config::TeamFile;
use crate::cycle;
use crate::estimate::EstimateTable;
use crate::guarantee::PlacedShape;
use crate::guarantee::UnplacedShape;
use crate::health::HealthTable;
use crate::health::JobVerdict;
use crate::health::WorkerFailure;
use crate::ids::JobId;
use crate::ids::TeamName;
use crate::ids::WorkerName;
use crate::queue::UsageTable;
use crate::record::JobOrder;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::worker::WorkerInfo;

plain_data! {
    /// Scheduling policy of a daemon.
    #[derive(Copy, Default, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum PolicyKind {
        /// Jobs in order of arrival, each on the first workers that fit.
        FirstFit,
        /// Jobs in order of strict priority, without reservations.
        StrictPriority,
        /// Guarantees, deadlines, fair shares, reservations and reclaim.
        #[default]
        Mustardpath,
    }
}

plain_data! {
    /// State of one worker in a [`PolicyView`].
    pub struct WorkerSlot {
        /// The worker's entry in the VM list.
        pub info: WorkerInfo,
        /// Unallocated and unreserved capacity, excluding the slots set aside for requests.
        pub free: ResourceDemand,
        /// Total capacity for jobs, excluding the slots set aside for requests.
        pub offered: ResourceDemand,
        /// Whether new work may be placed on the worker.
        pub is_usable: bool,
        /// Whether the worker is unusable because its failure domain is out of service.
        pub is_domain_out: bool,
    }
}

/// A queued job, as input of the policy.
#[derive(Clone, Debug)]
pub struct WaitingJob<'a> {
    /// Id by which [`PolicyDecision::Place`] and [`PolicyDecision::Refuse`] name the job.
    pub job: JobId,
    /// The job's submission.
    pub order: &'a JobOrder,
    /// Time at which the job was accepted.
    pub accepted_at: ClockTime,
    /// Progress from which the next attempt resumes.
    pub checkpoint: TimeSpan,
    /// Workers on which earlier attempts failed.
    pub failed_on: &'a [WorkerName],
}

/// A job that holds capacity.
#[derive(Clone, Debug)]
pub struct RunningJob<'a> {
    /// Id by which [`PolicyDecision::Reclaim`] and [`PolicyDecision::Move`] name the job.
    pub job: JobId,
    /// The job's submission.
    pub order: &'a JobOrder,
    /// Worker of each member.
    pub workers: &'a [WorkerName],
    /// Time at which the current attempt was placed.
    pub placed_at: ClockTime,
    /// Progress from which the current attempt resumed.
    pub checkpoint: TimeSpan,
    /// Whether the attempt is being stopped.
    pub is_stopping: bool,
}

/// Input of one run of the policy.
#[derive(Clone, Debug)]
pub struct PolicyView<'a> {
    /// Time of the run, on which slack, age and estimates depend.
    pub at: ClockTime,
    /// Policy that makes the decisions.
    pub kind: PolicyKind,
    /// All workers that the VM list reports as live or leaving.
    pub workers: &'a IndexMap<WorkerName, WorkerSlot>,
    /// Queued jobs in order of acceptance.
    pub waiting: &'a [WaitingJob<'a>],
    /// Jobs that hold capacity.
    pub running: &'a [RunningJob<'a>],
    /// Team files of the current configuration.
    pub teams: &'a IndexMap<TeamName, TeamFile>,
    /// Maximum number of moves per hour to reduce fragmentation.
    pub moves_per_hour: u32,
}

/// Outcome of an attempt, reduced to what the policy uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedEnd<'a> {
    /// All members finished.
    Finished,
    /// A worker reported the failure of a member, which ends the attempt.
    Failed {
        /// Worker that reported the failure.
        worker: &'a WorkerName,
    },
    /// The attempt was stopped, lost or never started.
    Other,
}

/// Report of an ended attempt.
#[derive(Clone, Copy, Debug)]
pub struct EndObservation<'a> {
    /// Time at which the attempt ended.
    pub at: ClockTime,
    /// Kept in the workers' failure history and compared with the probe of a quarantined worker.
    pub job: JobId,
    /// The job's submission.
    pub order: &'a JobOrder,
    /// Worker of each member.
    pub workers: &'a [WorkerName],
    /// Workers on which earlier attempts failed.
    pub failed_on: &'a [WorkerName],
    /// Total work done, including work before the checkpoint.
    pub progress: TimeSpan,
    /// Selects the update: run-time estimate, failure history, or only the release of a probe.
    pub end: ObservedEnd<'a>,
}

plain_data! {
    /// Action for the planner.
    #[serde(tag = "decision", rename_all = "snake_case")]
    pub enum PolicyDecision {
        /// Starts a job.
        Place {
            /// Job to start.
            job: JobId,
            /// Worker of each member.
            workers: Vec<WorkerName>,
        },
        /// Checkpoints and stops a running job, which returns to the queue.
        Reclaim {
            /// Job to stop.
            victim: JobId,
            /// Job that receives the capacity.
            claimant: JobId,
        },
        /// Checkpoints and stops a running job so that it can be placed elsewhere.
        Move {
            /// Job to stop.
            job: JobId,
        },
        /// Fails a job that can never run.
        Refuse {
            /// Job to refuse.
            job: JobId,
            /// Explanation for the submitter.
            reason: String,
        },
    }
}

plain_data! {
    /// Capacity that is held for a job while its victims stop.
    pub struct PendingClaim {
        /// Job that receives the capacity.
        pub job: JobId,
        /// Worker of each member.
        pub workers: Vec<WorkerName>,
        /// Time at which the victims were chosen.
        pub since: ClockTime,
    }

    /// Reservation of the first large job in the queue.
    pub struct HeadReservation {
        /// Job that holds the reservation.
        pub job: JobId,
        /// Time at which the reservation was granted.
        pub granted_at: ClockTime,
        /// Earliest start of the job according to the run-time estimates.
        pub expected_start: ClockTime,
        /// Maximum delay of the start that backfilled jobs may cause.
        pub max_delay: TimeSpan,
        /// Workers reserved for the job.
        pub workers: Vec<WorkerName>,
        /// Time at which `expected_start` and `workers` were last computed.
        pub updated_at: ClockTime,
    }

    /// Result of checking one gang shape against the empty fleet.
    pub struct FeasibilityCheck {
        /// Reason why the shape does not fit, or `None` when it fits.
        pub infeasibility: Option<String>,
        /// Time since which the shape has not fitted, or time of the check when it fits.
        pub since: ClockTime,
        /// Digest of the fleet and the guarantees at the time of the check.
        pub fleet_digest: u64,
    }

    /// A view for which the policy made no decision.
    #[derive(Copy)]
    pub struct IdleView {
        /// Digest of the view.
        pub digest: u64,
        /// Time after which the view is evaluated again, even if unchanged.
        pub until: ClockTime,
    }

    /// State that the policy carries from one run to the next.
    #[derive(Default)]
    pub struct PolicyState {
        /// Reasons why each queued job waits, as of the last run.
        pub reasons: IndexMap<JobId, Vec<String>>,
        /// Run-time estimates from finished jobs.
        pub estimates: EstimateTable,
        /// Failure history and quarantine of the workers.
        pub health: HealthTable,
        /// Exponentially decayed usage of each team.
        pub usage: UsageTable,
        /// Capacity held for jobs while their victims stop.
        pub claims: Vec<PendingClaim>,
        /// Reservation of the first large job in the queue.
        pub reservation: Option<HeadReservation>,
        /// Guaranteed shapes of the last layout, with their workers.
        pub placed_shapes: Vec<PlacedShape>,
        /// Guaranteed shapes that did not fit in the last layout.
        pub unplaced_shapes: Vec<UnplacedShape>,
        /// Digest of the fleet and the guarantees for which the layout was last rebuilt.
        pub layout_digest: u64,
        /// Times of the moves in the last hour.
        pub moves: Vec<ClockTime>,
        /// Results of feasibility checks by digest of the gang shape.
        pub feasibility: IndexMap<u64, FeasibilityCheck>,
        /// Last view for which the policy made no decision.
        pub idle_view: Option<IdleView>,
    }
}

impl PolicyState {
    /// Updates estimates and worker health from an ended attempt. Must be called once per attempt.
    ///
    /// The planner ignores the verdict, because the ledger ends a job after its third failure. The
    /// simulation ends a job whose verdict is [`JobVerdict::Faulty`].
    pub fn observe_end(&mut self, end: &EndObservation<'_>) -> JobVerdict {
        self.idle_view = None;
        let order = end.order;
        match end.end {
            ObservedEnd::Finished => {
                let declared = order.spec.run_time;
                self.estimates
                    .observe(&order.team, &order.service, declared, end.progress);
                self.health.record_success(end.workers, end.job, end.at);
                JobVerdict::Retry
            }
            ObservedEnd::Failed { worker } => {
                let failure = WorkerFailure {
                    at: end.at,
                    job: end.job,
                    team: order.team.clone(),
                };
                let verdict = self.health.record_failure(worker, end.failed_on, failure);
                self.health.release_probe(end.workers, end.job);
                verdict
            }
            ObservedEnd::Other => {
                self.health.release_probe(end.workers, end.job);
                JobVerdict::Retry
            }
        }
    }

    fn is_idle(&self, digest: u64, at: ClockTime) -> bool {
        self.idle_view
            .is_some_and(|view| view.digest == digest && at < view.until)
    }

    fn record_outcome(&mut self, digest: u64, at: ClockTime, decided: bool) {
        let until = at + IDLE_RECHECK_INTERVAL;
        let until = self
            .health
            .next_probe_at()
            .map_or(until, |due| due.min(until));
        self.idle_view = (!decided).then_some(IdleView { digest, until });
    }
}

/// Time after which an unchanged view is evaluated again, because slack, age and estimates change
/// with time.
const IDLE_RECHECK_INTERVAL: TimeSpan = TimeSpan::from_secs(5);

/// Returns a digest of everything in the view except the time that can affect a decision.
fn view_digest(view: &PolicyView<'_>) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    (view.kind, view.moves_per_hour).hash(&mut hasher);
    fleet_digest(view).hash(&mut hasher);
    for slot in view.workers.values() {
        slot.free.hash(&mut hasher);
    }
    for job in view.waiting {
        (job.job, job.failed_on.len()).hash(&mut hasher);
    }
    for job in view.running {
        (job.job, job.placed_at, job.is_stopping).hash(&mut hasher);
    }
    hasher.finish()
}

/// Returns a digest of the workers, without their allocations, and of the guarantees.
#[must_use]
pub fn fleet_digest(view: &PolicyView<'_>) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    for (worker, slot) in view.workers {
        worker.hash(&mut hasher);
        (slot.offered, slot.is_usable, slot.is_domain_out).hash(&mut hasher);
    }
    for (team, file) in view.teams {
        (team, file.weight).hash(&mut hasher);
        for shape in &file.guarantees {
            (shape.workers, shape.per_worker).hash(&mut hasher);
            (shape.same_rack, shape.count).hash(&mut hasher);
        }
    }
    hasher.finish()
}

/// Decides which jobs to place, reclaim, move and refuse.
///
/// The result depends only on the view and the state.
#[must_use]
pub fn decide(view: &PolicyView<'_>, state: &mut PolicyState) -> Vec<PolicyDecision> {
    let digest = view_digest(view);
    if state.is_idle(digest, view.at) {
        return Vec::new();
    }
    state.reasons.clear();
    let decisions = match view.kind {
        PolicyKind::FirstFit | PolicyKind::StrictPriority => baseline::decide(view, state),
        PolicyKind::Mustardpath => cycle::decide(view, state),
    };
    state.record_outcome(digest, view.at, !decisions.is_empty());
    decisions
}

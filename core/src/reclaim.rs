//! Which running work gives its capacity back.

use std::collections::HashMap;

use crate::config::ResourceDemand;
use crate::draft::DecisionDraft;
use crate::fleet::FleetIndex;
use crate::placement::GangShape;
use crate::placement::ReleasedWork;
use crate::placement::place_after;
use crate::policy::RunningJob;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Running work that can be stopped, with what stopping it loses.
#[derive(Clone, Debug)]
pub struct ReclaimCandidate {
    /// The work and its room.
    pub work: ReleasedWork,
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
pub fn work_lost(job: &RunningJob<'_>, at: ClockTime) -> u64 {
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
    let works: Vec<ReleasedWork> = candidates.iter().map(|one| one.work.clone()).collect();
    let found = place_after(shape, fleet, free, &works, cap)?;
    let mut lack: HashMap<usize, (ResourceDemand, ResourceDemand)> = HashMap::new();
    for worker in &found.workers {
        let entry = lack
            .entry(*worker)
            .or_insert((ResourceDemand::default(), free[*worker]));
        entry.0.add(&shape.demand);
    }
    let mut victims: Vec<&ReleasedWork> = works[..found.released]
        .iter()
        .filter(|work| work.workers.iter().any(|worker| lack.contains_key(worker)))
        .collect();
    for work in &victims {
        give(&mut lack, work);
    }
    for at in (0..victims.len()).rev() {
        if can_spare(&lack, victims[at]) {
            withhold(&mut lack, victims[at]);
            victims.remove(at);
        }
    }
    Some(ReclaimPlan {
        victims: victims.iter().map(|work| work.running).collect(),
        workers: found.workers,
    })
}

type LackTable = HashMap<usize, (ResourceDemand, ResourceDemand)>;

fn give(lack: &mut LackTable, work: &ReleasedWork) {
    for worker in &work.workers {
        if let Some((_, room)) = lack.get_mut(worker) {
            room.add(&work.demand);
        }
    }
}

fn withhold(lack: &mut LackTable, work: &ReleasedWork) {
    for worker in &work.workers {
        if let Some((_, room)) = lack.get_mut(worker) {
            room.subtract(&work.demand);
        }
    }
}

fn can_spare(lack: &LackTable, work: &ReleasedWork) -> bool {
    let mut members: HashMap<usize, u32> = HashMap::new();
    for worker in &work.workers {
        *members.entry(*worker).or_default() += 1;
    }
    members.iter().all(|(worker, count)| {
        lack.get(worker).is_none_or(|(need, room)| {
            let mut left = *room;
            for _ in 0..*count {
                left.subtract(&work.demand);
            }
            need.fits(&left)
        })
    })
}

/// Time that borrowed work runs before a shorter job may displace it, so that its stops cost
/// little against what it gets done.
const LEAST_RUN: TimeSpan = TimeSpan::from_secs(600);
/// How many times longer than the shorter job the displaced work would go on.
const DISPLACED_FACTOR: u64 = 2;

/// Shapes of waiting work for which one decision looks for longer borrowed work. The first in the
/// queue come first, and each look costs a search over the running jobs.
const DISPLACEMENT_LIMIT: usize = 4;

impl DecisionDraft<'_, '_> {
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
        if self.no_displacement.contains(&key) || self.displacements >= DISPLACEMENT_LIMIT {
            return false;
        }
        self.displacements += 1;
        let at = self.view.at;
        let expected = self.memory.estimates.expected(order);
        let own = expected.0.saturating_sub(job.checkpoint.0);
        let longer = self.candidates(|draft, running| {
            let victim = &draft.view.running[running];
            let end = draft.memory.estimates.expected_end(victim, at);
            let ran = at.since(victim.placed_at);
            let left = end.since(at).0 / DISPLACED_FACTOR;
            victim.order.spec.deadline.is_none() && ran >= LEAST_RUN && left >= own
        });
        if !longer.is_empty() && self.claim_from(position, &longer, None) {
            return true;
        }
        self.no_displacement.insert(key);
        false
    }
}

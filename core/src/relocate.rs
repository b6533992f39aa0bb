//! Moves of running jobs: to defragment capacity for a large job, and to drain failure domains.

use crate::config::ResourceDemand;
use crate::cycle::SchedulingCycle;
use crate::fleet::NO_CAPACITY;
use crate::guarantee::gang_shape;
use crate::placement::GangShape;
use crate::placement::PlacementStyle;
use crate::placement::allocate;
use crate::placement::place;
use crate::policy::PolicyDecision;
use crate::queue::gang_demand;
use crate::reclaim::ReclaimPlan;
use crate::reclaim::choose_victims;
use crate::reclaim::lost_work;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Sliding window of the limit on moves.
const MOVE_WINDOW: TimeSpan = TimeSpan::from_secs(3_600);
/// Minimum reduction of the wait that justifies stopping and restarting a job.
const MIN_WAIT_SAVED: TimeSpan = TimeSpan::from_secs(300);
/// Maximum number of jobs that are moved out of failure domains in one cycle; the next cycle takes
/// their new placements into account.
const DRAIN_LIMIT: usize = 16;

impl SchedulingCycle<'_, '_> {
    /// Moves small jobs if that lets the reserved job start at once or, without a reservation,
    /// makes the largest guaranteed shape fit.
    pub(crate) fn defragment(&mut self) {
        let at = self.view.at;
        let recent = |moved: &ClockTime| at.since(*moved) < MOVE_WINDOW;
        self.state.moves.retain(recent);
        let budget = self.view.moves_per_hour as usize;
        let left = budget.saturating_sub(self.state.moves.len());
        if left == 0 || !self.victims.is_empty() {
            return;
        }
        let reservation = self.state.reservation.as_ref();
        let Some(reservation) = reservation else {
            self.defragment_for_guarantee(left);
            return;
        };
        let (holder, start) = (reservation.job, reservation.expected_start);
        let waiting = self.view.waiting.iter().position(|job| job.job == holder);
        let Some(position) = waiting.filter(|_| start > at + MIN_WAIT_SAVED) else {
            return;
        };
        let order = self.view.waiting[position].order;
        let cap = self.capacity_limit(order);
        let shape = GangShape::of(&order.spec);
        if let Some(plan) = self.plan_moves(&shape, cap.as_deref(), left) {
            self.move_jobs(&plan);
            self.hold_capacity(position, &plan.workers);
            self.state.reservation = None;
        }
    }

    fn defragment_for_guarantee(&mut self, limit: usize) {
        let shapes = self.view.teams.values().flat_map(|file| &file.guarantees);
        let size = |shape: &GangShape| shape.members * shape.demand.accelerators;
        let Some(shape) = shapes.map(gang_shape).max_by_key(size) else {
            return;
        };
        if place(&shape, &self.fleet, &self.free, PlacementStyle::BestFit).is_some() {
            return;
        }
        if let Some(plan) = self.plan_moves(&shape, None, limit) {
            self.move_jobs(&plan);
        }
    }

    fn move_jobs(&mut self, plan: &ReclaimPlan) {
        for victim in &plan.victims {
            self.state.moves.push(self.view.at);
            self.victims.insert(*victim);
            self.decisions.push(PolicyDecision::Move {
                job: self.view.running[*victim].job,
            });
        }
    }

    /// Finds small jobs that block a shape and that fit on other workers.
    fn plan_moves(
        &self,
        shape: &GangShape,
        cap: Option<&[ResourceDemand]>,
        limit: usize,
    ) -> Option<ReclaimPlan> {
        let whole = shape.members * shape.demand.accelerators;
        let free: u32 = self.free.iter().map(|capacity| capacity.accelerators).sum();
        if free < whole {
            return None;
        }
        let small = self.preemptible_work(|cycle, running| {
            let order = cycle.view.running[running].order;
            gang_demand(order).accelerators * 2 <= whole
        });
        let plan = choose_victims(shape, &self.fleet, &self.free, &small, cap)?;
        let mut capacity = self.free.clone();
        for worker in &plan.workers {
            capacity[*worker] = NO_CAPACITY;
        }
        let fits = plan.victims.iter().all(|victim| {
            let shape = GangShape::of(&self.view.running[*victim].order.spec);
            let found = place(&shape, &self.fleet, &capacity, PlacementStyle::BestFit);
            found.is_some_and(|workers| {
                allocate(&mut capacity, &workers, &shape.demand);
                true
            })
        });
        (fits && !plan.victims.is_empty() && plan.victims.len() <= limit).then_some(plan)
    }

    /// Stops jobs in failure domains that are out of service.
    ///
    /// Jobs of teams within their guarantee are stopped first, then jobs of borrowing teams; in
    /// each group, the jobs with the most work to lose come first. A job that does not fit
    /// elsewhere keeps its checkpoint and returns to the queue.
    pub(crate) fn drain_domains(&mut self) {
        if !self.view.workers.values().any(|slot| slot.is_domain_out) {
            return;
        }
        let mut jobs: Vec<(bool, u64, usize)> = Vec::new();
        for (running, job) in self.view.running.iter().enumerate() {
            let is_in_domain_out = job.workers.iter().any(|worker| {
                let slot = self.view.workers.get(worker);
                slot.is_some_and(|slot| slot.is_domain_out)
            });
            let is_preemptible = job.order.spec.can_be_preempted() && !job.is_stopping;
            if is_in_domain_out && is_preemptible && !self.victims.contains(&running) {
                let account = self.accounts.get(&job.order.team);
                let is_borrowing = account.is_none_or(|account| account.is_borrowing());
                let loss = lost_work(job, self.view.at);
                jobs.push((is_borrowing, u64::MAX - loss, running));
            }
        }
        jobs.sort_unstable();
        for (_, _, running) in jobs.into_iter().take(DRAIN_LIMIT) {
            self.victims.insert(running);
            self.decisions.push(PolicyDecision::Move {
                job: self.view.running[running].job,
            });
        }
    }
}

//! Moves of running work: to make room for a large job, and out of failure domains.

use crate::config::ResourceDemand;
use crate::draft::DecisionDraft;
use crate::fleet::NO_ROOM;
use crate::guarantee::gang_shape;
use crate::placement::GangShape;
use crate::placement::PlacementStyle;
use crate::placement::occupy;
use crate::placement::place;
use crate::policy::PolicyDecision;
use crate::queue::whole_demand;
use crate::reclaim::ReclaimPlan;
use crate::reclaim::choose_victims;
use crate::reclaim::work_lost;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time over which moves are counted.
const MOVE_WINDOW: TimeSpan = TimeSpan::from_secs(3_600);
/// Wait that a move has to save, so that a stop and a start cost less than they gain.
const WORTH_MOVING: TimeSpan = TimeSpan::from_secs(300);
/// Jobs that leave a failure domain in one decision; the next decision sees where they went.
const LEAVING_LIMIT: usize = 16;

impl DecisionDraft<'_, '_> {
    /// Moves small work aside when that lets the job with the reservation start at once, or else
    /// when it makes room for the largest guaranteed shape.
    pub(crate) fn make_room(&mut self) {
        let at = self.view.at;
        let recent = |moved: &ClockTime| at.since(*moved) < MOVE_WINDOW;
        self.memory.moves.retain(recent);
        let budget = self.view.moves_per_hour as usize;
        let left = budget.saturating_sub(self.memory.moves.len());
        if left == 0 || !self.leaving.is_empty() {
            return;
        }
        let reservation = self.memory.reservation.as_ref();
        let Some(reservation) = reservation else {
            self.make_room_for_guarantee(left);
            return;
        };
        let (holder, start) = (reservation.job, reservation.start);
        let waiting = self.view.waiting.iter().position(|job| job.job == holder);
        let Some(position) = waiting.filter(|_| start > at + WORTH_MOVING) else {
            return;
        };
        let order = self.view.waiting[position].order;
        let cap = self.room_cap(order);
        let shape = GangShape::of(&order.spec);
        if let Some(plan) = self.plan_moves(&shape, cap.as_deref(), left) {
            self.move_away(&plan);
            self.hold(position, &plan.workers);
            self.memory.reservation = None;
        }
    }

    fn make_room_for_guarantee(&mut self, limit: usize) {
        let shapes = self.view.teams.values().flat_map(|file| &file.guarantees);
        let size = |shape: &GangShape| shape.members * shape.demand.accelerators;
        let Some(shape) = shapes.map(gang_shape).max_by_key(size) else {
            return;
        };
        if place(&shape, &self.fleet, &self.free, PlacementStyle::BestFit).is_some() {
            return;
        }
        if let Some(plan) = self.plan_moves(&shape, None, limit) {
            self.move_away(&plan);
        }
    }

    fn move_away(&mut self, plan: &ReclaimPlan) {
        for victim in &plan.victims {
            self.memory.moves.push(self.view.at);
            self.leaving.insert(*victim);
            self.decisions.push(PolicyDecision::Move {
                job: self.view.running[*victim].job,
            });
        }
    }

    /// Finds work that stands in the way of a shape and that finds room beside it.
    fn plan_moves(
        &self,
        shape: &GangShape,
        cap: Option<&[ResourceDemand]>,
        limit: usize,
    ) -> Option<ReclaimPlan> {
        let whole = shape.members * shape.demand.accelerators;
        let free: u32 = self.free.iter().map(|room| room.accelerators).sum();
        if free < whole {
            return None;
        }
        let small = self.stoppable(|draft, running| {
            let order = draft.view.running[running].order;
            whole_demand(order).accelerators * 2 <= whole
        });
        let plan = choose_victims(shape, &self.fleet, &self.free, &small, cap)?;
        let mut room = self.free.clone();
        for worker in &plan.workers {
            room[*worker] = NO_ROOM;
        }
        let fits = plan.victims.iter().all(|victim| {
            let shape = GangShape::of(&self.view.running[*victim].order.spec);
            let found = place(&shape, &self.fleet, &room, PlacementStyle::BestFit);
            found.is_some_and(|workers| {
                occupy(&mut room, &workers, &shape.demand);
                true
            })
        });
        (fits && !plan.victims.is_empty() && plan.victims.len() <= limit).then_some(plan)
    }

    /// Stops work in failure domains that are out, guaranteed work first.
    ///
    /// Work whose team borrows follows, the work with the least to lose last. Work that finds no
    /// place elsewhere keeps its checkpoint and waits.
    pub(crate) fn empty_domains(&mut self) {
        if !self.view.workers.values().any(|slot| slot.domain_out) {
            return;
        }
        let mut jobs: Vec<(bool, u64, usize)> = Vec::new();
        for (running, job) in self.view.running.iter().enumerate() {
            let out = job.workers.iter().any(|worker| {
                let slot = self.view.workers.get(worker);
                slot.is_some_and(|slot| slot.domain_out)
            });
            let stops = job.order.spec.can_be_preempted() && !job.stopping;
            if out && stops && !self.leaving.contains(&running) {
                let account = self.accounts.get(&job.order.team);
                let borrows = account.is_none_or(|account| account.borrows());
                let loss = work_lost(job, self.view.at);
                jobs.push((borrows, u64::MAX - loss, running));
            }
        }
        jobs.sort_unstable();
        for (_, _, running) in jobs.into_iter().take(LEAVING_LIMIT) {
            self.leaving.insert(running);
            self.decisions.push(PolicyDecision::Move {
                job: self.view.running[running].job,
            });
        }
    }
}

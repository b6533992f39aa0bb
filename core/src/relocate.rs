//! Moves of running work: to make room for a large job, and out of failure domains.

use crate::draft::DecisionDraft;
use crate::placement::GangShape;
use crate::placement::PlacementStyle;
use crate::placement::occupy;
use crate::placement::place;
use crate::policy::PolicyDecision;
use crate::queue::whole_demand;
use crate::reclaim::ReclaimPlan;
use crate::reclaim::choose_victims;
use crate::reclaim::work_lost;
use crate::units::TimeSpan;

/// Time over which moves are counted.
const MOVE_WINDOW: TimeSpan = TimeSpan::from_secs(3_600);
/// Wait that a move has to save, so that a stop and a start cost less than they gain.
const WORTH_MOVING: TimeSpan = TimeSpan::from_secs(300);
/// Jobs that leave a failure domain in one decision; the next decision sees where they went.
const LEAVING_LIMIT: usize = 16;

impl DecisionDraft<'_, '_> {
    /// Moves small work aside when that lets the job with the reservation start at once.
    pub(crate) fn make_room(&mut self) {
        let at = self.view.at;
        self.memory
            .moves
            .retain(|moved| at.since(*moved) < MOVE_WINDOW);
        let budget = self.view.moves_per_hour as usize;
        let left = budget.saturating_sub(self.memory.moves.len());
        let Some(reservation) = self.memory.reservation.as_ref() else {
            return;
        };
        if left == 0 || reservation.start <= at + WORTH_MOVING {
            return;
        }
        let holder = reservation.job;
        let waiting = self.view.waiting.iter().position(|job| job.job == holder);
        let Some(position) = waiting else { return };
        let Some(plan) = self.plan_moves(position, left) else {
            return;
        };
        for victim in &plan.victims {
            self.memory.moves.push(at);
            self.leaving.insert(*victim);
            self.decisions.push(PolicyDecision::Move {
                job: self.view.running[*victim].job,
            });
        }
        self.hold(position, &plan.workers);
        self.memory.reservation = None;
    }

    fn plan_moves(&self, position: usize, limit: usize) -> Option<ReclaimPlan> {
        let job = &self.view.waiting[position];
        let shape = GangShape::of(&job.order.spec);
        let whole = whole_demand(job.order);
        let free: u32 = self.free.iter().map(|room| room.accelerators).sum();
        if free < whole.accelerators {
            return None;
        }
        let small = self.stoppable(|draft, running| {
            let order = draft.view.running[running].order;
            whole_demand(order).accelerators * 4 <= whole.accelerators
        });
        let cap = self.room_cap(job.order);
        let plan = choose_victims(&shape, &self.fleet, &self.free, &small, cap.as_deref())?;
        let mut room = self.free.clone();
        occupy(&mut room, &plan.workers, &shape.demand);
        for worker in &plan.workers {
            room[*worker] = crate::fleet::NO_ROOM;
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
            let stops = job.order.spec.can_stop() && !job.stopping;
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

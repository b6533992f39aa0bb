//! The reservation of the first large job in the queue, and what may pass it.

use crate::cycle::SchedulingCycle;
use crate::placement::GangShape;
use crate::placement::RunningAllocation;
use crate::placement::place_after_release;
use crate::policy::HeadReservation;
use crate::policy::WaitingJob;
use crate::record::JobOrder;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Longest delay by passing work as a share of the gang's own run time, in percent.
const MAX_DELAY_PERCENT: u64 = 10;
/// Longest delay by passing work.
const MAX_DELAY: TimeSpan = TimeSpan::from_secs(600);
/// Time between two computations of start and workers while the start lies ahead.
const UPDATE_INTERVAL: TimeSpan = TimeSpan::from_secs(60);

/// Returns the longest delay that passing work may cause to a job.
#[must_use]
pub fn max_backfill_delay(expected: TimeSpan) -> TimeSpan {
    TimeSpan((expected.0 * MAX_DELAY_PERCENT / 100).min(MAX_DELAY.0))
}

/// Tells whether a job is large enough to need a reservation.
///
/// A job of one member that takes at most half of a worker finds room whenever something ends.
#[must_use]
pub fn needs_reservation(order: &JobOrder, max_accelerators: u32) -> bool {
    order.spec.members > 1 || order.spec.demand.accelerators * 2 > max_accelerators
}

impl SchedulingCycle<'_, '_> {
    /// Serves the job that holds the reservation, or brings its reservation up to date.
    pub(crate) fn schedule_reserved(&mut self) {
        let Some(reservation) = self.state.reservation.clone() else {
            return;
        };
        let holder = self
            .view
            .waiting
            .iter()
            .position(|job| job.job == reservation.job);
        let Some(position) = holder.filter(|position| !self.assigned.contains(position)) else {
            self.state.reservation = None;
            return;
        };
        if self.try_place(position) || self.reclaim_backfilled(position, &reservation) {
            self.state.reservation = None;
            return;
        }
        let at = self.view.at;
        let has_lost_worker = reservation.workers.iter().any(|worker| {
            let slot = self.view.workers.get(worker);
            !slot.is_some_and(|slot| slot.usable)
        });
        if has_lost_worker
            || at >= reservation.expected_start
            || at.since(reservation.updated_at) >= UPDATE_INTERVAL
        {
            self.state.reservation = self
                .plan_reservation(position)
                .map(|fresh| HeadReservation {
                    granted_at: reservation.granted_at,
                    ..fresh
                });
        }
        self.mark_reserved_workers();
    }

    /// Stops work that passed the reservation, when that lets the holder start.
    fn reclaim_backfilled(&mut self, position: usize, reservation: &HeadReservation) -> bool {
        let backfilled = self.borrowed_work(|cycle, running| {
            let job = &cycle.view.running[running];
            let reserved = |worker| reservation.workers.contains(worker);
            job.placed_at > reservation.granted_at && job.workers.iter().any(reserved)
        });
        !backfilled.is_empty() && self.reclaim_from(position, &backfilled, None)
    }

    /// Gives a job the reservation when there is none.
    pub(crate) fn grant_reservation(&mut self, position: usize) {
        let job = &self.view.waiting[position];
        if self.state.reservation.is_none() && needs_reservation(job.order, self.max_accelerators) {
            self.state.reservation = self.plan_reservation(position);
            self.mark_reserved_workers();
        }
    }

    /// Finds the earliest start of a job as running work ends by its estimates.
    fn plan_reservation(&self, position: usize) -> Option<HeadReservation> {
        let job = &self.view.waiting[position];
        let mut ends = self.expected_ends();
        ends.sort_by_key(|(end, work)| (*end, work.running));
        let (ends, allocations): (Vec<ClockTime>, Vec<RunningAllocation>) =
            ends.into_iter().unzip();
        let shape = GangShape::of(&job.order.spec);
        let found = place_after_release(&shape, &self.fleet, &self.free, &allocations, None)?;
        let expected_start = found
            .released
            .checked_sub(1)
            .map_or(self.view.at, |last| ends[last]);
        let mut workers = self.fleet.names(&found.workers);
        workers.dedup();
        Some(HeadReservation {
            job: job.job,
            granted_at: self.view.at,
            expected_start,
            max_delay: max_backfill_delay(self.state.estimates.expected(job.order)),
            workers,
            updated_at: self.view.at,
        })
    }

    fn expected_ends(&self) -> Vec<(ClockTime, RunningAllocation)> {
        let at = self.view.at;
        (0..self.view.running.len())
            .map(|running| {
                let job = &self.view.running[running];
                let end = if job.stopping || self.victims.contains(&running) {
                    at
                } else {
                    self.state.estimates.expected_end(job, at)
                };
                (end, self.running_allocation(running))
            })
            .collect()
    }

    fn mark_reserved_workers(&mut self) {
        let Some(reservation) = &self.state.reservation else {
            return;
        };
        self.reserved = vec![false; self.free.len()];
        for worker in &reservation.workers {
            if let Some(index) = self.view.workers.get_index_of(worker) {
                self.reserved[index] = true;
            }
        }
    }

    /// Tells whether a job may use workers that are kept for another.
    ///
    /// Work that can be stopped may pass, because it is stopped when it alone holds the start up.
    /// Other work may pass when it ends in time by an estimate that it rarely exceeds.
    pub(crate) fn may_backfill(&self, job: &WaitingJob<'_>) -> bool {
        let Some(reservation) = &self.state.reservation else {
            return true;
        };
        if reservation.job == job.job || job.order.spec.can_be_preempted() {
            return true;
        }
        let estimate = self.state.estimates.conservative(job.order);
        let remaining = TimeSpan(estimate.0.saturating_sub(job.checkpoint.0));
        self.view.at + remaining <= reservation.expected_start + reservation.max_delay
    }
}

//! Reservation of the first large job in the queue, and backfilling of other jobs around it.

use crate::cycle::SchedulingCycle;
use crate::placement::GangShape;
use crate::placement::RunningAllocation;
use crate::placement::place_after_release;
use crate::policy::HeadReservation;
use crate::policy::WaitingJob;
use crate::record::JobOrder;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Maximum delay through backfilled jobs as a percentage of the reserved job's run time.
const MAX_DELAY_PERCENT: u64 = 10;
/// Upper limit of the delay through backfilled jobs.
const MAX_DELAY: TimeSpan = TimeSpan::from_secs(600);
/// Time between two updates of a reservation whose start is still ahead.
const UPDATE_INTERVAL: TimeSpan = TimeSpan::from_secs(60);

/// Returns the maximum delay that backfilled jobs may cause to a job of the given run time.
#[must_use]
pub fn max_backfill_delay(expected: TimeSpan) -> TimeSpan {
    TimeSpan((expected.0 * MAX_DELAY_PERCENT / 100).min(MAX_DELAY.0))
}

/// Returns whether a job is large enough to need a reservation.
///
/// A job with one member that uses at most half of a worker soon finds capacity as other jobs end.
#[must_use]
pub fn needs_reservation(order: &JobOrder, max_accelerators: u32) -> bool {
    order.spec.members > 1 || order.spec.demand.accelerators * 2 > max_accelerators
}

impl SchedulingCycle<'_, '_> {
    /// Places the job that holds the reservation, or updates the reservation.
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
            !slot.is_some_and(|slot| slot.is_usable)
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

    /// Stops jobs that were backfilled onto reserved workers, if that lets the reserved job start.
    fn reclaim_backfilled(&mut self, position: usize, reservation: &HeadReservation) -> bool {
        let backfilled = self.borrowed_work(|cycle, running| {
            let job = &cycle.view.running[running];
            let reserved = |worker| reservation.workers.contains(worker);
            job.placed_at > reservation.granted_at && job.workers.iter().any(reserved)
        });
        !backfilled.is_empty() && self.reclaim_from(position, &backfilled, None)
    }

    /// Grants the reservation to a large job if no other job holds it.
    pub(crate) fn grant_reservation(&mut self, position: usize) {
        let job = &self.view.waiting[position];
        if self.state.reservation.is_none() && needs_reservation(job.order, self.max_accelerators) {
            self.state.reservation = self.plan_reservation(position);
            self.mark_reserved_workers();
        }
    }

    /// Computes the earliest start of a job from the estimated ends of running jobs.
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
                let end = if job.is_stopping || self.victims.contains(&running) {
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

    /// Returns whether a job may run on workers that are reserved for another job.
    ///
    /// Preemptible jobs may always be backfilled, because they are stopped once only they delay the
    /// start. Other jobs may be backfilled if a conservative estimate says that they end in time.
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

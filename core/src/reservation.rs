//! The reservation of the first large job in the queue, and what may pass it.

use crate::draft::DecisionDraft;
use crate::placement::GangShape;
use crate::placement::ReleasedWork;
use crate::placement::place_after;
use crate::policy::HeadReservation;
use crate::policy::WaitingJob;
use crate::record::JobOrder;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Longest delay by passing work as a share of the gang's own run time, in percent.
const BOUND_PERCENT: u64 = 10;
/// Longest delay by passing work.
const BOUND_LIMIT: TimeSpan = TimeSpan::from_secs(600);
/// Time between two computations of start and workers while the start lies ahead.
const CHECK_INTERVAL: TimeSpan = TimeSpan::from_secs(60);

/// Returns the longest delay that passing work may cause to a job.
#[must_use]
pub fn passing_bound(expected: TimeSpan) -> TimeSpan {
    TimeSpan((expected.0 * BOUND_PERCENT / 100).min(BOUND_LIMIT.0))
}

/// Tells whether a job is large enough to need a reservation.
///
/// A job of one member that takes at most half of a worker finds room whenever something ends.
#[must_use]
pub fn is_large(order: &JobOrder, most_accelerators: u32) -> bool {
    order.spec.members > 1 || order.spec.demand.accelerators * 2 > most_accelerators
}

impl DecisionDraft<'_, '_> {
    /// Serves the job that holds the reservation, or brings its reservation up to date.
    pub(crate) fn serve_head(&mut self) {
        let Some(reservation) = self.memory.reservation.clone() else {
            return;
        };
        let held = self
            .view
            .waiting
            .iter()
            .position(|job| job.job == reservation.job);
        let Some(position) = held.filter(|position| !self.served.contains(position)) else {
            self.memory.reservation = None;
            return;
        };
        if self.try_place(position) || self.reclaim_passers(position, &reservation) {
            self.memory.reservation = None;
            return;
        }
        let at = self.view.at;
        let lost = reservation.workers.iter().any(|worker| {
            let slot = self.view.workers.get(worker);
            !slot.is_some_and(|slot| slot.usable)
        });
        if lost || at >= reservation.start || at.since(reservation.checked_at) >= CHECK_INTERVAL {
            self.memory.reservation = self.plan_start(position).map(|fresh| HeadReservation {
                granted_at: reservation.granted_at,
                ..fresh
            });
        }
        self.mark_reserved();
    }

    /// Stops work that passed the reservation, when that lets the holder start.
    fn reclaim_passers(&mut self, position: usize, reservation: &HeadReservation) -> bool {
        let passers = self.candidates(|draft, running| {
            let job = &draft.view.running[running];
            let reserved = |worker| reservation.workers.contains(worker);
            job.placed_at > reservation.granted_at && job.workers.iter().any(reserved)
        });
        !passers.is_empty() && self.claim_from(position, &passers, None)
    }

    /// Gives a job the reservation when there is none.
    pub(crate) fn reserve(&mut self, position: usize) {
        let job = &self.view.waiting[position];
        if self.memory.reservation.is_none() && is_large(job.order, self.most_accelerators) {
            self.memory.reservation = self.plan_start(position);
            self.mark_reserved();
        }
    }

    /// Finds the earliest start of a job as running work ends by its estimates.
    fn plan_start(&self, position: usize) -> Option<HeadReservation> {
        let job = &self.view.waiting[position];
        let mut ends = self.expected_ends();
        ends.sort_by_key(|(end, work)| (*end, work.running));
        let (ends, works): (Vec<ClockTime>, Vec<ReleasedWork>) = ends.into_iter().unzip();
        let shape = GangShape::of(&job.order.spec);
        let found = place_after(&shape, &self.fleet, &self.free, &works, None)?;
        let start = found
            .released
            .checked_sub(1)
            .map_or(self.view.at, |last| ends[last]);
        let mut workers = self.fleet.names(&found.workers);
        workers.dedup();
        Some(HeadReservation {
            job: job.job,
            granted_at: self.view.at,
            start,
            bound: passing_bound(self.memory.estimates.expected(job.order)),
            workers,
            checked_at: self.view.at,
        })
    }

    fn expected_ends(&self) -> Vec<(ClockTime, ReleasedWork)> {
        let at = self.view.at;
        (0..self.view.running.len())
            .map(|running| {
                let job = &self.view.running[running];
                let end = if job.stopping || self.leaving.contains(&running) {
                    at
                } else {
                    self.memory.estimates.expected_end(job, at)
                };
                (end, self.released_work(running))
            })
            .collect()
    }

    fn mark_reserved(&mut self) {
        let Some(reservation) = &self.memory.reservation else {
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
    pub(crate) fn may_pass(&self, job: &WaitingJob<'_>) -> bool {
        let Some(reservation) = &self.memory.reservation else {
            return true;
        };
        if reservation.job == job.job || job.order.spec.can_be_preempted() {
            return true;
        }
        let whole = self.memory.estimates.cautious(job.order);
        let left = TimeSpan(whole.0.saturating_sub(job.checkpoint.0));
        self.view.at + left <= reservation.start + reservation.bound
    }
}

//! Run times as observed, against run times as declared.

use indexmap::IndexMap;

use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::policy::RunningJob;
use crate::record::JobOrder;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// A ratio of 1 in the unit of the table.
const PER_MILLE: u64 = 1_000;
/// Observed ratios beyond 20 times either way count as 20 times, so that one stuck task does not
/// spoil a service's estimate.
const RATIO_LIMIT: u64 = 20;
/// Weight of the past against one observation.
const HISTORY_WEIGHT: u64 = 7;
/// Services kept; the one observed first goes when the table is full.
const SERVICE_LIMIT: usize = 4_096;

plain_data! {
    /// Observed against declared run time of one service, in per mille.
    #[derive(Copy)]
    pub struct ServiceRatio {
        /// Moving average of the ratio.
        pub ratio: u64,
        /// Moving average of the distance of an observation from the average.
        pub deviation: u64,
    }

    /// The observed ratios of all services.
    #[derive(Default)]
    pub struct EstimateTable {
        /// Ratios by team and service, joined by a slash.
        ratios: IndexMap<String, ServiceRatio>,
    }
}

fn table_key(team: &TeamName, service: &ServiceName) -> String {
    format!("{team}/{service}")
}

impl EstimateTable {
    /// Adds the run time of work that finished.
    pub fn observe(
        &mut self,
        team: &TeamName,
        service: &ServiceName,
        declared: TimeSpan,
        ran: TimeSpan,
    ) {
        let observed = (ran.0.saturating_mul(PER_MILLE) / declared.0.max(1))
            .clamp(PER_MILLE / RATIO_LIMIT, PER_MILLE * RATIO_LIMIT);
        if self.ratios.len() >= SERVICE_LIMIT {
            self.ratios.shift_remove_index(0);
        }
        let first = ServiceRatio {
            ratio: observed,
            deviation: observed / 2,
        };
        let entry = self.ratios.entry(table_key(team, service));
        entry
            .and_modify(|ratio| {
                let distance = ratio.ratio.abs_diff(observed);
                ratio.ratio = (ratio.ratio * HISTORY_WEIGHT + observed) / (HISTORY_WEIGHT + 1);
                ratio.deviation =
                    (ratio.deviation * HISTORY_WEIGHT + distance) / (HISTORY_WEIGHT + 1);
            })
            .or_insert(first);
    }

    fn ratio(&self, order: &JobOrder) -> ServiceRatio {
        let key = table_key(&order.team, &order.service);
        self.ratios.get(&key).copied().unwrap_or(ServiceRatio {
            ratio: PER_MILLE,
            deviation: 0,
        })
    }

    /// Returns the expected run time of a whole job.
    #[must_use]
    pub fn expected(&self, order: &JobOrder) -> TimeSpan {
        TimeSpan(
            order
                .spec
                .run_time
                .0
                .saturating_mul(self.ratio(order).ratio)
                / PER_MILLE,
        )
    }

    /// Returns a run time that a job rarely exceeds: the expected one plus the usual distance.
    #[must_use]
    pub fn conservative(&self, order: &JobOrder) -> TimeSpan {
        let ratio = self.ratio(order);
        let upper = ratio.ratio + ratio.deviation;
        TimeSpan(order.spec.run_time.0.saturating_mul(upper) / PER_MILLE)
    }

    /// Returns when a running job is expected to end.
    ///
    /// A job that exceeds its estimate is expected to run for another quarter of the time that it
    /// has run so far, because the estimate says nothing more about it.
    #[must_use]
    pub fn expected_end(&self, job: &RunningJob<'_>, at: ClockTime) -> ClockTime {
        let ran = at.since(job.placed_at) + job.checkpoint;
        let whole = self.expected(job.order);
        if whole.0 > ran.0 {
            at + TimeSpan(whole.0 - ran.0)
        } else {
            at + TimeSpan((ran.0 / 4).max(1_000))
        }
    }
}
